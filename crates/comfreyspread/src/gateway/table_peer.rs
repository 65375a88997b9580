//! Rows of the store's tables from other nodes, and for them.

use super::{state, table_follow};
use crate::{
    membership::peer,
    transport::{deadline, failure, http_client, http_message, http_server},
};
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use rand::seq::IteratorRandom as _;
use std::{net, sync, time};

/// Path of a question for rows, answered by a [`types::TableReply`].
pub const TABLE_PATH: &str = "/peer/tables";

/// Longest wait for the rows of another node, beyond the time for which it may hold the answer.
const PEER_LIMIT: time::Duration = time::Duration::from_millis(400);
/// Most bytes of rows that are passed on to a node that follows this one; it reads more itself.
const ROWS_LIMIT_BYTES: usize = 32 * 1024;

/// A question to the node that reads the store for this one.
#[derive(Clone, Debug)]
pub struct TableQuestion {
    node: ids::NodeId,
    address: net::SocketAddr,
    wait: time::Duration,
}

/// Returns the question to be asked next; none if this node has to ask the store.
pub fn question(state: &state::GatewayState, table: types::StoreTable) -> Option<TableQuestion> {
    let (node, address) = reader(state)?;
    if node == state.context.settings.node {
        return None;
    }
    let wait = state.store_tables.lock().table(table).news.peer_poll_wait(time::Instant::now())?;
    Some(TableQuestion { node, address, wait })
}

/// Returns the node that reads the store for this node's availability zone.
fn reader(state: &state::GatewayState) -> Option<(ids::NodeId, net::SocketAddr)> {
    let members = state.context.tables.members.lock();
    let near = members.live().filter(|record| {
        record.zone == state.machine.zone && record.node_phase == types::NodePhase::Serving
    });
    table_freshness::zone_reader(near).map(|record| (record.node.clone(), record.address))
}

/// Waits for news at the node that reads the store, and takes them in.
pub async fn follow<Follower>(
    state: &sync::Arc<state::GatewayState>,
    follower: &Follower,
    question: &TableQuestion,
) where
    Follower: table_follow::TableFollower,
{
    let asked = ask::<Follower>(state, question.address, question.wait).await;
    let now = time::Instant::now();
    let mut tables = state.store_tables.lock();
    let news = &mut tables.table(Follower::TABLE).news;
    let table = Follower::NAME;
    let node = &*question.node;
    let reply = match asked {
        Ok(reply) => reply,
        Err(failure) => {
            news.record_peer_failure(now);
            log::info!(node = node;
                "store: read directly, no news from the node that reads it. table={table} \
                 error={failure}");
            return;
        }
    };
    if reply.doubtful {
        news.record_outage(Some(false), now);
    }
    if !news.record_peer_reply(reply.fresh, now) {
        log::info!(node = node;
            "store: read directly, the node that reads it has no fresh news. table={table}");
    }
    drop(tables);
    if reply.known {
        table_follow::take_in(state, follower, reply.rows, reply.version);
    }
}

/// Asks another node, drawn by chance, for rows that this one does not know.
pub async fn ask_any<Follower>(state: &sync::Arc<state::GatewayState>, follower: &Follower)
where
    Follower: table_follow::TableFollower,
{
    let Some(address) = any_peer(state) else { return };
    let reply = match ask::<Follower>(state, address, time::Duration::ZERO).await {
        Ok(reply) => reply,
        Err(failure) => {
            log::debug!("store: no rows from another node. error={failure}");
            return;
        }
    };
    // What it knows of entries is taken in after its word on the store: that decides on removals.
    let now = time::Instant::now();
    state.store_tables.lock().table(Follower::TABLE).news.record_outage(reply.answered, now);
    if reply.known {
        if !reply.rows.is_empty() {
            log::info!(node = reply.header.node.as_ref(), rows = reply.rows.len(),
                answered = reply.answered;
                "store: rows taken from another node. table={}", Follower::NAME);
        }
        table_follow::take_in(state, follower, reply.rows, reply.version);
    }
}

async fn ask<Follower>(
    state: &state::GatewayState,
    address: net::SocketAddr,
    wait: time::Duration,
) -> Result<types::TableReply, failure::CallFailure>
where
    Follower: table_follow::TableFollower,
{
    let after = state.store_tables.lock().table(Follower::TABLE).mirror.complete_version();
    let header = state.context.peer_header();
    let message = types::TableRequest { after, header, table: Follower::TABLE, wait };
    let deadline = time::Instant::now() + wait + PEER_LIMIT;
    let connection = http_client::ConnectionUse::Pooled;
    peer::exchange(&state.context, address, TABLE_PATH, &message, connection, deadline).await
}

fn any_peer(state: &state::GatewayState) -> Option<net::SocketAddr> {
    let own = &state.context.settings.node;
    let members = state.context.tables.members.lock();
    let others = members.live().filter(|record| record.node != *own);
    others.map(|record| record.address).choose(&mut rand::rng())
}

/// Answers the question of another node for rows, once there are some or it has waited long enough.
///
/// # Errors
///
/// Fails if the question cannot be decoded or its sender goes away.
pub async fn answer(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::TableRequest = peer::decode_message(&state.context, request)?;
    let until = time::Instant::now() + message.wait;
    loop {
        let news = state.news.listen();
        let reply = reply(state, &message);
        let now = time::Instant::now();
        let fresh_until = now + reply.fresh;
        let has_news = !reply.rows.is_empty() && reply.version > message.after;
        if has_news || until <= now || fresh_until <= now {
            return peer::encode_reply(&reply);
        }
        let late = deadline::DeadlineTimer::new(until.min(fresh_until));
        request
            .connection_monitor()
            .run_while_connected(news.or(late))
            .await
            .ok_or_else(peer::sender_gone)?;
    }
}

fn reply(state: &state::GatewayState, message: &types::TableRequest) -> types::TableReply {
    let now = time::Instant::now();
    let header = state.context.peer_header();
    let mut tables = state.store_tables.lock();
    let table = tables.table(message.table);
    let mut reply = types::TableReply {
        answered: table.news.store_reachable(),
        doubtful: table.news.is_recovering(now),
        fresh: table.news.remaining_freshness(now),
        header,
        known: table.mirror.is_loaded(),
        rows: table.mirror.rows_after(message.after),
        version: table.mirror.complete_version(),
    };
    let size = |row: &types::StoreRow| row.value.as_ref().map_or(0, |value| value.len());
    let bytes: usize = reply.rows.iter().map(size).sum();
    if !message.wait.is_zero() && bytes > ROWS_LIMIT_BYTES {
        reply.rows.clear();
        reply.known = false;
        reply.fresh = time::Duration::ZERO;
    }
    reply
}
