//! Replay of a recorded trace against a deployment of separate processes.
//!
//! The deployments are data: declarations, a plan with the mix of requests, and the outcomes that
//! have to be reached, each a file under `samples`.

use crate::{
    caller, deployment, fault, load_generator, plot, process, report, tally, trace, types, usage,
};
use comfreyspread::runtime::worker;
use comfreyspread_schema::{ids, types as wire};
use futures_lite::future;
use miette::IntoDiagnostic as _;
use std::{env, fs, io, io::Write as _, path, process as system, slice, sync, time};

const FAULT_AFTER: time::Duration = time::Duration::from_secs(3);
const FAULT_LENGTH: time::Duration = time::Duration::from_secs(8);
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);
const FIRST_REVISION: ids::RevisionNumber = 1;
const MOST_LOAD: f64 = 4.0;
const LOAD_TOLERANCE: f64 = 0.001;

/// Replays a recorded trace against a deployment and checks the stated outcomes.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArguments {
    /// deployment: oro-vivo or savinja
    #[argh(option, from_str_fn(text))]
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
    #[argh(option, default = "\"this build\".into()", from_str_fn(text))]
    revision: ids::Text,
    /// folder for the report, the plot and the logs of the nodes
    #[argh(option)]
    output: Option<path::PathBuf>,
}

/// Reads a text of the command line.
///
/// # Errors
///
/// Never fails.
pub fn text(value: &str) -> Result<ids::Text, String> {
    Ok(value.into())
}

/// The files of one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSample {
    /// Declarations.
    pub declarations: wire::Declarations,
    /// Plan of the replay.
    pub plan: types::ReplayPlan,
    /// Outcomes that have to be reached.
    pub outcomes: types::ReplayTargets,
}

impl DeploymentSample {
    /// Reads the sample of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if there is no such deployment.
    pub fn new(name: &str) -> miette::Result<Self> {
        let texts = match name {
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
            declarations: serde_json::from_str(texts[0]).into_diagnostic()?,
            plan: serde_json::from_str(texts[1]).into_diagnostic()?,
            outcomes: serde_json::from_str(texts[2]).into_diagnostic()?,
        })
    }

    fn places(&self) -> Vec<deployment::NodeLocation> {
        let region = |zone: &ids::ZoneId| {
            let declared = self.declarations.zones.iter().find(|entry| entry.name == *zone);
            declared.map(|entry| entry.region.clone()).unwrap_or_default()
        };
        let place = |site: &types::NodeSite| deployment::NodeLocation {
            name: site.name.clone(),
            region: region(&site.zone),
            zone: site.zone.clone(),
        };
        self.plan.nodes.iter().map(place).collect()
    }

    fn deadline(&self, profile: &ids::ProfileId) -> time::Duration {
        let found = self.declarations.profiles.iter().find(|entry| entry.name == *profile);
        found.map(|entry| entry.deadline).unwrap_or_default()
    }
}

impl ReplayArguments {
    /// Runs the replay and prints its report.
    ///
    /// # Errors
    ///
    /// Fails if the deployment cannot be started or driven.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        miette::ensure!(0.0 < self.load && self.load <= MOST_LOAD, "the load is 0 to {MOST_LOAD}");
        let sample = DeploymentSample::new(&self.deployment)?;
        let folder = self.folder()?;
        let trace =
            trace::RequestTrace::new(&sample.plan, self.seed, self.load, self.burst(&sample));
        let trace = trace.into_diagnostic()?;
        let report = self.replay(&sample, &trace, &folder, spawner).await?;
        report::print(&report);
        let stem = folder.join("report");
        let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
        fs::write(stem.with_extension("json"), json).into_diagnostic()?;
        let drawing = plot::draw(&report, &sample.plan);
        fs::write(stem.with_extension("svg"), &*drawing).into_diagnostic()?;
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

    fn burst(&self, sample: &DeploymentSample) -> Option<trace::BurstSpan> {
        let from = sample.plan.warm + FAULT_AFTER;
        let span = trace::BurstSpan { from, until: from + FAULT_LENGTH };
        (self.fault == Some(fault::ReplayFault::Burst)).then_some(span)
    }

