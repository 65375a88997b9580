//! Whether entries that are missing after an outage may come back.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use comfreyspread_policy::outage_recovery;
use std::time;

#[test]
fn away_for_all() {
    let now = time::Instant::now();
    let mut doubt = outage_recovery::OutageRecovery::default();
    assert!(!doubt.is_recovering(now));
    doubt.record_outage(Some(false), now);
    assert!(doubt.is_recovering(now + time::Duration::from_secs(2)));
    assert!(!doubt.is_recovering(now + outage_recovery::RECOVERY_TIME));
}

/// A node that was cut off while the store served others takes what is missing as gone at once.
#[test]
fn cut_off_alone() {
    let now = time::Instant::now();
    let mut doubt = outage_recovery::OutageRecovery::default();
    doubt.record_outage(None, now);
    assert!(!doubt.is_recovering(now), "nobody could be asked");
    doubt.record_outage(Some(false), now);
    doubt.record_outage(Some(true), now);
    assert!(!doubt.is_recovering(now), "the store answers another node");
}
