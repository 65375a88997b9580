//! Memory that responses of endpoints in trouble take up on a small machine, all at the same time.
//!
//! Each endpoint sends as much as a node accepts of one response, and then a byte now and then. The node
//! lives, stays within the memory of its machine, and serves the other services meanwhile.

mod common;

use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use common::{gateway, raw_endpoint};
use futures_util::future;
use std::{
    io::Write as _,
    net,
    sync::{self, atomic::Ordering},
    time,
};

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 48;
/// Requests at once.
const CROWD: usize = 60;
/// Callers that do not read their answers.
const UNREAD: usize = 20;
/// Time in which the answer of one of them has been read from its endpoint.
const UNREAD_PAUSE: time::Duration = time::Duration::from_millis(200);
const SLOTS: u32 = 64;
/// Time after which the crowd's responses have arrived as far as they do.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1500);
const CONFIG_VERSION: u64 = 2;
const ENGINE_SERVICE: usize = 1;

/// One crowd at a time.
static CROWDS: sync::Mutex<()> = sync::Mutex::new(());

/// What a crowd asks for, and where ordinary requests go.
#[derive(Clone, Copy, Debug)]
struct CrowdTarget {
    path: &'static str,
    service: &'static str,
    replaced: &'static [&'static str],
    ordinary_path: &'static str,
}

const STREAMS: CrowdTarget = CrowdTarget {
    path: "/chat/",
    service: "engine",
    replaced: &["engine-1", "engine-2"],
    ordinary_path: "/read/",
};
const SINGLE: CrowdTarget = CrowdTarget {
    path: "/read/",
    service: "ledger",
    replaced: &["ledger-1", "ledger-2"],
    ordinary_path: "/chat/",
};

/// Sends a crowd of requests to an endpoint in trouble, and ordinary ones beside and after them.
fn check_crowd(endless: raw_endpoint::Endless, target: CrowdTarget) {
    with_endpoint(endless, target, async |node| {
        let crowd = (0..CROWD).map(|number| {
            let request =
                gateway::request(node.caller_address, target.path, &format!("r-{number}"));
            gateway::try_send(node.caller_address, request)
        });
        let beside = async {
            async_io::Timer::after(SETTLE_TIME).await;
            gateway::check_served(node, target.ordinary_path, "beside").await;
        };
        future::join(future::join_all(crowd), beside).await;
    });
}

/// Runs requests against a node of a small machine, one service of which has an endpoint in trouble, then
/// checks the node.
fn with_endpoint<Run>(endless: raw_endpoint::Endless, target: CrowdTarget, run: Run)
where
    Run: AsyncFnOnce(&fleet::FleetNode),
{
    let _alone = CROWDS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(CONFIG_VERSION);
        document["services"][ENGINE_SERVICE]["engine"]["slots"] = SLOTS.into();
        fleet.set_route_document(&document);
        let raw = raw_endpoint::RawEndpoint::listen(&spawner, endless).await;
        raw.register(&fleet, target.service, target.replaced, SLOTS);
        let settings = format!("limits.memory_mb={MEMORY_MB}\n");
        let node = gateway::start_with_settings(&fleet, &settings).await;
        run(&node).await;
        assert!(raw.written.load(Ordering::Relaxed) > 0, "no request reached the endpoint");
        gateway::check_memory(&node, MEMORY_MB);
        gateway::check_served(&node, target.ordinary_path, "after").await;
    });
    pool.stop();
}

/// Each stream may hold an unfinished event of some MB; the sum over all streams had no limit.
#[test]
fn unfinished_events() {
    check_crowd(raw_endpoint::Endless::HeldEvent, STREAMS);
}

/// Streams whose events have no number, as fast as the node reads them.
#[test]
fn unnumbered_events() {
    check_crowd(raw_endpoint::Endless::UnnumberedEvents, STREAMS);
}

/// The budget for bodies was a multiple of the largest one, whatever the memory of the machine.
#[test]
fn unfinished_bodies() {
    check_crowd(raw_endpoint::Endless::HeldBody, SINGLE);
}

/// Bodies that exceed their limit, one after the other on many connections.
#[test]
fn endless_bodies() {
    check_crowd(raw_endpoint::Endless::ChunkedBody, SINGLE);
}

/// The HTTP library bounds the head of one response, and nothing bounded their sum.
#[test]
fn unfinished_heads() {
    check_crowd(raw_endpoint::Endless::HeldHead, SINGLE);
}

/// Heads that exceed their limit, one after the other on many connections.
#[test]
fn endless_heads() {
    check_crowd(raw_endpoint::Endless::Head, SINGLE);
}

/// A response was no longer counted once it had been read, though it is kept until its caller has it:
/// callers that read nothing, one after the other, held one each.
#[test]
fn unread_bodies() {
    with_endpoint(raw_endpoint::Endless::LargeBody, SINGLE, async |node| {
        let mut callers = Vec::new();
        for number in 0..UNREAD {
            callers.push(send_unread(node, number));
            async_io::Timer::after(UNREAD_PAUSE).await;
        }
        gateway::check_served(node, SINGLE.ordinary_path, "beside").await;
        drop(callers);
    });
}

/// Sends a request on a connection whose answer nobody reads.
fn send_unread(node: &fleet::FleetNode, number: usize) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(node.caller_address).expect("a connection");
    let head = format!(
        "POST /read/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
         request-id: r-{number}\r\ndeadline-ms: 3000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a request");
    stream
}
