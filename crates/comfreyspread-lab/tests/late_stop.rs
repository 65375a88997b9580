//! Requests that arrive while a node stops and last longer than what is left of its grace.

mod common;

use async_net::TcpStream;
use comfreyspread::transport::http_client;
use comfreyspread_lab::{caller, deployment, fleet, types};
use common::gateway;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use futures_util::future;
use rustix::process::Signal;
use std::{net, ops, sync::atomic, time};

/// Longer than a node takes to stop, in milliseconds.
const LONG_TIMEOUT_MS: u32 = 15_000;
/// Time that an endpoint takes for a request.
const RUN_TIME: time::Duration = time::Duration::from_millis(5500);
/// Time for which a node serves requests as before once it has been told to stop.
const READINESS_TIME: time::Duration = time::Duration::from_millis(2600);
/// Requests from which a node learns how long they last.
const LEARNING_REQUESTS: usize = 30;
/// Time between two callers that start while the node stops.
const CALLER_INTERVAL: time::Duration = time::Duration::from_millis(100);
const CALLERS: u32 = 40;
/// Time in which a refusal has to be there.
const REFUSAL_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Time after the signal at which the last part of a body is sent.
const LAST_PART_DELAY: time::Duration = time::Duration::from_millis(4000);
const PATHS: [&str; 3] = ["/read/", "/write/", "/chat/"];
const BODY: &str = "body";
/// Time that an endpoint takes for a request of the native front end.
const NATIVE_RUN_TIME: time::Duration = time::Duration::from_secs(2);
const NATIVE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Callers that start before a native node closes its listener.
const NATIVE_CALLERS: u32 = 16;

/// A request and how it ended.
#[derive(Debug)]
struct LateCall {
    id: String,
    answer: String,
    took: time::Duration,
}

impl LateCall {
    fn is_whole(&self) -> bool {
        let Some((head, body)) = self.answer.split_once("\r\n\r\n") else { return false };
        if head.contains("transfer-encoding: chunked") {
            return body.ends_with("0\r\n\r\n");
        }
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        length == Some(body.len().to_string().as_str())
    }

    fn status(&self) -> &str {
        self.answer.split(' ').nth(1).unwrap_or_default()
    }

    /// Checks that the request was answered, and that an answer which says so has not run.
    fn check(&self, fleet: &fleet::FleetStandIn) {
        let runs = gateway::runs(fleet, &self.id).len();
        assert!(self.is_whole(), "cut after {:?}, runs {runs}: {self:?}", self.took);
        let head = self.answer.to_lowercase();
        assert!(head.contains("connection: close"), "{self:?}");
        match self.status() {
            "200" => assert_eq!(runs, 1, "{self:?}"),
            "503" => {
                assert_eq!(runs, 0, "run and refused: {self:?}");
                assert!(head.contains("retry-after: "), "{self:?}");
                assert!(self.took < REFUSAL_LIMIT, "{self:?}");
            }
            _ => panic!("{self:?}"),
        }
    }
}

fn request_bytes(path: &str, id: &str) -> Vec<u8> {
    let (host, key, length) = (fleet::HOST, fleet::API_KEY, BODY.len());
    format!(
        "POST {path} HTTP/1.1\r\nhost: {host}\r\nrequest-id: {id}\r\nx-api-key: {key}\r\n\
         deadline-ms: {LONG_TIMEOUT_MS}\r\ncontent-length: {length}\r\n\r\n{BODY}"
    )
    .into_bytes()
}

/// Reads to the end of the connection.
async fn finish(mut stream: TcpStream, id: String, sent: time::Instant) -> LateCall {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok();
    let answer = String::from_utf8_lossy(&bytes).into_owned();
    LateCall { id, answer, took: sent.elapsed() }
}

