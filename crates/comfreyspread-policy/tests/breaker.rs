//! Circuit breaker of one endpoint.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::breaker;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn opens_on_failures() {
    let now = time::Instant::now();
    let mut breaker = breaker::EndpointBreaker::new();
    breaker.note_failure(now);
    breaker.note_failure(now);
    breaker.note_success();
    breaker.note_failure(now);
    breaker.note_failure(now);
    assert!(breaker.allows(now), "a success in between starts the count anew");
    breaker.note_failure(now);
    assert!(!breaker.allows(now));
    assert!(breaker.allows(now + SECOND));
}

#[test]
fn probes_one_call() {
    let now = time::Instant::now();
    let mut breaker = breaker::EndpointBreaker::new();
    breaker.open(breaker::OpenCause::Slowness, now);
    assert!(breaker.ejected());
    let later = now + SECOND;
    for _ in 0..3 {
        assert!(breaker.allows(later) && !breaker.closed());
        breaker.note_sent(later);
        assert!(!breaker.allows(later), "one probe at a time");
        breaker.note_success();
    }
    assert!(breaker.closed() && !breaker.ejected());
}

#[test]
fn pause_doubles() {
    let mut now = time::Instant::now();
    let mut breaker = breaker::EndpointBreaker::new();
    breaker.open(breaker::OpenCause::Failures, now);
    for seconds in [1, 2, 4, 8, 16, 30, 30] {
        let pause = SECOND * seconds;
        assert!(!breaker.allows(now + pause - SECOND / 2));
        now += pause;
        assert!(breaker.allows(now), "{seconds} s");
        breaker.note_sent(now);
        breaker.note_failure(now);
    }
}

#[test]
fn probe_unknown() {
    let now = time::Instant::now();
    let mut breaker = breaker::EndpointBreaker::new();
    breaker.open(breaker::OpenCause::Failures, now);
    breaker.note_sent(now + SECOND);
    breaker.note_unknown();
    assert!(breaker.allows(now + SECOND), "a probe that tells nothing is made again");
}
