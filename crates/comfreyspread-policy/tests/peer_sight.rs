//! Nodes that batch: heard of, silent, passed over.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use comfreyspread_policy::peer_sight;
use std::time;

#[test]
fn silence_noticed() {
    let now = time::Instant::now();
    let mut sight = peer_sight::PeerSight::default();
    assert!(sight.is_silent("n", now), "nothing was heard yet");
    sight.note_heard(&"n".into(), now);
    assert!(!sight.is_silent("n", now + peer_sight::SILENCE / 2));
    assert!(sight.is_silent("n", now + peer_sight::SILENCE));
}

#[test]
fn shunned_for_a_while() {
    let now = time::Instant::now();
    let mut sight = peer_sight::PeerSight::default();
    sight.shun(&"n".into(), now);
    assert!(sight.is_shunned("n", now + time::Duration::from_secs(2)));
    assert!(!sight.is_shunned("n", now + time::Duration::from_secs(4)));
    sight.shun(&"n".into(), now);
    sight.note_heard(&"n".into(), now);
    assert!(!sight.is_shunned("n", now), "an answer ends it");
}
