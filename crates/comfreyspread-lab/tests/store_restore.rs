//! Restores of the platform's store from a copy that lacks the latest changes.

mod common;

use comfreyspread_lab::fleet;
use comfreyspread_policy::{table_freshness, table_hold};
use comfreyspread_schema::{ids, types};
use common::gateway;
use std::time;

const NODES: u64 = 3;
/// Time for the nodes to discover each other.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(3);
/// Maximum time until a change is in force on all nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Time for which the store is away before it is restored.
const AWAY_TIME: time::Duration = time::Duration::from_millis(1200);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Full reads of both tables that a node may make in [`AWAY_TIME`].
const MAX_FULL_READS: u64 = 6;
/// Zone that is taken out of service.
const OUT_KEY: &str = "evacuate/zone-9";

async fn dump(node: &fleet::FleetNode) -> types::GatewayDump {
    let (_, dump) = gateway::get(node.admin_address, "/dump").await;
    serde_json::from_str(&dump).expect("a dump")
}

/// Waits until a condition holds on all nodes, and returns the time it took.
async fn wait_for<Condition>(nodes: &[fleet::FleetNode], condition: Condition) -> time::Duration
where
    Condition: Fn(&types::GatewayDump) -> bool,
{
    let started = time::Instant::now();
    for node in nodes {
        while !condition(&dump(node).await) && started.elapsed() < gateway::RESPONSE_TIMEOUT {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    }
    started.elapsed()
}

async fn wait_for_version(nodes: &[fleet::FleetNode], version: u64) {
    let elapsed = wait_for(nodes, |dump| dump.routes_version == version).await;
    assert!(elapsed < APPLY_LIMIT, "version {version} in force after {elapsed:?}");
}

fn knows_endpoint(dump: &types::GatewayDump, name: &str) -> bool {
    dump.endpoints.iter().any(|view| &*view.endpoint == name)
}

fn set_endpoint(fleet: &fleet::FleetStandIn, name: &str) {
    let row = serde_json::json!({
        "service": "unused", "address": "127.0.0.1:9", "zone": "b", "version": "2026.12.05-1",
        "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    });
    fleet.set_row("servers", name, Some(&row.to_string()));
}

/// Takes the store away for a moment and restores it from a copy.
async fn restore(fleet: &fleet::FleetStandIn, copy: &comfreyspread_lab::fleet_store::StoreCopy) {
    fleet.set_store_down(true);
    async_io::Timer::after(AWAY_TIME).await;
    fleet.store().restore(copy);
    fleet.set_store_down(false);
}

fn with_nodes<Test, TestFuture>(count: u64, test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, Vec<fleet::FleetNode>) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    gateway::with_fleet(async |fleet| {
        let nodes = gateway::start_nodes(&fleet, count).await;
        async_io::Timer::after(DISCOVERY_TIME).await;
        test(fleet, nodes).await;
    });
}

/// Guards against nodes that take no change from a restored store until its versions have passed
/// those of before: routes that were confirmed were not in force, and added ones got 404.
#[test]
fn change_after() {
    with_nodes(NODES, async |fleet, nodes| {
        let copy = fleet.store().copy();
        for version in 2..8 {
            fleet.set_route_document(&gateway::route_document(version));
        }
        wait_for_version(&nodes, 7).await;
        restore(&fleet, &copy).await;
        async_io::Timer::after(AWAY_TIME).await;
        fleet.set_route_document(&gateway::route_document(8));
        wait_for_version(&nodes, 8).await;
    });
}

/// Guards against nodes that go back to the copy's routes, or drop endpoints that it lacks, while
/// their writers have not written them again.
#[test]
fn rows_lost() {
    with_nodes(NODES, async |fleet, nodes| {
        let copy = fleet.store().copy();
        fleet.set_route_document(&gateway::route_document(2));
        set_endpoint(&fleet, "added");
        wait_for_version(&nodes, 2).await;
        wait_for(&nodes, |dump| knows_endpoint(dump, "added")).await;
        restore(&fleet, &copy).await;
        let restored = time::Instant::now();
        while restored.elapsed() < table_hold::HOLD_TIME - AWAY_TIME {
            for node in &nodes {
                let dump = dump(node).await;
                assert_eq!(dump.routes_version, 2, "{:?} after", restored.elapsed());
                assert!(knows_endpoint(&dump, "added"), "{:?} after", restored.elapsed());
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        set_endpoint(&fleet, "added");
        fleet.set_route_document(&gateway::route_document(2));
        async_io::Timer::after(AWAY_TIME * 3).await;
        for node in &nodes {
            let dump = dump(node).await;
            assert!(knows_endpoint(&dump, "added") && dump.routes_version == 2);
        }
    });
}

/// Guards against an endpoint that is served for ever though no writer registers it again.
#[test]
fn rows_gone() {
    with_nodes(NODES, async |fleet, nodes| {
        let copy = fleet.store().copy();
        set_endpoint(&fleet, "gone");
        wait_for(&nodes, |dump| knows_endpoint(dump, "gone")).await;
        restore(&fleet, &copy).await;
        let elapsed = wait_for(&nodes, |dump| !knows_endpoint(dump, "gone")).await;
        assert!(elapsed < table_hold::HOLD_TIME + APPLY_LIMIT, "gone after {elapsed:?}");
    });
}

/// Guards against a second restore, to an older copy than the first, whose versions are taken for
/// newer than those that were given out between the two.
#[test]
fn restored_twice() {
    with_nodes(NODES, async |fleet, nodes| {
        let oldest = fleet.store().copy();
        fleet.set_row("op", OUT_KEY, Some("{}"));
        fleet.set_row("op", OUT_KEY, None);
        let older = fleet.store().copy();
        fleet.set_route_document(&gateway::route_document(2));
        wait_for_version(&nodes, 2).await;
        restore(&fleet, &oldest).await;
        async_io::Timer::after(AWAY_TIME).await;
        fleet.set_route_document(&gateway::route_document(3));
        wait_for_version(&nodes, 3).await;
        restore(&fleet, &older).await;
        async_io::Timer::after(AWAY_TIME).await;
        for node in &nodes {
            assert_eq!(dump(node).await.routes_version, 3);
        }
        fleet.set_route_document(&gateway::route_document(4));
        wait_for_version(&nodes, 4).await;
    });
}

/// Guards against a node that was stopped over the whole of it and brings rows back that the others
/// have given up, or goes on with its own.
#[test]
fn node_frozen() {
    with_nodes(NODES, async |fleet, nodes| {
        let copy = fleet.store().copy();
        fleet.set_route_document(&gateway::route_document(2));
        set_endpoint(&fleet, "gone");
        wait_for_version(&nodes, 2).await;
        wait_for(&nodes, |dump| knows_endpoint(dump, "gone")).await;
        nodes[1].process.signal(rustix::process::Signal::STOP);
        restore(&fleet, &copy).await;
        fleet.set_route_document(&gateway::route_document(3));
        async_io::Timer::after(table_hold::HOLD_TIME + APPLY_LIMIT).await;
        nodes[1].process.signal(rustix::process::Signal::CONT);
        wait_for_version(&nodes, 3).await;
        async_io::Timer::after(APPLY_LIMIT).await;
        let elapsed = wait_for(&nodes, |dump| !knows_endpoint(dump, "gone")).await;
        assert!(elapsed < table_hold::HOLD_TIME + APPLY_LIMIT, "gone after {elapsed:?}");
    });
}

/// Returns the name of a node that would read the store first in the zone of these members.
fn reader_name(members: &[types::MemberRecord]) -> ids::NodeId {
    let names = (100..200).map(|number| ids::NodeId::from(format!("node-{number}")));
    let mut candidates = names.map(|node| types::MemberRecord { node, ..members[0].clone() });
    let is_first = |candidate: &types::MemberRecord| {
        let all = members.iter().chain([candidate]);
        table_freshness::zone_readers(all)[0].node == candidate.node
    };
    candidates.find(is_first).expect("a node that ranks first").node
}

/// Guards against a node that starts after the restore, reads the store itself and takes the copy's
/// rows, while the others still hold them back.
#[test]
fn node_starts() {
    with_nodes(NODES, async |fleet, nodes| {
        let copy = fleet.store().copy();
        fleet.set_route_document(&gateway::route_document(2));
        wait_for_version(&nodes, 2).await;
        restore(&fleet, &copy).await;
        async_io::Timer::after(AWAY_TIME).await;
        let seeds = [nodes[0].peer_address];
        let name = reader_name(&dump(&nodes[0]).await.members);
        let started = fleet.start_node(&gateway::program(), &name, &seeds).await;
        let started = started.expect("a node");
        wait_for_version(&[started], 2).await;
    });
}

/// Guards against a late answer of before the restore that is applied.
#[test]
fn earlier_era() {
    gateway::with_node(async |fleet, node| {
        let copy = fleet.store().copy();
        restore(&fleet, &copy).await;
        async_io::Timer::after(AWAY_TIME).await;
        fleet.set_route_document(&gateway::route_document(2));
        let nodes = [node];
        wait_for_version(&nodes, 2).await;
        fleet.store().set_era(1);
        fleet.set_route_document(&gateway::route_document(3));
        async_io::Timer::after(APPLY_LIMIT).await;
        assert_eq!(dump(&nodes[0]).await.routes_version, 2);
        fleet.store().set_era(2);
        wait_for_version(&nodes, 3).await;
    });
}

/// Guards against full reads in a loop without a pause while the store has no history.
#[test]
fn reads_paced() {
    gateway::with_node(async |fleet, node| {
        fleet.store().set_history_gone(true);
        async_io::Timer::after(AWAY_TIME).await;
        let reads_before = fleet.store().full_reads();
        async_io::Timer::after(AWAY_TIME).await;
        let reads = fleet.store().full_reads() - reads_before;
        assert!(reads <= MAX_FULL_READS, "{reads} full reads in {AWAY_TIME:?}");
        fleet.set_route_document(&gateway::route_document(2));
        wait_for_version(&[node], 2).await;
    });
}
