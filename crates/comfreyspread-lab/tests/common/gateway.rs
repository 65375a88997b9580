//! Stand-ins of the users' platform and nodes that run on it.

use comfreyspread::transport::{http_client, http_message};
use comfreyspread_lab::{fleet, fleet::FleetKind};
use std::{net, path, time};

/// Longest wait of a test for an answer.
pub const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Returns the program of the product and its stand-ins.
pub fn program() -> path::PathBuf {
    env!("CARGO_BIN_EXE_comfreyspread-lab").into()
}

/// Returns the operator's document of the tests.
pub fn document(version: u64) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": name, "host": fleet::HOST, "prefix": format!("/{name}/"), "kind": kind,
            "service": service, "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1,
            "max_attempts": 2, "gap_aim_ms": 400,
        })
    };
    let mut chat = route("chat", "streaming", "engine");
    chat["resumable"] = true.into();
    let mut report = route("report", "streaming", "engine");
    report["stages"] = serde_json::json!([
        {"service": "prepare", "after": [], "bytes": 1000},
        {"service": "prepare", "after": [0], "bytes": 1000},
    ]);
    serde_json::json!({
        "version": version,
        "routes": [
            route("read", "idempotent", "ledger"),
            route("write", "non_idempotent", "ledger"),
            chat,
            report,
        ],
        "services": [
            {"name": "ledger", "max_conns": 100},
            {"name": "engine", "max_conns": 100, "engine": {"slots": 8}},
            {"name": "prepare", "max_conns": 100, "pieces": {
                "slots": 1, "queue": 2, "batch": 8, "call_ms": 60, "item_ms": 1,
                "headroom_mb": 1, "handle_s": 4}},
        ],
        "tenants": [{"name": "one", "api_keys": [fleet::KEY]}],
        "limits": {"max_body_bytes": 100_000},
    })
}

/// Starts stand-ins: a plain service, engines and stage workers.
pub async fn new_fleet(pool: &comfreyspread::runtime::worker::WorkerPool) -> fleet::FleetStandIn {
    let endpoints = [
        ("ledger-1", "ledger", FleetKind::Plain),
        ("ledger-2", "ledger", FleetKind::Plain),
        ("engine-1", "engine", FleetKind::Engine),
        ("engine-2", "engine", FleetKind::Engine),
        ("worker-1", "prepare", FleetKind::Worker),
        ("worker-2", "prepare", FleetKind::Worker),
    ];
    let fleet = fleet::FleetStandIn::new(&pool.spawner(), &endpoints).await;
    let fleet = fleet.expect("the stand-ins start");
    fleet.set_document(&document(1));
    fleet
}

/// Returns a request with all heads that the platform asks for.
pub fn request(node: net::SocketAddr, path: &str, id: &str) -> http_message::Request {
    let url = format!("http://{node}{path}");
    let mut request = http_message::Request::new(http::Method::POST, &url);
    request.insert_header("host", fleet::HOST);
    request.insert_header("request-id", id);
    request.insert_header("deadline-ms", "3000");
    request.insert_header("x-api-key", fleet::KEY);
    request.set_body("body");
    request
}

/// Sends a request and returns its status and body.
pub async fn send(node: net::SocketAddr, request: http_message::Request) -> (u16, String) {
    let answer = answer(node, request).await;
    (answer.status(), String::from_utf8_lossy(answer.body()).into_owned())
}

/// Sends a request and returns its answer.
pub async fn answer(
    node: net::SocketAddr,
    request: http_message::Request,
) -> http_client::ClientAnswer {
    let client = http_client::HttpClient::new(1 << 20);
    let connection = http_client::ConnectionUse::Fresh;
    let sent = client.call(node, request, connection, time::Instant::now() + PATIENCE).await;
    sent.expect("a whole answer")
}

/// Runs a test against stand-ins and one node.
pub fn with_node<Test, Work>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode) -> Work,
    Work: Future<Output = ()>,
{
    let pool = comfreyspread::runtime::worker::WorkerPool::new(2).expect("threads");
    super::run(async {
        let fleet = new_fleet(&pool).await;
        let node = fleet.start_node(&program(), "node-1", &[]).await.expect("a node");
        test(fleet, node).await;
    });
    pool.stop();
}

/// Returns what ran of a request.
pub fn runs(fleet: &fleet::FleetStandIn, id: &str) -> Vec<fleet::FleetRecord> {
    let of_request = |record: &fleet::FleetRecord| {
        record.ran && record.head.get("request-id").is_some_and(|value| value == id)
    };
    fleet.records().into_iter().filter(of_request).collect()
}

/// Asks a node for a page and returns its status and body.
pub async fn ask(node: net::SocketAddr, path: &str) -> (u16, String) {
    let url = format!("http://{node}{path}");
    send(node, http_message::Request::new(http::Method::GET, &url)).await
}
