//! A zone is taken out of service while one node cannot reach the store or its peers.

mod common;
#[path = "common/operator.rs"]
mod operator;

use comfreyspread_lab::{deployment, relay_process, types};
use comfreyspread_schema::ids;
use std::{path, time};

const APPLY_LIMIT: time::Duration = time::Duration::from_secs(3);
const SERVE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

async fn relayed_deployment() -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let link = types::RelayLink { delay: time::Duration::from_millis(12), rate: 4_000_000 };
    let options = deployment::DeploymentOptions {
        link: Some(link),
        ..deployment::DeploymentOptions::default()
    };
    let places = common::places(3);
    let mut declarations = common::sample_declarations();
    declarations.endpoints.retain(|endpoint| &*endpoint.zone == "cundinamarca-a");
    for profile in &mut declarations.profiles {
        profile.deadline = time::Duration::from_secs(1);
    }
    let started =
        deployment::TestDeployment::with_options(program, declarations, &places, options).await;
    let deployment = started.expect("the processes start");
    deployment.configure(1).await.expect("the nodes become ready");
    deployment
}

/// Blocks both directions between the third node and each of these places.
async fn isolate_node(deployment: &deployment::TestDeployment, places: &[&str]) {
    let node = &deployment.nodes[2].name;
    let pair = |place: &&str| {
        let place: ids::Text = (*place).into();
        [
            types::LinkPartition { from: node.clone(), to: place.clone() },
            types::LinkPartition { from: place, to: node.clone() },
        ]
    };
    let partitions: Vec<_> = places.iter().flat_map(pair).collect();
    deployment.set_partitions(&partitions).await.expect("the partitions are set");
}

/// Returns how many calls the endpoints receive for requests to the third node. All endpoints are
/// in that node's zone, and no other node receives requests.
async fn calls_at_zone(deployment: &deployment::TestDeployment) -> usize {
    let calls_before = deployment.records().await.expect("records").records.len();
    let address = deployment.nodes[2].caller_address;
    for _ in 0..3 {
        deployment.caller.call(address, &common::pipeline_call()).await.ok();
    }
    deployment.records().await.expect("records").records.len() - calls_before
}

/// Waits until the endpoints of the zone receive calls. Without this, a later count of zero could
/// pass for another reason.
async fn wait_for_calls(deployment: &deployment::TestDeployment) {
    let deadline = time::Instant::now() + SERVE_TIMEOUT;
    while calls_at_zone(deployment).await == 0 {
        assert!(time::Instant::now() < deadline, "the endpoints of the zone receive no calls");
        async_io::Timer::after(time::Duration::from_millis(100)).await;
    }
}

#[test]
fn store_partition() {
    common::run(async {
        let deployment = relayed_deployment().await;
        isolate_node(&deployment, &[relay_process::PLATFORM_LOCATION]).await;
        wait_for_calls(&deployment).await;
        let (code, text) =
            operator::run_command(&deployment, 0, &["zone", "out", "cundinamarca-a"]);
        assert_eq!(code, 0, "the node confirms to its peer: {text}");
        assert_eq!(calls_at_zone(&deployment).await, 0);
    });
}

#[test]
fn peer_partition() {
    common::run(async {
        let deployment = relayed_deployment().await;
        wait_for_calls(&deployment).await;
        isolate_node(&deployment, &["entry-1", "entry-2"]).await;
        let arguments = ["zone", "out", "cundinamarca-a", "--wait-ms", "2000"];
        let started = time::Instant::now();
        let (code, text) = operator::run_command(&deployment, 0, &arguments);
        assert_eq!(code, 3, "a node that cannot confirm is missing: {text}");
        let elapsed = started.elapsed();
        if let Some(remaining) = APPLY_LIMIT.checked_sub(elapsed) {
            async_io::Timer::after(remaining).await;
        }
        let address = deployment.nodes[2].caller_address;
        let response = deployment.caller.get(address, "/readyz").await.expect("a response");
        assert_eq!(response.body().as_ref(), b"out of service\n", "the node read the store");
        assert_eq!(calls_at_zone(&deployment).await, 0);
        deployment.set_partitions(&[]).await.expect("healed");
        let (code, text) =
            operator::run_command(&deployment, 0, &["zone", "out", "cundinamarca-a"]);
        assert_eq!(code, 0, "the resent command succeeds: {text}");
    });
}
