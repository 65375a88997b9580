//! Following the store: one node of a zone reads it for the others, whatever is lost.

mod common;

use comfreyspread_lab::fleet;
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::types;
use common::gateway;
use futures_util::future;
use std::{net, time};

const NODES: u64 = 8;
/// Time for the nodes to find each other.
const SETTLING: time::Duration = time::Duration::from_secs(4);
/// Stated time within which a change is in force on nodes that work.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Stated time after an outage from which on a node has to know what has changed.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(4);
/// Time after which a node that does not answer is passed over by the others.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(250);
const ASK_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Changes made one after the other, and the pause between them.
const CHANGES: u64 = 8;
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Returns the place of the node that reads the store.
async fn reader(nodes: &[fleet::FleetNode]) -> usize {
    let (_, dump) = gateway::ask(nodes[0].admin_address, "/dump").await;
    let dump: types::GatewayDump = serde_json::from_str(&dump).expect("a dump");
    let record = table_freshness::zone_reader(dump.members.iter()).expect("a reader");
    nodes.iter().position(|node| node.peer_address == record.address).expect("one of the nodes")
}

/// Waits until all nodes have a version of the routes in force.
async fn in_force(nodes: &[fleet::FleetNode], version: u64) -> time::Duration {
    let begun = time::Instant::now();
    let version_at = async |address: net::SocketAddr| {
        let (_, dump) = gateway::ask(address, "/dump").await;
        serde_json::from_str::<types::GatewayDump>(&dump).expect("a dump").routes_version
    };
    loop {
        let versions = nodes.iter().map(|node| version_at(node.admin_address));
        let versions = future::join_all(versions).await;
        if versions.iter().all(|known| *known >= version) || begun.elapsed() > gateway::PATIENCE {
            return begun.elapsed();
        }
        async_io::Timer::after(time::Duration::from_millis(50)).await;
    }
}

fn with_nodes<Test, Work>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, Vec<fleet::FleetNode>) -> Work,
    Work: Future<Output = ()>,
{
    gateway::with_fleet(async |fleet| {
        let nodes = gateway::start_nodes(&fleet, NODES).await;
        async_io::Timer::after(SETTLING).await;
        test(fleet, nodes).await;
    });
}

/// Changes cost the store less than half of the calls of nodes that all read it.
#[test]
fn few_calls() {
    with_nodes(async |fleet, nodes| {
        let before = fleet.store_calls();
        for version in 2..2 + CHANGES {
            fleet.set_route_document(&gateway::document(version));
            async_io::Timer::after(CHANGE_PAUSE).await;
        }
        let took = in_force(&nodes, 1 + CHANGES).await;
        assert!(took < APPLY_LIMIT, "in force after {took:?}");
        let calls = fleet.store_calls() - before;
        assert!(calls < NODES * CHANGES / 2, "{calls} calls");
    });
}

/// A change comes to all nodes in time though the node that reads the store is killed, or stands
/// still, right before it.
#[test]
fn reader_lost() {
    with_nodes(async |fleet, mut nodes| {
        let frozen = nodes.remove(reader(&nodes).await);
        frozen.process.signal(rustix::process::Signal::STOP);
        fleet.set_route_document(&gateway::document(2));
        let took = in_force(&nodes, 2).await;
        frozen.process.signal(rustix::process::Signal::CONT);
        assert!(took < APPLY_LIMIT, "reader frozen: in force after {took:?}");
        nodes.push(frozen);
        async_io::Timer::after(SETTLING).await;
        let mut killed = nodes.remove(reader(&nodes).await);
        killed.process.kill();
        fleet.set_route_document(&gateway::document(3));
        let took = in_force(&nodes, 3).await;
        assert!(took < APPLY_LIMIT, "reader killed: in force after {took:?}");
    });
}

/// A question that the store never answers does not keep a node from later changes.
#[test]
fn question_lost() {
    gateway::with_node(async |fleet, node| {
        async_io::Timer::after(CHANGE_PAUSE).await;
        fleet.set_store_silent(true);
        async_io::Timer::after(CHANGE_PAUSE).await;
        fleet.set_store_silent(false);
        fleet.set_route_document(&gateway::document(2));
        let took = in_force(&[node], 2).await;
        assert!(took < CONTACT_TIME, "in force after {took:?}");
    });
}

/// A node goes on answering at once when a node that waits for its news is gone.
#[test]
fn follower_lost() {
    with_nodes(async |_fleet, mut nodes| {
        let reading = nodes.remove(reader(&nodes).await);
        nodes.iter_mut().for_each(|node| node.process.kill());
        let begun = time::Instant::now();
        while begun.elapsed() < table_freshness::LONG_POLL_WAIT {
            let asked = time::Instant::now();
            gateway::ask(reading.admin_address, "/dump").await;
            assert!(asked.elapsed() < ANSWER_LIMIT, "answered after {:?}", asked.elapsed());
            async_io::Timer::after(ASK_PAUSE).await;
        }
    });
}
