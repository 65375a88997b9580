//! Requests in progress while a change takes away what they arrived under: each gets one answer.

mod common;

use async_net::TcpStream;
use comfreyspread_lab::fleet;
use common::gateway;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use futures_util::future;
use std::{sync::atomic, time};

const CONFIG_VERSION: u64 = 2;
/// Time until a request is under way.
const START_TIME: time::Duration = time::Duration::from_millis(300);
/// Time until a change is in force on the node.
const APPLY_TIME: time::Duration = time::Duration::from_millis(900);
/// Silence of a sound endpoint, longer than both together.
const SILENCE_MS: u64 = 1300;
/// Index of the route `write` in the sample.
const WRITE_ROUTE: usize = 1;

type Removal = fn(&mut serde_json::Value);

fn remove_routes(document: &mut serde_json::Value) {
    document["routes"] = serde_json::json!([document["routes"][WRITE_ROUTE]]);
    document["routes"][0]["prefix"] = "/other/".into();
}

fn remove_key(document: &mut serde_json::Value) {
    document["tenants"][0]["api_keys"] = serde_json::json!(["another-key"]);
}

fn remove_services(document: &mut serde_json::Value) {
    remove_routes(document);
    document["services"] = serde_json::json!([{"name": "ledger", "max_conns": 100}]);
}

fn remove_region(document: &mut serde_json::Value) {
    for route in document["routes"].as_array_mut().expect("routes") {
        route["allowed_regions"] = serde_json::json!(["s"]);
    }
}

const REMOVALS: [Removal; 4] = [remove_routes, remove_key, remove_services, remove_region];

/// Applies a change once a request is under way, and returns when it is in force.
async fn remove(fleet: &fleet::FleetStandIn, removal: Removal) {
    async_io::Timer::after(START_TIME).await;
    let mut document = gateway::route_document(CONFIG_VERSION);
    removal(&mut document);
    fleet.set_route_document(&document);
    async_io::Timer::after(APPLY_TIME).await;
}

async fn counted(node: &fleet::FleetNode, ending: &str) -> bool {
    let (_, metrics) = gateway::get(node.admin_address, "/metrics").await;
    let name = format!("comfreyspread_requests_ended_total{{ending=\"{ending}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.expect("a counter") != "0"
}

/// Guards against a request that may not be repeated and is ended, or sent again, because its rules
/// go while its endpoint is silent for a moment.
#[test]
fn endpoint_silent() {
    for removal in REMOVALS {
        gateway::with_node(async |fleet, node| {
            for endpoint in ["ledger-1", "ledger-2"] {
                fleet.faults(endpoint).delay_ms.store(SILENCE_MS, atomic::Ordering::Relaxed);
            }
            let request = gateway::request(node.caller_address, "/write/x", "silent");
            let sent = gateway::send(node.caller_address, request);
            let ((status, _), ()) = future::join(sent, remove(&fleet, removal)).await;
            assert_eq!((status, gateway::runs(&fleet, "silent").len()), (200, 1));
            assert!(counted(&node, "answered").await);
            assert!(!counted(&node, "unanswered").await && !counted(&node, "cut").await);
        });
    }
}

/// Guards against a request without an answer whose rules go between two of its attempts.
#[test]
fn between_attempts() {
    for removal in REMOVALS {
        gateway::with_node(async |fleet, node| {
            for endpoint in ["ledger-1", "ledger-2"] {
                let faults = fleet.faults(endpoint);
                faults.delay_ms.store(SILENCE_MS, atomic::Ordering::Relaxed);
                faults.lose_answers.store(true, atomic::Ordering::Relaxed);
            }
            let request = gateway::request(node.caller_address, "/read/x", "lost");
            let sent = gateway::send(node.caller_address, request);
            let ((status, _), ()) = future::join(sent, remove(&fleet, removal)).await;
            assert_eq!(status, 502);
            assert!(counted(&node, "failed").await && !counted(&node, "unanswered").await);
        });
    }
}

/// Guards against a request without an answer whose pieces wait at another node's batcher while its
/// rules go.
#[test]
fn queued_elsewhere() {
    for removal in REMOVALS {
        gateway::with_fleet(async |fleet| {
            let nodes = gateway::start_nodes(&fleet, 2).await;
            for worker in ["worker-1", "worker-2"] {
                fleet.faults(worker).full.store(true, atomic::Ordering::Relaxed);
            }
            let staged = |node: &fleet::FleetNode, id| {
                let request = gateway::staged_request(node.caller_address, id, "2,1");
                gateway::send(node.caller_address, request)
            };
            let sent = future::join(staged(&nodes[0], "first"), staged(&nodes[1], "second"));
            let change = async {
                remove(&fleet, removal).await;
                for worker in ["worker-1", "worker-2"] {
                    fleet.faults(worker).full.store(false, atomic::Ordering::Relaxed);
                }
            };
            let (((first, _), (second, _)), ()) = future::join(sent, change).await;
            for status in [first, second] {
                assert!(status == 200 || status == 503, "{status}");
            }
            for node in &nodes {
                assert!(!counted(node, "unanswered").await && !counted(node, "cut").await);
            }
        });
    }
}

/// Guards against a request that is half read, or comes on an idle connection, when the limits of the
/// operator's document change.
#[test]
fn limits_changed() {
    gateway::with_node(async |fleet, node| {
        let mut stream = TcpStream::connect(node.caller_address).await.expect("a connection");
        let bytes = |id: &str| {
            let (host, key) = (fleet::HOST, fleet::API_KEY);
            format!(
                "POST /write/x HTTP/1.1\r\nhost: {host}\r\nrequest-id: {id}\r\nx-api-key: {key}\r\n\
                 deadline-ms: 3000\r\ncontent-length: 4\r\n\r\nbody"
            )
        };
        let (first, second) = (bytes("r-1"), bytes("r-2"));
        stream.write_all(first.as_bytes()).await.expect("an open connection");
        async_io::Timer::after(START_TIME).await;
        let shorten = |document: &mut serde_json::Value| {
            document["limits"]["idle_timeout_ms"] = 500.into();
            document["limits"]["header_timeout_ms"] = 500.into();
        };
        let (head, rest) = second.split_at(second.len() / 2);
        stream.write_all(head.as_bytes()).await.expect("an open connection");
        remove(&fleet, shorten).await;
        stream.write_all(rest.as_bytes()).await.expect("an open connection");
        async_io::Timer::after(START_TIME).await;
        let mut received = vec![0; 4096];
        let count = stream.read(&mut received).await.expect("answers");
        let answers = String::from_utf8_lossy(&received[..count]);
        assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
        for id in ["r-1", "r-2"] {
            assert_eq!(gateway::runs(&fleet, id).len(), 1);
        }
    });
}
