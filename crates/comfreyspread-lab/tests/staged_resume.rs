//! Streams whose request has stages, and whose endpoint breaks off or falls silent.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use std::sync::atomic;

/// Events of the sample's streams.
const EVENTS: usize = 6;

fn engine_runs(fleet: &fleet::FleetStandIn, id: &str) -> Vec<fleet::RequestRecord> {
    let runs = gateway::runs(fleet, id).into_iter();
    runs.filter(|run| run.endpoint.starts_with("engine")).collect()
}

/// A broken stream was sent on without the results of its stages, which had been released at its
/// first event; every endpoint rejected it, and the caller's stream was cut.
#[test]
fn results_made_again() {
    gateway::with_fleet(async |fleet| {
        fleet.set_route_document(&gateway::resumable_document());
        for engine in ["engine-1", "engine-2"] {
            fleet.faults(engine).cut_after.store(2, atomic::Ordering::Relaxed);
        }
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = gateway::staged_request(node.caller_address, "broken", "2,1");
        let (status, body) = gateway::send(node.caller_address, request).await;
        assert_eq!(status, 200);
        assert_eq!(body.matches("data: e").count(), EVENTS, "{body}");
        let runs = engine_runs(&fleet, "broken");
        assert_eq!(runs.len(), 2);
        assert!(runs.iter().all(|run| run.headers.contains_key("inputs")));
    });
}
