//! Endpoints that leave, according to the platform's VM list or to their own report.

mod common;

use comfreyspread_lab::{deployment, types};
use comfreyspread_schema::types as wire;
use futures_util::future;
use std::time;

const VM_POLL_ARGUMENTS: [&str; 2] = ["--vm-poll-ms", "500"];
const FLOODS: usize = 25;
const FLOOD_CALLS: usize = 40;
const CALL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum time until the endpoint receives its first call, once its owner is settled.
const FIRST_CALL_LIMIT: time::Duration = time::Duration::from_secs(5);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum time until an endpoint that leaves receives no new calls.
const LEAVE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Lists the VM of one endpoint, and returns the time by the stand-ins' clock.
async fn list_vm(
    deployment: &deployment::TestDeployment,
    endpoint: &wire::EndpointDeclaration,
    state: wire::VmState,
) -> time::Duration {
    let record = wire::VmRecord {
        address: endpoint.address,
        state,
        vm: endpoint.vm.clone(),
        zone: endpoint.zone.clone(),
    };
    deployment.set_vms(vec![record]).await.expect("listed");
    deployment.records().await.expect("records").now
}

/// Waits until an endpoint has received a call, so that it has work when it leaves.
async fn wait_for_call(
    deployment: &deployment::TestDeployment,
    endpoint: &wire::EndpointDeclaration,
) {
    let deadline = time::Instant::now() + FIRST_CALL_LIMIT;
    loop {
        let records = deployment.records().await.expect("records");
        if records.records.iter().any(|record| record.endpoint == endpoint.name) {
            return;
        }
        assert!(time::Instant::now() < deadline, "no call within {FIRST_CALL_LIMIT:?}");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Starts two nodes with slow ledger endpoints, and returns one of those endpoints.
async fn slow_ledger() -> (deployment::TestDeployment, wire::EndpointDeclaration) {
    let deployment =
        common::start_deployment(common::sample_declarations(), 2, &VM_POLL_ARGUMENTS).await;
    for endpoint in common::ledger_endpoints(&deployment) {
        let faults = types::EndpointFaults { delay: CALL_DELAY, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
    let mut endpoints = deployment.declarations.endpoints.iter();
    let leaving = endpoints.find(|endpoint| &*endpoint.pool == "ledger").expect("an endpoint");
    let leaving = leaving.clone();
    (deployment, leaving)
}

/// Floods the ledger and checks that the endpoint receives no calls later than `LEAVE_LIMIT` after
/// it leaves. `leave` returns the time at which it left.
async fn check_leaving(
    deployment: &deployment::TestDeployment,
    leaving: &wire::EndpointDeclaration,
    leave: impl Future<Output = time::Duration>,
) {
    let call = common::read_call();
    let floods = async {
        for _ in 0..FLOODS {
            common::flood(deployment, &call, FLOOD_CALLS).await;
        }
    };
    let (left_at, ()) = future::join(leave, floods).await;
    let records = deployment.records().await.expect("records");
    let endpoint_records = records.records.iter().filter(|record| record.endpoint == leaving.name);
    let last_arrival =
        endpoint_records.map(|record| record.arrived).max().expect("it received calls before");
    let after = last_arrival.saturating_sub(left_at);
    println!("last new call {after:?} after the endpoint was leaving");
    assert!(after <= LEAVE_LIMIT, "{after:?}");
    assert!(records.now > left_at + LEAVE_LIMIT, "the flood ended before the limit");
}

#[test]
fn vm_listed() {
    common::run(async {
        let (deployment, leaving) = slow_ledger().await;
        let leave = async {
            wait_for_call(&deployment, &leaving).await;
            let listed = list_vm(&deployment, &leaving, wire::VmState::Leaving).await;
            async_io::Timer::after(LEAVE_LIMIT / 2).await;
            list_vm(&deployment, &leaving, wire::VmState::Live).await;
            listed
        };
        Box::pin(check_leaving(&deployment, &leaving, leave)).await;
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn self_reported() {
    common::run(async {
        let (deployment, leaving) = slow_ledger().await;
        list_vm(&deployment, &leaving, wire::VmState::Live).await;
        let leave = async {
            wait_for_call(&deployment, &leaving).await;
            let reply = deployment.caller.post(leaving.address, "/leave", &()).await;
            reply.expect("the stand-in responds");
            deployment.records().await.expect("records").now
        };
        Box::pin(check_leaving(&deployment, &leaving, leave)).await;
        deployment.stop().await.expect("a graceful stop");
    });
}
