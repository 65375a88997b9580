//! Table exchange: one node of a zone reads the store for the others, despite failures.

mod common;

use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::types;
use common::gateway;
use futures_util::future;
use std::{net, time};

const NODES: u64 = 8;
/// Time for the nodes to discover each other.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(4);
/// Maximum time until a change is in force on all working nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Maximum time after an outage until a change is in force on a node.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(4);
/// Maximum response time of a node. Other nodes skip a node that takes longer.
const RESPONSE_LIMIT: time::Duration = time::Duration::from_millis(250);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Number of consecutive changes.
const CHANGES: u64 = 8;
/// Time between changes.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Routes of a large document, beside those of the sample.
const MANY_ROUTES: u64 = 1400;
/// Nodes of a zone that may read one change from the store: its readers, and one to spare.
const READS_PER_CHANGE: u64 = 3;

/// Returns a document of several hundred kilobytes with this version.
fn large_document(version: u64) -> serde_json::Value {
    let mut document = gateway::route_document(version);
    let sample = document["routes"][0].clone();
    let routes = document["routes"].as_array_mut().expect("routes");
    routes.extend((0..MANY_ROUTES).map(|number| {
        let mut route = sample.clone();
        route["name"] = format!("more-{number}").into();
        route["prefix"] = format!("/more/{number}/").into();
        route
    }));
    document
}

/// Endpoints of a large table.
const MANY_ENDPOINTS: u64 = 3000;

