//! The relay carries, delays, cuts and counts the traffic between regions.

mod common;

use comfreyspread_lab::{deployment, types};
use std::{path, time};

const DEADLINE: time::Duration = time::Duration::from_secs(2);
const ONE_WAY: time::Duration = time::Duration::from_millis(40);

async fn relayed_deployment() -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let mut declarations = common::sample();
    declarations.endpoints.retain(|endpoint| &*endpoint.zone == "cundinamarca-a");
    for profile in &mut declarations.profiles {
        profile.deadline = DEADLINE;
    }
    let options = deployment::DeploymentOptions {
        link: Some(types::RelayLink { delay: ONE_WAY, rate: 4_000_000 }),
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
fn delay_counted() {
    common::run(async {
        let deployment = relayed_deployment().await;
        let started = time::Instant::now();
        let node = deployment.nodes[0].caller_address;
        let answer = deployment.caller.call(node, &common::pipeline_call()).await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
        assert!(started.elapsed() >= ONE_WAY * 8, "four stages cross the link both ways");
        let stats = deployment.link_stats().await.expect("statistics");
        for (from, to) in [("antioquia", "cundinamarca"), ("cundinamarca", "antioquia")] {
            let same = |link: &&types::LinkUsage| &*link.from == from && &*link.to == to;
            let link = stats.links.iter().find(same).expect("the link was used");
            assert!(link.bytes > 400, "{from} to {to} carried {} bytes", link.bytes);
        }
    });
}

#[test]
fn cut_healed() {
    common::run(async {
        let deployment = relayed_deployment().await;
        let node = deployment.nodes[0].caller_address;
        for (from, to) in [("cundinamarca", "entry-1"), ("antioquia-a", "cundinamarca")] {
            let cut = types::LinkPartition { from: from.into(), to: to.into() };
            deployment.set_partitions(&[cut]).await.expect("the cut is set");
            let answer = deployment.caller.call(node, &common::pipeline_call()).await;
            assert_ne!(answer.expect("a whole answer").status(), 200, "{from} to {to} is cut");
            deployment.set_partitions(&[]).await.expect("the cut is healed");
            let answer = deployment.caller.call(node, &common::pipeline_call()).await;
            assert_eq!(answer.expect("a whole answer").status(), 200);
        }
    });
}
