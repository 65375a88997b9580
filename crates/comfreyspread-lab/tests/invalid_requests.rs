//! Invalid requests are rejected with a problem response, reach no endpoint and do not affect other
//! requests.

mod common;

use comfreyspread_lab::deployment;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use std::{net, time};

const LIMIT_ARGUMENTS: [&str; 8] = [
    "--body-limit",
    "16384",
    "--body-budget",
    "65536",
    "--body-timeout-ms",
    "1500",
    "--header-timeout-ms",
    "1500",
];
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const VALID_HEAD: &str = "POST /v1/services/ledger-record HTTP/1.1\r\nhost: node\r\n\
comfreyspread-workspace: medellin\r\ncomfreyspread-profile: record\r\n";
const PARTIAL_BODY_BYTES: usize = 8_000;

/// A raw request and the status that the node must return.
struct InvalidRequest {
    name: &'static str,
    text: String,
    status: u16,
    half_closed: bool,
}

fn invalid_request(name: &'static str, text: impl Into<String>, status: u16) -> InvalidRequest {
    InvalidRequest { name, text: text.into(), status, half_closed: false }
}

/// Returns a raw call with these header lines and a two-byte body.
fn call(path: &str, lines: &str) -> String {
    let head = format!("POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{lines}");
    format!("{head}content-length: 2\r\n\r\n{{}}")
}

fn record_request(lines: &str) -> String {
    format!("{VALID_HEAD}{lines}\r\n")
}

/// A raw response of a node.
#[derive(Debug)]
struct RawResponse {
    status: u16,
    text: String,
}

impl RawResponse {
    fn is_not_run(&self) -> bool {
        self.text.to_lowercase().contains("comfreyspread-verdict: not-run\r\n")
    }
}

async fn read_response(mut stream: async_net::TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    let read = async { stream.read_to_end(&mut bytes).await };
    let timeout = async {
        async_io::Timer::after(RESPONSE_TIMEOUT).await;
        Ok(0)
    };
    read.or(timeout).await.ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    RawResponse { status: status.unwrap_or(0), text }
}

async fn send_text(node: net::SocketAddr, text: &str) -> async_net::TcpStream {
    let mut stream = async_net::TcpStream::connect(node).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.ok();
    stream
}

async fn start_node() -> deployment::TestDeployment {
    common::start_deployment(common::sample_declarations(), 1, &LIMIT_ARGUMENTS).await
}

async fn check_served(deployment: &deployment::TestDeployment, key: &str) {
    let call = common::record_call(key);
    let response = deployment.caller.call(deployment.nodes[0].caller_address, &call).await;
    assert_eq!(response.expect("a complete response").status(), 200, "{key}");
}

fn framing_cases() -> Vec<InvalidRequest> {
    let oversized_text = "x".repeat(10_000);
    let mut truncated = invalid_request(
        "cut short",
        record_request("idempotency-key: a\r\ncontent-length: 90\r\n"),
        400,
    );
    truncated.text.push_str("{\"half\":");
    truncated.half_closed = true;
    let mut slow = invalid_request(
        "slow body",
        record_request("idempotency-key: a\r\ncontent-length: 90\r\n"),
        400,
    );
    slow.text.push_str("{\"half\":");
    vec![
        truncated,
        slow,
        invalid_request("garbage", "garbage\r\n\r\n", 400),
        invalid_request("header without colon", "POST / HTTP/1.1\r\nhost node\r\n\r\n", 400),
        invalid_request("slow header", "POST /v1/services/ledger-record HT", 400),
        invalid_request("long header", record_request(&format!("x: {oversized_text}\r\n")), 400),
        invalid_request(
            "oversized",
            record_request("idempotency-key: a\r\ncontent-length: 90000\r\n"),
            413,
        ),
        invalid_request(
            "oversized chunks",
            record_request("idempotency-key: a\r\ntransfer-encoding: chunked\r\n")
                + &format!("2710\r\n{oversized_text}\r\n2710\r\n{oversized_text}\r\n0\r\n\r\n"),
            413,
        ),
        invalid_request(
            "not a chunk",
            record_request("idempotency-key: a\r\ntransfer-encoding: chunked\r\n")
                + "zz\r\n{}\r\n0\r\n\r\n",
            400,
        ),
        invalid_request(
            "two lengths",
            record_request("idempotency-key: a\r\ncontent-length: 2\r\ncontent-length: 1\r\n")
                + "{}",
            400,
        ),
        invalid_request(
            "length and chunks",
            record_request("content-length: 2\r\ntransfer-encoding: chunked\r\n")
                + "2\r\n{}\r\n0\r\n\r\n",
            400,
        ),
        invalid_request("length in words", record_request("content-length: two\r\n") + "{}", 400),
    ]
}

