//! Benchmark of a gateway node on the users' platform: latency, processor time and memory.
//!
//! Requests to an endpoint directly and through the node alternate in one run. Processor time is
//! that of the node's process, as counted by the system.

use crate::{bench_report, fleet, fleet_request, process, process_usage, types};
use comfreyspread::{
    runtime::worker,
    transport::{http_client, http_message},
};
use futures_util::{StreamExt as _, stream};
use miette::IntoDiagnostic as _;
use std::{net, process as system, sync::atomic::Ordering, time};

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const OK_STATUS: u16 = 200;
const WARMUP_REQUESTS: usize = 200;
/// Requests in flight while processor time is measured.
const CONCURRENCY: usize = 16;
/// Streams over which the processor time of an event is averaged.
const EVENT_STREAMS: usize = 16;
/// Streams that are open while memory is read, and the time they run until then.
const OPEN_STREAMS: usize = 300;
const OPEN_DURATION: time::Duration = time::Duration::from_millis(500);
const OPEN_EVENT_DELAY_MS: u64 = 1000;
const MAX_REQUEST_MS: f64 = 0.3;
const MAX_EVENT_MS: f64 = 0.05;
const MAX_MEMORY_MIB: f64 = 64.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Measures what a node on the users' platform adds to a request.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "fleet-bench")]
pub struct FleetBenchArguments {
    /// plain requests
    #[argh(option, default = "4000")]
    requests: usize,
    /// events of each stream, which take 10 ms each and have 4 s
    #[argh(option, default = "200")]
    events: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

impl FleetBenchArguments {
    /// Runs the benchmark and prints its report.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or a request is not served.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        let folder = std::env::temp_dir().join(format!("comfreyspread-fleet-{}", system::id()));
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        let mut fleet = fleet::FleetStandIn::with_sample(spawner).await?;
        fleet.set_log_folder(folder);
        let node = fleet.start_node(&process::current_program()?, "gateway-1", &[]).await?;
        let bench = FleetBench { fleet, node };
        let mut measures = bench.plain_requests(self.requests).await?;
        measures.push(bench.events(self.events).await?);
        measures.push(bench.memory().await?);
        let report = types::BenchReport { measures };
        bench_report::print_and_check(&report, self.json)
    }
}

struct FleetBench {
    fleet: fleet::FleetStandIn,
    node: fleet::FleetNode,
}

impl FleetBench {
    /// Measures plain requests, alternately sent directly and through the node.
    async fn plain_requests(&self, requests: usize) -> miette::Result<Vec<types::BenchMeasure>> {
        let direct = self.fleet.address("ledger-1")?;
        self.send_all(self.node.caller_address, "/read/", WARMUP_REQUESTS).await?;
        let (mut proxied_ms, mut direct_ms) = (Vec::new(), Vec::new());
        for _ in 0..WARMUP_REQUESTS {
            direct_ms.push(self.send(direct, "/read/", 0).await?);
            proxied_ms.push(self.send(self.node.caller_address, "/read/", 0).await?);
        }
        let before = self.processor_time()?;
        self.send_all(self.node.caller_address, "/read/", requests).await?;
        let spent = self.processor_time()? - before;
        let ms_per_request = spent.as_secs_f64() * MILLIS_PER_SECOND / requests as f64;
        let (direct, proxied) = (median(&mut direct_ms), median(&mut proxied_ms));
        let builders = [
            bench_report::new_measure("plain request, directly, p50", direct, "ms"),
            bench_report::new_measure("plain request, through the node, p50", proxied, "ms"),
            bench_report::new_measure("processor time of a plain request", ms_per_request, "ms")
                .with_max(MAX_REQUEST_MS),
        ];
        Ok(builders.into_iter().map(|builder| builder.measure).collect())
    }

    /// Measures the processor time per streamed event, including that of the requests.
    async fn events(&self, events: u64) -> miette::Result<types::BenchMeasure> {
        for engine in ["engine-1", "engine-2"] {
            self.fleet.faults(engine).events.store(events, Ordering::Relaxed);
        }
        let before = self.processor_time()?;
        self.send_all(self.node.caller_address, "/chat/", EVENT_STREAMS).await?;
        let spent = self.processor_time()? - before;
        let count = events as f64 * EVENT_STREAMS as f64;
        let ms_per_event = spent.as_secs_f64() * MILLIS_PER_SECOND / count;
        let builder = bench_report::new_measure("processor time of an event", ms_per_event, "ms");
        Ok(builder.with_max(MAX_EVENT_MS).measure)
    }

    /// Measures the node's memory while many streams are open.
    async fn memory(&self) -> miette::Result<types::BenchMeasure> {
        for engine in ["engine-1", "engine-2"] {
            self.fleet.faults(engine).delay_ms.store(OPEN_EVENT_DELAY_MS, Ordering::Relaxed);
        }
        let opening = (0..OPEN_STREAMS).map(|number| self.open_stream(number));
        let opened = futures_util::future::try_join_all(opening).await?;
        async_io::Timer::after(OPEN_DURATION).await;
        let usage = process_usage::ProcessUsage::new(self.node.process.id());
        let usage = usage.ok_or_else(|| miette::miette!("the node has exited"))?;
        let running = self.fleet.running_requests();
        miette::ensure!(running == opened.len(), "{running} of {OPEN_STREAMS} streams are open");
        let memory = usage.memory_mib();
        let builder = bench_report::new_measure("memory at 300 open streams", memory, "MiB");
        Ok(builder.with_max(MAX_MEMORY_MIB).measure)
    }

    fn processor_time(&self) -> miette::Result<time::Duration> {
        let usage = process_usage::ProcessUsage::new(self.node.process.id());
        usage.map(|usage| usage.cpu_time).ok_or_else(|| miette::miette!("the node has exited"))
    }

    async fn open_stream(&self, number: usize) -> miette::Result<http_message::Response> {
        let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
        let deadline = time::Instant::now() + CALL_TIMEOUT;
        let request = request(self.node.caller_address, "/chat/", number);
        let response = client.call_streaming(self.node.caller_address, request, deadline).await?;
        let status = response.status();
        miette::ensure!(status.as_u16() == OK_STATUS, "a stream got status {status}");
        Ok(response)
    }

    /// Sends `count` requests, up to `CONCURRENCY` at a time.
    async fn send_all(
        &self,
        address: net::SocketAddr,
        path: &str,
        count: usize,
    ) -> miette::Result<()> {
        let requests = stream::iter(0..count).map(|number| self.send(address, path, number));
        let mut results = requests.buffer_unordered(CONCURRENCY);
        while let Some(result) = results.next().await {
            result?;
        }
        Ok(())
    }

    /// Sends a request and returns its latency in milliseconds.
    async fn send(
        &self,
        address: net::SocketAddr,
        path: &str,
        number: usize,
    ) -> miette::Result<f64> {
        let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
        let started = time::Instant::now();
        let connection = http_client::ConnectionUse::Fresh;
        let request = request(address, path, number);
        let answer = client.call(address, request, connection, started + CALL_TIMEOUT).await?;
        let status = answer.status();
        miette::ensure!(status == OK_STATUS, "{path} got status {status}");
        Ok(started.elapsed().as_secs_f64() * MILLIS_PER_SECOND)
    }
}

fn request(address: net::SocketAddr, path: &str, number: usize) -> http_message::Request {
    fleet_request::FleetRequest::new(address, path, &format!("bench-{number}"))
        .with_deadline_ms(CALL_TIMEOUT.as_millis())
        .into_message()
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
