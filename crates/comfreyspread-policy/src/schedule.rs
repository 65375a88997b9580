//! Scheduler of one pool at its owner: one queue over all endpoints that this node owns.
//!
//! The queue is shared, so no endpoint is idle while a call waits that it could take. A call is
//! taken in, started at an endpoint and finished; each step says what changed and the node carries
//! it out. A call that waits is either started, handed back as late, or withdrawn: exactly one.

use crate::{choice, endpoint_lifecycle, latency, outlier, queue, replica};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const QUEUE_BYTES_LIMIT: usize = 64 * 1024 * 1024;
const RETRY_LEAST: time::Duration = time::Duration::from_millis(100);

/// A call as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct OfferedCall {
    /// Workspace that it counts against.
    pub workspace: ids::WorkspaceId,
    /// Share of the workspace among those of one priority.
    pub weight: u32,
    /// Priority.
    pub priority: types::PriorityLevel,
    /// Moment after which no answer is wanted.
    pub deadline: time::Instant,
    /// Preferred endpoint.
    pub endpoint: Option<ids::EndpointId>,
    /// Endpoints that failed the call before.
    pub avoid: Vec<ids::EndpointId>,
    /// Whether the call must run with no other call beside it.
    pub alone: bool,
    /// Hash of the prompt prefix; zero if there is none.
    pub prefix: ids::PrefixHash,
    /// Memory the call takes while it waits.
    pub bytes: usize,
}

/// Place of a call in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueTicket {
    /// Number of the call.
    pub ticket: ids::TicketId,
    /// Last moment at which the call is started.
    pub latest_start: time::Instant,
}

/// Why a call is not taken in, or no longer waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// Kind of problem.
    pub problem: types::ProblemKind,
    /// When a retry may pass.
    pub retry_after: time::Duration,
}

/// What to do with a call that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleStep {
    /// Send it to the endpoint.
    Start {
        /// Number of the call.
        ticket: ids::TicketId,
        /// Endpoint that holds a place for it.
        endpoint: ids::EndpointId,
    },
    /// Refuse it.
    Refuse {
        /// Number of the call.
        ticket: ids::TicketId,
        /// Why.
        refusal: CallRefusal,
    },
}

/// A call in flight.
#[derive(Debug)]
struct RunningCall {
    endpoint: ids::EndpointId,
    sent: time::Instant,
}

/// Queue, limits and endpoints of one pool.
#[derive(Debug)]
pub struct PoolScheduler {
    pool: types::PoolDeclaration,
    queue: queue::CallQueue,
    replicas: choice::ReplicaTable,
    running: IndexMap<ids::TicketId, RunningCall>,
    service: latency::LatencyEstimate,
    detector: outlier::OutlierDetector,
    last_ticket: ids::TicketId,
    ejections: u64,
}

impl PoolScheduler {
    /// Creates the scheduler of a pool without endpoints.
    pub fn new(pool: types::PoolDeclaration) -> Self {
        Self {
            pool,
            queue: queue::CallQueue::new(QUEUE_BYTES_LIMIT),
            replicas: choice::ReplicaTable::new(),
            running: IndexMap::new(),
            service: latency::LatencyEstimate::new(),
            detector: outlier::OutlierDetector::new(),
            last_ticket: 0,
            ejections: 0,
        }
    }

    /// Sets the detector of slow endpoints.
    pub fn with_detector(self, detector: outlier::OutlierDetector) -> Self {
        Self { detector, ..self }
    }

    /// Returns the state of an endpoint.
    pub fn replica(&self, endpoint: &ids::EndpointId) -> Option<&replica::PoolReplica> {
        self.replicas.get(endpoint)
    }

    /// Returns all endpoints with their states.
    pub fn replicas(&self) -> impl Iterator<Item = (&ids::EndpointId, &replica::PoolReplica)> {
        self.replicas.iter()
    }

    /// Returns the number of calls waiting.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns how often an endpoint was ejected as an outlier.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns the load of the pool as other nodes see it.
    pub fn hint(&self) -> types::PoolHint {
        let running = self.replicas.values().map(replica::PoolReplica::running).sum();
        types::PoolHint {
            limit: self.capacity(),
            pool: self.pool.name.clone(),
            high_wait: self.wait_behind(self.queue.len_of(types::PriorityLevel::High)),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            running,
            wait: self.wait_behind(self.queue.len()),
        }
    }

    /// Returns the wait behind so many queued calls; none behind an empty queue.
    fn wait_behind(&self, queued: usize) -> time::Duration {
        let queued = u32::try_from(queued).unwrap_or(u32::MAX);
        self.service.typical().saturating_mul(queued) / self.capacity().max(1)
    }

