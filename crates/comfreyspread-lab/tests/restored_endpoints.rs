//! Endpoints and routes whose own order has to outlast a restore of the platform's store.

mod common;

use comfreyspread_lab::fleet;
use comfreyspread_policy::table_hold;
use comfreyspread_schema::types;
use common::gateway;
use std::time;

/// Maximum time until a change is in force on a node.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

async fn dump(node: &fleet::FleetNode) -> types::GatewayDump {
    let (_, dump) = gateway::get(node.admin_address, "/dump").await;
    serde_json::from_str(&dump).expect("a dump")
}

/// Waits until a condition holds on a node.
async fn wait_for<Condition>(node: &fleet::FleetNode, limit: time::Duration, condition: Condition)
where
    Condition: Fn(&types::GatewayDump) -> bool,
{
    let started = time::Instant::now();
    while !condition(&dump(node).await) {
        assert!(started.elapsed() < limit, "not in force after {:?}", started.elapsed());
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

fn is_leaving(dump: &types::GatewayDump, name: &str) -> bool {
    dump.endpoints.iter().any(|view| &*view.endpoint == name && view.leaving)
}

fn set_endpoint(fleet: &fleet::FleetStandIn, state: &str) {
    let row = serde_json::json!({
        "service": "unused", "address": "127.0.0.1:9", "zone": "b", "version": "2026.12.05-1",
        "slots": 4, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    });
    fleet.set_row("servers", "i-1", Some(&row.to_string()));
}

/// Guards against an endpoint that is used again though it leaves, because the copy has it ready.
#[test]
fn leaving_endpoint() {
    gateway::with_node(async |fleet, node| {
        set_endpoint(&fleet, "ready");
        let copy = fleet.store().copy();
        set_endpoint(&fleet, "draining");
        wait_for(&node, APPLY_LIMIT, |dump| is_leaving(dump, "i-1")).await;
        fleet.store().restore(&copy);
        let restored = time::Instant::now();
        while restored.elapsed() < table_hold::HOLD_TIME + APPLY_LIMIT {
            assert!(is_leaving(&dump(&node).await, "i-1"), "{:?} after", restored.elapsed());
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    });
}

/// Guards against documents of an operator that goes on from the copy, and of which none is in
/// force until its version has passed the one that was.
#[test]
fn earlier_document() {
    gateway::with_node(async |fleet, node| {
        let copy = fleet.store().copy();
        fleet.set_route_document(&gateway::route_document(9));
        wait_for(&node, APPLY_LIMIT, |dump| dump.routes_version == 9).await;
        fleet.store().restore(&copy);
        fleet.set_route_document(&gateway::route_document(4));
        let limit = table_hold::HOLD_TIME + APPLY_LIMIT;
        wait_for(&node, limit, |dump| dump.routes_version == 4).await;
        fleet.set_route_document(&gateway::route_document(5));
        wait_for(&node, APPLY_LIMIT, |dump| dump.routes_version == 5).await;
    });
}
