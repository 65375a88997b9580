//! Which connection makes room for a new one.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::connection_displacement as displacement;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Chooses among connections of these phases and ages.
fn choose(connections: &[(displacement::ConnectionPhase, time::Duration)]) -> Option<usize> {
    let begin = time::Instant::now();
    let now = begin + 100 * SECOND;
    let waiting = connections.iter().enumerate().map(|(index, (phase, waited))| {
        let since = now - *waited;
        (index, displacement::WaitingConnection { phase: *phase, since })
    });
    displacement::choose(waiting, now)
}

/// Clients that send empty lines after one request held all connections.
#[test]
fn stuck_first() {
    let kept = (displacement::ConnectionPhase::Kept, 30 * SECOND);
    let stuck = (displacement::ConnectionPhase::Head, 2 * SECOND);
    let longer = (displacement::ConnectionPhase::New, 3 * SECOND);
    assert_eq!(choose(&[kept, stuck]), Some(1));
    assert_eq!(choose(&[kept, stuck, longer]), Some(2));
}

/// Clients that send nothing after one request held all connections. A new caller, whose request is on
/// its way, does not make room for the next one while there are any.
#[test]
fn unused_before_recent() {
    let unused = (displacement::ConnectionPhase::Kept, 5 * SECOND);
    let recent = (displacement::ConnectionPhase::New, SECOND / 100);
    assert_eq!(choose(&[recent, unused]), Some(1));
    assert_eq!(choose(&[recent]), Some(0));
}

/// Requests in progress, and connections that have just been used, are not closed for others.
#[test]
fn used_stay() {
    let active = (displacement::ConnectionPhase::Active, 60 * SECOND);
    let kept = (displacement::ConnectionPhase::Kept, SECOND / 2);
    let head = (displacement::ConnectionPhase::Head, SECOND / 2);
    assert_eq!(choose(&[active, kept, head]), None);
}