    /// Returns the wait that a new call has to expect.
    pub fn estimate_wait(&self, call: &OfferedCall, now: time::Instant) -> time::Duration {
        if self.queue.is_empty() && self.has_room(now) {
            return time::Duration::ZERO;
        }
        let ahead = self.queue.calls_ahead(&call.workspace, call.weight, call.priority);
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let typical = self.service.typical();
        typical.saturating_mul(turns) / self.capacity().max(1)
    }

    /// Returns the next moment at which waiting calls may start although nothing finished.
    pub fn wakes(&self, now: time::Instant) -> Option<time::Instant> {
        if self.queue.is_empty() {
            return None;
        }
        self.replicas.values().filter_map(|replica| replica.wakes(now)).min()
    }

    /// Follows a change of the pool's declaration.
    pub fn adjust(&mut self, pool: &types::PoolDeclaration) {
        if *pool == self.pool {
            return;
        }
        self.pool = pool.clone();
        for replica in self.replicas.values_mut() {
            replica.adjust(pool);
        }
    }

    /// Lets an endpoint take calls, or none; it need not be known yet.
    pub fn set_available(&mut self, endpoint: &ids::EndpointId, available: bool) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.set_available(available);
        } else if available {
            self.replicas.insert(endpoint.clone(), replica::PoolReplica::new(&self.pool));
        }
    }

    /// Lets only the endpoints that `keep` accepts take calls, and forgets others that are idle.
    pub fn retain(&mut self, keep: impl Fn(&ids::EndpointId) -> bool) {
        self.replicas.retain(|endpoint, replica| {
            if keep(endpoint) {
                return true;
            }
            replica.set_available(false);
            replica.phase() != types::EndpointPhase::Gone
        });
    }

    /// Counts the calls of a former owner at an endpoint until the moment `until`.
    pub fn inherit(&mut self, endpoint: &ids::EndpointId, calls: u32, until: time::Instant) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.inherit(calls, until);
        }
    }

    /// Takes a call into the queue.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint takes calls, if the wait to expect is longer than the queue or the
    /// deadline allows, or if the memory of the queue is full. The call has not run then.
    pub fn offer(
        &mut self,
        call: OfferedCall,
        now: time::Instant,
    ) -> Result<QueueTicket, CallRefusal> {
        if !self.replicas.values().any(replica::PoolReplica::takes_calls) {
            return Err(refuse(types::ProblemKind::Unavailable, time::Duration::ZERO));
        }
        let wait = self.estimate_wait(&call, now);
        let latest_start = self.latest_start(&call, now);
        if now + wait > latest_start {
            let hopeless = latest_start < now;
            let problem = if hopeless {
                types::ProblemKind::Deadline
            } else {
                types::ProblemKind::Overloaded
            };
            return Err(refuse(problem, wait));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let pushed = self.queue.push(queue::QueuedCall {
            ticket,
            workspace: call.workspace,
            weight: call.weight,
            priority: call.priority,
            latest_start,
            endpoint: call.endpoint,
            avoid: call.avoid,
            alone: call.alone,
            prefix: call.prefix,
            bytes: call.bytes,
        });
        match pushed {
            Ok(()) => Ok(QueueTicket { ticket, latest_start }),
            Err(_) => Err(refuse(types::ProblemKind::Overloaded, wait)),
        }
    }

    /// Returns the next step for a call that waits; none if no call can start now.
    pub fn next(&mut self, now: time::Instant) -> Option<ScheduleStep> {
        for replica in self.replicas.values_mut() {
            replica.release(now);
        }
        if self.queue.is_empty() || !self.has_room(now) {
            return None;
        }
        let mut exclusive = None;
        let choice = choice::EndpointChoice::new(&self.replicas, now);
        let taken = self.queue.take(now, |call| {
            let chosen = choice.choose(call);
            if chosen.is_none() && call.alone && exclusive.is_none() {
                exclusive = choice.soonest_idle(call).map(|index| (index, call.ticket));
            }
            chosen
        });
        if let Some((index, ticket)) = exclusive {
            self.reserve(index, ticket);
        }
        match taken? {
            queue::TakenCall::Ready(call, index) => Some(self.start(&call, index, now)),
            queue::TakenCall::Late(call) => {
                self.unreserve(&call);
                let refusal = refuse(types::ProblemKind::Overloaded, self.service.typical());
                Some(ScheduleStep::Refuse { ticket: call.ticket, refusal })
            }
        }
    }

    /// Takes a waiting call out; returns whether it was still waiting and so will never be sent.
    pub fn withdraw(&mut self, ticket: ids::TicketId) -> bool {
        let Some(call) = self.queue.withdraw(ticket) else { return false };
        self.unreserve(&call);
        true
    }

    /// Hands back all waiting calls if no endpoint takes calls any more.
    pub fn flush(&mut self) -> Vec<ScheduleStep> {
        if self.replicas.values().any(replica::PoolReplica::takes_calls) {
            return Vec::new();
        }
        let refusal = refuse(types::ProblemKind::NotOwner, time::Duration::ZERO);
        let calls = self.queue.drain().into_iter();
        calls.map(|call| ScheduleStep::Refuse { ticket: call.ticket, refusal }).collect()
    }

    /// Notes what an endpoint says of itself in the head of its answer to a started call.
    pub fn note_signs(
        &mut self,
        ticket: ids::TicketId,
        signs: endpoint_lifecycle::SelfReport,
        now: time::Instant,
    ) {
        if let Some(call) = self.running.get(&ticket)
            && let Some(replica) = self.replicas.get_mut(&call.endpoint)
        {
            replica.note_signs(signs, call.sent, now);
        }
    }

    /// Counts a started call as ended.
    pub fn finish(
        &mut self,
        ticket: ids::TicketId,
        outcome: replica::CallOutcome,
        now: time::Instant,
    ) {
        let Some(call) = self.running.swap_remove(&ticket) else { return };
        let Some(replica) = self.replicas.get_mut(&call.endpoint) else { return };
        replica.finish(outcome, self.pool.warm_after, call.sent, now);
        if let replica::CallOutcome::Answered { latency, .. } = outcome {
            self.service.record(now.saturating_duration_since(call.sent));
            if let Some(latency) = latency {
                self.judge(&call.endpoint, latency, now);
            }
        }
    }

    fn capacity(&self) -> u32 {
        self.replicas.values().map(replica::PoolReplica::capacity).sum()
    }

    fn has_room(&self, now: time::Instant) -> bool {
        self.replicas.values().any(|replica| replica.has_room(now))
    }

    /// Returns the last moment at which a start still makes the deadline in all likelihood; a call
    /// whose whole budget is shorter than that may still be lucky if it starts soon.
    fn latest_start(&self, call: &OfferedCall, now: time::Instant) -> time::Instant {
        let likely = call.deadline.checked_sub(self.service.high()).unwrap_or(now);
        let possible = call.deadline.checked_sub(self.service.low()).unwrap_or(now);
        let useful = likely.max(possible.min(now + self.service.high()));
        useful.min(now + self.pool.queue)
    }

    fn start(
        &mut self,
        call: &queue::QueuedCall,
        index: usize,
        now: time::Instant,
    ) -> ScheduleStep {
        self.unreserve(call);
        let ticket = call.ticket;
        let started = self.replicas.get_index_mut(index).and_then(|(endpoint, replica)| {
            replica.start(ticket, call.alone, now).then(|| endpoint.clone())
        });
        let Some(endpoint) = started else {
            let refusal = refuse(types::ProblemKind::Unavailable, RETRY_LEAST);
            return ScheduleStep::Refuse { ticket, refusal };
        };
        let running = RunningCall { endpoint: endpoint.clone(), sent: now };
        self.running.insert(ticket, running);
        ScheduleStep::Start { ticket, endpoint }
    }

    fn reserve(&mut self, index: usize, ticket: ids::TicketId) {
        let held = self.replicas.values().any(|replica| replica.reserved() == Some(ticket));
        if let Some((_, replica)) = self.replicas.get_index_mut(index)
            && !held
        {
            replica.reserve(ticket);
        }
    }

    fn unreserve(&mut self, call: &queue::QueuedCall) {
        if !call.alone {
            return;
        }
        for replica in self.replicas.values_mut() {
            replica.unreserve(call.ticket);
        }
    }

    /// Ejects the endpoint if it is an outlier and the pool can spare it.
    fn judge(&mut self, endpoint: &ids::EndpointId, latency: time::Duration, now: time::Instant) {
        let Some(replica) = self.replicas.get(endpoint) else { return };
        let probing = replica.ejected();
        if !probing && replica.latency().typical() <= self.service.typical() {
            return;
        }
        let mut typical = self.typical_latencies(endpoint);
        let slow = if probing {
            outlier::median(&mut typical)
                .is_some_and(|median| self.detector.is_slow(latency, median))
        } else {
            self.detector.is_outlier(replica.latency(), &mut typical) && self.can_spare_one()
        };
        if let Some(replica) = self.replicas.get_mut(endpoint)
            && slow
            && replica.eject(now)
        {
            self.ejections += 1;
        }
    }

    fn can_spare_one(&self) -> bool {
        let serving = self.replicas.values().filter(|replica| replica.takes_calls()).count();
        let ejected = self.replicas.values().filter(|replica| replica.ejected()).count();
        self.detector.may_eject(serving, ejected)
    }

    fn typical_latencies(&self, except: &ids::EndpointId) -> Vec<time::Duration> {
        let others = self.replicas.iter().filter(|(name, _)| *name != except);
        let judged = others.filter(|(_, replica)| replica.latency().samples() > 0);
        judged.map(|(_, replica)| replica.latency().typical()).collect()
    }
}

fn refuse(problem: types::ProblemKind, retry_after: time::Duration) -> CallRefusal {
    CallRefusal { problem, retry_after: retry_after.max(RETRY_LEAST) }
}
