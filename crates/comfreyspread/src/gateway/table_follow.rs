//! Following one table of the store: reading it once, then waiting for its changes. While the
//! store does not answer this node, other nodes are asked for what they know.

use super::{state, store_client};
use crate::{
    membership::peer,
    transport::{failure, http_client, http_message, http_server},
};
use comfreyspread_policy::table_mirror;
use comfreyspread_schema::types;
use rand::{Rng as _, seq::IteratorRandom as _};
use std::{net, sync, sync::atomic::Ordering, time};

/// Path of a question for rows, answered by a [`types::TableReply`].
pub const TABLE_PATH: &str = "/peer/tables";

/// Pause after a change, so that those right behind it come with one answer.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Shortest and longest pause after the store did not answer.
const FAILURE_PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(150), time::Duration::from_millis(450));
/// Longest wait for the rows of another node.
const PEER_LIMIT: time::Duration = time::Duration::from_millis(400);

/// What is done with the rows of a table.
pub trait TableFollower: Send + Sync {
    /// Name of the table in the store.
    const NAME: &'static str;
    /// The table.
    const TABLE: types::StoreTable;

    /// Takes in rows that have changed, or all of them at first.
    fn change(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>);

    /// Takes note that the store did not answer this node, and whether it answers another one.
    fn note_outage(&self, answers_other: bool);
}

/// Copies of the tables that are followed.
#[derive(Debug, Default)]
pub struct TableMirrors {
    /// The operator's table.
    pub operator: table_mirror::TableMirror,
    /// The endpoints' table.
    pub endpoints: table_mirror::TableMirror,
}

impl TableMirrors {
    fn table(&mut self, table: types::StoreTable) -> &mut table_mirror::TableMirror {
        match table {
            types::StoreTable::Operator => &mut self.operator,
            types::StoreTable::Endpoints => &mut self.endpoints,
        }
    }
}

/// Follows a table until the process ends.
pub async fn follow<Follower>(state: sync::Arc<state::GatewayState>, follower: Follower)
where
    Follower: TableFollower,
{
    let name = Follower::NAME;
    let mut version = None;
    let mut answering = true;
    loop {
        match step(&state, &follower, &mut version).await {
            Ok(changed) => {
                if !answering {
                    log::info!("store: answers again. table={name}");
                }
                answering = true;
                state.store_answers.store(true, Ordering::Relaxed);
                if changed {
                    async_io::Timer::after(CHANGE_PAUSE).await;
                }
            }
            Err(failure) => {
                if answering {
                    log::warn!("store: table not read. table={name} error={failure}");
                }
                answering = false;
                state.context.metrics.stages.count_store_failure();
                state.store_answers.store(false, Ordering::Relaxed);
                ask_peer(&state, &follower).await;
                let (least, most) = FAILURE_PAUSES;
                let pause = rand::rng().random_range(least..most);
                async_io::Timer::after(pause).await;
            }
        }
    }
}

/// Reads the table or its changes once; returns whether anything came.
async fn step<Follower>(
    state: &sync::Arc<state::GatewayState>,
    follower: &Follower,
    version: &mut Option<u64>,
) -> Result<bool, failure::CallFailure>
where
    Follower: TableFollower,
{
    let Some(known) = *version else {
        let page = state.store.read_table(Follower::NAME).await?;
        *version = Some(page.version);
        let mut mirrors = state.mirrors.lock();
        let news = mirrors.table(Follower::TABLE).replace(page.rows, page.version);
        drop(mirrors);
        follower.change(state, news);
        state.news.notify(usize::MAX);
        return Ok(false);
    };
    match state.store.feed(Follower::NAME, known).await? {
        store_client::StoreFeed::HistoryGone => {
            log::info!("store: history gone, reading anew. table={}", Follower::NAME);
            *version = None;
            Ok(false)
        }
        store_client::StoreFeed::Changes(page) => {
            *version = Some(page.version.max(known));
            let changed = !page.rows.is_empty();
            take_in(state, follower, page.rows);
            Ok(changed)
        }
    }
}

fn take_in<Follower>(
    state: &sync::Arc<state::GatewayState>,
    follower: &Follower,
    rows: Vec<types::StoreRow>,
) where
    Follower: TableFollower,
{
    let news = state.mirrors.lock().table(Follower::TABLE).merge(rows);
    if !news.is_empty() {
        follower.change(state, news);
        state.news.notify(usize::MAX);
    }
}

/// Asks another node, drawn by chance, for rows that this one does not know.
async fn ask_peer<Follower>(state: &sync::Arc<state::GatewayState>, follower: &Follower)
where
    Follower: TableFollower,
{
    let Some(address) = any_peer(state) else { return };
    let after = state.mirrors.lock().table(Follower::TABLE).version();
    let header = state.context.peer_header();
    let message = types::TableRequest { after, header, table: Follower::TABLE };
    let deadline = time::Instant::now() + PEER_LIMIT;
    let connection = http_client::ConnectionUse::Shared;
    let context = &state.context;
    let reply: Result<types::TableReply, _> =
        peer::exchange(context, address, TABLE_PATH, &message, connection, deadline).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => {
            log::debug!("store: no rows from another node. error={failure}");
            return;
        }
    };
    // What it knows of entries is taken in after its word on the store: that decides on removals.
    follower.note_outage(reply.answered);
    if reply.known {
        if !reply.rows.is_empty() {
            log::info!(node = reply.header.node.as_ref(), rows = reply.rows.len(),
                answered = reply.answered;
                "store: rows taken from another node. table={}", Follower::NAME);
        }
        take_in(state, follower, reply.rows);
    }
}

fn any_peer(state: &state::GatewayState) -> Option<net::SocketAddr> {
    let own = &state.context.settings.node;
    let members = state.context.tables.members.lock();
    let others = members.live().filter(|record| record.node != *own);
    others.map(|record| record.address).choose(&mut rand::rng())
}

/// Answers the question of another node for rows.
///
/// # Errors
///
/// Fails if the question cannot be decoded.
pub fn answer(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::TableRequest = peer::decode_message(&state.context, request)?;
    let header = state.context.peer_header();
    let mut mirrors = state.mirrors.lock();
    let mirror = mirrors.table(message.table);
    let (rows, known) = (mirror.newer(message.after), mirror.is_read());
    drop(mirrors);
    let answered = state.store_answers.load(Ordering::Relaxed);
    peer::encode_reply(&types::TableReply { answered, header, known, rows })
}
