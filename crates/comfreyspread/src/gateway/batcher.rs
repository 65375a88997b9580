//! Calls to stage services, sent by the node that batches a service for a region: as a rule one of
//! that region, else the node that has the pieces.
//!
//! One task per service and region schedules the calls; new pieces, finished calls, released results and
//! endpoint changes wake it. [`batch_queue`] makes the decisions.

use super::{endpoint_notices, rollout::evidence, state};
use crate::{
    runtime::supervisor,
    transport::{deadline, failure, http_client, http_message},
};
use comfreyspread_platform::{piece_call, response_head};
use comfreyspread_policy::{
    batch_call, batch_outcome, batch_queue, batch_worker, directory_endpoint, endpoint_directory,
    endpoint_selection, piece_group, recent_results,
};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use indexmap::IndexMap;
use std::{fmt, net, sync, time};

/// Maximum size of the response to a stage call, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Timeout of a call that releases results.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Maximum sleep of a task while pieces are queued.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(250);
const OK_STATUS: u16 = 200;
/// Number of priorities for which waits are reported separately.
const REPORTED_PRIORITIES: u32 = 4;

/// Outcomes of the pieces of a group, in their order.
pub type GroupOutcomes = Vec<types::PieceOutcome>;

/// A stage service, and the region whose endpoints are called.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct BatchScope {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Region of the endpoints.
    pub region: ids::RegionId,
}

/// Batchers of the stage services.
#[derive(Default)]
pub struct BatcherTable {
    scopes: IndexMap<BatchScope, ServiceBatcher>,
}

/// Queue of a service, its recent results, the groups waiting for outcomes, and the wakeup of its
/// task.
struct ServiceBatcher {
    queue: batch_queue::BatchQueue,
    results: recent_results::RecentResults,
    waiting: IndexMap<piece_group::GroupNumber, async_channel::Sender<GroupOutcomes>>,
    wake: async_channel::Sender<()>,
}

impl fmt::Debug for BatcherTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BatcherTable").field("scopes", &self.scopes.len()).finish()
    }
}

impl BatcherTable {
    /// Wakes the tasks of all services.
    pub fn wake_all(&self) {
        for batcher in self.scopes.values() {
            batcher.wake.try_send(()).ok();
        }
    }

    /// Returns the number of running calls to endpoints of a service for which `belongs` holds.
    pub fn calls_to<Belongs>(&self, service: &str, belongs: Belongs) -> usize
    where
        Belongs: Fn(&ids::EndpointId) -> bool,
    {
        let of_service = self.scopes.iter().filter(|(scope, _)| *scope.service == *service);
        of_service.map(|(_, batcher)| batcher.queue.calls_to(&belongs)).sum()
    }

    /// Returns the number of queued pieces and of running calls, by service and region.
    pub fn loads(&self) -> impl Iterator<Item = (&BatchScope, (usize, usize))> {
        self.scopes.iter().map(|(scope, batcher)| (scope, batcher.queue.load()))
    }
}

/// A group whose outcomes are awaited; dropping this cancels the group.
struct WaitingGroup<'state> {
    state: &'state state::GatewayState,
    scope: BatchScope,
    number: piece_group::GroupNumber,
}

impl Drop for WaitingGroup<'_> {
    fn drop(&mut self) {
        let mut batchers = self.state.batchers.lock();
        if let Some(batcher) = batchers.scopes.get_mut(&self.scope) {
            batcher.waiting.swap_remove(&self.number);
            batcher.queue.cancel(self.number);
        }
    }
}

/// Runs a group of pieces and returns their outcomes.
pub async fn run_group(
    state: &sync::Arc<state::GatewayState>,
    scope: &BatchScope,
    group: piece_group::PieceGroup,
) -> GroupOutcomes {
    let unreachable = types::PieceOutcome::Failed(types::PieceError::Unreachable);
    let unreachable = vec![unreachable; group.tasks.len()];
    let Some((_waiting, outcomes)) = enqueue(state, scope, group) else {
        log::warn!(service = scope.service.as_ref(); "batcher: not a stage service");
        return unreachable;
    };
    outcomes.recv().await.unwrap_or(unreachable)
}

/// Returns the expected wait of new pieces, by priority of their request.
pub fn waits(state: &state::GatewayState, scope: &BatchScope) -> Vec<types::PriorityWait> {
    let now = time::Instant::now();
    let batchers = state.batchers.lock();
    let Some(batcher) = batchers.scopes.get(scope) else { return Vec::new() };
    let wait = |priority| types::PriorityWait { wait: batcher.queue.expected_wait(priority, now) };
    (0..REPORTED_PRIORITIES).map(wait).collect()
}

