//! Endpoint concurrency limits across several nodes while an owner is killed, leaves or stalls.

mod common;

use comfreyspread_lab::{caller, deployment};
use comfreyspread_schema::types as wire;
use futures_util::future;
use rustix::process::Signal;
use std::time;

const NODES: usize = 3;
const TIMING_ARGUMENTS: [&str; 6] =
    ["--heartbeat-ms", "250", "--suspect-ms", "750", "--lapse-ms", "1500"];
/// More calls than the load sends, so that the endpoints stay cold.
const CALLS_UNTIL_WARM: u32 = 100_000;
const CALLERS_PER_NODE: usize = 16;
const LOAD_TIME: time::Duration = time::Duration::from_secs(6);
const FAULT_DELAY: time::Duration = time::Duration::from_secs(1);
const STALL_TIME: time::Duration = time::Duration::from_secs(3);
const OWNERSHIP_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Starts three nodes with endpoints that stay cold, and waits until each endpoint has an owner.
async fn cold_deployment() -> deployment::TestDeployment {
    let mut declarations = common::sample_declarations();
    for pool in &mut declarations.pools {
        pool.calls_until_warm = CALLS_UNTIL_WARM;
    }
    let deployment = common::start_deployment(declarations, NODES, &TIMING_ARGUMENTS).await;
    let deadline = time::Instant::now() + OWNERSHIP_TIMEOUT;
    while owned_endpoints(&deployment).await < deployment.declarations.endpoints.len() {
        assert!(time::Instant::now() < deadline, "some endpoints have no owner");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
    deployment
}

async fn owned_endpoints(deployment: &deployment::TestDeployment) -> usize {
    let mut owned = 0;
    for node in &deployment.nodes {
        let response = deployment.caller.get(node.caller_address, "/operator/dump").await;
        let response = response.expect("a dump");
        let dump: wire::NodeDump = serde_json::from_slice(response.body()).expect("a valid dump");
        let states = dump.endpoints.iter();
        owned += states.filter(|state| state.ownership == wire::OwnershipPhase::Owned).count();
    }
    owned
}

/// Sends calls through all nodes for `LOAD_TIME` and returns how many succeeded.
async fn run_load(deployment: &deployment::TestDeployment) -> usize {
    let deadline = time::Instant::now() + LOAD_TIME;
    let call = common::read_call();
    let callers = (0..NODES * CALLERS_PER_NODE).map(|index| {
        let call = caller::CallerRequest { ..call.clone() };
        async move {
            let node = deployment.nodes[index % NODES].caller_address;
            let mut served = 0;
            while time::Instant::now() < deadline {
                let response = common::summarize(deployment.caller.call(node, &call).await);
                served += usize::from(response.status == 200);
                if response.status != 200 {
                    async_io::Timer::after(POLL_INTERVAL).await;
                }
            }
            served
        }
    });
    future::join_all(callers).await.into_iter().sum()
}

/// Runs the load with a fault and checks that no endpoint exceeded its limit.
async fn check_limits(deployment: &deployment::TestDeployment, fault: impl Future<Output = ()>) {
    let (served, ()) = future::join(run_load(deployment), fault).await;
    let records = deployment.records().await.expect("records");
    let over_limit = records.records.iter().filter(|record| record.calls_over_limit > 0).count();
    println!(
        "served {served}, arrivals beyond the limit {over_limit} of {}",
        records.records.len()
    );
    assert!(served > 0);
    assert_eq!(over_limit, 0);
}

#[test]
fn flood_all_nodes() {
    common::run(async {
        let deployment = cold_deployment().await;
        check_limits(&deployment, async {}).await;
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn owner_killed() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_DELAY).await;
            deployment.nodes[0].process.signal(Signal::KILL);
        };
        check_limits(&deployment, fault).await;
    });
}

#[test]
fn owner_leaves() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_DELAY).await;
            deployment.nodes[0].process.signal(Signal::TERM);
        };
        check_limits(&deployment, fault).await;
    });
}

#[test]
fn owner_frozen() {
    common::run(async {
        let deployment = cold_deployment().await;
        let fault = async {
            async_io::Timer::after(FAULT_DELAY).await;
            deployment.nodes[0].process.signal(Signal::STOP);
            async_io::Timer::after(STALL_TIME).await;
            deployment.nodes[0].process.signal(Signal::CONT);
        };
        check_limits(&deployment, fault).await;
    });
}
