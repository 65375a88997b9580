//! Applies what came into force in a mirror of a store table, and ends the hold of a new era.

use super::{row_compression, state, table_watcher};
use comfreyspread_policy::table_mirror;
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// Applies an update of a table, also an empty one, which shows that the table is read. If it began an
/// era of the store, rows held back that the watcher confirms are applied at once, and the others when
/// the hold is over.
pub fn apply_update<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    update: table_mirror::MirrorUpdate,
) where
    Watcher: table_watcher::TableWatcher,
{
    watcher.apply_rows(state, row_compression::decompress_rows(update.rows));
    state.tables_changed.notify(usize::MAX);
    let Some(change) = update.era_change else { return };
    state.context.metrics.store.count_era_change(change.held);
    log::warn!(old_era = change.old.era, old_version = change.old.version, era = change.new.era,
        version = change.new.version, held = change.held, hold_ms = change.hold.as_millis();
        "store: restored from a copy. table={}", Watcher::NAME);
    confirm_rows(state, watcher);
    let task = end_hold(state.clone(), watcher.clone(), change);
    state.context.spawner.detach(task);
}

/// Applies rows that came into force, if there are any.
pub fn apply_rows<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    rows: Vec<types::StoreRow>,
) where
    Watcher: table_watcher::TableWatcher,
{
    if rows.is_empty() {
        return;
    }
    watcher.apply_rows(state, row_compression::decompress_rows(rows));
    state.tables_changed.notify(usize::MAX);
}

/// Applies the rows held back that the watcher knows to be newer than what is in force.
fn confirm_rows<Watcher>(state: &sync::Arc<state::GatewayState>, watcher: &Watcher)
where
    Watcher: table_watcher::TableWatcher,
{
    let held = state.store_tables.lock().table(Watcher::TABLE).mirror.held_rows();
    let held = row_compression::decompress_rows(held);
    let confirmed: Vec<ids::Text> =
        held.into_iter().filter(|row| watcher.confirms(state, row)).map(|row| row.key).collect();
    let rows = {
        let mut tables = state.store_tables.lock();
        let mirror = &mut tables.table(Watcher::TABLE).mirror;
        confirmed.iter().filter_map(|key| mirror.confirm_row(key)).collect()
    };
    apply_rows(state, watcher, rows);
}

/// Waits until the hold of an era is over and lets the watcher apply what is still held back. Does
/// nothing if a further era has begun meanwhile, as that has a hold of its own.
async fn end_hold<Watcher>(
    state: sync::Arc<state::GatewayState>,
    watcher: Watcher,
    change: table_mirror::EraChange,
) where
    Watcher: table_watcher::TableWatcher,
{
    async_io::Timer::after(change.hold).await;
    let ended = {
        let mut tables = state.store_tables.lock();
        let mirror = &mut tables.table(Watcher::TABLE).mirror;
        if mirror.position().era != change.new.era {
            return;
        }
        mirror.end_hold(time::Instant::now())
    };
    let Some(end) = ended else { return };
    state.context.metrics.store.count_hold(&end.summary);
    let summary = end.summary;
    log::info!(era = change.new.era, held = summary.held, rewritten = summary.rewritten,
        confirmed = summary.confirmed, expired = summary.expired;
        "store: hold over. table={}", Watcher::NAME);
    watcher.end_hold(&state, row_compression::decompress_rows(end.rows));
    state.tables_changed.notify(usize::MAX);
}
