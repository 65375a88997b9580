//! The second part of the quickstart: the front end of the users' platform.

use crate::{fleet, fleet_request, process};
use comfreyspread::{runtime::worker, transport::http_client};
use futures_util::future;
use std::{path, time};

/// Longest wait for an answer.
const PATIENCE: time::Duration = time::Duration::from_secs(10);
/// Time for the nodes to find each other.
const SETTLING: time::Duration = time::Duration::from_secs(2);
/// Time after which a change of the routes is in force.
const APPLY_TIME: time::Duration = time::Duration::from_millis(2500);
/// Requests with stages that are sent at once.
const REPORTS: usize = 12;
/// Pieces of the stages of each.
const PIECES: &str = "2,1";
const PIECES_OF_REPORT: usize = 3;
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
const OK_STATUS: u16 = 200;
const NOT_FOUND_STATUS: u16 = 404;

/// Serves requests through two nodes on stand-ins of the platform and reports what happened.
///
/// # Errors
///
/// Fails if a process cannot be started or a request is not served.
pub async fn run(spawner: &worker::TaskSpawner, logs: &path::Path) -> miette::Result<()> {
    let mut fleet = fleet::FleetStandIn::with_sample(spawner).await?;
    fleet.set_log_folder(logs.to_owned());
    let program = process::own_program()?;
    let first = fleet.start_node(&program, "gateway-1", &[]).await?;
    let second = fleet.start_node(&program, "gateway-2", &[first.peer_address]).await?;
    async_io::Timer::after(SETTLING).await;
    println!("platform  its store, 6 endpoints, 2 nodes of the users' front end");
    serve_purchase(&fleet, &first).await?;
    serve_reports(&fleet, [&first, &second]).await?;
    drop_route(&fleet, &second).await
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
    let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
    let until = time::Instant::now() + PATIENCE;
    let connection = http_client::ConnectionUse::Fresh;
    Ok(client.call(node.caller_address, request.into_message(), connection, until).await?.status())
}

async fn serve_purchase(
    fleet: &fleet::FleetStandIn,
    node: &fleet::FleetNode,
) -> miette::Result<()> {
    let status = send(node, "/write/purchase", "purchase-1", None).await?;
    miette::ensure!(status == OK_STATUS, "the purchase was answered {status}");
    let records = fleet.records();
    let of_purchase = |record: &&fleet::RequestRecord| {
        record.ran && record.headers.get("request-id").is_some_and(|id| id == "purchase-1")
    };
    let runs = records.iter().filter(of_purchase).count();
    miette::ensure!(runs == 1, "the purchase ran {runs} times");
    println!("purchase  through gateway-1: status {status}, ran once");
    Ok(())
}

async fn serve_reports(
    fleet: &fleet::FleetStandIn,
    nodes: [&fleet::FleetNode; 2],
) -> miette::Result<()> {
    let names: Vec<_> = (0..REPORTS).map(|number| format!("report-{number}")).collect();
    let sent = names
        .iter()
        .enumerate()
        .map(|(number, name)| send(nodes[number % nodes.len()], "/report/", name, Some(PIECES)));
    for status in future::try_join_all(sent).await? {
        miette::ensure!(status == OK_STATUS, "a report was answered {status}");
    }
    let records = fleet.records();
    let calls = records.iter().filter(|record| record.ran && &*record.path == fleet::PIECES_PATH);
    let (calls, pieces) = (calls.count(), REPORTS * PIECES_OF_REPORT);
    miette::ensure!(calls < pieces, "{pieces} pieces took {calls} calls");
    println!(
        "stages    {REPORTS} streams through both nodes: {pieces} pieces shared {calls} calls"
    );
    Ok(())
}

/// Takes a route out of the document and waits until it is.
async fn drop_route(fleet: &fleet::FleetStandIn, node: &fleet::FleetNode) -> miette::Result<()> {
    let mut document = fleet::sample_route_document(2)?;
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.retain(|route| route["name"] != "read");
    }
    fleet.set_route_document(&document);
    async_io::Timer::after(APPLY_TIME).await;
    let status = send(node, "/read/", "read-1", None).await?;
    miette::ensure!(status == NOT_FOUND_STATUS, "a route that was dropped answered {status}");
    println!("routes    version 2 drops one: gateway-2 answers {status}");
    Ok(())
}
