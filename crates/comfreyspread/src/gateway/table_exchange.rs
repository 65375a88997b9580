//! Exchange of the rows of the store's tables with other nodes.

use super::{state, table_watcher};
use crate::{
    membership::peer,
    transport::{deadline, failure, http_client, http_message, http_server},
};
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use rand::seq::IteratorRandom as _;
use std::{net, sync, time};

/// Path of a request for rows, answered by a [`types::TableReply`].
pub const TABLE_PATH: &str = "/peer/tables";

/// Timeout of a request for rows, in addition to the time for which it waits for changes.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Maximum size of the rows in a reply to a long poll, in bytes; beyond it, the polling node reads
/// the store itself.
const MAX_REPLY_BYTES: usize = 32 * 1024;

/// A long poll of the node that reads the store for this node.
#[derive(Clone, Debug)]
pub struct PeerPoll {
    node: ids::NodeId,
    address: net::SocketAddr,
    wait: time::Duration,
}

/// Returns the next long poll; `None` if this node has to read the store itself.
pub fn next_poll(state: &state::GatewayState, table: types::StoreTable) -> Option<PeerPoll> {
    let (node, address) = zone_reader(state)?;
    if node == state.context.settings.node {
        return None;
    }
    let wait =
        state.store_tables.lock().table(table).freshness.peer_poll_wait(time::Instant::now())?;
    Some(PeerPoll { node, address, wait })
}

/// Returns the node that reads the store for this node's availability zone.
fn zone_reader(state: &state::GatewayState) -> Option<(ids::NodeId, net::SocketAddr)> {
    let members = state.context.tables.members.lock();
    let candidates = members.live().filter(|record| {
        record.zone == state.settings.zone && record.node_phase == types::NodePhase::Serving
    });
    table_freshness::zone_reader(candidates).map(|record| (record.node.clone(), record.address))
}

/// Waits for changes at the node that reads the store, and applies them.
pub async fn poll_zone_reader<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    poll: &PeerPoll,
) where
    Watcher: table_watcher::TableWatcher,
{
    let result = fetch_rows::<Watcher>(state, poll.address, poll.wait).await;
    let now = time::Instant::now();
    let mut tables = state.store_tables.lock();
    let freshness = &mut tables.table(Watcher::TABLE).freshness;
    let table = Watcher::NAME;
    let node = &*poll.node;
    let reply = match result {
        Ok(reply) => reply,
        Err(failure) => {
            freshness.record_peer_failure(now);
            log::info!(node = node;
                "store: read directly, the node that reads it did not reply. table={table} \
                 error={failure}");
            return;
        }
    };
    if reply.recovering {
        freshness.record_outage(Some(false), now);
    }
    if !freshness.record_peer_reply(reply.remaining_freshness, now) {
        log::info!(node = node;
            "store: read directly, the node that reads it has no fresh copy. table={table}");
    }
    drop(tables);
    if reply.loaded {
        table_watcher::merge_rows(state, watcher, reply.rows, reply.version);
    }
}

/// Fetches rows that this node lacks from a randomly chosen node.
pub async fn fetch_from_any<Watcher>(state: &sync::Arc<state::GatewayState>, watcher: &Watcher)
where
    Watcher: table_watcher::TableWatcher,
{
    let Some(address) = random_peer(state) else { return };
    let reply = match fetch_rows::<Watcher>(state, address, time::Duration::ZERO).await {
        Ok(reply) => reply,
        Err(failure) => {
            log::debug!("store: no rows from another node. error={failure}");
            return;
        }
    };
    // The outage is recorded before the rows are merged, as it decides whether removals are
    // applied.
    let now = time::Instant::now();
    state
        .store_tables
        .lock()
        .table(Watcher::TABLE)
        .freshness
        .record_outage(reply.store_reachable, now);
    if reply.loaded {
        if !reply.rows.is_empty() {
            log::info!(node = reply.header.node.as_ref(), rows = reply.rows.len(),
                answered = reply.store_reachable;
                "store: rows merged from another node. table={}", Watcher::NAME);
        }
        table_watcher::merge_rows(state, watcher, reply.rows, reply.version);
    }
}

async fn fetch_rows<Watcher>(
    state: &state::GatewayState,
    address: net::SocketAddr,
    wait: time::Duration,
) -> Result<types::TableReply, failure::CallFailure>
where
    Watcher: table_watcher::TableWatcher,
{
    let after_version = state.store_tables.lock().table(Watcher::TABLE).mirror.complete_version();
    let header = state.context.peer_header();
    let message = types::TableRequest { after_version, header, table: Watcher::TABLE, wait };
    let deadline = time::Instant::now() + wait + PEER_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    peer::exchange(&state.context, address, TABLE_PATH, &message, connection, deadline).await
}

fn random_peer(state: &state::GatewayState) -> Option<net::SocketAddr> {
    let own = &state.context.settings.node;
    let members = state.context.tables.members.lock();
    let others = members.live().filter(|record| record.node != *own);
    others.map(|record| record.address).choose(&mut rand::rng())
}

/// Serves a request of another node for rows; replies once there are changes, the wait is over or
/// this node's copy is no longer fresh.
///
/// # Errors
///
/// Fails if the request cannot be decoded or its sender disconnects.
pub async fn serve(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::TableRequest = peer::decode_message(&state.context, request)?;
    let wait_until = time::Instant::now() + message.wait;
    loop {
        let changed = state.tables_changed.listen();
        let reply = build_reply(state, &message);
        let now = time::Instant::now();
        let fresh_until = now + reply.remaining_freshness;
        let has_changes = !reply.rows.is_empty() && reply.version > message.after_version;
        if has_changes || wait_until <= now || fresh_until <= now {
            return peer::encode_reply(&reply);
        }
        let timeout = deadline::DeadlineTimer::new(wait_until.min(fresh_until));
        request
            .connection_monitor()
            .run_while_connected(changed.or(timeout))
            .await
            .ok_or_else(peer::sender_disconnected)?;
    }
}

fn build_reply(state: &state::GatewayState, message: &types::TableRequest) -> types::TableReply {
    let now = time::Instant::now();
    let header = state.context.peer_header();
    let mut tables = state.store_tables.lock();
    let table = tables.table(message.table);
    let mut reply = types::TableReply {
        store_reachable: table.freshness.store_reachable(),
        recovering: table.freshness.is_recovering(now),
        remaining_freshness: table.freshness.remaining_freshness(now),
        header,
        loaded: table.mirror.is_loaded(),
        rows: table.mirror.rows_after(message.after_version),
        version: table.mirror.complete_version(),
    };
    let size = |row: &types::StoreRow| row.value.as_ref().map_or(0, |value| value.len());
    let bytes: usize = reply.rows.iter().map(size).sum();
    if !message.wait.is_zero() && bytes > MAX_REPLY_BYTES {
        reply.rows.clear();
        reply.loaded = false;
        reply.remaining_freshness = time::Duration::ZERO;
    }
    reply
}
