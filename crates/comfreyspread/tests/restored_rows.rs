//! Routes and endpoints, while the store comes back from a copy.
//!
//! Rows go through the mirror to the watchers as on a running node; the end of a hold is brought
//! forward.

use comfreyspread::{
    gateway::{endpoint_watcher, route_watcher, state, table_update, table_watcher},
    runtime::{context, settings, worker},
};
use comfreyspread_policy::table_hold;
use comfreyspread_schema::{settings as schema_settings, types};
use std::{sync, time};

const SAMPLE_DOCUMENT: &str = include_str!("../../comfreyspread-lab/samples/fleet.json");

/// Runs `check` with the state of a gateway node that reads no store by itself.
fn with_state<Check>(check: Check)
where
    Check: FnOnce(&sync::Arc<state::GatewayState>),
{
    let pool = worker::WorkerPool::new(1).expect("a thread");
    let flags = schema_settings::NodeFlags {
        node: Some("node-1".to_owned()),
        vm: Some("node-1".to_owned()),
        zone: Some("a".to_owned()),
        region: Some("r".to_owned()),
        caller_address: Some("127.0.0.1:1".to_owned()),
        peer_address: Some("127.0.0.1:2".to_owned()),
        platform_address: Some("127.0.0.1:3".to_owned()),
        ..schema_settings::NodeFlags::default()
    };
    let settings = settings::NodeSettings::new(&flags, &indexmap::IndexMap::new());
    let settings = settings.expect("valid settings");
    let context = sync::Arc::new(context::NodeContext::new(settings, pool.spawner()));
    let gateway_settings = serde_json::from_value(serde_json::json!({
        "caller_address": "127.0.0.1:1", "cold_factor": 1.0, "cold_slack": 1.0, "connections": 100,
        "node": "node-1", "peer_address": "127.0.0.1:2", "ready_address": "127.0.0.1:4",
        "region": "r", "retry_ratio": 0.1, "retry_slack": 1.0, "seeds": [],
        "store_address": "127.0.0.1:3", "zone": "a", "zones": { "a": "r" }, "exposure_share": 0.0,
        "exposure_slack": 0.0, "memory_bytes": 0,
    }));
    let gateway_settings = gateway_settings.expect("gateway settings");
    check(&sync::Arc::new(state::GatewayState::new(context, gateway_settings)));
    pool.stop();
}

fn position(era: u64, version: u64) -> types::StorePosition {
    types::StorePosition { era, version }
}

fn row(key: &str, value: &serde_json::Value, at: types::StorePosition) -> types::StoreRow {
    types::StoreRow {
        compressed: false,
        era: at.era,
        key: key.into(),
        value: Some(value.to_string().into_bytes().into()),
        version: at.version,
    }
}

fn document(version: u64, at: types::StorePosition) -> types::StoreRow {
    let mut document: serde_json::Value = serde_json::from_str(SAMPLE_DOCUMENT).expect("a sample");
    document["version"] = version.into();
    row("config", &document, at)
}

fn registration(state: &str, born: u64, at: types::StorePosition) -> types::StoreRow {
    let registration = serde_json::json!({
        "service": "s", "address": "127.0.0.1:9", "zone": "a", "version": "1", "slots": 4,
        "state": state, "cold_left_ms": 0, "seq": 1, "born": born,
    });
    row("i-1", &registration, at)
}

/// Applies a read of the full table that holds one row.
fn read_table<Watcher>(
    state: &sync::Arc<state::GatewayState>,
    watcher: &Watcher,
    row: types::StoreRow,
) where
    Watcher: table_watcher::TableWatcher,
{
    let at = position(row.era, row.version);
    let update = {
        let mut tables = state.store_tables.lock();
        let mirror = &mut tables.table(Watcher::TABLE).mirror;
        mirror.replace(vec![row], at, time::Instant::now())
    };
    table_update::apply_update(state, watcher, update.expect("a present era"));
}

fn end_hold<Watcher>(state: &sync::Arc<state::GatewayState>, watcher: &Watcher)
where
    Watcher: table_watcher::TableWatcher,
{
    let after = time::Instant::now() + table_hold::HOLD_TIME;
    let end = state.store_tables.lock().table(Watcher::TABLE).mirror.end_hold(after);
    watcher.end_hold(state, end.expect("a hold").rows);
}

