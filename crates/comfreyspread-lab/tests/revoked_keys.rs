//! API keys that a version of the operator's document takes away.

mod common;

use comfreyspread_lab::{fleet, fleet_request};
use common::gateway;
use std::time;

const UNKNOWN_KEY: &str = "unknown-key";
/// Maximum time until a change is in force on all nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
const PUBLIC_PATH: &str = "/read/x";
const PATH: &str = "/write/x";

/// Returns the sample document with these workspaces and a public route; `None` lists none.
fn document(version: u64, workspaces: Option<serde_json::Value>) -> serde_json::Value {
    let mut document = gateway::route_document(version);
    document["routes"][0]["public"] = true.into();
    let fields = document.as_object_mut().expect("an object");
    fields.remove("tenants");
    if let Some(workspaces) = workspaces {
        fields.insert("tenants".into(), workspaces);
    }
    document
}

async fn send(node: &fleet::FleetNode, path: &str, key: &str) -> u16 {
    let address = node.caller_address;
    let request = fleet_request::FleetRequest::new(address, path, &format!("{key}-{path}"));
    gateway::send(address, request.with_key(key).into_message()).await.0
}

/// Guards against requests with any key that run once the last key is taken away: each node took
/// the empty list for that of a deployment without workspaces. The second node starts after the
/// change and has never seen a key.
#[test]
fn last_taken() {
    let emptied = [serde_json::json!([{"name": "one", "api_keys": []}]), serde_json::json!([])];
    for workspaces in emptied {
        gateway::with_fleet(async |fleet| {
            let mut nodes = gateway::start_nodes(&fleet, 1).await;
            assert_eq!(send(&nodes[0], PATH, fleet::API_KEY).await, 200);
            fleet.set_route_document(&document(2, Some(workspaces)));
            async_io::Timer::after(APPLY_LIMIT).await;
            let seeds = [nodes[0].peer_address];
            let later = fleet.start_node(&gateway::program(), "node-2", &seeds).await;
            nodes.push(later.expect("a node"));
            let before = fleet.records().len();
            for node in &nodes {
                for key in [fleet::API_KEY, UNKNOWN_KEY] {
                    assert_eq!(send(node, PATH, key).await, 401, "{key}");
                }
            }
            assert_eq!(fleet.records().len(), before, "no request reached an endpoint");
            assert_eq!(send(&nodes[0], PUBLIC_PATH, UNKNOWN_KEY).await, 200);
        });
    }
}

/// A deployment without workspaces takes requests without a known key.
#[test]
fn none_listed() {
    gateway::with_fleet(async |fleet| {
        fleet.set_route_document(&document(2, None));
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        assert_eq!(send(&node, PATH, UNKNOWN_KEY).await, 200);
    });
}
