//! Applies the operator's table: routes, availability zones out of service, and orders of
//! roll-outs.
//!
//! A route document has a version of its own, which decides while a restored store may hold an older
//! one. Once the hold is over, the store's document is in force, whatever its version.

use super::{rollout::rollout_orders, row_compression, state, table_watcher};
use comfreyspread_platform::{route_document, store};
use comfreyspread_policy::{route_table, stage_order, store_position};
use comfreyspread_schema::types;
use std::sync;

/// Watches the operator's table.
#[derive(Clone, Copy, Debug)]
pub struct RouteWatcher;

impl table_watcher::TableWatcher for RouteWatcher {
    const NAME: &'static str = store::OPERATOR_TABLE;
    const TABLE: types::StoreTable = types::StoreTable::Operator;

    fn apply_rows(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        for row in rows {
            if let Some(zone) = row.key.strip_prefix(store::ZONE_OUT_PREFIX) {
                let out = row.value.is_some();
                log::info!(zone = zone, out = out, version = row.version; "routes: zone changed");
                state.directory.lock().set_zone_out(zone.into(), out);
            } else if let Some(service) = row.key.strip_prefix(store::ROLLOUT_PREFIX) {
                rollout_orders::apply_row(state, service, &row);
            } else if *row.key == *store::ROUTES_KEY
                && let Some(body) = &row.value
            {
                apply_routes(state, body, DocumentOrder::OwnVersion);
            }
        }
    }

    /// A higher document is newer. A zone that is out may be so again: it is left at once, for if the
    /// row is old, its removal follows.
    fn confirms(&self, state: &sync::Arc<state::GatewayState>, row: &types::StoreRow) -> bool {
        if row.key.starts_with(store::ZONE_OUT_PREFIX) {
            return row.value.is_some();
        }
        if *row.key != *store::ROUTES_KEY {
            return false;
        }
        let document = row.value.as_ref().and_then(|body| route_document::decode(body).ok());
        document.is_some_and(|document| document.version > state.routes().version())
    }

    fn end_hold(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        self.apply_rows(state, rows);
        apply_stored_routes(state);
    }
}

/// What decides whether a route document replaces the active one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DocumentOrder {
    /// Its own version has to be higher.
    OwnVersion,
    /// It is the one in the store, and nothing is held back.
    Store,
}

/// Applies the route document that the store holds now. Repeats if another one comes meanwhile,
/// which may have been applied before this one.
fn apply_stored_routes(state: &state::GatewayState) {
    let mut applied = None;
    loop {
        let stored = {
            let tables = state.store_tables.lock();
            tables.operator.mirror.row(store::ROUTES_KEY).cloned()
        };
        let position = stored.as_ref().map(store_position::of_row);
        if position == applied {
            return;
        }
        applied = position;
        let rows = row_compression::decompress_rows(stored.into_iter().collect());
        for body in rows.iter().filter_map(|row| row.value.as_ref()) {
            apply_routes(state, body, DocumentOrder::Store);
        }
    }
}

/// Applies a route document, unless `order` keeps the active one.
fn apply_routes(state: &state::GatewayState, body: &[u8], order: DocumentOrder) {
    let decoded = match route_document::decode(body) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::error!("routes: document not valid, keeping the active one. error={error}");
            return;
        }
    };
    let mut routes = state.routes.lock();
    let active = routes.version();
    if decoded.version <= active && order == DocumentOrder::OwnVersion {
        return;
    }
    if decoded.version < active {
        log::warn!(version = decoded.version, active = active;
            "routes: the restored store has an earlier document, and it holds from now on");
    }
    log_routes(&decoded);
    *routes = sync::Arc::new(route_table::RouteTable::new(decoded));
    drop(routes);
    state.routes_changed.notify(usize::MAX);
}

/// Logs a route document that becomes active, with how many of its rules are limited to regions, and
/// the routes whose stages cannot run.
fn log_routes(document: &types::RouteDocument) {
    let limited = document.routes.iter().filter(|route| !route.allowed_regions.is_empty()).count();
    let workspaces = || document.workspaces.iter().flatten();
    let limited_workspaces =
        workspaces().filter(|workspace| !workspace.allowed_regions.is_empty()).count();
    let keys: usize = workspaces().map(|workspace| workspace.keys.len()).sum();
    log::info!(version = document.version, routes = document.routes.len(),
        limited_routes = limited, limited_workspaces = limited_workspaces,
        needs_key = document.workspaces.is_some(), keys = keys; "routes: applied");
    for route in &document.routes {
        if let Err(error) = stage_order::StageOrder::new(&route.stages) {
            log::error!(route = route.name.as_ref(), version = document.version;
                "routes: the stages cannot run, requests are rejected. error={error}");
        }
    }
}
