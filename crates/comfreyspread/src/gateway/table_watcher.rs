//! Keeps a copy of a store table: reads it in full once, then polls for changes, either at the
//! store or at the node that reads the store for this node's availability zone. While the store
//! does not respond to this node, rows are fetched from other nodes.

use super::{row_compression, state, store_client, table_exchange, table_update};
use crate::transport::failure;
use comfreyspread_policy::{full_read_pace, table_freshness, table_mirror, table_source};
use comfreyspread_schema::types;
use rand::Rng as _;
use std::{sync, time};

/// Delay after a change, so that closely following changes arrive in one response.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(400);
/// Minimum and maximum delay before a retry after the store did not respond.
const RETRY_DELAY_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(150), time::Duration::from_millis(450));

/// Receiver of the rows of a table.
pub trait TableWatcher: Clone + Send + Sync + 'static {
    /// Name of the table in the store.
    const NAME: &'static str;
    /// The table.
    const TABLE: types::StoreTable;

    /// Applies changed rows; the first call passes all rows.
    fn apply_rows(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>);

    /// Whether a row that is held back after the store was restored is certainly newer than what is
    /// in force, so that it is applied at once.
    fn confirms(&self, _state: &sync::Arc<state::GatewayState>, _row: &types::StoreRow) -> bool {
        false
    }

    /// Applies the rows that were held back until the end of the hold. Called once an era that
    /// this node saw begin, also without rows: from now on, what the store holds is in force.
    fn end_hold(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        if !rows.is_empty() {
            self.apply_rows(state, rows);
        }
    }
}

/// A watched table: its copy and the freshness of that copy.
#[derive(Debug, Default)]
pub struct WatchedTable {
    /// Copy of the table.
    pub mirror: table_mirror::TableMirror,
    /// Freshness of the copy.
    pub freshness: table_freshness::TableFreshness,
    /// State of its sources.
    pub sources: table_source::SourceChoice,
}

/// The watched tables.
#[derive(Debug, Default)]
pub struct WatchedTables {
    /// The operator's table.
    pub operator: WatchedTable,
    /// The endpoints' table.
    pub endpoints: WatchedTable,
}

impl WatchedTables {
    /// Returns the given table.
    pub fn table(&mut self, table: types::StoreTable) -> &mut WatchedTable {
        match table {
            types::StoreTable::Operator => &mut self.operator,
            types::StoreTable::Endpoints => &mut self.endpoints,
        }
    }
}

/// Watches a table until the process ends.
pub async fn watch<Watcher>(state: sync::Arc<state::GatewayState>, watcher: Watcher)
where
    Watcher: TableWatcher,
{
    let pace = full_read_pace::FullReadPace::default();
    let mut reading = StoreReading { full_read: true, pace, reachable: true };
    table_exchange::wait_for_zone_peer(&state).await;
    loop {
        match table_exchange::next_source(&state, Watcher::TABLE) {
            table_source::TableSource::Reader { node, address } => {
                if table_exchange::poll_reader(&state, &watcher, &node, address).await {
                    reading.full_read = false;
                }
            }
            table_source::TableSource::Store => reading.read(&state, &watcher).await,
            table_source::TableSource::AnyPeer => {
                table_exchange::fetch_from_any(&state, &watcher).await;
                delay_retry().await;
            }
        }
    }
}

/// Reads of one table from the store.
#[derive(Clone, Copy, Debug)]
struct StoreReading {
    /// Whether the next read is one of the full table.
    full_read: bool,
    /// Pace of those reads.
    pace: full_read_pace::FullReadPace,
    /// Whether the store replied to the latest read.
    reachable: bool,
}

impl StoreReading {
    /// Reads the full table or its changes once; asks another node if the store does not reply.
    async fn read<Watcher>(&mut self, state: &sync::Arc<state::GatewayState>, watcher: &Watcher)
    where
        Watcher: TableWatcher,
    {
        let name = Watcher::NAME;
        let result = if self.full_read {
            self.read_table(state, watcher).await
        } else {
            self.poll_changes(state, watcher).await
        };
        let replied = result.is_ok();
        record_store_read::<Watcher>(state, replied);
        match result {
            Ok(changed) => {
                if !self.reachable {
                    log::info!("store: responds again. table={name}");
                }
                if changed {
                    async_io::Timer::after(COALESCE_DELAY).await;
                }
            }
            Err(failure) => {
                if self.reachable {
                    log::warn!("store: table not read. table={name} error={failure}");
                }
                state.context.metrics.stages.count_store_failure();
                table_exchange::fetch_from_any(state, watcher).await;
                delay_retry().await;
            }
        }
        self.reachable = replied;
    }

