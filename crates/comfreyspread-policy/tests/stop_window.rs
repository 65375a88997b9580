//! Requests that arrive during a planned stop.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::stop_window;
use std::time;

const GRACE: time::Duration = time::Duration::from_secs(2);
const SHUTDOWN: time::Duration = time::Duration::from_secs(4);
const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn known_durations() {
    let now = time::Instant::now();
    let window = stop_window::StopWindow::new(now, GRACE, SHUTDOWN);
    assert!(window.admits(now, Some(5 * SECOND), 60 * SECOND, now));
    assert!(!window.admits(now, Some(6 * SECOND), 60 * SECOND, now));
    assert!(window.admits(now, Some(6 * SECOND), 5 * SECOND, now), "its deadline comes first");
    assert!(!window.admits(now, Some(SECOND), 60 * SECOND, now + 5 * SECOND));
}

#[test]
fn unknown_durations() {
    let now = time::Instant::now();
    let window = stop_window::StopWindow::new(now, GRACE, SHUTDOWN);
    let late = now + GRACE;
    assert!(window.admits(now, None, 60 * SECOND, now + SECOND));
    assert!(window.admits(now, None, 60 * SECOND, late), "it came in time and waited");
    assert!(!window.admits(late, None, 60 * SECOND, late));
    assert!(window.admits(late, None, 3 * SECOND, late));
    assert!(!window.admits(now, None, 60 * SECOND, late + SHUTDOWN));
}

/// Half of those that may be repeated may outlast the stop; the others and late ones do not.
#[test]
fn quantiles() {
    let now = time::Instant::now();
    let window = stop_window::StopWindow::new(now, GRACE, SHUTDOWN);
    assert_eq!(window.expected_quantile(now, true), 0.5);
    assert_eq!(window.expected_quantile(now, false), 0.99);
    assert_eq!(window.expected_quantile(now + GRACE, true), 0.99);
}

/// A request taken once the listener is closed, with what is known of it right, never outlasts the
/// node; a refused one would be refused later, too.
#[test]
fn taken_finish() {
    let start = time::Instant::now();
    let window = stop_window::StopWindow::new(start, GRACE, SHUTDOWN);
    check!().with_type::<(Option<u16>, u16, u16, u16)>().cloned().for_each(|case| {
        let (expected, time_left, arrived, later) = case;
        let millis = |count: u16| time::Duration::from_millis(count.into());
        let (expected, time_left) = (expected.map(millis), millis(time_left));
        let now = start + millis(arrived);
        let admitted = window.admits(now, expected, time_left, now);
        let lasts = expected.unwrap_or(time_left).min(time_left);
        if admitted && now >= start + GRACE {
            assert!(now + lasts <= window.ends_at());
        }
        assert!(admitted || !window.admits(now, expected, time_left, now + millis(later)));
    });
}
