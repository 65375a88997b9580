//! Requests that crash the endpoints that run them.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::suspect;
use rand::{SeedableRng as _, rngs};
use std::time;
use suspect::SuspectStatus::{Clear, Convicted, Suspect};

#[test]
fn second_crash() {
    let now = time::Instant::now();
    let mut table = suspect::SuspectTable::new();
    let digest = "d".into();
    assert_eq!(table.status(&digest, now), Clear);
    table.record_crash(&digest, false, now);
    assert_eq!(table.status(&digest, now), Suspect);
    table.record_crash(&digest, true, now);
    assert_eq!(table.status(&digest, now), Convicted);
    table.record_served(&digest, now);
    assert_eq!(table.status(&digest, now), Convicted);
}

#[test]
fn completion_clears() {
    let now = time::Instant::now();
    let mut table = suspect::SuspectTable::new();
    let digest = "d".into();
    table.record_crash(&digest, false, now);
    table.record_crash(&digest, false, now);
    assert_eq!(table.status(&digest, now), Suspect);
    table.record_served(&digest, now);
    assert_eq!(table.status(&digest, now), Clear);
}

#[test]
fn shared_between_nodes() {
    let now = time::Instant::now();
    let mut one = suspect::SuspectTable::new();
    let mut other = suspect::SuspectTable::new();
    let digest = "d".into();
    one.record_crash(&digest, false, now);
    for record in one.latest(10, now) {
        other.merge(&record, now);
    }
    assert_eq!(other.status(&digest, now), Suspect);
    other.record_crash(&digest, true, now);
    for record in other.latest(10, now) {
        one.merge(&record, now);
    }
    assert_eq!(one.status(&digest, now), Convicted);
}

#[test]
fn records_expire() {
    let now = time::Instant::now();
    let mut table = suspect::SuspectTable::new();
    let digest = "d".into();
    table.record_crash(&digest, false, now);
    table.record_crash(&digest, true, now);
    let later = now + time::Duration::from_secs(601);
    assert_eq!(table.status(&digest, later), Clear);
    assert!(table.latest(10, later).is_empty());
}

#[test]
fn bounded_table() {
    let now = time::Instant::now();
    let mut table = suspect::SuspectTable::new();
    for number in 0..10_100 {
        table.record_crash(&format!("{number}").into(), false, now);
    }
    assert_eq!(table.latest(usize::MAX, now).len(), 10_000);
}

#[test]
fn clearing_shared() {
    let now = time::Instant::now();
    let mut one = suspect::SuspectTable::new();
    let mut other = suspect::SuspectTable::new();
    let digest = "d".into();
    one.record_crash(&digest, false, now);
    other.merge(&one.latest(1, now)[0], now);
    let later = now + time::Duration::from_secs(1);
    one.record_served(&digest, later);
    one.merge(&other.latest(1, later)[0], later);
    other.merge(&one.latest(1, later)[0], later);
    assert_eq!(one.status(&digest, later), Clear);
    assert_eq!(other.status(&digest, later), Clear);
}

#[test]
fn shared_records_expire() {
    let now = time::Instant::now();
    let mut one = suspect::SuspectTable::new();
    let mut other = suspect::SuspectTable::new();
    let digest = "d".into();
    one.record_crash(&digest, false, now);
    one.record_crash(&digest, true, now);
    for minute in 0..12 {
        let at = now + time::Duration::from_secs(60 * minute);
        one.latest(9, at).iter().for_each(|record| other.merge(record, at));
        other.latest(9, at).iter().for_each(|record| one.merge(record, at));
    }
    let later = now + time::Duration::from_secs(660);
    assert_eq!(one.status(&digest, later), Clear);
    assert_eq!(other.status(&digest, later), Clear);
}

/// A request in flight at three crashes is convicted although it never ran alone.
#[test]
fn third_crash_convicts() {
    let now = time::Instant::now();
    let mut table = suspect::SuspectTable::new();
    let digest = "d".into();
    for expected in [Suspect, Suspect, Convicted] {
        table.record_crash(&digest, false, now);
        assert_eq!(table.status(&digest, now), expected);
    }
}

/// Guards against a sound request convicted by one crash because several equal ones ran there.
#[test]
fn equal_requests() {
    let now = time::Instant::now();
    let digest = "equal".into();
    let mut table = suspect::SuspectTable::new();
    (0..5).for_each(|_| table.record_shared_crash(&digest, 1, now));
    assert_eq!(table.status(&digest, now), Suspect);
    table.record_shared_crash(&digest, 2, now);
    table.record_shared_crash(&digest, 3, now);
    assert_eq!(table.status(&digest, now), Convicted);
}

/// Guards against a conviction that other nodes never hear of because requests that ran beside it at
/// later crashes fill the messages.
#[test]
fn conviction_told() {
    let now = time::Instant::now();
    let mut random = rngs::SmallRng::seed_from_u64(5);
    let (mut one, mut other) = (suspect::SuspectTable::new(), suspect::SuspectTable::new());
    let digest = "guilty".into();
    (0..3).for_each(|_| one.record_crash(&digest, false, now));
    for number in 0..40 {
        one.record_crash(&format!("bystander {number}").into(), false, now);
    }
    one.records(4, now, &mut random).iter().for_each(|record| other.merge(record, now));
    assert_eq!(other.status(&digest, now), Convicted);
}

/// Guards against crashes that are forgotten when a node that knows of fewer sends a newer record.
#[test]
fn counts_kept() {
    let now = time::Instant::now();
    let later = now + time::Duration::from_secs(1);
    let digest = "d".into();
    for newer_first in [true, false] {
        let (mut one, mut other) = (suspect::SuspectTable::new(), suspect::SuspectTable::new());
        one.record_crash(&digest, false, now);
        one.record_crash(&digest, false, now);
        other.record_crash(&digest, false, later);
        let receivers = if newer_first { [&mut one, &mut other] } else { [&mut other, &mut one] };
        let [to, from] = receivers;
        from.latest(1, later).iter().for_each(|record| to.merge(record, later));
        to.record_crash(&digest, false, later);
        assert_eq!(to.status(&digest, later), Convicted);
    }
}

/// Guards against one crash counted for each attempt that was in flight there, where crashes of an
/// endpoint can only be told apart by time: an attempt sent after the latest one saw another.
#[test]
fn equal_attempts() {
    let now = time::Instant::now();
    let at = |millis| now + time::Duration::from_millis(millis);
    let digest = "equal".into();
    let mut table = suspect::SuspectTable::new();
    for number in 0..5 {
        table.record_attempt_crash(&digest, 1, at(number), at(100 + number));
    }
    assert_eq!(table.status(&digest, at(200)), Suspect);
    table.record_attempt_crash(&digest, 2, now, at(200));
    assert_eq!(table.status(&digest, at(200)), Suspect);
    table.record_attempt_crash(&digest, 2, at(300), at(400));
    assert_eq!(table.status(&digest, at(400)), Convicted);
}
