//! A zone goes out while one node is cut from the store or from its peers.

mod common;
#[path = "common/operator.rs"]
mod operator;

use comfreyspread_lab::{deployment, network, types};
use comfreyspread_schema::ids;
use std::{path, time};

const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(3);
const SERVED_LIMIT: time::Duration = time::Duration::from_secs(30);

async fn relayed_deployment() -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let link = types::RelayLink { delay: time::Duration::from_millis(12), rate: 4_000_000 };
    let options = deployment::DeploymentOptions {
        link: Some(link),
        ..deployment::DeploymentOptions::default()
    };
    let places = common::places(3);
    let mut declarations = common::sample();
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

/// Cuts both directions between the third node and each place.
async fn cut(deployment: &deployment::TestDeployment, places: &[&str]) {
    let node = &deployment.nodes[2].name;
    let pair = |place: &&str| {
        let place: ids::Text = (*place).into();
        [
            types::LinkPartition { from: node.clone(), to: place.clone() },
            types::LinkPartition { from: place, to: node.clone() },
        ]
    };
    let cuts: Vec<_> = places.iter().flat_map(pair).collect();
    deployment.set_partitions(&cuts).await.expect("the cuts are set");
}

/// Returns how many calls the endpoints of the third node's zone receive from its requests; there
/// are no others.
async fn calls_at_zone(deployment: &deployment::TestDeployment) -> usize {
    let before = deployment.records().await.expect("records").records.len();
    let address = deployment.nodes[2].caller_address;
    for _ in 0..3 {
        deployment.caller.call(address, &common::pipeline_call()).await.ok();
    }
    deployment.records().await.expect("records").records.len() - before
}

/// Waits until the endpoints of the zone receive calls, which shows that the check can fail.
async fn wait_for_calls(deployment: &deployment::TestDeployment) {
    let deadline = time::Instant::now() + SERVED_LIMIT;
    while calls_at_zone(deployment).await == 0 {
        assert!(time::Instant::now() < deadline, "the endpoints of the zone receive no calls");
        async_io::Timer::after(time::Duration::from_millis(100)).await;
    }
}

#[test]
fn store_cut() {
    common::run(async {
        let deployment = relayed_deployment().await;
        cut(&deployment, &[network::PLATFORM_PLACE]).await;
        wait_for_calls(&deployment).await;
        let (code, text) = operator::operate(&deployment, 0, &["zone", "out", "cundinamarca-a"]);
        assert_eq!(code, 0, "the node confirms to its peer: {text}");
        assert_eq!(calls_at_zone(&deployment).await, 0);
    });
}

#[test]
fn peers_cut() {
    common::run(async {
        let deployment = relayed_deployment().await;
        wait_for_calls(&deployment).await;
        cut(&deployment, &["entry-1", "entry-2"]).await;
        let arguments = ["zone", "out", "cundinamarca-a", "--wait-ms", "2000"];
        let began = time::Instant::now();
        let (code, text) = operator::operate(&deployment, 0, &arguments);
        assert_eq!(code, 3, "a node that cannot confirm is missing: {text}");
        let since = began.elapsed();
        if let Some(rest) = IN_FORCE_LIMIT.checked_sub(since) {
            async_io::Timer::after(rest).await;
        }
        let address = deployment.nodes[2].caller_address;
        let answer = deployment.caller.get(address, "/readyz").await.expect("an answer");
        assert_eq!(answer.body().as_ref(), b"out of service\n", "the node read the store");
        assert_eq!(calls_at_zone(&deployment).await, 0);
        deployment.set_partitions(&[]).await.expect("healed");
        let (code, text) = operator::operate(&deployment, 0, &["zone", "out", "cundinamarca-a"]);
        assert_eq!(code, 0, "sent again, it is accepted: {text}");
    });
}