fn add_endpoint_row(fleet: &fleet::FleetStandIn, name: &str) {
    let row = serde_json::json!({
        "service": "unused", "address": "127.0.0.1:9", "zone": "b", "version": "2026.12.05-1",
        "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    });
    fleet.set_row("servers", name, Some(&row.to_string()));
}

/// Waits until an endpoint is known on all nodes, and returns the time it took.
async fn wait_for_endpoint(nodes: &[fleet::FleetNode], name: &str) -> time::Duration {
    let started = time::Instant::now();
    for node in nodes {
        while started.elapsed() < gateway::RESPONSE_TIMEOUT * 2 {
            let (_, dump) = gateway::get(node.admin_address, "/dump").await;
            let dump: types::GatewayDump = serde_json::from_str(&dump).expect("a dump");
            if dump.endpoints.iter().any(|view| &*view.endpoint == name) {
                break;
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    }
    started.elapsed()
}

/// Returns the index of the node that reads the store.
async fn reader_index(nodes: &[fleet::FleetNode]) -> usize {
    let (_, dump) = gateway::get(nodes[0].admin_address, "/dump").await;
    let dump: types::GatewayDump = serde_json::from_str(&dump).expect("a dump");
    let record = table_freshness::zone_readers(dump.members.iter()).remove(0);
    nodes.iter().position(|node| node.peer_address == record.address).expect("one of the nodes")
}

/// Waits until a version of the routes is in force on all nodes, and returns the time it took.
async fn wait_for_version(nodes: &[fleet::FleetNode], version: u64) -> time::Duration {
    let started = time::Instant::now();
    let version_at = async |address: net::SocketAddr| {
        let (_, dump) = gateway::get(address, "/dump").await;
        serde_json::from_str::<types::GatewayDump>(&dump).expect("a dump").routes_version
    };
    loop {
        let versions = nodes.iter().map(|node| version_at(node.admin_address));
        let versions = future::join_all(versions).await;
        if versions.iter().all(|current| *current >= version)
            || started.elapsed() > gateway::RESPONSE_TIMEOUT
        {
            return started.elapsed();
        }
        async_io::Timer::after(time::Duration::from_millis(50)).await;
    }
}

fn with_nodes<Test, TestFuture>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, Vec<fleet::FleetNode>) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    gateway::with_fleet(async |fleet| {
        let nodes = gateway::start_nodes(&fleet, NODES).await;
        async_io::Timer::after(DISCOVERY_TIME).await;
        test(fleet, nodes).await;
    });
}

/// Changes cause fewer than half as many store calls as if every node read the store.
#[test]
fn store_call_count() {
    with_nodes(async |fleet, nodes| {
        let calls_before = fleet.store_calls();
        for version in 2..2 + CHANGES {
            fleet.set_route_document(&gateway::route_document(version));
            async_io::Timer::after(CHANGE_INTERVAL).await;
        }
        let elapsed = wait_for_version(&nodes, 1 + CHANGES).await;
        assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
        let calls = fleet.store_calls() - calls_before;
        assert!(calls < NODES * CHANGES / 2, "{calls} calls");
    });
}

/// Guards against changes of a large document that every node reads from the store: these choked the
/// links between regions, and nodes served by old routes for many seconds.
#[test]
fn large_change() {
    with_nodes(async |fleet, nodes| {
        fleet.set_route_document(&large_document(2));
        wait_for_version(&nodes, 2).await;
        let bytes_before = fleet.store_sent_bytes();
        let encoded_bytes = large_document(3).to_string().len() as u64 * 4 / 3;
        for version in 3..3 + CHANGES {
            fleet.set_route_document(&large_document(version));
            async_io::Timer::after(CHANGE_INTERVAL).await;
        }
        let elapsed = wait_for_version(&nodes, 2 + CHANGES).await;
        assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
        let reads = (fleet.store_sent_bytes() - bytes_before) / encoded_bytes;
        assert!(reads <= READS_PER_CHANGE * CHANGES, "{reads} reads of {CHANGES} changes");
    });
}

/// A change reaches all nodes in time although the node that reads the store stalls or is killed
/// immediately before.
#[test]
fn reader_failure() {
    with_nodes(async |fleet, mut nodes| {
        let stalled = nodes.remove(reader_index(&nodes).await);
        stalled.process.signal(rustix::process::Signal::STOP);
        fleet.set_route_document(&gateway::route_document(2));
        let elapsed = wait_for_version(&nodes, 2).await;
        stalled.process.signal(rustix::process::Signal::CONT);
        assert!(elapsed < APPLY_LIMIT, "reader stalled: in force after {elapsed:?}");
        nodes.push(stalled);
        async_io::Timer::after(DISCOVERY_TIME).await;
        let mut killed = nodes.remove(reader_index(&nodes).await);
        killed.process.kill();
        fleet.set_route_document(&gateway::route_document(3));
        let elapsed = wait_for_version(&nodes, 3).await;
        assert!(elapsed < APPLY_LIMIT, "reader killed: in force after {elapsed:?}");
    });
}

/// Guards against nodes that wait for a stalled reader for as long as a transfer of their whole copy
/// would take, though a change is a row or two: with many endpoints they learn of none for seconds.
#[test]
fn reader_stalls() {
    with_nodes(async |fleet, mut nodes| {
        (0..MANY_ENDPOINTS).for_each(|number| add_endpoint_row(&fleet, &format!("i-{number:08x}")));
        wait_for_endpoint(&nodes, "i-00000bb7").await;
        async_io::Timer::after(DISCOVERY_TIME).await;
        let stalled = nodes.remove(reader_index(&nodes).await);
        stalled.process.signal(rustix::process::Signal::STOP);
        add_endpoint_row(&fleet, "added");
        let elapsed = wait_for_endpoint(&nodes, "added").await;
        stalled.process.signal(rustix::process::Signal::CONT);
        assert!(elapsed < APPLY_LIMIT, "known after {elapsed:?}");
    });
}

/// A node learns of later changes although the store never responded to an earlier request.
#[test]
fn lost_request() {
    gateway::with_node(async |fleet, node| {
        async_io::Timer::after(CHANGE_INTERVAL).await;
        fleet.set_store_silent(true);
        async_io::Timer::after(CHANGE_INTERVAL).await;
        fleet.set_store_silent(false);
        fleet.set_route_document(&gateway::route_document(2));
        let elapsed = wait_for_version(&[node], 2).await;
        assert!(elapsed < RECOVERY_LIMIT, "in force after {elapsed:?}");
    });
}

/// The reader keeps responding promptly after peers with open long polls have been killed.
#[test]
fn waiting_peers_killed() {
    with_nodes(async |_fleet, mut nodes| {
        let reader = nodes.remove(reader_index(&nodes).await);
        nodes.iter_mut().for_each(|node| node.process.kill());
        let started = time::Instant::now();
        while started.elapsed() < table_freshness::LONG_POLL_WAIT {
            let sent = time::Instant::now();
            gateway::get(reader.admin_address, "/dump").await;
            assert!(sent.elapsed() < RESPONSE_LIMIT, "responded after {:?}", sent.elapsed());
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    });
}

/// Guards against a node that starts, cut off from the store, and goes on with the copy of a node
/// that is cut off, too, while another node has a newer one.
#[test]
fn stale_start() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let cut_off =
            fleet::FleetStandIn::with_sample(&spawner).await.expect("the stand-ins start");
        let program = gateway::program();
        let stale = cut_off.start_node(&program, "node-1", &[]).await.expect("a node");
        cut_off.set_store_down(true);
        fleet.set_route_document(&gateway::route_document(2));
        let fresh = fleet.start_node(&program, "node-2", &[]).await.expect("a node");
        async_io::Timer::after(table_freshness::FRESHNESS_LIFETIME).await;
        let seeds = [stale.peer_address, fresh.peer_address];
        let started = cut_off.start_node(&program, "node-3", &seeds).await.expect("a node");
        let elapsed = wait_for_version(&[started], 2).await;
        assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
    });
    pool.stop();
}
