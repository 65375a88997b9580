//! The wait of a call in the queue of its pool, and its slot at an endpoint.
//!
//! Dropping a queued call removes it from the queue, so it is never sent. Dropping the slot of a
//! call that was sent records it as abandoned; its connection closes, so that the endpoint can
//! cancel it.

use crate::{
    ownership::{pool_table, scheduler_sync},
    runtime::context,
    transport::{deadline as deadlines, failure},
};
use comfreyspread_policy::{endpoint_lifecycle, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use std::{sync, time};

/// A slot at an endpoint for one call.
#[derive(Debug)]
pub struct CallSlot {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    ticket: ids::TicketId,
    endpoint: ids::EndpointId,
    outcome: pool_endpoint::CallOutcome,
}

impl CallSlot {
    /// Waits for a slot at an endpoint of the call's pool.
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

    /// Marks the call as sent: from now on, dropping the slot records it as abandoned.
    pub fn mark_sent(&mut self) {
        self.outcome = pool_endpoint::CallOutcome::Abandoned;
    }

    /// Records the report of the endpoint in its response head.
    pub fn record_report(&self, report: endpoint_lifecycle::SelfReport) {
        let now = time::Instant::now();
        update_entry(&self.context, &self.pool, |entry| {
            entry.record_report(self.ticket, report, now)
        });
    }

    /// Releases the slot unused and marks its endpoint as unavailable.
    pub fn close_endpoint(self) {
        let now = time::Instant::now();
        update_entry(&self.context, &self.pool, |entry| entry.close(&self.endpoint, now));
        self.context.tables.pools.lock().set_owned(None);
    }

    /// Releases the slot with the outcome of the call.
    pub fn finish(mut self, outcome: pool_endpoint::CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let now = time::Instant::now();
        let outcome = self.outcome;
        update_entry(&self.context, &self.pool, |entry| entry.finish(self.ticket, outcome, now));
    }
}

/// A queued call; it is withdrawn when dropped.
struct WaitingCall {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    queued_at: time::Instant,
    queued: pool_table::QueuedCall,
    resolved: bool,
}

impl WaitingCall {
    fn new(
        context: &sync::Arc<context::NodeContext>,
        call: &types::StageCall,
        deadline: time::Instant,
    ) -> Result<Self, failure::CallFailure> {
        let now = time::Instant::now();
        let new_call = new_call(context, call, deadline);
        let enqueue = |entry: &mut pool_table::PoolEntry| {
            let queued = entry.enqueue(new_call, now);
            entry.advance(now);
            queued
        };
        if !context.tables.pools.lock().contains(&call.pool) {
            scheduler_sync::sync(context);
        }
        let queued = update_entry(context, &call.pool, enqueue);
        let unavailable =
            || refusal_failure(context, types::ProblemKind::Unavailable, time::Duration::ZERO);
        let queued = queued.ok_or_else(unavailable)?.map_err(|refused| {
            let problem = scheduler_sync::refusal_kind(context, &call.pool, refused.problem);
            refusal_failure(context, problem, refused.retry_after)
        })?;
        let context = context.clone();
        Ok(Self { context, pool: call.pool.clone(), queued_at: now, queued, resolved: false })
    }

    async fn wait(mut self) -> Result<CallSlot, failure::CallFailure> {
        let expired = async {
            deadlines::DeadlineTimer::new(self.queued.ticket.latest_start).await;
            None
        };
        let outcome = async { self.queued.outcome.recv().await.ok() };
        let outcome = match outcome.or(expired).await {
            Some(outcome) => outcome,
            None => self.withdraw(),
        };
        self.resolved = true;
        self.context.metrics.pools.observe_wait(&self.pool, self.queued_at.elapsed());
        match outcome {
            pool_table::WaitOutcome::Started(endpoint) => Ok(self.slot(endpoint)),
            pool_table::WaitOutcome::Refused(refused) => {
                Err(refusal_failure(&self.context, refused.problem, refused.retry_after))
            }
        }
    }

    /// Withdraws the call, unless it was started or refused in the meantime.
    fn withdraw(&self) -> pool_table::WaitOutcome {
        let ticket = self.queued.ticket.id;
        update_entry(&self.context, &self.pool, |entry| entry.withdraw(ticket));
        let expired = pool_scheduler::CallRefusal {
            problem: types::ProblemKind::Overloaded,
            retry_after: self.queued_at.elapsed(),
        };
        self.queued.outcome.try_recv().unwrap_or(pool_table::WaitOutcome::Refused(expired))
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
        if self.resolved {
            return;
        }
        let ticket = self.queued.ticket.id;
        let now = time::Instant::now();
        update_entry(&self.context, &self.pool, |entry| {
            if !entry.withdraw(ticket) {
                entry.finish(ticket, pool_endpoint::CallOutcome::Unsent, now);
            }
        });
    }
}

/// Applies `change` to the entry of a pool and sets a timer for the next scheduler wakeup.
fn update_entry<Change, Output>(
    context: &sync::Arc<context::NodeContext>,
    pool: &ids::PoolId,
    change: Change,
) -> Option<Output>
where
    Change: FnOnce(&mut pool_table::PoolEntry) -> Output,
{
    let mut pools = context.tables.pools.lock();
    let entry = pools.get_mut(pool)?;
    let output = change(entry);
    let wakeup = entry.arm_wakeup(time::Instant::now());
    drop(pools);
    if let Some(wakeup) = wakeup {
        context.spawner.detach(advance_at(context.clone(), pool.clone(), wakeup));
    }
    Some(output)
}

async fn advance_at(
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    wakeup: time::Instant,
) {
    deadlines::DeadlineTimer::new(wakeup).await;
    update_entry(&context, &pool, |entry| entry.advance(time::Instant::now()));
}

fn new_call(
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

fn refusal_failure(
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
