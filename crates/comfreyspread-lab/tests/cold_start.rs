//! Concurrency limits of endpoints in cold start under a flood of calls.

mod common;

use comfreyspread_lab::{deployment, types};
use futures_util::future;
use std::time;

const FLOOD_CALLS: usize = 120;
const WARM_AFTER_CALLS: u32 = 100;
const RESTART_DELAY: time::Duration = time::Duration::from_millis(100);

#[test]
fn flood_bounded() {
    common::run(async {
        let deployment = common::sample_deployment(1).await;
        let responses = common::flood(&deployment, &common::pipeline_call(), FLOOD_CALLS).await;
        let records = deployment.records().await.expect("records");
        assert_eq!(common::max_overshoot(&records), 0);
        assert!(records.records.iter().any(|record| record.cold), "no endpoint was cold");
        let served = responses.iter().filter(|response| response.status == 200).count();
        assert!(served > FLOOD_CALLS / 2, "served {served}");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn cold_restart() {
    common::run(async {
        let mut declarations = common::sample_declarations();
        for pool in &mut declarations.pools {
            pool.calls_until_warm = WARM_AFTER_CALLS;
        }
        let deployment = common::start_deployment(declarations, 1, &[]).await;
        let call = common::read_call();
        while !all_warm(&deployment).await {
            common::flood(&deployment, &call, FLOOD_CALLS).await;
        }
        assert_eq!(common::max_overshoot(&deployment.records().await.expect("records")), 0);
        let restart = async {
            async_io::Timer::after(RESTART_DELAY).await;
            restart_ledger_cold(&deployment).await;
        };
        future::join(common::flood(&deployment, &call, FLOOD_CALLS * 5), restart).await;
        let records = deployment.records().await.expect("records");
        check_overshoot(&deployment, &records);
        deployment.stop().await.expect("a graceful stop");
    });
}

/// Checks how many calls arrived beyond an endpoint's cold limit. All of them are sent before the
/// first response with the new start id: at most the warm limit of calls in flight, and as many
/// again in place of those whose responses were in transit.
fn check_overshoot(deployment: &deployment::TestDeployment, records: &types::CallRecords) {
    let pool = deployment.declarations.pools.iter().find(|pool| &*pool.name == "ledger");
    let pool = pool.expect("the pool is declared");
    for endpoint in common::ledger_endpoints(deployment) {
        let endpoint_records = records.records.iter().filter(|record| record.endpoint == endpoint);
        let over_limit: Vec<_> =
            endpoint_records.filter(|record| record.calls_over_limit > 0).collect();
        let window = over_limit.last().map(|last| last.arrived - over_limit[0].arrived);
        println!("{endpoint}: {} arrivals beyond the limit within {window:?}", over_limit.len());
        assert!(
            over_limit.len() <= 2 * pool.warm_limit as usize,
            "{endpoint}: {}",
            over_limit.len()
        );
    }
}

async fn all_warm(deployment: &deployment::TestDeployment) -> bool {
    let records = deployment.records().await.expect("records");
    common::ledger_endpoints(deployment).all(|endpoint| {
        let mut endpoint_records =
            records.records.iter().filter(|record| record.endpoint == endpoint);
        endpoint_records.next_back().is_some_and(|record| !record.cold)
    })
}

async fn restart_ledger_cold(deployment: &deployment::TestDeployment) {
    for endpoint in common::ledger_endpoints(deployment) {
        let faults = types::EndpointFaults { turn_cold: true, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
}
