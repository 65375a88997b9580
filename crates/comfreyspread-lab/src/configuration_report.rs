//! Report on configuration changes: time until every node applies a change, and sizes.

use crate::{caller, deployment, process, types};
use async_io::Timer;
use comfreyspread::operations::operator_api;
use comfreyspread_policy::{catalog, delta, validation};
use comfreyspread_schema::types as wire;
use hdrhistogram::Histogram;
use miette::IntoDiagnostic as _;
use std::{net, process::ExitCode, sync, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
const IDLE_DURATION: time::Duration = time::Duration::from_secs(5);
const APPLY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const WORKSPACE_COUNTS: [usize; 4] = [70, 700, 7000, 14_000];
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
        let locations: Vec<_> = zones
            .map(|(index, zone)| deployment::NodeLocation {
                name: format!("entry-{}", index + 1).into(),
                zone: zone.name.clone(),
                region: zone.region.clone(),
            })
            .collect();
        let program = process::current_program()?;
        let deployment =
            deployment::TestDeployment::new(program, declarations, &locations, &[]).await?;
        deployment.configure(1).await?;
        Box::pin(self.time_changes(&deployment)).await?;
        deployment.stop().await?;
        print_sizes()?;
        Ok(ExitCode::SUCCESS)
    }

    async fn time_changes(&self, deployment: &deployment::TestDeployment) -> miette::Result<()> {
        let idle = deployment.store_stats().await?;
        Timer::after(IDLE_DURATION).await;
        let before = deployment.store_stats().await?;
        let mut applied = new_histogram()?;
        let mut accepted = new_histogram()?;
        let mut declarations = deployment.declarations.clone();
        for number in 0..self.changes {
            let name = format!("added-{number}");
            let workspace = wire::WorkspaceDeclaration { name: name.as_str().into(), weight: 1 };
            declarations.workspaces.push(workspace);
            let revision = u64::try_from(number).into_diagnostic()? + 1;
            let action = wire::ChangeAction::Declare { declarations: declarations.clone() };
            let change = TimedChange { deployment, name: &name, started: time::Instant::now() };
            let node = deployment.nodes[number % deployment.nodes.len()].caller_address;
            let submit = change.submit(node, revision, action);
            let wait = change.wait_for_all_nodes();
            let both = futures_lite::future::zip(Box::pin(submit), Box::pin(wait));
            let (accepted_after, applied_after) = both.await;
            accepted.record(micros(accepted_after?)).into_diagnostic()?;
            applied.record(micros(applied_after?)).into_diagnostic()?;
        }
        let nodes = deployment.nodes.len();
        println!("{nodes} nodes, {} changes, from the start of the write", self.changes);
        print_times("in force at every node", &applied);
        print_times("accepted", &accepted);
        print_store(&idle, &before, &deployment.store_stats().await?);
        Ok(())
    }
}

/// A change and the time it was submitted.
struct TimedChange<'run> {
    deployment: &'run deployment::TestDeployment,
    name: &'run str,
    started: time::Instant,
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
            wait: APPLY_TIMEOUT,
        };
        let answer = self.deployment.caller.post(node, operator_api::CHANGE_PATH, &request).await?;
        let text = String::from_utf8_lossy(answer.body());
        miette::ensure!(answer.status() == 200, "the change was not accepted: {text}");
        Ok(self.started.elapsed())
    }

    async fn wait_for_all_nodes(&self) -> miette::Result<time::Duration> {
        let mut elapsed = time::Duration::ZERO;
        for node in &self.deployment.nodes {
            while !self.has_applied(node.caller_address).await? {
                miette::ensure!(
                    self.started.elapsed() < APPLY_TIMEOUT,
                    "{} has not applied the change in time",
                    node.name
                );
                Timer::after(POLL_INTERVAL).await;
            }
            elapsed = self.started.elapsed();
        }
        Ok(elapsed)
    }

    /// Whether a node has applied the change: the only error left is the unknown pipeline.
    async fn has_applied(&self, node: net::SocketAddr) -> miette::Result<bool> {
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

/// Prints the reads and writes of the platform's store while idle and during the changes.
fn print_store(idle: &types::StoreStats, before: &types::StoreStats, after: &types::StoreStats) {
    let describe = |from: &types::StoreStats, to: &types::StoreStats| {
        let time = to.now.saturating_sub(from.now).as_millis();
        format!(
            "{} reads and {} writes in {time} ms",
            to.reads - from.reads,
            to.writes - from.writes
        )
    };
    println!("platform while idle: {}", describe(idle, before));
    println!("platform during the changes: {}", describe(before, after));
}

fn print_sizes() -> miette::Result<()> {
    println!(
        "workspaces endpoints document_json document_wire step_wire validate_us index_us step_us"
    );
    for workspaces in WORKSPACE_COUNTS {
        let before = large_document(workspaces)?;
        let mut after = before.clone();
        after.revision += 1;
        after.zones_out =
            after.declarations.zones.iter().take(1).map(|one| one.name.clone()).collect();
        let started = time::Instant::now();
        miette::ensure!(
            !validation::has_faults(&validation::validate(&before.declarations)),
            "invalid"
        );
        let validation_time = started.elapsed();
        let started = time::Instant::now();
        let catalog = catalog::ConfigurationCatalog::new(before.clone());
        let index_time = started.elapsed();
        let started = time::Instant::now();
        let delta = delta::diff(&before, &after);
        let diff_time = started.elapsed();
        println!(
            "{workspaces} {} {} {} {} {} {} {}",
            catalog.endpoints().count(),
            serde_json::to_vec(&before).into_diagnostic()?.len(),
            rmp_serde::to_vec_named(&before).into_diagnostic()?.len(),
            rmp_serde::to_vec_named(&delta).into_diagnostic()?.len(),
            validation_time.as_micros(),
            index_time.as_micros(),
            diff_time.as_micros(),
        );
    }
    Ok(())
}

fn large_document(workspaces: usize) -> miette::Result<wire::ConfigurationDocument> {
    let mut declarations: wire::Declarations = serde_json::from_str(SAMPLE).into_diagnostic()?;
    let Some(template) = declarations.endpoints.first().cloned() else {
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
            ..template.clone()
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
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).into_diagnostic()
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS)
}

fn print_times(name: &str, times: &Histogram<u64>) {
    let millis = |micros: u64| time::Duration::from_micros(micros).as_secs_f64() * 1000.0;
    let p50 = millis(times.value_at_quantile(0.5));
    println!("{name}: p50 {p50:.1} ms, max {:.1} ms", millis(times.max()));
}
