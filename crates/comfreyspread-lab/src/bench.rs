//! Benchmark: what a node adds to a call and what it can carry per core.
//!
//! The endpoints answer at once, so the times are those of the path. Calls to an endpoint directly
//! and through nodes take turns in one run, so that a busy machine burdens both alike.

use crate::{bench_report, caller, deployment, process, tally, types, usage};
use comfreyspread::{
    runtime::worker,
    transport::{failure, header, http_client, http_message},
};
use comfreyspread_schema::{ids, types as wire};
use futures_lite::StreamExt as _;
use miette::IntoDiagnostic as _;
use std::{
    net, process as system,
    sync::{self, atomic},
    time,
};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const BENCH_LIMIT: u32 = 1024;
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const CALL_PATIENCE: time::Duration = time::Duration::from_secs(10);
const WARM_CALLS: usize = 200;
const IDLE_TIME: time::Duration = time::Duration::from_secs(4);
const STAGES_PER_PIPELINE: f64 = 4.0;
const MOST_ADDED_MILLISECONDS: f64 = 0.3;
const LEAST_CALLS_PER_CORE: f64 = 4000.0;
const LEAST_TOKENS_PER_CORE: f64 = 50_000.0;
const MOST_IDLE_CORE: f64 = 0.01;
const MOST_IDLE_MEBIBYTES: f64 = 64.0;

/// Measures what a node adds to a call and what it can carry per core.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArguments {
    /// calls one after the other for each latency
    #[argh(option, default = "2000")]
    calls: usize,
    /// seconds of load for each throughput
    #[argh(option, default = "4")]
    seconds: u64,
    /// calls in flight for each throughput
    #[argh(option, default = "32")]
    concurrency: usize,
    /// tokens of each stream
    #[argh(option, default = "2000")]
    tokens: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

impl BenchArguments {
    /// Runs the benchmark and prints its report.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a call is not served.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        let bench = self.start().await?;
        let mut measures = bench.idle().await;
        measures.extend(bench.latencies(self.calls).await?);
        let length = time::Duration::from_secs(self.seconds);
        let load = BenchLoad { length, concurrency: self.concurrency };
        measures.extend(bench.throughputs(load, spawner).await?);
        let report = types::BenchReport { measures };
        let code = bench_report::finish(&report, self.json)?;
        bench.deployment.stop().await?;
        Ok(code)
    }

    async fn start(&self) -> miette::Result<BenchDeployment> {
        let mut declarations: wire::Declarations =
            serde_json::from_str(SAMPLE).into_diagnostic()?;
        let zone = declarations.zones[0].clone();
        declarations.endpoints.retain(|endpoint| endpoint.zone == zone.name);
        for endpoint in &mut declarations.endpoints {
            endpoint.enforces_fencing = false;
        }
        for pool in &mut declarations.pools {
            pool.cold_limit = BENCH_LIMIT;
            pool.warm_limit = BENCH_LIMIT;
        }
        let place = |name: &str| deployment::NodeLocation {
            name: name.into(),
            region: zone.region.clone(),
            zone: zone.name.clone(),
        };
        let places = [place("entry-1"), place("entry-2")];
        let folder = std::env::temp_dir().join(format!("comfreyspread-bench-{}", system::id()));
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        let times = folder.join("times.json");
        let pools = declarations.pools.iter().map(|pool| self.pool_times(&pool.name)).collect();
        let text = serde_json::to_string(&types::CallTimes { pools }).into_diagnostic()?;
        std::fs::write(&times, text).into_diagnostic()?;
        let times: ids::Text = times.to_string_lossy().into();
        let options = deployment::DeploymentOptions {
            node_arguments: ["--log-level", "warn"].map(ids::Text::from).into(),
            endpoint_arguments: vec!["--times".into(), times, "--record-limit".into(), "1".into()],
            log_folder: Some(folder),
            ..deployment::DeploymentOptions::default()
        };
        let program = process::own_program()?;
        let started =
            deployment::TestDeployment::with_options(program, declarations, &places, options);
        let deployment = started.await?;
        deployment.configure(1).await?;
        let client = sync::Arc::new(http_client::HttpClient::new(ANSWER_LIMIT_BYTES));
        Ok(BenchDeployment { deployment, client })
    }

    fn pool_times(&self, pool: &ids::PoolId) -> types::PoolTimes {
        types::PoolTimes {
            batch: 0,
            call: time::Duration::ZERO,
            pool: pool.clone(),
            spread: 0,
            token: time::Duration::ZERO,
            tokens: self.tokens,
        }
    }
}

