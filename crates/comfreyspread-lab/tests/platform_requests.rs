//! Requests on the users' platform, from caller to endpoints through node processes.

mod common;

use comfreyspread::transport::http_client;
use comfreyspread_lab::fleet;
use comfreyspread_schema::types as wire;
use common::gateway;
use std::{sync::atomic::Ordering, time};

#[test]
fn unary_request() {
    gateway::with_node(async |fleet, node| {
        let (status, body) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/read/a//b?c", "r-1"),
        )
        .await;
        assert_eq!(status, 200, "{body}");
        let runs = gateway::runs(&fleet, "r-1");
        assert_eq!(runs.len(), 1);
        assert_eq!(&*runs[0].path, "/read/a//b");
        assert_eq!(runs[0].body, b"body");
        let value = |name: &str| runs[0].headers.get(name).and_then(|value| value.to_str().ok());
        assert_eq!(value("tenant"), Some("one"));
        assert_eq!(value("expect-instance"), Some(&*runs[0].endpoint));
        assert_eq!(value("x-api-key"), None);
        let remaining_ms: u64 =
            value("deadline-ms").and_then(|value| value.parse().ok()).expect("time");
        assert!((2000..=3000).contains(&remaining_ms), "{remaining_ms}");
    });
}

#[test]
fn rejected_requests() {
    gateway::with_node(async |fleet, node| {
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/none/", "r-1"),
        )
        .await;
        assert_eq!(status, 404);
        let mut unknown = gateway::request(node.caller_address, "/read/", "r-2");
        unknown.insert_header("x-api-key", "other");
        assert_eq!(gateway::send(node.caller_address, unknown).await.0, 401);
        let mut long = gateway::request(node.caller_address, "/read/", "r-3");
        long.set_body(vec![0; 200_000]);
        assert_eq!(gateway::send(node.caller_address, long).await.0, 413);
        for id in ["r-1", "r-2", "r-3"] {
            assert!(gateway::runs(&fleet, id).is_empty(), "{id}");
        }
    });
}

/// A request that no endpoint accepts is rejected at once with a `retry-after` header, and does not
/// run.
#[test]
fn full_endpoints() {
    gateway::with_node(async |fleet, node| {
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.faults(endpoint).full.store(true, Ordering::Relaxed);
        }
        let started = time::Instant::now();
        let rejected = gateway::call(
            node.caller_address,
            gateway::request(node.caller_address, "/write/", "r-1"),
        )
        .await;
        assert_eq!(rejected.status(), 503);
        assert!(rejected.header("retry-after").is_some());
        assert!(started.elapsed() < time::Duration::from_secs(1));
        assert!(gateway::runs(&fleet, "r-1").is_empty());
    });
}

/// A non-idempotent request runs once although its response is lost, and the status does not claim
/// that it has not run. An idempotent one is retried.
#[test]
fn lost_response() {
    gateway::with_node(async |fleet, node| {
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.faults(endpoint).lose_answers.store(true, Ordering::Relaxed);
        }
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/write/", "r-1"),
        )
        .await;
        assert_eq!(status, 502);
        assert_eq!(gateway::runs(&fleet, "r-1").len(), 1);
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/read/", "r-2"),
        )
        .await;
        assert_eq!(status, 502);
        assert_eq!(
            gateway::runs(&fleet, "r-2").len(),
            2,
            "a read is retried at the other endpoint"
        );
    });
}

fn event_numbers(body: &str) -> Vec<&str> {
    body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
}

const ALL_EVENTS: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];

#[test]
fn complete_stream() {
    gateway::with_node(async |_fleet, node| {
        let (status, body) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/chat/", "r-1"),
        )
        .await;
        assert_eq!((status, event_numbers(&body)), (200, ALL_EVENTS.to_vec()));
    });
}

