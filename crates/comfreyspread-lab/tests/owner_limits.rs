//! Limits of endpoints over several nodes, while their owners are killed, leave or stand still.

mod common;

use comfreyspread_lab::{caller, deployment};
use comfreyspread_schema::types as wire;
use futures_util::future;
use rustix::process::Signal;
use std::time;

const NODES: usize = 3;
const TIMES: [&str; 6] = ["--heartbeat-ms", "250", "--suspect-ms", "750", "--lapse-ms", "1500"];
const NEVER_WARM_CALLS: u32 = 100_000;
const CALLERS_PER_NODE: usize = 16;
const LOAD_TIME: time::Duration = time::Duration::from_secs(6);
const FAULT_AFTER: time::Duration = time::Duration::from_secs(1);
const FROZEN_TIME: time::Duration = time::Duration::from_secs(3);
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(50);

/// Starts three nodes before endpoints that stay cold, and waits until each has an owner.
async fn cold_deployment() -> deployment::TestDeployment {
    let mut declarations = common::sample();
    for pool in &mut declarations.pools {
        pool.calls_until_warm = NEVER_WARM_CALLS;
    }
    let deployment = common::deployment_with(declarations, NODES, &TIMES).await;
    let deadline = time::Instant::now() + SETTLE_LIMIT;
    while owned_endpoints(&deployment).await < deployment.declarations.endpoints.len() {
        assert!(time::Instant::now() < deadline, "the owners did not settle");
        async_io::Timer::after(POLL).await;
    }
    deployment
}

async fn owned_endpoints(deployment: &deployment::TestDeployment) -> usize {
    let mut owned = 0;
    for node in &deployment.nodes {
        let answer = deployment.caller.get(node.caller_address, "/operator/dump").await;
        let answer = answer.expect("a dump");
        let dump: wire::NodeDump = serde_json::from_slice(answer.body()).expect("a valid dump");
        let states = dump.endpoints.iter();
        owned += states.filter(|state| state.ownership == wire::OwnershipPhase::Owned).count();
    }
    owned
}

/// Calls through all nodes until the time is over; returns how many calls were served.
async fn load(deployment: &deployment::TestDeployment) -> usize {
    let end = time::Instant::now() + LOAD_TIME;
    let call = common::read_call();
    let callers = (0..NODES * CALLERS_PER_NODE).map(|index| {
        let call = caller::CallerRequest { ..call.clone() };
        async move {
            let node = deployment.nodes[index % NODES].caller_address;
            let mut served = 0;
            while time::Instant::now() < end {
                let answer = common::summary(deployment.caller.call(node, &call).await);
                served += usize::from(answer.status == 200);
                if answer.status != 200 {
                    async_io::Timer::after(POLL).await;
                }
            }
            served
        }
    });
    future::join_all(callers).await.into_iter().sum()
}

/// Runs the load with a fault and checks what the endpoints recorded.
async fn check(deployment: &deployment::TestDeployment, fault: impl Future<Output = ()>) {
    let (served, ()) = future::join(load(deployment), fault).await;
    let records = deployment.records().await.expect("records");
    let over = records.records.iter().filter(|record| record.calls_over_limit > 0).count();
    println!("served {served}, arrivals beyond the limit {over} of {}", records.records.len());
    assert!(served > 0);
    assert_eq!(over, 0);
}

#[test]
fn flood_by_all() {
    common::run(async {
        let deployment = cold_deployment().await;
        check(&deployment, async {}).await;
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn owner_killed() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_AFTER).await;
            deployment.nodes[0].process.signal(Signal::KILL);
        };
        check(&deployment, fault).await;
    });
}

#[test]
fn owner_leaves() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_AFTER).await;
            deployment.nodes[0].process.signal(Signal::TERM);
        };
        check(&deployment, fault).await;
    });
}

#[test]
fn owner_frozen() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_AFTER).await;
            deployment.nodes[0].process.signal(Signal::STOP);
            async_io::Timer::after(FROZEN_TIME).await;
            deployment.nodes[0].process.signal(Signal::CONT);
        };
        check(&deployment, fault).await;
    });
}