/// How much load a throughput is measured under.
#[derive(Clone, Copy, Debug)]
struct BenchLoad {
    length: time::Duration,
    concurrency: usize,
}

struct BenchDeployment {
    deployment: deployment::TestDeployment,
    client: sync::Arc<http_client::HttpClient>,
}

impl BenchDeployment {
    async fn idle(&self) -> Vec<types::BenchMeasure> {
        let process = self.deployment.nodes[0].process.id();
        let earlier = usage::ProcessUsage::new(process);
        async_io::Timer::after(IDLE_TIME).await;
        let (Some(earlier), Some(later)) = (earlier, usage::ProcessUsage::new(process)) else {
            return Vec::new();
        };
        let memory = later.memory_mebibytes();
        vec![
            bench_report::measure("idle node, share of a core", later.core_since(&earlier), "core")
                .with_most(MOST_IDLE_CORE),
            bench_report::measure("idle node, resident memory", memory, "MiB")
                .with_most(MOST_IDLE_MEBIBYTES),
        ]
        .into_iter()
        .map(|figure| figure.measure)
        .collect()
    }

    async fn latencies(&self, calls: usize) -> miette::Result<Vec<types::BenchMeasure>> {
        let endpoint = self.ledger_address()?;
        let nodes = &self.deployment.nodes;
        let mut direct = tally::TimeHistogram::new();
        let mut through = [tally::TimeHistogram::new(), tally::TimeHistogram::new()];
        for index in 0..calls + WARM_CALLS {
            let taken = self.time_call(direct_request(endpoint), endpoint).await?;
            let counted = index >= WARM_CALLS;
            if counted {
                direct.record(taken);
            }
            for (node, times) in nodes.iter().zip(&mut through) {
                let address = node.caller_address;
                let request = caller::http_request(address, &ledger_read());
                let taken = self.time_call(request, address).await?;
                if counted {
                    times.record(taken);
                }
            }
        }
        let direct = direct.report();
        let mut reports = through.map(|times| times.report());
        reports.sort_by(|one, other| one.p50.total_cmp(&other.p50));
        let added = |value: f64, base: f64| value - base;
        let [owner, other] = reports;
        Ok(vec![
            bench_report::measure("direct call p50", direct.p50, "ms").measure,
            bench_report::measure("direct call p99", direct.p99, "ms").measure,
            bench_report::measure(
                "added through the owner p50",
                added(owner.p50, direct.p50),
                "ms",
            )
            .measure,
            bench_report::measure(
                "added through the owner p99",
                added(owner.p99, direct.p99),
                "ms",
            )
            .measure,
            bench_report::measure(
                "added through the other node p50",
                added(other.p50, direct.p50),
                "ms",
            )
            .with_most(MOST_ADDED_MILLISECONDS)
            .measure,
            bench_report::measure(
                "added through the other node p99",
                added(other.p99, direct.p99),
                "ms",
            )
            .measure,
        ])
    }

