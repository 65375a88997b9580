//! Requests and connections at the edges of a planned stop: half read, pipelined, not yet sent.

mod common;

use async_net::TcpStream;
use comfreyspread_lab::{fleet, fleet_request};
use common::gateway;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use futures_util::{StreamExt as _, future, stream};
use rustix::process::Signal;
use std::{io, net, sync::atomic, time};

const STEP: time::Duration = time::Duration::from_millis(300);
/// Time for a node with nothing to do to exit; a stop that waits for its limit takes over 7 s.
const IDLE_EXIT: time::Duration = time::Duration::from_millis(5000);
const BODY_BYTES: usize = 1000;
/// Pause between the connections that arrive while a node stops.
const ARRIVAL_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Connections that arrive at once.
const ARRIVALS_AT_ONCE: usize = 4;
/// Time between a connection and its request.
const REQUEST_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longer than a node takes to stop, in milliseconds.
const LONG_DEADLINE_MS: u32 = 15_000;
/// Calls at once.
const MAX_OPEN_CALLS: usize = 200;

/// Returns the bytes of a request with a long body.
fn request_bytes(id: &str, lines: &str) -> Vec<u8> {
    let body = "b".repeat(BODY_BYTES);
    format!(
        "POST /read/ HTTP/1.1\r\nhost: {}\r\nrequest-id: {id}\r\nx-api-key: {}\r\n\
         deadline-ms: 3000\r\n{lines}content-length: {BODY_BYTES}\r\n\r\n{body}",
        fleet::HOST,
        fleet::API_KEY
    )
    .into_bytes()
}

async fn read_rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request in two halves, the second after SIGTERM, and returns the answer.
async fn send_across_stop(node: &fleet::FleetNode) -> String {
    let bytes = request_bytes("r-1", "");
    let (first, second) = bytes.split_at(bytes.len() / 2);
    let mut stream = TcpStream::connect(node.caller_address).await.expect("a connection");
    stream.write_all(first).await.expect("an open connection");
    async_io::Timer::after(STEP).await;
    node.process.signal(Signal::TERM);
    async_io::Timer::after(STEP).await;
    stream.write_all(second).await.ok();
    read_rest(&mut stream).await
}

#[test]
fn half_read() {
    gateway::with_node(async |fleet, mut node| {
        let answer = send_across_stop(&node).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.to_lowercase().contains("connection: close\r\n"), "{answer}");
        assert_eq!(gateway::runs(&fleet, "r-1").len(), 1);
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// A node that was stopped while it started cut the requests that it was reading.
#[test]
fn stopped_early() {
    gateway::with_fleet(async |fleet| {
        fleet.set_store_down(true);
        let mut node = fleet::FleetNode::start(&fleet, &gateway::program(), "node-1", &[], "")
            .expect("a node");
        async_io::Timer::after(STEP * 2).await;
        let answer = send_across_stop(&node).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "cut: {answer}");
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// A connection on which nothing was sent does not hold up the stop.
#[test]
fn unused_connection() {
    gateway::with_node(async |_fleet, mut node| {
        let unused = TcpStream::connect(node.caller_address).await.expect("a connection");
        async_io::Timer::after(STEP).await;
        node.process.signal(Signal::TERM);
        assert_eq!(node.process.wait(IDLE_EXIT).await, Some(0));
        drop(unused);
    });
}

/// The first of two requests sent at once is answered whole, though the second is not taken.
#[test]
fn pipelined_requests() {
    gateway::with_node(async |fleet, node| {
        let mut stream = TcpStream::connect(node.caller_address).await.expect("a connection");
        node.process.signal(Signal::TERM);
        async_io::Timer::after(STEP).await;
        let both = [request_bytes("r-1", ""), request_bytes("r-2", "")].concat();
        stream.write_all(&both).await.expect("an open connection");
        async_io::Timer::after(STEP).await;
        let answer = read_rest(&mut stream).await;
        assert_eq!(answer.matches("HTTP/1.1 200").count(), 1, "{answer}");
        assert!(answer.contains("ran /read/"), "{answer}");
        assert!(gateway::runs(&fleet, "r-2").is_empty(), "taken and not answered");
    });
}

/// Connects, sends a request a moment later and returns the answer; none if the node has closed its
/// listener.
async fn send_new(address: net::SocketAddr, id: String) -> Option<String> {
    let mut stream = match TcpStream::connect(address).await {
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return None,
        connected => connected.expect("a connection that was not reset"),
    };
    async_io::Timer::after(REQUEST_DELAY).await;
    stream.write_all(&request_bytes(&id, "")).await.ok();
    Some(read_rest(&mut stream).await)
}

/// Starts calls over new connections until the node refuses them, and returns their ids and answers.
async fn send_until_refused(address: net::SocketAddr) -> Vec<(String, String)> {
    let closed = atomic::AtomicBool::new(false);
    let calls = stream::iter(0..).then(async |number| {
        let pause =
            if number % ARRIVALS_AT_ONCE == 0 { ARRIVAL_PAUSE } else { time::Duration::ZERO };
        async_io::Timer::after(pause).await;
        number
    });
    let calls = calls.take_while(|_| future::ready(!closed.load(atomic::Ordering::Relaxed)));
    let calls = calls.map(async |number| {
        let id = format!("r-{number}");
        let answer = send_new(address, id.clone()).await;
        closed.fetch_or(answer.is_none(), atomic::Ordering::Relaxed);
        Some((id, answer?))
    });
    let answers = calls.buffered(MAX_OPEN_CALLS).filter_map(future::ready);
    answers.collect().await
}

fn check_whole(answer: &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_else(|| panic!("cut: {answer:?}"));
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    assert_eq!(length, Some(body.len().to_string().as_str()), "cut: {answer:?}");
    assert!(head.starts_with("HTTP/1.1 200") || head.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Connections that arrived while the node stopped were cut: those that the kernel had taken and the
/// node had not, and those whose request came after the node had closed its listener.
#[test]
fn arrivals_answered() {
    gateway::with_node(async |fleet, mut node| {
        node.process.signal(Signal::TERM);
        let answers = send_until_refused(node.caller_address).await;
        assert!(answers.len() > MAX_OPEN_CALLS, "{}", answers.len());
        for (id, answer) in &answers {
            check_whole(answer);
            let served = answer.starts_with("HTTP/1.1 200");
            assert_eq!(gateway::runs(&fleet, id).len(), usize::from(served));
        }
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// Guards against requests cut without an answer at the end of a stop because they still waited at
/// their stages: nothing of them was sent, so that their callers may be told so.
#[test]
fn never_sent() {
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(2);
        document["routes"][3]["timeout_ms"] = LONG_DEADLINE_MS.into();
        fleet.set_route_document(&document);
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for worker in ["worker-1", "worker-2"] {
            fleet.faults(worker).full.store(true, atomic::Ordering::Relaxed);
        }
        let request = fleet_request::FleetRequest::new(node.caller_address, "/report/", "waiting")
            .with_pieces("2,1")
            .with_deadline_ms(LONG_DEADLINE_MS.into());
        let stop = async {
            async_io::Timer::after(STEP).await;
            node.process.signal(Signal::TERM);
        };
        let call = gateway::call(node.caller_address, request.into_message());
        let (response, ()) = future::join(call, stop).await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
        assert!(gateway::runs(&fleet, "waiting").is_empty());
    });
}
