//! The node process on the users' platform: start, serve, drain, stop.

use super::{
    admin_handler, caller_handler, conviction_sync, endpoint_watcher, piece_dispatch,
    placement::placement_client, rollout::decision_task, route_watcher, state, table_watcher,
};
use crate::{
    membership::{crash_notice, heartbeat, peer},
    runtime::{context, logging, memory_plan, node, settings, supervisor, worker},
    transport::http_server,
};
use async_signal::{Signal, Signals};
use comfreyspread_platform::settings_file;
use comfreyspread_policy::node_lifecycle;
use comfreyspread_schema::{settings as schema_settings, types};
use futures_lite::{FutureExt as _, StreamExt as _};
use indexmap::IndexMap;
use miette::{Context as _, IntoDiagnostic as _};
use std::{fs, future, net, process, sync, time};

/// Path of the settings file unless a flag or variable names another.
const DEFAULT_SETTINGS_PATH: &str = "/etc/comfreyspread/settings.conf";
/// Time until the load balancer stops sending connections to a node that is not ready.
const READINESS_GRACE: time::Duration = time::Duration::from_millis(2600);
/// Part of the grace period reserved for the exit of the process.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Idle timeout of callers' connections, longer than that of the callers.
const IDLE_TIMEOUT_MS: &str = "120000";
/// Maximum wait for the last log lines to be written.
const LOG_DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Maximum connections for readiness checks, metrics and operators.
const ADMIN_CONNECTIONS: usize = 64;
/// File descriptors reserved for other uses than callers' connections.
const RESERVED_DESCRIPTORS: u32 = 800;

/// serve callers on the users' platform
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArguments {
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
    /// port that serves metrics on the address for callers; none if left out
    #[argh(option)]
    metrics_port: Option<u16>,
    /// settings file of the platform, instead of the one that COMFREYSPREAD_SETTINGS names
    #[argh(option)]
    settings: Option<String>,
}

impl GatewayArguments {
    /// Runs a node until it receives a signal to stop.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid, an address cannot be bound or threads cannot be
    /// started.
    pub fn run(
        &self,
        environment: &IndexMap<sync::Arc<str>, sync::Arc<str>>,
    ) -> miette::Result<process::ExitCode> {
        let env_path = environment.get(settings_file::FILE_VARIABLE).map(|path| path.to_string());
        let path =
            self.settings.clone().or(env_path).unwrap_or_else(|| DEFAULT_SETTINGS_PATH.to_owned());
        let gateway_settings = read_settings(&path)?;
        let settings = settings::NodeSettings::new(&node_flags(&gateway_settings), environment)?;
        if self.check {
            println!("the settings are valid");
            return Ok(process::ExitCode::SUCCESS);
        }
        let log = logging::init_nonblocking(settings.log_level, settings.log_json)?;
        let pool = worker::WorkerPool::new(settings.workers)
            .into_diagnostic()
            .wrap_err("cannot start worker threads")?;
        let context = sync::Arc::new(context::NodeContext::new(settings, pool.spawner()));
        let state = sync::Arc::new(state::GatewayState::new(context, gateway_settings));
        let code = async_io::block_on(serve(state, &path, self.metrics_port))?;
        pool.stop();
        log::info!("gateway: stopped");
        log.drain(LOG_DRAIN_TIMEOUT);
        Ok(code)
    }
}

fn read_settings(path: &str) -> miette::Result<types::GatewaySettings> {
    let text = fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    Ok(settings_file::decode(&text)?)
}

/// Converts the gateway settings into node flags.
fn node_flags(gateway_settings: &types::GatewaySettings) -> schema_settings::NodeFlags {
    let seeds: Vec<_> = gateway_settings.seeds.iter().map(ToString::to_string).collect();
    let shutdown = gateway_settings.shutdown_grace.saturating_sub(READINESS_GRACE + STOP_MARGIN);
    let memory = gateway_settings.memory_bytes;
    let plan = (memory > 0).then(|| memory_plan::MemoryPlan::new(memory));
    let connections = (gateway_settings.max_sockets > 0)
        .then(|| gateway_settings.max_sockets.saturating_sub(RESERVED_DESCRIPTORS).max(1));
    schema_settings::NodeFlags {
        node: Some(gateway_settings.node.to_string()),
        vm: Some(gateway_settings.node.to_string()),
        zone: Some(gateway_settings.zone.to_string()),
        region: Some(gateway_settings.region.to_string()),
        caller_address: Some(gateway_settings.caller_address.to_string()),
        peer_address: Some(gateway_settings.peer_address.to_string()),
        platform_address: Some(gateway_settings.store_address.to_string()),
        seeds: Some(seeds.join(",")),
        workers: Some("1".to_owned()),
        connection_limit: connections.map(|count| count.to_string()),
        body_budget: plan.map(|plan| plan.request_bodies.to_string()),
        head_budget: plan.map(|plan| plan.request_heads.to_string()),
        header_timeout_ms: Some(IDLE_TIMEOUT_MS.to_owned()),
        grace_ms: Some(READINESS_GRACE.as_millis().to_string()),
        shutdown_ms: Some(shutdown.as_millis().to_string()),
        ..schema_settings::NodeFlags::default()
    }
}

