//! Keeps a copy of a store table: reads it in full once, then polls for changes, either at the
//! store or at the node that reads the store for this node's availability zone. While the store
//! does not respond to this node, rows are fetched from other nodes.

use super::{row_compression, state, store_client, table_exchange};
use crate::transport::failure;
use comfreyspread_policy::{table_freshness, table_mirror, table_source};
use comfreyspread_schema::types;
use rand::Rng as _;
use std::{sync, time};

/// Delay after a change, so that closely following changes arrive in one response.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(400);
/// Minimum and maximum delay before a retry after the store did not respond.
const RETRY_DELAY_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(150), time::Duration::from_millis(450));

/// Receiver of the rows of a table.
pub trait TableWatcher: Send + Sync {
    /// Name of the table in the store.
    const NAME: &'static str;
    /// The table.
    const TABLE: types::StoreTable;

    /// Applies changed rows; the first call passes all rows.
    fn apply_rows(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>);
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
    let mut reading = StoreReading { full_read: true, reachable: true };
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
        let result = read_store(state, watcher, &mut self.full_read).await;
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

/// Reads the full table or its changes from the store once. Returns whether changes arrived; a full
/// read returns false.
async fn read_store<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    full_read: &mut bool,
) -> Result<bool, failure::CallFailure>
where
    Watcher: TableWatcher,
{
    if *full_read {
        let page = state.store.read_table(Watcher::NAME).await?;
        *full_read = false;
        let rows = row_compression::compress_rows(page.rows);
        let changed_rows =
            state.store_tables.lock().table(Watcher::TABLE).mirror.replace(rows, page.version);
        watcher.apply_rows(state, row_compression::decompress_rows(changed_rows));
        state.tables_changed.notify(usize::MAX);
        return Ok(false);
    }
    let (version, wait) = {
        let mut tables = state.store_tables.lock();
        let table = tables.table(Watcher::TABLE);
        (table.mirror.complete_version(), table.freshness.store_wait(time::Instant::now()))
    };
    match state.store.poll_changes(Watcher::NAME, version, wait).await? {
        store_client::StoreFeed::HistoryGone => {
            log::info!("store: history gone, reading the full table. table={}", Watcher::NAME);
            *full_read = true;
            Ok(false)
        }
        store_client::StoreFeed::Changes(page) => {
            let changed = !page.rows.is_empty();
            merge_rows(state, watcher, page.rows, page.version);
            Ok(changed)
        }
    }
}

/// Merges rows from a source that has all changes up to `version`, and applies those that changed.
/// Large rows of the store and of nodes of an older build come plain.
pub fn merge_rows<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    rows: Vec<types::StoreRow>,
    version: u64,
) where
    Watcher: TableWatcher,
{
    let rows = row_compression::compress_rows(rows);
    let changed_rows = state.store_tables.lock().table(Watcher::TABLE).mirror.merge(rows, version);
    if !changed_rows.is_empty() {
        watcher.apply_rows(state, row_compression::decompress_rows(changed_rows));
        state.tables_changed.notify(usize::MAX);
    }
}
