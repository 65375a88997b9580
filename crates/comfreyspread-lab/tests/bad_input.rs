//! Requests that are not valid: each gets a clear refusal, runs nowhere and disturbs no other.

mod common;

use comfreyspread_lab::deployment;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use std::{net, time};

const LIMITS: [&str; 8] = [
    "--body-limit",
    "16384",
    "--body-budget",
    "65536",
    "--body-timeout-ms",
    "1500",
    "--header-timeout-ms",
    "1500",
];
const PATIENCE: time::Duration = time::Duration::from_secs(10);
const GOOD_HEAD: &str = "POST /v1/services/ledger-record HTTP/1.1\r\nhost: node\r\n\
comfreyspread-workspace: medellin\r\ncomfreyspread-profile: record\r\n";
const HALF_BODY_BYTES: usize = 8_000;

/// One request as raw text and the status it has to get.
struct BadCase {
    name: &'static str,
    text: String,
    status: u16,
    cut: bool,
}

fn case(name: &'static str, text: impl Into<String>, status: u16) -> BadCase {
    BadCase { name, text: text.into(), status, cut: false }
}

/// Returns a call with these header lines before a small body.
fn call(path: &str, lines: &str) -> String {
    let head = format!("POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{lines}");
    format!("{head}content-length: 2\r\n\r\n{{}}")
}

fn record(lines: &str) -> String {
    format!("{GOOD_HEAD}{lines}\r\n")
}

/// What a node answered.
#[derive(Debug)]
struct RawAnswer {
    status: u16,
    text: String,
}

impl RawAnswer {
    fn is_not_run(&self) -> bool {
        self.text.to_lowercase().contains("comfreyspread-verdict: not-run\r\n")
    }
}

async fn read_answer(mut stream: async_net::TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let read = async { stream.read_to_end(&mut bytes).await };
    let late = async {
        async_io::Timer::after(PATIENCE).await;
        Ok(0)
    };
    read.or(late).await.ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    RawAnswer { status: status.unwrap_or(0), text }
}

async fn begin(node: net::SocketAddr, text: &str) -> async_net::TcpStream {
    let mut stream = async_net::TcpStream::connect(node).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.ok();
    stream
}

async fn start() -> deployment::TestDeployment {
    common::deployment_with(common::sample(), 1, &LIMITS).await
}

async fn serves(deployment: &deployment::TestDeployment, key: &str) {
    let call = common::record_call(key);
    let answer = deployment.caller.call(deployment.nodes[0].caller_address, &call).await;
    assert_eq!(answer.expect("a whole answer").status(), 200, "{key}");
}

fn framing_cases() -> Vec<BadCase> {
    let long = "x".repeat(10_000);
    let mut cut = case("cut short", record("idempotency-key: a\r\ncontent-length: 90\r\n"), 400);
    cut.text.push_str("{\"half\":");
    cut.cut = true;
    let mut slow = case("slow body", record("idempotency-key: a\r\ncontent-length: 90\r\n"), 400);
    slow.text.push_str("{\"half\":");
    vec![
        cut,
        slow,
        case("garbage", "garbage\r\n\r\n", 400),
        case("header without colon", "POST / HTTP/1.1\r\nhost node\r\n\r\n", 400),
        case("slow header", "POST /v1/services/ledger-record HT", 400),
        case("long header", record(&format!("x: {long}\r\n")), 400),
        case("oversized", record("idempotency-key: a\r\ncontent-length: 90000\r\n"), 413),
        case(
            "oversized chunks",
            record("idempotency-key: a\r\ntransfer-encoding: chunked\r\n")
                + &format!("2710\r\n{long}\r\n2710\r\n{long}\r\n0\r\n\r\n"),
            413,
        ),
        case(
            "not a chunk",
            record("idempotency-key: a\r\ntransfer-encoding: chunked\r\n")
                + "zz\r\n{}\r\n0\r\n\r\n",
            400,
        ),
        case(
            "two lengths",
            record("idempotency-key: a\r\ncontent-length: 2\r\ncontent-length: 1\r\n") + "{}",
            400,
        ),
        case(
            "length and chunks",
            record("content-length: 2\r\ntransfer-encoding: chunked\r\n") + "2\r\n{}\r\n0\r\n\r\n",
            400,
        ),
        case("length in words", record("content-length: two\r\n") + "{}", 400),
    ]
}

