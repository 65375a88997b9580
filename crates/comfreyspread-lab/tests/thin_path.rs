//! One request from a caller through a node to endpoints, across separate processes.

mod common;

use comfreyspread::transport::header;
use comfreyspread_lab::deployment;
use std::{path, time};

const BEFORE_CONFIGURATION: time::Duration = time::Duration::from_secs(5);

#[test]
fn pipeline_served() {
    common::run(async {
        let deployment = common::small_deployment(2).await;
        let call = common::pipeline_call();
        let answer = deployment.caller.call(deployment.nodes[0].caller_address, &call).await;
        let answer = answer.expect("a whole answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.header(header::VERDICT), Some("ran"));
        let records = deployment.records().await.expect("records");
        assert_eq!(records.records.len(), 4);
        assert!(records.records.iter().all(|record| record.finished));
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn unknown_names() {
    common::run(async {
        let deployment = common::small_deployment(1).await;
        let node = deployment.nodes[0].caller_address;
        let good = common::pipeline_call();
        let mut calls = vec![good.clone(), good.clone(), good];
        calls[0].path = "/v1/pipelines/none".into();
        calls[1].workspace = "none".into();
        calls[2].profile = "none".into();
        for call in calls {
            let answer = deployment.caller.call(node, &call).await.expect("a whole answer");
            assert_eq!(answer.status(), 404);
            assert_eq!(answer.header(header::VERDICT), Some("not-run"));
        }
        assert!(deployment.records().await.expect("records").records.is_empty());
    });
}

#[test]
fn late_configuration() {
    common::run(async {
        let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
        let places = common::places(2);
        let started =
            deployment::TestDeployment::new(program, common::sample(), &places, &[]).await;
        let deployment = started.expect("the processes start");
        async_io::Timer::after(BEFORE_CONFIGURATION).await;
        deployment.configure(1).await.expect("the nodes become ready");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn endpoints_down() {
    common::run(async {
        let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
        let places = common::places(2);
        let started =
            deployment::TestDeployment::new(program, common::sample(), &places, &[]).await;
        let mut deployment = started.expect("the processes start");
        deployment.endpoints.kill();
        deployment.configure(1).await.expect("the nodes become ready");
        let answer = deployment
            .caller
            .call(deployment.nodes[0].caller_address, &common::pipeline_call())
            .await
            .expect("a whole answer");
        assert_eq!(answer.header(header::VERDICT), Some("not-run"));
    });
}
