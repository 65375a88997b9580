//! Measured stage durations and the deadline check.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::timing;
use std::time;

const MILLIS: time::Duration = time::Duration::from_millis(1);

fn measured(now: time::Instant, duration: time::Duration) -> timing::StageTimings {
    let mut timings = timing::StageTimings::new();
    for _ in 0..30 {
        timings.record(&"p".into(), duration, now);
    }
    timings
}

#[test]
fn deadline_fits() {
    let now = time::Instant::now();
    let mut timings = measured(now, 100 * MILLIS);
    let pools = ["p".into(), "p".into()];
    assert!(timings.fits_deadline(&pools, 250 * MILLIS, now));
    assert!(!timings.fits_deadline(&pools, 150 * MILLIS, now));
}

#[test]
fn unknown_pool() {
    let mut timings = timing::StageTimings::new();
    assert!(timings.fits_deadline(&["p".into()], time::Duration::ZERO, time::Instant::now()));
}

#[test]
fn old_samples_expire() {
    let now = time::Instant::now();
    let mut timings = measured(now, 9000 * MILLIS);
    let pools = ["p".into()];
    assert!(!timings.fits_deadline(&pools, 1000 * MILLIS, now + time::Duration::from_secs(11)));
    assert!(timings.fits_deadline(&pools, 1000 * MILLIS, now + time::Duration::from_secs(25)));
}

#[test]
fn expected_sum() {
    let now = time::Instant::now();
    let mut timings = measured(now, 100 * MILLIS);
    let expected = timings.expected_duration(&["p".into(), "p".into()], 0.5, now);
    assert!(
        expected.is_some_and(|sum| (195 * MILLIS..=205 * MILLIS).contains(&sum)),
        "{expected:?}"
    );
    assert_eq!(timings.expected_duration(&["p".into(), "unknown".into()], 0.5, now), None);
}