/// Sends a request over a connection; `None` if it is refused or closed before the request is sent.
async fn call(node: net::SocketAddr, path: &str, id: String) -> Option<LateCall> {
    let mut stream = TcpStream::connect(node).await.ok()?;
    stream.write_all(&request_bytes(path, &id)).await.ok()?;
    Some(finish(stream, id, time::Instant::now()).await)
}

/// Sends all but the end of a request, and the end after the delay.
async fn call_slowly(node: net::SocketAddr, path: &str, id: String) -> LateCall {
    let bytes = request_bytes(path, &id);
    let (first, second) = bytes.split_at(bytes.len() - 1);
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    stream.write_all(first).await.expect("an open connection");
    async_io::Timer::after(LAST_PART_DELAY).await;
    stream.write_all(second).await.ok();
    finish(stream, id, time::Instant::now()).await
}

/// Starts a platform whose requests last [`RUN_TIME`], and a node.
fn with_slow_services<Test, TestFuture>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(2);
        for route in document["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = LONG_TIMEOUT_MS.into();
            route["gap_aim_ms"] = LONG_TIMEOUT_MS.into();
            route["target_latency_ms"] = LONG_TIMEOUT_MS.into();
        }
        fleet.set_route_document(&document);
        let run_ms = u64::try_from(RUN_TIME.as_millis()).expect("milliseconds");
        for endpoint in ["ledger-1", "ledger-2", "engine-1", "engine-2"] {
            fleet.faults(endpoint).delay_ms.store(run_ms, atomic::Ordering::Relaxed);
        }
        for endpoint in ["engine-1", "engine-2"] {
            fleet.faults(endpoint).events.store(1, atomic::Ordering::Relaxed);
        }
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        test(fleet, node).await;
    });
}

/// Lets the node learn how long requests last.
async fn learn(node: net::SocketAddr) {
    let calls = PATHS.into_iter().flat_map(|path| {
        (0..LEARNING_REQUESTS).map(move |number| {
            let request = gateway::request(node, path, &format!("learn-{number}-{path}"));
            let mut request = request;
            request.insert_header("deadline-ms", LONG_TIMEOUT_MS.to_string());
            gateway::call(node, request)
        })
    });
    let answers = future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.status() == 200));
}

/// Calls each path in turn, one caller after another, over `window` after the signal.
async fn call_during_stop(
    node: &fleet::FleetNode,
    window: ops::Range<time::Duration>,
) -> Vec<LateCall> {
    node.process.signal(Signal::TERM);
    let (address, interval) = (node.caller_address, (window.end - window.start) / CALLERS);
    let calls = (0..CALLERS).flat_map(|number| {
        let delay = window.start + interval * number;
        PATHS.map(|path| async move {
            async_io::Timer::after(delay).await;
            call(address, path, format!("late-{number}-{path}")).await
        })
    });
    future::join_all(calls).await.into_iter().flatten().collect()
}

