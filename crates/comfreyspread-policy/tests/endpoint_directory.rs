//! Choice among the registered endpoints.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::{endpoint_directory, endpoint_selection, tried_endpoints};
use comfreyspread_schema::{ids, types};
use std::time;

fn ms(length: u64) -> time::Duration {
    time::Duration::from_millis(length)
}

fn registration(name: &str, zone: &str, port: u16) -> types::EndpointRegistration {
    types::EndpointRegistration {
        address: ([10, 0, 0, 1], port).into(),
        started_at_ms: 1,
        cold_time_left: time::Duration::ZERO,
        endpoint: name.into(),
        leaving: false,
        service: "s".into(),
        slots: 4,
        zone: zone.into(),
        version: "v1".into(),
    }
}

const WARM: endpoint_directory::ColdStart =
    endpoint_directory::ColdStart { cold: time::Duration::ZERO, at_start: true };

fn new_directory(now: time::Instant) -> endpoint_directory::EndpointDirectory {
    let zones = [("a", "r"), ("b", "r"), ("c", "q")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let mut directory = endpoint_directory::EndpointDirectory::new(zones.into_iter().collect());
    for (name, zone, port) in [("one", "a", 1), ("two", "b", 2), ("three", "c", 3)] {
        directory.insert(registration(name, zone, port), WARM, now);
    }
    directory
}

struct RequestNeeds {
    service: ids::ServiceName,
    route: ids::Text,
    region: ids::RegionId,
    zone: ids::ZoneId,
    tried: Vec<ids::EndpointId>,
}

impl RequestNeeds {
    fn new() -> Self {
        Self {
            service: "s".into(),
            route: "read".into(),
            region: "r".into(),
            zone: "a".into(),
            tried: Vec::new(),
        }
    }

    fn query(&self, now: time::Instant) -> endpoint_directory::EndpointQuery<'_> {
        endpoint_directory::EndpointQuery {
            cold_rate: 1,
            preferred_region: &self.region,
            now,
            placed: None,
            prefix: None,
            regions: None,
            service: &self.service,
            route: &self.route,
            second_try: None,
            tried: &self.tried,
            zone: &self.zone,
        }
    }

    fn choose(
        &self,
        directory: &mut endpoint_directory::EndpointDirectory,
        now: time::Instant,
    ) -> String {
        let chosen = directory.start_call(&self.query(now));
        chosen.map_or_else(String::new, |chosen| chosen.endpoint.to_string())
    }
}

#[test]
fn nearest_first() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let mut needs = RequestNeeds::new();
    for expected in ["one", "two", "three", ""] {
        assert_eq!(needs.choose(&mut directory, now), expected);
        needs.tried.push(expected.into());
    }
}

/// A second try comes after all other endpoints, and is the only one where no other may run the
/// request.
#[test]
fn second_try() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let mut needs = RequestNeeds::new();
    let endpoint = "one".into();
    let mut choose = |needs: &RequestNeeds, only| {
        let second_try =
            Some(tried_endpoints::SecondTry { endpoint: &endpoint, excludes_others: only });
        let query = endpoint_directory::EndpointQuery { second_try, ..needs.query(now) };
        directory.start_call(&query).map(|chosen| chosen.endpoint.to_string())
    };
    assert_eq!(choose(&needs, true).as_deref(), Some("one"));
    for expected in ["two", "three", "one"] {
        assert_eq!(choose(&needs, false).as_deref(), Some(expected));
        needs.tried.push(expected.into());
    }
    assert_eq!((choose(&needs, false), choose(&needs, true)), (None, None));
}

#[test]
fn slow_and_failing() {
    let now = time::Instant::now();
    for outcome in
        [endpoint_directory::AttemptOutcome::Served, endpoint_directory::AttemptOutcome::Failed]
    {
        let mut directory = new_directory(now);
        let needs = RequestNeeds::new();
        for _ in 0..20 {
            let took = if outcome == endpoint_directory::AttemptOutcome::Served {
                ms(900)
            } else {
                ms(20)
            };
            directory.finish_call(&"one".into(), 1, outcome, took, now);
            directory.finish_call(
                &"two".into(),
                1,
                endpoint_directory::AttemptOutcome::Served,
                ms(20),
                now,
            );
        }
        assert_eq!(needs.choose(&mut directory, now), "two", "{outcome:?}");
        let later = now + time::Duration::from_secs(60);
        assert_eq!(needs.choose(&mut directory, later), "one", "old measurements decay");
    }
}

#[test]
fn leaving_skipped() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let needs = RequestNeeds::new();
    let leaving = types::EndpointRegistration { leaving: true, ..registration("one", "a", 1) };
    directory.insert(leaving, WARM, now);
    assert_eq!(needs.choose(&mut directory, now), "two");
    directory.set_zone_out("b".into(), true);
    assert_eq!(needs.choose(&mut directory, now), "three");
    directory.finish_call(&"three".into(), 1, endpoint_directory::AttemptOutcome::Gone, ms(1), now);
    assert_eq!(needs.choose(&mut directory, now), "");
    directory.set_zone_out("b".into(), false);
    assert_eq!(needs.choose(&mut directory, now), "two");
}