/// Adds a group to the queue of its service and region, creating the queue and its task if needed.
/// Returns `None` if the service runs no pieces.
fn enqueue<'state>(
    state: &'state sync::Arc<state::GatewayState>,
    scope: &BatchScope,
    group: piece_group::PieceGroup,
) -> Option<(WaitingGroup<'state>, async_channel::Receiver<GroupOutcomes>)> {
    let capacity = state.routes().service(&scope.service)?.stage_capacity.clone()?;
    let (sender, outcomes) = async_channel::bounded(1);
    let mut batchers = state.batchers.lock();
    let batcher = batchers.scopes.entry(scope.clone()).or_insert_with(|| {
        let (wake, wakeups) = async_channel::bounded(1);
        let (task_state, task_scope) = (state.clone(), scope.clone());
        supervisor::supervise(&state.context.spawner, "batcher", move || {
            run_scope(task_state.clone(), task_scope.clone(), wakeups.clone())
        });
        let queue = batch_queue::BatchQueue::new(capacity.clone());
        let results = recent_results::RecentResults::default();
        ServiceBatcher { queue, results, waiting: IndexMap::new(), wake }
    });
    batcher.queue.set_capacity(capacity);
    let number = batcher.queue.push(group);
    batcher.waiting.insert(number, sender);
    batcher.wake.try_send(()).ok();
    drop(batchers);
    Some((WaitingGroup { state, scope: scope.clone(), number }, outcomes))
}

/// Releases the results that this node's own calls made, and returns the others.
pub fn release_own(
    state: &sync::Arc<state::GatewayState>,
    scope: &BatchScope,
    handles: Vec<ids::ResultHandle>,
) -> Vec<ids::ResultHandle> {
    let (own, others): (Vec<_>, Vec<_>) = {
        let batchers = state.batchers.lock();
        let Some(batcher) = batchers.scopes.get(scope) else { return handles };
        handles.into_iter().partition(|handle| batcher.queue.counts_result(handle))
    };
    release(state, scope, &own);
    others
}

/// Releases results that are no longer needed.
pub fn release(
    state: &sync::Arc<state::GatewayState>,
    scope: &BatchScope,
    handles: &[ids::ResultHandle],
) {
    let mut producers = IndexMap::<_, Vec<_>>::new();
    for handle in handles {
        match piece_call::producer_address(handle) {
            Some(producer) => producers.entry(producer).or_default().push(handle.clone()),
            None => log::warn!("batcher: result handle names no producer. handle={handle}"),
        }
    }
    for (producer, released) in producers {
        if !accepts_release(state, producer) {
            log::debug!(count = released.len(); "batcher: results left to expire. endpoint={producer}");
            continue;
        }
        let task_state = state.clone();
        let scope = scope.clone();
        state.context.spawner.detach(async move {
            send_release(&task_state, producer, &released).await;
            let mut batchers = task_state.batchers.lock();
            if let Some(batcher) = batchers.scopes.get_mut(&scope) {
                batcher.queue.remove_results(&released);
                batcher.wake.try_send(()).ok();
            }
        });
    }
}

/// Returns whether results may be released at an endpoint: one that leaves or asked for a pause gets
/// no request, so its results take up storage until they expire. A zone that is out of service does
/// not keep results from being released.
fn accepts_release(state: &state::GatewayState, producer: net::SocketAddr) -> bool {
    let now = time::Instant::now();
    let directory = state.directory.lock();
    let known = directory.at(producer);
    known.is_none_or(|one| endpoint_selection::SkipReason::of_endpoint(one, false, now).is_none())
}

async fn send_release(
    state: &state::GatewayState,
    producer: net::SocketAddr,
    handles: &[ids::ResultHandle],
) {
    let Ok((head, body)) = piece_call::encode_release_request(handles) else { return };
    let request = http_message::Request::from_parts(head, body.into());
    let connection = http_client::ConnectionUse::Pooled;
    let deadline = time::Instant::now() + RELEASE_TIMEOUT;
    let process = state.directory.lock().process_at(producer);
    let framing = http_client::BodyFraming::Any;
    let held = state.client.call_held(producer, request, connection, framing, deadline).await;
    match held {
        // The outcomes of pieces are an earlier response: dropping it closes the connection.
        Ok(held) if piece_call::decode_run_response(held.response().body()).is_ok() => {
            log::warn!("batcher: response to a release belongs to an earlier call");
        }
        Ok(held) => {
            if let Some((endpoint, started_at_ms)) = process {
                let signals = response_head::decode(held.response().head());
                endpoint_notices::record_unnamed(state, &endpoint, started_at_ms, &signals);
            }
            held.release();
        }
        Err(failure) => log::debug!("batcher: results not released. error={failure}"),
    }
}

