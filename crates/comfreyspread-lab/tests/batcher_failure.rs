//! The node that batches a stage service fails while it holds pieces of other nodes' requests.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use futures_util::future;
use std::time;

/// Time for the nodes to discover each other.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(2);
/// Time from the start of the requests until the node fails.
const FAILURE_DELAY: time::Duration = time::Duration::from_millis(30);

/// Returns how many stage calls a node has sent.
async fn stage_calls(node: &fleet::FleetNode) -> u64 {
    gateway::metric(node, "stage_call_seconds_count").await
}

async fn send_report(node: &fleet::FleetNode, id: &str) -> u16 {
    gateway::send(node.caller_address, gateway::staged_request(node.caller_address, id, "2,1"))
        .await
        .0
}

/// Fails the batching node while it holds pieces of requests from all other nodes. All requests
/// must succeed, and one other node must send all of their stage calls.
fn check_failover(fail_node: impl AsyncFnOnce(&mut fleet::FleetNode)) {
    gateway::with_fleet(async |fleet| {
        let mut nodes = gateway::start_nodes(&fleet, 5).await;
        async_io::Timer::after(DISCOVERY_TIME).await;
        assert_eq!(send_report(&nodes[0], "first").await, 200);
        let counts = future::join_all(nodes.iter().map(stage_calls)).await;
        let batcher = counts.iter().position(|count| *count > 0).expect("a batching node");
        let mut failed = nodes.remove(batcher);
        let ids: Vec<_> = (0..12).map(|number| format!("r-{number}")).collect();
        let requests = ids.iter().enumerate();
        let requests = requests.map(|(number, id)| send_report(&nodes[number % nodes.len()], id));
        let failure = async {
            async_io::Timer::after(FAILURE_DELAY).await;
            fail_node(&mut failed).await;
        };
        let (responses, ()) = future::join(future::join_all(requests), failure).await;
        assert_eq!(responses, [200; 12]);
        let counts = future::join_all(nodes.iter().map(stage_calls)).await;
        let batcher_count = counts.iter().filter(|count| **count > 0).count();
        assert_eq!(batcher_count, 1, "calls by node: {counts:?}");
    });
}

#[test]
fn batcher_killed() {
    check_failover(async |node| node.process.kill());
}

/// The node accepts connections but sends no response.
#[test]
fn batcher_stalled() {
    check_failover(async |node| node.process.signal(rustix::process::Signal::STOP));
}
