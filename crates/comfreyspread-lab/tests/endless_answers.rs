//! Endpoints in trouble that send bytes without end, in a head, a body or an event.
//!
//! The node bounds the bytes and the time that each may take, closes the connection, tells the
//! caller the truth, and serves slow but sound streams whole beside them.

mod common;

use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use common::{gateway, raw_endpoint};
use std::{sync::atomic::Ordering, time};

/// Route timeout of the sample document, and a margin.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(4500);
/// Time for a connection that the node closed to be seen by the endpoint.
const CLOSE_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Most bytes of one response: what the node takes, and what the buffers of two sockets hold.
const MAX_RESPONSE_BYTES: usize = (16 + 32 + 4) * 1024 * 1024;
/// Most memory that one node may use, in KiB: half of the smallest VM.
const MAX_MEMORY_KIB: u64 = 80 * 1024;

/// Delay of the events of a slow stream, just below the gap that the route's declaration allows.
const SLOW_EVENT_MS: u64 = 380;

/// Streams at once, more than one endpoint is given.
const STREAMS: usize = 6;

/// Runs a test against one node and an endpoint of `service` that never ends its responses.
fn with_endless<Test, TestFuture>(
    endless: raw_endpoint::Endless,
    service: &'static str,
    replaced: &'static [&'static str],
    test: Test,
) where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode, raw_endpoint::RawEndpoint) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let raw = raw_endpoint::RawEndpoint::start(&fleet, &spawner, endless, service, replaced);
        let raw = raw.await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        test(fleet, node, raw).await;
    });
    pool.stop();
}

async fn wait_until_closed(raw: &raw_endpoint::RawEndpoint) {
    let deadline = time::Instant::now() + CLOSE_LIMIT;
    while raw.closed.load(Ordering::Relaxed) == 0 {
        assert!(time::Instant::now() < deadline, "the connection is still open");
        async_io::Timer::after(time::Duration::from_millis(20)).await;
    }
}

fn check_memory(node: &fleet::FleetNode) {
    let used = gateway::peak_memory_kib(node);
    assert!(used < MAX_MEMORY_KIB, "{used} KiB");
}

/// Sends a request that may not be repeated to an endpoint whose response never ends.
fn check_unary(endless: raw_endpoint::Endless) {
    with_endless(endless, "ledger", &["ledger-1", "ledger-2"], async |_fleet, node, raw| {
        let started = time::Instant::now();
        let request = gateway::request(node.caller_address, "/write/", "r-1");
        let (status, _) = gateway::send(node.caller_address, request).await;
        assert!(started.elapsed() < ANSWER_LIMIT, "{:?}", started.elapsed());
        assert!(status == 502 || status == 504, "{status} claims that it has not run");
        wait_until_closed(&raw).await;
        let written = raw.written.load(Ordering::Relaxed);
        assert!(written < MAX_RESPONSE_BYTES, "{written} bytes taken");
        check_memory(&node);
    });
}

#[test]
fn endless_head() {
    check_unary(raw_endpoint::Endless::Head);
}

#[test]
fn dripping_head() {
    check_unary(raw_endpoint::Endless::DrippingHead);
}

#[test]
fn endless_body() {
    check_unary(raw_endpoint::Endless::Body);
}

#[test]
fn endless_chunks() {
    check_unary(raw_endpoint::Endless::ChunkedBody);
}

/// Informational heads without end are bounded by their bytes, and keep no thread from its timers.
#[test]
fn informational_heads() {
    check_unary(raw_endpoint::Endless::InformationalHeads);
}

#[test]
fn chunk_extension() {
    check_unary(raw_endpoint::Endless::ChunkExtension);
}

#[test]
fn endless_trailers() {
    check_unary(raw_endpoint::Endless::Trailers);
}

/// The answer of the length that its head states is whole; what follows it is nobody's, and the
/// connection is closed.
#[test]
fn long_body() {
    let endless = raw_endpoint::Endless::LongBody;
    with_endless(endless, "ledger", &["ledger-1", "ledger-2"], async |_fleet, node, raw| {
        for number in 0..8 {
            let id = format!("r-{number}");
            let request = gateway::request(node.caller_address, "/read/", &id);
            let answer = gateway::send(node.caller_address, request).await;
            assert_eq!(answer, (200, "body".into()));
        }
        wait_until_closed(&raw).await;
        let written = raw.written.load(Ordering::Relaxed);
        assert!(written < 8 * MAX_RESPONSE_BYTES, "{written} bytes taken");
        check_memory(&node);
    });
}

/// Several endless bodies at once stay within the memory of a small VM.
#[test]
fn many_bodies() {
    let endless = raw_endpoint::Endless::ChunkedBody;
    with_endless(endless, "ledger", &["ledger-1", "ledger-2"], async |_fleet, node, _raw| {
        let calls = (0..16).map(|number| {
            let id = format!("r-{number}");
            let request = gateway::request(node.caller_address, "/write/", &id);
            gateway::send(node.caller_address, request)
        });
        for (status, _) in futures_util::future::join_all(calls).await {
            assert!(status == 502 || status == 504, "{status}");
        }
        check_memory(&node);
    });
}

/// Streams that stop within an event move to another endpoint, also if bytes still arrive.
fn check_streams(endless: raw_endpoint::Endless) {
    with_endless(endless, "engine", &["engine-2"], async |_fleet, node, raw| {
        let calls = (0..STREAMS).map(async |number| {
            let id = format!("r-{number}");
            let request = gateway::request(node.caller_address, "/chat/", &id);
            gateway::send(node.caller_address, request).await
        });
        let started = time::Instant::now();
        for (status, body) in futures_util::future::join_all(calls).await {
            assert_eq!(status, 200);
            assert_eq!(body.matches("data: ").count(), 6, "{body}");
        }
        assert!(started.elapsed() < ANSWER_LIMIT, "{:?}", started.elapsed());
        assert!(raw.written.load(Ordering::Relaxed) > 0, "no request reached the endless endpoint");
        wait_until_closed(&raw).await;
    });
}

#[test]
fn endless_event() {
    check_streams(raw_endpoint::Endless::Event);
}

#[test]
fn dripping_event() {
    check_streams(raw_endpoint::Endless::DrippingEvent);
}

/// Guards against a node that stands still, timers and other callers too, because an endpoint sends
/// faster than the node reads.
#[test]
fn repeated_event() {
    check_streams(raw_endpoint::Endless::RepeatedEvent);
}

/// The same, with the other end of lines: each event was sought in all bytes that followed it.
#[test]
fn repeated_crlf() {
    check_streams(raw_endpoint::Endless::RepeatedCrlfEvent);
}

#[test]
fn slow_stream() {
    let endless = raw_endpoint::Endless::DrippingEvent;
    with_endless(endless, "ledger", &[], async |fleet, node, _raw| {
        for endpoint in ["engine-1", "engine-2"] {
            fleet.faults(endpoint).delay_ms.store(SLOW_EVENT_MS, Ordering::Relaxed);
        }
        let request = gateway::request(node.caller_address, "/chat/", "r-1");
        let (status, body) = gateway::send(node.caller_address, request).await;
        assert_eq!(status, 200);
        assert_eq!(body.matches("data: ").count(), 6, "{body}");
        assert_eq!(gateway::runs(&fleet, "r-1").len(), 1, "a sound stream was cut");
    });
}
