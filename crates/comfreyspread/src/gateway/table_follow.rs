//! Following one table of the store: reading it once, then waiting for its changes, at the store or
//! at the node that reads it for this one's availability zone. While the store does not answer this
//! node, other nodes are asked for what they know.

use super::{state, store_client, table_peer};
use crate::transport::failure;
use comfreyspread_policy::{table_freshness, table_mirror};
use comfreyspread_schema::types;
use rand::Rng as _;
use std::{sync, time};

/// Pause after a change, so that those right behind it come with one answer.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Shortest and longest pause after the store did not answer.
const FAILURE_PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(150), time::Duration::from_millis(450));

/// What is done with the rows of a table.
pub trait TableFollower: Send + Sync {
    /// Name of the table in the store.
    const NAME: &'static str;
    /// The table.
    const TABLE: types::StoreTable;

    /// Takes in rows that have changed, or all of them at first.
    fn change(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>);
}

/// A followed table: its copy, and where its news come from.
#[derive(Debug, Default)]
pub struct FollowedTable {
    /// Copy of the table.
    pub mirror: table_mirror::TableMirror,
    /// Where its news come from.
    pub news: table_freshness::TableFreshness,
}

/// The tables that are followed.
#[derive(Debug, Default)]
pub struct FollowedTables {
    /// The operator's table.
    pub operator: FollowedTable,
    /// The endpoints' table.
    pub endpoints: FollowedTable,
}

impl FollowedTables {
    /// Returns a table.
    pub fn table(&mut self, table: types::StoreTable) -> &mut FollowedTable {
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
    let mut whole = true;
    let mut answering = true;
    loop {
        if let Some(question) = table_peer::question(&state, Follower::TABLE) {
            table_peer::follow(&state, &follower, &question).await;
            continue;
        }
        match step(&state, &follower, &mut whole).await {
            Ok(changed) => {
                if !answering {
                    log::info!("store: answers again. table={name}");
                }
                answering = true;
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
                state.store_tables.lock().table(Follower::TABLE).news.record_store_failure();
                table_peer::ask_any(&state, &follower).await;
                let (least, most) = FAILURE_PAUSES;
                let pause = rand::rng().random_range(least..most);
                async_io::Timer::after(pause).await;
            }
        }
    }
}

/// Reads the whole table or its changes once at the store; returns whether anything came.
async fn step<Follower>(
    state: &sync::Arc<state::GatewayState>,
    follower: &Follower,
    whole: &mut bool,
) -> Result<bool, failure::CallFailure>
where
    Follower: TableFollower,
{
    if *whole {
        let page = state.store.read_table(Follower::NAME).await?;
        *whole = false;
        let mut tables = state.store_tables.lock();
        let table = tables.table(Follower::TABLE);
        table.news.record_store_reply(time::Instant::now());
        let news = table.mirror.replace(page.rows, page.version);
        drop(tables);
        follower.change(state, news);
        state.news.notify(usize::MAX);
        return Ok(false);
    }
    let known = state.store_tables.lock().table(Follower::TABLE).mirror.complete_version();
    let answer = state.store.feed(Follower::NAME, known, table_freshness::LONG_POLL_WAIT).await?;
    state.store_tables.lock().table(Follower::TABLE).news.record_store_reply(time::Instant::now());
    match answer {
        store_client::StoreFeed::HistoryGone => {
            log::info!("store: history gone, reading anew. table={}", Follower::NAME);
            *whole = true;
            Ok(false)
        }
        store_client::StoreFeed::Changes(page) => {
            let changed = !page.rows.is_empty();
            take_in(state, follower, page.rows, page.version);
            Ok(changed)
        }
    }
}

/// Takes in rows of whoever knows all changes up to `version`.
pub fn take_in<Follower>(
    state: &sync::Arc<state::GatewayState>,
    follower: &Follower,
    rows: Vec<types::StoreRow>,
    version: u64,
) where
    Follower: TableFollower,
{
    let news = state.store_tables.lock().table(Follower::TABLE).mirror.merge(rows, version);
    if !news.is_empty() {
        follower.change(state, news);
        state.news.notify(usize::MAX);
    }
}
