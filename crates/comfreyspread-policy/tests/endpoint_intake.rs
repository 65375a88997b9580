//! Endpoints that leave, and endpoints that ask for a pause.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::{
    endpoint_directory::{self, AttemptOutcome},
    endpoint_intake,
};
use comfreyspread_schema::{ids, types};
use rand::SeedableRng as _;
use std::time;

const WARM: endpoint_directory::ColdStart =
    endpoint_directory::ColdStart { cold: time::Duration::ZERO, at_start: true };
const LEAVING: endpoint_intake::IntakeNotice =
    endpoint_intake::IntakeNotice { leaving: true, pause: time::Duration::ZERO };

fn ms(length: u64) -> time::Duration {
    time::Duration::from_millis(length)
}

fn pause(length: u64) -> endpoint_intake::IntakeNotice {
    endpoint_intake::IntakeNotice { leaving: false, pause: ms(length) }
}

fn registration(name: &str, started_at_ms: u64) -> types::EndpointRegistration {
    types::EndpointRegistration {
        address: ([10, 0, 0, 1], 1).into(),
        started_at_ms,
        cold_time_left: time::Duration::ZERO,
        endpoint: name.into(),
        leaving: false,
        service: "s".into(),
        slots: 4,
        zone: "a".into(),
        version: "v1".into(),
    }
}

fn new_directory(now: time::Instant) -> endpoint_directory::EndpointDirectory {
    let zones = [("a".into(), "r".into())];
    let mut directory = endpoint_directory::EndpointDirectory::new(zones.into_iter().collect());
    directory.insert(registration("one", 1), WARM, now);
    directory.insert(registration("two", 1), WARM, now);
    directory
}

/// Runs `check` with the query of a request that tried nothing yet.
fn with_query<Check, Checked>(now: time::Instant, check: Check) -> Checked
where
    Check: FnOnce(&endpoint_directory::EndpointQuery<'_>) -> Checked,
{
    let (service, region, zone): (ids::ServiceName, ids::RegionId, ids::ZoneId) =
        ("s".into(), "r".into(), "a".into());
    check(&endpoint_directory::EndpointQuery {
        cold_rate: 1,
        preferred_region: &region,
        now,
        placed: None,
        prefix: None,
        regions: None,
        service: &service,
        route: &"read".into(),
        second_try: None,
        tried: &[],
        zone: &zone,
    })
}

/// Returns the endpoints chosen for 20 requests, each name once.
fn chosen(
    directory: &mut endpoint_directory::EndpointDirectory,
    now: time::Instant,
) -> Vec<ids::EndpointId> {
    let choose = |_| with_query(now, |query| directory.start_call(query));
    let mut names: Vec<_> = (0..20).filter_map(choose).map(|chosen| chosen.endpoint).collect();
    names.sort_unstable();
    names.dedup();
    for name in &names {
        for _ in 0..20 {
            directory.finish_call(name, 1, AttemptOutcome::Cancelled, ms(0), now);
        }
    }
    names
}

/// An endpoint said in its answers that it leaves, and requests still went there.
#[test]
fn leaving_answers() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let change = directory.record_notice(&"one".into(), 1, LEAVING, now);
    assert_eq!(change, Some(endpoint_intake::IntakeChange::Leaving));
    assert_eq!(directory.record_notice(&"one".into(), 1, LEAVING, now), None, "said before");
    assert_eq!(directory.record_notice(&"one".into(), 1, pause(10), now), None);
    let later = now + ms(600_000);
    assert_eq!(chosen(&mut directory, later), ["two".into()]);
    assert_eq!(directory.counts(later).leaving, 1);
}

/// A registration read again, or gone for a while in an outage of the store, wiped what the
/// endpoint had said.
#[test]
fn registration_reloaded() {
    let now = time::Instant::now();
    for notice in [LEAVING, pause(5000)] {
        let mut directory = new_directory(now);
        directory.record_notice(&"one".into(), 1, notice, now);
        directory.insert(registration("one", 1), WARM, now);
        assert_eq!(chosen(&mut directory, now), ["two".into()]);
        directory.remove(&"one".into(), now);
        directory.insert(registration("one", 1), WARM, now);
        assert_eq!(chosen(&mut directory, now), ["two".into()]);
        directory.remove(&"one".into(), now);
        directory.insert(registration("one", 2), WARM, now);
        assert_eq!(chosen(&mut directory, now), ["one".into(), "two".into()], "a new process");
    }
}

/// An answer of the process before, still in flight at the restart, closed the new one.
#[test]
fn stale_answers() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    directory.insert(registration("one", 2), WARM, now);
    assert_eq!(directory.record_notice(&"one".into(), 1, LEAVING, now), None);
    assert_eq!(chosen(&mut directory, now).len(), 2);
    directory.remove(&"two".into(), now);
    directory.record_notice(&"two".into(), 1, LEAVING, now);
    directory.insert(registration("two", 1), WARM, now);
    assert_eq!(chosen(&mut directory, now), ["one".into()], "said after it was removed");
}

