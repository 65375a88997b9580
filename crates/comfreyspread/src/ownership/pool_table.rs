//! Schedulers of all pools and the calls queued in them.
//!
//! The decision of a scheduler on a queued call is sent to the task that waits for it.

use comfreyspread_policy::{endpoint_lifecycle, ownership, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Outcome of a call's wait in the queue.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitOutcome {
    /// The call has a slot at the endpoint.
    Started(ids::EndpointId),
    /// The call is refused.
    Refused(pool_scheduler::CallRefusal),
}

/// A queued call, for the task that waits for it.
#[derive(Debug)]
pub struct QueuedCall {
    /// Ticket in the queue.
    pub ticket: pool_scheduler::QueueTicket,
    /// Receives the outcome of the wait.
    pub outcome: async_channel::Receiver<WaitOutcome>,
}

/// Schedulers of all pools.
#[derive(Debug, Default)]
pub struct PoolTable {
    pools: IndexMap<ids::PoolId, PoolEntry>,
    owned: Option<Vec<ids::EndpointId>>,
}

/// Scheduler of one pool and the tasks that wait for it.
#[derive(Debug)]
pub struct PoolEntry {
    scheduler: pool_scheduler::PoolScheduler,
    waiting: IndexMap<ids::TicketId, async_channel::Sender<WaitOutcome>>,
    armed_wakeup: Option<time::Instant>,
}

impl PoolTable {
    /// Creates a table without pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a pool has a scheduler.
    pub fn contains(&self, pool: &ids::PoolId) -> bool {
        self.pools.contains_key(pool)
    }

    /// Whether the schedulers are synchronized with the ownership of exactly these endpoints.
    pub fn is_synced_with(&self, owned: &[ids::EndpointId]) -> bool {
        self.owned.as_deref() == Some(owned)
    }

    /// Sets the owned endpoints that the schedulers are synchronized with; `None` after an endpoint
    /// was closed.
    pub fn set_owned(&mut self, owned: Option<Vec<ids::EndpointId>>) {
        self.owned = owned;
    }

    /// Returns the entry of a pool.
    pub fn get(&self, pool: &ids::PoolId) -> Option<&PoolEntry> {
        self.pools.get(pool)
    }

    /// Returns the mutable entry of a pool.
    pub fn get_mut(&mut self, pool: &ids::PoolId) -> Option<&mut PoolEntry> {
        self.pools.get_mut(pool)
    }

    /// Returns the entries of all pools.
    pub fn entries(&self) -> impl Iterator<Item = (&ids::PoolId, &PoolEntry)> {
        self.pools.iter()
    }

    /// Returns the load of one pool; all zero if it has no scheduler at this node.
    pub fn hint(&self, pool: &ids::PoolId) -> types::PoolHint {
        let empty = || types::PoolHint {
            high_priority_wait: time::Duration::ZERO,
            limit: 0,
            pool: pool.clone(),
            queued: 0,
            running: 0,
            wait: time::Duration::ZERO,
        };
        self.pools.get(pool).map_or_else(empty, |entry| entry.scheduler.hint())
    }

    /// Returns the load of each pool.
    pub fn hints(&self) -> Vec<types::PoolHint> {
        self.pools.values().map(|entry| entry.scheduler.hint()).collect()
    }

    /// Updates a pool's declaration, its available endpoints and the calls of their former owners,
    /// and then starts calls.
    ///
    /// The calls of former owners count towards the limits before any new call is started.
    pub fn update_pool(
        &mut self,
        pool: &types::PoolDeclaration,
        available: &IndexSet<ids::EndpointId>,
        inherited: &[ownership::InheritedLoad],
        now: time::Instant,
    ) {
        let entry = self.pools.entry(pool.name.clone()).or_insert_with(|| PoolEntry {
            scheduler: pool_scheduler::PoolScheduler::new(pool.clone()),
            waiting: IndexMap::new(),
            armed_wakeup: None,
        });
        entry.scheduler.update_pool(pool);
        entry.scheduler.retain(|endpoint| available.contains(endpoint));
        for endpoint in available {
            entry.scheduler.set_available(endpoint, true);
        }
        for load in inherited {
            entry.scheduler.set_inherited_calls(&load.endpoint, load.running, load.expires_at);
        }
        entry.advance(now);
    }
}

impl PoolEntry {
    /// Returns the scheduler.
    pub fn scheduler(&self) -> &pool_scheduler::PoolScheduler {
        &self.scheduler
    }

    /// Adds a call to the queue; call [`PoolEntry::advance`] next.
    ///
    /// # Errors
    ///
    /// Fails like [`pool_scheduler::PoolScheduler::enqueue`].
    pub fn enqueue(
        &mut self,
        call: pool_scheduler::NewCall,
        now: time::Instant,
    ) -> Result<QueuedCall, pool_scheduler::CallRefusal> {
        let ticket = self.scheduler.enqueue(call, now)?;
        let (sender, outcome) = async_channel::bounded(1);
        self.waiting.insert(ticket.id, sender);
        Ok(QueuedCall { ticket, outcome })
    }

    /// Removes a call from the queue; returns whether it was still queued and will never be sent.
    pub fn withdraw(&mut self, ticket: ids::TicketId) -> bool {
        self.waiting.swap_remove(&ticket);
        self.scheduler.cancel(ticket)
    }

    /// Records the report of an endpoint in the response head of a started call.
    pub fn record_report(
        &mut self,
        ticket: ids::TicketId,
        report: endpoint_lifecycle::SelfReport,
        now: time::Instant,
    ) {
        self.scheduler.record_report(ticket, report, now);
    }

    /// Ends a started call and starts others in its slot.
    pub fn finish(
        &mut self,
        ticket: ids::TicketId,
        outcome: pool_endpoint::CallOutcome,
        now: time::Instant,
    ) {
        self.scheduler.finish(ticket, outcome, now);
        self.advance(now);
    }

    /// Marks an endpoint as unavailable for new calls.
    pub fn close(&mut self, endpoint: &ids::EndpointId, now: time::Instant) {
        self.scheduler.set_available(endpoint, false);
        self.advance(now);
    }

    /// Starts all calls that can start and refuses those that no longer can.
    pub fn advance(&mut self, now: time::Instant) {
        for decision in self.scheduler.reject_unservable() {
            self.deliver(decision);
        }
        while let Some(decision) = self.scheduler.next(now) {
            self.deliver(decision);
        }
    }

    /// Returns the time to set a timer for; `None` if a timer that fires early enough is set.
    pub fn arm_wakeup(&mut self, now: time::Instant) -> Option<time::Instant> {
        let wakeup = self.scheduler.next_wakeup(now)?;
        if self.armed_wakeup.is_some_and(|armed| armed > now && armed <= wakeup) {
            return None;
        }
        self.armed_wakeup = Some(wakeup);
        Some(wakeup)
    }

    fn deliver(&mut self, decision: pool_scheduler::ScheduleDecision) {
        let (ticket, outcome) = match decision {
            pool_scheduler::ScheduleDecision::Start { ticket, endpoint } => {
                (ticket, WaitOutcome::Started(endpoint))
            }
            pool_scheduler::ScheduleDecision::Refuse { ticket, refusal } => {
                (ticket, WaitOutcome::Refused(refusal))
            }
        };
        if let Some(sender) = self.waiting.swap_remove(&ticket) {
            sender.try_send(outcome).ok();
        }
    }
}
