//! Endpoints on VMs that leave by the platform's list.

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
    deployment.list_vms(vec![record]).await.expect("listed");
    deployment.records().await.expect("records").now
}

#[test]
fn no_new_work() {
    common::run(async {
        let deployment = common::deployment_with(common::sample(), 2, &TIMES).await;
        for endpoint in common::ledger_endpoints(&deployment) {
            let faults =
                types::EndpointFaults { delay: CALL_DELAY, ..common::no_faults(&endpoint) };
            deployment.set_endpoint_faults(&faults).await.expect("the stand-in answers");
        }
        let mut ledger = deployment.declarations.endpoints.iter();
        let leaving = ledger.find(|endpoint| &*endpoint.pool == "ledger").expect("an endpoint");
        let call = common::read_call();
        let leave = async {
            async_io::Timer::after(LEAVES_AFTER).await;
            let listed = list_vm(&deployment, leaving, wire::VmState::Leaving).await;
            async_io::Timer::after(LEAVE_LIMIT / 2).await;
            list_vm(&deployment, leaving, wire::VmState::Live).await;
            listed
        };
        let floods = async {
            for _ in 0..FLOODS {
                common::flood(&deployment, &call, FLOOD_CALLS).await;
            }
        };
        let (listed, ()) = future::join(leave, floods).await;
        let records = deployment.records().await.expect("records");
        let own = records.records.iter().filter(|record| record.endpoint == leaving.name);
        let last = own.map(|record| record.arrived).max().expect("it had work before");
        let after = last.saturating_sub(listed);
        println!("last new call {after:?} after the VM was listed as leaving");
        assert!(after <= LEAVE_LIMIT, "{after:?}");
        assert!(records.now > listed + LEAVE_LIMIT, "the flood went on after the limit");
        deployment.stop().await.expect("a graceful stop");
    });
}
