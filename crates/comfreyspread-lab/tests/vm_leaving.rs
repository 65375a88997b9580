//! Endpoints that leave, by the platform's list and by their own word.

mod common;

use comfreyspread_lab::{deployment, types};
use comfreyspread_schema::types as wire;
use futures_util::future;
use std::time;

const TIMES: [&str; 2] = ["--vm-poll-ms", "500"];
const FLOODS: usize = 25;
const FLOOD_CALLS: usize = 40;
const CALL_DELAY: time::Duration = time::Duration::from_millis(50);
const LEAVES_AFTER: time::Duration = time::Duration::from_millis(300);
/// Time after which an endpoint that is listed as leaving gets no new work.
const LEAVE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Lists the VM of one endpoint, and returns the moment by the stand-ins' clock.
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

/// Starts two nodes before a ledger whose calls take long, and returns one of its endpoints.
async fn slow_ledger() -> (deployment::TestDeployment, wire::EndpointDeclaration) {
    let deployment = common::deployment_with(common::sample(), 2, &TIMES).await;
    for endpoint in common::ledger_endpoints(&deployment) {
        let faults = types::EndpointFaults { delay: CALL_DELAY, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in answers");
    }
    let mut endpoints = deployment.declarations.endpoints.iter();
    let leaving = endpoints.find(|endpoint| &*endpoint.pool == "ledger").expect("an endpoint");
    let leaving = leaving.clone();
    (deployment, leaving)
}

/// Floods the ledger while `leave` says when the endpoint left, and checks what it got since.
async fn check(
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
    let (left, ()) = future::join(leave, floods).await;
    let records = deployment.records().await.expect("records");
    let own = records.records.iter().filter(|record| record.endpoint == leaving.name);
    let last = own.map(|record| record.arrived).max().expect("it had work before");
    let after = last.saturating_sub(left);
    println!("last new call {after:?} after the endpoint was leaving");
    assert!(after <= LEAVE_LIMIT, "{after:?}");
    assert!(records.now > left + LEAVE_LIMIT, "the flood went on after the limit");
}

#[test]
fn by_list() {
    common::run(async {
        let (deployment, leaving) = slow_ledger().await;
        let leave = async {
            async_io::Timer::after(LEAVES_AFTER).await;
            let listed = list_vm(&deployment, &leaving, wire::VmState::Leaving).await;
            async_io::Timer::after(LEAVE_LIMIT / 2).await;
            list_vm(&deployment, &leaving, wire::VmState::Live).await;
            listed
        };
        Box::pin(check(&deployment, &leaving, leave)).await;
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn by_own_word() {
    common::run(async {
        let (deployment, leaving) = slow_ledger().await;
        list_vm(&deployment, &leaving, wire::VmState::Live).await;
        let leave = async {
            async_io::Timer::after(LEAVES_AFTER).await;
            let told = deployment.caller.post(leaving.address, "/leave", &()).await;
            told.expect("the stand-in answers");
            deployment.records().await.expect("records").now
        };
        Box::pin(check(&deployment, &leaving, leave)).await;
        deployment.stop().await.expect("a graceful stop");
    });
}
