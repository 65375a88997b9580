//! Requests that may run at most once, across processes that fail.

mod common;

use comfreyspread::transport::{failure, header, http_client};
use comfreyspread_lab::{caller, deployment, endpoints, types};
use comfreyspread_schema::{ids, types as wire};
use rustix::process::Signal;
use std::time;

type CallAnswer = Result<http_client::ClientAnswer, failure::CallFailure>;

const QUICK_STORE: [&str; 2] = ["--store-timeout-ms", "300"];
const SLOW_CALL: time::Duration = time::Duration::from_secs(2);
const UNDER_WAY: time::Duration = time::Duration::from_millis(600);
const PAST_DEADLINE: time::Duration = time::Duration::from_millis(7_000);
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(10);
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(200);

async fn start(nodes: usize) -> deployment::TestDeployment {
    common::deployment_with(common::sample(), nodes, &QUICK_STORE).await
}

async fn pause(length: time::Duration) {
    async_io::Timer::after(length).await;
}

async fn send(deployment: &deployment::TestDeployment, node: usize, key: &str) -> CallAnswer {
    let call = common::record_call(key);
    deployment.caller.call(deployment.nodes[node].caller_address, &call).await
}

/// Sends one call to each node at the same time.
async fn send_to_all(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
) -> Vec<CallAnswer> {
    let executor = async_executor::LocalExecutor::new();
    let spawn = |node: &deployment::NodeProcess| {
        executor.spawn(deployment.caller.call(node.caller_address, call))
    };
    let tasks: Vec<_> = deployment.nodes.iter().map(spawn).collect();
    executor
        .run(async {
            let mut answers = Vec::new();
            for task in tasks {
                answers.push(task.await);
            }
            answers
        })
        .await
}

/// Sends a call while something else happens to the deployment.
async fn send_during<Events>(
    deployment: &deployment::TestDeployment,
    key: &str,
    events: Events,
) -> CallAnswer
where
    Events: Future<Output = ()>,
{
    let events = async {
        pause(UNDER_WAY).await;
        events.await;
    };
    let call = Box::pin(send(deployment, 0, key));
    futures_lite::future::zip(call, Box::pin(events)).await.0
}

async fn runs(deployment: &deployment::TestDeployment, key: &str) -> u32 {
    let records = deployment.records().await.expect("records");
    endpoints::runs_by_key(&records).get(key).copied().unwrap_or(0)
}

async fn set_call_delay(deployment: &deployment::TestDeployment, delay: time::Duration) {
    let ledgers = deployment.declarations.endpoints.iter().filter(|entry| &*entry.pool == "ledger");
    for endpoint in ledgers {
        let faults = types::EndpointFaults { delay, ..common::no_faults(&endpoint.name) };
        deployment.set_endpoint_faults(&faults).await.expect("the endpoint takes its faults");
    }
}

async fn set_store(deployment: &deployment::TestDeployment, faults: types::StoreFaults) {
    deployment.set_store_faults(&faults).await.expect("the platform takes its faults");
}

fn store_down() -> types::StoreFaults {
    types::StoreFaults { down: true, ..types::StoreFaults::default() }
}

fn verdict(answer: &CallAnswer) -> &str {
    let answer = answer.as_ref().expect("a whole answer");
    answer.header(header::VERDICT).expect("a verdict")
}

/// Resends until the outcome is known, as a patient caller does.
async fn outcome(
    deployment: &deployment::TestDeployment,
    node: usize,
    key: &str,
) -> http_client::ClientAnswer {
    let deadline = time::Instant::now() + SETTLE_LIMIT;
    loop {
        let answer = send(deployment, node, key).await.expect("a whole answer");
        if answer.status() == 200 {
            return answer;
        }
        assert!(time::Instant::now() < deadline, "{key} has no outcome: {}", answer.status());
        pause(RESEND_PAUSE).await;
    }
}

/// Resends until the answer is this kind of problem.
async fn wait_for_problem(
    deployment: &deployment::TestDeployment,
    node: usize,
    key: &str,
    kind: &str,
) -> CallAnswer {
    let deadline = time::Instant::now() + SETTLE_LIMIT;
    loop {
        let answer = send(deployment, node, key).await;
        let body = answer.as_ref().expect("a whole answer").body();
        if String::from_utf8_lossy(body).contains(kind) {
            return answer;
        }
        assert!(time::Instant::now() < deadline, "{key} at {node}: {body:?}");
        pause(RESEND_PAUSE).await;
    }
}