/// A stream that is cut within an event resumes at the other engine, in the same response.
#[test]
fn stream_resumed() {
    gateway::with_node(async |fleet, node| {
        for endpoint in ["engine-1", "engine-2"] {
            fleet.faults(endpoint).cut_after.store(3, Ordering::Relaxed);
        }
        let resumed = gateway::request(node.caller_address, "/chat/", "r-1");
        let (status, body) = gateway::send(node.caller_address, resumed).await;
        assert_eq!((status, event_numbers(&body)), (200, ALL_EVENTS.to_vec()));
        let runs = gateway::runs(&fleet, "r-1");
        assert_eq!(runs.len(), 2);
        assert_ne!(runs[0].endpoint, runs[1].endpoint);
        let last_event_id =
            runs[1].headers.get("last-event-id").and_then(|value| value.to_str().ok());
        assert_eq!(last_event_id, Some("3"));
    });
}

/// A stream that may not be resumed is cut for the caller too, so that it does not appear complete.
#[test]
fn stream_cut() {
    gateway::with_node(async |fleet, node| {
        for endpoint in ["engine-1", "engine-2"] {
            fleet.faults(endpoint).cut_after.store(3, Ordering::Relaxed);
        }
        let client = http_client::HttpClient::new(1 << 20);
        let connection = http_client::ConnectionUse::Fresh;
        let request = gateway::request(node.caller_address, "/report/", "r-1");
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        assert!(client.call(node.caller_address, request, connection, deadline).await.is_err());
        assert_eq!(gateway::runs(&fleet, "r-1").len(), 1);
    });
}

/// Requests whose prompts share no prefix are spread over the engines.
#[test]
fn engines_spread() {
    gateway::with_node(async |fleet, node| {
        let call = |number: usize| {
            gateway::send(
                node.caller_address,
                gateway::request(node.caller_address, "/chat/", &format!("r-{number}")),
            )
        };
        futures_util::future::join_all((0..8).map(call)).await;
        let records = fleet.records();
        for engine in ["engine-1", "engine-2"] {
            let count = records.iter().filter(|record| &*record.endpoint == engine).count();
            assert!((2..=6).contains(&count), "{engine}: {count}");
        }
    });
}

/// Pieces of requests from two nodes share stage calls, results are passed on as inputs, and all
/// results are freed.
#[test]
fn pieces_batched() {
    gateway::with_fleet(async |fleet| {
        let nodes = gateway::start_nodes(&fleet, 2).await;
        async_io::Timer::after(time::Duration::from_secs(2)).await;
        let call = |number: usize| {
            let node = nodes[number % nodes.len()].caller_address;
            gateway::send(node, gateway::staged_request(node, &format!("r-{number}"), "2,1"))
        };
        let responses = futures_util::future::join_all((0..12).map(call)).await;
        for (status, body) in &responses {
            assert_eq!((*status, event_numbers(body)), (200, ALL_EVENTS.to_vec()));
        }
        let records = fleet.records();
        let calls =
            records.iter().filter(|record| record.ran && &*record.path == fleet::PIECES_PATH);
        let calls = calls.count();
        assert!(calls < 18, "36 pieces took {calls} calls");
        let inputs =
            gateway::runs(&fleet, "r-1")[0].headers.get("inputs").cloned().expect("inputs");
        assert!(inputs.to_str().is_ok_and(|inputs| inputs.ends_with("/r-1-1-0")), "{inputs:?}");
        async_io::Timer::after(time::Duration::from_secs(1)).await;
        let freed: usize = fleet
            .records()
            .iter()
            .filter(|record| &*record.path == "/v1/stage-free")
            .filter_map(|record| serde_json::from_slice::<serde_json::Value>(&record.body).ok())
            .filter_map(|body| Some(body["handles"].as_array()?.len()))
            .sum();
        assert_eq!(freed, 36);
    });
}