    async fn replay(
        &self,
        sample: &DeploymentSample,
        trace: &trace::RequestTrace,
        folder: &path::Path,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<types::ReplayReport> {
        let mut running = self.start(sample, folder).await?;
        running.configure(FIRST_REVISION).await?;
        let earlier = running.records().await?.now;
        let start = time::Instant::now();
        let addresses: Vec<_> = running.nodes.iter().map(|node| node.caller_address).collect();
        let calls = sync::Arc::new(load_generator::LoadGenerator::new(&addresses));
        let watches: Vec<_> = (0..addresses.len())
            .map(|index| spawner.spawn(calls.clone().poll_ready(index)))
            .collect();
        let (sender, receiver) = async_channel::unbounded();
        let driven = drive(sample, trace, &calls, start, spawner, sender);
        let operated = self.operate(sample, &mut running, start);
        let collected = collect(receiver, trace, start);
        let ((_, usages), outcomes) = future::zip(future::zip(driven, operated), collected).await;
        drop(watches);
        let mut report = self.report(sample, trace, &running, &outcomes, earlier).await?;
        report.nodes = usages?;
        report.missed_targets = misses(sample, self.fault, &report);
        running.stop().await?;
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
        let program = process::own_program()?;
        let declarations = sample.declarations.clone();
        deployment::TestDeployment::with_options(program, declarations, &sample.places(), options)
            .await
    }

    /// Changes the zone and brings the fault about at their moments; returns the nodes' usage.
    async fn operate(
        &self,
        sample: &DeploymentSample,
        running: &mut deployment::TestDeployment,
        start: time::Instant,
    ) -> miette::Result<Vec<types::NodeReport>> {
        let plan = &sample.plan;
        async_io::Timer::at(start + plan.warm).await;
        let earlier = usages(running);
        if let Some(fault) = self.fault {
            async_io::Timer::at(start + plan.warm + FAULT_AFTER).await;
            fault.inject(running, &plan.zone).await?;
            async_io::Timer::at(start + plan.warm + FAULT_AFTER + FAULT_LENGTH).await;
            fault.clear(running, &plan.zone).await?;
        }
        if !self.steady {
            let out = start + plan.warm + plan.before;
            async_io::Timer::at(out).await;
            running.write_configuration(FIRST_REVISION + 1, slice::from_ref(&plan.zone)).await?;
            async_io::Timer::at(out + plan.out).await;
            running.write_configuration(FIRST_REVISION + 2, &[]).await?;
        }
        async_io::Timer::at(start + trace::length(plan)).await;
        Ok(node_reports(running, &earlier, &usages(running)))
    }

    async fn report(
        &self,
        sample: &DeploymentSample,
        trace: &trace::RequestTrace,
        running: &deployment::TestDeployment,
        outcomes: &[load_generator::CallOutcome],
        trace_start: time::Duration,
    ) -> miette::Result<types::ReplayReport> {
        let records = running.records().await?;
        let evidence = tally::ReplayEvidence {
            plan: &sample.plan,
            declarations: &running.declarations,
            trace,
            outcomes,
            records: &records,
            trace_start,
            zone_change: !self.steady,
        };
        let seconds = evidence.seconds();
        Ok(types::ReplayReport {
            between_tokens: evidence.between_tokens(),
            caller_retries: outcomes.iter().map(|outcome| u64::from(outcome.retries)).sum(),
            deployment: sample.plan.deployment.clone(),
            dip: tally::longest_dip(&sample.plan, &seconds),
            fault: self.fault.map(|fault| fault.name().into()),
            first_token: evidence.first_token(),
            goodput: evidence.goodput(),
            groups: evidence.groups(),
            links: if self.direct { Vec::new() } else { running.link_stats().await?.links },
            load: self.load,
            missed_targets: Vec::new(),
            nodes: Vec::new(),
            program: self.revision.clone(),
            invariants: evidence.promises(),
            seconds,
            seed: self.seed,
            stages: evidence.stages(),
            store: running.store_stats().await?,
        })
    }
}

/// Starts each request when it is due.
async fn drive(
    sample: &DeploymentSample,
    trace: &trace::RequestTrace,
    calls: &sync::Arc<load_generator::LoadGenerator>,
    start: time::Instant,
    spawner: &worker::TaskSpawner,
    sender: async_channel::Sender<load_generator::CallOutcome>,
) {
    for (index, request) in trace.requests().iter().enumerate() {
        let due = start + request.due;
        if due > time::Instant::now() {
            async_io::Timer::at(due).await;
        }
        let scheduled = scheduled_request(sample, index, request, due);
        let calls = calls.clone();
        let sender = sender.clone();
        spawner.detach(async move {
            let outcome = calls.send(&scheduled).await;
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

/// Gathers what became of the requests and shows how far the replay is.
async fn collect(
    receiver: async_channel::Receiver<load_generator::CallOutcome>,
    trace: &trace::RequestTrace,
    start: time::Instant,
) -> Vec<load_generator::CallOutcome> {
    let mut outcomes = Vec::with_capacity(trace.requests().len());
    let mut shown = start;
    while let Ok(outcome) = receiver.recv().await {
        outcomes.push(outcome);
        if shown.elapsed() >= PROGRESS_INTERVAL {
            shown = time::Instant::now();
            let seconds = start.elapsed().as_secs();
            eprint!("\r{seconds} s, {} of {} requests", outcomes.len(), trace.requests().len());
            io::stderr().flush().ok();
        }
    }
    eprintln!();
    outcomes
}

fn usages(running: &deployment::TestDeployment) -> Vec<Option<usage::ProcessUsage>> {
    running.nodes.iter().map(|node| usage::ProcessUsage::new(node.process.id())).collect()
}

fn node_reports(
    running: &deployment::TestDeployment,
    earlier: &[Option<usage::ProcessUsage>],
    later: &[Option<usage::ProcessUsage>],
) -> Vec<types::NodeReport> {
    let pairs = running.nodes.iter().zip(earlier.iter().zip(later));
    let report = |(node, (earlier, later)): (&deployment::NodeProcess, _)| {
        let (earlier, later): (&Option<usage::ProcessUsage>, &Option<usage::ProcessUsage>) =
            (earlier, later);
        let later = later.as_ref()?;
        let core = later.core_since(earlier.as_ref()?);
        Some(types::NodeReport { core, memory_kb: later.memory_kb, node: node.name.clone() })
    };
    pairs.filter_map(report).collect()
}

/// Returns the stated outcomes that were missed.
fn misses(
    sample: &DeploymentSample,
    fault: Option<fault::ReplayFault>,
    report: &types::ReplayReport,
) -> Vec<ids::Text> {
    let mut misses = broken_promises(&report.invariants);
    let fault = fault.map(fault::ReplayFault::name);
    let stated = sample.outcomes.targets.iter().find(|outcome| {
        (outcome.load - report.load).abs() < LOAD_TOLERANCE && outcome.fault.as_deref() == fault
    });
    let Some(stated) = stated else { return misses };
    let high = report.groups.iter().find(|group| &*group.name == "high");
    let share = high.map_or(0.0, |group| group.on_time as f64 / group.requests.max(1) as f64);
    if share < stated.min_high_attainment {
        let least = stated.min_high_attainment;
        misses.push(format!("high-priority attainment {share:.4}, stated {least}").into());
    }
    if !stated.max_dip.is_zero() && report.dip > stated.max_dip {
        let text = format!("dip of {:?}, stated {:?}", report.dip, stated.max_dip);
        misses.push(text.into());
    }
    misses
}

fn broken_promises(promises: &types::InvariantReport) -> Vec<ids::Text> {
    let counts = [
        ("keys that ran more than once", promises.duplicate_runs),
        ("answered runs that no endpoint finished", promises.lost_runs),
        ("answers cut short", promises.truncated_answers),
        ("answers of another request", promises.misrouted_answers),
        ("refusals not-run that reached an endpoint", promises.false_not_run),
        ("calls to the zone that is out", promises.disabled_zone_calls),
        ("calls beyond a cold limit", promises.cold_calls_over),
        ("calls that were not recorded", promises.dropped_records),
    ];
    let broken = counts.iter().filter(|(_, count)| *count > 0);
    broken.map(|(name, count)| format!("{name}: {count}").into()).collect()
}
