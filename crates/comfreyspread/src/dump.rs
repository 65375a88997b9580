//! Dump of the whole state of a process, on request.

use crate::context;
use comfreyspread_schema::types;

/// Collects the state of the process.
pub fn collect(context: &context::NodeContext) -> types::NodeDump {
    let catalog = context.tables.catalog();
    types::NodeDump {
        change: catalog.change().clone(),
        claims: context.tables.claims.lock().rows().cloned().collect(),
        endpoints: Vec::new(),
        members: Vec::new(),
        node: context.settings.node.clone(),
        phase: context.tables.phase(),
        pools: Vec::new(),
        requests: context.active_requests(),
        revision: catalog.revision(),
        start: context.start,
        suspects: Vec::new(),
        vms_out: catalog.vms_out().cloned().collect(),
        zone: context.settings.zone.clone(),
        zones_out: catalog.zones_out().cloned().collect(),
    }
}
