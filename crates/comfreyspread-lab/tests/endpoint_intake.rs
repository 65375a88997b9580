//! Endpoints that say in their answers that they leave, or ask for a pause.

mod common;

use comfreyspread_lab::{fleet, fleet_request};
use common::gateway;
use futures_lite::{AsyncReadExt as _, FutureExt as _};
use futures_util::future;
use std::{net, sync::atomic::Ordering, time};

/// Requests enough to reach both endpoints of a service.
const BURST: usize = 12;

/// Sends requests at the same time and returns their statuses.
async fn burst(node: &fleet::FleetNode, path: &str, prefix: &str) -> Vec<u16> {
    let send = |number| {
        let id = format!("{prefix}-{number}");
        gateway::send(node.caller_address, gateway::request(node.caller_address, path, &id))
    };
    let answers = future::join_all((0..BURST).map(send)).await;
    answers.into_iter().map(|(status, _)| status).collect()
}

/// Returns how many requests have reached an endpoint.
fn arrivals(fleet: &fleet::FleetStandIn, endpoint: &str) -> usize {
    fleet.records().iter().filter(|record| &*record.endpoint == endpoint).count()
}

fn register_at(fleet: &fleet::FleetStandIn, endpoint: &str, address: net::SocketAddr, phase: &str) {
    let registration = serde_json::json!({
        "service": "ledger", "address": address, "zone": "a", "slots": 4, "state": phase,
        "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    fleet.set_row("servers", endpoint, Some(&registration.to_string()));
}

fn register(fleet: &fleet::FleetStandIn, endpoint: &str, service: &str, born: u64, seq: u64) {
    let address = fleet.address(endpoint).expect("an endpoint");
    let registration = serde_json::json!({
        "service": service, "address": address, "zone": "a", "slots": 4, "state": "ready",
        "cold_left_ms": 0, "seq": seq, "born": born,
    });
    fleet.set_row("servers", endpoint, Some(&registration.to_string()));
}

/// Waits until a change of the store's rows has reached the nodes.
async fn rows_applied() {
    async_io::Timer::after(time::Duration::from_millis(700)).await;
}

/// An endpoint that said in answers of any status that it leaves got requests for as long as its
/// registration lasted. A new process under its name gets requests again.
#[test]
fn leaving_statuses() {
    gateway::with_node(async |fleet, node| {
        for (step, status) in [(1, 0), (2, 429), (3, 500), (4, 503)] {
            register(&fleet, "ledger-1", "ledger", step, 1);
            rows_applied().await;
            let faults = fleet.faults("ledger-1");
            faults.status.store(status, Ordering::Relaxed);
            faults.leaving.store(true, Ordering::Relaxed);
            let before = arrivals(&fleet, "ledger-1");
            burst(&node, "/read/", &format!("first-{step}")).await;
            let reached = arrivals(&fleet, "ledger-1");
            assert!(reached > before, "status {status}: the new process gets requests");
            register(&fleet, "ledger-1", "ledger", step, 2);
            rows_applied().await;
            let statuses = burst(&node, "/read/", &format!("later-{step}")).await;
            assert_eq!(statuses, [200; BURST]);
            assert_eq!(arrivals(&fleet, "ledger-1"), reached, "status {status}");
        }
    });
}

/// A stream at an endpoint that leaves goes on to its end; a stream that breaks there is resumed at
/// another, and new streams start there.
#[test]
fn leaving_streams() {
    gateway::with_node(async |fleet, node| {
        let faults = fleet.faults("engine-1");
        faults.leaving.store(true, Ordering::Relaxed);
        faults.cut_after.store(2, Ordering::Relaxed);
        let send = |number: usize| {
            let request =
                gateway::request(node.caller_address, "/chat/", &format!("stream-{number}"));
            gateway::send(node.caller_address, request)
        };
        let first = future::join_all((0..BURST).map(send)).await;
        for (status, body) in &first {
            assert_eq!(*status, 200);
            assert_eq!(body.matches("data: ").count(), 6, "{body}");
        }
        let reached = arrivals(&fleet, "engine-1");
        assert!(reached > 0);
        future::join_all((BURST..2 * BURST).map(send)).await;
        assert_eq!(arrivals(&fleet, "engine-1"), reached);
    });
}

/// Endpoints that ask for a pause got requests within it, and callers were not told how long the
/// pause lasts.
#[test]
fn pause_kept() {
    const PAUSE: time::Duration = time::Duration::from_millis(3000);
    gateway::with_node(async |fleet, node| {
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.faults(endpoint).pause_ms.store(3000, Ordering::Relaxed);
            fleet.faults(endpoint).status.store(503, Ordering::Relaxed);
        }
        let paused_at = time::Instant::now();
        burst(&node, "/write/", "first").await;
        let reached = fleet.records().len();
        for endpoint in ["ledger-1", "ledger-2"] {
            register(&fleet, endpoint, "ledger", 1, 2);
            fleet.faults(endpoint).status.store(0, Ordering::Relaxed);
        }
        rows_applied().await;
        while paused_at.elapsed() + time::Duration::from_millis(500) < PAUSE {
            let started = time::Instant::now();
            let request = gateway::request(node.caller_address, "/read/", "within");
            let rejected = gateway::call(node.caller_address, request).await;
            assert_eq!(rejected.status(), 503);
            assert!(started.elapsed() < time::Duration::from_millis(300), "rejected at once");
            let told = rejected.header("retry-after").and_then(|value| value.parse().ok());
            let end = paused_at.elapsed() + time::Duration::from_secs_f64(told.expect("a time"));
            let latest = PAUSE + time::Duration::from_millis(1500);
            assert!((PAUSE - time::Duration::from_millis(20)..latest).contains(&end), "{end:?}");
            async_io::Timer::after(time::Duration::from_millis(100)).await;
        }
        assert_eq!(fleet.records().len(), reached, "no request within the pause");
        async_io::Timer::after(time::Duration::from_millis(1800)).await;
        assert!(burst(&node, "/read/", "after").await.contains(&200));
    });
}

/// A caller whose request was refused by the last endpoint that it may try was told to come back at
/// once, though all endpoints had asked for a pause; callers rejected later all came back together.
#[test]
fn refusals_told() {
    gateway::with_node(async |mut fleet, node| {
        let added = fleet.add_endpoint("ledger-3", "ledger", fleet::EndpointKind::Plain).await;
        added.expect("an endpoint");
        rows_applied().await;
        for endpoint in ["ledger-1", "ledger-2", "ledger-3"] {
            fleet.faults(endpoint).pause_ms.store(3000, Ordering::Relaxed);
            fleet.faults(endpoint).status.store(503, Ordering::Relaxed);
        }
        let told = async |id: String| {
            let request = gateway::request(node.caller_address, "/read/", &id);
            let rejected = gateway::call(node.caller_address, request).await;
            assert_eq!(rejected.status(), 503);
            let told = rejected.header("retry-after").and_then(|value| value.parse::<f64>().ok());
            told.expect("a time")
        };
        let first = told("first".into()).await;
        assert_eq!(fleet.records().len(), 3);
        assert!((2.8..4.3).contains(&first), "{first}");
        let all = future::join_all((0..BURST).map(|number| told(format!("later-{number}")))).await;
        let earliest = all.iter().copied().fold(f64::INFINITY, f64::min);
        let latest = all.iter().copied().fold(0.0, f64::max);
        assert!(latest - earliest > 0.2, "{all:?}");
    });
}

/// A stage endpoint that said only in its answer to a release that it leaves got further pieces.
#[test]
fn leaving_releases() {
    gateway::with_node(async |fleet, node| {
        fleet.set_row("servers", "worker-2", None);
        rows_applied().await;
        for engine in ["engine-1", "engine-2"] {
            fleet.faults(engine).delay_ms.store(300, Ordering::Relaxed);
        }
        let staged = |id: &str| {
            let request = gateway::staged_request(node.caller_address, id, "1,1");
            gateway::call(node.caller_address, request)
        };
        let leave = async {
            while gateway::runs(&fleet, "first").is_empty() {
                async_io::Timer::after(time::Duration::from_millis(5)).await;
            }
            fleet.faults("worker-1").leaving.store(true, Ordering::Relaxed);
        };
        let (first, ()) = future::join(staged("first"), leave).await;
        assert_eq!(first.status(), 200);
        register(&fleet, "worker-2", "prepare", 1, 2);
        rows_applied().await;
        let reached = arrivals(&fleet, "worker-1");
        let released = |record: &fleet::RequestRecord| &*record.path == "/v1/stage-free";
        assert!(fleet.records().iter().any(released), "the answer to it says so");
        for id in ["second", "third", "fourth"] {
            assert_eq!(staged(id).await.status(), 200);
        }
        assert_eq!(arrivals(&fleet, "worker-1"), reached);
    });
}

/// The connection for a request was opened only after its endpoint had closed, and the request went
/// there all the same, seconds after the node knew that the endpoint leaves.
#[test]
fn late_connection() {
    gateway::with_node(async |fleet, node| {
        let (listener, waiting) = full_listener().await;
        let address = listener.local_addr().expect("an address");
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.set_row("servers", endpoint, None);
        }
        register_at(&fleet, "slow-1", address, "ready");
        rows_applied().await;
        let request = fleet_request::FleetRequest::new(node.caller_address, "/read/", "late");
        let request = request.with_deadline_ms(3900).into_message();
        let answer = gateway::send(node.caller_address, request);
        let closed = async {
            async_io::Timer::after(time::Duration::from_millis(100)).await;
            register(&fleet, "ledger-1", "ledger", 1, 2);
            register_at(&fleet, "slow-1", address, "draining");
            rows_applied().await;
            drop(waiting);
            let connected = accept_all(&listener);
            let until = async_io::Timer::after(time::Duration::from_millis(3300));
            let until = async {
                until.await;
                None
            };
            connected.or(until).await
        };
        let ((status, _), received) = future::join(answer, closed).await;
        assert_eq!(received, None, "a request at an endpoint that leaves");
        assert_eq!((status, gateway::runs(&fleet, "late").len()), (200, 1));
    });
}