async fn open_claims(deployment: &deployment::TestDeployment) -> Vec<ids::IdempotencyKey> {
    let node = deployment.nodes.last().expect("a node").caller_address;
    let answer = deployment.caller.get(node, "/operator/claims").await.expect("a list");
    let list: wire::ClaimList = serde_json::from_slice(answer.body()).expect("a claim list");
    list.claims.into_iter().map(|claim| claim.key).collect()
}

#[test]
fn racing_resends() {
    common::run(async {
        let deployment = start(3).await;
        for number in 0..20 {
            let key = format!("race-{number}");
            let answers = send_to_all(&deployment, &common::record_call(&key)).await;
            assert_eq!(runs(&deployment, &key).await, 1, "{key}");
            for answer in &answers {
                assert_ne!(verdict(answer), "not-run", "{key}");
            }
            let first = outcome(&deployment, 0, &key).await;
            let other = outcome(&deployment, 1, &key).await;
            assert_eq!(first.body(), other.body(), "{key}");
            assert_eq!(runs(&deployment, &key).await, 1, "{key}");
        }
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn grouped_claims() {
    common::run(async {
        let deployment = start(2).await;
        let delay = time::Duration::from_millis(20);
        set_store(&deployment, types::StoreFaults { delay, ..types::StoreFaults::default() }).await;
        let keys: Vec<_> = (0..40).map(|number| format!("group-{number}")).collect();
        let before = deployment.store_stats().await.expect("counts").writes;
        let executor = async_executor::LocalExecutor::new();
        let calls = keys.iter().flat_map(|key| [(key, 0), (key, 1)]);
        let tasks: Vec<_> = calls
            .map(|(key, node)| executor.spawn(Box::pin(send(&deployment, node, key))))
            .collect();
        let answers = async {
            for task in tasks {
                assert_ne!(verdict(&task.await), "not-run");
            }
        };
        Box::pin(executor.run(answers)).await;
        let transactions = deployment.store_stats().await.expect("counts").writes - before;
        assert!(transactions < 40, "{transactions} transactions for 40 claims");
        for key in &keys {
            assert_eq!(runs(&deployment, key).await, 1, "{key}");
            let first = outcome(&deployment, 0, key).await;
            assert_eq!(first.body(), outcome(&deployment, 1, key).await.body(), "{key}");
        }
    });
}

#[test]
fn other_body() {
    common::run(async {
        let deployment = start(2).await;
        assert_eq!(verdict(&send(&deployment, 0, "conflict").await), "ran");
        let mut call = common::record_call("conflict");
        call.body = r#"{"seller":"s-18","grams":12}"#.into();
        for node in &deployment.nodes {
            let answer = deployment.caller.call(node.caller_address, &call).await;
            assert_eq!(verdict(&answer), "not-run");
            assert_eq!(answer.expect("a whole answer").status(), 409);
        }
        assert_eq!(runs(&deployment, "conflict").await, 1);
    });
}

#[test]
fn lost_answers() {
    common::run(async {
        let deployment = start(2).await;
        let faults = types::StoreFaults { lose_answers: true, ..types::StoreFaults::default() };
        set_store(&deployment, faults).await;
        let first = send(&deployment, 0, "lost").await;
        assert_eq!(verdict(&first), "ran");
        let resend = send(&deployment, 1, "lost").await;
        assert_eq!(verdict(&resend), "ran");
        assert_eq!(first.expect("an answer").body(), resend.expect("an answer").body());
        assert_eq!(runs(&deployment, "lost").await, 1);
    });
}

#[test]
fn outage_refusal() {
    common::run(async {
        let deployment = start(2).await;
        set_store(&deployment, store_down()).await;
        let refused = send(&deployment, 0, "outage").await;
        assert_eq!(verdict(&refused), "not-run");
        assert_eq!(refused.expect("an answer").status(), 503);
        assert_eq!(runs(&deployment, "outage").await, 0);
        set_store(&deployment, types::StoreFaults::default()).await;
        outcome(&deployment, 1, "outage").await;
        assert_eq!(runs(&deployment, "outage").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn abandoned_insert() {
    common::run(async {
        let deployment = start(2).await;
        let slow = types::StoreFaults {
            delay: time::Duration::from_millis(400),
            lose_answers: true,
            ..types::StoreFaults::default()
        };
        set_store(&deployment, slow).await;
        let refused = send(&deployment, 0, "abandoned").await;
        assert_eq!(verdict(&refused), "not-run");
        set_store(&deployment, types::StoreFaults::default()).await;
        outcome(&deployment, 1, "abandoned").await;
        assert_eq!(runs(&deployment, "abandoned").await, 1);
    });
}

#[test]
fn outage_closing() {
    common::run(async {
        let deployment = start(2).await;
        set_call_delay(&deployment, SLOW_CALL).await;
        let down = set_store(&deployment, store_down());
        let first = send_during(&deployment, "closing", Box::pin(down)).await;
        assert_eq!(verdict(&first), "ran");
        let local = send(&deployment, 0, "closing").await;
        assert_eq!(verdict(&local), "ran");
        set_store(&deployment, types::StoreFaults::default()).await;
        let resend = outcome(&deployment, 1, "closing").await;
        assert_eq!(first.expect("an answer").body(), resend.body());
        assert_eq!(runs(&deployment, "closing").await, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn caller_gone() {
    common::run(async {
        let deployment = start(2).await;
        set_call_delay(&deployment, SLOW_CALL).await;
        let gone =
            futures_lite::future::or(async { send(&deployment, 0, "gone").await.ok() }, async {
                pause(UNDER_WAY).await;
                None
            });
        assert!(Box::pin(gone).await.is_none(), "the caller left early");
        let resend = send(&deployment, 1, "gone").await;
        assert_eq!(verdict(&resend), "may-have-run");
        outcome(&deployment, 1, "gone").await;
        assert_eq!(runs(&deployment, "gone").await, 1);
        let records = deployment.records().await.expect("records");
        assert!(records.records.iter().all(|record| record.finished), "the call was cut");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn frozen_holder() {
    common::run(async {
        let deployment = start(2).await;
        set_call_delay(&deployment, SLOW_CALL).await;
        let holder = &deployment.nodes[0].process;
        let freeze = async {
            holder.signal(Signal::STOP);
            let resend = send(&deployment, 1, "frozen").await;
            assert_eq!(verdict(&resend), "may-have-run");
            pause(SLOW_CALL * 2).await;
            holder.signal(Signal::CONT);
        };
        send_during(&deployment, "frozen", Box::pin(freeze)).await.ok();
        set_call_delay(&deployment, time::Duration::ZERO).await;
        let resend = send(&deployment, 1, "frozen").await;
        assert_ne!(verdict(&resend), "not-run");
        assert_eq!(runs(&deployment, "frozen").await, 1);
    });
}

#[test]
fn frozen_asking() {
    common::run(async {
        let deployment = start(2).await;
        let slow = types::StoreFaults {
            delay: UNDER_WAY + time::Duration::from_millis(200),
            ..types::StoreFaults::default()
        };
        set_store(&deployment, slow).await;
        let holder = &deployment.nodes[0].process;
        let freeze = async {
            holder.signal(Signal::STOP);
            pause(UNDER_WAY).await;
            set_store(&deployment, types::StoreFaults::default()).await;
            pause(PAST_DEADLINE).await;
            holder.signal(Signal::CONT);
        };
        let woken = send_during(&deployment, "asking", Box::pin(freeze)).await;
        assert_eq!(verdict(&woken), "not-run");
        assert_eq!(runs(&deployment, "asking").await, 0);
        outcome(&deployment, 1, "asking").await;
        assert_eq!(runs(&deployment, "asking").await, 1);
    });
}

#[test]
fn killed_holder() {
    common::run(async {
        let mut deployment = start(2).await;
        set_call_delay(&deployment, SLOW_CALL).await;
        let killed = async {
            deployment.nodes[0].process.signal(Signal::KILL);
        };
        assert!(send_during(&deployment, "killed", Box::pin(killed)).await.is_err());
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
        assert_eq!(runs(&deployment, "killed").await, 1);
    });
}

#[test]
fn draining_holder() {
    common::run(async {
        let mut deployment = start(2).await;
        set_call_delay(&deployment, SLOW_CALL).await;
        let process = &deployment.nodes[0].process;
        let stop = async {
            process.signal(Signal::TERM);
            set_store(&deployment, store_down()).await;
            pause(SLOW_CALL * 2).await;
            set_store(&deployment, types::StoreFaults::default()).await;
        };
        let first = send_during(&deployment, "drained", Box::pin(stop)).await;
        assert_eq!(verdict(&first), "ran");
        assert_eq!(deployment.nodes[0].process.wait(SETTLE_LIMIT).await, Some(0));
        let resend = send(&deployment, 1, "drained").await.expect("a whole answer");
        assert_eq!(resend.body(), first.expect("an answer").body());
        assert_eq!(runs(&deployment, "drained").await, 1);
    });
}
