//! Report on changes of the configuration: time until in force at every node, and sizes.

use crate::{caller, deployment, process, types};
use async_io::Timer;
use comfreyspread::operations::operator;
use comfreyspread_policy::{catalog, delta, validation};
use comfreyspread_schema::types as wire;
use hdrhistogram::Histogram;
use miette::IntoDiagnostic as _;
use std::{net, process::ExitCode, sync, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(5);
const IDLE_TIME: time::Duration = time::Duration::from_secs(5);
const LOOK_LIMIT: time::Duration = time::Duration::from_secs(10);
const MOST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const SIZES: [usize; 4] = [70, 700, 7000, 14_000];
const ENDPOINTS_PER_100_WORKSPACES: usize = 27;

/// measure how fast changes come into force, and how large they are
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "configuration-report")]
pub struct ConfigurationArguments {
    /// nodes to start (default: 8)
    #[argh(option, default = "8")]
    nodes: usize,
    /// changes to make (default: 20)
    #[argh(option, default = "20")]
    changes: usize,
}

impl ConfigurationArguments {
    /// Runs the measurement and prints it.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a change is not accepted.
    pub async fn run(&self) -> miette::Result<ExitCode> {
        let declarations: wire::Declarations = serde_json::from_str(SAMPLE).into_diagnostic()?;
        let zones = declarations.zones.iter().cycle().take(self.nodes).enumerate();
        let places: Vec<_> = zones
            .map(|(index, zone)| deployment::NodeLocation {
                name: format!("entry-{}", index + 1).into(),
                zone: zone.name.clone(),
                region: zone.region.clone(),
            })
            .collect();
        let program = process::own_program()?;
        let deployment =
            deployment::TestDeployment::new(program, declarations, &places, &[]).await?;
        deployment.configure(1).await?;
        Box::pin(self.time_changes(&deployment)).await?;
        deployment.stop().await?;
        print_sizes()?;
        Ok(ExitCode::SUCCESS)
    }

    async fn time_changes(&self, deployment: &deployment::TestDeployment) -> miette::Result<()> {
        let idle = deployment.store_stats().await?;
        Timer::after(IDLE_TIME).await;
        let before = deployment.store_stats().await?;
        let mut in_force = new_histogram()?;
        let mut accepted = new_histogram()?;
        let mut declarations = deployment.declarations.clone();
        for number in 0..self.changes {
            let name = format!("added-{number}");
            let workspace = wire::WorkspaceDeclaration { name: name.as_str().into(), weight: 1 };
            declarations.workspaces.push(workspace);
            let revision = u64::try_from(number).into_diagnostic()? + 1;
            let order = wire::ChangeAction::Declare { declarations: declarations.clone() };
            let change = TimedChange { deployment, name: &name, began: time::Instant::now() };
            let node = deployment.nodes[number % deployment.nodes.len()].caller_address;
            let submitted = change.submit(node, revision, order);
            let looked = change.wait_everywhere();
            let both = futures_lite::future::zip(Box::pin(submitted), Box::pin(looked));
            let (answered, seen) = both.await;
            accepted.record(micros(answered?)).into_diagnostic()?;
            in_force.record(micros(seen?)).into_diagnostic()?;
        }
        let nodes = deployment.nodes.len();
        println!("{nodes} nodes, {} changes, from the start of the write", self.changes);
        print_times("in force at every node", &in_force);
        print_times("accepted", &accepted);
        print_store(&idle, &before, &deployment.store_stats().await?);
        Ok(())
    }
}

/// One change and when it was begun.
struct TimedChange<'run> {
    deployment: &'run deployment::TestDeployment,
    name: &'run str,
    began: time::Instant,
}

