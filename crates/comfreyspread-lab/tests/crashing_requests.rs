//! Requests that crash every endpoint that runs them.

mod common;

use comfreyspread::transport::header;
use comfreyspread_lab::{caller, deployment, types};
use futures_util::future;
use std::time;

const POISON_TEXT: &str = "bad-grain";
const SUSPECT_EXCHANGE_TIME: time::Duration = time::Duration::from_secs(4);
const VALID_CALLS: usize = 30;

async fn set_crash_faults(deployment: &deployment::TestDeployment) {
    for endpoint in common::ledger_endpoints(deployment) {
        let faults = types::EndpointFaults {
            crash_on_text: Some(POISON_TEXT.into()),
            ..common::no_faults(&endpoint)
        };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
}

fn poisoned_call() -> caller::CallerRequest {
    caller::CallerRequest {
        body: format!("{{\"seller\":\"{POISON_TEXT}\"}}").into(),
        ..common::read_call()
    }
}

/// Returns how many calls of a workspace arrived at endpoints.
async fn arrivals(deployment: &deployment::TestDeployment, workspace: &str) -> usize {
    let records = deployment.records().await.expect("records").records;
    records.iter().filter(|record| &*record.workspace == workspace).count()
}

#[test]
fn all_nodes_reject() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        set_crash_faults(&deployment).await;
        let mut call = poisoned_call();
        call.workspace = "medellin".into();
        let first = &deployment.nodes[0];
        let response =
            deployment.caller.call(first.caller_address, &call).await.expect("a response");
        assert_ne!(response.status(), 200);
        async_io::Timer::after(SUSPECT_EXCHANGE_TIME).await;
        for node in &deployment.nodes {
            let response = deployment.caller.call(node.caller_address, &call).await;
            let response = response.expect("a complete response");
            assert_eq!(response.status(), 422, "{}", node.name);
            assert_eq!(response.header(header::VERDICT), Some("not-run"));
        }
        let attempts = arrivals(&deployment, "medellin").await;
        assert!(attempts <= 2, "the request reached {attempts} endpoints");
    });
}

#[test]
fn valid_calls_served() {
    common::run(async {
        let deployment = common::sample_deployment(1).await;
        let node = deployment.nodes[0].caller_address;
        set_crash_faults(&deployment).await;
        let valid = |number: usize| caller::CallerRequest {
            body: format!("{{\"seller\":\"s-{number}\"}}").into(),
            ..common::read_call()
        };
        let valid_calls: Vec<_> = (0..VALID_CALLS).map(valid).collect();
        let calls = valid_calls.iter().map(|call| deployment.caller.call(node, call));
        let mut poisoned = poisoned_call();
        poisoned.workspace = "medellin".into();
        let poisoned = deployment.caller.call(node, &poisoned);
        let (responses, poisoned) = future::join(future::join_all(calls), poisoned).await;
        assert_ne!(poisoned.expect("a complete response").status(), 200);
        for response in responses {
            assert_eq!(response.expect("a complete response").status(), 200);
        }
    });
}
