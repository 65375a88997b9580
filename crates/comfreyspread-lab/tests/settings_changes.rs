//! Settings files with keys that have no value, or with values that are not valid.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use rustix::process::Signal;
use std::time;

/// Time in which a node rereads its settings.
const REREAD_LIMIT: time::Duration = time::Duration::from_secs(5);

async fn counter(node: &fleet::FleetNode, name: &str) -> u64 {
    let (_, text) = gateway::get(node.admin_address, "/metrics").await;
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

async fn check_served(node: &fleet::FleetNode, id: &str) {
    let request = gateway::request(node.caller_address, "/read/", id);
    let (status, _) = gateway::send(node.caller_address, request).await;
    assert_eq!(status, 200);
}

/// A node did not start with a key that has no value, so none came back after all were killed.
#[test]
fn empty_keys() {
    gateway::with_fleet(async |fleet| {
        let empty = "bounds.exposure_share=\nbounds.exposure_slack=\nbounds.rollback_ms=\n\
            limits.max_fds=\nlimits.memory_mb=\nseeds=\n";
        let program = gateway::program();
        let node = fleet::FleetNode::start(&fleet, &program, "node-1", &[], empty);
        let node = node.expect("a node");
        node.wait_until_ready().await.expect("a ready node");
        check_served(&node, "r-1").await;
        check_served(&node, "r-2").await;
    });
}

/// A file that is not valid leaves the settings in force. The node counts it, as nothing else shows
/// before the next start that it would fail.
#[test]
fn invalid_reread() {
    gateway::with_node(async |_, node| {
        node.add_settings("bounds.drain_ms=soon\n").expect("a settings file");
        node.process.signal(Signal::HUP);
        let deadline = time::Instant::now() + REREAD_LIMIT;
        while counter(&node, "comfreyspread_settings_rejected_total").await == 0 {
            assert!(time::Instant::now() < deadline, "the file was not reread");
            async_io::Timer::after(time::Duration::from_millis(20)).await;
        }
        check_served(&node, "r-1").await;
    });
}
