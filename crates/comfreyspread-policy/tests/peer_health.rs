//! Probes and ejection of other nodes.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::peer_health;
use std::time;

#[test]
fn silent_probed() {
    let now = time::Instant::now();
    let mut health = peer_health::PeerHealth::default();
    assert!(health.needs_probe("n", now), "it has not replied yet");
    health.record_reply(&"n".into(), now);
    assert!(!health.needs_probe("n", now + peer_health::PROBE_DELAY / 2));
    assert!(health.needs_probe("n", now + peer_health::PROBE_DELAY));
}

#[test]
fn ejection_expires() {
    let now = time::Instant::now();
    let mut health = peer_health::PeerHealth::default();
    health.eject(&"n".into(), now);
    assert!(health.is_ejected("n", now + time::Duration::from_secs(2)));
    assert!(!health.is_ejected("n", now + time::Duration::from_secs(4)));
    health.eject(&"n".into(), now);
    health.record_reply(&"n".into(), now);
    assert!(!health.is_ejected("n", now), "a reply ends the ejection");
}
