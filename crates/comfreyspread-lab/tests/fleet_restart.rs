//! All nodes end at the same moment and are started again.

mod common;

use common::gateway;
use std::time;

/// Stated time after which requests are served again.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);
const NODES: u64 = 3;

/// They serve plain requests, streams and stages with what the store holds, also a change that was
/// made just before.
#[test]
fn killed_together() {
    gateway::with_fleet(async |fleet| {
        let mut nodes = gateway::start_nodes(&fleet, NODES).await;
        let mut changed = gateway::document(2);
        changed["routes"].as_array_mut().expect("routes").remove(0);
        fleet.set_route_document(&changed);
        nodes.iter_mut().for_each(|node| node.process.kill());
        let begun = time::Instant::now();
        let nodes = gateway::start_nodes(&fleet, NODES).await;
        for (number, node) in nodes.iter().enumerate() {
            for (path, status) in [("/read/", 404), ("/write/", 200), ("/chat/", 200)] {
                let id = format!("r-{number}{path}").replace('/', "-");
                let answer = gateway::send(
                    node.caller_address,
                    gateway::request(node.caller_address, path, &id),
                );
                assert_eq!(answer.await.0, status, "{path}");
            }
            let report =
                gateway::staged_request(node.caller_address, &format!("report-{number}"), "2,1");
            assert_eq!(gateway::send(node.caller_address, report).await.0, 200);
        }
        assert!(begun.elapsed() < RECOVERY_LIMIT, "after {:?}", begun.elapsed());
    });
}
