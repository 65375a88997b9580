//! All nodes are killed at the same time and restarted.

mod common;

use common::gateway;
use std::time;

/// Maximum time from the start of the nodes until requests are served again.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);
const NODES: u64 = 3;

/// The restarted nodes serve unary requests, streams and stages with the state in the store. It
/// includes a route change written just before the kill.
#[test]
fn all_nodes_killed() {
    gateway::with_fleet(async |fleet| {
        let mut nodes = gateway::start_nodes(&fleet, NODES).await;
        let mut changed = gateway::route_document(2);
        changed["routes"].as_array_mut().expect("routes").remove(0);
        fleet.set_route_document(&changed);
        nodes.iter_mut().for_each(|node| node.process.kill());
        let started = time::Instant::now();
        let nodes = gateway::start_nodes(&fleet, NODES).await;
        for (number, node) in nodes.iter().enumerate() {
            for (path, status) in [("/read/", 404), ("/write/", 200), ("/chat/", 200)] {
                let id = format!("r-{number}{path}").replace('/', "-");
                let response = gateway::send(
                    node.caller_address,
                    gateway::request(node.caller_address, path, &id),
                );
                assert_eq!(response.await.0, status, "{path}");
            }
            let report =
                gateway::staged_request(node.caller_address, &format!("report-{number}"), "2,1");
            assert_eq!(gateway::send(node.caller_address, report).await.0, 200);
        }
        assert!(started.elapsed() < RECOVERY_LIMIT, "after {:?}", started.elapsed());
    });
}
