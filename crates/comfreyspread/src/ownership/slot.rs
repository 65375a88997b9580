//! A call's place: in the queue of its pool, then at an endpoint.
//!
//! Dropping a call that waits takes it out of the queue, so it is never sent. Dropping one that was
//! sent counts it as given up on; its connection closes, so that the endpoint can cancel it.

use crate::{
    ownership::{pool_changes, pools},
    runtime::context,
    transport::{deadline as deadlines, failure},
};
use comfreyspread_policy::{endpoint_lifecycle, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use std::{sync, time};

/// A place at an endpoint, held for one call.
#[derive(Debug)]
pub struct CallSlot {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    ticket: ids::TicketId,
    endpoint: ids::EndpointId,
    outcome: pool_endpoint::CallOutcome,
}

impl CallSlot {
    /// Waits for a place at an endpoint of the call's pool.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if the queue refuses the call or its time runs out.
    pub async fn acquire(
        context: &sync::Arc<context::NodeContext>,
        call: &types::StageCall,
        deadline: time::Instant,
    ) -> Result<Self, failure::CallFailure> {
        let waiting = WaitingCall::new(context, call, deadline)?;
        waiting.wait().await
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> &ids::EndpointId {
        &self.endpoint
    }

    /// Notes that the call is about to be sent: from now on, dropping the slot counts it as given
    /// up on.
    pub fn note_sent(&mut self) {
        self.outcome = pool_endpoint::CallOutcome::Abandoned;
    }

    /// Notes what the endpoint says of itself in the head of its answer.
    pub fn note_signs(&self, signs: endpoint_lifecycle::SelfReport) {
        let now = time::Instant::now();
        update(&self.context, &self.pool, |entry| entry.note_signs(self.ticket, signs, now));
    }

    /// Gives the place back unused, at an endpoint that may take no more work.
    pub fn close(self) {
        let now = time::Instant::now();
        update(&self.context, &self.pool, |entry| entry.close(&self.endpoint, now));
        self.context.tables.pools.lock().set_owned(None);
    }

    /// Gives the place back.
    pub fn finish(mut self, outcome: pool_endpoint::CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let now = time::Instant::now();
        let outcome = self.outcome;
        update(&self.context, &self.pool, |entry| entry.finish(self.ticket, outcome, now));
    }
}

/// A call in the queue; it is withdrawn when dropped.
struct WaitingCall {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    since: time::Instant,
    queued: pools::QueuedWait,
    settled: bool,
}

impl WaitingCall {
    fn new(
        context: &sync::Arc<context::NodeContext>,
        call: &types::StageCall,
        deadline: time::Instant,
    ) -> Result<Self, failure::CallFailure> {
        let now = time::Instant::now();
        let offered = offered(context, call, deadline);
        let offer = |entry: &mut pools::PoolEntry| {
            let queued = entry.enqueue(offered, now);
            entry.advance(now);
            queued
        };
        if !context.tables.pools.lock().contains(&call.pool) {
            pool_changes::apply(context);
        }
        let queued = update(context, &call.pool, offer);
        let unknown = || refusal(context, types::ProblemKind::Unavailable, time::Duration::ZERO);
        let queued = queued.ok_or_else(unknown)?.map_err(|refused| {
            let problem = pool_changes::refusal_kind(context, &call.pool, refused.problem);
            refusal(context, problem, refused.retry_after)
        })?;
        let context = context.clone();
        Ok(Self { context, pool: call.pool.clone(), since: now, queued, settled: false })
    }

    async fn wait(mut self) -> Result<CallSlot, failure::CallFailure> {
        let late = async {
            deadlines::DeadlineTimer::new(self.queued.ticket.latest_start).await;
            None
        };
        let outcome = async { self.queued.outcome.recv().await.ok() };
        let outcome = match outcome.or(late).await {
            Some(outcome) => outcome,
            None => self.withdraw(),
        };
        self.settled = true;
        self.context.metrics.pools.observe_wait(&self.pool, self.since.elapsed());
        match outcome {
            pools::WaitOutcome::Started(endpoint) => Ok(self.slot(endpoint)),
            pools::WaitOutcome::Refused(refused) => {
                Err(refusal(&self.context, refused.problem, refused.retry_after))
            }
        }
    }

    /// Takes the call out of the queue, unless it was started or refused at the same moment.
    fn withdraw(&self) -> pools::WaitOutcome {
        let ticket = self.queued.ticket.id;
        update(&self.context, &self.pool, |entry| entry.withdraw(ticket));
        let late = pool_scheduler::CallRefusal {
            problem: types::ProblemKind::Overloaded,
            retry_after: self.since.elapsed(),
        };
        self.queued.outcome.try_recv().unwrap_or(pools::WaitOutcome::Refused(late))
    }

    fn slot(&self, endpoint: ids::EndpointId) -> CallSlot {
        CallSlot {
            context: self.context.clone(),
            pool: self.pool.clone(),
            ticket: self.queued.ticket.id,
            endpoint,
            outcome: pool_endpoint::CallOutcome::Unsent,
        }
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let ticket = self.queued.ticket.id;
        let now = time::Instant::now();
        update(&self.context, &self.pool, |entry| {
            if !entry.withdraw(ticket) {
                entry.finish(ticket, pool_endpoint::CallOutcome::Unsent, now);
            }
        });
    }
}

/// Changes the entry of a pool, and sets a timer for the moment at which more calls may start.
fn update<Change, Output>(
    context: &sync::Arc<context::NodeContext>,
    pool: &ids::PoolId,
    change: Change,
) -> Option<Output>
where
    Change: FnOnce(&mut pools::PoolEntry) -> Output,
{
    let mut pools = context.tables.pools.lock();
    let entry = pools.get_mut(pool)?;
    let output = change(entry);
    let wakes = entry.arm(time::Instant::now());
    drop(pools);
    if let Some(wakes) = wakes {
        context.spawner.detach(advance_at(context.clone(), pool.clone(), wakes));
    }
    Some(output)
}

async fn advance_at(
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    moment: time::Instant,
) {
    deadlines::DeadlineTimer::new(moment).await;
    update(&context, &pool, |entry| entry.advance(time::Instant::now()));
}

fn offered(
    context: &context::NodeContext,
    call: &types::StageCall,
    deadline: time::Instant,
) -> pool_scheduler::NewCall {
    let catalog = context.tables.catalog();
    let weight = catalog.workspace(&call.workspace).map_or(1, |workspace| workspace.weight);
    pool_scheduler::NewCall {
        workspace: call.workspace.clone(),
        weight,
        priority: call.priority,
        deadline,
        endpoint: call.preferred_endpoint.clone(),
        excluded_endpoints: call.excluded_endpoints.clone(),
        exclusive: call.exclusive,
        prefix: call.prefix_hash,
        bytes: size_of::<types::StageCall>() + call.body.len(),
    }
}

fn refusal(
    context: &context::NodeContext,
    problem: types::ProblemKind,
    retry_after: time::Duration,
) -> failure::CallFailure {
    context.metrics.pools.count_refusal(problem);
    let detail = match problem {
        types::ProblemKind::NotOwner => "this node owns no endpoint of the pool",
        types::ProblemKind::Unavailable => "no endpoint of the pool takes calls",
        types::ProblemKind::Deadline => "the deadline passes before the call could end",
        _ => "the wait in the queue would be too long",
    };
    failure::CallFailure::new(problem, detail).with_retry_after(retry_after)
}
