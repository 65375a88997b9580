//! Queues of an owner under bursts, floods and zones taken out.

mod common;

use comfreyspread_lab::{caller, deployment, types};
use comfreyspread_schema::types as wire;
use futures_util::future;
use std::time;

const BURST_CALLS: usize = 200;
const SMALL_CALLS: usize = 10;
const CALL_DELAY: time::Duration = time::Duration::from_millis(50);
const QUEUE_LIMIT: time::Duration = time::Duration::from_millis(400);
const LONG_QUEUE_LIMIT: time::Duration = time::Duration::from_millis(1200);
const FLOOD_HEAD_START: time::Duration = time::Duration::from_millis(100);
/// Time from a change of the configuration until it is in force at all nodes.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Starts one node before a ledger whose calls take long and whose queue holds `limit`.
async fn slow_ledger(limit: time::Duration) -> deployment::TestDeployment {
    let mut declarations = common::sample();
    for pool in &mut declarations.pools {
        pool.queue_timeout = limit;
    }
    let deployment = common::deployment_with(declarations, 1, &[]).await;
    for endpoint in common::ledger_endpoints(&deployment) {
        let faults = types::EndpointFaults { delay: CALL_DELAY, ..common::no_faults(&endpoint) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in answers");
    }
    deployment
}

#[test]
fn burst_refused() {
    common::run(async {
        let deployment = slow_ledger(QUEUE_LIMIT).await;
        let answers = common::flood(&deployment, &common::read_call(), BURST_CALLS).await;
        let records = deployment.records().await.expect("records");
        let refused: Vec<_> = answers.iter().filter(|answer| answer.status != 200).collect();
        assert!(!refused.is_empty(), "the burst is more than the queue holds");
        for answer in refused {
            assert_eq!(answer.verdict.as_deref(), Some("not-run"), "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
            let arrived =
                |record: &&types::CallRecord| Some(&*record.request) == answer.request.as_deref();
            assert_eq!(records.records.iter().find(arrived), None, "it was said not to have run");
        }
        assert_eq!(common::most_overshoot(&records), 0);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn small_workspace() {
    common::run(async {
        let deployment = slow_ledger(LONG_QUEUE_LIMIT).await;
        let small = common::read_call();
        let large = caller::CallerRequest { workspace: "medellin".into(), ..small.clone() };
        let flood = async {
            common::flood(&deployment, &large, BURST_CALLS).await;
        };
        let trickle = async {
            async_io::Timer::after(FLOOD_HEAD_START).await;
            let began = time::Instant::now();
            let answers = common::flood(&deployment, &small, SMALL_CALLS).await;
            (answers, began.elapsed())
        };
        let ((), (answers, took)) = future::join(flood, trickle).await;
        let served = answers.iter().filter(|answer| answer.status == 200).count();
        println!("small workspace: {served} of {SMALL_CALLS} served within {took:?}");
        assert_eq!(served, SMALL_CALLS);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn zone_out() {
    common::run(async {
        let deployment = slow_ledger(QUEUE_LIMIT).await;
        let zone = deployment.declarations.zones[0].name.clone();
        let call = common::read_call();
        let out = async {
            async_io::Timer::after(FLOOD_HEAD_START).await;
            deployment.write_configuration(2, std::slice::from_ref(&zone)).await.expect("accepted");
            deployment.records().await.expect("records").now
        };
        let floods = async {
            for _ in 0..6 {
                common::flood(&deployment, &call, BURST_CALLS / 2).await;
            }
        };
        let (written, ()) = future::join(out, floods).await;
        let records = deployment.records().await.expect("records");
        let is_out = |endpoint: &&wire::EndpointDeclaration| endpoint.zone == zone;
        let arrivals = records.records.iter().filter(|record| {
            let mut endpoints = deployment.declarations.endpoints.iter().filter(is_out);
            endpoints.any(|endpoint| endpoint.name == record.endpoint)
        });
        let last = arrivals.map(|record| record.arrived).max().expect("it had work before");
        let after = last.saturating_sub(written);
        println!("last new call {after:?} after the zone went out, of {:?}", records.now - written);
        assert!(after <= CHANGE_LIMIT, "{after:?}");
        assert!(records.now > written + CHANGE_LIMIT, "the flood went on after the limit");
        deployment.stop().await.expect("a graceful stop");
    });
}
