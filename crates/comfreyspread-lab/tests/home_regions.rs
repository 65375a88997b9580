//! Requests limited to regions reach no endpoint elsewhere. All nodes are in region `r`.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use futures_util::future;
use std::{sync::atomic, time};

const HOME_REGION: &str = "s";
const CONFIG_VERSION: u64 = 2;
/// Time until a change is in force on the node.
const APPLY_TIME: time::Duration = time::Duration::from_millis(900);
/// Delay of an answer that gets lost, longer than [`APPLY_TIME`].
const ANSWER_DELAY_MS: u64 = 1500;

/// Returns the sample document with the routes of this name limited to the home region.
fn limited_document(version: u64, route_name: &str) -> serde_json::Value {
    let mut document = gateway::route_document(version);
    for route in document["routes"].as_array_mut().expect("routes") {
        if route["name"] == route_name {
            route["allowed_regions"] = serde_json::json!([HOME_REGION]);
        }
    }
    document
}

async fn add_home_endpoints(fleet: &mut fleet::FleetStandIn) {
    for (name, service, kind) in [
        ("home-engine", "engine", fleet::EndpointKind::Engine),
        ("home-ledger", "ledger", fleet::EndpointKind::Plain),
        ("home-prepare", "prepare", fleet::EndpointKind::Worker),
    ] {
        fleet.add_endpoint_in("b", name, service, kind).await.expect("a free port");
    }
}

/// Returns the endpoints that received a request or pieces.
fn reached(fleet: &fleet::FleetStandIn) -> Vec<String> {
    fleet.records().into_iter().map(|record| record.endpoint.to_string()).collect()
}

fn all_at_home(endpoints: &[String]) -> bool {
    endpoints.iter().all(|endpoint| endpoint.starts_with("home-"))
}

/// Guards against stages that run in the node's own region while no node serves in the home region.
#[test]
fn stages_at_home() {
    gateway::with_fleet(async |mut fleet| {
        add_home_endpoints(&mut fleet).await;
        fleet.set_route_document(&limited_document(CONFIG_VERSION, "report"));
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = gateway::staged_request(node.caller_address, "staged", "2,1");
        let (status, _) = gateway::send(node.caller_address, request).await;
        let endpoints = reached(&fleet);
        assert!(all_at_home(&endpoints), "{endpoints:?}");
        assert_eq!(status, 200);
        assert!(endpoints.contains(&"home-prepare".into()), "{endpoints:?}");
    });
}

/// Guards against retries in a region that was allowed when the request arrived and no longer is.
#[test]
fn homes_moved() {
    gateway::with_fleet(async |mut fleet| {
        add_home_endpoints(&mut fleet).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for endpoint in ["ledger-1", "ledger-2", "home-ledger"] {
            let faults = fleet.faults(endpoint);
            faults.delay_ms.store(ANSWER_DELAY_MS, atomic::Ordering::Relaxed);
            faults.lose_answers.store(true, atomic::Ordering::Relaxed);
        }
        let request = gateway::request(node.caller_address, "/read/x", "moved");
        let change = async {
            async_io::Timer::after(APPLY_TIME / 3).await;
            let before = reached(&fleet).len();
            fleet.set_route_document(&limited_document(CONFIG_VERSION, "read"));
            async_io::Timer::after(APPLY_TIME).await;
            before
        };
        let (_, before) = future::join(gateway::send(node.caller_address, request), change).await;
        let later = reached(&fleet).split_off(before);
        assert_eq!(before, 1, "the first attempt is sent before the change");
        assert_eq!(later, ["home-ledger"], "the retry goes to the region allowed now");
    });
}

/// Guards against retries outside the regions of a workspace whose key has been revoked since the
/// request arrived.
#[test]
fn key_revoked() {
    gateway::with_fleet(async |mut fleet| {
        add_home_endpoints(&mut fleet).await;
        let kind = fleet::EndpointKind::Plain;
        fleet.add_endpoint_in("b", "home-other", "ledger", kind).await.expect("a free port");
        let mut document = gateway::route_document(CONFIG_VERSION);
        document["tenants"][0]["allowed_regions"] = serde_json::json!([HOME_REGION]);
        fleet.set_route_document(&document);
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for endpoint in ["ledger-1", "ledger-2", "home-ledger", "home-other"] {
            let faults = fleet.faults(endpoint);
            faults.delay_ms.store(ANSWER_DELAY_MS, atomic::Ordering::Relaxed);
            faults.lose_answers.store(true, atomic::Ordering::Relaxed);
        }
        let request = gateway::request(node.caller_address, "/read/x", "revoked");
        let change = async {
            async_io::Timer::after(APPLY_TIME / 3).await;
            document["version"] = (CONFIG_VERSION + 1).into();
            document["tenants"][0]["api_keys"] = serde_json::json!(["another-key"]);
            fleet.set_route_document(&document);
        };
        future::join(gateway::send(node.caller_address, request), change).await;
        let endpoints = reached(&fleet);
        assert_eq!(endpoints.len(), 2, "an attempt and a retry: {endpoints:?}");
        assert!(all_at_home(&endpoints), "{endpoints:?}");
    });
}

/// Guards against pieces that wait for an endpoint while the homes of their request move, and run in
/// the region that was allowed before.
#[test]
fn queued_pieces() {
    gateway::with_fleet(async |mut fleet| {
        add_home_endpoints(&mut fleet).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let set_full = |full| {
            for worker in ["worker-1", "worker-2"] {
                fleet.faults(worker).full.store(full, atomic::Ordering::Relaxed);
            }
        };
        set_full(true);
        let request = gateway::staged_request(node.caller_address, "queued", "2,1");
        let change = async {
            async_io::Timer::after(APPLY_TIME / 3).await;
            fleet.set_route_document(&limited_document(CONFIG_VERSION, "report"));
            async_io::Timer::after(APPLY_TIME).await;
            set_full(false);
        };
        let sent = gateway::send(node.caller_address, request);
        let ((status, _), ()) = future::join(sent, change).await;
        let runs = gateway::runs(&fleet, "queued");
        let pieces = fleet.records().into_iter().filter(|record| record.ran);
        let pieces: Vec<_> = pieces.map(|record| record.endpoint.to_string()).collect();
        assert!(all_at_home(&pieces), "{pieces:?}");
        assert_eq!((status, runs.len()), (503, 0), "planned anew, it runs at home");
    });
}
