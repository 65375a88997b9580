//! Member records with values at the limits of their types.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::membership;
use comfreyspread_schema::types;
use std::time;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn record(node: &str, incarnation: u64, phase: types::MemberPhase) -> types::MemberRecord {
    types::MemberRecord {
        address: ([127, 0, 0, 1], 9000).into(),
        incarnation,
        node: node.into(),
        node_phase: types::NodePhase::Serving,
        phase,
        region: "r".into(),
        revision: 0,
        start_id: 1,
        vm: node.into(),
        zone: "z".into(),
    }
}

fn table() -> membership::MemberTable {
    let timeouts = membership::MemberTimeouts { failure: TIMEOUT, retention: TIMEOUT };
    membership::MemberTable::new(record("node-1", 0, types::MemberPhase::Alive), timeouts)
}

/// A suspicion with the greatest incarnation made the node it named panic at its own record.
#[test]
fn own_incarnation() {
    let now = time::Instant::now();
    let mut members = table();
    assert!(!members.merge(record("node-1", u64::MAX, types::MemberPhase::Suspect), now));
    assert_eq!(members.local().incarnation, 0);
    assert!(members.merge(record("node-1", 4, types::MemberPhase::Suspect), now));
    assert_eq!(members.local().incarnation, 5, "a valid suspicion is refuted");
}

/// A record with the greatest incarnation could never be refuted by the member it named.
#[test]
fn other_incarnation() {
    let now = time::Instant::now();
    let mut members = table();
    members.merge(record("node-2", 1, types::MemberPhase::Alive), now);
    assert!(!members.merge(record("node-2", u64::MAX, types::MemberPhase::Suspect), now));
    assert!(members.merge(record("node-2", 2, types::MemberPhase::Alive), now));
}
