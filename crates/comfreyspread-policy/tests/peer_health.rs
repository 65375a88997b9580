//! Nodes that batch: heard of, silent, passed over.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use comfreyspread_policy::peer_health;
use std::time;

#[test]
fn silence_noticed() {
    let now = time::Instant::now();
    let mut sight = peer_health::PeerHealth::default();
    assert!(sight.needs_probe("n", now), "nothing was heard yet");
    sight.record_reply(&"n".into(), now);
    assert!(!sight.needs_probe("n", now + peer_health::PROBE_DELAY / 2));
    assert!(sight.needs_probe("n", now + peer_health::PROBE_DELAY));
}

#[test]
fn shunned_for_a_while() {
    let now = time::Instant::now();
    let mut sight = peer_health::PeerHealth::default();
    sight.eject(&"n".into(), now);
    assert!(sight.is_ejected("n", now + time::Duration::from_secs(2)));
    assert!(!sight.is_ejected("n", now + time::Duration::from_secs(4)));
    sight.eject(&"n".into(), now);
    sight.record_reply(&"n".into(), now);
    assert!(!sight.is_ejected("n", now), "an answer ends it");
}
