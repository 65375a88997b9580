//! Exchange of the rows of the store's tables with other nodes.

use super::{row_compression, state, table_update, table_watcher};
use crate::{
    membership::peer,
    transport::{deadline, failure, http_client, http_message, http_server},
};
use comfreyspread_policy::{store_position, table_freshness, table_mirror, table_source};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use rand::seq::IteratorRandom as _;
use std::{net, sync, time};

/// Path of a request for rows, answered by a [`types::TableReply`].
pub const TABLE_PATH: &str = "/peer/tables";

/// Timeout of a request for rows, in addition to the time for which it waits for changes and to that
/// of a transfer as large as the largest row: a change is a few rows.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Rate in bytes a second at which a transfer from a node with a slow link to many others at once
/// still arrives in time.
const MIN_TRANSFER_RATE: f64 = 128.0 * 1024.0;
/// Maximum size of the changed rows in a reply to a long poll, in bytes as sent; beyond it, the
/// polling node reads the store itself.
const MAX_REPLY_BYTES: usize = 512 * 1024;
/// The same for a node of a build that accepts plain values only: it waits no longer for large ones.
const MAX_PLAIN_REPLY_BYTES: usize = 32 * 1024;
/// Time for which a node that starts waits to learn of another node of its zone.
const JOIN_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Interval at which it looks.
const JOIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Time for which a node without a copy waits for a peer to have one.
const START_WAIT: time::Duration = time::Duration::from_millis(800);

/// Waits until another node of this zone is known, for a bounded time. A node that starts takes the
/// tables from its zone then, rather than from the store.
pub async fn wait_for_zone_peer(state: &state::GatewayState) {
    let deadline = time::Instant::now() + JOIN_TIMEOUT;
    let seeds = &state.context.settings.seeds;
    let has_seeds = seeds.iter().any(|seed| *seed != state.context.settings.peer_address);
    while has_seeds && time::Instant::now() < deadline {
        if knows_zone_peer(state) {
            return;
        }
        async_io::Timer::after(JOIN_CHECK_INTERVAL).await;
    }
}

fn knows_zone_peer(state: &state::GatewayState) -> bool {
    let members = state.context.tables.members.lock();
    let in_zone = |record: &&types::MemberRecord| record.zone == state.settings.zone;
    members.live().filter(in_zone).count() > 1
}

/// Returns the source to take a table's rows from next.
pub fn next_source(
    state: &state::GatewayState,
    table: types::StoreTable,
) -> table_source::TableSource {
    let own = &state.context.settings.node;
    let now = time::Instant::now();
    let members = state.context.tables.members.lock();
    let mut tables = state.store_tables.lock();
    let watched = tables.table(table);
    // While this node has no copy, others that have none yet may read the store for it, too.
    let may_read = |record: &&types::MemberRecord| {
        record.zone == state.settings.zone
            && (record.node_phase == types::NodePhase::Serving
                || (!watched.mirror.is_loaded() && record.node_phase == types::NodePhase::Starting))
    };
    let readers = table_freshness::zone_readers(members.live().filter(may_read));
    watched.sources.next_source(&readers, own, now)
}

