//! Streams that broke off, and what the next endpoint answers: its events continue the stream, and
//! anything else stays out of it.

mod common;

use comfreyspread::{
    runtime::worker,
    transport::{failure, http_client},
};
use common::{
    gateway,
    scripted_endpoint::{self, AnswerScript, STREAM_END, STREAM_HEAD, chunk, events, pause, text},
};
use std::time;

const ALL_EVENTS: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];
/// Endpoints, as many as a request may be sent to in these tests.
const ENDPOINTS: u64 = 3;

/// The body of a stream, or how it broke off, and the number of attempts.
type StreamResult = (Result<String, failure::CallFailure>, usize);

/// Sends one request for a stream whose attempts are answered with these scripts.
fn run_stream(scripts: Vec<AnswerScript>) -> StreamResult {
    let (sender, results) = std::sync::mpsc::channel();
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(2);
        document["routes"][2]["max_attempts"] = ENDPOINTS.into();
        fleet.set_route_document(&document);
        let scripts = [("r-1", scripts)].into_iter().collect();
        let endpoints = scripted_endpoint::ScriptedEndpoints::start;
        let endpoints = endpoints(&fleet, &spawner, ENDPOINTS, scripts).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = gateway::request(node.caller_address, "/chat/", "r-1");
        let client = http_client::HttpClient::new(1 << 20);
        let fresh = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        let response = client.call(node.caller_address, request, fresh, deadline).await;
        let body = response.map(|one| String::from_utf8_lossy(one.body()).into_owned());
        sender.send((body, endpoints.attempts("r-1"))).expect("a receiver");
    });
    pool.stop();
    results.recv().expect("a result")
}

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
    let head = format!("HTTP/1.1 {status}\r\nResponse-Stamp: s\r\nContent-Type: {media_type}\r\n");
    vec![text(&format!("{head}Content-Length: {length}\r\n\r\n{body}"))]
}

fn check_whole(result: &StreamResult, attempts: usize) {
    let body = result.0.as_ref().expect("a complete stream");
    let data: Vec<_> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data, ALL_EVENTS);
    assert!(!body.contains("oops"), "{body}");
    assert_eq!(result.1, attempts);
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
            "HTTP/1.1 {status}\r\nNot-Executed: 1\r\nContent-Length: 12\r\n\r\ndata: oops\n\n"
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
