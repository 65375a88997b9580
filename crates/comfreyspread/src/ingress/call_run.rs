//! Attempts of one call, until one succeeds or no retry is allowed.

use crate::{
    ingress::{dispatch, plan},
    runtime::context,
    transport::{deadline as deadlines, failure},
};
use comfreyspread_policy::{retry, suspect, verdict};
use comfreyspread_schema::{ids, types};
use futures_util::future;
use std::{sync, time};
use xxhash_rust::xxh3;

/// Quantile of a stage's durations after which a hedge, a second parallel attempt, is sent.
const HEDGE_QUANTILE: f64 = 0.95;
/// Quantile of a stage's durations that is the expected duration of an attempt.
const EXPECTED_QUANTILE: f64 = 0.5;

/// An attempt that was sent to an endpoint.
#[derive(Debug)]
pub struct SentAttempt {
    endpoint: ids::EndpointId,
    sent_at: time::Instant,
}

impl SentAttempt {
    /// Returns the attempt started at `started` that a reply is for; none if it was not sent.
    pub fn new(reply: &types::StageReply, started: time::Instant) -> Option<Self> {
        let endpoint = reply.endpoint.clone()?;
        Some(Self { endpoint, sent_at: started + reply.waited })
    }
}

/// One call of a stage or service, with all of its attempts.
#[derive(Debug)]
pub struct CallRun {
    context: sync::Arc<context::NodeContext>,
    pool: ids::PoolId,
    target: ids::Text,
    body: ids::Payload,
    streaming: bool,
    verdicts: verdict::VerdictTracker,
    attempts: u32,
    exclusive: bool,
    excluded_endpoints: Vec<ids::EndpointId>,
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
            verdicts: verdict::VerdictTracker::new(),
            attempts: 0,
            exclusive: false,
            excluded_endpoints: Vec::new(),
        }
    }

    /// Requests a streamed response.
    pub fn with_streaming(self) -> Self {
        Self { streaming: true, ..self }
    }

    /// Makes attempts until one succeeds.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn execute(
        mut self,
        ledger: &mut plan::RequestLedger,
    ) -> Result<failure::CallResponse, failure::CallFailure> {
        self.check_suspicion(ledger)?;
        loop {
            let started = time::Instant::now();
            let failure = match self.attempt_once(ledger).await {
                Ok(reply) => {
                    self.record_success(ledger, &reply, started);
                    let sent = SentAttempt::new(&reply, started);
                    match failure::CallFailure::from_outcome(reply.outcome) {
                        Ok(answer) => return Ok(answer),
                        Err(failure) => self.record_failure(ledger, failure, sent),
                    }
                }
                Err(failure) => self.record_failure(ledger, failure, None),
            };
            self.wait_for_retry(ledger, failure).await?;
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
            match dispatch::open_stream(&self.context, call, deadline).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => {
                    let failure = self.record_failure(ledger, failure, None);
                    self.wait_for_retry(ledger, failure).await?;
                }
            }
        }
    }

    /// Records the failure of an opened stream and waits until the next attempt may be made.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts if no other attempt may be made.
    pub async fn prepare_retry(
        &mut self,
        ledger: &mut plan::RequestLedger,
        failure: failure::CallFailure,
        sent: Option<SentAttempt>,
    ) -> Result<(), failure::CallFailure> {
        let failure = self.record_failure(ledger, failure, sent);
        self.wait_for_retry(ledger, failure).await
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
        if !self.has_capacity_for_hedge()
            || !context.tables.attempt_budgets.lock().hedges.withdraw()
        {
            return first.await;
        }
        let Ok(call) = self.next_call(ledger, 0) else { return first.await };
        let second = Box::pin(dispatch::send(&context, call, deadline));
        first_success(first, second).await
    }

    /// Returns the delay before a hedge is sent; none if hedging is not allowed.
    fn hedge_delay(&self, ledger: &plan::RequestLedger) -> Option<time::Duration> {
        let plan = ledger.plan();
        let eligible = plan.idempotent && plan.profile.priority == types::PriorityLevel::High;
        if !eligible || self.exclusive || self.attempts > 1 {
            return None;
        }
        let now = time::Instant::now();
        self.context.tables.call_timings.lock().quantile(&self.pool, HEDGE_QUANTILE, now)
    }

    /// Whether some owner can run a call without queueing it. A queued hedge would only lengthen
    /// the queue.
    fn has_capacity_for_hedge(&self) -> bool {
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
        self.exclusive = status == suspect::SuspectStatus::Suspect;
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
        let attempt = ledger.start_attempt(&self.pool);
        let attempt = attempt.map_err(|failure| failure.with_verdict(self.verdicts.verdict()))?;
        self.attempts += 1;
        let plan = ledger.plan();
        Ok(types::StageCall {
            exclusive: self.exclusive,
            attempt,
            excluded_endpoints: self.excluded_endpoints.clone(),
            body: self.body.clone(),
            time_left: ledger.remaining(),
            body_digest: plan.digest.clone(),
            preferred_endpoint: None,
            header: self.context.peer_header(),
            idempotent: plan.idempotent,
            idempotency_key: plan.key.clone(),
            offset,
            pool: self.pool.clone(),
            prefix_hash: plan.prefix,
            priority: plan.profile.priority,
            request: plan.request.clone(),
            streaming: self.streaming,
            target: self.target.clone(),
            workspace: plan.workspace.clone(),
        })
    }

    /// Records an attempt started at `started` as successful, if the reply says so.
    pub fn record_success(
        &self,
        ledger: &plan::RequestLedger,
        reply: &types::StageReply,
        started: time::Instant,
    ) {
        if !matches!(reply.outcome, types::StageOutcome::Answered { .. }) {
            return;
        }
        let now = time::Instant::now();
        let duration = now.saturating_duration_since(started).saturating_sub(reply.waited);
        if self.exclusive {
            self.context.tables.suspects.lock().record_served(&ledger.plan().digest, now);
        }
        self.context.tables.call_timings.lock().record(&self.pool, duration, now);
        let mut budgets = self.context.tables.attempt_budgets.lock();
        budgets.retries.deposit();
        budgets.hedges.deposit();
    }

    /// Records a failed attempt and returns the failure with the verdict over all attempts.
    fn record_failure(
        &mut self,
        ledger: &mut plan::RequestLedger,
        failure: failure::CallFailure,
        sent: Option<SentAttempt>,
    ) -> failure::CallFailure {
        if failure.verdict() == types::CallVerdict::NotRun {
            ledger.refund(&self.pool);
        }
        if failure.crashed() {
            self.record_crash(&ledger.plan().digest, sent.as_ref());
        }
        self.excluded_endpoints.extend(sent.map(|attempt| attempt.endpoint));
        self.verdicts = self.verdicts.with_outcome(failure.verdict());
        failure.with_verdict(self.verdicts.verdict())
    }

    /// Records that an endpoint crashed during an attempt. One that ran alone is the cause; equal
    /// requests that ran beside others may all have seen the one crash.
    fn record_crash(&self, digest: &ids::BodyDigest, sent: Option<&SentAttempt>) {
        let now = time::Instant::now();
        let mut suspects = self.context.tables.suspects.lock();
        match sent.filter(|_| !self.exclusive) {
            Some(attempt) => {
                let endpoint = xxh3::xxh3_64(attempt.endpoint.as_bytes());
                suspects.record_attempt_crash(digest, endpoint, attempt.sent_at, now);
            }
            None => suspects.record_crash(digest, self.exclusive, now),
        }
    }

    /// Waits until the next attempt may be made, or fails if none may be made.
    async fn wait_for_retry(
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
            "call: attempt failed, retrying");
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
            self.context.tables.call_timings.lock().quantile(&self.pool, EXPECTED_QUANTILE, now);
        retry::RetryContext {
            verdict: self.verdicts.verdict(),
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

/// Returns the first successful reply, or else the last failure.
async fn first_success<First, Second>(first: First, second: Second) -> ReplyResult
where
    First: Future<Output = ReplyResult> + Unpin,
    Second: Future<Output = ReplyResult> + Unpin,
{
    match future::select(first, second).await {
        future::Either::Left((reply, other)) if !is_success(&reply) => other.await,
        future::Either::Right((reply, other)) if !is_success(&reply) => other.await,
        future::Either::Left((reply, _)) | future::Either::Right((reply, _)) => reply,
    }
}

fn is_success(reply: &ReplyResult) -> bool {
    let outcome = reply.as_ref().map(|reply| &reply.outcome);
    matches!(outcome, Ok(types::StageOutcome::Answered { .. }))
}