    /// Reads the full table from the store once. Returns false, as there is nothing to coalesce. A
    /// node without a copy asks another node before, which may know rows that the store has lost.
    async fn read_table<Watcher>(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        watcher: &Watcher,
    ) -> Result<bool, failure::CallFailure>
    where
        Watcher: TableWatcher,
    {
        if !state.store_tables.lock().table(Watcher::TABLE).mirror.is_loaded() {
            table_exchange::fetch_from_any(state, watcher).await;
        }
        async_io::Timer::after(self.pace.delay(time::Instant::now())).await;
        let page = state.store.read_table(Watcher::NAME).await?;
        let rows = row_compression::compress_rows(page.rows);
        let now = time::Instant::now();
        let update = state.store_tables.lock().table(Watcher::TABLE).mirror.replace(
            rows,
            page.position,
            now,
        );
        let update = update.map_err(|error| {
            failure::CallFailure::new(types::ProblemKind::StoreUnavailable, error.to_string())
        })?;
        self.full_read = false;
        self.pace.record_read(now);
        table_update::apply_update(state, watcher, update);
        Ok(false)
    }

    /// Waits for changes of the table at the store once. Returns whether changes arrived.
    async fn poll_changes<Watcher>(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        watcher: &Watcher,
    ) -> Result<bool, failure::CallFailure>
    where
        Watcher: TableWatcher,
    {
        let (position, wait) = {
            let mut tables = state.store_tables.lock();
            let table = tables.table(Watcher::TABLE);
            (table.mirror.position(), table.freshness.store_wait(time::Instant::now()))
        };
        let reason = match state.store.poll_changes(Watcher::NAME, position, wait).await? {
            store_client::StoreFeed::Changes(page) => {
                let changed = !page.rows.is_empty();
                merge_rows(state, watcher, page.rows, page.position);
                return Ok(changed);
            }
            store_client::StoreFeed::HistoryGone => "history gone",
            store_client::StoreFeed::Restored => "restored from a copy",
        };
        log::info!("store: {reason}, reading the full table. table={}", Watcher::NAME);
        self.full_read = true;
        Ok(false)
    }
}

/// Records whether the store replied, and wakes the nodes that wait for a fresh copy.
fn record_store_read<Watcher>(state: &state::GatewayState, replied: bool)
where
    Watcher: TableWatcher,
{
    let now = time::Instant::now();
    let mut tables = state.store_tables.lock();
    let table = tables.table(Watcher::TABLE);
    table.sources.record_store_read(replied, now);
    if !replied {
        table.freshness.record_store_failure();
        return;
    }
    let was_fresh = table.freshness.is_fresh(now);
    table.freshness.record_store_reply(now);
    drop(tables);
    if !was_fresh {
        state.tables_changed.notify(usize::MAX);
    }
}

async fn delay_retry() {
    let (min, max) = RETRY_DELAY_RANGE;
    let delay = rand::rng().random_range(min..max);
    async_io::Timer::after(delay).await;
}

/// Merges rows from a source that has all changes up to `position`, and applies those that changed.
/// Large rows of the store and of nodes of an older build come plain. Changes of another era than
/// this node's, which may have begun since the request, are dropped.
pub fn merge_rows<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    rows: Vec<types::StoreRow>,
    position: types::StorePosition,
) where
    Watcher: TableWatcher,
{
    let rows = row_compression::compress_rows(rows);
    let merged = state.store_tables.lock().table(Watcher::TABLE).mirror.merge(rows, position);
    match merged {
        Ok(changed_rows) => table_update::apply_rows(state, watcher, changed_rows),
        Err(error) => log::info!("store: rows dropped. table={} error={error}", Watcher::NAME),
    }
}
