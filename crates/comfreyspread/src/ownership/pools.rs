//! Schedulers of all pools with the calls that wait for them.
//!
//! What a scheduler decides for a waiting call is handed to the task that waits.

use comfreyspread_policy::{endpoint_lifecycle, ownership, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// What became of a call that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitOutcome {
    /// A place at the endpoint is held for it.
    Started(ids::EndpointId),
    /// It is refused.
    Refused(pool_scheduler::CallRefusal),
}

/// A call in the queue, as the task that waits for it sees it.
#[derive(Debug)]
pub struct QueuedWait {
    /// Place in the queue.
    pub ticket: pool_scheduler::QueueTicket,
    /// Receives what became of the call.
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
    wakes: Option<time::Instant>,
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

    /// Whether the schedulers are in step with the ownership of exactly these endpoints.
    pub fn follows(&self, owned: &[ids::EndpointId]) -> bool {
        self.owned.as_deref() == Some(owned)
    }

    /// Notes which endpoints the schedulers are in step with; none if an endpoint was closed since.
    pub fn set_owned(&mut self, owned: Option<Vec<ids::EndpointId>>) {
        self.owned = owned;
    }

    /// Returns the entry of a pool.
    pub fn get(&self, pool: &ids::PoolId) -> Option<&PoolEntry> {
        self.pools.get(pool)
    }

    /// Returns the entry of a pool for changes.
    pub fn get_mut(&mut self, pool: &ids::PoolId) -> Option<&mut PoolEntry> {
        self.pools.get_mut(pool)
    }

    /// Returns the entries of all pools.
    pub fn entries(&self) -> impl Iterator<Item = (&ids::PoolId, &PoolEntry)> {
        self.pools.iter()
    }

    /// Returns the load of one pool; nothing at all if it has no scheduler here.
    pub fn hint(&self, pool: &ids::PoolId) -> types::PoolHint {
        let none = || types::PoolHint {
            high_priority_wait: time::Duration::ZERO,
            limit: 0,
            pool: pool.clone(),
            queued: 0,
            running: 0,
            wait: time::Duration::ZERO,
        };
        self.pools.get(pool).map_or_else(none, |entry| entry.scheduler.hint())
    }

    /// Returns the load of each pool.
    pub fn hints(&self) -> Vec<types::PoolHint> {
        self.pools.values().map(|entry| entry.scheduler.hint()).collect()
    }

    /// Follows the declaration of a pool, which of its endpoints take calls, and the calls of
    /// former owners, which count before any new call is started.
    pub fn follow(
        &mut self,
        pool: &types::PoolDeclaration,
        available: &IndexSet<ids::EndpointId>,
        inherited: &[ownership::InheritedLoad],
        now: time::Instant,
    ) {
        let entry = self.pools.entry(pool.name.clone()).or_insert_with(|| PoolEntry {
            scheduler: pool_scheduler::PoolScheduler::new(pool.clone()),
            waiting: IndexMap::new(),
            wakes: None,
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

    /// Lets a call wait; call [`PoolEntry::advance`] next.
    ///
    /// # Errors
    ///
    /// Fails like [`pool_scheduler::PoolScheduler::enqueue`].
    pub fn enqueue(
        &mut self,
        call: pool_scheduler::NewCall,
        now: time::Instant,
    ) -> Result<QueuedWait, pool_scheduler::CallRefusal> {
        let ticket = self.scheduler.enqueue(call, now)?;
        let (sender, outcome) = async_channel::bounded(1);
        self.waiting.insert(ticket.id, sender);
        Ok(QueuedWait { ticket, outcome })
    }

    /// Takes a call out of the queue; returns whether it still waited and will never be sent.
    pub fn withdraw(&mut self, ticket: ids::TicketId) -> bool {
        self.waiting.swap_remove(&ticket);
        self.scheduler.cancel(ticket)
    }

    /// Notes what an endpoint says of itself in the head of its answer to a started call.
    pub fn note_signs(
        &mut self,
        ticket: ids::TicketId,
        signs: endpoint_lifecycle::SelfReport,
        now: time::Instant,
    ) {
        self.scheduler.record_report(ticket, signs, now);
    }

    /// Counts a started call as ended and starts others in its place.
    pub fn finish(
        &mut self,
        ticket: ids::TicketId,
        outcome: pool_endpoint::CallOutcome,
        now: time::Instant,
    ) {
        self.scheduler.finish(ticket, outcome, now);
        self.advance(now);
    }

    /// Lets an endpoint take no new calls.
    pub fn close(&mut self, endpoint: &ids::EndpointId, now: time::Instant) {
        self.scheduler.set_available(endpoint, false);
        self.advance(now);
    }

    /// Starts all calls that can start and hands back those that cannot any more.
    pub fn advance(&mut self, now: time::Instant) {
        for step in self.scheduler.reject_unservable() {
            self.carry_out(step);
        }
        while let Some(step) = self.scheduler.next(now) {
            self.carry_out(step);
        }
    }

    /// Returns the moment for which a timer has to be set, if there is none for it yet.
    pub fn arm(&mut self, now: time::Instant) -> Option<time::Instant> {
        let wakes = self.scheduler.next_wakeup(now)?;
        if self.wakes.is_some_and(|armed| armed > now && armed <= wakes) {
            return None;
        }
        self.wakes = Some(wakes);
        Some(wakes)
    }

    fn carry_out(&mut self, step: pool_scheduler::ScheduleDecision) {
        let (ticket, outcome) = match step {
            pool_scheduler::ScheduleDecision::Start { ticket, endpoint } => {
                (ticket, WaitOutcome::Started(endpoint))
            }
            pool_scheduler::ScheduleDecision::Refuse { ticket, refusal } => {
                (ticket, WaitOutcome::Refused(refusal))
            }
        };
        if let Some(waiting) = self.waiting.swap_remove(&ticket) {
            waiting.try_send(outcome).ok();
        }
    }
}
