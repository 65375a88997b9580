//! The node process: start, serve, drain, stop.

use crate::{
    configuration::distribution,
    ingress::front,
    membership::{heartbeat, peer, vm_poller},
    ownership::scheduler_sync,
    runtime::{context, settings, supervisor, worker},
    transport::http_server,
};
use async_signal::{Signal, Signals};
use comfreyspread_policy::{node_lifecycle, stop_window};
use comfreyspread_schema::types;
use futures_lite::{FutureExt as _, StreamExt as _};
use miette::{Context as _, IntoDiagnostic as _};
use std::{net, process, sync, time};

/// Maximum connections of other nodes, so that strangers cannot use up the descriptors there.
const PEER_CONNECTIONS: usize = 1024;
const PEER_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Allowance for the message around a body that one node forwards to another.
const PEER_OVERHEAD_BYTES: usize = 64 * 1024;

/// Runs a node until SIGINT or SIGTERM stops it.
///
/// # Errors
///
/// Fails if an address cannot be bound or threads cannot be started.
pub fn run(settings: settings::NodeSettings) -> miette::Result<process::ExitCode> {
    let workers = worker::WorkerPool::new(settings.workers)
        .into_diagnostic()
        .wrap_err("cannot start worker threads")?;
    let context = sync::Arc::new(context::NodeContext::new(settings, workers.spawner()));
    let exit_code = async_io::block_on(serve(context))?;
    workers.stop();
    Ok(exit_code)
}

async fn serve(context: sync::Arc<context::NodeContext>) -> miette::Result<process::ExitCode> {
    let mut signals = Signals::new([Signal::Int, Signal::Term]).into_diagnostic()?;
    let callers = start_caller_server(&context).await?;
    let peers = start_peer_server(&context, peer::PeerHandler::new(context.clone())).await?;
    supervise(&context, "scheduler-sync", scheduler_sync::run);
    supervise(&context, "vm-poller", vm_poller::run);
    supervise(&context, "heartbeat", heartbeat::run);
    let starting = node_lifecycle::NodeLifecycle::new();
    log::info!(node = context.settings.node.as_ref(); "node: started");
    let configured = async {
        distribution::start(&context).await;
        true
    };
    let stopped = async {
        signals.next().await;
        false
    };
    let draining = if configured.or(stopped).await {
        supervise(&context, "configuration-poller", distribution::poll);
        supervise(&context, "configuration-fetcher", distribution::run_fetcher);
        let serving = starting.serve();
        set_phase(&context, serving.phase());
        signals.next().await;
        serving.drain()
    } else {
        starting.abandon()
    };
    set_phase(&context, draining.phase());
    heartbeat::leave(&context).await;
    let forced = async {
        signals.next().await;
    };
    let all_finished = drain(&context, &callers, forced).await;
    peers.close();
    set_phase(&context, draining.stop().phase());
    Ok(if all_finished { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

/// Starts a task that runs until the process ends, and starts it again if it panics.
pub fn supervise<Run, Task>(context: &sync::Arc<context::NodeContext>, name: &'static str, run: Run)
where
    Run: Fn(sync::Arc<context::NodeContext>) -> Task + Send + 'static,
    Task: Future<Output = ()> + Send + 'static,
{
    let task_context = context.clone();
    supervisor::supervise(&context.spawner, name, move || run(task_context.clone()));
}

async fn start_caller_server(
    context: &sync::Arc<context::NodeContext>,
) -> miette::Result<http_server::ShutdownHandle> {
    let handler = sync::Arc::new(front::FrontHandler::new(context.clone()));
    let limits = server_limits(&context.settings);
    start_server(context, context.settings.caller_address, handler, limits).await
}

/// Starts the server for messages from other nodes.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start_peer_server(
    context: &sync::Arc<context::NodeContext>,
    handler: peer::PeerHandler,
) -> miette::Result<http_server::ShutdownHandle> {
    let handler = sync::Arc::new(handler);
    let settings = &context.settings;
    let limits = http_server::ServerLimits {
        body_limit: settings.body_limit.saturating_add(PEER_OVERHEAD_BYTES),
        header_timeout: PEER_IDLE_TIMEOUT,
        connection_limit: settings.connection_limit.min(PEER_CONNECTIONS),
        ..server_limits(settings)
    };
    start_server(context, settings.peer_address, handler, limits).await
}

/// Starts an HTTP server on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start_server<Handler>(
    context: &sync::Arc<context::NodeContext>,
    address: net::SocketAddr,
    handler: sync::Arc<Handler>,
    limits: http_server::ServerLimits,
) -> miette::Result<http_server::ShutdownHandle>
where
    Handler: http_server::RequestHandler,
{
    let server = http_server::HttpServer::new(address, handler, limits, context.spawner.clone())
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot serve on {address}"))?;
    let closer = server.shutdown_handle();
    let server = sync::Arc::new(server);
    supervisor::supervise(&context.spawner, "server", move || {
        let server = server.clone();
        async move { server.serve().await }
    });
    Ok(closer)
}

/// Returns the server limits given by the settings.
pub fn server_limits(settings: &settings::NodeSettings) -> http_server::ServerLimits {
    http_server::ServerLimits {
        body_limit: settings.body_limit,
        body_budget: settings.body_budget,
        body_timeout: settings.body_timeout,
        connection_limit: settings.connection_limit,
        head_limit: settings.head_limit,
        head_budget: settings.head_budget,
        head_timeout: settings.head_timeout,
        header_timeout: settings.header_timeout,
    }
}

/// Sets the phase of the node.
pub fn set_phase(context: &context::NodeContext, phase: types::NodePhase) {
    *context.tables.phase.lock() = phase;
    log::info!(phase = phase.to_string().as_str(); "node: phase changed");
}

/// Waits for the grace period, then closes the server and waits for all requests, at most for the
/// shutdown timeout or until `forced` completes; returns whether all requests finished.
pub async fn drain<Forced>(
    context: &context::NodeContext,
    closer: &http_server::ShutdownHandle,
    forced: Forced,
) -> bool
where
    Forced: Future<Output = ()>,
{
    let (grace, shutdown) = (context.settings.grace_period, context.settings.shutdown_timeout);
    let limit = grace + shutdown;
    let window = stop_window::StopWindow::new(time::Instant::now(), grace, shutdown);
    context.drain_limit.begin(window);
    let finished = async {
        async_io::Timer::after(grace).await;
        closer.drain().await;
        context.active_requests.wait_idle().await;
        true
    };
    let timed_out = async {
        async_io::Timer::after(limit).await;
        false
    };
    let forced = async {
        forced.await;
        false
    };
    let all_finished = finished.or(timed_out).or(forced).await;
    if !all_finished {
        let unfinished = context.active_request_count();
        log::error!(requests = unfinished; "node: stopped before all requests finished");
    }
    all_finished
}
