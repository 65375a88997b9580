//! Streams that broke off, and what the next endpoint answers: its events continue the stream, and
//! anything else stays out of it.

mod common;

use common::scripted_stream::{
    AnswerScript, REQUEST_ID, STREAM_END, STREAM_HEAD, check_whole, chunk, events, pause,
    run_stream, text,
};

/// Returns the answer of an attempt that sends three events and breaks off within the next.
fn broken_stream() -> AnswerScript {
    vec![text(STREAM_HEAD), events(1..=3), chunk("id: 4\nda"), pause(20)]
}

/// Returns the answer of an attempt that sends the other events.
fn rest_of_stream() -> AnswerScript {
    vec![text(STREAM_HEAD), events(4..=6), text(STREAM_END)]
}

/// Returns an answer that is complete in itself, with this status and type.
fn whole_answer(status: &str, media_type: &str, body: &str) -> AnswerScript {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {REQUEST_ID}\r\nResponse-Stamp: s\r\n\
         Content-Type: {media_type}\r\n"
    );
    vec![text(&format!("{head}Content-Length: {length}\r\n\r\n{body}"))]
}

/// An endpoint that failed when it was asked to go on ended a stream that a third could finish.
#[test]
fn error_retried() {
    let error = whole_answer("500 Internal Server Error", "text/plain", "data: oops\n\n");
    check_whole(&run_stream(vec![broken_stream(), error, rest_of_stream()]), 3);
}

/// A page with status 200 was passed on in the middle of a stream.
#[test]
fn page_retried() {
    let page = whole_answer("200 OK", "text/html", "<p>oops</p>\n\n<p>oops</p>\n\n");
    check_whole(&run_stream(vec![broken_stream(), page, rest_of_stream()]), 3);
}

/// A page, or an empty answer that is no stream, made a broken stream look complete.
#[test]
fn page_cut() {
    let page = whole_answer("200 OK", "text/html", "<p>oops</p>\n\n");
    let empty = whole_answer("200 OK", "text/plain", "");
    let (body, attempts) = run_stream(vec![broken_stream(), page, empty]);
    assert!(body.is_err(), "a broken stream looks complete: {body:?}");
    assert_eq!(attempts, 3);
}

#[test]
fn error_cut() {
    let error = || whole_answer("503 Service Unavailable", "text/plain", "data: oops\n\n");
    let (body, attempts) = run_stream(vec![broken_stream(), error(), error()]);
    assert!(body.is_err(), "a broken stream looks complete: {body:?}");
    assert_eq!(attempts, 3);
}

#[test]
fn refusal_retried() {
    let refusal = |status| {
        vec![text(&format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {REQUEST_ID}\r\nNot-Executed: 1\r\n\
             Content-Length: 12\r\n\r\ndata: oops\n\n"
        ))]
    };
    let scripts = vec![broken_stream(), refusal("503 Service Unavailable"), rest_of_stream()];
    check_whole(&run_stream(scripts), 3);
}

/// An endpoint that starts again from the first event adds no event twice.
#[test]
fn restarted_stream() {
    let restarted = vec![text(STREAM_HEAD), events(1..=6), text(STREAM_END)];
    check_whole(&run_stream(vec![broken_stream(), restarted]), 2);
}

/// The head of an error within a chunk is no event.
#[test]
fn head_inside() {
    let inside = vec![
        text(STREAM_HEAD),
        events(1..=3),
        text("HTTP/1.1 500 oops\r\nContent-Length: 4\r\n\r\noops"),
    ];
    check_whole(&run_stream(vec![inside, rest_of_stream()]), 2);
}

/// A first answer that is complete but no stream is passed on as it is.
#[test]
fn first_page() {
    let page = whole_answer("200 OK", "text/plain", "one\n\ntwo");
    let (body, attempts) = run_stream(vec![page]);
    assert_eq!((body.as_deref().ok(), attempts), (Some("one\n\ntwo"), 1));
}
