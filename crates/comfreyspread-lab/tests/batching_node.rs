//! The node that batches a stage service is lost with pieces of other nodes in its hands.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use futures_util::future;
use std::time;

/// Time for the nodes to find each other.
const SETTLING: time::Duration = time::Duration::from_secs(2);
/// Time into the requests at which the node is lost.
const INTO_REQUESTS: time::Duration = time::Duration::from_millis(30);

/// Returns how many calls for pieces a node has made.
async fn calls(node: &fleet::FleetNode) -> u64 {
    let (_, text) = gateway::ask(node.admin_address, "/metrics").await;
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix("comfreyspread_stage_call_seconds_count "));
    count.expect("the metric").parse().expect("a number")
}

async fn report(node: &fleet::FleetNode, id: &str) -> u16 {
    gateway::send(node.caller_address, gateway::staged_request(node.caller_address, id, "2,1"))
        .await
        .0
}

/// Loses the batching node while requests of all others are in its hands; they are all served, and
/// one other node makes all of their pieces.
fn lose(loss: impl AsyncFnOnce(&mut fleet::FleetNode)) {
    gateway::with_fleet(async |fleet| {
        let mut nodes = gateway::start_nodes(&fleet, 5).await;
        async_io::Timer::after(SETTLING).await;
        assert_eq!(report(&nodes[0], "first").await, 200);
        let counts = future::join_all(nodes.iter().map(calls)).await;
        let batching = counts.iter().position(|count| *count > 0).expect("a batching node");
        let mut lost = nodes.remove(batching);
        let names: Vec<_> = (0..12).map(|number| format!("r-{number}")).collect();
        let sent = names.iter().enumerate();
        let sent = sent.map(|(number, name)| report(&nodes[number % nodes.len()], name));
        let loss = async {
            async_io::Timer::after(INTO_REQUESTS).await;
            loss(&mut lost).await;
        };
        let (answers, ()) = future::join(future::join_all(sent), loss).await;
        assert_eq!(answers, [200; 12]);
        let counts = future::join_all(nodes.iter().map(calls)).await;
        let batching = counts.iter().filter(|count| **count > 0).count();
        assert_eq!(batching, 1, "calls by node: {counts:?}");
    });
}

#[test]
fn killed() {
    lose(async |node| node.process.kill());
}

/// It takes connections and answers nothing.
#[test]
fn frozen() {
    lose(async |node| node.process.signal(rustix::process::Signal::STOP));
}
