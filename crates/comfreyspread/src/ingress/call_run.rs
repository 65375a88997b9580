//! Attempts at one call until it is answered or must fail.

use crate::{
    ingress::{dispatch, plan},
    runtime::context,
    transport::{deadline as deadlines, failure},
};
use comfreyspread_policy::{retry, suspect, verdict};
use comfreyspread_schema::{ids, types};
use futures_util::future;
use std::{sync, time};

/// Quantile of a stage's times after which a second attempt is made beside the first.
const HEDGE_QUANTILE: f64 = 0.95;
/// Quantile of a stage's times that an attempt is expected to take.
const EXPECTED_QUANTILE: f64 = 0.5;

/// One call of a stage or service, over all of its attempts.
#[derive(Debug)]
pub struct CallRun {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    target: ids::Text,
    body: ids::Payload,
    streaming: bool,
    tracker: verdict::VerdictTracker,
    attempts: u32,
    alone: bool,
    avoid: Vec<ids::EndpointId>,
}

impl CallRun {
    /// Creates a run that has made no attempt.
    pub fn new(
        ledger: &plan::RequestLedger,
        pool: &ids::PoolId,
        target: &ids::Text,
        body: ids::Payload,
    ) -> Self {
        Self {
            context: ledger.context().clone(),
            pool: pool.clone(),
            target: target.clone(),
            body,
            streaming: false,
            tracker: verdict::VerdictTracker::new(),
            attempts: 0,
            alone: false,
            avoid: Vec::new(),
        }
    }

    /// Asks for a streamed answer.
    pub fn with_streaming(self) -> Self {
        Self { streaming: true, ..self }
    }

