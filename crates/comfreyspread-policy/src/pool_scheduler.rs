//! Scheduler of one pool at its owner, with one queue for all endpoints of the pool on this node.
//!
//! The endpoints share the queue, so none is idle while a call that it could take is waiting. A
//! call is enqueued, started at an endpoint and finished; the scheduler only decides, and the
//! caller carries the decision out. Each queued call ends in exactly one way: it is started,
//! refused or cancelled.

use crate::{call_queue, endpoint_lifecycle, endpoint_selector, latency, outlier, pool_endpoint};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const MAX_QUEUE_BYTES: usize = 64 * 1024 * 1024;
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// A call to be enqueued.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// Workspace the call belongs to.
    pub workspace: ids::WorkspaceId,
    /// Weight of the workspace among those with calls of the same priority.
    pub weight: u32,
    /// Priority.
    pub priority: types::PriorityLevel,
    /// Time by which the caller needs the answer.
    pub deadline: time::Instant,
    /// Preferred endpoint.
    pub endpoint: Option<ids::EndpointId>,
    /// Endpoints at which earlier attempts failed; used only if no other endpoint takes calls.
    pub excluded_endpoints: Vec<ids::EndpointId>,
    /// Whether the endpoint must run no other call at the same time.
    pub exclusive: bool,
    /// Hash of the prompt prefix; zero if the call has none.
    pub prefix: ids::PrefixHash,
    /// Memory the call occupies while it is queued, in bytes.
    pub bytes: usize,
}

/// Identifies a queued call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueTicket {
    /// Identifier of the call within the pool.
    pub id: ids::TicketId,
    /// Time after which the call is refused instead of started.
    pub latest_start: time::Instant,
}

/// Why a call was not enqueued, or was removed from the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// Kind of problem.
    pub problem: types::ProblemKind,
    /// Delay after which a retry may succeed.
    pub retry_after: time::Duration,
}

/// Decision on a queued call.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleDecision {
    /// Send the call to the endpoint, where a slot is held for it.
    Start {
        /// Identifier of the call within the pool.
        ticket: ids::TicketId,
        /// Endpoint to send it to.
        endpoint: ids::EndpointId,
    },
    /// Refuse the call.
    Refuse {
        /// Identifier of the call within the pool.
        ticket: ids::TicketId,
        /// Reason and retry delay.
        refusal: CallRefusal,
    },
}

/// A call in flight.
#[derive(Debug)]
struct RunningCall {
    endpoint: ids::EndpointId,
    sent_at: time::Instant,
}

/// Call queue and endpoints of one pool.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: types::PoolDeclaration,
    queue: call_queue::CallQueue,
    endpoints: endpoint_selector::EndpointTable,
    running: IndexMap<ids::TicketId, RunningCall>,
    service_time: latency::LatencyEstimate,
    outlier_detector: outlier::OutlierDetector,
    last_ticket: ids::TicketId,
    ejections: u64,
}

impl PoolScheduler {
    /// Creates a scheduler without endpoints.
    pub fn new(pool: types::PoolDeclaration) -> Self {
        Self {
            pool,
            queue: call_queue::CallQueue::new(MAX_QUEUE_BYTES),
            endpoints: endpoint_selector::EndpointTable::new(),
            running: IndexMap::new(),
            service_time: latency::LatencyEstimate::new(),
            outlier_detector: outlier::OutlierDetector::new(),
            last_ticket: 0,
            ejections: 0,
        }
    }

    /// Replaces the outlier detector.
    pub fn with_outlier_detector(self, outlier_detector: outlier::OutlierDetector) -> Self {
        Self { outlier_detector, ..self }
    }