/// Guards against requests taken while a node stops that could not be finished in what was left of
/// its grace: they were passed on, and cut without an answer at its end.
#[test]
fn learnt_durations() {
    with_slow_services(async |fleet, mut node| {
        learn(node.caller_address).await;
        let calls = call_during_stop(&node, time::Duration::ZERO..CALLER_INTERVAL * CALLERS).await;
        for call in &calls {
            call.check(&fleet);
        }
        for (status, name) in [("200", "served"), ("503", "refused")] {
            let count = calls.iter().filter(|call| call.status() == status).count();
            assert!(count >= PATHS.len(), "{name}: {count} of {}", calls.len());
        }
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// Guards against a request whose body was complete only after the node had closed its listener, and
/// which was passed on and cut: nothing was known of how long it lasts.
#[test]
fn late_bodies() {
    with_slow_services(async |fleet, mut node| {
        let calls = PATHS
            .map(async |path| call_slowly(node.caller_address, path, format!("slow-{path}")).await);
        let stop = async {
            async_io::Timer::after(CALLER_INTERVAL).await;
            node.process.signal(Signal::TERM);
        };
        let (calls, ()) = future::join(future::join_all(calls), stop).await;
        for call in &calls {
            call.check(&fleet);
            assert_eq!(call.status(), "503", "{call:?}");
        }
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// Guards against plain requests that were passed on and cut at the end of a stop with no answer: the
/// caller is told that the request may have run.
#[test]
fn unfinished_answered() {
    with_slow_services(async |fleet, mut node| {
        let run_ms = u64::from(LONG_TIMEOUT_MS) / 2 * 3;
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.faults(endpoint).delay_ms.store(run_ms, atomic::Ordering::Relaxed);
        }
        let address = node.caller_address;
        let calls = ["/read/", "/write/"].map(async |path| call(address, path, path.into()).await);
        let stop = async {
            async_io::Timer::after(READINESS_TIME / 4).await;
            node.process.signal(Signal::TERM);
        };
        let (calls, ()) = future::join(future::join_all(calls), stop).await;
        for call in calls {
            let call = call.expect("an open connection");
            assert!(call.is_whole(), "cut: {call:?}");
            assert_eq!(call.status(), "502", "{call:?}");
            assert_eq!(gateway::runs(&fleet, &call.id).len(), 1);
        }
        assert_eq!(node.process.wait(gateway::RESPONSE_TIMEOUT).await, Some(0));
    });
}

/// Starts two native nodes that end three seconds after SIGTERM, and services that take two.
async fn native_deployment() -> deployment::TestDeployment {
    let mut declarations = common::sample_declarations();
    for pool in &mut declarations.pools {
        pool.cold_limit = 100;
        pool.warm_limit = 100;
    }
    for profile in &mut declarations.profiles {
        profile.deadline = NATIVE_TIMEOUT;
    }
    let arguments = ["--grace-ms", "2000", "--shutdown-ms", "1000"];
    let deployment = common::start_deployment(declarations, 2, &arguments).await;
    for endpoint in common::ledger_endpoints(&deployment) {
        let faults =
            types::EndpointFaults { delay: NATIVE_RUN_TIME, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
    deployment
}

/// Guards against keyed and plain requests that a native node took while it stopped and cut at its
/// end.
#[test]
fn native_requests() {
    common::run(async {
        let mut deployment = native_deployment().await;
        let node = deployment.nodes[0].caller_address;
        let callers = caller::TestCaller::new(NATIVE_TIMEOUT);
        let pairs = |prefix: &'static str, number: u32| {
            [common::record_call(&format!("{prefix}-{number}")), common::read_call()]
        };
        let learning = (0..CALLERS).flat_map(|number| pairs("learn", number));
        let learnt = future::join_all(learning.map(async |call| callers.call(node, &call).await));
        assert!(learnt.await.iter().all(|answer| answer.is_ok()));
        deployment.nodes[0].process.signal(Signal::TERM);
        let late = (0..NATIVE_CALLERS)
            .flat_map(|number| pairs("late", number).map(|call| (CALLER_INTERVAL * number, call)));
        let calls = late.map(async |(delay, call)| {
            async_io::Timer::after(delay).await;
            callers.call(node, &call).await
        });
        let answers = future::join_all(calls).await;
        for answer in &answers {
            let answer = answer.as_ref().expect("a complete answer");
            assert_eq!(answer.header("connection"), Some("close"));
            match answer.status() {
                200 => {}
                503 => assert!(answer.header("retry-after").is_some()),
                status => panic!("{status}"),
            }
        }
        let is_refused = |answer: &&Result<http_client::ClientResponse, _>| {
            answer.as_ref().is_ok_and(|answer| answer.status() == 503)
        };
        let refused = answers.iter().filter(is_refused).count();
        assert!((2..answers.len() - 2).contains(&refused), "{refused} of {}", answers.len());
        assert_eq!(deployment.nodes[0].process.wait(NATIVE_TIMEOUT).await, Some(0));
    });
}
