//! Endpoints in cold start under a flood of calls.

mod common;

use comfreyspread_lab::{deployment, types};
use futures_util::future;
use std::time;

const FLOOD_CALLS: usize = 120;
const WARM_AFTER_CALLS: u32 = 100;
const TURN_DELAY: time::Duration = time::Duration::from_millis(100);

#[test]
fn flood_bounded() {
    common::run(async {
        let deployment = common::small_deployment(1).await;
        let answers = common::flood(&deployment, &common::pipeline_call(), FLOOD_CALLS).await;
        let records = deployment.records().await.expect("records");
        assert_eq!(common::most_overshoot(&records), 0);
        assert!(records.records.iter().any(|record| record.cold), "no endpoint was cold");
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(served > FLOOD_CALLS / 2, "served {served}");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn cold_again() {
    common::run(async {
        let mut declarations = common::sample();
        for pool in &mut declarations.pools {
            pool.calls_until_warm = WARM_AFTER_CALLS;
        }
        let deployment = common::deployment_with(declarations, 1, &[]).await;
        let call = common::read_call();
        while !all_warm(&deployment).await {
            common::flood(&deployment, &call, FLOOD_CALLS).await;
        }
        assert_eq!(common::most_overshoot(&deployment.records().await.expect("records")), 0);
        let turn = async {
            async_io::Timer::after(TURN_DELAY).await;
            turn_ledger_cold(&deployment).await;
        };
        future::join(common::flood(&deployment, &call, FLOOD_CALLS * 5), turn).await;
        let records = deployment.records().await.expect("records");
        check_overshoot(&deployment, &records);
        deployment.stop().await.expect("a graceful stop");
    });
}

/// Calls that arrive beyond the limit are those sent before the first answer with the new start
/// id: at most the warm limit in flight, and as many again for answers then on their way.
fn check_overshoot(deployment: &deployment::TestDeployment, records: &types::CallRecords) {
    let pool = deployment.declarations.pools.iter().find(|pool| &*pool.name == "ledger");
    let pool = pool.expect("the pool is declared");
    for endpoint in common::ledger_endpoints(deployment) {
        let own = records.records.iter().filter(|record| record.endpoint == endpoint);
        let over: Vec<_> = own.filter(|record| record.calls_over_limit > 0).collect();
        let window = over.last().map(|last| last.arrived - over[0].arrived);
        println!("{endpoint}: {} arrivals beyond the limit within {window:?}", over.len());
        assert!(over.len() <= 2 * pool.warm_limit as usize, "{endpoint}: {}", over.len());
    }
}

async fn all_warm(deployment: &deployment::TestDeployment) -> bool {
    let records = deployment.records().await.expect("records");
    common::ledger_endpoints(deployment).all(|endpoint| {
        let mut own = records.records.iter().filter(|record| record.endpoint == endpoint);
        own.next_back().is_some_and(|record| !record.cold)
    })
}

async fn turn_ledger_cold(deployment: &deployment::TestDeployment) {
    for endpoint in common::ledger_endpoints(deployment) {
        let faults = types::EndpointFaults { turn_cold: true, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in answers");
    }
}
