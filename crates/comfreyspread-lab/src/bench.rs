//! Benchmark of the latency a node adds to a call and of its throughput per core.
//!
//! The endpoints answer without delay, so the times are those of the request path. Calls to an
//! endpoint directly and through nodes alternate in one run, so that other load on the machine
//! affects both equally.

use crate::{bench_report, caller, deployment, process, process_usage, replay_analysis, types};
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
const CONCURRENCY_LIMIT: u32 = 1024;
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const WARMUP_CALLS: usize = 200;
const IDLE_DURATION: time::Duration = time::Duration::from_secs(4);
const STAGES_PER_PIPELINE: f64 = 4.0;
const MAX_ADDED_MS: f64 = 0.3;
const MIN_CALLS_PER_CORE: f64 = 4000.0;
const MIN_TOKENS_PER_CORE: f64 = 50_000.0;
const MAX_IDLE_CORES: f64 = 0.01;
const MAX_IDLE_MIB: f64 = 64.0;

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
        let duration = time::Duration::from_secs(self.seconds);
        let load = BenchLoad { duration, concurrency: self.concurrency };
        measures.extend(bench.throughputs(load, spawner).await?);
        let report = types::BenchReport { measures };
        let code = bench_report::print_and_check(&report, self.json)?;
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
            pool.cold_limit = CONCURRENCY_LIMIT;
            pool.warm_limit = CONCURRENCY_LIMIT;
        }
        let location = |name: &str| deployment::NodeLocation {
            name: name.into(),
            region: zone.region.clone(),
            zone: zone.name.clone(),
        };
        let locations = [location("entry-1"), location("entry-2")];
        let folder = std::env::temp_dir().join(format!("comfreyspread-bench-{}", system::id()));
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        let times_file = folder.join("times.json");
        let pools = declarations.pools.iter().map(|pool| self.pool_times(&pool.name)).collect();
        let text = serde_json::to_string(&types::CallTimes { pools }).into_diagnostic()?;
        std::fs::write(&times_file, text).into_diagnostic()?;
        let times_file: ids::Text = times_file.to_string_lossy().into();
        let options = deployment::DeploymentOptions {
            node_arguments: ["--log-level", "warn"].map(ids::Text::from).into(),
            endpoint_arguments: vec![
                "--times".into(),
                times_file,
                "--record-limit".into(),
                "1".into(),
            ],
            log_folder: Some(folder),
            ..deployment::DeploymentOptions::default()
        };
        let program = process::current_program()?;
        let starting =
            deployment::TestDeployment::with_options(program, declarations, &locations, options);
        let deployment = starting.await?;
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

/// Duration and concurrency of a throughput measurement.
#[derive(Clone, Copy, Debug)]
struct BenchLoad {
    duration: time::Duration,
    concurrency: usize,
}

struct BenchDeployment {
    deployment: deployment::TestDeployment,
    client: sync::Arc<http_client::HttpClient>,
}

impl BenchDeployment {
    async fn idle(&self) -> Vec<types::BenchMeasure> {
        let process = self.deployment.nodes[0].process.id();
        let before = process_usage::ProcessUsage::new(process);
        async_io::Timer::after(IDLE_DURATION).await;
        let (Some(before), Some(after)) = (before, process_usage::ProcessUsage::new(process))
        else {
            return Vec::new();
        };
        let memory = after.memory_mib();
        vec![
            bench_report::new_measure(
                "idle node, share of a core",
                after.cpu_cores_since(&before),
                "core",
            )
            .with_max(MAX_IDLE_CORES),
            bench_report::new_measure("idle node, resident memory", memory, "MiB")
                .with_max(MAX_IDLE_MIB),
        ]
        .into_iter()
        .map(|builder| builder.measure)
        .collect()
    }

