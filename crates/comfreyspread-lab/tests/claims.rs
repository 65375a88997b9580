//! Requests that may run at most once, while nodes and the store fail.

mod common;

use comfreyspread::transport::{failure, header, http_client};
use comfreyspread_lab::{caller, deployment, endpoints, types};
use comfreyspread_schema::{ids, types as wire};
use rustix::process::Signal;
use std::time;

type CallResult = Result<http_client::ClientResponse, failure::CallFailure>;

const STORE_TIMEOUT_ARGUMENTS: [&str; 2] = ["--store-timeout-ms", "300"];
const SLOW_CALL_TIME: time::Duration = time::Duration::from_secs(2);
const EVENT_DELAY: time::Duration = time::Duration::from_millis(600);
const STALL_PAST_DEADLINE: time::Duration = time::Duration::from_millis(7_000);
const OUTCOME_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const RESEND_INTERVAL: time::Duration = time::Duration::from_millis(200);

async fn start_nodes(nodes: usize) -> deployment::TestDeployment {
    common::start_deployment(common::sample_declarations(), nodes, &STORE_TIMEOUT_ARGUMENTS).await
}

async fn sleep(duration: time::Duration) {
    async_io::Timer::after(duration).await;
}

async fn send(deployment: &deployment::TestDeployment, node: usize, key: &str) -> CallResult {
    let call = common::record_call(key);
    deployment.caller.call(deployment.nodes[node].caller_address, &call).await
}

/// Sends one call to each node concurrently.
async fn send_to_all(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
) -> Vec<CallResult> {
    let executor = async_executor::LocalExecutor::new();
    let spawn = |node: &deployment::NodeProcess| {
        executor.spawn(deployment.caller.call(node.caller_address, call))
    };
    let tasks: Vec<_> = deployment.nodes.iter().map(spawn).collect();
    executor
        .run(async {
            let mut responses = Vec::new();
            for task in tasks {
                responses.push(task.await);
            }
            responses
        })
        .await
}

/// Sends a call through the first node, and starts `events` while the call is in progress.
async fn send_during<Events>(
    deployment: &deployment::TestDeployment,
    key: &str,
    events: Events,
) -> CallResult
where
    Events: Future<Output = ()>,
{
    let events = async {
        sleep(EVENT_DELAY).await;
        events.await;
    };
    let call = Box::pin(send(deployment, 0, key));
    futures_lite::future::zip(call, Box::pin(events)).await.0
}

async fn run_count(deployment: &deployment::TestDeployment, key: &str) -> u32 {
    let records = deployment.records().await.expect("records");
    endpoints::runs_by_key(&records).get(key).copied().unwrap_or(0)
}

async fn set_call_delay(deployment: &deployment::TestDeployment, delay: time::Duration) {
    let ledger_endpoints =
        deployment.declarations.endpoints.iter().filter(|endpoint| &*endpoint.pool == "ledger");
    for endpoint in ledger_endpoints {
        let faults = types::EndpointFaults { delay, ..common::no_faults(&endpoint.name) };
        deployment.set_endpoint_faults(&faults).await.expect("the endpoint accepts the faults");
    }
}

async fn set_store_faults(deployment: &deployment::TestDeployment, faults: types::StoreFaults) {
    deployment.set_store_faults(&faults).await.expect("the platform accepts the faults");
}

fn store_down() -> types::StoreFaults {
    types::StoreFaults { down: true, ..types::StoreFaults::default() }
}

fn verdict(response: &CallResult) -> &str {
    let response = response.as_ref().expect("a complete response");
    response.header(header::VERDICT).expect("a verdict")
}

/// Resends a request until its outcome is known.
async fn wait_for_outcome(
    deployment: &deployment::TestDeployment,
    node: usize,
    key: &str,
) -> http_client::ClientResponse {
    let deadline = time::Instant::now() + OUTCOME_TIMEOUT;
    loop {
        let response = send(deployment, node, key).await.expect("a complete response");
        if response.status() == 200 {
            return response;
        }
        assert!(time::Instant::now() < deadline, "{key} has no outcome: {}", response.status());
        sleep(RESEND_INTERVAL).await;
    }
}

/// Resends a request until the response is this kind of problem.
async fn wait_for_problem(
    deployment: &deployment::TestDeployment,
    node: usize,
    key: &str,
    kind: &str,
) -> CallResult {
    let deadline = time::Instant::now() + OUTCOME_TIMEOUT;
    loop {
        let response = send(deployment, node, key).await;
        let body = response.as_ref().expect("a complete response").body();
        if String::from_utf8_lossy(body).contains(kind) {
            return response;
        }
        assert!(time::Instant::now() < deadline, "{key} at {node}: {body:?}");
        sleep(RESEND_INTERVAL).await;
    }
}

async fn open_claims(deployment: &deployment::TestDeployment) -> Vec<ids::IdempotencyKey> {
    let node = deployment.nodes.last().expect("a node").caller_address;
    let response = deployment.caller.get(node, "/operator/claims").await.expect("a list");
    let list: wire::ClaimList = serde_json::from_slice(response.body()).expect("a claim list");
    list.claims.into_iter().map(|claim| claim.key).collect()
}

