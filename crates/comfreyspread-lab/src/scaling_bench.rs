//! Resource use of deployments of growing size, the basis of the capacity documentation.
//!
//! At each size, a deployment of real processes is idle, or only streams, for a few seconds. A relay
//! without delay counts the bytes that the nodes send and receive.

use crate::{caller, deployment, load_generator, process, process_usage, types};
use comfreyspread::runtime::worker;
use comfreyspread_schema::{ids, types as wire};
use miette::IntoDiagnostic as _;
use std::{env, fs, process as system, sync, time};

const SAMPLE: &str = include_str!("../samples/quickstart.json");
const WARM_UP_TIME: time::Duration = time::Duration::from_secs(3);
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(60);
const STREAM_TOKENS: u64 = 400;
const STREAM_POOL_LIMIT: u32 = 4096;
const DEFAULT_NODES: usize = 3;
const STREAM_MARKER: &str = "slope";

/// Measures the costs of deployments at growing sizes.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct ScalingBenchArguments {
    /// what grows: nodes, endpoints, workspaces or streams; all if absent
    #[argh(option)]
    dimension: Option<ScalingDimension>,
    /// seconds measured at each size
    #[argh(option, default = "5")]
    seconds: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// The quantity that grows from one size to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ScalingDimension {
    Endpoints,
    Nodes,
    Streams,
    Workspaces,
}

const DIMENSIONS: [ScalingDimension; 4] = [
    ScalingDimension::Nodes,
    ScalingDimension::Endpoints,
    ScalingDimension::Workspaces,
    ScalingDimension::Streams,
];

impl ScalingDimension {
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

impl std::str::FromStr for ScalingDimension {
    type Err = Box<str>;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = DIMENSIONS.into_iter().find(|dimension| dimension.name() == name);
        found.ok_or_else(|| "dimensions are nodes, endpoints, workspaces and streams".into())
    }
}