/// Schedules the calls of one service in one region until the process ends.
async fn run_scope(
    state: sync::Arc<state::GatewayState>,
    scope: BatchScope,
    wakeups: async_channel::Receiver<()>,
) {
    loop {
        let next_wakeup = dispatch_calls(&state, &scope);
        let wakeup = async {
            wakeups.recv().await.ok();
        };
        match next_wakeup {
            None => wakeup.await,
            Some(next_wakeup) => {
                let latest = time::Instant::now() + MAX_SLEEP;
                let timer = async {
                    deadline::DeadlineTimer::new(next_wakeup.min(latest)).await;
                };
                wakeup.or(timer).await;
            }
        }
    }
}

/// Starts the calls that are due and delivers the outcomes of completed groups. Returns when to run
/// again if nothing wakes the task earlier.
fn dispatch_calls(
    state: &sync::Arc<state::GatewayState>,
    scope: &BatchScope,
) -> Option<time::Instant> {
    let now = time::Instant::now();
    let workers: Vec<_> = {
        let directory = state.directory.lock();
        let usable = directory.usable(&scope.service, Some(&scope.region), now);
        let location =
            |endpoint: &directory_endpoint::DirectoryEndpoint| batch_worker::WorkerLocation {
                endpoint: endpoint.registration.endpoint.clone(),
                address: endpoint.registration.address,
                zone: endpoint.registration.zone.clone(),
                paused_until: endpoint.paused_until(now),
                is_held: !directory.admits_stage_call(endpoint, now),
            };
        usable.map(location).collect()
    };
    let mut batchers = state.batchers.lock();
    let batcher = batchers.scopes.get_mut(scope)?;
    batcher.queue.set_workers(workers.into_iter(), now);
    for group in batcher.queue.take_completed(now) {
        if let Some(sender) = batcher.waiting.swap_remove(&group.number) {
            sender.try_send(group.outcomes).ok();
        }
    }
    let planned = batcher.queue.plan(now);
    let next_wakeup = batcher.queue.next_wakeup(now);
    drop(batchers);
    for call in planned {
        state.directory.lock().record_stage_call(&call.endpoint);
        let task_state = state.clone();
        let scope = scope.clone();
        state.context.spawner.detach(async move { run_call(&task_state, &scope, call).await });
    }
    next_wakeup
}

/// Runs one call and records its outcome.
async fn run_call(
    state: &sync::Arc<state::GatewayState>,
    scope: &BatchScope,
    call: batch_call::PlannedCall,
) {
    let started = time::Instant::now();
    // A call without an outcome would occupy its endpoint for good.
    let outcome = supervisor::run_caught(send_call(state, scope, &call)).await;
    let outcome = outcome.unwrap_or(batch_outcome::BatchOutcome::Failed);
    let now = time::Instant::now();
    let elapsed = now.saturating_duration_since(started);
    let completed = outcome.completed();
    state.context.metrics.stages.count_call(call.tasks.len(), completed, elapsed);
    evidence::record_stage_call(state, scope, &call, &outcome, elapsed);
    log::info!(service = scope.service.as_ref(), endpoint = call.endpoint.as_ref(),
        pieces = call.tasks.len(), made = completed.unwrap_or(0), ended = outcome.as_str(),
        took_ms = elapsed.as_millis() as u64; "batcher: call ended");
    let mut unneeded = Vec::new();
    let mut batchers = state.batchers.lock();
    if let Some(batcher) = batchers.scopes.get_mut(scope) {
        unneeded = batcher.queue.finish_call(call.number, &outcome, now);
        batcher.wake.try_send(()).ok();
    }
    drop(batchers);
    release(state, scope, &unneeded);
}