/// A call to the process before ended as misdirected, or unreachable, after the restart, and closed
/// the new process for good.
#[test]
fn earlier_calls() {
    let now = time::Instant::now();
    for outcome in [AttemptOutcome::Gone, AttemptOutcome::Unreachable] {
        let mut directory = new_directory(now);
        directory.insert(registration("one", 2), WARM, now);
        directory.remove(&"two".into(), now);
        directory.finish_call(&"one".into(), 1, outcome, ms(1), now);
        let counts = directory.counts(now);
        assert_eq!((counts.leaving, counts.backing_off), (0, 0), "{outcome:?}");
    }
}

/// An outdated read of the store brought the registration of the process before back for a moment,
/// and what the present process had said was forgotten.
#[test]
fn outdated_registration() {
    let now = time::Instant::now();
    for notice in [LEAVING, pause(5000)] {
        let mut directory = new_directory(now);
        directory.insert(registration("one", 2), WARM, now);
        directory.record_notice(&"one".into(), 2, notice, now);
        directory.insert(registration("one", 1), WARM, now);
        assert_eq!(chosen(&mut directory, now).len(), 2, "another process");
        directory.insert(registration("one", 2), WARM, now);
        assert_eq!(chosen(&mut directory, now), ["two".into()]);
        directory.insert(registration("one", 3), WARM, now);
        directory.record_notice(&"one".into(), 2, notice, now);
        assert_eq!(chosen(&mut directory, now).len(), 2, "a new process");
    }
}

#[test]
fn pause_kept() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    directory.record_notice(&"one".into(), 1, pause(3000), now);
    directory.record_notice(&"one".into(), 1, pause(500), now + ms(100));
    directory.finish_call(&"one".into(), 1, AttemptOutcome::Served, ms(20), now + ms(100));
    assert_eq!(chosen(&mut directory, now + ms(2999)), ["two".into()], "the later end counts");
    assert_eq!(chosen(&mut directory, now + ms(3000)).len(), 2);
}

/// All endpoints had asked for a pause, and requests were sent or held all the same.
#[test]
fn all_paused() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    directory.record_notice(&"one".into(), 1, pause(3000), now);
    directory.record_notice(&"two".into(), 1, pause(2000), now);
    assert!(chosen(&mut directory, now).is_empty());
    let skipped = with_query(now, |query| directory.skipped(query));
    assert_eq!((skipped.paused, skipped.resumes_at), (2, Some(now + ms(2000))));
    assert_eq!(directory.resumes_at("s", None, now), Some(now + ms(2000)));
    let tried = ["three".into()];
    directory.insert(registration("three", 1), WARM, now);
    let skipped = with_query(now, |query| {
        directory.skipped(&endpoint_directory::EndpointQuery { tried: &tried, ..query.clone() })
    });
    assert_eq!(skipped.resumes_at, None, "a new request need not wait for the pause");
}

/// A request was refused by one endpoint while another was paused and a third open, and its caller
/// was told the end of the pause.
#[test]
fn open_beside_paused() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    directory.record_notice(&"one".into(), 1, pause(3000), now);
    let skipped = with_query(now, |query| directory.skipped(query));
    assert_eq!((skipped.paused, skipped.resumes_at), (1, None));
}

/// Nodes that were told the same pause all returned at its end.
#[test]
fn resumes_spread() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(5);
    let asked = ms(4000);
    let lengths: Vec<_> =
        (0..50).map(|_| endpoint_intake::pause_length(asked, &mut random)).collect();
    assert!(lengths.iter().all(|length| (asked..=asked + ms(800)).contains(length)));
    let (first, last) = (lengths.iter().min().expect("one"), lengths.iter().max().expect("one"));
    assert!(*last - *first > ms(600), "{first:?} to {last:?}");
    let day = endpoint_intake::pause_length(ms(86_400_000), &mut random);
    assert!(day <= endpoint_intake::MAX_PAUSE + ms(2000), "{day:?}");
    assert!(endpoint_intake::pause_length(time::Duration::ZERO, &mut random).is_zero());
}

/// An older registration of an endpoint, from a store that came back from a copy, opened an
/// endpoint again that had registered as leaving.
#[test]
fn registered_leaving() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let leaving = types::EndpointRegistration { leaving: true, ..registration("one", 1) };
    directory.insert(leaving, WARM, now);
    directory.insert(registration("one", 1), WARM, now);
    assert_eq!(chosen(&mut directory, now), ["two".into()], "the copy has it as before");
    directory.remove(&"one".into(), now);
    directory.insert(registration("one", 1), WARM, now);
    assert_eq!(chosen(&mut directory, now), ["two".into()], "removed meanwhile");
    directory.insert(registration("one", 2), WARM, now);
    assert_eq!(directory.counts(now).leaving, 0, "a later process says it for itself");
}

/// Of two registrations of different histories of the store, only these are known to be newer.
#[test]
fn newer_registrations() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    directory.insert(registration("one", 5), WARM, now);
    let leaving = |started_at_ms| types::EndpointRegistration {
        leaving: true,
        ..registration("one", started_at_ms)
    };
    for (other, expected) in [
        (registration("one", 4), false),
        (registration("one", 5), false),
        (registration("one", 6), true),
        (leaving(4), false),
        (leaving(5), true),
        (leaving(6), true),
        (registration("gone", 6), false),
    ] {
        assert_eq!(directory.is_newer(&other), expected, "{other:?}");
    }
    directory.insert(leaving(5), WARM, now);
    assert!(!directory.is_newer(&leaving(5)), "known to leave");
}