/// Waits for changes at a node that reads the store for the zone, and applies them. Returns whether
/// this node has a copy of the whole table from it.
pub async fn poll_reader<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    node: &ids::NodeId,
    address: net::SocketAddr,
) -> bool
where
    Watcher: table_watcher::TableWatcher,
{
    let wait = {
        let mut tables = state.store_tables.lock();
        let table = tables.table(Watcher::TABLE);
        let stale_wait = if table.mirror.is_loaded() { time::Duration::ZERO } else { START_WAIT };
        table.freshness.poll_wait(time::Instant::now()).max(stale_wait)
    };
    let result = fetch_rows::<Watcher>(state, address, wait).await;
    let now = time::Instant::now();
    let mut tables = state.store_tables.lock();
    let watched = tables.table(Watcher::TABLE);
    let table = Watcher::NAME;
    let reply = match result {
        Ok(reply) => reply,
        Err(failure) => {
            watched.sources.record_silent_reader(node, now);
            log::info!(node = node.as_ref();
                "store: the node that reads it gave no valid reply. table={table} error={failure}");
            return false;
        }
    };
    let known = watched.mirror.position().era;
    if reply.era < known {
        watched.sources.record_stale_reader(node, now);
        log::info!(node = node.as_ref(), era = reply.era, known = known;
            "store: the node that reads it has rows of an earlier era. table={table}");
        return false;
    }
    if reply.recovering {
        watched.freshness.record_outage(Some(false), now);
    }
    if !watched.freshness.record_peer_reply(reply.remaining_freshness, now) {
        watched.sources.record_stale_reader(node, now);
        log::info!(node = node.as_ref();
            "store: the node that reads it has no fresh copy. table={table}");
    }
    drop(tables);
    let loaded = reply.loaded;
    apply_reply(state, watcher, reply);
    loaded
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
    if reply.loaded && !reply.rows.is_empty() {
        log::info!(node = reply.header.node.as_ref(), rows = reply.rows.len(),
            answered = reply.store_reachable;
            "store: rows merged from another node. table={}", Watcher::NAME);
    }
    apply_reply(state, watcher, reply);
}

/// Applies the rows of another node. Rows of an earlier era than this node's are dropped.
fn apply_reply<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    reply: types::TableReply,
) where
    Watcher: table_watcher::TableWatcher,
{
    if !reply.loaded {
        return;
    }
    let position = store_position::of_reply(&reply);
    let mut tables = state.store_tables.lock();
    let mirror = &mut tables.table(Watcher::TABLE).mirror;
    let is_later = position.era > mirror.position().era;
    if !is_later && !reply.full {
        drop(tables);
        return table_watcher::merge_rows(state, watcher, reply.rows, position);
    }
    let rows = row_compression::compress_rows(reply.rows);
    let now = time::Instant::now();
    let update = if is_later {
        mirror.take_over(rows, position, reply.hold_left, now)
    } else {
        mirror.replace(rows, position, now)
    };
    drop(tables);
    match update {
        Ok(update) => table_update::apply_update(state, watcher, update),
        Err(error) => log::info!("store: rows dropped. table={} error={error}", Watcher::NAME),
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
    let (after, bytes) = {
        let mut tables = state.store_tables.lock();
        let mirror = &tables.table(Watcher::TABLE).mirror;
        (mirror.position(), mirror.largest_value_bytes())
    };
    let message = types::TableRequest {
        accepts_compressed: true,
        after_era: Some(after.era),
        after_version: after.version,
        header: state.context.peer_header(),
        table: Watcher::TABLE,
        wait,
    };
    let transfer_time = time::Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_RATE);
    let deadline = time::Instant::now() + wait + PEER_TIMEOUT + transfer_time;
    let connection = http_client::ConnectionUse::Pooled;
    let reply: types::TableReply =
        peer::exchange(&state.context, address, TABLE_PATH, &message, connection, deadline).await?;
    check_reply::<Watcher>(&reply)?;
    Ok(reply)
}