    /// Returns the state of an endpoint.
    pub fn endpoint(&self, endpoint: &ids::EndpointId) -> Option<&pool_endpoint::PoolEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// Returns all endpoints with their states.
    pub fn endpoints(
        &self,
    ) -> impl Iterator<Item = (&ids::EndpointId, &pool_endpoint::PoolEndpoint)> {
        self.endpoints.iter()
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of times an endpoint was ejected as an outlier.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns the load of the pool, as reported to other nodes.
    pub fn hint(&self) -> types::PoolHint {
        let running = self.endpoints.values().map(pool_endpoint::PoolEndpoint::running).sum();
        types::PoolHint {
            limit: self.capacity(),
            pool: self.pool.name.clone(),
            high_priority_wait: self.queueing_delay(self.queue.len_at(types::PriorityLevel::High)),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running,
            wait: self.queueing_delay(self.queue.len()),
        }
    }

    /// Returns the expected wait behind `queued` calls; zero for an empty queue.
    fn queueing_delay(&self, queued: usize) -> time::Duration {
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        self.service_time.mean().saturating_mul(queued) / self.capacity().max(1)
    }

    /// Returns the expected wait of a new call.
    pub fn estimate_wait(&self, call: &NewCall, now: time::Instant) -> time::Duration {
        if self.queue.is_empty() && self.has_free_slot(now) {
            return time::Duration::ZERO;
        }
        let ahead = self.queue.calls_ahead(&call.workspace, call.weight, call.priority);
        let calls = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let mean = self.service_time.mean();
        mean.saturating_mul(calls) / self.capacity().max(1)
    }

    /// Returns the next time at which a queued call may start even if no running call finishes:
    /// the pause of a breaker ends, or an unconfirmed or inherited call expires.
    pub fn next_wakeup(&self, now: time::Instant) -> Option<time::Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.endpoints.values().filter_map(|state| state.next_wakeup(now)).min()
    }

    /// Applies a new declaration of the pool.
    pub fn update_pool(&mut self, pool: &types::PoolDeclaration) {
        if *pool == self.pool {
            return;
        }
        self.pool = pool.clone();
        for state in self.endpoints.values_mut() {
            state.update_pool(pool);
        }
    }