impl TimedChange<'_> {
    async fn submit(
        &self,
        node: net::SocketAddr,
        base_revision: u64,
        action: wire::ChangeAction,
    ) -> miette::Result<time::Duration> {
        let request = wire::ChangeRequest {
            author: "lab".into(),
            base_revision,
            change_id: self.name.into(),
            action,
            wait: LOOK_LIMIT,
        };
        let answer = self.deployment.caller.post(node, operator::CHANGE_PATH, &request).await?;
        let text = String::from_utf8_lossy(answer.body());
        miette::ensure!(answer.status() == 200, "the change was not accepted: {text}");
        Ok(self.began.elapsed())
    }

    async fn wait_everywhere(&self) -> miette::Result<time::Duration> {
        let mut last = time::Duration::ZERO;
        for node in &self.deployment.nodes {
            while !self.knows(node.caller_address).await? {
                miette::ensure!(self.began.elapsed() < LOOK_LIMIT, "{} is late", node.name);
                Timer::after(LOOK_PERIOD).await;
            }
            last = self.began.elapsed();
        }
        Ok(last)
    }

    /// Whether a node knows the workspace: it then complains of the pipeline only.
    async fn knows(&self, node: net::SocketAddr) -> miette::Result<bool> {
        let call = caller::CallerRequest {
            path: "/v1/pipelines/none".into(),
            workspace: self.name.into(),
            profile: "counter".into(),
            key: None,
            body: "{}".into(),
        };
        let answer = self.deployment.caller.call(node, &call).await?;
        let problem: wire::ProblemBody = serde_json::from_slice(answer.body()).into_diagnostic()?;
        Ok(problem.detail.contains("pipeline"))
    }
}

/// Prints what the platform was asked while idle and during the changes.
fn print_store(idle: &types::StoreStats, before: &types::StoreStats, after: &types::StoreStats) {
    let span = |from: &types::StoreStats, to: &types::StoreStats| {
        let time = to.now.saturating_sub(from.now).as_millis();
        format!(
            "{} reads and {} writes in {time} ms",
            to.reads - from.reads,
            to.writes - from.writes
        )
    };
    println!("platform while idle: {}", span(idle, before));
    println!("platform during the changes: {}", span(before, after));
}

fn print_sizes() -> miette::Result<()> {
    println!(
        "workspaces endpoints document_json document_wire step_wire validate_us index_us step_us"
    );
    for workspaces in SIZES {
        let before = large_document(workspaces)?;
        let mut after = before.clone();
        after.revision += 1;
        after.zones_out =
            after.declarations.zones.iter().take(1).map(|one| one.name.clone()).collect();
        let began = time::Instant::now();
        miette::ensure!(
            !validation::has_faults(&validation::validate(&before.declarations)),
            "invalid"
        );
        let validated = began.elapsed();
        let began = time::Instant::now();
        let old = catalog::ConfigurationCatalog::new(before.clone());
        let indexed = began.elapsed();
        let began = time::Instant::now();
        let step = delta::diff(&before, &after);
        let stepped = began.elapsed();
        println!(
            "{workspaces} {} {} {} {} {} {} {}",
            old.endpoints().count(),
            serde_json::to_vec(&before).into_diagnostic()?.len(),
            rmp_serde::to_vec_named(&before).into_diagnostic()?.len(),
            rmp_serde::to_vec_named(&step).into_diagnostic()?.len(),
            validated.as_micros(),
            indexed.as_micros(),
            stepped.as_micros(),
        );
    }
    Ok(())
}

fn large_document(workspaces: usize) -> miette::Result<wire::ConfigurationDocument> {
    let mut declarations: wire::Declarations = serde_json::from_str(SAMPLE).into_diagnostic()?;
    let Some(model) = declarations.endpoints.first().cloned() else {
        miette::bail!("the sample has no endpoint");
    };
    declarations.workspaces = (0..workspaces)
        .map(|index| wire::WorkspaceDeclaration {
            name: format!("workspace-{index:05}").into(),
            weight: 1,
        })
        .collect();
    declarations.endpoints = (0..workspaces * ENDPOINTS_PER_100_WORKSPACES / 100)
        .map(|index| wire::EndpointDeclaration {
            address: net::SocketAddr::from(([10, 0, 0, 1], u16::try_from(index + 1).unwrap_or(1))),
            name: format!("endpoint-{index:05}").into(),
            vm: format!("vm-{index:05}").into(),
            ..model.clone()
        })
        .collect();
    Ok(wire::ConfigurationDocument {
        author: sync::Arc::from("lab"),
        change_id: "large".into(),
        declarations,
        revision: 1,
        vms_out: Vec::new(),
        zones_out: Vec::new(),
    })
}

fn new_histogram() -> miette::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MOST_MICROS, SIGNIFICANT_DIGITS).into_diagnostic()
}

fn micros(length: time::Duration) -> u64 {
    u64::try_from(length.as_micros()).unwrap_or(MOST_MICROS).clamp(1, MOST_MICROS)
}

fn print_times(name: &str, times: &Histogram<u64>) {
    let millis = |micros: u64| time::Duration::from_micros(micros).as_secs_f64() * 1000.0;
    let p50 = millis(times.value_at_quantile(0.5));
    println!("{name}: p50 {p50:.1} ms, max {:.1} ms", millis(times.max()));
}
