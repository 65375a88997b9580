//! Calls to stage services, made by the node that batches a service for its region.
//!
//! One task a service plans the calls; whoever brings pieces, results or news of endpoints wakes
//! it. The decisions are [`batch_queue`]'s.

use super::state;
use crate::transport::{deadline, http_client, http_message};
use comfreyspread_platform::{piece_call, response_head};
use comfreyspread_policy::{
    batch_outcome, batch_queue, batch_worker, endpoint_directory, piece_group,
};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use indexmap::IndexMap;
use std::{fmt, net, sync, time};

/// Longest answer to a call for pieces, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// Longest wait for the answer to a release of results.
const RELEASE_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Longest sleep of a service's task while pieces wait.
const MOST_SLEEP: time::Duration = time::Duration::from_millis(250);
const OK_STATUS: u16 = 200;
/// Ranks of requests whose waits are told apart.
const STATED_RANKS: u32 = 4;

/// Outcomes of a group of pieces.
pub type GroupOutcomes = Vec<types::PieceOutcome>;

/// Queues of the services that this node batches.
#[derive(Default)]
pub struct BatchTable {
    services: IndexMap<ids::EndpointService, ServiceBatch>,
}

struct ServiceBatch {
    queue: batch_queue::BatchQueue,
    waiting: IndexMap<piece_group::GroupNumber, async_channel::Sender<GroupOutcomes>>,
    wake: async_channel::Sender<()>,
}

impl fmt::Debug for BatchTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BatchTable").field("services", &self.services.len()).finish()
    }
}

impl BatchTable {
    /// Wakes the tasks of all services.
    pub fn wake_all(&self) {
        for batch in self.services.values() {
            batch.wake.try_send(()).ok();
        }
    }

    /// Returns the pieces that wait and the calls that run, by service.
    pub fn loads(&self) -> impl Iterator<Item = (&ids::EndpointService, (usize, usize))> {
        self.services.iter().map(|(service, batch)| (service, batch.queue.load()))
    }
}

/// A group of pieces that somebody waits for; it is forgotten when this is dropped.
struct WaitingGroup<'state> {
    state: &'state state::GatewayState,
    service: ids::EndpointService,
    number: piece_group::GroupNumber,
}

impl Drop for WaitingGroup<'_> {
    fn drop(&mut self) {
        let mut batches = self.state.batches.lock();
        if let Some(batch) = batches.services.get_mut(&self.service) {
            batch.waiting.swap_remove(&self.number);
            batch.queue.cancel(self.number);
        }
    }
}

/// Has a group of pieces made and returns their outcomes.
pub async fn make(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    group: piece_group::PieceGroup,
) -> GroupOutcomes {
    let unmade = types::PieceOutcome::Failed(types::PieceFault::Unreachable);
    let unmade = vec![unmade; group.orders.len()];
    let Some((_waiting, outcomes)) = enter(state, service, group) else {
        log::warn!(service = service.as_ref(); "batcher: the service makes no pieces");
        return unmade;
    };
    outcomes.recv().await.unwrap_or(unmade)
}

/// Returns the waits that new pieces of a service have to expect, by rank of their request.
pub fn waits(state: &state::GatewayState, service: &ids::EndpointService) -> Vec<types::RankWait> {
    let now = time::Instant::now();
    let batches = state.batches.lock();
    let Some(batch) = batches.services.get(service) else { return Vec::new() };
    let wait = |rank| types::RankWait { wait: batch.queue.expected_wait(rank, now) };
    (0..STATED_RANKS).map(wait).collect()
}

/// Puts a group into its service's queue, which is started if there is none.
fn enter<'state>(
    state: &'state sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    group: piece_group::PieceGroup,
) -> Option<(WaitingGroup<'state>, async_channel::Receiver<GroupOutcomes>)> {
    let capacity = state.routes().service(service)?.pieces.clone()?;
    let (sender, outcomes) = async_channel::bounded(1);
    let mut batches = state.batches.lock();
    let batch = batches.services.entry(service.clone()).or_insert_with(|| {
        let (wake, woken) = async_channel::bounded(1);
        state.context.spawner.detach(tend(state.clone(), service.clone(), woken));
        let queue = batch_queue::BatchQueue::new(capacity.clone());
        ServiceBatch { queue, waiting: IndexMap::new(), wake }
    });
    batch.queue.set_capacity(capacity);
    let number = batch.queue.push(group);
    batch.waiting.insert(number, sender);
    batch.wake.try_send(()).ok();
    drop(batches);
    Some((WaitingGroup { state, service: service.clone(), number }, outcomes))
}

/// Frees results that nobody needs any more.
pub fn release(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    handles: &[ids::ResultHandle],
) {
    let mut makers = IndexMap::<_, Vec<_>>::new();
    for handle in handles {
        match piece_call::producer_address(handle) {
            Some(maker) => makers.entry(maker).or_default().push(handle.clone()),
            None => log::warn!("batcher: result without a maker. handle={handle}"),
        }
    }
    for (maker, freed) in makers {
        let task_state = state.clone();
        let service = service.clone();
        state.context.spawner.detach(async move {
            free(&task_state, maker, &freed).await;
            let mut batches = task_state.batches.lock();
            if let Some(batch) = batches.services.get_mut(&service) {
                batch.queue.remove_results(&freed);
                batch.wake.try_send(()).ok();
            }
        });
    }
}

