//! Requests whose connection opens late: what has changed since the choice of their endpoint is
//! looked at again before they are sent. The node is in zone `a` of region `r`.

mod common;

use comfreyspread::runtime::worker;
use comfreyspread_lab::{fleet, fleet_request};
use comfreyspread_schema::types;
use common::{full_listener, gateway, raw_endpoint};
use futures_util::future;
use std::time;

const CONFIG_VERSION: u64 = 2;
/// Longer than a connection attempt of the kernel and its next two.
const DEADLINE_MS: u128 = 3900;
/// Time between the endpoint's receipt of a request and the test's clock, in milliseconds.
const CLOCK_TOLERANCE_MS: u128 = 300;
/// Time of a stage call, whose timeout is longer than a connection attempt of the kernel.
const PIECE_CALL_MS: u64 = 600;
/// Time for the request to choose its endpoint.
const CHOICE_TIME: time::Duration = time::Duration::from_millis(200);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Applies a change while a request waits for its connection to the endpoint in zone `a`; returns
/// the status of its response. It has to be answered in zone `b`.
fn change_while_connecting<Change, InForce>(change: Change, is_in_force: InForce)
where
    Change: FnOnce(&fleet::FleetStandIn),
    InForce: Fn(&types::GatewayDump) -> bool,
{
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |mut fleet| {
        let kind = fleet::EndpointKind::Plain;
        fleet.add_endpoint_in("b", "other-ledger", "ledger", kind).await.expect("a free port");
        let replaced = ["ledger-1", "ledger-2"];
        let listener = full_listener::FullListener::new(&fleet, "ledger", &replaced).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = fleet_request::FleetRequest::new(node.caller_address, "/read/x", "late");
        let request = request.with_deadline_ms(DEADLINE_MS).into_message();
        let changed = async {
            async_io::Timer::after(CHOICE_TIME).await;
            change(&fleet);
            loop {
                let (_, dump) = gateway::get(node.admin_address, "/dump").await;
                if is_in_force(&serde_json::from_str(&dump).expect("a dump")) {
                    return listener.accept(&spawner);
                }
                async_io::Timer::after(POLL_INTERVAL).await;
            }
        };
        let sent = gateway::send(node.caller_address, request);
        let ((status, _), late_requests) = future::join(sent, changed).await;
        assert!(late_requests.is_empty(), "sent after the change");
        assert_eq!(status, 200);
        assert_eq!(gateway::runs(&fleet, "late").len(), 1, "answered in zone b");
    });
    pool.stop();
}

/// Guards against requests sent to a region that was allowed when the connection was begun and no
/// longer is.
#[test]
fn homes_moved() {
    let change = |fleet: &fleet::FleetStandIn| {
        let mut document = gateway::route_document(CONFIG_VERSION);
        document["routes"][0]["allowed_regions"] = serde_json::json!(["s"]);
        fleet.set_route_document(&document);
    };
    change_while_connecting(change, |dump| dump.routes_version == CONFIG_VERSION);
}

/// Guards against requests sent to an endpoint that began to leave while the connection was opened.
#[test]
fn endpoint_leaving() {
    let change = |fleet: &fleet::FleetStandIn| fleet.set_row("servers", "late-1", None);
    change_while_connecting(change, |dump| {
        dump.endpoints.iter().all(|endpoint| *endpoint.endpoint != *"late-1")
    });
}

/// Guards against requests that leave the endpoint more time than is left, by the time that their
/// connection took to open.
#[test]
fn time_left() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let replaced = ["ledger-1", "ledger-2"];
        let listener = full_listener::FullListener::new(&fleet, "ledger", &replaced).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = fleet_request::FleetRequest::new(node.caller_address, "/read/x", "late");
        let request = request.with_deadline_ms(DEADLINE_MS).into_message();
        let sent_at = time::Instant::now();
        let received = async {
            async_io::Timer::after(CHOICE_TIME).await;
            let head = listener.accept(&spawner).recv().await.expect("a request");
            (head, sent_at.elapsed())
        };
        let sent = gateway::send(node.caller_address, request);
        let (_, (head, took)) = future::join(sent, received).await;
        let stated = raw_endpoint::header_value(&head, "deadline-ms");
        let stated: u128 = stated.and_then(|value| value.parse().ok()).expect("a deadline");
        let most = (DEADLINE_MS + CLOCK_TOLERANCE_MS).saturating_sub(took.as_millis());
        assert!(stated <= most, "{stated} ms stated after {took:?}");
    });
    pool.stop();
}

/// Guards against pieces sent to an endpoint that began to leave while the connection was opened.
#[test]
fn worker_leaving() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(CONFIG_VERSION);
        document["services"][2]["pieces"]["call_ms"] = PIECE_CALL_MS.into();
        fleet.set_route_document(&document);
        let replaced = ["worker-1", "worker-2"];
        let listener = full_listener::FullListener::new(&fleet, "prepare", &replaced).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = gateway::staged_request(node.caller_address, "late", "2,1");
        let changed = async {
            async_io::Timer::after(CHOICE_TIME).await;
            fleet.set_row("servers", "late-1", None);
            while gateway::get(node.admin_address, "/dump").await.1.contains("late-1") {
                async_io::Timer::after(POLL_INTERVAL).await;
            }
            listener.accept(&spawner)
        };
        let sent = gateway::send(node.caller_address, request);
        let ((status, _), late_calls) = future::join(sent, changed).await;
        assert!(late_calls.is_empty(), "sent after the change");
        assert_eq!(status, 503);
    });
    pool.stop();
}
