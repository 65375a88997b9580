//! Costs of a deployment at growing sizes, from which the capacity page works out its slopes.
//!
//! Each size is a deployment of real processes that is left alone, or only streams, for a few
//! seconds. A relay without delay counts the bytes of each node.

use crate::{caller, deployment, load_generator, process, types, usage};
use comfreyspread::runtime::worker;
use comfreyspread_schema::{ids, types as wire};
use miette::IntoDiagnostic as _;
use std::{env, fs, process as system, sync, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);
const POLL_TIME: time::Duration = time::Duration::from_secs(1);
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(60);
const STREAM_TOKENS: u64 = 400;
const STREAM_LIMIT: u32 = 4096;
const MEASURED_NODES: usize = 3;
const MARKER: &str = "slope";

/// Measures the costs of deployments at growing sizes.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArguments {
    /// what grows: nodes, endpoints, workspaces or streams; all if absent
    #[argh(option)]
    dimension: Option<SlopeDimension>,
    /// seconds measured at each size
    #[argh(option, default = "5")]
    seconds: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// What grows from one size to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlopeDimension {
    Endpoints,
    Nodes,
    Streams,
    Workspaces,
}

const DIMENSIONS: [SlopeDimension; 4] = [
    SlopeDimension::Nodes,
    SlopeDimension::Endpoints,
    SlopeDimension::Workspaces,
    SlopeDimension::Streams,
];

impl SlopeDimension {
    fn name(self) -> &'static str {
        match self {
            Self::Endpoints => "endpoints",
            Self::Nodes => "nodes",
            Self::Streams => "streams",
            Self::Workspaces => "workspaces",
        }
    }

    fn sizes(self) -> [usize; 3] {
        match self {
            Self::Endpoints => [15, 150, 600],
            Self::Nodes => [4, 12, 24],
            Self::Streams => [0, 100, 400],
            Self::Workspaces => [100, 1000, 7000],
        }
    }
}

impl std::str::FromStr for SlopeDimension {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = DIMENSIONS.into_iter().find(|dimension| dimension.name() == name);
        found.ok_or_else(|| "dimensions are nodes, endpoints, workspaces and streams".into())
    }
}

impl SlopesArguments {
    /// Measures all sizes and prints them.
    ///
    /// # Errors
    ///
    /// Fails if a deployment cannot be started.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        let wanted = |entry: &SlopeDimension| self.dimension.is_none_or(|only| only == *entry);
        let mut rows = Vec::new();
        for dimension in DIMENSIONS.into_iter().filter(wanted) {
            for size in dimension.sizes() {
                let case = SlopeCase { dimension, size };
                eprintln!("measuring {} {size}", dimension.name());
                let row = case.measure(self.seconds, spawner).await?;
                eprintln!("{row:?}");
                rows.push(row);
            }
        }
        let report = types::ScalingReport { rows };
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
        } else {
            print(&report);
        }
        Ok(system::ExitCode::SUCCESS)
    }
}

/// One size of one dimension.
#[derive(Clone, Copy, Debug)]
struct SlopeCase {
    dimension: SlopeDimension,
    size: usize,
}

/// What had been used at a moment.
#[derive(Debug)]
struct SlopeSample {
    usages: Vec<usage::ProcessUsage>,
    store: types::StoreStats,
    bytes: u64,
    taken: time::Instant,
}

