//! Streams that are slow go on where they are; streams that have stalled move to another endpoint.

mod common;

use common::scripted_stream::{
    AnswerScript, STREAM_END, STREAM_HEAD, await_close, check_whole, chunk, events, pause,
    run_on_endpoints, run_stream, run_stream_at, text,
};
use std::time;

/// Pause between the signs of life of a stalled stream, in milliseconds.
const SIGN_PAUSE_MS: u64 = 200;
const SIGNS: usize = 20;
/// Longer than a stream waits for an event before another endpoint is tried, in milliseconds.
const SILENCE_MS: u64 = 1600;
/// Little longer than that, in milliseconds: the endpoint goes on just after a move has begun.
const SHORT_SILENCE_MS: u64 = 1325;
/// Longest time for which two endpoints may work on one stream.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(400);
/// Answer of an endpoint that is full.
const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: <request id>\r\n\
    Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// Answer of an endpoint that failed.
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: <request id>\r\n\
    Response-Stamp: s\r\nContent-Length: 0\r\n\r\n";

/// Returns the answer of an attempt that sends two events, and then only signs of life.
fn stalled_stream(sign: &str) -> AnswerScript {
    let signs = std::iter::repeat_n([pause(SIGN_PAUSE_MS), chunk(sign)], SIGNS);
    [text(STREAM_HEAD), events(1..=2)].into_iter().chain(signs.flatten()).collect()
}

fn rest_of_stream() -> AnswerScript {
    vec![text(STREAM_HEAD), events(3..=6), text(STREAM_END)]
}

/// A stream whose first event took longer than a gap was cut while its prompt was read.
#[test]
fn late_start() {
    let late = vec![text(STREAM_HEAD), pause(1600), events(1..=6), text(STREAM_END)];
    check_whole(&run_stream(vec![late]), 1);
}

/// A stalled stream whose endpoint sent comments never moved.
#[test]
fn comments_only() {
    check_whole(&run_stream(vec![stalled_stream(": wait\n\n"), rest_of_stream()]), 2);
}

/// A stalled stream whose endpoint sent the same event again never moved.
#[test]
fn event_repeated() {
    let repeated = stalled_stream("id: 2\ndata: e2\n\n");
    check_whole(&run_stream(vec![repeated, rest_of_stream()]), 2);
}

/// A stream that begins to stall before its first event moves too.
#[test]
fn never_started() {
    let silent = vec![text(STREAM_HEAD), pause(3500)];
    let whole = vec![text(STREAM_HEAD), events(1..=6), text(STREAM_END)];
    check_whole(&run_stream(vec![silent, whole]), 2);
}

/// Comments between the events of a slow stream are passed on and do not move it.
#[test]
fn comments_between() {
    let slow = (1..=6)
        .flat_map(|number| [pause(200), chunk(": wait\n\n"), pause(200), events(number..=number)]);
    let slow = [text(STREAM_HEAD)].into_iter().chain(slow).chain([text(STREAM_END)]);
    let result = run_stream(vec![slow.collect()]);
    check_whole(&result, 1);
    assert!(result.0.is_ok_and(|body| body.contains(": wait")));
}

/// Comments before the first event of a stalled stream do not keep it either.
#[test]
fn comments_first() {
    let comments = std::iter::repeat_n([pause(SIGN_PAUSE_MS), chunk(": wait\n\n")], SIGNS);
    let stalled = [text(STREAM_HEAD)].into_iter().chain(comments.flatten()).collect();
    let whole = vec![text(STREAM_HEAD), events(1..=6), text(STREAM_END)];
    check_whole(&run_stream(vec![stalled, whole]), 2);
}

/// A slow stream was cut although no other endpoint could go on with it.
#[test]
fn only_endpoint() {
    let slow = vec![text(STREAM_HEAD), events(1..=3), pause(1600), events(4..=6), text(STREAM_END)];
    check_whole(&run_stream_at(1, vec![slow]), 1);
}

/// Returns the answer of an attempt that is silent once and goes on.
fn silent_stream() -> AnswerScript {
    vec![text(STREAM_HEAD), events(1..=3), pause(SILENCE_MS), events(4..=6), text(STREAM_END)]
}

/// A stream whose endpoint was silent for a moment was cut, because the endpoints that should have
/// gone on with it were full.
#[test]
fn others_full() {
    let rejected = || vec![text(REJECTED)];
    check_whole(&run_stream(vec![silent_stream(), rejected(), rejected()]), 3);
}

/// The same, with endpoints that cut the connection or failed.
#[test]
fn others_fail() {
    check_whole(&run_stream(vec![silent_stream(), vec![], vec![text(FAILED)]]), 3);
}

/// A silent endpoint was left before another had begun to answer, though it went on at once. The move
/// may not have begun by then.
#[test]
fn others_slow() {
    let silent = vec![
        text(STREAM_HEAD),
        events(1..=3),
        pause(SHORT_SILENCE_MS),
        events(4..=6),
        text(STREAM_END),
    ];
    let slow = vec![pause(2 * SILENCE_MS), text(STREAM_HEAD), events(4..=6), text(STREAM_END)];
    let result = run_stream(vec![silent, slow]);
    check_whole(&result, result.1.min(2));
}

/// Two endpoints worked on one stream for as long as the second took to begin its answer.
#[test]
fn overlap_bounded() {
    let silent = vec![text(STREAM_HEAD), events(1..=3), await_close()];
    let slow = vec![pause(SILENCE_MS), text(STREAM_HEAD), events(4..=6), text(STREAM_END)];
    let (result, endpoints) = run_on_endpoints(2, vec![silent, slow]);
    check_whole(&result, 2);
    let overlap = endpoints.overlap().expect("a close");
    assert!(overlap <= MAX_OVERLAP, "{overlap:?}");
}
