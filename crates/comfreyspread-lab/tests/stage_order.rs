//! Stages that the operator's document lists in any order.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use indexmap::IndexSet;
use std::{sync::atomic, time};

const ROUTE: usize = 3;
/// Maximum time until a change is in force on all nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);

/// Returns the sample document with two stages whose dependencies are these.
fn document(version: u64, dependencies: [&[u32]; 2]) -> serde_json::Value {
    let mut document = gateway::route_document(version);
    let stages = dependencies
        .map(|before| serde_json::json!({"service": "prepare", "after": before, "bytes": 1000}));
    document["routes"][ROUTE]["stages"] = serde_json::json!(stages);
    document
}

/// Returns the last part of a handle, which names request, stage and piece.
fn made_name(handle: &str) -> String {
    handle.rsplit('/').next().unwrap_or_default().to_owned()
}

/// Returns the inputs of the pieces of a stage, over all pieces.
fn piece_inputs(fleet: &fleet::FleetStandIn, id: &str, stage: u64) -> IndexSet<String> {
    let mut inputs = IndexSet::new();
    for record in fleet.records().iter().filter(|record| &*record.path == fleet::PIECES_PATH) {
        let body: serde_json::Value = serde_json::from_slice(&record.body).expect("pieces");
        for item in body["items"].as_array().expect("a list") {
            if item["id"] == id && item["stage"] == stage {
                let handles = item["inputs"].as_array().into_iter().flatten();
                inputs.extend(handles.filter_map(|handle| handle.as_str()).map(made_name));
            }
        }
    }
    inputs
}

fn engine_inputs(fleet: &fleet::FleetStandIn, id: &str) -> Vec<String> {
    let runs = gateway::runs(fleet, id);
    let inputs = runs.iter().find_map(|run| run.headers.get("inputs")).expect("inputs");
    inputs.to_str().expect("text").split(',').map(made_name).collect()
}

/// Returns the sample document whose staged route is answered with a single response.
fn unary_document() -> serde_json::Value {
    let mut document = gateway::route_document(1);
    document["routes"][ROUTE]["kind"] = "idempotent".into();
    document["routes"][ROUTE]["service"] = "ledger".into();
    document
}

async fn send(node: &fleet::FleetNode, id: &str, pieces: &str) -> u16 {
    let address = node.caller_address;
    gateway::send(address, gateway::staged_request(address, id, pieces)).await.0
}

/// Guards against pieces that are made without their inputs, and answered with success, once a
/// change lists a stage before the one that it depends on.
#[test]
fn listed_backwards() {
    gateway::with_node(async |fleet, node| {
        assert_eq!(send(&node, "before", "2,1").await, 200);
        fleet.set_route_document(&document(2, [&[1], &[]]));
        async_io::Timer::after(APPLY_LIMIT).await;
        assert_eq!(send(&node, "after", "1,2").await, 200);
        let made = ["after-1-0", "after-1-1"].map(str::to_owned);
        assert_eq!(piece_inputs(&fleet, "after", 0), made.into());
        assert!(piece_inputs(&fleet, "after", 1).is_empty());
        assert_eq!(engine_inputs(&fleet, "after"), ["after-0-0"]);
    });
}

/// Guards against success without inputs on a route whose stages cannot be ordered. The store takes
/// no such document; other routes are served.
#[test]
fn invalid_rejected() {
    for dependencies in [[&[1_u32][..], &[0]], [&[], &[7]], [&[0], &[]]] {
        gateway::with_fleet(async |fleet| {
            fleet.set_route_document(&document(2, dependencies));
            let node = gateway::start_nodes(&fleet, 1).await.remove(0);
            assert_eq!(send(&node, "invalid", "1,1").await, 503);
            assert!(fleet.records().is_empty());
            let request = gateway::request(node.caller_address, "/chat/", "other");
            assert_eq!(gateway::send(node.caller_address, request).await.0, 200);
        });
    }
}

/// Guards against a request whose stages never run because its route is not a stream.
#[test]
fn single_response() {
    gateway::with_fleet(async |fleet| {
        fleet.set_route_document(&unary_document());
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        assert_eq!(send(&node, "single", "2,1").await, 200);
        let made = ["single-0-0", "single-0-1"].map(str::to_owned);
        assert_eq!(piece_inputs(&fleet, "single", 1), made.into());
        assert_eq!(engine_inputs(&fleet, "single"), ["single-1-0"]);
    });
}

/// Guards against results that are lost for a single response: its endpoint rejects the request, and
/// the stages run again.
#[test]
fn single_again() {
    gateway::with_fleet(async |fleet| {
        fleet.set_route_document(&unary_document());
        for endpoint in ["ledger-1", "ledger-2"] {
            fleet.faults(endpoint).inputs_gone.store(true, atomic::Ordering::Relaxed);
        }
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        assert_eq!(send(&node, "again", "2,1").await, 200);
        let calls = fleet.records();
        let calls = calls.iter().filter(|call| &*call.path == fleet::PIECES_PATH).count();
        assert!(calls > 2, "the last stage runs again: {calls} calls");
    });
}

/// Guards against success with only some of the results: pieces of more stages than the version in
/// force has belong to another one. The request has not run, and may come again. Stages without a
/// number are omitted.
#[test]
fn other_counts() {
    gateway::with_node(async |fleet, node| {
        assert_eq!(send(&node, "other", "1,1,1").await, 503);
        assert!(fleet.records().is_empty());
        for pieces in ["1,1", "1"] {
            assert_eq!(send(&node, "fits", pieces).await, 200, "{pieces}");
        }
    });
}
