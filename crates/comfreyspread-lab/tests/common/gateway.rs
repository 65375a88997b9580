//! Stand-ins of the users' platform and nodes that run on it.

use comfreyspread::{
    runtime::worker,
    transport::{http_client, http_message},
};
use comfreyspread_lab::{fleet, fleet_request};
use std::{net, path, time};

/// Longest wait of a test for an answer.
pub const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Returns the program of the product and its stand-ins.
pub fn program() -> path::PathBuf {
    env!("CARGO_BIN_EXE_comfreyspread-lab").into()
}

/// Returns the operator's document of the tests.
pub fn document(version: u64) -> serde_json::Value {
    fleet::sample_route_document(version).expect("a sample")
}

/// Returns a request with all heads that the platform asks for.
pub fn request(node: net::SocketAddr, path: &str, id: &str) -> http_message::Request {
    fleet_request::FleetRequest::new(node, path, id).into_message()
}

/// Returns a request whose stages have `pieces`.
pub fn staged_request(node: net::SocketAddr, id: &str, pieces: &str) -> http_message::Request {
    fleet_request::FleetRequest::new(node, "/report/", id).with_pieces(pieces).into_message()
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

/// Runs a test against stand-ins.
pub fn with_fleet<Test, Work>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn) -> Work,
    Work: Future<Output = ()>,
{
    let pool = worker::WorkerPool::new(2).expect("threads");
    super::run(async {
        let fleet = fleet::FleetStandIn::with_sample(&pool.spawner()).await;
        test(fleet.expect("the stand-ins start")).await;
    });
    pool.stop();
}

/// Runs a test against stand-ins and one node.
pub fn with_node<Test, Work>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode) -> Work,
    Work: Future<Output = ()>,
{
    with_fleet(async |fleet| {
        let node = start_nodes(&fleet, 1).await.remove(0);
        test(fleet, node).await;
    });
}

/// Starts nodes named `node-1` and so on, each with the first one as its seed.
pub async fn start_nodes(fleet: &fleet::FleetStandIn, count: u64) -> Vec<fleet::FleetNode> {
    let mut nodes = Vec::<fleet::FleetNode>::new();
    for number in 1..=count {
        let seeds: Vec<_> = nodes.first().map(|node| node.peer_address).into_iter().collect();
        let node = fleet.start_node(&program(), &format!("node-{number}"), &seeds).await;
        nodes.push(node.expect("a node"));
    }
    nodes
}

/// Returns what ran of a request.
pub fn runs(fleet: &fleet::FleetStandIn, id: &str) -> Vec<fleet::RequestRecord> {
    let of_request = |record: &fleet::RequestRecord| {
        record.ran && record.headers.get("request-id").is_some_and(|value| value == id)
    };
    fleet.records().into_iter().filter(of_request).collect()
}

/// Asks a node for a page and returns its status and body.
pub async fn ask(node: net::SocketAddr, path: &str) -> (u16, String) {
    let url = format!("http://{node}{path}");
    send(node, http_message::Request::new(http::Method::GET, &url)).await
}
