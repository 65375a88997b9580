//! Replay of a recorded trace against a test deployment of real processes.
//!
//! Each deployment consists of three files under `samples`: the declarations, a plan with the mix of
//! requests, and the targets that a replay has to meet.

use crate::{
    caller, deployment, fault, load_generator, process, process_usage, replay_analysis,
    replay_plot, replay_report, trace, types,
};
use comfreyspread::runtime::worker;
use comfreyspread_schema::{ids, types as wire};
use futures_lite::future;
use miette::IntoDiagnostic as _;
use std::{
    env, fs,
    io::{self, Write as _},
    path, process as system, slice, sync, time,
};

const FAULT_DELAY: time::Duration = time::Duration::from_secs(3);
const FAULT_DURATION: time::Duration = time::Duration::from_secs(8);
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);
const FIRST_REVISION: ids::RevisionNumber = 1;
const MAX_LOAD: f64 = 4.0;
const LOAD_TOLERANCE: f64 = 0.001;

/// Replays a recorded trace against a deployment and checks the stated outcomes.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArguments {
    /// deployment: oro-vivo or savinja
    #[argh(option, from_str_fn(parse_text))]
    deployment: ids::Text,
    /// seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
    /// load relative to the capacity of the warm engines
    #[argh(option, default = "1.0")]
    load: f64,
    /// fault: node-kill, node-freeze, store-down, zone-out, burst, endpoint-cold or link-cut
    #[argh(option)]
    fault: Option<fault::ReplayFault>,
    /// leave out the change of the availability zone
    #[argh(switch)]
    steady: bool,
    /// leave out the network stand-in, so that all regions are as near as one
    #[argh(switch)]
    direct: bool,
    /// lab program of another build for the nodes
    #[argh(option)]
    node_program: Option<path::PathBuf>,
    /// revision to name in the report
    #[argh(option, default = "\"this build\".into()", from_str_fn(parse_text))]
    revision: ids::Text,
    /// folder for the report, the plot and the logs of the nodes
    #[argh(option)]
    output: Option<path::PathBuf>,
}

/// Parses a text argument of the command line.
///
/// # Errors
///
/// Never fails.
pub fn parse_text(value: &str) -> Result<ids::Text, String> {
    Ok(value.into())
}

/// Declarations, plan and targets of one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSample {
    /// Declarations.
    pub declarations: wire::Declarations,
    /// Plan of the replay.
    pub plan: types::ReplayPlan,
    /// Targets that the replay has to meet.
    pub targets: types::ReplayTargets,
}

impl DeploymentSample {
    /// Reads the sample of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if there is no such deployment.
    pub fn new(name: &str) -> miette::Result<Self> {
        let files = match name {
            "oro-vivo" => [
                include_str!("../samples/oro-vivo.json"),
                include_str!("../samples/oro-vivo.replay.json"),
                include_str!("../samples/oro-vivo.outcomes.json"),
            ],
            "savinja" => [
                include_str!("../samples/savinja.json"),
                include_str!("../samples/savinja.replay.json"),
                include_str!("../samples/savinja.outcomes.json"),
            ],
            _ => miette::bail!("there is no deployment {name}; there are oro-vivo and savinja"),
        };
        Ok(Self {
            declarations: serde_json::from_str(files[0]).into_diagnostic()?,
            plan: serde_json::from_str(files[1]).into_diagnostic()?,
            targets: serde_json::from_str(files[2]).into_diagnostic()?,
        })
    }

    fn places(&self) -> Vec<deployment::NodeLocation> {
        let region_of = |zone: &ids::ZoneId| {
            let declaration = self.declarations.zones.iter().find(|entry| entry.name == *zone);
            declaration.map(|entry| entry.region.clone()).unwrap_or_default()
        };
        let place = |site: &types::NodeSite| deployment::NodeLocation {
            name: site.name.clone(),
            region: region_of(&site.zone),
            zone: site.zone.clone(),
        };
        self.plan.nodes.iter().map(place).collect()
    }

    fn deadline(&self, profile: &ids::ProfileId) -> time::Duration {
        let declaration = self.declarations.profiles.iter().find(|entry| entry.name == *profile);
        declaration.map(|entry| entry.deadline).unwrap_or_default()
    }
}

