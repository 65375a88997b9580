//! Small deployments for tests that run separate processes.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod gateway;

use comfreyspread::transport::{failure, header, http_client};
use comfreyspread_lab::{caller, deployment, fault, types};
use comfreyspread_schema::{ids, types as wire};
use futures_util::future as futures;
use std::{future, path};

const SAMPLE: &str = include_str!("../../samples/quickstart.json");

/// What a caller sees of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerSummary {
    /// HTTP status; zero if there was no whole answer.
    pub status: u16,
    /// Verdict, if given.
    pub verdict: Option<String>,
    /// When a retry may pass, in seconds, if given.
    pub retry_after: Option<u64>,
    /// Request id, if given.
    pub request: Option<String>,
}

/// Returns what a caller sees of an answer.
pub fn summary(answer: Result<http_client::ClientAnswer, failure::CallFailure>) -> AnswerSummary {
    let Ok(answer) = answer else {
        return AnswerSummary { status: 0, verdict: None, retry_after: None, request: None };
    };
    AnswerSummary {
        status: answer.status(),
        verdict: answer.header(header::VERDICT).map(str::to_owned),
        retry_after: answer.header("retry-after").and_then(|value| value.parse().ok()),
        request: answer.header(header::REQUEST).map(str::to_owned),
    }
}

/// Makes `count` calls at once through the first node.
pub async fn flood(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
    count: usize,
) -> Vec<AnswerSummary> {
    let address = deployment.nodes[0].caller_address;
    let calls = (0..count).map(|_| deployment.caller.call(address, call));
    futures::join_all(calls).await.into_iter().map(summary).collect()
}

/// Returns the endpoints of the sample's ledger.
pub fn ledger_endpoints(
    deployment: &deployment::TestDeployment,
) -> impl Iterator<Item = ids::EndpointId> {
    let endpoints = deployment.declarations.endpoints.iter();
    endpoints.filter(|entry| &*entry.pool == "ledger").map(|entry| entry.name.clone())
}

/// Returns faults that change nothing at an endpoint.
pub fn no_faults(endpoint: &ids::EndpointId) -> types::EndpointFaults {
    fault::no_faults(endpoint)
}

/// Returns the most calls beyond its limit that any endpoint had.
pub fn most_overshoot(records: &types::CallRecords) -> u32 {
    records.records.iter().map(|record| record.calls_over_limit).max().unwrap_or(0)
}

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
pub fn places(count: usize) -> Vec<deployment::NodeLocation> {
    let declarations = sample();
    let zones = declarations.zones.iter().cycle().take(count).enumerate();
    let place = |(index, zone): (usize, &wire::ZoneDeclaration)| deployment::NodeLocation {
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

/// Returns a call of the sample's repeatable service.
pub fn read_call() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/services/ledger-read".into(),
        workspace: "bogota".into(),
        profile: "lookup".into(),
        key: None,
        body: r#"{"seller":"s-17"}"#.into(),
    }
}
