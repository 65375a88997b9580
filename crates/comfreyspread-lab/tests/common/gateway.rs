//! Stand-ins for the users' platform, and gateway nodes that run against them.

use comfreyspread::{
    runtime::worker,
    transport::{http_client, http_message},
};
use comfreyspread_lab::{fleet, fleet_request, process_usage};
use std::{env, fs, net, path, process, sync::atomic, thread, time};

/// Maximum time that a test waits for a response.
pub const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Logs of the nodes of one test: printed if the test fails, then removed.
struct NodeLogs {
    folder: path::PathBuf,
}

impl NodeLogs {
    fn new() -> Self {
        static NEXT_NUMBER: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, atomic::Ordering::Relaxed);
        let folder = format!("comfreyspread-node-logs-{}-{number}", process::id());
        let folder = env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("a folder for logs");
        Self { folder }
    }

    fn print(&self) {
        for file in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let log = fs::read(file.path()).unwrap_or_default();
            eprintln!("{}:\n{}", file.path().display(), String::from_utf8_lossy(&log));
        }
    }
}

impl Drop for NodeLogs {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the executable that contains the product and its stand-ins.
pub fn program() -> path::PathBuf {
    env!("CARGO_BIN_EXE_comfreyspread-lab").into()
}

/// Returns the sample route document with this version.
pub fn route_document(version: u64) -> serde_json::Value {
    fleet::sample_route_document(version).expect("a sample")
}

/// Returns the sample route document with version 2, whose staged route may be resumed.
pub fn resumable_document() -> serde_json::Value {
    const VERSION: u64 = 2;
    const STAGED_ROUTE: usize = 3;
    let mut document = route_document(VERSION);
    document["routes"][STAGED_ROUTE]["resumable"] = true.into();
    document
}

/// Returns a request with all headers that the platform requires.
pub fn request(node: net::SocketAddr, path: &str, id: &str) -> http_message::Request {
    fleet_request::FleetRequest::new(node, path, id).into_message()
}

/// Returns a request for stages with these piece counts, for example `2,1`.
pub fn staged_request(node: net::SocketAddr, id: &str, pieces: &str) -> http_message::Request {
    fleet_request::FleetRequest::new(node, "/report/", id).with_pieces(pieces).into_message()
}

/// Sends a request and returns the status and body of the response.
pub async fn send(node: net::SocketAddr, request: http_message::Request) -> (u16, String) {
    let response = call(node, request).await;
    (response.status(), String::from_utf8_lossy(response.body()).into_owned())
}

/// Sends a request; the node may be gone.
pub async fn try_send(node: net::SocketAddr, request: http_message::Request) {
    let client = http_client::HttpClient::new(1 << 20);
    let connection = http_client::ConnectionUse::Fresh;
    client.call(node, request, connection, time::Instant::now() + RESPONSE_TIMEOUT).await.ok();
}

/// Sends a request and returns the response.
pub async fn call(
    node: net::SocketAddr,
    request: http_message::Request,
) -> http_client::ClientResponse {
    let client = http_client::HttpClient::new(1 << 20);
    let connection = http_client::ConnectionUse::Fresh;
    let result =
        client.call(node, request, connection, time::Instant::now() + RESPONSE_TIMEOUT).await;
    result.expect("a complete response")
}

/// Runs a test against the platform's stand-ins.
pub fn with_fleet<Test, TestFuture>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    let pool = worker::WorkerPool::new(2).expect("threads");
    let logs = NodeLogs::new();
    super::run(async {
        let fleet = fleet::FleetStandIn::with_sample(&pool.spawner()).await;
        let mut fleet = fleet.expect("the stand-ins start");
        fleet.set_log_folder(logs.folder.clone());
        test(fleet).await;
    });
    pool.stop();
}

/// Runs a test against the platform's stand-ins and one node.
pub fn with_node<Test, TestFuture>(test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    with_fleet(async |fleet| {
        let node = start_nodes(&fleet, 1).await.remove(0);
        test(fleet, node).await;
    });
}

/// Starts nodes named `node-1`, `node-2` and so on; the first is the seed of the others.
pub async fn start_nodes(fleet: &fleet::FleetStandIn, count: u64) -> Vec<fleet::FleetNode> {
    let mut nodes = Vec::<fleet::FleetNode>::new();
    for number in 1..=count {
        let seeds: Vec<_> = nodes.first().map(|node| node.peer_address).into_iter().collect();
        let node = fleet.start_node(&program(), &format!("node-{number}"), &seeds).await;
        nodes.push(node.expect("a node"));
    }
    nodes
}

/// Starts the only node of a test, with lines of its settings file that replace the usual ones, and waits
/// until it is ready.
pub async fn start_with_settings(fleet: &fleet::FleetStandIn, settings: &str) -> fleet::FleetNode {
    let node = fleet::FleetNode::start(fleet, &program(), "node-1", &[], settings);
    let node = node.expect("a node");
    node.wait_until_ready().await.expect("a ready node");
    node
}

/// Checks that a node answers an ordinary request for `path`.
pub async fn check_served(node: &fleet::FleetNode, path: &str, id: &str) {
    let (status, body) = send(node.caller_address, request(node.caller_address, path, id)).await;
    assert_eq!(status, 200, "{id}: {body}");
}

/// Returns the value of a metric of a node, named without the program's prefix.
pub async fn metric(node: &fleet::FleetNode, name: &str) -> u64 {
    let (_, text) = get(node.admin_address, "/metrics").await;
    let prefix = format!("comfreyspread_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&*prefix));
    value.expect("the metric").parse().expect("a number")
}

/// Returns the highest memory of a node since its start, in KiB.
///
/// # Panics
///
/// Panics if the process has ended.
pub fn peak_memory_kib(node: &fleet::FleetNode) -> u64 {
    process_usage::ProcessUsage::new(node.process.id()).expect("a running process").peak_memory_kb
}

/// Checks that a node has stayed within the memory of its machine, in MB.
pub fn check_memory(node: &fleet::FleetNode, memory_mb: u64) {
    let peak_mb = peak_memory_kib(node) / 1024;
    assert!(peak_mb < memory_mb, "{peak_mb} MB of {memory_mb}");
}

/// Returns the records of the endpoint calls that ran for a request.
pub fn runs(fleet: &fleet::FleetStandIn, id: &str) -> Vec<fleet::RequestRecord> {
    let of_request = |record: &fleet::RequestRecord| {
        record.ran && record.headers.get("request-id").is_some_and(|value| value == id)
    };
    fleet.records().into_iter().filter(of_request).collect()
}

/// Sends a GET request to a node and returns the status and body of the response.
pub async fn get(node: net::SocketAddr, path: &str) -> (u16, String) {
    let url = format!("http://{node}{path}");
    send(node, http_message::Request::new(http::Method::GET, &url)).await
}