impl ReplayArguments {
    /// Runs the replay and prints its report.
    ///
    /// # Errors
    ///
    /// Fails if the deployment cannot be started or a change of it fails.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        miette::ensure!(
            0.0 < self.load && self.load <= MAX_LOAD,
            "the load must be above 0 and at most {MAX_LOAD}"
        );
        let sample = DeploymentSample::new(&self.deployment)?;
        let folder = self.folder()?;
        let trace =
            trace::RequestTrace::new(&sample.plan, self.seed, self.load, self.burst(&sample));
        let trace = trace.into_diagnostic()?;
        let report = self.replay(&sample, &trace, &folder, spawner).await?;
        replay_report::print(&report);
        let report_path = folder.join("report");
        let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
        fs::write(report_path.with_extension("json"), json).into_diagnostic()?;
        let svg = replay_plot::draw(&report, &sample.plan);
        fs::write(report_path.with_extension("svg"), &*svg).into_diagnostic()?;
        println!("written: {}/report.json and report.svg", folder.display());
        Ok(if report.missed_targets.is_empty() {
            system::ExitCode::SUCCESS
        } else {
            system::ExitCode::FAILURE
        })
    }

    fn folder(&self) -> miette::Result<path::PathBuf> {
        let folder = self.output.clone().unwrap_or_else(|| {
            env::temp_dir().join(format!("comfreyspread-replay-{}", system::id()))
        });
        fs::create_dir_all(&folder).into_diagnostic()?;
        Ok(folder)
    }

    /// Returns the burst of the trace if that is the fault to inject.
    fn burst(&self, sample: &DeploymentSample) -> Option<trace::BurstWindow> {
        let start = sample.plan.warm + FAULT_DELAY;
        let window = trace::BurstWindow { start, end: start + FAULT_DURATION };
        (self.fault == Some(fault::ReplayFault::Burst)).then_some(window)
    }

    async fn replay(
        &self,
        sample: &DeploymentSample,
        trace: &trace::RequestTrace,
        folder: &path::Path,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<types::ReplayReport> {
        let mut deployment = self.start(sample, folder).await?;
        deployment.configure(FIRST_REVISION).await?;
        let trace_start = deployment.records().await?.now;
        let start = time::Instant::now();
        let addresses: Vec<_> = deployment.nodes.iter().map(|node| node.caller_address).collect();
        let call_driver = sync::Arc::new(load_generator::LoadGenerator::new(&addresses));
        let readiness_checks: Vec<_> = (0..addresses.len())
            .map(|index| spawner.spawn(call_driver.clone().poll_ready(index)))
            .collect();
        let (sender, receiver) = async_channel::unbounded();
        let senders = send_requests(sample, trace, &call_driver, start, spawner, sender);
        let changes = self.apply_changes(sample, &mut deployment, start);
        let collected = collect_outcomes(receiver, trace, start);
        let ((_, usages), outcomes) = future::zip(future::zip(senders, changes), collected).await;
        drop(readiness_checks);
        let mut report = self.report(sample, trace, &deployment, &outcomes, trace_start).await?;
        report.nodes = usages?;
        report.missed_targets = missed_targets(sample, self.fault, &report);
        deployment.stop().await?;
        Ok(report)
    }

    async fn start(
        &self,
        sample: &DeploymentSample,
        folder: &path::Path,
    ) -> miette::Result<deployment::TestDeployment> {
        let times = folder.join("times.json");
        let pools = types::CallTimes { pools: sample.plan.times.clone() };
        fs::write(&times, serde_json::to_string(&pools).into_diagnostic()?).into_diagnostic()?;
        let options = deployment::DeploymentOptions {
            node_arguments: ["--log-level", "warn"].map(ids::Text::from).into(),
            endpoint_arguments: vec!["--times".into(), times.to_string_lossy().into()],
            link: (!self.direct).then(|| sample.plan.link.clone()),
            node_program: self.node_program.clone(),
            log_folder: Some(folder.to_owned()),
            ..deployment::DeploymentOptions::default()
        };
        let program = process::current_program()?;
        let declarations = sample.declarations.clone();
        deployment::TestDeployment::with_options(program, declarations, &sample.places(), options)
            .await
    }

    /// Injects the fault and takes the zone out and back at the planned times; returns the resource
    /// usage of the nodes after the warm-up.
    async fn apply_changes(
        &self,
        sample: &DeploymentSample,
        deployment: &mut deployment::TestDeployment,
        start: time::Instant,
    ) -> miette::Result<Vec<types::NodeReport>> {
        let plan = &sample.plan;
        async_io::Timer::at(start + plan.warm).await;
        let earlier = usages(deployment);
        if let Some(fault) = self.fault {
            async_io::Timer::at(start + plan.warm + FAULT_DELAY).await;
            fault.inject(deployment, &plan.zone).await?;
            async_io::Timer::at(start + plan.warm + FAULT_DELAY + FAULT_DURATION).await;
            fault.clear(deployment, &plan.zone).await?;
        }
        if !self.steady {
            let zone_out_at = start + plan.warm + plan.before;
            async_io::Timer::at(zone_out_at).await;
            deployment.write_configuration(FIRST_REVISION + 1, slice::from_ref(&plan.zone)).await?;
            async_io::Timer::at(zone_out_at + plan.out).await;
            deployment.write_configuration(FIRST_REVISION + 2, &[]).await?;
        }
        async_io::Timer::at(start + trace::duration(plan)).await;
        Ok(node_reports(deployment, &earlier, &usages(deployment)))
    }

    async fn report(
        &self,
        sample: &DeploymentSample,
        trace: &trace::RequestTrace,
        deployment: &deployment::TestDeployment,
        outcomes: &[load_generator::CallOutcome],
        trace_start: time::Duration,
    ) -> miette::Result<types::ReplayReport> {
        let records = deployment.records().await?;
        let analysis = replay_analysis::ReplayAnalysis {
            plan: &sample.plan,
            declarations: &deployment.declarations,
            trace,
            outcomes,
            records: &records,
            trace_start,
            zone_change: !self.steady,
        };
        let seconds = analysis.seconds();
        Ok(types::ReplayReport {
            between_tokens: analysis.between_tokens(),
            caller_retries: outcomes.iter().map(|outcome| u64::from(outcome.retries)).sum(),
            deployment: sample.plan.deployment.clone(),
            dip: replay_analysis::longest_dip(&sample.plan, &seconds),
            fault: self.fault.map(|fault| fault.name().into()),
            first_token: analysis.first_token(),
            goodput: analysis.goodput(),
            groups: analysis.groups(),
            links: if self.direct { Vec::new() } else { deployment.link_stats().await?.links },
            load: self.load,
            missed_targets: Vec::new(),
            nodes: Vec::new(),
            program: self.revision.clone(),
            invariants: analysis.invariants(),
            seconds,
            seed: self.seed,
            stages: analysis.stages(),
            store: deployment.store_stats().await?,
        })
    }
}

