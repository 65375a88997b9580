//! The quickstart: starts a small deployment, serves requests and prints the results.

use crate::{caller, deployment, endpoints, fleet_quickstart, load_generator, process, types};
use comfreyspread::{runtime::worker, transport::header};
use comfreyspread_schema::{ids, types as wire};
use miette::IntoDiagnostic as _;
use std::{env, fs, path, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const NODE_NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const ZONE: &str = "antioquia-b";
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(6);
/// Time within which nodes apply a change of the zones in service.
const ZONE_CHANGE_TIME: time::Duration = time::Duration::from_secs(3);
const ZONE_REQUESTS: usize = 60;
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Starts a small deployment, serves requests and reports what happened.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "quickstart")]
pub struct QuickstartArguments {}

impl QuickstartArguments {
    /// Runs the quickstart.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a request is not served.
    pub async fn run(
        &self,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<std::process::ExitCode> {
        let folder = log_folder()?;
        println!("logs      {}", folder.display());
        let deployment = start(&folder).await?;
        println!(
            "started   1 platform, {} endpoints, {} nodes, each node a process of its own",
            deployment.declarations.endpoints.len(),
            deployment.nodes.len()
        );
        serve_pipeline(&deployment).await?;
        serve_stream(&deployment).await?;
        serve_purchase(&deployment).await?;
        toggle_zone(&deployment).await?;
        deployment.stop().await?;
        println!("stopped   all nodes ended gracefully");
        fleet_quickstart::run(spawner, &folder).await?;
        Ok(std::process::ExitCode::SUCCESS)
    }
}

async fn start(folder: &path::Path) -> miette::Result<deployment::TestDeployment> {
    let declarations: wire::Declarations = serde_json::from_str(SAMPLE).into_diagnostic()?;
    let places = places(&declarations);
    let options = deployment::DeploymentOptions {
        log_folder: Some(folder.to_owned()),
        ..deployment::DeploymentOptions::default()
    };
    let program = process::current_program()?;
    let deployment =
        deployment::TestDeployment::with_options(program, declarations, &places, options).await?;
    deployment.configure(1).await?;
    Ok(deployment)
}

fn log_folder() -> miette::Result<path::PathBuf> {
    let folder = env::temp_dir().join(format!("comfreyspread-quickstart-{}", std::process::id()));
    fs::create_dir_all(&folder).into_diagnostic()?;
    Ok(folder)
}

fn places(declarations: &wire::Declarations) -> Vec<deployment::NodeLocation> {
    let zones = declarations.zones.iter().cycle();
    let pairs = NODE_NAMES.iter().zip(zones);
    let place = |(name, zone): (&&str, &wire::ZoneDeclaration)| deployment::NodeLocation {
        name: (*name).into(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    };
    pairs.map(place).collect()
}

fn pipeline_call() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/pipelines/purity-report".into(),
        workspace: "medellin".into(),
        profile: "counter".into(),
        key: None,
        body: r#"{"marker":"chain-12","item":"chain","grams":12}"#.into(),
    }
}

async fn serve_pipeline(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let node = &deployment.nodes[0];
    let response = deployment.caller.call(node.caller_address, &pipeline_call()).await?;
    let body = String::from_utf8_lossy(response.body());
    miette::ensure!(
        response.status() == 200,
        "the pipeline returned status {}: {body}",
        response.status()
    );
    let verdict = response.header(header::VERDICT).unwrap_or("none");
    println!("pipeline  four stages through {}: status 200, verdict {verdict}", node.name);
    Ok(())
}

async fn serve_stream(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let node = &deployment.nodes[2];
    let request = load_generator::ScheduledRequest {
        index: 0,
        due: time::Instant::now(),
        deadline: STREAM_DEADLINE,
        marker: "chain-12".into(),
        streaming: true,
        call: pipeline_call(),
    };
    let outcome = load_generator::LoadGenerator::new(&[node.caller_address]).send(&request).await;
    let complete = outcome.status == load_generator::CallStatus::Answered;
    miette::ensure!(complete, "the stream ended with {:?}", outcome.status);
    let tokens = outcome.token_times.len();
    miette::ensure!(tokens > 0, "the response was not streamed");
    println!("stream    {tokens} events through {}, in order and to the explicit end", node.name);
    Ok(())
}

async fn serve_purchase(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let call = caller::CallerRequest {
        path: "/v1/services/ledger-record".into(),
        workspace: "medellin".into(),
        profile: "record".into(),
        key: Some("purchase-1".into()),
        body: r#"{"seller":"s-17","grams":12}"#.into(),
    };
    let mut bodies = Vec::new();
    for node in &deployment.nodes {
        let response = deployment.caller.call(node.caller_address, &call).await?;
        miette::ensure!(
            response.status() == 200,
            "the service returned status {}",
            response.status()
        );
        bodies.push(response.body().clone());
    }
    miette::ensure!(
        bodies.iter().all(|body| *body == bodies[0]),
        "a resent request got a different response"
    );
    let runs = endpoints::runs_by_key(&deployment.records().await?);
    let runs = runs.get("purchase-1").copied().unwrap_or(0);
    miette::ensure!(runs == 1, "the purchase ran {runs} times");
    println!("purchase  sent {} times, once through each node: ran once", bodies.len());
    Ok(())
}

/// Takes a zone out of service and back, and checks the calls it receives in each state.
async fn toggle_zone(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    deployment.write_configuration(2, &[ZONE.into()]).await?;
    async_io::Timer::after(ZONE_CHANGE_TIME).await;
    let calls_while_out = count_zone_calls(deployment).await?;
    miette::ensure!(
        calls_while_out == 0,
        "{ZONE} received {calls_while_out} calls while out of service"
    );
    deployment.write_configuration(3, &[]).await?;
    async_io::Timer::after(ZONE_CHANGE_TIME).await;
    let calls_after = count_zone_calls(deployment).await?;
    miette::ensure!(calls_after > 0, "{ZONE} received no calls after it was back in service");
    println!(
        "zone      {ZONE} out: served {ZONE_REQUESTS} requests without it; back: {calls_after} calls"
    );
    Ok(())
}

/// Sends requests and returns the number of calls that the zone's endpoints received meanwhile.
async fn count_zone_calls(deployment: &deployment::TestDeployment) -> miette::Result<usize> {
    let earlier_count = deployment.records().await?.records.len();
    for index in 0..ZONE_REQUESTS {
        let node = &deployment.nodes[index % deployment.nodes.len()];
        let response = deployment.caller.call(node.caller_address, &pipeline_call()).await?;
        miette::ensure!(
            response.status() == 200,
            "{} returned status {}",
            node.name,
            response.status()
        );
        async_io::Timer::after(REQUEST_INTERVAL).await;
    }
    let records = deployment.records().await?.records;
    let in_zone = |record: &&types::CallRecord| is_in_zone(deployment, &record.endpoint);
    Ok(records[earlier_count..].iter().filter(in_zone).count())
}

fn is_in_zone(deployment: &deployment::TestDeployment, endpoint: &ids::EndpointId) -> bool {
    let endpoints = &deployment.declarations.endpoints;
    endpoints.iter().any(|entry| entry.name == *endpoint && &*entry.zone == ZONE)
}
