//! The node process on the users' platform: start, serve, drain, stop.

use super::{endpoint_follow, entry, piece_send, ready, route_follow, state, table_follow};
use crate::{
    membership::{heartbeat, peer},
    runtime::{context, logging, node, settings, worker},
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

/// Where the settings file is if nothing names it.
const DEFAULT_FILE: &str = "/etc/comfreyspread/settings.conf";
/// Time that the balancer takes to send no more connections to a node that isn't ready.
const UNREADY_GRACE: time::Duration = time::Duration::from_millis(2600);
/// Time kept back of the time to stop, for the end of the process.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Longest time that a caller's connection is idle, beyond what callers use.
const IDLE_LIMIT_MS: &str = "120000";
/// Longest wait for the last log lines.
const LOG_DRAIN_LIMIT: time::Duration = time::Duration::from_millis(200);
/// Descriptors that are not connections of callers.
const OWN_DESCRIPTORS: u32 = 800;

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
    /// Runs a node until it is told to stop.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid, an address cannot be bound or threads cannot be
    /// started.
    pub fn run(
        &self,
        environment: &IndexMap<sync::Arc<str>, sync::Arc<str>>,
    ) -> miette::Result<process::ExitCode> {
        let named = environment.get(settings_file::FILE_VARIABLE).map(|path| path.to_string());
        let path = self.settings.clone().or(named).unwrap_or_else(|| DEFAULT_FILE.to_owned());
        let machine = read(&path)?;
        let settings = settings::NodeSettings::new(&flags(&machine), environment)?;
        if self.check {
            println!("the settings are valid");
            return Ok(process::ExitCode::SUCCESS);
        }
        let log = logging::init_nonblocking(settings.log_level, settings.log_json)?;
        let pool = worker::WorkerPool::new(settings.workers)
            .into_diagnostic()
            .wrap_err("cannot start worker threads")?;
        let context = sync::Arc::new(context::NodeContext::new(settings, pool.spawner()));
        let state = sync::Arc::new(state::GatewayState::new(context, machine));
        let code = async_io::block_on(serve(state, &path, self.metrics_port))?;
        pool.stop();
        log::info!("gateway: stopped");
        log.drain(LOG_DRAIN_LIMIT);
        Ok(code)
    }
}

fn read(path: &str) -> miette::Result<types::MachineSettings> {
    let text = fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    Ok(settings_file::decode(&text)?)
}

/// Returns the settings of a node as flags.
fn flags(machine: &types::MachineSettings) -> schema_settings::NodeFlags {
    let seeds: Vec<_> = machine.seeds.iter().map(ToString::to_string).collect();
    let shutdown = machine.grace.saturating_sub(UNREADY_GRACE + STOP_MARGIN);
    let connections = machine.connections.saturating_sub(OWN_DESCRIPTORS).max(1);
    schema_settings::NodeFlags {
        node: Some(machine.node.to_string()),
        vm: Some(machine.node.to_string()),
        zone: Some(machine.zone.to_string()),
        region: Some(machine.region.to_string()),
        caller_address: Some(machine.caller_address.to_string()),
        peer_address: Some(machine.peer_address.to_string()),
        platform_address: Some(machine.store_address.to_string()),
        seeds: Some(seeds.join(",")),
        workers: Some("1".to_owned()),
        connection_limit: Some(connections.to_string()),
        header_timeout_ms: Some(IDLE_LIMIT_MS.to_owned()),
        grace_ms: Some(UNREADY_GRACE.as_millis().to_string()),
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
    let closer = start_front(&state).await?;
    start_ready(&state, state.machine.ready_address).await?;
    if let Some(port) = metrics_port {
        let address = net::SocketAddr::new(state.machine.ready_address.ip(), port);
        if let Err(fault) = start_ready(&state, address).await {
            log::error!("gateway: no metrics on {address}. error={fault}");
        }
    }
    let extension = sync::Arc::new(piece_send::PieceExtension::new(state.clone()));
    let handler = peer::PeerHandler::new(context.clone()).with_extension(extension);
    let peers = node::start_peer_server(context, handler).await?;
    context.spawner.detach(heartbeat::run(context.clone()));
    let routes = table_follow::follow(state.clone(), route_follow::RouteFollower);
    context.spawner.detach(routes);
    let endpoints = table_follow::follow(state.clone(), endpoint_follow::EndpointFollower);
    context.spawner.detach(endpoints);
    log::info!(node = context.settings.node.as_ref(), zone = context.settings.zone.as_ref();
        "gateway: started");
    let starting = node_lifecycle::NodeLifecycle::new();
    let informed = async {
        state.informed().await;
        true
    };
    let stopped = async {
        wait_for_stop(&mut signals, path).await;
        false
    };
    if !informed.or(stopped).await {
        node::set_phase(context, starting.abandon().phase());
        return Ok(process::ExitCode::SUCCESS);
    }
    let serving = starting.serve();
    node::set_phase(context, serving.phase());
    wait_for_stop(&mut signals, path).await;
    let draining = serving.drain();
    node::set_phase(context, draining.phase());
    heartbeat::leave(context).await;
    let whole = node::drain(context, &closer, pass_over(&mut signals)).await;
    peers.close();
    node::set_phase(context, draining.stop().phase());
    Ok(if whole { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

/// Waits for a signal to stop; at a signal that the settings have changed, they are read anew.
async fn wait_for_stop(signals: &mut Signals, path: &str) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match read(path) {
            Ok(_) => log::info!("gateway: settings read anew, addresses stay"),
            Err(fault) => log::error!("gateway: settings not read anew. error={fault}"),
        }
    }
}

/// Passes over signals, for ever: the platform kills a process that takes too long to stop.
async fn pass_over(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        log::info!("gateway: stopping already. signal={signal:?}");
    }
    future::pending().await
}

async fn start_front(
    state: &sync::Arc<state::GatewayState>,
) -> miette::Result<http_server::ServerCloser> {
    let handler = sync::Arc::new(entry::EntryHandler::new(state.clone()));
    let settings = &state.context.settings;
    let limits = node::server_limits(settings);
    node::start_server(&state.context, settings.caller_address, handler, limits).await
}

async fn start_ready(
    state: &sync::Arc<state::GatewayState>,
    address: net::SocketAddr,
) -> miette::Result<()> {
    let handler = sync::Arc::new(ready::ReadyHandler::new(state.clone()));
    let limits = node::server_limits(&state.context.settings);
    node::start_server(&state.context, address, handler, limits).await?;
    Ok(())
}
