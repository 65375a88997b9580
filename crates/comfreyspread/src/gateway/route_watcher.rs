//! Applies the operator's table: routes, and availability zones out of service.

use super::{state, table_watcher};
use comfreyspread_platform::{route_document, store};
use comfreyspread_policy::route_table;
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
            } else if *row.key == *store::ROUTES_KEY
                && let Some(body) = &row.value
            {
                apply_routes(state, body);
            }
        }
    }
}

/// Applies a route document if it is newer than the active one.
fn apply_routes(state: &state::GatewayState, body: &[u8]) {
    let decoded = match route_document::decode(body) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::error!("routes: document not valid, keeping the active one. error={error}");
            return;
        }
    };
    let mut routes = state.routes.lock();
    if decoded.version <= routes.version() {
        return;
    }
    log_routes(&decoded);
    *routes = sync::Arc::new(route_table::RouteTable::new(decoded));
    drop(routes);
    state.routes_changed.notify(usize::MAX);
}

/// Logs a route document that becomes active, with how many of its rules are limited to regions.
fn log_routes(document: &types::RouteDocument) {
    let limited = document.routes.iter().filter(|route| !route.allowed_regions.is_empty()).count();
    let workspaces = document.workspaces.iter();
    let limited_workspaces =
        workspaces.filter(|workspace| !workspace.allowed_regions.is_empty()).count();
    log::info!(version = document.version, routes = document.routes.len(),
        limited_routes = limited, limited_workspaces = limited_workspaces; "routes: applied");
}
