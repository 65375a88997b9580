//! Memory that responses of endpoints in trouble take up on a small machine, all at the same time.
//!
//! Each endpoint sends as much as a node accepts of one response, and then a byte now and then. The node
//! lives, stays within the memory of its machine, and serves the other services meanwhile.

mod common;

use comfreyspread::runtime::worker;
use comfreyspread_lab::{fleet, process_usage};
use common::{gateway, raw_endpoint};
use futures_util::future;
use std::{
    sync::{self, atomic::Ordering},
    time,
};

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 48;
/// Requests at once.
const CROWD: usize = 60;
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
        let program = gateway::program();
        let node = fleet::FleetNode::start(&fleet, &program, "node-1", &[], &settings);
        let node = node.expect("a node");
        node.wait_until_ready().await.expect("a ready node");
        let crowd = (0..CROWD).map(|number| {
            let request =
                gateway::request(node.caller_address, target.path, &format!("r-{number}"));
            gateway::try_send(node.caller_address, request)
        });
        let beside = async {
            async_io::Timer::after(SETTLE_TIME).await;
            check_served(&node, target.ordinary_path, "beside").await;
        };
        future::join(future::join_all(crowd), beside).await;
        assert!(raw.written.load(Ordering::Relaxed) > 0, "no request reached the endpoint");
        let usage = process_usage::ProcessUsage::new(node.process.id()).expect("a running process");
        let peak_mb = usage.peak_memory_kb / 1024;
        assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB}");
        check_served(&node, target.ordinary_path, "after").await;
    });
    pool.stop();
}

async fn check_served(node: &fleet::FleetNode, path: &str, id: &str) {
    let request = gateway::request(node.caller_address, path, id);
    let (status, body) = gateway::send(node.caller_address, request).await;
    assert_eq!(status, 200, "{id}: {body}");
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
