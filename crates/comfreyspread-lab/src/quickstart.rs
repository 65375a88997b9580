//! A first look: starts a small deployment, serves requests and reports what happened.

use crate::{caller, deployment, endpoints, fleet_tour, load_generator, process, types};
use comfreyspread::{runtime::worker, transport::header};
use comfreyspread_schema::{ids, types as wire};
use miette::IntoDiagnostic as _;
use std::{env, fs, path, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const NODES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const ZONE: &str = "antioquia-b";
const DEADLINE: time::Duration = time::Duration::from_secs(6);
/// Time after which a zone that was taken out gets no new work.
const ZONE_ALLOWANCE: time::Duration = time::Duration::from_secs(3);
const ZONE_CALLS: usize = 60;
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(20);

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
        change_zone(&deployment).await?;
        deployment.stop().await?;
        println!("stopped   all nodes ended gracefully");
        fleet_tour::run(spawner, &folder).await?;
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
    let program = process::own_program()?;
    let started =
        deployment::TestDeployment::with_options(program, declarations, &places, options).await?;
    started.configure(1).await?;
    Ok(started)
}

fn log_folder() -> miette::Result<path::PathBuf> {
    let folder = env::temp_dir().join(format!("comfreyspread-quickstart-{}", std::process::id()));
    fs::create_dir_all(&folder).into_diagnostic()?;
    Ok(folder)
}

fn places(declarations: &wire::Declarations) -> Vec<deployment::NodeLocation> {
    let zones = declarations.zones.iter().cycle();
    let named = NODES.iter().zip(zones);
    let place = |(name, zone): (&&str, &wire::ZoneDeclaration)| deployment::NodeLocation {
        name: (*name).into(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    };
    named.map(place).collect()
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
    let answer = deployment.caller.call(node.caller_address, &pipeline_call()).await?;
    let body = String::from_utf8_lossy(answer.body());
    miette::ensure!(answer.status() == 200, "the pipeline answered {}: {body}", answer.status());
    let verdict = answer.header(header::VERDICT).unwrap_or("none");
    println!("pipeline  four stages through {}: status 200, verdict {verdict}", node.name);
    Ok(())
}

async fn serve_stream(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let node = &deployment.nodes[2];
    let request = load_generator::ScheduledRequest {
        index: 0,
        due: time::Instant::now(),
        deadline: DEADLINE,
        marker: "chain-12".into(),
        streaming: true,
        call: pipeline_call(),
    };
    let outcome = load_generator::LoadGenerator::new(&[node.caller_address]).send(&request).await;
    let whole = outcome.status == load_generator::CallStatus::Answered;
    miette::ensure!(whole, "the stream ended with {:?}", outcome.status);
    let tokens = outcome.token_times.len();
    miette::ensure!(tokens > 0, "the answer was not streamed");
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
        let answer = deployment.caller.call(node.caller_address, &call).await?;
        miette::ensure!(answer.status() == 200, "the service answered {}", answer.status());
        bodies.push(answer.body().clone());
    }
    miette::ensure!(bodies.iter().all(|body| *body == bodies[0]), "a resend got another answer");
    let runs = endpoints::runs_by_key(&deployment.records().await?);
    let runs = runs.get("purchase-1").copied().unwrap_or(0);
    miette::ensure!(runs == 1, "the purchase ran {runs} times");
    println!("purchase  sent {} times, once through each node: ran once", bodies.len());
    Ok(())
}

/// Takes a zone out and back while calls go on.
async fn change_zone(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    deployment.write_configuration(2, &[ZONE.into()]).await?;
    async_io::Timer::after(ZONE_ALLOWANCE).await;
    let out = zone_calls(deployment).await?;
    miette::ensure!(out == 0, "{ZONE} got {out} calls while it was out");
    deployment.write_configuration(3, &[]).await?;
    async_io::Timer::after(ZONE_ALLOWANCE).await;
    let back = zone_calls(deployment).await?;
    miette::ensure!(back > 0, "{ZONE} got no calls after it was back");
    println!("zone      {ZONE} out: served {ZONE_CALLS} requests without it; back: {back} calls");
    Ok(())
}

/// Makes requests and returns how many calls the zone's endpoints received meanwhile.
async fn zone_calls(deployment: &deployment::TestDeployment) -> miette::Result<usize> {
    let earlier = deployment.records().await?.records.len();
    for index in 0..ZONE_CALLS {
        let node = &deployment.nodes[index % deployment.nodes.len()];
        let answer = deployment.caller.call(node.caller_address, &pipeline_call()).await?;
        miette::ensure!(answer.status() == 200, "{} answered {}", node.name, answer.status());
        async_io::Timer::after(CALL_INTERVAL).await;
    }
    let records = deployment.records().await?.records;
    let in_zone = |record: &&types::CallRecord| stands_in(deployment, &record.endpoint);
    Ok(records[earlier..].iter().filter(in_zone).count())
}

fn stands_in(deployment: &deployment::TestDeployment, endpoint: &ids::EndpointId) -> bool {
    let endpoints = &deployment.declarations.endpoints;
    endpoints.iter().any(|entry| entry.name == *endpoint && &*entry.zone == ZONE)
}
