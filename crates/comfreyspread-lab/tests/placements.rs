//! Placement of requests on engines by one node, and what holds when that node is lost, stands still
//! or wakes.

mod common;

use comfreyspread_lab::{fleet, fleet_request};
use common::gateway;
use futures_util::future;
use rustix::process::Signal;
use std::{process, time};

const NODES: u64 = 3;
const REQUESTS: u64 = 12;
/// Time until the nodes know a change of the store.
const CHANGE_TIME: time::Duration = time::Duration::from_millis(900);

/// Starts nodes for engines with as many slots as there are nodes, so that requests are placed.
async fn start(fleet: &fleet::FleetStandIn) -> Vec<fleet::FleetNode> {
    let mut document = gateway::route_document(2);
    for service in document["services"].as_array_mut().expect("services") {
        if service["name"] == "engine" {
            service["engine"] = serde_json::json!({
                "slots": NODES, "stride": 2, "kv_capacity_tokens": 100_000,
            });
        }
    }
    fleet.set_route_document(&document);
    let nodes = gateway::start_nodes(fleet, NODES).await;
    async_io::Timer::after(CHANGE_TIME).await;
    nodes
}

/// Sends requests with one shared prompt through the nodes in turn; returns their statuses.
async fn send_all(nodes: &[fleet::FleetNode], prefix: &str) -> Vec<u16> {
    let send = async |number: u64| {
        let node = &nodes[number as usize % nodes.len()];
        let id = format!("{prefix}-{number}");
        let parts = format!("aa:4000,{number:x}:10");
        let request = fleet_request::FleetRequest::new(node.caller_address, "/chat/", &id)
            .with_prompt_parts(&parts)
            .into_message();
        gateway::send(node.caller_address, request).await.0
    };
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        statuses.push(send(number).await);
    }
    statuses
}

async fn placed(nodes: &[fleet::FleetNode]) -> Vec<u64> {
    future::join_all(nodes.iter().map(|node| gateway::metric(node, "placements_made_total"))).await
}

/// One node places the requests of all, and those with the same prompt go to one engine.
#[test]
fn one_placing_node() {
    gateway::with_fleet(async |fleet| {
        let nodes = start(&fleet).await;
        assert_eq!(send_all(&nodes, "r").await, [200; REQUESTS as usize]);
        let placed = placed(&nodes).await;
        assert_eq!(placed.iter().sum::<u64>(), REQUESTS, "{placed:?}");
        assert_eq!(placed.iter().filter(|count| **count > 0).count(), 1, "{placed:?}");
        let records = fleet.records();
        let engines: Vec<_> = records.iter().map(|record| &record.endpoint).collect();
        assert!(engines.iter().all(|engine| *engine == engines[0]), "{engines:?}");
    });
}

/// The placing node is killed, or stands still and wakes: requests are served all the while, another
/// node places them, and each runs once.
#[test]
fn placing_node_lost() {
    for signal in [Signal::KILL, Signal::STOP] {
        gateway::with_fleet(async |fleet| {
            let mut nodes = start(&fleet).await;
            send_all(&nodes, "before").await;
            let counts = placed(&nodes).await;
            let index = counts.iter().position(|count| *count > 0).expect("a placing node");
            let lost = nodes.remove(index);
            lost.process.signal(signal);
            assert_eq!(send_all(&nodes, "lost").await, [200; REQUESTS as usize]);
            assert!(placed(&nodes).await.iter().sum::<u64>() > 0, "another node places");
            lost.process.signal(Signal::CONT);
            assert_eq!(send_all(&nodes, "after").await, [200; REQUESTS as usize]);
            for prefix in ["lost", "after"] {
                for number in 0..REQUESTS {
                    let runs = gateway::runs(&fleet, &format!("{prefix}-{number}"));
                    assert_eq!(runs.len(), 1, "{prefix}-{number}");
                }
            }
        });
    }
}

/// Runs the command `explain` and returns its exit code and JSON.
fn explain(node: &fleet::FleetNode, path: &str) -> (Option<i32>, serde_json::Value) {
    let address = node.admin_address.to_string();
    let output = process::Command::new(gateway::program())
        .args(["product", "explain", "--json", "--node", &address, "--path", path])
        .args(["--header", "host: fleet.example", "--header", "x-api-key: fleet-key"])
        .args(["--header", "prefix-hash: aa:4000,f:10", "--header", "deadline-ms: 3000"])
        .output()
        .expect("the command runs");
    let json = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code(), json)
}

/// The explanation names the endpoint that the next request goes to, sends nothing and places nothing.
#[test]
fn explained_request() {
    gateway::with_fleet(async |fleet| {
        let nodes = start(&fleet).await;
        send_all(&nodes, "before").await;
        let counts = placed(&nodes).await;
        let arrived = fleet.records().len();
        let mut named = Vec::new();
        for node in &nodes {
            let (code, json) = explain(node, "/chat/");
            assert_eq!(code, Some(0), "{json}");
            named.push(json["endpoint"].as_str().expect("an endpoint").to_owned());
            assert!(json["endpoints"].as_array().is_some_and(|all| all.len() == 2), "{json}");
            assert!(json["placed_by"].as_str().is_some_and(|by| !by.is_empty()), "{json}");
        }
        assert_eq!((fleet.records().len(), placed(&nodes).await), (arrived, counts));
        send_all(&nodes[..1], "after").await;
        let records = fleet.records();
        let engine = records.last().map(|record| record.endpoint.to_string());
        assert!(named.iter().all(|name| Some(name) == engine.as_ref()), "{named:?}, {engine:?}");
        let (code, json) = explain(&nodes[0], "/nowhere/");
        assert_eq!((code, &json["accepted"]), (Some(1), &false.into()));
        assert!(json["reason"].as_str().is_some_and(|reason| reason.contains("NoRoute")), "{json}");
    });
}