fn check_reply<Watcher>(reply: &types::TableReply) -> Result<(), failure::CallFailure>
where
    Watcher: table_watcher::TableWatcher,
{
    row_compression::check_rows(&reply.rows).map_err(|error| {
        log::error!(node = reply.header.node.as_ref();
            "store: invalid rows from another node. table={} error={error}", Watcher::NAME);
        let detail = format!("the rows are not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::Internal, detail)
    })
}

fn random_peer(state: &state::GatewayState) -> Option<net::SocketAddr> {
    let own = &state.context.settings.node;
    let members = state.context.tables.members.lock();
    let others = members.live().filter(|record| record.node != *own);
    others.map(|record| record.address).choose(&mut rand::rng())
}

/// Serves a request of another node for rows; replies once there are changes, the wait is over or
/// this node's copy is no longer fresh. A copy that is stale at first may become fresh meanwhile.
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
    let mut asked_while_fresh = false;
    loop {
        let changed = state.tables_changed.listen();
        let (reply, withheld) = build_reply(state, &message);
        let now = time::Instant::now();
        let fresh_until = now + reply.remaining_freshness;
        let (after, position) =
            (request_position(&message, reply.era), store_position::of_reply(&reply));
        let has_changes = position > after && (reply.full || !reply.rows.is_empty());
        let other_era = position.era != after.era;
        let was_fresh = fresh_until > now;
        if withheld
            || has_changes
            || other_era
            || wait_until <= now
            || (asked_while_fresh && !was_fresh)
        {
            return peer::encode_reply(&reply);
        }
        asked_while_fresh |= was_fresh;
        let reply_by = if was_fresh { wait_until.min(fresh_until) } else { wait_until };
        let timeout = deadline::DeadlineTimer::new(reply_by);
        request
            .connection_monitor()
            .run_while_connected(changed.or(timeout))
            .await
            .ok_or_else(peer::sender_disconnected)?;
    }
}

/// Returns the position up to which the sender of a request has all changes. A build that knows no
/// eras is taken to be in this node's.
fn request_position(message: &types::TableRequest, own_era: ids::StoreEra) -> types::StorePosition {
    let era = message.after_era.unwrap_or(own_era);
    types::StorePosition { era, version: message.after_version }
}

/// Whether a mirror may lack removals that the sender of a request needs to know.
fn lacks_history(mirror: &table_mirror::TableMirror, message: &types::TableRequest) -> bool {
    let after = request_position(message, mirror.position().era);
    message.after_era.is_some() && after.version > 0 && mirror.lacks_history(after)
}

/// Returns the rows of a mirror that the sender of a request lacks.
fn requested_rows(
    mirror: &table_mirror::TableMirror,
    message: &types::TableRequest,
) -> Vec<types::StoreRow> {
    if message.after_era.is_none() {
        return mirror.rows_after_version(message.after_version);
    }
    mirror.rows_after(request_position(message, mirror.position().era))
}

/// Returns the reply to a request for rows, and whether its rows were left out for their size, so that
/// the polling node reads the store.
fn build_reply(
    state: &state::GatewayState,
    message: &types::TableRequest,
) -> (types::TableReply, bool) {
    let now = time::Instant::now();
    let header = state.context.peer_header();
    let mut tables = state.store_tables.lock();
    let table = tables.table(message.table);
    let mut reply = types::TableReply {
        store_reachable: table.freshness.store_reachable(),
        recovering: table.freshness.is_recovering(now),
        remaining_freshness: table.freshness.remaining_freshness(now),
        era: table.mirror.position().era,
        full: lacks_history(&table.mirror, message),
        header,
        hold_left: table.mirror.hold_left(now),
        loaded: table.mirror.is_loaded(),
        rows: requested_rows(&table.mirror, message),
        version: table.mirror.position().version,
    };
    drop(tables);
    let max_bytes = if message.accepts_compressed {
        MAX_REPLY_BYTES
    } else {
        reply.rows = row_compression::decompress_rows(reply.rows);
        MAX_PLAIN_REPLY_BYTES
    };
    let size = |row: &types::StoreRow| row.value.as_ref().map_or(0, |value| value.len());
    let bytes: usize = reply.rows.iter().map(size).sum();
    let has_copy = message.after_version > 0;
    let withheld = has_copy && !message.wait.is_zero() && bytes > max_bytes;
    if withheld {
        reply.rows.clear();
        reply.loaded = false;
        reply.remaining_freshness = time::Duration::ZERO;
    }
    (reply, withheld)
}
