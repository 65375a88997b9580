//! Requests and connections at the edges of a planned stop: half read, pipelined, not yet sent.

mod common;

use async_net::TcpStream;
use comfreyspread_lab::fleet;
use common::gateway;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use rustix::process::Signal;
use std::time;

const STEP: time::Duration = time::Duration::from_millis(300);
/// Time for a node with nothing to do to exit; a stop that waits for its limit takes over 7 s.
const IDLE_EXIT: time::Duration = time::Duration::from_millis(5000);
const BODY_BYTES: usize = 1000;

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
        let mut node =
            fleet::FleetNode::start(&fleet, &gateway::program(), "node-1", &[]).expect("a node");
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
