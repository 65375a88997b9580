//! Measures what a claim costs: rate at one node, added time, and store writes.
//!
//! The same calls are made twice at one node, first as calls that may be repeated, then as calls
//! that may not; the difference is the claim's.

use crate::{caller, deployment, endpoints, process, types};
use comfreyspread_schema::{ids, types as wire};
use miette::{Context as _, IntoDiagnostic as _};
use std::{cell, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const PROFILE_DEADLINE: time::Duration = time::Duration::from_secs(6);
const ENDPOINT_LIMIT: u32 = 1024;
const OK_STATUS: u16 = 200;
const LONGEST_US: u64 = 60_000_000;
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

/// Figures of one run.
#[derive(Debug)]
struct RunFigures {
    name: &'static str,
    times: hdrhistogram::Histogram<u64>,
    failures: u64,
    took: time::Duration,
}

impl ClaimBenchArguments {
    /// Runs the measurement and prints its figures.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a key ran more than once.
    pub async fn run(&self) -> miette::Result<std::process::ExitCode> {
        let deployment = self.start().await?;
        let plain = self.measure(&deployment, "repeatable", "ledger-read", "lookup").await?;
        let delay = time::Duration::from_millis(self.store_ms);
        let faults = types::StoreFaults { delay, ..types::StoreFaults::default() };
        deployment.set_store_faults(&faults).await?;
        let before = deployment.store_stats().await?.writes;
        let claimed = self.measure(&deployment, "claimed", "ledger-record", "record").await?;
        let writes = deployment.store_stats().await?.writes - before;
        let runs = endpoints::runs_by_key(&deployment.records().await?);
        let most = runs.values().max().copied().unwrap_or(0);
        let Self { callers, workers, store_ms, .. } = self;
        println!("callers {callers}, workers {workers}, store {store_ms} ms");
        plain.print();
        claimed.print();
        println!("store transactions: {:.2} a claimed call", per(writes, claimed.times.len()));
        println!("runs of one key: at most {most}");
        deployment.stop().await?;
        miette::ensure!(most == 1, "a key ran {most} times");
        Ok(std::process::ExitCode::SUCCESS)
    }

    async fn start(&self) -> miette::Result<deployment::TestDeployment> {
        let mut declarations: wire::Declarations =
            serde_json::from_str(SAMPLE).into_diagnostic()?;
        for pool in &mut declarations.pools {
            pool.cold_limit = ENDPOINT_LIMIT;
            pool.warm_limit = ENDPOINT_LIMIT;
        }
        for profile in &mut declarations.profiles {
            profile.deadline = PROFILE_DEADLINE;
        }
        let zone = declarations.zones.first().wrap_err("the sample has no zone")?;
        let place = deployment::NodeLocation {
            name: "entry-1".into(),
            zone: zone.name.clone(),
            region: zone.region.clone(),
        };
        let workers = self.workers.to_string();
        let extra = ["--workers", &workers];
        let program = process::own_program()?;
        let deployment =
            deployment::TestDeployment::new(program, declarations, &[place], &extra).await?;
        deployment.configure(1).await?;
        Ok(deployment)
    }

    async fn measure(
        &self,
        deployment: &deployment::TestDeployment,
        name: &'static str,
        service: &str,
        profile: &str,
    ) -> miette::Result<RunFigures> {
        let times = hdrhistogram::Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS)
            .into_diagnostic()?;
        let began = time::Instant::now();
        let figures = RunFigures { name, times, failures: 0, took: time::Duration::ZERO };
        let figures = cell::RefCell::new(figures);
        let until = began + time::Duration::from_secs(self.seconds);
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
                let loop_of_caller = call_until(deployment, &call, caller, until, &figures);
                executor.spawn(Box::pin(loop_of_caller))
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
        let mut figures = figures.into_inner();
        figures.took = began.elapsed();
        Ok(figures)
    }
}

/// Makes one call after the other until a moment.
async fn call_until(
    deployment: &deployment::TestDeployment,
    call: &caller::CallerRequest,
    caller: usize,
    until: time::Instant,
    figures: &cell::RefCell<RunFigures>,
) {
    let node = deployment.nodes[0].caller_address;
    let mut number = 0_u64;
    while time::Instant::now() < until {
        number += 1;
        let key: ids::IdempotencyKey = format!("{}-{caller}-{number}", call.profile).into();
        let call = caller::CallerRequest { key: Some(key), ..call.clone() };
        let began = time::Instant::now();
        let answer = deployment.caller.call(node, &call).await;
        let took = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut figures = figures.borrow_mut();
        if answer.is_ok_and(|answer| answer.status() == OK_STATUS) {
            figures.times.saturating_record(took);
        } else {
            figures.failures += 1;
        }
    }
}

impl RunFigures {
    fn print(&self) {
        let rate = per(self.times.len(), 1) / self.took.as_secs_f64();
        println!(
            "{:<11} {rate:>8.0} calls/s  p50 {:>6} us  p99 {:>6} us  failed {}",
            self.name,
            self.times.value_at_quantile(0.5),
            self.times.value_at_quantile(0.99),
            self.failures
        );
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts of a short run")]
fn per(count: u64, of: u64) -> f64 {
    count as f64 / of.max(1) as f64
}
