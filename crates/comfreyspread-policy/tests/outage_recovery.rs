//! Whether entries that are missing after an outage may reappear.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::outage_recovery;
use std::time;

#[test]
fn global_outage() {
    let now = time::Instant::now();
    let mut recovery = outage_recovery::OutageRecovery::default();
    assert!(!recovery.is_recovering(now));
    recovery.record_outage(Some(false), now);
    assert!(recovery.is_recovering(now + time::Duration::from_secs(2)));
    assert!(!recovery.is_recovering(now + outage_recovery::RECOVERY_TIME));
}

/// A node that was cut off while the store served other nodes treats missing entries as removed
/// immediately.
#[test]
fn local_outage() {
    let now = time::Instant::now();
    let mut recovery = outage_recovery::OutageRecovery::default();
    recovery.record_outage(None, now);
    assert!(!recovery.is_recovering(now), "no other node could be asked");
    recovery.record_outage(Some(false), now);
    recovery.record_outage(Some(true), now);
    assert!(!recovery.is_recovering(now), "the store replies to another node");
}