/// Sends each request when it is due, without waiting for earlier ones.
async fn send_requests(
    sample: &DeploymentSample,
    trace: &trace::RequestTrace,
    call_driver: &sync::Arc<load_generator::LoadGenerator>,
    start: time::Instant,
    spawner: &worker::TaskSpawner,
    sender: async_channel::Sender<load_generator::CallOutcome>,
) {
    for (index, request) in trace.requests().iter().enumerate() {
        let due = start + request.due;
        if due > time::Instant::now() {
            async_io::Timer::at(due).await;
        }
        let request = scheduled_request(sample, index, request, due);
        let call_driver = call_driver.clone();
        let sender = sender.clone();
        spawner.detach(async move {
            let outcome = call_driver.send(&request).await;
            sender.send(outcome).await.ok();
        });
    }
}

fn scheduled_request(
    sample: &DeploymentSample,
    index: usize,
    request: &trace::TraceRequest,
    due: time::Instant,
) -> load_generator::ScheduledRequest {
    let kind = &sample.plan.kinds[request.kind];
    let body = serde_json::json!({ "marker": request.marker, "work": kind.work });
    load_generator::ScheduledRequest {
        index,
        due,
        deadline: sample.deadline(&kind.profile),
        marker: request.marker.clone(),
        streaming: kind.streaming,
        call: caller::CallerRequest {
            path: kind.path.clone(),
            workspace: request.workspace.clone(),
            profile: kind.profile.clone(),
            key: kind.keyed.then(|| request.marker.clone()),
            body: body.to_string().into(),
        },
    }
}