    /// Makes attempts until one is answered whole.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn answer(
        mut self,
        ledger: &mut plan::RequestLedger,
    ) -> Result<failure::WholeAnswer, failure::CallFailure> {
        self.check_suspicion(ledger)?;
        loop {
            let began = time::Instant::now();
            let failure = match self.attempt_once(ledger).await {
                Ok(reply) => {
                    self.note_served(ledger, &reply, began);
                    match failure::CallFailure::from_outcome(reply.outcome) {
                        Ok(answer) => return Ok(answer),
                        Err(failure) => self.note_failure(ledger, failure, reply.endpoint),
                    }
                }
                Err(failure) => self.note_failure(ledger, failure, None),
            };
            self.pause_or_stop(ledger, failure).await?;
        }
    }

    /// Makes attempts until a stream is opened at `offset`.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn open(
        &mut self,
        ledger: &mut plan::RequestLedger,
        offset: ids::StreamOffset,
    ) -> Result<dispatch::OwnerStream, failure::CallFailure> {
        self.check_suspicion(ledger)?;
        loop {
            let call = self.next_call(ledger, offset)?;
            let deadline = ledger.plan().deadline;
            match dispatch::open(&self.context, call, deadline).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => {
                    let failure = self.note_failure(ledger, failure, None);
                    self.pause_or_stop(ledger, failure).await?;
                }
            }
        }
    }

    /// Takes note that an opened stream failed, and returns if another attempt may be made.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts if no other attempt may be made.
    pub async fn recover(
        &mut self,
        ledger: &mut plan::RequestLedger,
        failure: failure::CallFailure,
        endpoint: Option<ids::EndpointId>,
    ) -> Result<(), failure::CallFailure> {
        let failure = self.note_failure(ledger, failure, endpoint);
        self.pause_or_stop(ledger, failure).await
    }

    async fn attempt_once(
        &mut self,
        ledger: &mut plan::RequestLedger,
    ) -> Result<types::StageReply, failure::CallFailure> {
        let call = self.next_call(ledger, 0)?;
        let deadline = ledger.plan().deadline;
        let context = self.context.clone();
        let first = Box::pin(dispatch::send(&context, call, deadline));
        let Some(delay) = self.hedge_delay(ledger) else { return first.await };
        let timer = deadlines::DeadlineTimer::after(delay);
        let first = match future::select(first, timer).await {
            future::Either::Left((reply, _)) => return reply,
            future::Either::Right((_, first)) => first,
        };
        if !self.has_room_for_hedge() || !context.tables.attempt_budgets.lock().hedges.withdraw() {
            return first.await;
        }
        let Ok(call) = self.next_call(ledger, 0) else { return first.await };
        let second = Box::pin(dispatch::send(&context, call, deadline));
        first_answer(first, second).await
    }

    /// Returns after what time a second attempt is made; none if there must be none.
    fn hedge_delay(&self, ledger: &plan::RequestLedger) -> Option<time::Duration> {
        let plan = ledger.plan();
        let eligible = plan.idempotent && plan.profile.priority == types::PriorityLevel::High;
        if !eligible || self.alone || self.attempts > 1 {
            return None;
        }
        let now = time::Instant::now();
        self.context.tables.stage_timings.lock().quantile(&self.pool, HEDGE_QUANTILE, now)
    }

    /// Whether some owner can take a call without a wait; a hedge behind a queue only makes it
    /// longer.
    fn has_room_for_hedge(&self) -> bool {
        let now = time::Instant::now();
        let hints = self.context.tables.hints.lock();
        hints.min_wait(&self.pool, types::PriorityLevel::Low, now).is_zero()
    }

    fn check_suspicion(
        &mut self,
        ledger: &plan::RequestLedger,
    ) -> Result<(), failure::CallFailure> {
        let digest = &ledger.plan().digest;
        let status = self.context.tables.suspects.lock().status(digest, time::Instant::now());
        self.alone = status == suspect::SuspectStatus::Suspect;
        if status != suspect::SuspectStatus::Convicted {
            return Ok(());
        }
        let detail = "endpoints crashed each time they ran this request";
        Err(failure::CallFailure::new(types::ProblemKind::Poisoned, detail))
    }

    fn next_call(
        &mut self,
        ledger: &mut plan::RequestLedger,
        offset: ids::StreamOffset,
    ) -> Result<types::StageCall, failure::CallFailure> {
        let attempt = ledger.begin_attempt(&self.pool);
        let attempt = attempt.map_err(|failure| failure.with_verdict(self.tracker.verdict()))?;
        self.attempts += 1;
        let plan = ledger.plan();
        Ok(types::StageCall {
            alone: self.alone,
            attempt,
            avoid: self.avoid.clone(),
            body: self.body.clone(),
            budget: ledger.remaining(),
            digest: plan.digest.clone(),
            endpoint: None,
            header: self.context.peer_header(),
            idempotent: plan.idempotent,
            key: plan.key.clone(),
            offset,
            pool: self.pool.clone(),
            prefix: plan.prefix,
            priority: plan.profile.priority,
            request: plan.request.clone(),
            streaming: self.streaming,
            target: self.target.clone(),
            workspace: plan.workspace.clone(),
        })
    }

    /// Takes note that an attempt begun at `began` was answered whole, if the reply says so.
    pub fn note_served(
        &self,
        ledger: &plan::RequestLedger,
        reply: &types::StageReply,
        began: time::Instant,
    ) {
        if !matches!(reply.outcome, types::StageOutcome::Answered { .. }) {
            return;
        }
        let now = time::Instant::now();
        let took = now.saturating_duration_since(began).saturating_sub(reply.waited);
        if self.alone {
            self.context.tables.suspects.lock().note_served(&ledger.plan().digest, now);
        }
        self.context.tables.stage_timings.lock().record(&self.pool, took, now);
        let mut budgets = self.context.tables.attempt_budgets.lock();
        budgets.retries.deposit();
        budgets.hedges.deposit();
    }

    /// Takes note of a failed attempt and returns the failure with the verdict over all attempts.
    fn note_failure(
        &mut self,
        ledger: &mut plan::RequestLedger,
        failure: failure::CallFailure,
        endpoint: Option<ids::EndpointId>,
    ) -> failure::CallFailure {
        if failure.verdict() == types::CallVerdict::NotRun {
            ledger.refund(&self.pool);
        }
        if failure.crashed() {
            let digest = &ledger.plan().digest;
            let now = time::Instant::now();
            self.context.tables.suspects.lock().note_crash(digest, self.alone, now);
        }
        self.avoid.extend(endpoint);
        self.tracker = self.tracker.with_outcome(failure.verdict());
        failure.with_verdict(self.tracker.verdict())
    }

    /// Waits until the next attempt may be made.
    async fn pause_or_stop(
        &mut self,
        ledger: &plan::RequestLedger,
        failure: failure::CallFailure,
    ) -> Result<(), failure::CallFailure> {
        let retry_context = self.retry_context(ledger, &failure);
        let decision =
            retry_context.decide(&mut self.context.tables.attempt_budgets.lock().retries);
        let retry::RetryDecision::Retry { backoff, .. } = decision else { return Err(failure) };
        self.check_suspicion(ledger)
            .map_err(|poisoned| poisoned.with_verdict(failure.verdict()))?;
        log::info!(request = ledger.plan().request.as_ref(),
            problem = failure.problem().to_string().as_str(), detail = failure.detail().as_ref();
            "call: attempt failed, trying again");
        if !backoff.is_zero() {
            deadlines::DeadlineTimer::after(backoff).await;
        }
        Ok(())
    }

    fn retry_context(
        &self,
        ledger: &plan::RequestLedger,
        failure: &failure::CallFailure,
    ) -> retry::RetryContext {
        let now = time::Instant::now();
        let expected =
            self.context.tables.stage_timings.lock().quantile(&self.pool, EXPECTED_QUANTILE, now);
        retry::RetryContext {
            verdict: self.tracker.verdict(),
            problem: failure.problem(),
            crashed: failure.crashed(),
            idempotent: ledger.plan().idempotent,
            attempts: self.attempts,
            remaining: ledger.remaining(),
            expected_duration: expected.unwrap_or(time::Duration::ZERO),
        }
    }
}

type ReplyResult = Result<types::StageReply, failure::CallFailure>;

/// Returns the first reply that is an answer, or else the last failure.
async fn first_answer<First, Second>(first: First, second: Second) -> ReplyResult
where
    First: Future<Output = ReplyResult> + Unpin,
    Second: Future<Output = ReplyResult> + Unpin,
{
    match future::select(first, second).await {
        future::Either::Left((reply, other)) if !is_answer(&reply) => other.await,
        future::Either::Right((reply, other)) if !is_answer(&reply) => other.await,
        future::Either::Left((reply, _)) | future::Either::Right((reply, _)) => reply,
    }
}

fn is_answer(reply: &ReplyResult) -> bool {
    let outcome = reply.as_ref().map(|reply| &reply.outcome);
    matches!(outcome, Ok(types::StageOutcome::Answered { .. }))
}
