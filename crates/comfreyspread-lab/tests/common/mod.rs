//! Small deployments of separate processes, and calls for tests.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod crash_test;
pub mod crashing_engine;
pub mod endpoint_socket;
pub mod full_listener;
pub mod gateway;
pub mod raw_endpoint;
pub mod scripted_endpoint;
pub mod scripted_stream;

use comfreyspread::transport::{failure, header, http_client};
use comfreyspread_lab::{caller, deployment, fault, types};
use comfreyspread_schema::{ids, types as wire};
use futures_util::future as futures;
use std::{future, path};

const SAMPLE: &str = include_str!("../../samples/quickstart.json");

/// The parts of a response that tests check.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseSummary {
    /// HTTP status; zero if there was no complete response.
    pub status: u16,
    /// Verdict, if given.
    pub verdict: Option<String>,
    /// Seconds to wait before a retry, if given.
    pub retry_after: Option<u64>,
    /// Request id, if given.
    pub request: Option<String>,
}

/// Summarizes a response.
pub fn summarize(
    response: Result<http_client::ClientResponse, failure::CallFailure>,
) -> ResponseSummary {
    let Ok(response) = response else {
        return ResponseSummary { status: 0, verdict: None, retry_after: None, request: None };
    };
    ResponseSummary {
        status: response.status(),
        verdict: response.header(header::VERDICT).map(str::to_owned),
        retry_after: response.header("retry-after").and_then(|value| value.parse().ok()),
        request: response.header(header::REQUEST).map(str::to_owned),
    }
}

/// Sends `count` concurrent calls through the first node.
pub async fn flood(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
    count: usize,
) -> Vec<ResponseSummary> {
    let address = deployment.nodes[0].caller_address;
    let calls = (0..count).map(|_| deployment.caller.call(address, call));
    futures::join_all(calls).await.into_iter().map(summarize).collect()
}

/// Returns the endpoints of the sample's `ledger` pool.
pub fn ledger_endpoints(
    deployment: &deployment::TestDeployment,
) -> impl Iterator<Item = ids::EndpointId> {
    let endpoints = deployment.declarations.endpoints.iter();
    endpoints.filter(|endpoint| &*endpoint.pool == "ledger").map(|endpoint| endpoint.name.clone())
}

/// Returns an endpoint's settings without any injected fault.
pub fn no_faults(endpoint: &ids::EndpointId) -> types::EndpointFaults {
    fault::no_faults(endpoint)
}

/// Returns the maximum number of calls by which any endpoint exceeded its limit.
pub fn max_overshoot(records: &types::CallRecords) -> u32 {
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
pub fn sample_declarations() -> wire::Declarations {
    serde_json::from_str(SAMPLE).expect("the sample is valid")
}

/// Returns the places of `count` nodes, assigned to the sample's zones in turn.
pub fn places(count: usize) -> Vec<deployment::NodeLocation> {
    let declarations = sample_declarations();
    let zones = declarations.zones.iter().cycle().take(count).enumerate();
    let place = |(index, zone): (usize, &wire::ZoneDeclaration)| deployment::NodeLocation {
        name: format!("entry-{}", index + 1).into(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    };
    zones.map(place).collect()
}

/// Starts `count` nodes with the sample declarations and waits until all are ready.
pub async fn sample_deployment(count: usize) -> deployment::TestDeployment {
    start_deployment(sample_declarations(), count, &[]).await
}

/// Starts `count` nodes with these declarations and extra arguments, and waits until all are ready.
pub async fn start_deployment(
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

/// Returns a call of the sample's non-idempotent service.
pub fn record_call(key: &str) -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/services/ledger-record".into(),
        workspace: "medellin".into(),
        profile: "record".into(),
        key: Some(key.into()),
        body: r#"{"seller":"s-17","grams":12}"#.into(),
    }
}

/// Returns a call of the sample's idempotent service.
pub fn read_call() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/services/ledger-read".into(),
        workspace: "bogota".into(),
        profile: "lookup".into(),
        key: None,
        body: r#"{"seller":"s-17"}"#.into(),
    }
}