    /// Sets whether an endpoint takes new calls, and adds it if it is unknown and available.
    pub fn set_available(&mut self, endpoint: &ids::EndpointId, available: bool) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.set_available(available);
        } else if available {
            self.endpoints.insert(endpoint.clone(), pool_endpoint::PoolEndpoint::new(&self.pool));
        }
    }

    /// Stops new calls to the endpoints that `keep` rejects, and removes those that are idle.
    pub fn retain(&mut self, keep: impl Fn(&ids::EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, state| {
            if keep(endpoint) {
                return true;
            }
            state.set_available(false);
            state.phase() != types::EndpointPhase::Gone
        });
    }

    /// Counts `calls` of a former owner as running at an endpoint until `until`.
    pub fn set_inherited_calls(
        &mut self,
        endpoint: &ids::EndpointId,
        calls: u32,
        until: time::Instant,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.set_inherited_calls(calls, until);
        }
    }

    /// Adds a call to the queue.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint takes calls, if the expected wait exceeds the queue time limit or the
    /// deadline, or if the queue has no memory left. The call has not run in any of these cases.
    pub fn enqueue(
        &mut self,
        call: NewCall,
        now: time::Instant,
    ) -> Result<QueueTicket, CallRefusal> {
        if !self.endpoints.values().any(pool_endpoint::PoolEndpoint::takes_calls) {
            return Err(new_refusal(types::ProblemKind::Unavailable, time::Duration::ZERO));
        }
        let wait = self.estimate_wait(&call, now);
        let latest_start = self.latest_start(&call, now);
        if now + wait > latest_start {
            let past_deadline = latest_start < now;
            let problem = if past_deadline {
                types::ProblemKind::Deadline
            } else {
                types::ProblemKind::Overloaded
            };
            return Err(new_refusal(problem, wait));
        }
        self.last_ticket += 1;
        let id = self.last_ticket;
        let queued = self.queue.push(call_queue::QueuedCall {
            id,
            workspace: call.workspace,
            weight: call.weight,
            priority: call.priority,
            latest_start,
            endpoint: call.endpoint,
            excluded_endpoints: call.excluded_endpoints,
            exclusive: call.exclusive,
            prefix: call.prefix,
            bytes: call.bytes,
        });
        match queued {
            Ok(()) => Ok(QueueTicket { id, latest_start }),
            Err(_) => Err(new_refusal(types::ProblemKind::Overloaded, wait)),
        }
    }

    /// Returns the next decision on a queued call; `None` if no call can start now.
    pub fn next(&mut self, now: time::Instant) -> Option<ScheduleDecision> {
        for state in self.endpoints.values_mut() {
            state.expire(now);
        }
        if self.queue.is_empty() || !self.has_free_slot(now) {
            return None;
        }
        let mut reservation = None;
        let selector = endpoint_selector::EndpointSelector::new(&self.endpoints, now);
        let dequeued = self.queue.dequeue(now, |call| {
            let selected = selector.select(call);
            if selected.is_none() && call.exclusive && reservation.is_none() {
                reservation = selector.soonest_idle(call).map(|index| (index, call.id));
            }
            selected
        });
        if let Some((index, ticket)) = reservation {
            self.reserve(index, ticket);
        }
        match dequeued? {
            call_queue::DequeuedCall::Ready(call, index) => Some(self.start(&call, index, now)),
            call_queue::DequeuedCall::Expired(call) => {
                self.cancel_reservation(&call);
                let refusal = new_refusal(types::ProblemKind::Overloaded, self.service_time.mean());
                Some(ScheduleDecision::Refuse { ticket: call.id, refusal })
            }
        }
    }

    /// Removes a queued call. Returns whether it was still queued, and thus will never be sent.
    pub fn cancel(&mut self, ticket: ids::TicketId) -> bool {
        let Some(call) = self.queue.remove(ticket) else { return false };
        self.cancel_reservation(&call);
        true
    }

    /// Refuses all queued calls if no endpoint takes calls any more.
    pub fn reject_unservable(&mut self) -> Vec<ScheduleDecision> {
        if self.endpoints.values().any(pool_endpoint::PoolEndpoint::takes_calls) {
            return Vec::new();
        }
        let refusal = new_refusal(types::ProblemKind::NotOwner, time::Duration::ZERO);
        let calls = self.queue.drain().into_iter();
        calls.map(|call| ScheduleDecision::Refuse { ticket: call.id, refusal }).collect()
    }

    /// Records the state that an endpoint reports in the response head of a running call.
    pub fn record_report(
        &mut self,
        ticket: ids::TicketId,
        report: endpoint_lifecycle::SelfReport,
        now: time::Instant,
    ) {
        if let Some(call) = self.running.get(&ticket)
            && let Some(state) = self.endpoints.get_mut(&call.endpoint)
        {
            state.record_report(report, call.sent_at, now);
        }
    }

    /// Ends a running call, and ejects its endpoint if the latency makes it an outlier.
    pub fn finish(
        &mut self,
        ticket: ids::TicketId,
        outcome: pool_endpoint::CallOutcome,
        now: time::Instant,
    ) {
        let Some(call) = self.running.swap_remove(&ticket) else { return };
        let Some(state) = self.endpoints.get_mut(&call.endpoint) else { return };
        state.finish(outcome, self.pool.calls_until_warm, call.sent_at, now);
        if let pool_endpoint::CallOutcome::Answered { latency, .. } = outcome {
            self.service_time.record(now.saturating_duration_since(call.sent_at));
            if let Some(latency) = latency {
                self.eject_if_outlier(&call.endpoint, latency, now);
            }
        }
    }

    fn capacity(&self) -> u32 {
        self.endpoints.values().map(pool_endpoint::PoolEndpoint::capacity).sum()
    }

    fn has_free_slot(&self, now: time::Instant) -> bool {
        self.endpoints.values().any(|state| state.has_free_slot(now))
    }

    /// Returns the latest start that meets the deadline at the high quantile of the service time.
    /// A call whose budget is too short for that may still meet its deadline at the low quantile,
    /// so it gets up to one high-quantile service time in the queue.
    fn latest_start(&self, call: &NewCall, now: time::Instant) -> time::Instant {
        let conservative =
            call.deadline.checked_sub(self.service_time.high_quantile()).unwrap_or(now);
        let optimistic = call.deadline.checked_sub(self.service_time.low_quantile()).unwrap_or(now);
        let latest = conservative.max(optimistic.min(now + self.service_time.high_quantile()));
        latest.min(now + self.pool.queue_timeout)
    }

    fn start(
        &mut self,
        call: &call_queue::QueuedCall,
        index: usize,
        now: time::Instant,
    ) -> ScheduleDecision {
        self.cancel_reservation(call);
        let ticket = call.id;
        let started = self.endpoints.get_index_mut(index).and_then(|(endpoint, state)| {
            state.start(ticket, call.exclusive, now).then(|| endpoint.clone())
        });
        let Some(endpoint) = started else {
            let refusal = new_refusal(types::ProblemKind::Unavailable, MIN_RETRY_AFTER);
            return ScheduleDecision::Refuse { ticket, refusal };
        };
        let running = RunningCall { endpoint: endpoint.clone(), sent_at: now };
        self.running.insert(ticket, running);
        ScheduleDecision::Start { ticket, endpoint }
    }

    fn reserve(&mut self, index: usize, ticket: ids::TicketId) {
        let already_reserved =
            self.endpoints.values().any(|state| state.reserved() == Some(ticket));
        if let Some((_, state)) = self.endpoints.get_index_mut(index)
            && !already_reserved
        {
            state.reserve(ticket);
        }
    }

    fn cancel_reservation(&mut self, call: &call_queue::QueuedCall) {
        if !call.exclusive {
            return;
        }
        for state in self.endpoints.values_mut() {
            state.cancel_reservation(call.id);
        }
    }

    /// Ejects the endpoint if it is an outlier and the limit on ejected endpoints permits it.
    fn eject_if_outlier(
        &mut self,
        endpoint: &ids::EndpointId,
        latency: time::Duration,
        now: time::Instant,
    ) {
        let Some(state) = self.endpoints.get(endpoint) else { return };
        let already_ejected = state.is_ejected();
        if !already_ejected && state.latency().mean() <= self.service_time.mean() {
            return;
        }
        let mut latencies = self.mean_latencies(endpoint);
        let slow = if already_ejected {
            outlier::median(&mut latencies)
                .is_some_and(|median| self.outlier_detector.is_slow(latency, median))
        } else {
            self.outlier_detector.is_outlier(state.latency(), &mut latencies)
                && self.can_eject_another()
        };
        if let Some(state) = self.endpoints.get_mut(endpoint)
            && slow
            && state.eject(now)
        {
            self.ejections += 1;
        }
    }

    fn can_eject_another(&self) -> bool {
        let serving = self.endpoints.values().filter(|state| state.takes_calls()).count();
        let ejected = self.endpoints.values().filter(|state| state.is_ejected()).count();
        self.outlier_detector.can_eject(serving, ejected)
    }

    fn mean_latencies(&self, except: &ids::EndpointId) -> Vec<time::Duration> {
        let others = self.endpoints.iter().filter(|(name, _)| *name != except);
        let measured = others.filter(|(_, state)| state.latency().samples() > 0);
        measured.map(|(_, state)| state.latency().mean()).collect()
    }
}

fn new_refusal(problem: types::ProblemKind, retry_after: time::Duration) -> CallRefusal {
    CallRefusal { problem, retry_after: retry_after.max(MIN_RETRY_AFTER) }
}
