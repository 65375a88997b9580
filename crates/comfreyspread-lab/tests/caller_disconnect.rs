//! Callers that disconnect before their response is complete.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use futures_lite::FutureExt as _;
use std::{sync::atomic::Ordering, time};

/// Maximum time from the caller's disconnect until no endpoint works on the request.
const CANCEL_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Time after which the caller disconnects.
const DISCONNECT_AFTER: time::Duration = time::Duration::from_millis(400);
/// Time that an endpoint takes for an event or a unary response.
const ENDPOINT_DELAY_MS: u64 = 700;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Sends a request whose caller disconnects, and waits until no endpoint works on it.
async fn check_cancelled(fleet: &fleet::FleetStandIn, node: &fleet::FleetNode, path: &str) {
    for endpoint in ["ledger-1", "ledger-2", "engine-1", "engine-2"] {
        fleet.faults(endpoint).delay_ms.store(ENDPOINT_DELAY_MS, Ordering::Relaxed);
    }
    let responded = async {
        gateway::send(node.caller_address, gateway::request(node.caller_address, path, "r-1"))
            .await;
        true
    };
    let disconnected = async {
        async_io::Timer::after(DISCONNECT_AFTER).await;
        assert_eq!(fleet.running_requests(), 1);
        false
    };
    assert!(!responded.or(disconnected).await, "the response came before the disconnect");
    let started = time::Instant::now();
    while fleet.running_requests() > 0 && started.elapsed() < gateway::RESPONSE_TIMEOUT {
        async_io::Timer::after(POLL_INTERVAL).await;
    }
    assert!(started.elapsed() < CANCEL_LIMIT, "the endpoint worked on for {:?}", started.elapsed());
    assert_eq!(gateway::runs(fleet, "r-1").len(), 1);
}

#[test]
fn stream_cancelled() {
    gateway::with_node(async |fleet, node| check_cancelled(&fleet, &node, "/chat/").await);
}

#[test]
fn unary_cancelled() {
    gateway::with_node(async |fleet, node| check_cancelled(&fleet, &node, "/read/").await);
}

/// Pieces of a request whose caller has disconnected are not run.
#[test]
fn stages_cancelled() {
    gateway::with_node(async |fleet, node| {
        let request = gateway::staged_request(node.caller_address, "r-1", "400,4");
        let responded = async {
            gateway::send(node.caller_address, request).await;
        };
        let disconnected = async {
            async_io::Timer::after(DISCONNECT_AFTER / 4).await;
        };
        responded.or(disconnected).await;
        async_io::Timer::after(CANCEL_LIMIT).await;
        let call_count = fleet.records().len();
        async_io::Timer::after(CANCEL_LIMIT).await;
        let later_paths: Vec<_> =
            fleet.records()[call_count..].iter().map(|record| record.path.clone()).collect();
        assert!(!later_paths.iter().any(|path| &**path == fleet::PIECES_PATH), "{later_paths:?}");
        assert!(gateway::runs(&fleet, "r-1").is_empty());
    });
}
