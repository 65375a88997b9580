//! Selection of the owner that a call is sent to.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::routing;
use comfreyspread_schema::types;
use rand::SeedableRng as _;
use std::time;

fn candidate(node: &str, distance: routing::RouteDistance) -> routing::OwnerCandidate {
    routing::OwnerCandidate {
        node: node.into(),
        distance,
        endpoints: 2,
        has_prefix_affinity: false,
    }
}

fn hint(running: u32, queued: u32, limit: u32) -> types::PoolHint {
    types::PoolHint {
        high_priority_wait: time::Duration::from_millis(queued.into()),
        limit,
        pool: "p".into(),
        queued,
        running,
        wait: time::Duration::from_millis(2 * u64::from(queued)),
    }
}

fn choose(
    candidates: &[routing::OwnerCandidate],
    hints: &routing::HintTable,
    remote_allowed: bool,
    now: time::Instant,
) -> Option<String> {
    let pool = "p".into();
    let query = routing::RouteQuery { pool: &pool, candidates, remote_allowed, now };
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    query.select_owner(hints, &mut random).map(|chosen| chosen.node.to_string())
}

#[test]
fn same_region_first() {
    use routing::RouteDistance::{Local, Remote, Zone};
    let now = time::Instant::now();
    let candidates = [candidate("far", Remote), candidate("near", Zone), candidate("self", Local)];
    let mut hints = routing::HintTable::new();
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("self"));
    hints.record_hint(&"self".into(), hint(8, 4, 8), now);
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("near"));
    hints.record_hint(&"near".into(), hint(8, 8, 8), now);
    assert_eq!(choose(&candidates, &hints, false, now).as_deref(), Some("self"));
    hints.record_hint(&"self".into(), hint(8, 9, 8), now);
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("far"));
}

#[test]
fn no_remote_budget() {
    let now = time::Instant::now();
    let far = [candidate("far", routing::RouteDistance::Remote)];
    let hints = routing::HintTable::new();
    assert_eq!(choose(&far, &hints, false, now), None);
    assert_eq!(choose(&far, &hints, true, now).as_deref(), Some("far"));
}

#[test]
fn affinity_bounded() {
    let now = time::Instant::now();
    let mut affine = candidate("warm-prefix", routing::RouteDistance::Zone);
    affine.has_prefix_affinity = true;
    let candidates = [candidate("self", routing::RouteDistance::Local), affine];
    let mut hints = routing::HintTable::new();
    hints.record_hint(&"warm-prefix".into(), hint(8, 1, 8), now);
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("warm-prefix"));
    hints.record_hint(&"warm-prefix".into(), hint(8, 2, 8), now);
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("self"));
}

#[test]
fn stale_hints() {
    let now = time::Instant::now();
    let candidates = [candidate("self", routing::RouteDistance::Local)];
    let mut hints = routing::HintTable::new();
    hints.record_hint(&"self".into(), hint(8, 80, 8), now);
    assert_eq!(hints.load_percent(&candidates[0], &"p".into(), now), 1100);
    let later = now + time::Duration::from_secs(6);
    assert_eq!(hints.load_percent(&candidates[0], &"p".into(), later), 0);
    hints.record_start(&"self".into(), &"p".into(), later);
    assert_eq!(hints.load_percent(&candidates[0], &"p".into(), later), 50);
    hints.record_end(&"self".into(), &"p".into(), later);
    assert_eq!(hints.load_percent(&candidates[0], &"p".into(), later), 0);
}

#[test]
fn refusal_avoided() {
    use routing::RouteDistance::{Local, Zone};
    let now = time::Instant::now();
    let candidates = [candidate("near", Zone), candidate("self", Local)];
    let mut hints = routing::HintTable::new();
    hints.record_refusal(&"self".into(), &"p".into(), now);
    assert_eq!(choose(&candidates, &hints, true, now).as_deref(), Some("near"));
    assert_eq!(choose(&candidates[1..], &hints, true, now).as_deref(), Some("self"));
    let later = now + time::Duration::from_millis(600);
    assert_eq!(choose(&candidates, &hints, true, later).as_deref(), Some("self"));
}

#[test]
fn min_wait() {
    let now = time::Instant::now();
    let pool = "p".into();
    let mut hints = routing::HintTable::new();
    let wait = |hints: &routing::HintTable, level, now| hints.min_wait(&pool, level, now);
    assert_eq!(wait(&hints, types::PriorityLevel::High, now), time::Duration::ZERO);
    hints.record_hint(&"a".into(), hint(8, 30, 8), now);
    hints.record_hint(&"b".into(), hint(8, 10, 8), now);
    let millis = time::Duration::from_millis;
    assert_eq!(wait(&hints, types::PriorityLevel::High, now), millis(10));
    assert_eq!(wait(&hints, types::PriorityLevel::Normal, now), millis(20));
    let later = now + time::Duration::from_secs(6);
    assert_eq!(wait(&hints, types::PriorityLevel::High, later), time::Duration::ZERO);
}
