//! Callers that leave before their answer is whole.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use futures_lite::FutureExt as _;
use std::{sync::atomic::Ordering, time};

/// Stated time after which no endpoint may work on the request any more.
const GONE_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Time that the caller stays.
const STAY: time::Duration = time::Duration::from_millis(400);
/// Time that an event or a plain answer takes.
const DELAY_MS: u64 = 700;
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Sends a request whose caller leaves, and waits until no endpoint works on it.
async fn leave(fleet: &fleet::FleetStandIn, node: &fleet::FleetNode, path: &str) {
    for endpoint in ["ledger-1", "ledger-2", "engine-1", "engine-2"] {
        fleet.faults(endpoint).delay_ms.store(DELAY_MS, Ordering::Relaxed);
    }
    let answered = async {
        gateway::send(node.caller_address, gateway::request(node.caller_address, path, "r-1"))
            .await;
        true
    };
    let left = async {
        async_io::Timer::after(STAY).await;
        assert_eq!(fleet.running_requests(), 1);
        false
    };
    assert!(!answered.or(left).await, "the answer takes longer");
    let begun = time::Instant::now();
    while fleet.running_requests() > 0 && begun.elapsed() < gateway::PATIENCE {
        async_io::Timer::after(PAUSE).await;
    }
    assert!(begun.elapsed() < GONE_LIMIT, "worked on for {:?}", begun.elapsed());
    assert_eq!(gateway::runs(fleet, "r-1").len(), 1);
}

#[test]
fn stream_left() {
    gateway::with_node(async |fleet, node| leave(&fleet, &node, "/chat/").await);
}

#[test]
fn answer_left() {
    gateway::with_node(async |fleet, node| leave(&fleet, &node, "/read/").await);
}

/// Pieces that nobody waits for any more are not made.
#[test]
fn stages_left() {
    gateway::with_node(async |fleet, node| {
        let request = gateway::staged_request(node.caller_address, "r-1", "400,4");
        let answered = async {
            gateway::send(node.caller_address, request).await;
        };
        let left = async {
            async_io::Timer::after(STAY / 4).await;
        };
        answered.or(left).await;
        async_io::Timer::after(GONE_LIMIT).await;
        let calls = fleet.records().len();
        async_io::Timer::after(GONE_LIMIT).await;
        let later: Vec<_> = fleet.records()[calls..].iter().map(|one| one.path.clone()).collect();
        assert!(!later.iter().any(|path| &**path == fleet::PIECES_PATH), "{later:?}");
        assert!(gateway::runs(&fleet, "r-1").is_empty());
    });
}