impl ScalingBenchArguments {
    /// Measures all sizes and prints them.
    ///
    /// # Errors
    ///
    /// Fails if a deployment cannot be started.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<system::ExitCode> {
        let is_selected =
            |entry: &ScalingDimension| self.dimension.is_none_or(|selected| selected == *entry);
        let mut rows = Vec::new();
        for dimension in DIMENSIONS.into_iter().filter(is_selected) {
            for size in dimension.sizes() {
                let case = ScalingCase { dimension, size };
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

/// A deployment with one size in one dimension.
#[derive(Clone, Copy, Debug)]
struct ScalingCase {
    dimension: ScalingDimension,
    size: usize,
}

/// Cumulative resource use at one time.
#[derive(Debug)]
struct UsageSample {
    usages: Vec<process_usage::ProcessUsage>,
    store: types::StoreStats,
    bytes: u64,
    sampled_at: time::Instant,
}

impl ScalingCase {
    async fn measure(
        self,
        seconds: u64,
        spawner: &worker::TaskSpawner,
    ) -> miette::Result<types::ScalingRow> {
        let deployment = self.start().await?;
        deployment.configure(1).await?;
        let streams = self.open_streams(&deployment, spawner);
        async_io::Timer::after(WARM_UP_TIME).await;
        let earlier = sample_usage(&deployment).await?;
        async_io::Timer::after(time::Duration::from_secs(seconds)).await;
        let later = sample_usage(&deployment).await?;
        drop(streams);
        Ok(self.row(&earlier, &later))
    }

    fn nodes(self) -> usize {
        match self.dimension {
            ScalingDimension::Nodes => self.size,
            ScalingDimension::Streams => 1,
            _ => DEFAULT_NODES,
        }
    }

    async fn start(self) -> miette::Result<deployment::TestDeployment> {
        let mut declarations: wire::Declarations =
            serde_json::from_str(SAMPLE).into_diagnostic()?;
        self.scale(&mut declarations);
        let zones = declarations.zones.iter().cycle().take(self.nodes()).enumerate();
        let place = |(index, zone): (usize, &wire::ZoneDeclaration)| deployment::NodeLocation {
            name: format!("entry-{}", index + 1).into(),
            region: zone.region.clone(),
            zone: zone.name.clone(),
        };
        let places: Vec<_> = zones.map(place).collect();
        let folder = env::temp_dir().join(format!("comfreyspread-slopes-{}", system::id()));
        fs::create_dir_all(&folder).into_diagnostic()?;
        let times_file = folder.join("times.json");
        let times_json = serde_json::to_string(&stream_times(&declarations)).into_diagnostic()?;
        fs::write(&times_file, times_json).into_diagnostic()?;
        let options = deployment::DeploymentOptions {
            node_arguments: ["--log-level", "error"].map(ids::Text::from).into(),
            endpoint_arguments: vec!["--times".into(), times_file.to_string_lossy().into()],
            link: Some(types::RelayLink { delay: time::Duration::ZERO, rate: 0 }),
            poll_interval: POLL_INTERVAL,
            log_folder: Some(folder),
            ..deployment::DeploymentOptions::default()
        };
        let program = process::current_program()?;
        deployment::TestDeployment::with_options(program, declarations, &places, options).await
    }

    fn scale(self, declarations: &mut wire::Declarations) {
        match self.dimension {
            ScalingDimension::Endpoints => scale_endpoints(declarations, self.size),
            ScalingDimension::Workspaces => {
                let added = (0..self.size).map(|index| wire::WorkspaceDeclaration {
                    name: format!("workspace-{index}").into(),
                    weight: 1,
                });
                declarations.workspaces.extend(added);
            }
            ScalingDimension::Streams => {
                for pool in &mut declarations.pools {
                    pool.cold_limit = STREAM_POOL_LIMIT;
                    pool.warm_limit = STREAM_POOL_LIMIT;
                }
                for profile in &mut declarations.profiles {
                    profile.deadline = STREAM_DEADLINE;
                }
            }
            ScalingDimension::Nodes => {}
        }
    }

    fn open_streams(
        self,
        deployment: &deployment::TestDeployment,
        spawner: &worker::TaskSpawner,
    ) -> Vec<async_executor::Task<load_generator::CallOutcome>> {
        if self.dimension != ScalingDimension::Streams {
            return Vec::new();
        }
        let addresses: Vec<_> = deployment.nodes.iter().map(|node| node.caller_address).collect();
        let call_driver = sync::Arc::new(load_generator::LoadGenerator::new(&addresses));
        let start = |index| {
            let call_driver = call_driver.clone();
            spawner.spawn(async move { call_driver.send(&stream_request(index)).await })
        };
        (0..self.size).map(start).collect()
    }

    fn row(self, earlier: &UsageSample, later: &UsageSample) -> types::ScalingRow {
        let nodes = later.usages.len().max(1) as f64;
        let seconds = later.sampled_at.duration_since(earlier.sampled_at).as_secs_f64();
        let pairs = earlier.usages.iter().zip(&later.usages);
        let cores: f64 = pairs.map(|(earlier, later)| later.cpu_cores_since(earlier)).sum();
        let memory_kb: u64 = later.usages.iter().map(|usage| usage.memory_kb).sum();
        let rate = |earlier: u64, later: u64| later.saturating_sub(earlier) as f64 / seconds;
        types::ScalingRow {
            core: cores / nodes,
            dimension: self.dimension.name().into(),
            memory_kb: memory_kb as f64 / nodes,
            network_bytes: rate(earlier.bytes, later.bytes) / nodes,
            reads: rate(earlier.store.reads, later.store.reads),
            size: u64::try_from(self.size).unwrap_or(u64::MAX),
            store_bytes: rate(earlier.store.bytes, later.store.bytes),
            writes: rate(earlier.store.writes, later.store.writes),
        }
    }
}

async fn sample_usage(deployment: &deployment::TestDeployment) -> miette::Result<UsageSample> {
    let process_ids = deployment.nodes.iter().map(|node| node.process.id());
    let links = deployment.link_stats().await?.links;
    Ok(UsageSample {
        usages: process_ids.filter_map(process_usage::ProcessUsage::new).collect(),
        store: deployment.store_stats().await?,
        bytes: links.iter().map(|link| link.bytes).sum(),
        sampled_at: time::Instant::now(),
    })
}

fn scale_endpoints(declarations: &mut wire::Declarations, size: usize) {
    let templates = declarations.endpoints.clone();
    let numbered = |(index, endpoint): (usize, &wire::EndpointDeclaration)| {
        let name: ids::EndpointId = format!("{}-{index}", endpoint.pool).into();
        wire::EndpointDeclaration { vm: name.clone(), name, ..endpoint.clone() }
    };
    declarations.endpoints =
        templates.iter().cycle().take(size).enumerate().map(numbered).collect();
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
        marker: STREAM_MARKER.into(),
        streaming: true,
        call: caller::CallerRequest {
            path: "/v1/pipelines/purity-report".into(),
            workspace: "medellin".into(),
            profile: "counter".into(),
            key: None,
            body: format!(r#"{{"marker":"{STREAM_MARKER}"}}"#).into(),
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
