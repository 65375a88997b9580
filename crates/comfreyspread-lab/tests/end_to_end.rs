//! Single requests from a caller through a node to endpoints, in separate processes.

mod common;

use comfreyspread::transport::header;
use comfreyspread_lab::deployment;
use std::{path, time};

const CONFIGURATION_DELAY: time::Duration = time::Duration::from_secs(5);

#[test]
fn pipeline_served() {
    common::run(async {
        let deployment = common::sample_deployment(2).await;
        let call = common::pipeline_call();
        let response = deployment.caller.call(deployment.nodes[0].caller_address, &call).await;
        let response = response.expect("a complete response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.header(header::VERDICT), Some("ran"));
        let records = deployment.records().await.expect("records");
        assert_eq!(records.records.len(), 4);
        assert!(records.records.iter().all(|record| record.finished));
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn unknown_names() {
    common::run(async {
        let deployment = common::sample_deployment(1).await;
        let node = deployment.nodes[0].caller_address;
        let valid = common::pipeline_call();
        let mut calls = vec![valid.clone(), valid.clone(), valid];
        calls[0].path = "/v1/pipelines/none".into();
        calls[1].workspace = "none".into();
        calls[2].profile = "none".into();
        for call in calls {
            let response = deployment.caller.call(node, &call).await.expect("a complete response");
            assert_eq!(response.status(), 404);
            assert_eq!(response.header(header::VERDICT), Some("not-run"));
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
            deployment::TestDeployment::new(program, common::sample_declarations(), &places, &[])
                .await;
        let deployment = started.expect("the processes start");
        async_io::Timer::after(CONFIGURATION_DELAY).await;
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
            deployment::TestDeployment::new(program, common::sample_declarations(), &places, &[])
                .await;
        let mut deployment = started.expect("the processes start");
        deployment.endpoints.kill();
        deployment.configure(1).await.expect("the nodes become ready");
        let response = deployment
            .caller
            .call(deployment.nodes[0].caller_address, &common::pipeline_call())
            .await
            .expect("a complete response");
        assert_eq!(response.header(header::VERDICT), Some("not-run"));
    });
}
