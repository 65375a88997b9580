//! Measures the cost of a claim: call rate at one node, added latency and store writes.
//!
//! One node serves two runs, first of repeatable calls, which need no claim, then of calls that
//! need one; the difference is the cost of the claim.

use crate::{caller, deployment, endpoints, process, types};
use comfreyspread_schema::{ids, types as wire};
use miette::{Context as _, IntoDiagnostic as _};
use std::{cell, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const PROFILE_DEADLINE: time::Duration = time::Duration::from_secs(6);
const CONCURRENCY_LIMIT: u32 = 1024;
const OK_STATUS: u16 = 200;
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Measures rate, added time and store writes of claims at one node.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "claim-bench")]
pub struct ClaimBenchArguments {
    /// seconds for each of the two runs
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// delay of each answer of the store, in milliseconds
    #[argh(option, default = "0")]
    pub store_ms: u64,
    /// callers at once
    #[argh(option, default = "32")]
    pub callers: usize,
    /// worker threads of the node
    #[argh(option, default = "1")]
    pub workers: usize,
}

/// Results of one run.
#[derive(Debug)]
struct RunResult {
    name: &'static str,
    latencies: hdrhistogram::Histogram<u64>,
    failures: u64,
    duration: time::Duration,
}

impl ClaimBenchArguments {
    /// Runs the measurement and prints its figures.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a key ran more than once.
    pub async fn run(&self) -> miette::Result<std::process::ExitCode> {
        let deployment = self.start().await?;
        let repeatable = self.measure(&deployment, "repeatable", "ledger-read", "lookup").await?;
        let delay = time::Duration::from_millis(self.store_ms);
        let faults = types::StoreFaults { delay, ..types::StoreFaults::default() };
        deployment.set_store_faults(&faults).await?;
        let before = deployment.store_stats().await?.writes;
        let claimed = self.measure(&deployment, "claimed", "ledger-record", "record").await?;
        let writes = deployment.store_stats().await?.writes - before;
        let runs = endpoints::runs_by_key(&deployment.records().await?);
        let max_runs = runs.values().max().copied().unwrap_or(0);
        let Self { callers, workers, store_ms, .. } = self;
        println!("callers {callers}, workers {workers}, store {store_ms} ms");
        repeatable.print();
        claimed.print();
        println!(
            "store transactions: {:.2} a claimed call",
            ratio(writes, claimed.latencies.len())
        );
        println!("runs of one key: at most {max_runs}");
        deployment.stop().await?;
        miette::ensure!(max_runs == 1, "a key ran {max_runs} times");
        Ok(std::process::ExitCode::SUCCESS)
    }

    async fn start(&self) -> miette::Result<deployment::TestDeployment> {
        let mut declarations: wire::Declarations =
            serde_json::from_str(SAMPLE).into_diagnostic()?;
        for pool in &mut declarations.pools {
            pool.cold_limit = CONCURRENCY_LIMIT;
            pool.warm_limit = CONCURRENCY_LIMIT;
        }
        for profile in &mut declarations.profiles {
            profile.deadline = PROFILE_DEADLINE;
        }
        let zone = declarations.zones.first().wrap_err("the sample has no zone")?;
        let location = deployment::NodeLocation {
            name: "entry-1".into(),
            zone: zone.name.clone(),
            region: zone.region.clone(),
        };
        let workers = self.workers.to_string();
        let node_arguments = ["--workers", &workers];
        let program = process::current_program()?;
        let deployment =
            deployment::TestDeployment::new(program, declarations, &[location], &node_arguments)
                .await?;
        deployment.configure(1).await?;
        Ok(deployment)
    }

    async fn measure(
        &self,
        deployment: &deployment::TestDeployment,
        name: &'static str,
        service: &str,
        profile: &str,
    ) -> miette::Result<RunResult> {
        let latencies =
            hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .into_diagnostic()?;
        let started = time::Instant::now();
        let result = RunResult { name, latencies, failures: 0, duration: time::Duration::ZERO };
        let result = cell::RefCell::new(result);
        let end = started + time::Duration::from_secs(self.seconds);
        let call = caller::CallerRequest {
            path: format!("/v1/services/{service}").into(),
            workspace: "medellin".into(),
            profile: profile.into(),
            key: None,
            body: r#"{"seller":"s-17","grams":12}"#.into(),
        };
        let executor = async_executor::LocalExecutor::new();
        let tasks: Vec<_> = (0..self.callers)
            .map(|caller| {
                let calls = call_until(deployment, &call, caller, end, &result);
                executor.spawn(Box::pin(calls))
            })
            .collect();
        executor
            .run(async {
                for task in tasks {
                    task.await;
                }
            })
            .await;
        drop(executor);
        let mut result = result.into_inner();
        result.duration = started.elapsed();
        Ok(result)
    }
}

/// Makes calls one after the other until `end`.
async fn call_until(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
    caller: usize,
    end: time::Instant,
    result: &cell::RefCell<RunResult>,
) {
    let node = deployment.nodes[0].caller_address;
    let mut sequence = 0_u64;
    while time::Instant::now() < end {
        sequence += 1;
        let key: ids::IdempotencyKey = format!("{}-{caller}-{sequence}", call.profile).into();
        let call = caller::CallerRequest { key: Some(key), ..call.clone() };
        let started = time::Instant::now();
        let answer = deployment.caller.call(node, &call).await;
        let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut result = result.borrow_mut();
        if answer.is_ok_and(|answer| answer.status() == OK_STATUS) {
            result.latencies.saturating_record(latency_us);
        } else {
            result.failures += 1;
        }
    }
}

impl RunResult {
    fn print(&self) {
        let rate = ratio(self.latencies.len(), 1) / self.duration.as_secs_f64();
        println!(
            "{:<11} {rate:>8.0} calls/s  p50 {:>6} us  p99 {:>6} us  failed {}",
            self.name,
            self.latencies.value_at_quantile(0.5),
            self.latencies.value_at_quantile(0.99),
            self.failures
        );
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a short run")]
fn ratio(count: u64, total: u64) -> f64 {
    count as f64 / total.max(1) as f64
}