fn is_usable(state: &state::GatewayState) -> bool {
    state.directory.lock().usable("s", None, time::Instant::now()).next().is_some()
}

fn is_leaving(state: &state::GatewayState) -> bool {
    state.directory.lock().counts(time::Instant::now()).leaving == 1
}

/// Guards against documents of an operator that goes on from the copy, and of which none is in
/// force until its version has passed the one that was.
#[test]
fn earlier_document() {
    let watcher = route_watcher::RouteWatcher;
    with_state(|state| {
        read_table(state, &watcher, document(12, position(1, 20)));
        read_table(state, &watcher, document(10, position(2, 15)));
        assert_eq!(state.routes().version(), 12, "the copy is old");
        let again = vec![document(11, position(2, 16))];
        table_watcher::merge_rows(state, &watcher, again, position(2, 16));
        assert_eq!(state.routes().version(), 12, "written again, and more may follow");
        end_hold(state, &watcher);
        assert_eq!(state.routes().version(), 11, "what the store holds is in force");
        let next = vec![document(12, position(2, 17))];
        table_watcher::merge_rows(state, &watcher, next, position(2, 17));
        assert_eq!(state.routes().version(), 12);
    });
}

/// Guards against a node that missed several returns of the store and holds back, as if it were
/// old, a document that is newer than its own.
#[test]
fn missed_document() {
    let watcher = route_watcher::RouteWatcher;
    with_state(|state| {
        read_table(state, &watcher, document(10, position(1, 20)));
        read_table(state, &watcher, document(10, position(2, 9)));
        read_table(state, &watcher, document(12, position(3, 8)));
        assert_eq!(state.routes().version(), 12);
    });
}

/// Guards against a zone that is taken out again before the first read of the restored store, and is
/// left only once the hold is over, since the row looks like one of the copy.
#[test]
fn zone_out_again() {
    let watcher = route_watcher::RouteWatcher;
    let out = |at| row("evacuate/a", &serde_json::json!({}), at);
    with_state(|state| {
        let endpoint = registration("ready", 1000, position(1, 5));
        read_table(state, &endpoint_watcher::EndpointWatcher, endpoint);
        read_table(state, &watcher, out(position(1, 18)));
        let removed = types::StoreRow { value: None, ..out(position(1, 20)) };
        table_watcher::merge_rows(state, &watcher, vec![removed], position(1, 20));
        assert!(is_usable(state));
        read_table(state, &watcher, out(position(2, 12)));
        assert!(!is_usable(state));
    });
}

/// Guards against an endpoint that is used again though it leaves, because the copy has it ready.
#[test]
fn leaving_endpoint() {
    let watcher = endpoint_watcher::EndpointWatcher;
    with_state(|state| {
        read_table(state, &watcher, registration("ready", 5, position(1, 19)));
        read_table(state, &watcher, registration("draining", 5, position(1, 20)));
        read_table(state, &watcher, registration("ready", 5, position(2, 19)));
        assert!(is_leaving(state), "held back");
        end_hold(state, &watcher);
        assert!(is_leaving(state), "the same process");
        read_table(state, &watcher, registration("ready", 6, position(2, 21)));
        assert!(!is_leaving(state), "a later process");
    });
}

/// Guards against a node that missed several returns of the store and goes on with a process that
/// leaves or is gone.
#[test]
fn missed_registration() {
    let watcher = endpoint_watcher::EndpointWatcher;
    for (newer, leaves) in [(("draining", 5), true), (("ready", 6), false)] {
        with_state(|state| {
            read_table(state, &watcher, registration("ready", 5, position(1, 20)));
            read_table(state, &watcher, registration("ready", 5, position(2, 9)));
            read_table(state, &watcher, registration(newer.0, newer.1, position(3, 8)));
            assert_eq!(is_leaving(state), leaves, "{newer:?}");
            assert_eq!(state.directory.lock().started_at_ms(&"i-1".into()), newer.1, "{newer:?}");
        });
    }
}
