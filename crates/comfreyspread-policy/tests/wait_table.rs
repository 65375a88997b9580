//! Expected waits at stage services, and the choice of a region by them.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::wait_table;
use comfreyspread_schema::types;
use rand::{SeedableRng as _, rngs};
use std::time;

fn ms(length: u64) -> time::Duration {
    time::Duration::from_millis(length)
}

#[test]
fn refresh_interval() {
    let now = time::Instant::now();
    let mut table = wait_table::WaitTable::default();
    let (service, region) = ("s".into(), "r".into());
    assert!(table.start_refresh(&service, &region, now));
    assert!(!table.start_refresh(&service, &region, now + ms(100)));
    assert!(table.start_refresh(&service, &region, now + ms(201)));
}

#[test]
fn priorities_distinguished() {
    let now = time::Instant::now();
    let mut table = wait_table::WaitTable::default();
    let (service, region) = ("s".into(), "r".into());
    assert_eq!(table.wait(&service, &region, 0, now), None);
    let waits = [100, 900].map(|wait| types::PriorityWait { wait: ms(wait) });
    table.update(&service, &region, waits.to_vec(), now);
    assert_eq!(table.wait(&service, &region, 0, now), Some(ms(100)));
    assert_eq!(table.wait(&service, &region, 7, now), Some(ms(900)));
    assert_eq!(table.wait(&service, &region, 0, now + ms(1500)), None, "an old report is not used");
}

#[test]
fn shares_moved() {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let mut moved = |local, remote| {
        let prefers = |_: &i32| wait_table::prefers_remote(ms(local), ms(remote), &mut random);
        (0..1000).filter(prefers).count()
    };
    assert_eq!(moved(400, 300), 0, "the gain does not cover the round trip");
    let some = moved(900, 300);
    assert!((400..600).contains(&some), "{some}");
    assert_eq!(moved(300, 900), 0);
}

/// Requests with time to spare stay in their region; hurried ones move for a shorter wait.
#[test]
fn local_wait_limit() {
    assert_eq!(wait_table::local_wait_limit(ms(300)), ms(150));
    assert_eq!(wait_table::local_wait_limit(ms(1400)), ms(350));
    assert_eq!(wait_table::local_wait_limit(ms(3200)), ms(800));
}
