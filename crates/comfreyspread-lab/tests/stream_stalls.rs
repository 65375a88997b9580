//! Streams that are slow go on where they are; streams that have stalled move to another endpoint.

mod common;

use common::scripted_endpoint::{
    STREAM_END, STREAM_HEAD, check_whole, chunk, events, pause, run_stream, text,
};

/// A stream whose first event took longer than a gap was cut while its prompt was read.
#[test]
fn late_start() {
    let late = vec![text(STREAM_HEAD), pause(1600), events(1..=6), text(STREAM_END)];
    check_whole(&run_stream(vec![late]), 1);
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
