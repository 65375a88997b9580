//! Benchmark of the users' platform: what one gateway node adds to a request.
//!
//! Requests to an endpoint directly and through the node take turns in one run. Processor time is the
//! node's own, as the system counts it.

use crate::{bench_report, fleet, fleet_request, process, types, usage};
use comfreyspread::{
    runtime::worker,
    transport::{http_client, http_message},
};
use futures_util::{StreamExt as _, stream};
use miette::IntoDiagnostic as _;
use std::{net, process as system, sync::atomic::Ordering, time};

const PATIENCE: time::Duration = time::Duration::from_secs(60);
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const OK_STATUS: u16 = 200;
const WARM_REQUESTS: usize = 200;
/// Requests in flight while processor time is measured.
const CONCURRENCY: usize = 16;
/// Streams of which the processor time of an event is measured.
const EVENT_STREAMS: usize = 16;
/// Streams that are open while memory is read, and the time after which it is.
const OPEN_STREAMS: usize = 300;
const OPEN_TIME: time::Duration = time::Duration::from_millis(500);
const OPEN_DELAY_MS: u64 = 1000;
const MOST_REQUEST_MS: f64 = 0.3;
const MOST_EVENT_MS: f64 = 0.05;
const MOST_MEBIBYTES: f64 = 64.0;
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
        let node = fleet.start_node(&process::own_program()?, "gateway-1", &[]).await?;
        let bench = FleetBench { fleet, node };
        let mut measures = bench.plain(self.requests).await?;
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
    /// Measures plain requests, directly and through the node by turns.
    async fn plain(&self, requests: usize) -> miette::Result<Vec<types::BenchMeasure>> {
        let direct = self.fleet.address("ledger-1")?;
        self.send_all(self.node.caller_address, "/read/", WARM_REQUESTS).await?;
        let (mut through_ms, mut direct_ms) = (Vec::new(), Vec::new());
        for _ in 0..WARM_REQUESTS {
            direct_ms.push(self.send(direct, "/read/", 0).await?);
            through_ms.push(self.send(self.node.caller_address, "/read/", 0).await?);
        }
        let before = self.processor()?;
        self.send_all(self.node.caller_address, "/read/", requests).await?;
        let spent = self.processor()? - before;
        let each = spent.as_secs_f64() * MILLIS_PER_SECOND / requests as f64;
        let (direct, through) = (median(&mut direct_ms), median(&mut through_ms));
        let figures = [
            bench_report::new_measure("plain request, directly, p50", direct, "ms"),
            bench_report::new_measure("plain request, through the node, p50", through, "ms"),
            bench_report::new_measure("processor time of a plain request", each, "ms")
                .with_max(MOST_REQUEST_MS),
        ];
        Ok(figures.into_iter().map(|figure| figure.measure).collect())
    }

    /// Measures the processor time of streamed events, the requests themselves included.
    async fn events(&self, events: u64) -> miette::Result<types::BenchMeasure> {
        for engine in ["engine-1", "engine-2"] {
            self.fleet.faults(engine).events.store(events, Ordering::Relaxed);
        }
        let before = self.processor()?;
        self.send_all(self.node.caller_address, "/chat/", EVENT_STREAMS).await?;
        let spent = self.processor()? - before;
        let count = events as f64 * EVENT_STREAMS as f64;
        let each = spent.as_secs_f64() * MILLIS_PER_SECOND / count;
        let figure = bench_report::new_measure("processor time of an event", each, "ms");
        Ok(figure.with_max(MOST_EVENT_MS).measure)
    }

    /// Measures the memory while many streams are open.
    async fn memory(&self) -> miette::Result<types::BenchMeasure> {
        for engine in ["engine-1", "engine-2"] {
            self.fleet.faults(engine).delay_ms.store(OPEN_DELAY_MS, Ordering::Relaxed);
        }
        let opened = (0..OPEN_STREAMS).map(|number| self.open(number));
        let opened = futures_util::future::try_join_all(opened).await?;
        async_io::Timer::after(OPEN_TIME).await;
        let usage = usage::ProcessUsage::new(self.node.process.id());
        let usage = usage.ok_or_else(|| miette::miette!("the node has ended"))?;
        let running = self.fleet.running_requests();
        miette::ensure!(running == opened.len(), "{running} of {OPEN_STREAMS} streams are open");
        let memory = usage.memory_mebibytes();
        let figure = bench_report::new_measure("memory at 300 open streams", memory, "MiB");
        Ok(figure.with_max(MOST_MEBIBYTES).measure)
    }

    fn processor(&self) -> miette::Result<time::Duration> {
        let usage = usage::ProcessUsage::new(self.node.process.id());
        usage.map(|usage| usage.processor).ok_or_else(|| miette::miette!("the node has ended"))
    }

    async fn open(&self, number: usize) -> miette::Result<http_message::Response> {
        let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
        let until = time::Instant::now() + PATIENCE;
        let request = request(self.node.caller_address, "/chat/", number);
        let response = client.open(self.node.caller_address, request, until).await?;
        let status = response.status();
        miette::ensure!(status.as_u16() == OK_STATUS, "a stream was answered {status}");
        Ok(response)
    }

    /// Sends requests, some at once.
    async fn send_all(
        &self,
        address: net::SocketAddr,
        path: &str,
        count: usize,
    ) -> miette::Result<()> {
        let sent = stream::iter(0..count).map(|number| self.send(address, path, number));
        let mut sent = sent.buffer_unordered(CONCURRENCY);
        while let Some(answered) = sent.next().await {
            answered?;
        }
        Ok(())
    }

    /// Sends a request and returns the time that its answer took, in milliseconds.
    async fn send(
        &self,
        address: net::SocketAddr,
        path: &str,
        number: usize,
    ) -> miette::Result<f64> {
        let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
        let begun = time::Instant::now();
        let connection = http_client::ConnectionUse::Fresh;
        let request = request(address, path, number);
        let answer = client.call(address, request, connection, begun + PATIENCE).await?;
        let status = answer.status();
        miette::ensure!(status == OK_STATUS, "{path} was answered {status}");
        Ok(begun.elapsed().as_secs_f64() * MILLIS_PER_SECOND)
    }
}

fn request(address: net::SocketAddr, path: &str, number: usize) -> http_message::Request {
    fleet_request::FleetRequest::new(address, path, &format!("bench-{number}"))
        .with_deadline_ms(PATIENCE.as_millis())
        .into_message()
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
