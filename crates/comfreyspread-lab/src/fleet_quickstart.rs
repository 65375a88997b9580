//! Part of the quickstart that runs the front end of the users' platform.

use crate::{fleet, fleet_request, process};
use comfreyspread::{runtime::worker, transport::http_client};
use futures_util::future;
use std::{path, time};

const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Time for the nodes to discover each other.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(2);
/// Time within which nodes apply a change of the routes.
const APPLY_TIME: time::Duration = time::Duration::from_millis(2500);
/// Concurrent requests with stages.
const REPORT_COUNT: usize = 12;
/// Pieces of each stage of a report request.
const PIECES: &str = "2,1";
const PIECES_PER_REPORT: usize = 3;
const RESPONSE_LIMIT_BYTES: usize = 1024 * 1024;
const OK_STATUS: u16 = 200;
const NOT_FOUND_STATUS: u16 = 404;

/// Serves requests through two nodes that use the platform stand-ins, and prints the results.
///
/// # Errors
///
/// Fails if a process cannot be started or a request is not served.
pub async fn run(spawner: &worker::TaskSpawner, logs: &path::Path) -> miette::Result<()> {
    let mut fleet = fleet::FleetStandIn::with_sample(spawner).await?;
    fleet.set_log_folder(logs.to_owned());
    let program = process::current_program()?;
    let first = fleet.start_node(&program, "gateway-1", &[]).await?;
    let second = fleet.start_node(&program, "gateway-2", &[first.peer_address]).await?;
    async_io::Timer::after(DISCOVERY_TIME).await;
    println!("platform  its store, 6 endpoints, 2 nodes of the users' front end");
    serve_purchase(&fleet, &first).await?;
    serve_reports(&fleet, [&first, &second]).await?;
    remove_route(&fleet, &second).await
}

async fn send(
    node: &fleet::FleetNode,
    path: &str,
    id: &str,
    pieces: Option<&str>,
) -> miette::Result<u16> {
    let mut request = fleet_request::FleetRequest::new(node.caller_address, path, id);
    if let Some(pieces) = pieces {
        request = request.with_pieces(pieces);
    }
    let client = http_client::HttpClient::new(RESPONSE_LIMIT_BYTES);
    let deadline = time::Instant::now() + REQUEST_TIMEOUT;
    let connection = http_client::ConnectionUse::Fresh;
    Ok(client
        .call(node.caller_address, request.into_message(), connection, deadline)
        .await?
        .status())
}

async fn serve_purchase(
    fleet: &fleet::FleetStandIn,
    node: &fleet::FleetNode,
) -> miette::Result<()> {
    let status = send(node, "/write/purchase", "purchase-1", None).await?;
    miette::ensure!(status == OK_STATUS, "the purchase returned status {status}");
    let records = fleet.records();
    let is_purchase_run = |record: &&fleet::RequestRecord| {
        record.ran && record.headers.get("request-id").is_some_and(|id| id == "purchase-1")
    };
    let runs = records.iter().filter(is_purchase_run).count();
    miette::ensure!(runs == 1, "the purchase ran {runs} times");
    println!("purchase  through gateway-1: status {status}, ran once");
    Ok(())
}

async fn serve_reports(
    fleet: &fleet::FleetStandIn,
    nodes: [&fleet::FleetNode; 2],
) -> miette::Result<()> {
    let names: Vec<_> = (0..REPORT_COUNT).map(|number| format!("report-{number}")).collect();
    let requests = names
        .iter()
        .enumerate()
        .map(|(index, name)| send(nodes[index % nodes.len()], "/report/", name, Some(PIECES)));
    for status in future::try_join_all(requests).await? {
        miette::ensure!(status == OK_STATUS, "a report returned status {status}");
    }
    let records = fleet.records();
    let calls = records.iter().filter(|record| record.ran && &*record.path == fleet::PIECES_PATH);
    let (calls, pieces) = (calls.count(), REPORT_COUNT * PIECES_PER_REPORT);
    miette::ensure!(calls < pieces, "{pieces} pieces took {calls} calls");
    println!(
        "stages    {REPORT_COUNT} streams through both nodes: {pieces} pieces shared {calls} calls"
    );
    Ok(())
}

/// Removes a route and checks that a node no longer serves it.
async fn remove_route(fleet: &fleet::FleetStandIn, node: &fleet::FleetNode) -> miette::Result<()> {
    let mut document = fleet::sample_route_document(2)?;
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.retain(|route| route["name"] != "read");
    }
    fleet.set_route_document(&document);
    async_io::Timer::after(APPLY_TIME).await;
    let status = send(node, "/read/", "read-1", None).await?;
    miette::ensure!(status == NOT_FOUND_STATUS, "a removed route returned status {status}");
    println!("routes    version 2 drops one: gateway-2 answers {status}");
    Ok(())
}