#[test]
fn racing_resends() {
    common::run(async {
        let deployment = start_nodes(3).await;
        for number in 0..20 {
            let key = format!("race-{number}");
            let responses = send_to_all(&deployment, &common::record_call(&key)).await;
            assert_eq!(run_count(&deployment, &key).await, 1, "{key}");
            for response in &responses {
                assert_ne!(verdict(response), "not-run", "{key}");
            }
            let first = wait_for_outcome(&deployment, 0, &key).await;
            let other = wait_for_outcome(&deployment, 1, &key).await;
            assert_eq!(first.body(), other.body(), "{key}");
            assert_eq!(run_count(&deployment, &key).await, 1, "{key}");
        }
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn grouped_claims() {
    common::run(async {
        let deployment = start_nodes(2).await;
        let delay = time::Duration::from_millis(20);
        set_store_faults(
            &deployment,
            types::StoreFaults { delay, ..types::StoreFaults::default() },
        )
        .await;
        let keys: Vec<_> = (0..40).map(|number| format!("group-{number}")).collect();
        let writes_before = deployment.store_stats().await.expect("counts").writes;
        let executor = async_executor::LocalExecutor::new();
        let calls = keys.iter().flat_map(|key| [(key, 0), (key, 1)]);
        let tasks: Vec<_> = calls
            .map(|(key, node)| executor.spawn(Box::pin(send(&deployment, node, key))))
            .collect();
        let checks = async {
            for task in tasks {
                assert_ne!(verdict(&task.await), "not-run");
            }
        };
        Box::pin(executor.run(checks)).await;
        let transactions = deployment.store_stats().await.expect("counts").writes - writes_before;
        assert!(transactions < 40, "{transactions} transactions for 40 claims");
        for key in &keys {
            assert_eq!(run_count(&deployment, key).await, 1, "{key}");
            let first = wait_for_outcome(&deployment, 0, key).await;
            assert_eq!(first.body(), wait_for_outcome(&deployment, 1, key).await.body(), "{key}");
        }
    });
}

#[test]
fn changed_body() {
    common::run(async {
        let deployment = start_nodes(2).await;
        assert_eq!(verdict(&send(&deployment, 0, "conflict").await), "ran");
        let mut call = common::record_call("conflict");
        call.body = r#"{"seller":"s-18","grams":12}"#.into();
        for node in &deployment.nodes {
            let response = deployment.caller.call(node.caller_address, &call).await;
            assert_eq!(verdict(&response), "not-run");
            assert_eq!(response.expect("a complete response").status(), 409);
        }
        assert_eq!(run_count(&deployment, "conflict").await, 1);
    });
}

#[test]
fn lost_responses() {
    common::run(async {
        let deployment = start_nodes(2).await;
        let faults = types::StoreFaults { lose_answers: true, ..types::StoreFaults::default() };
        set_store_faults(&deployment, faults).await;
        let first = send(&deployment, 0, "lost").await;
        assert_eq!(verdict(&first), "ran");
        let resend = send(&deployment, 1, "lost").await;
        assert_eq!(verdict(&resend), "ran");
        assert_eq!(first.expect("a response").body(), resend.expect("a response").body());
        assert_eq!(run_count(&deployment, "lost").await, 1);
    });
}

#[test]
fn outage_rejection() {
    common::run(async {
        let deployment = start_nodes(2).await;
        set_store_faults(&deployment, store_down()).await;
        let rejected = send(&deployment, 0, "outage").await;
        assert_eq!(verdict(&rejected), "not-run");
        assert_eq!(rejected.expect("a response").status(), 503);
        assert_eq!(run_count(&deployment, "outage").await, 0);
        set_store_faults(&deployment, types::StoreFaults::default()).await;
        wait_for_outcome(&deployment, 1, "outage").await;
        assert_eq!(run_count(&deployment, "outage").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn abandoned_insert() {
    common::run(async {
        let deployment = start_nodes(2).await;
        let slow = types::StoreFaults {
            // Far above the store timeout, so that no read is answered; below the time to acquire.
            delay: time::Duration::from_millis(1500),
            lose_answers: true,
            ..types::StoreFaults::default()
        };
        set_store_faults(&deployment, slow).await;
        let rejected = send(&deployment, 0, "abandoned").await;
        assert_eq!(verdict(&rejected), "not-run");
        set_store_faults(&deployment, types::StoreFaults::default()).await;
        wait_for_outcome(&deployment, 1, "abandoned").await;
        assert_eq!(run_count(&deployment, "abandoned").await, 1);
    });
}

#[test]
fn outage_during_call() {
    common::run(async {
        let deployment = start_nodes(2).await;
        set_call_delay(&deployment, SLOW_CALL_TIME).await;
        let down = set_store_faults(&deployment, store_down());
        let first = send_during(&deployment, "closing", Box::pin(down)).await;
        assert_eq!(verdict(&first), "ran");
        let local = send(&deployment, 0, "closing").await;
        assert_eq!(verdict(&local), "ran");
        set_store_faults(&deployment, types::StoreFaults::default()).await;
        let resend = wait_for_outcome(&deployment, 1, "closing").await;
        assert_eq!(first.expect("a response").body(), resend.body());
        assert_eq!(run_count(&deployment, "closing").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn caller_disconnected() {
    common::run(async {
        let deployment = start_nodes(2).await;
        set_call_delay(&deployment, SLOW_CALL_TIME).await;
        let disconnect =
            futures_lite::future::or(async { send(&deployment, 0, "gone").await.ok() }, async {
                sleep(EVENT_DELAY).await;
                None
            });
        assert!(Box::pin(disconnect).await.is_none(), "the caller disconnected early");
        let resend = send(&deployment, 1, "gone").await;
        assert_eq!(verdict(&resend), "may-have-run");
        wait_for_outcome(&deployment, 1, "gone").await;
        assert_eq!(run_count(&deployment, "gone").await, 1);
        let records = deployment.records().await.expect("records");
        assert!(records.records.iter().all(|record| record.finished), "the call was interrupted");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn stalled_holder() {
    common::run(async {
        let deployment = start_nodes(2).await;
        set_call_delay(&deployment, SLOW_CALL_TIME).await;
        let holder = &deployment.nodes[0].process;
        let stall = async {
            holder.signal(Signal::STOP);
            let resend = send(&deployment, 1, "stalled").await;
            assert_eq!(verdict(&resend), "may-have-run");
            sleep(SLOW_CALL_TIME * 2).await;
            holder.signal(Signal::CONT);
        };
        send_during(&deployment, "stalled", Box::pin(stall)).await.ok();
        set_call_delay(&deployment, time::Duration::ZERO).await;
        let resend = send(&deployment, 1, "stalled").await;
        assert_ne!(verdict(&resend), "not-run");
        assert_eq!(run_count(&deployment, "stalled").await, 1);
    });
}

/// The node stalls while its claim is being written, and resumes after the call's deadline.
#[test]
fn stalled_claim() {
    common::run(async {
        let deployment = start_nodes(2).await;
        let slow = types::StoreFaults {
            delay: EVENT_DELAY + time::Duration::from_millis(200),
            ..types::StoreFaults::default()
        };
        set_store_faults(&deployment, slow).await;
        let process = &deployment.nodes[0].process;
        let stall = async {
            process.signal(Signal::STOP);
            sleep(EVENT_DELAY).await;
            set_store_faults(&deployment, types::StoreFaults::default()).await;
            sleep(STALL_PAST_DEADLINE).await;
            process.signal(Signal::CONT);
        };
        let first = send_during(&deployment, "pending", Box::pin(stall)).await;
        assert_eq!(verdict(&first), "not-run");
        assert_eq!(run_count(&deployment, "pending").await, 0);
        wait_for_outcome(&deployment, 1, "pending").await;
        assert_eq!(run_count(&deployment, "pending").await, 1);
    });
}

#[test]
fn killed_holder() {
    common::run(async {
        let mut deployment = start_nodes(2).await;
        set_call_delay(&deployment, SLOW_CALL_TIME).await;
        let kill = async {
            deployment.nodes[0].process.signal(Signal::KILL);
        };
        assert!(send_during(&deployment, "killed", Box::pin(kill)).await.is_err());
        for _ in 0..3 {
            let resend = send(&deployment, 1, "killed").await;
            assert_eq!(verdict(&resend), "may-have-run");
        }
        assert_eq!(open_claims(&deployment).await, ["killed".into()]);
        deployment.nodes[0].process.kill();
        deployment.restart_node(0).expect("the node starts");
        let address = deployment.nodes[0].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("the node becomes ready");
        for node in 0..2 {
            let resend = wait_for_problem(&deployment, node, "killed", "outcome-unknown").await;
            assert_eq!(verdict(&resend), "may-have-run");
        }
        assert_eq!(run_count(&deployment, "killed").await, 1);
    });
}

#[test]
fn draining_holder() {
    common::run(async {
        let mut deployment = start_nodes(2).await;
        set_call_delay(&deployment, SLOW_CALL_TIME).await;
        let process = &deployment.nodes[0].process;
        let stop = async {
            process.signal(Signal::TERM);
            set_store_faults(&deployment, store_down()).await;
            sleep(SLOW_CALL_TIME * 2).await;
            set_store_faults(&deployment, types::StoreFaults::default()).await;
        };
        let first = send_during(&deployment, "drained", Box::pin(stop)).await;
        assert_eq!(verdict(&first), "ran");
        assert_eq!(deployment.nodes[0].process.wait(OUTCOME_TIMEOUT).await, Some(0));
        let resend = send(&deployment, 1, "drained").await.expect("a complete response");
        assert_eq!(resend.body(), first.expect("a response").body());
        assert_eq!(run_count(&deployment, "drained").await, 1);
    });
}
