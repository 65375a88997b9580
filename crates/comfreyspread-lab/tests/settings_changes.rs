//! Settings files with keys that have no value, or with values that are not valid.

mod common;

use common::gateway;
use rustix::process::Signal;
use std::time;

/// Time in which a node rereads its settings.
const REREAD_LIMIT: time::Duration = time::Duration::from_secs(5);

/// A node did not start with a key that has no value, so none came back after all were killed.
#[test]
fn empty_keys() {
    gateway::with_fleet(async |fleet| {
        let empty = "bounds.exposure_share=\nbounds.exposure_slack=\nbounds.rollback_ms=\n\
            limits.max_fds=\nlimits.memory_mb=\nseeds=\n";
        let node = gateway::start_with_settings(&fleet, empty).await;
        gateway::check_served(&node, "/read/", "r-1").await;
        gateway::check_served(&node, "/read/", "r-2").await;
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
        while gateway::metric(&node, "settings_rejected_total").await == 0 {
            assert!(time::Instant::now() < deadline, "the file was not reread");
            async_io::Timer::after(time::Duration::from_millis(20)).await;
        }
        gateway::check_served(&node, "/read/", "r-1").await;
    });
}
