//! Requests that may run at most once, while the store comes back from a copy some seconds old.

mod common;

use comfreyspread::transport::{failure, header, http_client};
use comfreyspread_lab::{deployment, endpoints, types};
use std::time;

type CallResult = Result<http_client::ClientResponse, failure::CallFailure>;

const STORE_TIMEOUT_ARGUMENTS: [&str; 2] = ["--store-timeout-ms", "300"];
const SLOW_CALL_TIME: time::Duration = time::Duration::from_secs(2);
const EVENT_DELAY: time::Duration = time::Duration::from_millis(600);

async fn start_nodes(nodes: usize) -> deployment::TestDeployment {
    common::start_deployment(common::sample_declarations(), nodes, &STORE_TIMEOUT_ARGUMENTS).await
}

async fn send(deployment: &deployment::TestDeployment, node: usize, key: &str) -> CallResult {
    let call = common::record_call(key);
    deployment.caller.call(deployment.nodes[node].caller_address, &call).await
}

async fn run_count(deployment: &deployment::TestDeployment, key: &str) -> u32 {
    let records = deployment.records().await.expect("records");
    endpoints::runs_by_key(&records).get(key).copied().unwrap_or(0)
}

async fn keep_copy(deployment: &deployment::TestDeployment) {
    let faults = types::StoreFaults { keeps_copy: true, ..types::StoreFaults::default() };
    deployment.set_store_faults(&faults).await.expect("the platform accepts the faults");
}

async fn restore(deployment: &deployment::TestDeployment) {
    let faults = types::StoreFaults { restores: true, ..types::StoreFaults::default() };
    deployment.set_store_faults(&faults).await.expect("the platform accepts the faults");
}

fn verdict(response: &CallResult) -> &str {
    let response = response.as_ref().expect("a complete response");
    response.header(header::VERDICT).expect("a verdict")
}

/// A claim that the copy lacks must not let its request run again, whichever node gets the resend.
#[test]
fn lost_claim() {
    common::run(async {
        let deployment = start_nodes(2).await;
        assert_eq!(verdict(&send(&deployment, 0, "kept").await), "ran");
        keep_copy(&deployment).await;
        assert_eq!(verdict(&send(&deployment, 0, "lost").await), "ran");
        restore(&deployment).await;
        for node in [1, 0, 1] {
            let resend = send(&deployment, node, "lost").await;
            assert_eq!(run_count(&deployment, "lost").await, 1, "resent to node {node}");
            assert_eq!(verdict(&resend), "not-run");
            assert_eq!(resend.expect("a response").status(), 503);
        }
        assert_eq!(verdict(&send(&deployment, 1, "kept").await), "ran");
        assert_eq!(run_count(&deployment, "kept").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

/// A request that runs while the store comes back must run once, and its outcome must be stored
/// although the version of its row is gone.
#[test]
fn claim_in_progress() {
    common::run(async {
        let deployment = start_nodes(2).await;
        for endpoint in deployment.declarations.endpoints.iter() {
            if &*endpoint.pool == "ledger" {
                let none = common::no_faults(&endpoint.name);
                let slow = types::EndpointFaults { delay: SLOW_CALL_TIME, ..none };
                deployment.set_endpoint_faults(&slow).await.expect("faults");
            }
        }
        keep_copy(&deployment).await;
        let events = async {
            async_io::Timer::after(EVENT_DELAY).await;
            restore(&deployment).await;
            assert_eq!(verdict(&send(&deployment, 1, "running").await), "not-run");
        };
        let call = Box::pin(send(&deployment, 0, "running"));
        let (first, ()) = futures_lite::future::zip(call, Box::pin(events)).await;
        assert_eq!(verdict(&first), "ran");
        let resend = send(&deployment, 1, "running").await;
        assert_eq!(verdict(&resend), "ran");
        assert_eq!(first.expect("a response").body(), resend.expect("a response").body());
        assert_eq!(run_count(&deployment, "running").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}
