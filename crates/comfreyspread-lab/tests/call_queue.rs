//! Call queues of an endpoint owner under bursts, floods and while a zone is taken out of service.

mod common;

use comfreyspread_lab::{caller, deployment, types};
use comfreyspread_schema::types as wire;
use futures_util::future;
use std::time;

const BURST_CALLS: usize = 200;
const SMALL_CALLS: usize = 10;
const CALL_DELAY: time::Duration = time::Duration::from_millis(50);
const QUEUE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
const LONG_QUEUE_TIMEOUT: time::Duration = time::Duration::from_millis(1200);
const FLOOD_HEAD_START: time::Duration = time::Duration::from_millis(100);
/// Maximum time until a configuration change is in force at all nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Starts one node with slow ledger endpoints, and sets the queue timeout of all pools.
async fn slow_ledger(queue_timeout: time::Duration) -> deployment::TestDeployment {
    let mut declarations = common::sample_declarations();
    for pool in &mut declarations.pools {
        pool.queue_timeout = queue_timeout;
    }
    let deployment = common::start_deployment(declarations, 1, &[]).await;
    for endpoint in common::ledger_endpoints(&deployment) {
        let faults = types::EndpointFaults { delay: CALL_DELAY, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
    deployment
}

#[test]
fn burst_rejected() {
    common::run(async {
        let deployment = slow_ledger(QUEUE_TIMEOUT).await;
        let responses = common::flood(&deployment, &common::read_call(), BURST_CALLS).await;
        let records = deployment.records().await.expect("records");
        let rejected: Vec<_> = responses.iter().filter(|response| response.status != 200).collect();
        assert!(!rejected.is_empty(), "the burst did not exceed the queue");
        for response in rejected {
            assert_eq!(response.verdict.as_deref(), Some("not-run"), "{response:?}");
            assert!(response.retry_after.is_some(), "{response:?}");
            let arrived =
                |record: &&types::CallRecord| Some(&*record.request) == response.request.as_deref();
            assert_eq!(
                records.records.iter().find(arrived),
                None,
                "a call reported as not run has run"
            );
        }
        assert_eq!(common::max_overshoot(&records), 0);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn workspace_fairness() {
    common::run(async {
        let deployment = slow_ledger(LONG_QUEUE_TIMEOUT).await;
        let small = common::read_call();
        let large = caller::CallerRequest { workspace: "medellin".into(), ..small.clone() };
        let flood = async {
            common::flood(&deployment, &large, BURST_CALLS).await;
        };
        let trickle = async {
            async_io::Timer::after(FLOOD_HEAD_START).await;
            let started = time::Instant::now();
            let responses = common::flood(&deployment, &small, SMALL_CALLS).await;
            (responses, started.elapsed())
        };
        let ((), (responses, elapsed)) = future::join(flood, trickle).await;
        let served = responses.iter().filter(|response| response.status == 200).count();
        println!("small workspace: {served} of {SMALL_CALLS} served within {elapsed:?}");
        assert_eq!(served, SMALL_CALLS);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn zone_out() {
    common::run(async {
        let deployment = slow_ledger(QUEUE_TIMEOUT).await;
        let zone = deployment.declarations.zones[0].name.clone();
        let call = common::read_call();
        let take_out = async {
            async_io::Timer::after(FLOOD_HEAD_START).await;
            deployment.write_configuration(2, std::slice::from_ref(&zone)).await.expect("accepted");
            deployment.records().await.expect("records").now
        };
        let floods = async {
            for _ in 0..6 {
                common::flood(&deployment, &call, BURST_CALLS / 2).await;
            }
        };
        let (changed_at, ()) = future::join(take_out, floods).await;
        let records = deployment.records().await.expect("records");
        let in_zone = |endpoint: &&wire::EndpointDeclaration| endpoint.zone == zone;
        let arrivals = records.records.iter().filter(|record| {
            let mut endpoints = deployment.declarations.endpoints.iter().filter(in_zone);
            endpoints.any(|endpoint| endpoint.name == record.endpoint)
        });
        let last_arrival =
            arrivals.map(|record| record.arrived).max().expect("it received calls before");
        let after = last_arrival.saturating_sub(changed_at);
        println!(
            "last new call {after:?} after the zone was taken out, of {:?}",
            records.now - changed_at
        );
        assert!(after <= APPLY_LIMIT, "{after:?}");
        assert!(records.now > changed_at + APPLY_LIMIT, "the flood ended before the limit");
        deployment.stop().await.expect("a graceful stop");
    });
}