async fn serve(
    state: sync::Arc<state::GatewayState>,
    path: &str,
    metrics_port: Option<u16>,
) -> miette::Result<process::ExitCode> {
    let context = &state.context;
    let signals = [Signal::Hup, Signal::Int, Signal::Term];
    let mut signals = Signals::new(signals).into_diagnostic()?;
    let closer = start_caller_server(&state).await?;
    start_admin_server(&state, state.settings.ready_address).await?;
    if let Some(port) = metrics_port {
        let address = net::SocketAddr::new(state.settings.ready_address.ip(), port);
        if let Err(error) = start_admin_server(&state, address).await {
            log::error!("gateway: cannot serve metrics on {address}. error={error}");
        }
    }
    let extension = sync::Arc::new(piece_dispatch::PieceExtension::new(state.clone()));
    let handler = peer::PeerHandler::new(context.clone()).with_extension(extension);
    let peers = node::start_peer_server(context, handler).await?;
    node::supervise(context, "heartbeat", heartbeat::run);
    node::supervise(context, "crash-notice", crash_notice::run);
    let task_state = state.clone();
    supervisor::supervise(&context.spawner, "route-watcher", move || {
        table_watcher::watch(task_state.clone(), route_watcher::RouteWatcher)
    });
    let task_state = state.clone();
    supervisor::supervise(&context.spawner, "endpoint-watcher", move || {
        table_watcher::watch(task_state.clone(), endpoint_watcher::EndpointWatcher)
    });
    let task_state = state.clone();
    supervisor::supervise(&context.spawner, "conviction-sync", move || {
        conviction_sync::run(task_state.clone())
    });
    let task_state = state.clone();
    supervisor::supervise(&context.spawner, "placements", move || {
        placement_client::run(task_state.clone())
    });
    let task_state = state.clone();
    supervisor::supervise(&context.spawner, "rollouts", move || {
        decision_task::run(task_state.clone())
    });
    log::info!(node = context.settings.node.as_ref(), zone = context.settings.zone.as_ref();
        "gateway: started");
    let starting = node_lifecycle::NodeLifecycle::new();
    let loaded = async {
        state.wait_until_loaded().await;
        true
    };
    let stopped = async {
        wait_for_stop(context, &mut signals, path).await;
        false
    };
    let draining = if loaded.or(stopped).await {
        let serving = starting.serve();
        node::set_phase(context, serving.phase());
        wait_for_stop(context, &mut signals, path).await;
        serving.drain()
    } else {
        starting.abandon()
    };
    node::set_phase(context, draining.phase());
    heartbeat::leave(context).await;
    let drained = node::drain(context, &closer, ignore_signals(&mut signals)).await;
    peers.close();
    node::set_phase(context, draining.stop().phase());
    Ok(if drained { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

/// Waits for a signal to stop; a hangup signal only rereads and validates the settings file.
async fn wait_for_stop(context: &context::NodeContext, signals: &mut Signals, path: &str) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match read_settings(path) {
            Ok(_) => log::info!("gateway: settings reread, addresses unchanged"),
            Err(error) => {
                context.metrics.settings.count_rejected();
                log::error!("gateway: settings could not be reread. error={error}");
            }
        }
    }
}

/// Ignores further signals and never returns; the platform kills a process that takes too long to
/// stop.
async fn ignore_signals(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        log::info!("gateway: already stopping, signal ignored. signal={signal:?}");
    }
    future::pending().await
}

async fn start_caller_server(
    state: &sync::Arc<state::GatewayState>,
) -> miette::Result<http_server::ShutdownHandle> {
    let handler = sync::Arc::new(caller_handler::CallerHandler::new(state.clone()));
    let settings = &state.context.settings;
    let limits = node::server_limits(settings);
    node::start_server(&state.context, settings.caller_address, handler, limits).await
}

async fn start_admin_server(
    state: &sync::Arc<state::GatewayState>,
    address: net::SocketAddr,
) -> miette::Result<()> {
    let handler = sync::Arc::new(admin_handler::AdminHandler::new(state.clone()));
    let limits = http_server::ServerLimits {
        connection_limit: ADMIN_CONNECTIONS,
        body_budget: memory_plan::ADMIN_BYTES as usize,
        head_budget: memory_plan::ADMIN_BYTES as usize,
        ..node::server_limits(&state.context.settings)
    };
    node::start_server(&state.context, address, handler, limits).await?;
    Ok(())
}
