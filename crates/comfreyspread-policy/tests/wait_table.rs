//! Waits at stage services, and what they decide.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use comfreyspread_policy::wait_table;
use comfreyspread_schema::types;
use rand::{SeedableRng as _, rngs};
use std::time;

fn ms(length: u64) -> time::Duration {
    time::Duration::from_millis(length)
}

#[test]
fn asked_now_and_then() {
    let now = time::Instant::now();
    let mut table = wait_table::WaitTable::default();
    let (service, region) = ("s".into(), "r".into());
    assert!(table.start_refresh(&service, &region, now));
    assert!(!table.start_refresh(&service, &region, now + ms(100)));
    assert!(table.start_refresh(&service, &region, now + ms(201)));
}

#[test]
fn ranks_told_apart() {
    let now = time::Instant::now();
    let mut table = wait_table::WaitTable::default();
    let (service, region) = ("s".into(), "r".into());
    assert_eq!(table.wait(&service, &region, 0, now), None);
    let waits = [100, 900].map(|wait| types::RankWait { wait: ms(wait) });
    table.update(&service, &region, waits.to_vec(), now);
    assert_eq!(table.wait(&service, &region, 0, now), Some(ms(100)));
    assert_eq!(table.wait(&service, &region, 7, now), Some(ms(900)));
    assert_eq!(table.wait(&service, &region, 0, now + ms(1500)), None, "old news are dropped");
}

#[test]
fn shares_move() {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let mut moved = |home, elsewhere| {
        let goes = |_: &i32| wait_table::prefers_remote(ms(home), ms(elsewhere), &mut random);
        (0..1000).filter(goes).count()
    };
    assert_eq!(moved(400, 300), 0, "the way is not worth it");
    let some = moved(900, 300);
    assert!((400..600).contains(&some), "{some}");
    assert_eq!(moved(300, 900), 0);
}