/// Sends a call. Its connection is used again only if the response is known to belong to it.
async fn send_call(
    state: &state::GatewayState,
    scope: &BatchScope,
    call: &batch_call::PlannedCall,
) -> batch_outcome::BatchOutcome {
    let (head, body) = match piece_call::encode_run_request(&call.endpoint, &call.tasks) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(endpoint = call.endpoint.as_ref();
                "batcher: call cannot be encoded. error={error}");
            return batch_outcome::BatchOutcome::Failed;
        }
    };
    let request = http_message::Request::from_parts(head, body.into());
    let connection = http_client::ConnectionUse::Pooled;
    let framing = http_client::BodyFraming::Any;
    let deadline = time::Instant::now() + call.timeout;
    let chosen = chosen_endpoint(state, scope, call);
    let connection = match state.client.connect(call.address, connection, deadline).await {
        Ok(connection) => connection,
        Err(failure) => return call_failed(call, &failure),
    };
    let withdrawn = state.directory.lock().withdrawn(&chosen, None, time::Instant::now());
    if let Some(reason) = withdrawn {
        log::info!(endpoint = call.endpoint.as_ref();
            "batcher: call not sent, the endpoint is no longer to be used. reason={reason:?}");
        return batch_outcome::BatchOutcome::Full;
    }
    let held = match state.client.exchange_held(connection, request, framing, deadline).await {
        Ok(held) => held,
        Err(failure) => return call_failed(call, &failure),
    };
    let signals = response_head::decode(held.response().head());
    let outcome = call_outcome(call, &signals, held.response());
    let origin = match &outcome {
        batch_outcome::BatchOutcome::Answered(outcomes) => {
            response_origin(state, scope, call, outcomes)
        }
        _ => recent_results::ResponseOrigin::Unknown,
    };
    if origin == recent_results::ResponseOrigin::EarlierCall {
        log::warn!(endpoint = call.endpoint.as_ref();
            "batcher: response belongs to an earlier call");
        return batch_outcome::BatchOutcome::Failed;
    }
    endpoint_notices::record_unnamed(state, &call.endpoint, chosen.started_at_ms, &signals);
    if origin == recent_results::ResponseOrigin::ThisCall {
        held.release();
    }
    outcome
}

/// Returns the endpoint of a call as it is registered when the call is planned.
fn chosen_endpoint(
    state: &state::GatewayState,
    scope: &BatchScope,
    call: &batch_call::PlannedCall,
) -> endpoint_directory::ChosenEndpoint {
    let directory = state.directory.lock();
    endpoint_directory::ChosenEndpoint {
        endpoint: call.endpoint.clone(),
        address: call.address,
        region: scope.region.clone(),
        started_at_ms: directory.started_at_ms(&call.endpoint),
        version: directory.version(&call.endpoint).unwrap_or_default(),
        cold: false,
    }
}

fn call_failed(
    call: &batch_call::PlannedCall,
    failure: &failure::CallFailure,
) -> batch_outcome::BatchOutcome {
    log::info!(endpoint = call.endpoint.as_ref(); "batcher: call failed. error={failure}");
    batch_outcome::BatchOutcome::Failed
}

fn response_origin(
    state: &state::GatewayState,
    scope: &BatchScope,
    call: &batch_call::PlannedCall,
    outcomes: &[types::PieceOutcome],
) -> recent_results::ResponseOrigin {
    let mut batchers = state.batchers.lock();
    let Some(batcher) = batchers.scopes.get_mut(scope) else {
        return recent_results::ResponseOrigin::Unknown;
    };
    batcher.results.record(&call.tasks, outcomes)
}

/// Returns the outcome that a response reports.
fn call_outcome(
    call: &batch_call::PlannedCall,
    signals: &types::ResponseSignals,
    response: &http_client::ClientResponse,
) -> batch_outcome::BatchOutcome {
    if signals.misdirected {
        return batch_outcome::BatchOutcome::Gone;
    }
    if signals.not_run {
        return batch_outcome::BatchOutcome::Full;
    }
    if response.status() != OK_STATUS || response.body().len() > MAX_RESPONSE_BYTES {
        log::warn!(endpoint = call.endpoint.as_ref(), status = response.status();
            "batcher: response rejected for its status or size");
        return batch_outcome::BatchOutcome::Failed;
    }
    match piece_call::decode_run_response(response.body()) {
        Ok(outcomes) if outcomes.len() == call.tasks.len() => {
            batch_outcome::BatchOutcome::Answered(outcomes)
        }
        Ok(outcomes) => {
            log::warn!(endpoint = call.endpoint.as_ref(), sent = call.tasks.len(),
                got = outcomes.len(); "batcher: response has a different number of pieces");
            batch_outcome::BatchOutcome::Failed
        }
        Err(error) => {
            log::warn!(endpoint = call.endpoint.as_ref();
                "batcher: response not valid. error={error}");
            batch_outcome::BatchOutcome::Failed
        }
    }
}
