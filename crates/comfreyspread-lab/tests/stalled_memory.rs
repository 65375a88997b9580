//! Memory that streams take up while their endpoint sends bytes without end and the stream moves to
//! another one.

mod common;

use comfreyspread::{runtime::worker, transport::http_client};
use comfreyspread_lab::fleet_request;
use common::{gateway, raw_endpoint};
use futures_util::future;
use std::{net, sync::atomic::Ordering, time};

const ROUTE: usize = 3;
const STAGE_SERVICE: usize = 2;
/// Streams at once, more than one endpoint is given.
const STREAMS: usize = 6;
const DEADLINE_MS: u128 = 9000;
/// End of the last event of the sample's streams.
const LAST_EVENT: &[u8] = b"data: e6\n\n";
/// Time that a call of a stage takes; a stream that moves waits for two.
const CALL_MS: u64 = 400;
/// Time that the stand-in's calls take by themselves.
const STAND_IN_MS: u64 = 60;
/// Most memory that one node may use, in KiB: half of the smallest VM.
const MAX_MEMORY_KIB: u64 = 80 * 1024;

/// Returns the sample document with slow stages, and a route that leaves time for them.
fn slow_document() -> serde_json::Value {
    let mut document = gateway::resumable_document();
    document["services"][STAGE_SERVICE]["pieces"]["call_ms"] = CALL_MS.into();
    document["routes"][ROUTE]["timeout_ms"] = (DEADLINE_MS as u64).into();
    document
}

/// Sends a staged request and returns whether its stream was complete, whatever came with the events.
async fn stream_whole(node: net::SocketAddr, number: usize) -> bool {
    let request = fleet_request::FleetRequest::new(node, "/report/", &format!("r-{number}"));
    let request = request.with_pieces("2,1").with_deadline_ms(DEADLINE_MS).into_message();
    let client = http_client::HttpClient::new(0);
    let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
    let response = client.call_streaming(node, request, deadline).await;
    let mut body = response.expect("the head of a response").take_body();
    let mut tail = Vec::new();
    while let Some(chunk) = body.next_chunk().await {
        let Ok(chunk) = chunk else { return false };
        tail.extend_from_slice(&chunk);
        tail.drain(..tail.len().saturating_sub(LAST_EVENT.len()));
    }
    tail == LAST_EVENT
}

/// Runs streams whose results have to be made again before another endpoint can go on, beside an
/// endpoint that never ends its streams.
fn check_streams(endless: raw_endpoint::Endless) {
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        fleet.set_route_document(&slow_document());
        for worker in ["worker-1", "worker-2"] {
            fleet.faults(worker).delay_ms.store(CALL_MS - STAND_IN_MS, Ordering::Relaxed);
        }
        let raw =
            raw_endpoint::RawEndpoint::start(&fleet, &spawner, endless, "engine", &["engine-2"]);
        let raw = raw.await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let calls = (0..STREAMS).map(|number| stream_whole(node.caller_address, number));
        let whole = future::join_all(calls).await;
        let used = gateway::peak_memory_kib(&node);
        assert!(used < MAX_MEMORY_KIB, "{used} KiB, {MAX_MEMORY_KIB} allowed");
        assert!(raw.written.load(Ordering::Relaxed) > 0, "no stream reached the endless endpoint");
        assert_eq!(whole, [true; STREAMS], "streams that were complete");
    });
    pool.stop();
}

/// Every event that arrived while a stream moved was kept, though its number was known: one endpoint
/// that repeated an event made the node exceed its memory.
#[test]
fn repeated_event() {
    check_streams(raw_endpoint::Endless::RepeatedEvent);
}

/// The same with comments, which are only a sign of life.
#[test]
fn endless_comments() {
    check_streams(raw_endpoint::Endless::Comments);
}

/// The same with events that have no number, so that none is known to be a repetition.
#[test]
fn unnumbered_events() {
    check_streams(raw_endpoint::Endless::UnnumberedEvents);
}