/// Collects the outcomes of the requests and prints the progress of the replay.
async fn collect_outcomes(
    receiver: async_channel::Receiver<load_generator::CallOutcome>,
    trace: &trace::RequestTrace,
    start: time::Instant,
) -> Vec<load_generator::CallOutcome> {
    let mut outcomes = Vec::with_capacity(trace.requests().len());
    let mut last_progress = start;
    while let Ok(outcome) = receiver.recv().await {
        outcomes.push(outcome);
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            last_progress = time::Instant::now();
            let seconds = start.elapsed().as_secs();
            eprint!("\r{seconds} s, {} of {} requests", outcomes.len(), trace.requests().len());
            io::stderr().flush().ok();
        }
    }
    eprintln!();
    outcomes
}

fn usages(deployment: &deployment::TestDeployment) -> Vec<Option<process_usage::ProcessUsage>> {
    deployment
        .nodes
        .iter()
        .map(|node| process_usage::ProcessUsage::new(node.process.id()))
        .collect()
}

fn node_reports(
    deployment: &deployment::TestDeployment,
    earlier: &[Option<process_usage::ProcessUsage>],
    later: &[Option<process_usage::ProcessUsage>],
) -> Vec<types::NodeReport> {
    let pairs = deployment.nodes.iter().zip(earlier.iter().zip(later));
    let report = |(node, (earlier, later)): (&deployment::NodeProcess, _)| {
        let (earlier, later): (
            &Option<process_usage::ProcessUsage>,
            &Option<process_usage::ProcessUsage>,
        ) = (earlier, later);
        let later = later.as_ref()?;
        let core = later.cpu_cores_since(earlier.as_ref()?);
        Some(types::NodeReport { core, memory_kb: later.memory_kb, node: node.name.clone() })
    };
    pairs.filter_map(report).collect()
}

/// Returns a text for each target that was missed and each invariant that was violated.
fn missed_targets(
    sample: &DeploymentSample,
    fault: Option<fault::ReplayFault>,
    report: &types::ReplayReport,
) -> Vec<ids::Text> {
    let mut missed = invariant_violations(&report.invariants);
    let fault = fault.map(fault::ReplayFault::name);
    let target = sample.targets.targets.iter().find(|target| {
        (target.load - report.load).abs() < LOAD_TOLERANCE && target.fault.as_deref() == fault
    });
    let Some(target) = target else { return missed };
    let high = report.groups.iter().find(|group| &*group.name == "high");
    let share = high.map_or(0.0, |group| group.on_time as f64 / group.requests.max(1) as f64);
    if share < target.min_high_attainment {
        let min_attainment = target.min_high_attainment;
        missed.push(format!("high-priority attainment {share:.4}, stated {min_attainment}").into());
    }
    if !target.max_dip.is_zero() && report.dip > target.max_dip {
        let text = format!("dip of {:?}, stated {:?}", report.dip, target.max_dip);
        missed.push(text.into());
    }
    missed
}

fn invariant_violations(invariants: &types::InvariantReport) -> Vec<ids::Text> {
    let counts = [
        ("keys that ran more than once", invariants.duplicate_runs),
        ("answered runs that no endpoint finished", invariants.lost_runs),
        ("answers cut short", invariants.truncated_answers),
        ("answers of another request", invariants.misrouted_answers),
        ("refusals not-run that reached an endpoint", invariants.false_not_run),
        ("calls to the zone that is out", invariants.disabled_zone_calls),
        ("calls beyond a cold limit", invariants.cold_calls_over),
        ("calls that were not recorded", invariants.dropped_records),
    ];
    let violated = counts.iter().filter(|(_, count)| *count > 0);
    violated.map(|(name, count)| format!("{name}: {count}").into()).collect()
}