#[test]
fn regions_restricted() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let needs = RequestNeeds::new();
    let regions = ["q".into()];
    let query = endpoint_directory::EndpointQuery { regions: Some(&regions), ..needs.query(now) };
    let chosen = directory.start_call(&query).expect("an endpoint");
    assert_eq!((&*chosen.endpoint, &*chosen.region), ("three", "q"));
}

/// A cold endpoint gets no more requests per second than this node's share.
#[test]
fn cold_rate_limited() {
    let now = time::Instant::now();
    let mut directory = endpoint_directory::EndpointDirectory::new(
        [("a".into(), "r".into())].into_iter().collect(),
    );
    let cold_start = endpoint_directory::ColdStart { cold: ms(3000), at_start: false };
    directory.insert(registration("one", "a", 1), cold_start, now);
    let needs = RequestNeeds::new();
    let mut sent = Vec::new();
    for step in 0..300 {
        let at = now + ms(step * 10);
        if !needs.choose(&mut directory, at).is_empty() {
            sent.push(at);
        }
    }
    for first in &sent {
        let within = sent.iter().filter(|other| **other >= *first && **other < *first + ms(1000));
        assert!(within.count() <= 1);
    }
    assert_eq!(sent.len(), 3);
    assert_eq!(needs.choose(&mut directory, now + ms(3001)), "one");
    assert_eq!(
        needs.choose(&mut directory, now + ms(3002)),
        "one",
        "a warm endpoint has no rate limit"
    );
}

#[test]
fn restart_is_new() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let needs = RequestNeeds::new();
    directory.finish_call(&"one".into(), 1, endpoint_directory::AttemptOutcome::Gone, ms(1), now);
    directory.insert(registration("one", "a", 1), WARM, now);
    assert_eq!(needs.choose(&mut directory, now), "two", "the same process stays excluded");
    let restarted = types::EndpointRegistration { started_at_ms: 2, ..registration("one", "a", 1) };
    directory.insert(restarted, WARM, now);
    assert_eq!(needs.choose(&mut directory, now), "one");
}

#[test]
fn prefix_affinity() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    for number in 4..10 {
        directory.insert(registration(&format!("e{number}"), "a", number), WARM, now);
    }
    let needs = RequestNeeds::new();
    for prefix in 0..50 {
        let query = endpoint_directory::EndpointQuery { prefix: Some(prefix), ..needs.query(now) };
        let first = directory.start_call(&query).expect("an endpoint").endpoint;
        let second = directory.start_call(&query).expect("an endpoint").endpoint;
        assert_eq!(first, second);
        for endpoint in [&first, &second] {
            directory.finish_call(
                endpoint,
                1,
                endpoint_directory::AttemptOutcome::Served,
                ms(50),
                now,
            );
        }
    }
}

#[test]
fn busy_prefix_spills() {
    let now = time::Instant::now();
    let mut directory = new_directory(now);
    let needs = RequestNeeds::new();
    let query = endpoint_directory::EndpointQuery { prefix: Some(7), ..needs.query(now) };
    let chosen: Vec<_> = (0..40).filter_map(|_| directory.start_call(&query)).collect();
    let mut names: Vec<_> = chosen.iter().map(|one| one.endpoint.clone()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), 2, "both endpoints of the region are used");
}

/// Guards against requests sent to an endpoint that was closed to them after it had been chosen,
/// while the connection was opened.
#[test]
fn chosen_withdrawn() {
    use endpoint_selection::SkipReason;
    let now = time::Instant::now();
    let needs = RequestNeeds::new();
    let choose = || {
        let mut directory = new_directory(now);
        let chosen = directory.start_call(&needs.query(now)).expect("an endpoint");
        (directory, chosen)
    };
    let (mut directory, chosen) = choose();
    let (home, other) = ([ids::RegionId::from("r")], [ids::RegionId::from("q")]);
    assert_eq!(directory.withdrawn(&chosen, None, now), None);
    assert_eq!(directory.withdrawn(&chosen, Some(&home), now), None);
    assert_eq!(directory.withdrawn(&chosen, Some(&other), now), Some(SkipReason::OtherRegion));
    directory.set_zone_out("a".into(), true);
    assert_eq!(directory.withdrawn(&chosen, None, now), Some(SkipReason::ZoneOut));
    let (mut directory, chosen) = choose();
    let leaving = types::EndpointRegistration { leaving: true, ..registration("one", "a", 1) };
    directory.insert(leaving, WARM, now);
    assert_eq!(directory.withdrawn(&chosen, None, now), Some(SkipReason::Leaving));
    directory.remove(&chosen.endpoint, now);
    assert_eq!(directory.withdrawn(&chosen, None, now), Some(SkipReason::Removed));
    let restarted = types::EndpointRegistration { started_at_ms: 2, ..registration("one", "a", 1) };
    directory.insert(restarted, WARM, now);
    assert_eq!(directory.withdrawn(&chosen, None, now), Some(SkipReason::Removed));
}
