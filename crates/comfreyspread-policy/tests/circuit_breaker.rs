//! Circuit breaker of one endpoint.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::circuit_breaker;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn opens_on_failures() {
    let now = time::Instant::now();
    let mut breaker = circuit_breaker::EndpointBreaker::new();
    breaker.record_failure(now);
    breaker.record_failure(now);
    breaker.record_success();
    breaker.record_failure(now);
    breaker.record_failure(now);
    assert!(breaker.allows(now), "a success resets the failure count");
    breaker.record_failure(now);
    assert!(!breaker.allows(now));
    assert!(breaker.allows(now + SECOND));
}

#[test]
fn probes_one_call() {
    let now = time::Instant::now();
    let mut breaker = circuit_breaker::EndpointBreaker::new();
    breaker.open(circuit_breaker::OpenCause::Slowness, now);
    assert!(breaker.is_ejected());
    let later = now + SECOND;
    for _ in 0..3 {
        assert!(breaker.allows(later) && !breaker.is_closed());
        breaker.record_sent(later);
        assert!(!breaker.allows(later), "one probe at a time");
        breaker.record_success();
    }
    assert!(breaker.is_closed() && !breaker.is_ejected());
}

#[test]
fn pause_doubles() {
    let mut now = time::Instant::now();
    let mut breaker = circuit_breaker::EndpointBreaker::new();
    breaker.open(circuit_breaker::OpenCause::Failures, now);
    for seconds in [1, 2, 4, 8, 16, 30, 30] {
        let pause = SECOND * seconds;
        assert!(!breaker.allows(now + pause - SECOND / 2));
        now += pause;
        assert!(breaker.allows(now), "{seconds} s");
        breaker.record_sent(now);
        breaker.record_failure(now);
    }
}

#[test]
fn inconclusive_probe() {
    let now = time::Instant::now();
    let mut breaker = circuit_breaker::EndpointBreaker::new();
    breaker.open(circuit_breaker::OpenCause::Failures, now);
    breaker.record_sent(now + SECOND);
    breaker.record_inconclusive();
    assert!(breaker.allows(now + SECOND), "an inconclusive probe is repeated");
}