fn naming_cases() -> Vec<BadCase> {
    const SERVICE: &str = "/v1/services/ledger-record";
    let workspace = "comfreyspread-workspace: medellin\r\n";
    let profile = "comfreyspread-profile: record\r\n";
    let key = "idempotency-key: a\r\n";
    let both = format!("{workspace}{profile}");
    let all = format!("{both}{key}");
    let long = "x".repeat(300);
    vec![
        case("unknown path", call("/v2/services/ledger-record", &all), 404),
        case("unknown service", call("/v1/services/none", &all), 404),
        case("unknown pipeline", call("/v1/pipelines/none", &all), 404),
        case(
            "unknown workspace",
            call(SERVICE, &format!("comfreyspread-workspace: none\r\n{profile}{key}")),
            404,
        ),
        case(
            "unknown profile",
            call(SERVICE, &format!("{workspace}comfreyspread-profile: none\r\n{key}")),
            404,
        ),
        case("no workspace", call(SERVICE, &format!("{profile}{key}")), 400),
        case("no profile", call(SERVICE, &format!("{workspace}{key}")), 400),
        case("no key", call(SERVICE, &both), 400),
        case("empty key", call(SERVICE, &format!("{both}idempotency-key: \r\n")), 400),
        case("long key", call(SERVICE, &format!("{both}idempotency-key: {long}\r\n")), 400),
        case("two keys", call(SERVICE, &format!("{all}idempotency-key: b\r\n")), 400),
        case(
            "long workspace",
            call(SERVICE, &format!("comfreyspread-workspace: {long}\r\n{profile}{key}")),
            400,
        ),
        case("long service", call(&format!("/v1/services/{long}"), &all), 400),
        case("wrong method", call(SERVICE, &all).replacen("POST", "PUT", 1), 400),
        case(
            "streamed record",
            call("/v1/pipelines/purity-report", &format!("{all}accept: text/event-stream\r\n")),
            400,
        ),
        case(
            "not JSON",
            call("/v1/pipelines/purity-report", &all).replacen("record\r", "counter\r", 1),
            400,
        )
        .with_body("nojson"),
    ]
}

impl BadCase {
    /// Replaces the two bytes of the body.
    fn with_body(mut self, body: &str) -> Self {
        let head = self.text.len() - 2;
        self.text.truncate(head);
        self.text = self.text.replace("length: 2", &format!("length: {}", body.len()));
        self.text.push_str(body);
        self
    }
}

async fn check_cases(cases: &[BadCase]) {
    let deployment = start().await;
    let node = deployment.nodes[0].caller_address;
    for case in cases {
        let stream = begin(node, &case.text).await;
        if case.cut {
            stream.shutdown(net::Shutdown::Write).expect("the half is closed");
        }
        let last = case.text.len().saturating_sub(60);
        let name = case.name;
        let answer = read_answer(stream).await;
        assert_eq!(answer.status, case.status, "{name}: {answer:?} to ...{}", &case.text[last..]);
        assert!(answer.is_not_run(), "{name}: {answer:?}");
        assert!(answer.text.contains("application/problem+json"), "{name}: {answer:?}");
    }
    assert!(deployment.records().await.expect("records").records.is_empty());
    serves(&deployment, "good").await;
    deployment.stop().await.expect("a graceful stop");
}

#[test]
fn bad_framing() {
    common::run(async { check_cases(&framing_cases()).await });
}

#[test]
fn bad_names() {
    common::run(async { check_cases(&naming_cases()).await });
}

#[test]
fn refused_upload() {
    common::run(async {
        let deployment = start().await;
        let node = deployment.nodes[0].caller_address;
        let body = "x".repeat(900_000);
        let head = record("idempotency-key: a\r\ncontent-length: 900000\r\n");
        let answer = read_answer(begin(node, &(head + &body)).await).await;
        assert_eq!(answer.status, 413, "the refusal is lost");
        assert!(answer.is_not_run());
    });
}

#[test]
fn body_budget() {
    common::run(async {
        let deployment = start().await;
        let node = deployment.nodes[0].caller_address;
        let head = record("idempotency-key: a\r\ncontent-length: 16000\r\n");
        let half = head + &"x".repeat(HALF_BODY_BYTES);
        let mut streams = Vec::new();
        for _ in 0..16 {
            streams.push(begin(node, &half).await);
        }
        let mut statuses = Vec::new();
        for stream in streams {
            let answer = read_answer(stream).await;
            assert!(answer.is_not_run(), "{answer:?}");
            statuses.push(answer.status);
        }
        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert!((8..16).contains(&refused), "bodies beyond the budget: {statuses:?}");
        assert!(statuses.iter().all(|status| [400, 503].contains(status)), "{statuses:?}");
        assert!(deployment.records().await.expect("records").records.is_empty());
        serves(&deployment, "after").await;
    });
}

#[test]
fn slow_neighbours() {
    common::run(async {
        let deployment = start().await;
        let node = deployment.nodes[0].caller_address;
        let head = record("idempotency-key: a\r\ncontent-length: 90\r\n");
        let mut streams = Vec::new();
        for _ in 0..50 {
            streams.push(begin(node, &(head.clone() + "{")).await);
        }
        let began = time::Instant::now();
        serves(&deployment, "neighbour").await;
        assert!(began.elapsed() < time::Duration::from_secs(1));
        drop(streams);
    });
}
