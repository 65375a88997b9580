//! A first look: starts a small deployment, serves requests and reports what happened.

use crate::{caller, deployment, endpoints, process};
use comfreyspread::header;
use comfreyspread_schema::types as wire;
use miette::IntoDiagnostic as _;

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const NODES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

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
    pub async fn run(&self) -> miette::Result<std::process::ExitCode> {
        let declarations: wire::Declarations = serde_json::from_str(SAMPLE).into_diagnostic()?;
        let places = places(&declarations);
        let program = process::own_program()?;
        let deployment =
            deployment::TestDeployment::new(program, declarations, &places, &[]).await?;
        deployment.configure(1).await?;
        println!(
            "started: 1 platform, {} endpoints, {} nodes",
            deployment.declarations.endpoints.len(),
            deployment.nodes.len()
        );
        serve_pipeline(&deployment).await?;
        serve_purchase(&deployment).await?;
        deployment.stop().await?;
        println!("stopped: all nodes ended gracefully");
        Ok(std::process::ExitCode::SUCCESS)
    }
}

fn places(declarations: &wire::Declarations) -> Vec<deployment::NodePlace> {
    let zones = declarations.zones.iter().cycle();
    let named = NODES.iter().zip(zones);
    let place = |(name, zone): (&&str, &wire::ZoneDeclaration)| deployment::NodePlace {
        name: (*name).into(),
        zone: zone.name.clone(),
        region: zone.region.clone(),
    };
    named.map(place).collect()
}

async fn serve_pipeline(deployment: &deployment::TestDeployment) -> miette::Result<()> {
    let call = caller::CallerRequest {
        path: "/v1/pipelines/purity-report".into(),
        workspace: "medellin".into(),
        profile: "counter".into(),
        key: None,
        body: r#"{"item":"chain","grams":12}"#.into(),
    };
    let answer = deployment.caller.call(deployment.nodes[0].caller_address, &call).await?;
    let body = String::from_utf8_lossy(answer.body());
    miette::ensure!(answer.status() == 200, "the pipeline answered {}: {body}", answer.status());
    println!("pipeline: served, verdict {}", answer.header(header::VERDICT).unwrap_or("none"));
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
    let answer = deployment.caller.call(deployment.nodes[1].caller_address, &call).await?;
    miette::ensure!(answer.status() == 200, "the service answered {}", answer.status());
    let runs = endpoints::runs_by_key(&deployment.records().await?);
    let runs = runs.get("purchase-1").copied().unwrap_or(0);
    miette::ensure!(runs == 1, "the purchase ran {runs} times");
    println!("non-repeatable call: served, runs at the endpoint: {runs}");
    Ok(())
}
