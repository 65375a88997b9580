//! Requests that crash each endpoint that runs them.

mod common;

use comfreyspread::transport::header;
use comfreyspread_lab::{caller, deployment, types};
use futures_util::future;
use std::time;

const POISON: &str = "bad-grain";
const SPREAD: time::Duration = time::Duration::from_secs(4);
const INNOCENT_CALLS: usize = 30;

async fn poison_ledger(deployment: &deployment::TestDeployment) {
    for endpoint in common::ledger_endpoints(deployment) {
        let faults = types::EndpointFaults {
            crash_on_text: Some(POISON.into()),
            ..common::no_faults(&endpoint)
        };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in answers");
    }
}

fn poisoned_call() -> caller::CallerRequest {
    caller::CallerRequest {
        body: format!("{{\"seller\":\"{POISON}\"}}").into(),
        ..common::read_call()
    }
}

/// Returns how many calls of the workspace that sends the poisoned request arrived.
async fn arrivals(deployment: &deployment::TestDeployment, workspace: &str) -> usize {
    let records = deployment.records().await.expect("records").records;
    records.iter().filter(|record| &*record.workspace == workspace).count()
}

#[test]
fn node_after_node() {
    common::run(async {
        let deployment = common::small_deployment(3).await;
        poison_ledger(&deployment).await;
        let mut call = poisoned_call();
        call.workspace = "medellin".into();
        let first = &deployment.nodes[0];
        let answer = deployment.caller.call(first.caller_address, &call).await.expect("an answer");
        assert_ne!(answer.status(), 200);
        async_io::Timer::after(SPREAD).await;
        for node in &deployment.nodes {
            let answer = deployment.caller.call(node.caller_address, &call).await;
            let answer = answer.expect("a whole answer");
            assert_eq!(answer.status(), 422, "{}", node.name);
            assert_eq!(answer.header(header::VERDICT), Some("not-run"));
        }
        let crashed = arrivals(&deployment, "medellin").await;
        assert!(crashed <= 2, "the request reached {crashed} endpoints");
    });
}

#[test]
fn innocents_served() {
    common::run(async {
        let deployment = common::small_deployment(1).await;
        let node = deployment.nodes[0].caller_address;
        poison_ledger(&deployment).await;
        let innocent = |number: usize| caller::CallerRequest {
            body: format!("{{\"seller\":\"s-{number}\"}}").into(),
            ..common::read_call()
        };
        let innocents: Vec<_> = (0..INNOCENT_CALLS).map(innocent).collect();
        let calls = innocents.iter().map(|call| deployment.caller.call(node, call));
        let mut poisoned = poisoned_call();
        poisoned.workspace = "medellin".into();
        let poisoned = deployment.caller.call(node, &poisoned);
        let (answers, poisoned) = future::join(future::join_all(calls), poisoned).await;
        assert_ne!(poisoned.expect("a whole answer").status(), 200);
        for answer in answers {
            assert_eq!(answer.expect("a whole answer").status(), 200);
        }
    });
}