fn name_cases() -> Vec<InvalidRequest> {
    const SERVICE: &str = "/v1/services/ledger-record";
    let workspace = "comfreyspread-workspace: medellin\r\n";
    let profile = "comfreyspread-profile: record\r\n";
    let key = "idempotency-key: a\r\n";
    let both = format!("{workspace}{profile}");
    let all = format!("{both}{key}");
    let long_name = "x".repeat(300);
    vec![
        invalid_request("unknown path", call("/v2/services/ledger-record", &all), 404),
        invalid_request("unknown service", call("/v1/services/none", &all), 404),
        invalid_request("unknown pipeline", call("/v1/pipelines/none", &all), 404),
        invalid_request(
            "unknown workspace",
            call(SERVICE, &format!("comfreyspread-workspace: none\r\n{profile}{key}")),
            404,
        ),
        invalid_request(
            "unknown profile",
            call(SERVICE, &format!("{workspace}comfreyspread-profile: none\r\n{key}")),
            404,
        ),
        invalid_request("no workspace", call(SERVICE, &format!("{profile}{key}")), 400),
        invalid_request("no profile", call(SERVICE, &format!("{workspace}{key}")), 400),
        invalid_request("no key", call(SERVICE, &both), 400),
        invalid_request("empty key", call(SERVICE, &format!("{both}idempotency-key: \r\n")), 400),
        invalid_request(
            "long key",
            call(SERVICE, &format!("{both}idempotency-key: {long_name}\r\n")),
            400,
        ),
        invalid_request("two keys", call(SERVICE, &format!("{all}idempotency-key: b\r\n")), 400),
        invalid_request(
            "long workspace",
            call(SERVICE, &format!("comfreyspread-workspace: {long_name}\r\n{profile}{key}")),
            400,
        ),
        invalid_request("long service", call(&format!("/v1/services/{long_name}"), &all), 400),
        invalid_request("wrong method", call(SERVICE, &all).replacen("POST", "PUT", 1), 400),
        invalid_request(
            "streamed record",
            call("/v1/pipelines/purity-report", &format!("{all}accept: text/event-stream\r\n")),
            400,
        ),
        invalid_request(
            "not JSON",
            call("/v1/pipelines/purity-report", &all).replacen("record\r", "counter\r", 1),
            400,
        )
        .with_body("nojson"),
    ]
}

impl InvalidRequest {
    /// Replaces the two-byte body.
    fn with_body(mut self, body: &str) -> Self {
        let head = self.text.len() - 2;
        self.text.truncate(head);
        self.text = self.text.replace("length: 2", &format!("length: {}", body.len()));
        self.text.push_str(body);
        self
    }
}

async fn check_cases(cases: &[InvalidRequest]) {
    let deployment = start_node().await;
    let node = deployment.nodes[0].caller_address;
    for case in cases {
        let stream = send_text(node, &case.text).await;
        if case.half_closed {
            stream.shutdown(net::Shutdown::Write).expect("the connection is half-closed");
        }
        let tail_start = case.text.len().saturating_sub(60);
        let name = case.name;
        let response = read_response(stream).await;
        assert_eq!(
            response.status,
            case.status,
            "{name}: {response:?} to ...{}",
            &case.text[tail_start..]
        );
        assert!(response.is_not_run(), "{name}: {response:?}");
        assert!(response.text.contains("application/problem+json"), "{name}: {response:?}");
    }
    assert!(deployment.records().await.expect("records").records.is_empty());
    check_served(&deployment, "good").await;
    deployment.stop().await.expect("a graceful stop");
}

#[test]
fn invalid_framing() {
    common::run(async { check_cases(&framing_cases()).await });
}

#[test]
fn invalid_names() {
    common::run(async { check_cases(&name_cases()).await });
}

#[test]
fn rejected_upload() {
    common::run(async {
        let deployment = start_node().await;
        let node = deployment.nodes[0].caller_address;
        let body = "x".repeat(900_000);
        let head = record_request("idempotency-key: a\r\ncontent-length: 900000\r\n");
        let response = read_response(send_text(node, &(head + &body)).await).await;
        assert_eq!(response.status, 413, "the rejection is lost");
        assert!(response.is_not_run());
    });
}

#[test]
fn body_budget() {
    common::run(async {
        let deployment = start_node().await;
        let node = deployment.nodes[0].caller_address;
        let head = record_request("idempotency-key: a\r\ncontent-length: 16000\r\n");
        let partial = head + &"x".repeat(PARTIAL_BODY_BYTES);
        let mut streams = Vec::new();
        for _ in 0..16 {
            streams.push(send_text(node, &partial).await);
        }
        let mut statuses = Vec::new();
        for stream in streams {
            let response = read_response(stream).await;
            assert!(response.is_not_run(), "{response:?}");
            statuses.push(response.status);
        }
        let rejected = statuses.iter().filter(|status| **status == 503).count();
        assert!((8..16).contains(&rejected), "bodies beyond the budget: {statuses:?}");
        assert!(statuses.iter().all(|status| [400, 503].contains(status)), "{statuses:?}");
        assert!(deployment.records().await.expect("records").records.is_empty());
        check_served(&deployment, "after").await;
    });
}

#[test]
fn slow_uploads() {
    common::run(async {
        let deployment = start_node().await;
        let node = deployment.nodes[0].caller_address;
        let head = record_request("idempotency-key: a\r\ncontent-length: 90\r\n");
        let mut streams = Vec::new();
        for _ in 0..50 {
            streams.push(send_text(node, &(head.clone() + "{")).await);
        }
        let started = time::Instant::now();
        check_served(&deployment, "neighbour").await;
        assert!(started.elapsed() < time::Duration::from_secs(1));
        drop(streams);
    });
}