async fn free(state: &state::GatewayState, maker: net::SocketAddr, handles: &[ids::ResultHandle]) {
    let Ok((head, body)) = piece_call::encode_free_request(handles) else { return };
    let request = http_message::Request::from_parts(head, body.into());
    let connection = http_client::ConnectionUse::Pooled;
    let deadline = time::Instant::now() + RELEASE_LIMIT;
    if let Err(failure) = state.client.call(maker, request, connection, deadline).await {
        log::debug!("batcher: results not freed. error={failure}");
    }
}

/// Plans the calls of one service until the process ends.
async fn tend(
    state: sync::Arc<state::GatewayState>,
    service: ids::EndpointService,
    woken: async_channel::Receiver<()>,
) {
    loop {
        let moment = pump(&state, &service);
        let news = async {
            woken.recv().await.ok();
        };
        match moment {
            None => news.await,
            Some(moment) => {
                let latest = time::Instant::now() + MOST_SLEEP;
                let timer = async {
                    deadline::DeadlineTimer::new(moment.min(latest)).await;
                };
                news.or(timer).await;
            }
        }
    }
}

/// Starts the calls that can be made, and answers the groups that are settled; returns when to
/// look again though nothing happens.
fn pump(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
) -> Option<time::Instant> {
    let now = time::Instant::now();
    let region = &state.machine.region;
    let workers: Vec<_> = {
        let directory = state.directory.lock();
        let usable = directory.usable(service, Some(region));
        let place = |one: &endpoint_directory::DirectoryEndpoint| batch_worker::WorkerLocation {
            endpoint: one.entry.endpoint.clone(),
            address: one.entry.address,
            zone: one.entry.zone.clone(),
        };
        usable.map(place).collect()
    };
    let mut batches = state.batches.lock();
    let batch = batches.services.get_mut(service)?;
    batch.queue.set_workers(workers.into_iter(), now);
    for settled in batch.queue.take_settled(now) {
        if let Some(sender) = batch.waiting.swap_remove(&settled.number) {
            sender.try_send(settled.outcomes).ok();
        }
    }
    for call in batch.queue.plan(now) {
        let task_state = state.clone();
        let service = service.clone();
        state.context.spawner.detach(async move { carry_out(&task_state, &service, call).await });
    }
    batch.queue.next_wakeup(now)
}

/// Makes one call and takes in how it ended.
async fn carry_out(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    call: batch_queue::PlannedCall,
) {
    let started = time::Instant::now();
    let ending = send(state, &call).await;
    let now = time::Instant::now();
    let took = now.saturating_duration_since(started);
    let made = ending.made();
    state.context.metrics.stages.count_call(call.orders.len(), made, took);
    log::info!(service = service.as_ref(), endpoint = call.endpoint.as_ref(),
        pieces = call.orders.len(), made = made.unwrap_or(0), ended = ending.as_str(),
        took_ms = took.as_millis() as u64; "batcher: call ended");
    let mut unwanted = Vec::new();
    let mut batches = state.batches.lock();
    if let Some(batch) = batches.services.get_mut(service) {
        unwanted = batch.queue.finish_call(call.number, &ending, now);
        batch.wake.try_send(()).ok();
    }
    drop(batches);
    release(state, service, &unwanted);
}

async fn send(
    state: &state::GatewayState,
    call: &batch_queue::PlannedCall,
) -> batch_outcome::BatchOutcome {
    let Ok((head, body)) = piece_call::encode_run_request(&call.endpoint, &call.orders) else {
        return batch_outcome::BatchOutcome::Failed;
    };
    let request = http_message::Request::from_parts(head, body.into());
    let connection = http_client::ConnectionUse::Pooled;
    let deadline = time::Instant::now() + call.timeout;
    let answered = state.client.call(call.address, request, connection, deadline).await;
    let answered = match answered {
        Ok(answered) => answered,
        Err(failure) => {
            log::info!(endpoint = call.endpoint.as_ref(); "batcher: call failed. error={failure}");
            return batch_outcome::BatchOutcome::Failed;
        }
    };
    let signs = response_head::decode(answered.head());
    if signs.misdirected {
        return batch_outcome::BatchOutcome::Gone;
    }
    if signs.not_run {
        return batch_outcome::BatchOutcome::Full;
    }
    if answered.status() != OK_STATUS || answered.body().len() > ANSWER_LIMIT_BYTES {
        log::warn!(endpoint = call.endpoint.as_ref(), status = answered.status();
            "batcher: call failed at the endpoint");
        return batch_outcome::BatchOutcome::Failed;
    }
    match piece_call::decode_run_response(answered.body()) {
        Ok(outcomes) if outcomes.len() == call.orders.len() => {
            batch_outcome::BatchOutcome::Answered(outcomes)
        }
        Ok(outcomes) => {
            log::warn!(endpoint = call.endpoint.as_ref(), sent = call.orders.len(),
                got = outcomes.len(); "batcher: answer has other pieces");
            batch_outcome::BatchOutcome::Failed
        }
        Err(fault) => {
            log::warn!(endpoint = call.endpoint.as_ref(); "batcher: answer not valid. error={fault}");
            batch_outcome::BatchOutcome::Failed
        }
    }
}