impl SlopeCase {
    async fn measure(
        self,
        seconds: u64,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<types::ScalingRow> {
        let running = self.start().await?;
        running.configure(1).await?;
        let streams = self.open_streams(&running, spawner);
        async_io::Timer::after(SETTLE_TIME).await;
        let earlier = sample(&running).await?;
        async_io::Timer::after(time::Duration::from_secs(seconds)).await;
        let later = sample(&running).await?;
        drop(streams);
        Ok(self.row(&earlier, &later))
    }

    fn nodes(self) -> usize {
        match self.dimension {
            SlopeDimension::Nodes => self.size,
            SlopeDimension::Streams => 1,
            _ => MEASURED_NODES,
        }
    }

    async fn start(self) -> miette::Result<deployment::TestDeployment> {
        let mut declarations: wire::Declarations =
            serde_json::from_str(SAMPLE).into_diagnostic()?;
        self.grow(&mut declarations);
        let zones = declarations.zones.iter().cycle().take(self.nodes()).enumerate();
        let place = |(index, zone): (usize, &wire::ZoneDeclaration)| deployment::NodeLocation {
            name: format!("entry-{}", index + 1).into(),
            region: zone.region.clone(),
            zone: zone.name.clone(),
        };
        let places: Vec<_> = zones.map(place).collect();
        let folder = env::temp_dir().join(format!("comfreyspread-slopes-{}", system::id()));
        fs::create_dir_all(&folder).into_diagnostic()?;
        let times = folder.join("times.json");
        let text = serde_json::to_string(&stream_times(&declarations)).into_diagnostic()?;
        fs::write(&times, text).into_diagnostic()?;
        let options = deployment::DeploymentOptions {
            node_arguments: ["--log-level", "error"].map(ids::Text::from).into(),
            endpoint_arguments: vec!["--times".into(), times.to_string_lossy().into()],
            link: Some(types::RelayLink { delay: time::Duration::ZERO, rate: 0 }),
            poll_interval: POLL_TIME,
            log_folder: Some(folder),
            ..deployment::DeploymentOptions::default()
        };
        let program = process::own_program()?;
        deployment::TestDeployment::with_options(program, declarations, &places, options).await
    }

    fn grow(self, declarations: &mut wire::Declarations) {
        match self.dimension {
            SlopeDimension::Endpoints => grow_endpoints(declarations, self.size),
            SlopeDimension::Workspaces => {
                let more = (0..self.size).map(|index| wire::WorkspaceDeclaration {
                    name: format!("workspace-{index}").into(),
                    weight: 1,
                });
                declarations.workspaces.extend(more);
            }
            SlopeDimension::Streams => {
                for pool in &mut declarations.pools {
                    pool.cold_limit = STREAM_LIMIT;
                    pool.warm_limit = STREAM_LIMIT;
                }
                for profile in &mut declarations.profiles {
                    profile.deadline = STREAM_DEADLINE;
                }
            }
            SlopeDimension::Nodes => {}
        }
    }

    fn open_streams(
        self,
        running: &deployment::TestDeployment,
        spawner: &worker::TaskSpawner,
    ) -> Vec<async_executor::Task<load_generator::CallOutcome>> {
        if self.dimension != SlopeDimension::Streams {
            return Vec::new();
        }
        let addresses: Vec<_> = running.nodes.iter().map(|node| node.caller_address).collect();
        let calls = sync::Arc::new(load_generator::LoadGenerator::new(&addresses));
        let start = |index| {
            let calls = calls.clone();
            spawner.spawn(async move { calls.send(&stream_request(index)).await })
        };
        (0..self.size).map(start).collect()
    }

    fn row(self, earlier: &SlopeSample, later: &SlopeSample) -> types::ScalingRow {
        let nodes = later.usages.len().max(1) as f64;
        let seconds = later.taken.duration_since(earlier.taken).as_secs_f64();
        let pairs = earlier.usages.iter().zip(&later.usages);
        let core: f64 = pairs.map(|(earlier, later)| later.core_since(earlier)).sum();
        let memory: u64 = later.usages.iter().map(|usage| usage.memory_kb).sum();
        let rate = |earlier: u64, later: u64| later.saturating_sub(earlier) as f64 / seconds;
        types::ScalingRow {
            core: core / nodes,
            dimension: self.dimension.name().into(),
            memory_kb: memory as f64 / nodes,
            network_bytes: rate(earlier.bytes, later.bytes) / nodes,
            reads: rate(earlier.store.reads, later.store.reads),
            size: u64::try_from(self.size).unwrap_or(u64::MAX),
            store_bytes: rate(earlier.store.bytes, later.store.bytes),
            writes: rate(earlier.store.writes, later.store.writes),
        }
    }
}

async fn sample(running: &deployment::TestDeployment) -> miette::Result<SlopeSample> {
    let ids = running.nodes.iter().map(|node| node.process.id());
    let links = running.link_stats().await?.links;
    Ok(SlopeSample {
        usages: ids.filter_map(usage::ProcessUsage::new).collect(),
        store: running.store_stats().await?,
        bytes: links.iter().map(|link| link.bytes).sum(),
        taken: time::Instant::now(),
    })
}

fn grow_endpoints(declarations: &mut wire::Declarations, size: usize) {
    let sample = declarations.endpoints.clone();
    let named = |(index, endpoint): (usize, &wire::EndpointDeclaration)| {
        let name: ids::EndpointId = format!("{}-{index}", endpoint.pool).into();
        wire::EndpointDeclaration { vm: name.clone(), name, ..endpoint.clone() }
    };
    declarations.endpoints = sample.iter().cycle().take(size).enumerate().map(named).collect();
}

/// Returns call times whose streams last longer than a measurement.
fn stream_times(declarations: &wire::Declarations) -> types::CallTimes {
    let times = |pool: &wire::PoolDeclaration| types::PoolTimes {
        batch: 0,
        call: time::Duration::from_millis(5),
        pool: pool.name.clone(),
        spread: 0,
        token: time::Duration::from_millis(44),
        tokens: STREAM_TOKENS,
    };
    types::CallTimes { pools: declarations.pools.iter().map(times).collect() }
}

fn stream_request(index: usize) -> load_generator::ScheduledRequest {
    load_generator::ScheduledRequest {
        index,
        due: time::Instant::now(),
        deadline: STREAM_DEADLINE,
        marker: MARKER.into(),
        streaming: true,
        call: caller::CallerRequest {
            path: "/v1/pipelines/purity-report".into(),
            workspace: "medellin".into(),
            profile: "counter".into(),
            key: None,
            body: format!(r#"{{"marker":"{MARKER}"}}"#).into(),
        },
    }
}

fn print(report: &types::ScalingReport) {
    println!(
        "{:<12} {:>6} {:>10} {:>10} {:>8} {:>8} {:>14} {:>16}",
        "dimension",
        "size",
        "core/node",
        "KiB/node",
        "reads/s",
        "writes/s",
        "store bytes/s",
        "bytes/s/node"
    );
    for row in &report.rows {
        println!(
            "{:<12} {:>6} {:>10.4} {:>10.0} {:>8.1} {:>8.1} {:>14.0} {:>16.0}",
            row.dimension,
            row.size,
            row.core,
            row.memory_kb,
            row.reads,
            row.writes,
            row.store_bytes,
            row.network_bytes
        );
    }
}
