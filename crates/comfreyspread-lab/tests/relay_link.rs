//! The relay forwards, delays, blocks and counts the traffic between regions.

mod common;

use comfreyspread_lab::{deployment, types};
use std::{path, time};

const DEADLINE: time::Duration = time::Duration::from_secs(2);
const LINK_DELAY: time::Duration = time::Duration::from_millis(40);

async fn relayed_deployment() -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let mut declarations = common::sample_declarations();
    declarations.endpoints.retain(|endpoint| &*endpoint.zone == "cundinamarca-a");
    for profile in &mut declarations.profiles {
        profile.deadline = DEADLINE;
    }
    let options = deployment::DeploymentOptions {
        link: Some(types::RelayLink { delay: LINK_DELAY, rate: 4_000_000 }),
        ..deployment::DeploymentOptions::default()
    };
    let places = common::places(1);
    let started =
        deployment::TestDeployment::with_options(program, declarations, &places, options).await;
    let deployment = started.expect("the processes start");
    deployment.configure(1).await.expect("the node becomes ready");
    deployment
}

#[test]
fn delay_and_usage() {
    common::run(async {
        let deployment = relayed_deployment().await;
        let started = time::Instant::now();
        let node = deployment.nodes[0].caller_address;
        let response = deployment.caller.call(node, &common::pipeline_call()).await;
        assert_eq!(response.expect("a complete response").status(), 200);
        assert!(started.elapsed() >= LINK_DELAY * 8, "four stages cross the link both ways");
        let stats = deployment.link_stats().await.expect("statistics");
        for (from, to) in [("antioquia", "cundinamarca"), ("cundinamarca", "antioquia")] {
            let is_pair = |link: &&types::LinkUsage| &*link.from == from && &*link.to == to;
            let link = stats.links.iter().find(is_pair).expect("the link was used");
            assert!(link.bytes > 400, "{from} to {to} carried {} bytes", link.bytes);
        }
    });
}

#[test]
fn partition_healed() {
    common::run(async {
        let deployment = relayed_deployment().await;
        let node = deployment.nodes[0].caller_address;
        for (from, to) in [("cundinamarca", "entry-1"), ("antioquia-a", "cundinamarca")] {
            let partition = types::LinkPartition { from: from.into(), to: to.into() };
            deployment.set_partitions(&[partition]).await.expect("the partition is set");
            let response = deployment.caller.call(node, &common::pipeline_call()).await;
            assert_ne!(
                response.expect("a complete response").status(),
                200,
                "{from} to {to} is partitioned"
            );
            deployment.set_partitions(&[]).await.expect("the partition is healed");
            let response = deployment.caller.call(node, &common::pipeline_call()).await;
            assert_eq!(response.expect("a complete response").status(), 200);
        }
    });
}