    async fn throughputs(
        &self,
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<Vec<types::BenchMeasure>> {
        let single = self.nodes_of(1);
        let both = self.nodes_of(2);
        let service = ledger_read();
        let pipeline = pipeline_call();
        let services = self.calls_per_core(&single, &service, load, spawner).await?;
        let pipelines = self.calls_per_core(&both, &pipeline, load, spawner).await?;
        let tokens = self.tokens_per_core(&both, load, spawner).await?;
        Ok(vec![
            bench_report::measure("service calls per core of a node", services, "calls/s").measure,
            bench_report::measure(
                "stage calls per core of a node",
                pipelines * STAGES_PER_PIPELINE,
                "calls/s",
            )
            .with_least(LEAST_CALLS_PER_CORE)
            .measure,
            bench_report::measure("streamed tokens per core of a node", tokens, "tokens/s")
                .with_least(LEAST_TOKENS_PER_CORE)
                .measure,
        ])
    }

    async fn calls_per_core(
        &self,
        nodes: &[BenchNode],
        call: &caller::CallerRequest,
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<f64> {
        let work = BenchWork { client: self.client.clone(), call: call.clone(), streaming: false };
        work.per_core(nodes, load, spawner).await
    }

    async fn tokens_per_core(
        &self,
        nodes: &[BenchNode],
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<f64> {
        let call = pipeline_call();
        let work = BenchWork { client: self.client.clone(), call, streaming: true };
        work.per_core(nodes, load, spawner).await
    }

    fn nodes_of(&self, count: usize) -> Vec<BenchNode> {
        let node = |node: &deployment::NodeProcess| BenchNode {
            address: node.caller_address,
            process: node.process.id(),
        };
        self.deployment.nodes.iter().take(count).map(node).collect()
    }

    fn ledger_address(&self) -> miette::Result<net::SocketAddr> {
        let endpoints = &self.deployment.declarations.endpoints;
        let found = endpoints.iter().find(|endpoint| &*endpoint.pool == "ledger");
        found.map(|endpoint| endpoint.address).ok_or_else(|| miette::miette!("no ledger"))
    }

    async fn time_call(
        &self,
        request: http_message::Request,
        address: net::SocketAddr,
    ) -> miette::Result<time::Duration> {
        let started = time::Instant::now();
        let deadline = started + CALL_PATIENCE;
        let connection = http_client::ConnectionUse::Shared;
        let answer = self.client.call(address, request, connection, deadline).await?;
        miette::ensure!(answer.status() == 200, "a call was answered {}", answer.status());
        Ok(started.elapsed())
    }
}

/// A node under load.
#[derive(Clone, Copy, Debug)]
struct BenchNode {
    address: net::SocketAddr,
    process: u32,
}

/// One kind of work that is repeated for a while.
#[derive(Clone, Debug)]
struct BenchWork {
    client: sync::Arc<http_client::HttpClient>,
    call: caller::CallerRequest,
    streaming: bool,
}

impl BenchWork {
    /// Repeats the work at `nodes` and returns what was done for each second of processor time.
    async fn per_core(
        &self,
        nodes: &[BenchNode],
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<f64> {
        let done = sync::Arc::new(atomic::AtomicU64::new(0));
        let until = time::Instant::now() + load.length;
        let earlier = processor_time(nodes);
        let start = |index: usize| {
            let work = self.clone();
            let node = nodes[index % nodes.len()];
            let done = done.clone();
            spawner.spawn(async move { work.repeat(node.address, until, &done).await })
        };
        let tasks: Vec<_> = (0..load.concurrency).map(start).collect();
        for task in tasks {
            task.await?;
        }
        let spent = processor_time(nodes).saturating_sub(earlier);
        let done = done.load(atomic::Ordering::Relaxed) as f64;
        Ok(done / spent.as_secs_f64().max(f64::EPSILON))
    }

    async fn repeat(
        &self,
        node: net::SocketAddr,
        until: time::Instant,
        done: &atomic::AtomicU64,
    ) -> Result<(), failure::CallFailure> {
        while time::Instant::now() < until {
            let request = caller::http_request(node, &self.call);
            let deadline = time::Instant::now() + CALL_PATIENCE;
            let count = if self.streaming {
                self.stream(node, request, deadline).await?
            } else {
                let connection = http_client::ConnectionUse::Shared;
                let answer = self.client.call(node, request, connection, deadline).await?;
                u64::from(answer.status() == 200)
            };
            done.fetch_add(count, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    /// Reads one stream and returns its tokens.
    async fn stream(
        &self,
        node: net::SocketAddr,
        mut request: http_message::Request,
        deadline: time::Instant,
    ) -> Result<u64, failure::CallFailure> {
        request.insert_header("accept", header::EVENT_STREAM);
        let mut response = self.client.open(node, request, deadline).await?;
        let mut events = async_sse::decode(response.take_body());
        let mut tokens = 0;
        while let Some(Ok(event)) = events.next().await {
            let async_sse::Event::Message(message) = event else { continue };
            if message.name() == "end" {
                break;
            }
            let run = serde_json::from_slice::<wire::TokenChunk>(message.data());
            tokens += run.map_or(0, |run| u64::from(run.count));
        }
        Ok(tokens)
    }
}

fn processor_time(nodes: &[BenchNode]) -> time::Duration {
    let usages = nodes.iter().filter_map(|node| usage::ProcessUsage::new(node.process));
    usages.map(|usage| usage.processor).sum()
}

fn ledger_read() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/services/ledger-read".into(),
        workspace: "medellin".into(),
        profile: "lookup".into(),
        key: None,
        body: r#"{"seller":"s-17"}"#.into(),
    }
}

fn pipeline_call() -> caller::CallerRequest {
    caller::CallerRequest {
        path: "/v1/pipelines/purity-report".into(),
        workspace: "medellin".into(),
        profile: "counter".into(),
        key: None,
        body: r#"{"item":"chain","grams":12}"#.into(),
    }
}

fn direct_request(endpoint: net::SocketAddr) -> http_message::Request {
    let url = format!("http://{endpoint}/v1/stages/ledger-read");
    let mut request = http_message::Request::new(http::Method::POST, url.as_str());
    request.set_body(r#"{"seller":"s-17"}"#);
    request.insert_header(header::REQUEST, "bench");
    request
}
