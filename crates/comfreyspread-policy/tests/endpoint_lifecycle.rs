//! Answers and events that make an endpoint cold, warming or warm.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::endpoint_lifecycle;
use comfreyspread_schema::types;
use std::time;
use types::EndpointPhase as Phase;

const WARM_AFTER: u32 = 3;

/// Event in the life cycle of an endpoint.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Answer: when its call was sent in ms since the start, start id, whether the endpoint reports
    /// itself cold, and whether it was slow.
    Answer(u64, Option<u64>, Option<bool>, bool),
    Lost,
    Leave,
    Depart,
    Rejoin,
}

use Event::{Answer, Depart, Leave, Lost, Rejoin};

/// Applies the events at 10 ms, 20 ms and so on, and returns the phase.
fn phase_after(events: &[Event]) -> Phase {
    let base = time::Instant::now();
    let at = |millis| base + time::Duration::from_millis(millis);
    let mut status = endpoint_lifecycle::EndpointStatus::new();
    for (event, now) in events.iter().zip((10..).step_by(10)) {
        match *event {
            Answer(sent, start_id, cold, slow) => {
                let report = endpoint_lifecycle::SelfReport { start_id, cold, leaving: false };
                let sample = endpoint_lifecycle::AnswerSample {
                    report,
                    sent: at(sent),
                    answered: at(now),
                    slow,
                };
                status.record_answer(&sample, WARM_AFTER);
            }
            Lost => status.record_connection_loss(at(now)),
            Leave => status.leave(),
            Depart => status.depart(),
            Rejoin => status.rejoin(),
        }
    }
    status.phase()
}

#[test]
fn warm_up() {
    let plain = |sent| Answer(sent, None, None, false);
    let cases: [(&[Event], Phase); 6] = [
        (&[], Phase::Unknown),
        (&[plain(5)], Phase::Warming),
        (&[plain(5), plain(15)], Phase::Warming),
        (&[plain(5), plain(15), plain(25)], Phase::Warm),
        (&[Answer(5, Some(1), Some(false), false)], Phase::Warm),
        (&[Answer(5, Some(1), Some(true), false); 9], Phase::Warming),
    ];
    check(&cases);
}

#[test]
fn cold_detection() {
    let warm = Answer(5, Some(1), Some(false), false);
    let cases: [(&[Event], Phase); 9] = [
        // Another start id.
        (&[warm, Answer(15, Some(2), Some(false), false)], Phase::Cold),
        // The endpoint's own report, on a call sent since it became warm.
        (&[warm, Answer(15, Some(1), Some(true), false)], Phase::Cold),
        // A report on a call sent before it became warm is outdated.
        (&[warm, Answer(6, Some(1), Some(true), false)], Phase::Warm),
        // A lost or refused connection.
        (&[warm, Lost], Phase::Cold),
        (&[Lost], Phase::Cold),
        // A slow answer, unless the endpoint reports itself warm.
        (&[warm, Answer(15, None, None, true)], Phase::Cold),
        (&[warm, Answer(15, Some(1), Some(false), true)], Phase::Warm),
        // An answer to a call sent before the endpoint became cold is ignored.
        (&[warm, Lost, Answer(15, Some(1), Some(false), false)], Phase::Cold),
        (&[warm, Lost, Answer(25, Some(2), Some(false), false)], Phase::Cold),
    ];
    check(&cases);
}

#[test]
fn leave_return() {
    let warm = Answer(5, Some(1), Some(false), false);
    let cases: [(&[Event], Phase); 6] = [
        (&[warm, Leave], Phase::Leaving),
        (&[warm, Leave, Answer(8, Some(1), Some(false), false)], Phase::Leaving),
        (&[warm, Leave, Lost], Phase::Leaving),
        (&[warm, Leave, Depart], Phase::Gone),
        (&[warm, Leave, Rejoin], Phase::Unknown),
        (&[warm, Leave, Depart, Rejoin], Phase::Unknown),
    ];
    check(&cases);
}

fn check(cases: &[(&[Event], Phase)]) {
    for (events, phase) in cases {
        assert_eq!(phase_after(events), *phase, "{events:?}");
    }
}