    async fn latencies(&self, calls: usize) -> miette::Result<Vec<types::BenchMeasure>> {
        let endpoint = self.ledger_address()?;
        let nodes = &self.deployment.nodes;
        let mut direct = replay_analysis::LatencyHistogram::new();
        let mut proxied =
            [replay_analysis::LatencyHistogram::new(), replay_analysis::LatencyHistogram::new()];
        for index in 0..calls + WARMUP_CALLS {
            let latency = self.time_call(direct_request(endpoint), endpoint).await?;
            let measured = index >= WARMUP_CALLS;
            if measured {
                direct.record(latency);
            }
            for (node, times) in nodes.iter().zip(&mut proxied) {
                let address = node.caller_address;
                let request = caller::http_request(address, &ledger_call());
                let latency = self.time_call(request, address).await?;
                if measured {
                    times.record(latency);
                }
            }
        }
        let direct = direct.report();
        let mut reports = proxied.map(|times| times.report());
        reports.sort_by(|one, other| one.p50.total_cmp(&other.p50));
        let added = |value: f64, base: f64| value - base;
        let [owner, other] = reports;
        Ok(vec![
            bench_report::new_measure("direct call p50", direct.p50, "ms").measure,
            bench_report::new_measure("direct call p99", direct.p99, "ms").measure,
            bench_report::new_measure(
                "added through the owner p50",
                added(owner.p50, direct.p50),
                "ms",
            )
            .measure,
            bench_report::new_measure(
                "added through the owner p99",
                added(owner.p99, direct.p99),
                "ms",
            )
            .measure,
            bench_report::new_measure(
                "added through the other node p50",
                added(other.p50, direct.p50),
                "ms",
            )
            .with_max(MAX_ADDED_MS)
            .measure,
            bench_report::new_measure(
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
        let single = self.take_nodes(1);
        let both = self.take_nodes(2);
        let service_call = ledger_call();
        let pipeline_call = pipeline_call();
        let service_rate = self.calls_per_core(&single, &service_call, load, spawner).await?;
        let pipeline_rate = self.calls_per_core(&both, &pipeline_call, load, spawner).await?;
        let token_rate = self.tokens_per_core(&both, load, spawner).await?;
        Ok(vec![
            bench_report::new_measure("service calls per core of a node", service_rate, "calls/s")
                .measure,
            bench_report::new_measure(
                "stage calls per core of a node",
                pipeline_rate * STAGES_PER_PIPELINE,
                "calls/s",
            )
            .with_min(MIN_CALLS_PER_CORE)
            .measure,
            bench_report::new_measure("streamed tokens per core of a node", token_rate, "tokens/s")
                .with_min(MIN_TOKENS_PER_CORE)
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
        let workload =
            BenchWorkload { client: self.client.clone(), call: call.clone(), streaming: false };
        workload.rate_per_core(nodes, load, spawner).await
    }

    async fn tokens_per_core(
        &self,
        nodes: &[BenchNode],
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<f64> {
        let call = pipeline_call();
        let workload = BenchWorkload { client: self.client.clone(), call, streaming: true };
        workload.rate_per_core(nodes, load, spawner).await
    }

    fn take_nodes(&self, count: usize) -> Vec<BenchNode> {
        let node = |node: &deployment::NodeProcess| BenchNode {
            address: node.caller_address,
            process: node.process.id(),
        };
        self.deployment.nodes.iter().take(count).map(node).collect()
    }

    fn ledger_address(&self) -> miette::Result<net::SocketAddr> {
        let endpoints = &self.deployment.declarations.endpoints;
        let ledger = endpoints.iter().find(|endpoint| &*endpoint.pool == "ledger");
        ledger
            .map(|endpoint| endpoint.address)
            .ok_or_else(|| miette::miette!("the sample has no ledger endpoint"))
    }

    async fn time_call(
        &self,
        request: http_message::Request,
        address: net::SocketAddr,
    ) -> miette::Result<time::Duration> {
        let started = time::Instant::now();
        let deadline = started + CALL_TIMEOUT;
        let connection = http_client::ConnectionUse::Pooled;
        let answer = self.client.call(address, request, connection, deadline).await?;
        miette::ensure!(answer.status() == 200, "a call got status {}", answer.status());
        Ok(started.elapsed())
    }
}

/// A node under load.
#[derive(Clone, Copy, Debug)]
struct BenchNode {
    address: net::SocketAddr,
    process: u32,
}

/// A call that is repeated under load.
#[derive(Clone, Debug)]
struct BenchWorkload {
    client: sync::Arc<http_client::HttpClient>,
    call: caller::CallerRequest,
    streaming: bool,
}

impl BenchWorkload {
    /// Repeats the call at `nodes` and returns the calls or tokens per second of processor time.
    async fn rate_per_core(
        &self,
        nodes: &[BenchNode],
        load: BenchLoad,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<f64> {
        let done = sync::Arc::new(atomic::AtomicU64::new(0));
        let end = time::Instant::now() + load.duration;
        let before = processor_time(nodes);
        let spawn = |index: usize| {
            let workload = self.clone();
            let node = nodes[index % nodes.len()];
            let done = done.clone();
            spawner.spawn(async move { workload.repeat(node.address, end, &done).await })
        };
        let tasks: Vec<_> = (0..load.concurrency).map(spawn).collect();
        for task in tasks {
            task.await?;
        }
        let spent = processor_time(nodes).saturating_sub(before);
        let done = done.load(atomic::Ordering::Relaxed) as f64;
        Ok(done / spent.as_secs_f64().max(f64::EPSILON))
    }

    async fn repeat(
        &self,
        node: net::SocketAddr,
        end: time::Instant,
        done: &atomic::AtomicU64,
    ) -> Result<(), failure::CallFailure> {
        while time::Instant::now() < end {
            let request = caller::http_request(node, &self.call);
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            let count = if self.streaming {
                self.stream(node, request, deadline).await?
            } else {
                let connection = http_client::ConnectionUse::Pooled;
                let answer = self.client.call(node, request, connection, deadline).await?;
                u64::from(answer.status() == 200)
            };
            done.fetch_add(count, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    /// Reads one stream and returns the number of its tokens.
    async fn stream(
        &self,
        node: net::SocketAddr,
        mut request: http_message::Request,
        deadline: time::Instant,
    ) -> Result<u64, failure::CallFailure> {
        request.insert_header("accept", header::EVENT_STREAM);
        let mut response = self.client.call_streaming(node, request, deadline).await?;
        let mut events = async_sse::decode(response.take_body());
        let mut tokens = 0;
        while let Some(Ok(event)) = events.next().await {
            let async_sse::Event::Message(message) = event else { continue };
            if message.name() == "end" {
                break;
            }
            let chunk = serde_json::from_slice::<wire::TokenChunk>(message.data());
            tokens += chunk.map_or(0, |chunk| u64::from(chunk.count));
        }
        Ok(tokens)
    }
}

fn processor_time(nodes: &[BenchNode]) -> time::Duration {
    let usages = nodes.iter().filter_map(|node| process_usage::ProcessUsage::new(node.process));
    usages.map(|usage| usage.cpu_time).sum()
}

fn ledger_call() -> caller::CallerRequest {
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