/// Returns a listener to which no connection can be opened until it accepts that of the stream.
async fn full_listener() -> (async_net::TcpListener, async_net::TcpStream) {
    let listener = async_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    rustix::net::listen(&listener, 0).expect("a shorter queue");
    let address = listener.local_addr().expect("an address");
    let waiting = async_net::TcpStream::connect(address).await.expect("a connection");
    (listener, waiting)
}

/// Accepts connections until one of them sends something, and returns it.
async fn accept_all(listener: &async_net::TcpListener) -> Option<Vec<u8>> {
    loop {
        let (mut stream, _) = listener.accept().await.ok()?;
        let mut received = vec![0; 1024];
        let length = stream.read(&mut received).await.unwrap_or(0);
        if length > 0 {
            received.truncate(length);
            return Some(received);
        }
    }
}

/// A stage endpoint that leaves got further pieces; endpoints that all asked for a long pause were
/// called again, or pieces were held until the deadline. Results were released there as well.
#[test]
fn stage_endpoints() {
    gateway::with_node(async |fleet, node| {
        let staged = |id: String| {
            let request = gateway::staged_request(node.caller_address, &id, "1,1");
            gateway::call(node.caller_address, request)
        };
        fleet.faults("worker-1").leaving.store(true, Ordering::Relaxed);
        future::join_all((0..BURST).map(|number| staged(format!("first-{number}")))).await;
        let calls = |endpoint: &str| {
            let is_call = |record: &&fleet::RequestRecord| {
                &*record.endpoint == endpoint && &*record.path == fleet::PIECES_PATH
            };
            fleet.records().iter().filter(is_call).count()
        };
        let reached = calls("worker-1");
        assert!(reached > 0);
        for number in 0..4 {
            assert_eq!(staged(format!("later-{number}")).await.status(), 200);
        }
        assert_eq!(calls("worker-1"), reached, "no call to an endpoint that leaves");
        let is_release = |record: &fleet::RequestRecord| &*record.path == "/v1/stage-free";
        let releases: Vec<_> = fleet.records().into_iter().filter(is_release).collect();
        assert!(releases.iter().all(|release| &*release.endpoint == "worker-2"));
        assert!(!releases.is_empty());
        fleet.faults("worker-2").pause_ms.store(60_000, Ordering::Relaxed);
        fleet.faults("worker-2").status.store(503, Ordering::Relaxed);
        let started = time::Instant::now();
        let rejected = staged("paused".into()).await;
        assert_eq!(rejected.status(), 503);
        assert!(started.elapsed() < time::Duration::from_millis(1500), "{:?}", started.elapsed());
        let reached = calls("worker-2");
        let rejected = staged("again".into()).await;
        assert_eq!((rejected.status(), calls("worker-2")), (503, reached));
        let told: f64 =
            rejected.header("retry-after").and_then(|value| value.parse().ok()).expect("a time");
        assert!(told > 50.0, "{told}");
    });
}