/// A node that cannot reach the store gets the routes from a peer, also at its start.
#[test]
fn store_unreachable() {
    gateway::with_fleet(async |fleet| {
        let first = gateway::start_nodes(&fleet, 1).await.remove(0);
        fleet.set_store_down(true);
        let second = fleet.start_node(&gateway::program(), "node-2", &[first.peer_address]).await;
        let second = second.expect("a node that is ready without the store");
        let (status, _) = gateway::send(
            second.caller_address,
            gateway::request(second.caller_address, "/read/", "r-1"),
        )
        .await;
        assert_eq!(status, 200);
    });
}

/// Route and zone changes take effect under traffic; invalid or older documents and invalid
/// registrations change nothing.
#[test]
fn route_changes() {
    gateway::with_node(async |fleet, node| {
        fleet.set_row("op", "config", Some("{\"version\":\"odd\"}"));
        fleet.set_row("servers", "foreign", Some("{\"service\":7}"));
        async_io::Timer::after(time::Duration::from_millis(900)).await;
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/read/", "r-1"),
        )
        .await;
        assert_eq!(status, 200);
        let mut changed = gateway::route_document(2);
        changed["routes"].as_array_mut().expect("routes").remove(0);
        fleet.set_route_document(&changed);
        async_io::Timer::after(time::Duration::from_millis(900)).await;
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/read/", "r-2"),
        )
        .await;
        assert_eq!(status, 404);
        fleet.set_route_document(&gateway::route_document(1));
        async_io::Timer::after(time::Duration::from_millis(900)).await;
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/read/", "r-3"),
        )
        .await;
        assert_eq!(status, 404, "an older document is ignored");
        fleet.set_row("op", "evacuate/a", Some("{}"));
        async_io::Timer::after(time::Duration::from_millis(900)).await;
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/write/", "r-4"),
        )
        .await;
        assert_eq!(status, 503);
        fleet.set_row("op", "evacuate/a", None);
        async_io::Timer::after(time::Duration::from_millis(900)).await;
        let (status, _) = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/write/", "r-5"),
        )
        .await;
        assert_eq!(status, 200);
    });
}

/// A node that receives SIGTERM, even repeatedly and with SIGHUP in between, reports that it is not
/// ready, finishes its requests and exits.
#[test]
fn graceful_stop() {
    gateway::with_node(async |_fleet, mut node| {
        let stream = gateway::send(
            node.caller_address,
            gateway::request(node.caller_address, "/chat/", "r-1"),
        );
        let stop = async {
            async_io::Timer::after(time::Duration::from_millis(30)).await;
            for signal in [
                rustix::process::Signal::HUP,
                rustix::process::Signal::TERM,
                rustix::process::Signal::HUP,
                rustix::process::Signal::TERM,
            ] {
                node.process.signal(signal);
                async_io::Timer::after(time::Duration::from_millis(5)).await;
            }
        };
        let ((status, body), ()) = futures_lite::future::zip(stream, stop).await;
        assert_eq!((status, event_numbers(&body)), (200, ALL_EVENTS.to_vec()));
        assert_eq!(gateway::get(node.admin_address, "/v1/ready").await.0, 503);
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// The state of a node is available over HTTP and through the operators' commands.
#[test]
fn node_status() {
    gateway::with_node(async |_fleet, node| {
        let (_, dump) = gateway::get(node.admin_address, "/dump").await;
        let dump: wire::GatewayDump = serde_json::from_str(&dump).expect("a dump");
        assert_eq!((dump.routes_version, dump.endpoints.len()), (1, 6));
        let (_, text) = gateway::get(node.admin_address, "/metrics").await;
        assert!(text.contains("comfreyspread_endpoints_known 6"), "{text}");
        let node_address = node.admin_address.to_string();
        let status = std::process::Command::new(gateway::program())
            .args(["product", "status", "--node", &node_address])
            .output()
            .expect("the command runs");
        assert!(String::from_utf8_lossy(&status.stdout).contains("node-1"), "{status:?}");
    });
}
