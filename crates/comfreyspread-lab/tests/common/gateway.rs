//! Stand-ins of the users' platform and nodes that run on it.

use comfreyspread::transport::{http_client, http_message};
use comfreyspread_lab::fleet;
use std::{net, path, time};

/// Longest wait of a test for an answer.
pub const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Returns the program of the product and its stand-ins.
pub fn program() -> path::PathBuf {
    env!("CARGO_BIN_EXE_comfreyspread-lab").into()
}

/// Returns the operator's document of the tests.
pub fn document(version: u64) -> serde_json::Value {
    fleet::sample_document(version).expect("a sample")
}

/// Starts stand-ins: a plain service, engines and stage workers.
pub async fn new_fleet(pool: &comfreyspread::runtime::worker::WorkerPool) -> fleet::FleetStandIn {
    fleet::FleetStandIn::with_sample(&pool.spawner()).await.expect("the stand-ins start")
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
