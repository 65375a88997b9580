//! Small deployments for tests that run separate processes.
#![allow(dead_code, reason = "each test file uses a part")]

use comfreyspread_lab::{caller, deployment};
use comfreyspread_schema::types as wire;
use std::{future, path};

const SAMPLE: &str = include_str!("../../samples/quickstart.json");

/// Runs an asynchronous test.
pub fn run<Test>(test: Test)
where
    Test: future::Future<Output = ()>,
{
    async_io::block_on(test);
}

/// Returns the sample declarations.
pub fn sample() -> wire::Declarations {
    serde_json::from_str(SAMPLE).expect("the sample is valid")
}

/// Returns `count` places, spread over the sample's zones by turns.
pub fn places(count: usize) -> Vec<deployment::NodePlace> {
    let declarations = sample();
    let zones = declarations.zones.iter().cycle().take(count).enumerate();
    let place = |(index, zone): (usize, &wire::ZoneDeclaration)| deployment::NodePlace {
        name: format!("entry-{}", index + 1).into(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    };
    zones.map(place).collect()
}

/// Starts the sample with `count` nodes and waits until all are ready.
pub async fn small_deployment(count: usize) -> deployment::TestDeployment {
    deployment_with(sample(), count, &[]).await
}

/// Starts declarations with `count` nodes and extra node arguments.
pub async fn deployment_with(
    declarations: wire::Declarations,
    count: usize,
    extra: &[&str],
) -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let started =
        deployment::TestDeployment::new(program, declarations, &places(count), extra).await;
    let deployment = started.expect("the processes start");
    deployment.configure(1).await.expect("the nodes become ready");
    deployment
}

/// Returns a call of the sample's pipeline.
pub fn pipeline_call() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/pipelines/purity-report".into(),
        workspace: "medellin".into(),
        profile: "counter".into(),
        key: None,
        body: r#"{"item":"chain","grams":12}"#.into(),
    }
}

/// Returns a call of the sample's non-repeatable service.
pub fn record_call(key: &str) -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/services/ledger-record".into(),
        workspace: "medellin".into(),
        profile: "record".into(),
        key: Some(key.into()),
        body: r#"{"seller":"s-17","grams":12}"#.into(),
    }
}
