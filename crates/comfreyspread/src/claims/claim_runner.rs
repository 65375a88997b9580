//! Runs a request at most once across all nodes.
//!
//! A request that must not run twice is claimed in the platform's table service before its first
//! byte is sent, as decided by [`claim`] and [`row_finalizer`]. Its task continues if the caller
//! disconnects, and the claim stays in the node's claim table until its final row is stored, so
//! that a graceful stop waits for it.

use crate::{
    claims::{claim_table, claim_write_queue},
    ingress::plan,
    runtime::context,
    transport::{activity_counter, failure, http_client, problem},
};
use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::{ids, types};
use rand::Rng as _;
use sha2::Digest as _;
use std::{sync, time};

/// Table of the platform that holds the claims.
pub const CLAIM_TABLE: &str = "claims";
/// Maximum size of an answer stored in its row; a larger one is stored as an object.
const MAX_INLINE_ANSWER_BYTES: usize = 16 * 1024;
/// Share of a request's time within which its claim must be acquired, as a divisor.
const ACQUIRE_TIME_DIVISOR: u32 = 2;
const ACQUIRE_RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
const FINALIZE_RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);
const RESEND_AFTER: time::Duration = time::Duration::from_secs(1);

type ClaimResult = Result<claim_table::ClaimAnswer, failure::CallFailure>;

/// Runs `work` if no request with the plan's key has run, or returns the answer of the earlier one.
///
/// `target` names the callee and is part of the digest that requests with one key must share. The
/// request counts as `active` until its claim is finalized.
///
/// # Errors
///
/// Fails with `not-run` if `work` was not started and never will be, and with `may-have-run` if
/// another request with the key is in progress or ended without a known outcome.
pub async fn run_once<Work>(
    context: &sync::Arc<context::NodeContext>,
    plan: &plan::RequestPlan,
    target: &str,
    active: activity_counter::ActivityGuard,
    work: Work,
) -> ClaimResult
where
    Work: Future<Output = Result<failure::CallResponse, failure::CallFailure>> + Send + 'static,
{
    let row = claim_row(context, plan, target)?;
    let time_left = plan.deadline.saturating_duration_since(time::Instant::now());
    let acquire_deadline = time::Instant::now() + time_left / ACQUIRE_TIME_DIVISOR;
    let guard = match ClaimGuard::admit(context, &row, acquire_deadline).await? {
        Admission::Admitted(guard) => guard,
        Admission::Completed(answer) => return Ok(answer),
    };
    let (sender, receiver) = async_channel::bounded(1);
    let task = ClaimTask { guard, deadline: plan.deadline, reply: sender, _active: active };
    let claim = claim::RequestClaim::new(row, acquire_deadline, plan.deadline);
    context.spawner.detach(task.run(claim, work));
    receiver.recv().await.unwrap_or_else(|_| {
        let failure = failure::CallFailure::new(types::ProblemKind::Internal, "the task ended");
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    })
}

/// Returns the claims without a known outcome, whether in progress or not.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn list_unresolved(
    context: &context::NodeContext,
) -> Result<types::ClaimList, failure::CallFailure> {
    let rows = Box::pin(context.platform.scan_rows(CLAIM_TABLE, "")).await?.rows;
    let claims: Result<Vec<_>, _> = rows.iter().map(|row| decode(&row.value)).collect();
    let mut claims = claims?;
    claims.retain(|claim| match claim.phase {
        types::ClaimPhase::Held => true,
        types::ClaimPhase::Closed => claim.verdict == Some(types::CallVerdict::MayHaveRun),
        types::ClaimPhase::Abandoned => false,
    });
    for claim in &mut claims {
        claim.answer = None;
    }
    Ok(types::ClaimList { claims })
}

fn claim_row(
    context: &context::NodeContext,
    plan: &plan::RequestPlan,
    target: &str,
) -> Result<types::ClaimRow, failure::CallFailure> {
    let Some(key) = &plan.key else {
        let detail = "a call that may not be repeated needs the header idempotency-key";
        return Err(failure::CallFailure::new(types::ProblemKind::KeyRequired, detail));
    };
    Ok(types::ClaimRow {
        answer: None,
        digest: hash_texts(&[target, &plan.digest]),
        key: key.clone(),
        node: context.settings.node.clone(),
        object: None,
        phase: types::ClaimPhase::Held,
        problem: None,
        request: plan.request.clone(),
        start_id: context.process_start,
        status: None,
        token: format!("{:032x}", rand::random::<u128>()).into(),
        verdict: None,
        workspace: plan.workspace.clone(),
    })
}

/// Hashes each text with its length, so that different lists do not collide by concatenation.
fn hash_texts(texts: &[&str]) -> ids::Text {
    let mut hasher = sha2::Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    format!("{:x}", hasher.finalize()).into()
}

/// A claim in the node's claim table; it is removed when dropped.
struct ClaimGuard {
    context: sync::Arc<context::NodeContext>,
    key: ids::Text,
}

enum Admission {
    Admitted(ClaimGuard),
    Completed(claim_table::ClaimAnswer),
}

impl ClaimGuard {
    /// Adds the claim to the table, waiting until `until` for another request with its key.
    async fn admit(
        context: &sync::Arc<context::NodeContext>,
        row: &types::ClaimRow,
        until: time::Instant,
    ) -> Result<Admission, failure::CallFailure> {
        let key = hash_texts(&[&row.workspace, &row.key]);
        loop {
            let admission = context.tables.claims.lock().admit(&key, row);
            let completed = match admission {
                claim_table::ClaimAdmission::Admitted => {
                    return Ok(Admission::Admitted(Self { context: context.clone(), key }));
                }
                claim_table::ClaimAdmission::Completed(answer) => {
                    return Ok(Admission::Completed(answer));
                }
                claim_table::ClaimAdmission::Refused(refusal) => {
                    return Err(refusal_failure(refusal));
                }
                claim_table::ClaimAdmission::Full => return Err(table_full()),
                claim_table::ClaimAdmission::InProgress(completed) => completed,
            };
            if http_client::with_deadline(until, completed).await.is_none() {
                let phase = context.tables.claims.lock().phase(&key);
                return Err(match phase {
                    Some(types::ClaimPhase::Abandoned) | None => {
                        refusal_failure(claim::ClaimRefusal::StoreUnavailable)
                    }
                    Some(_) => unresolved_failure(context, row),
                });
            }
        }
    }

    fn abandon(&self) {
        self.context.tables.claims.lock().abandon(&self.key);
    }

    fn complete(&self, answer: &claim_table::ClaimAnswer) {
        self.context.tables.claims.lock().complete(&self.key, answer.clone());
    }

    async fn write(
        &self,
        row: &types::ClaimRow,
        condition: types::RowPrecondition,
    ) -> claim::StoreEvent {
        let Ok(value) = serde_json::to_string(row) else { return claim::StoreEvent::Unsent };
        let write = types::RowWrite {
            condition,
            key: self.key.clone(),
            table: CLAIM_TABLE.into(),
            value: Some(value.into()),
        };
        claim_write_queue::write(&self.context, write).await
    }

    async fn write_object(
        &self,
        name: &ids::Text,
        body: &ids::Payload,
    ) -> Result<(), failure::CallFailure> {
        Box::pin(self.context.platform.write_object(name, body.clone())).await
    }

    async fn read(&self) -> claim::StoreEvent {
        let read = Box::pin(self.context.platform.read_row(CLAIM_TABLE, &self.key)).await;
        let stored = read.and_then(|row| {
            row.map(|row| Ok(claim::StoredClaim { row: decode(&row.value)?, version: row.version }))
                .transpose()
        });
        match stored {
            Ok(stored) => claim::StoreEvent::Read(stored),
            Err(failure) => {
                log::warn!("claims: cannot read the row. error={failure}");
                claim::StoreEvent::ReadFailed
            }
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.context.tables.claims.lock().remove(&self.key);
    }
}

/// Task of one request, from its claim to its final row.
struct ClaimTask {
    guard: ClaimGuard,
    deadline: time::Instant,
    reply: async_channel::Sender<ClaimResult>,
    _active: activity_counter::ActivityGuard,
}

impl ClaimTask {
    async fn run<Work>(self, claim: claim::RequestClaim<claim::AcquiringState>, work: Work)
    where
        Work: Future<Output = Result<failure::CallResponse, failure::CallFailure>> + Send,
    {
        let mut step = claim.begin();
        loop {
            step = match step {
                claim::AcquireStep::Write(claim, condition) => {
                    let written = self.guard.write(claim.row(), condition);
                    let written =
                        http_client::with_deadline(claim.acquire_deadline(), written).await;
                    self.advance(claim, written.unwrap_or(claim::StoreEvent::Unknown))
                }
                claim::AcquireStep::Read(claim) => {
                    let read =
                        http_client::with_deadline(claim.acquire_deadline(), self.guard.read())
                            .await;
                    self.advance(claim, read.unwrap_or(claim::StoreEvent::ReadFailed))
                }
                claim::AcquireStep::Wait(claim) => {
                    async_io::Timer::after(jittered(ACQUIRE_RETRY_PAUSE)).await;
                    claim::AcquireStep::Read(claim)
                }
                claim::AcquireStep::Held(claim) => return self.send(claim, work).await,
                claim::AcquireStep::Completed(row) => {
                    return self.answer(self.load_answer(*row).await);
                }
                claim::AcquireStep::Unresolved(row) => {
                    return self.answer(Err(unresolved_failure(&self.guard.context, &row)));
                }
                claim::AcquireStep::Refuse(refusal) => {
                    return self.answer(Err(refusal_failure(refusal)));
                }
                claim::AcquireStep::Abandon(finalizer, refusal) => {
                    self.guard.abandon();
                    self.answer(Err(refusal_failure(refusal)));
                    return self.finalize(*finalizer, None).await;
                }
            };
        }
    }

    fn advance(
        &self,
        claim: claim::RequestClaim<claim::AcquiringState>,
        event: claim::StoreEvent,
    ) -> claim::AcquireStep {
        claim.advance(event, time::Instant::now())
    }

    fn answer(&self, result: ClaimResult) {
        self.reply.try_send(result).ok();
    }

    async fn send<Work>(self, claim: claim::RequestClaim<claim::HeldState>, work: Work)
    where
        Work: Future<Output = Result<failure::CallResponse, failure::CallFailure>> + Send,
    {
        let claim = match claim.send(time::Instant::now()) {
            Ok(claim) => claim,
            Err(finalizer) => {
                self.guard.abandon();
                let result = Err(refusal_failure(claim::ClaimRefusal::DeadlinePassed));
                return self.finalize(*finalizer, Some(result)).await;
            }
        };
        match work.await {
            Err(failure) if failure.verdict() == types::CallVerdict::NotRun => {
                self.guard.abandon();
                self.finalize(claim.release(), Some(Err(failure))).await;
            }
            outcome => self.close(claim, outcome).await,
        }
    }

    async fn close(
        self,
        claim: claim::RequestClaim<claim::SentState>,
        result: Result<failure::CallResponse, failure::CallFailure>,
    ) {
        let answer = result.map_or_else(
            |failure| failed_answer(&failure, claim.request()),
            claim_table::ClaimAnswer::new,
        );
        self.guard.complete(&answer);
        let outcome = claim_outcome(&answer, claim.token());
        let mut result = Some(Ok(answer.clone()));
        if let Some(name) = &outcome.object {
            let body = answer.answer.body;
            while self.guard.write_object(name, &body).await.is_err() {
                self.answer_once(&mut result);
                async_io::Timer::after(jittered(FINALIZE_RETRY_PAUSE)).await;
            }
        }
        self.finalize(claim.close(outcome), result).await;
    }

    /// Writes the final row. The result is sent to the caller afterwards, or as soon as the store
    /// fails to answer.
    async fn finalize(
        &self,
        mut finalizer: row_finalizer::RowFinalizer,
        mut result: Option<ClaimResult>,
    ) {
        let mut step = finalizer.begin();
        while step != row_finalizer::FinalizeStep::Done {
            let event = self.finalize_step(&finalizer, step, result.is_some()).await;
            if matches!(
                event,
                claim::StoreEvent::Unknown
                    | claim::StoreEvent::Unsent
                    | claim::StoreEvent::ReadFailed
            ) {
                self.answer_once(&mut result);
            }
            step = finalizer.advance(&event);
        }
        self.answer_once(&mut result);
    }

    async fn finalize_step(
        &self,
        finalizer: &row_finalizer::RowFinalizer,
        step: row_finalizer::FinalizeStep,
        caller_waits: bool,
    ) -> claim::StoreEvent {
        let event = async {
            match step {
                row_finalizer::FinalizeStep::Write(condition) => {
                    self.guard.write(finalizer.row(), condition).await
                }
                row_finalizer::FinalizeStep::Wait => {
                    async_io::Timer::after(jittered(FINALIZE_RETRY_PAUSE)).await;
                    self.guard.read().await
                }
                row_finalizer::FinalizeStep::Read | row_finalizer::FinalizeStep::Done => {
                    self.guard.read().await
                }
            }
        };
        if !caller_waits {
            return event.await;
        }
        http_client::with_deadline(self.deadline, event).await.unwrap_or(claim::StoreEvent::Unknown)
    }

    fn answer_once(&self, result: &mut Option<ClaimResult>) {
        if let Some(result) = result.take() {
            self.answer(result);
        }
    }

    /// Returns the stored answer of a completed request.
    async fn load_answer(&self, row: types::ClaimRow) -> ClaimResult {
        let body = match (row.answer, &row.object) {
            (Some(answer), _) => answer.as_bytes().to_vec().into(),
            (None, Some(name)) => self.load_object(name).await?,
            (None, None) => ids::Payload::new(),
        };
        Ok(claim_table::ClaimAnswer {
            answer: failure::CallResponse { status: row.status.unwrap_or_default(), body },
            problem: row.problem,
            verdict: row.verdict.unwrap_or(types::CallVerdict::MayHaveRun),
        })
    }

    async fn load_object(&self, name: &ids::Text) -> Result<ids::Payload, failure::CallFailure> {
        let read = Box::pin(self.guard.context.platform.read_object(name)).await;
        let verdict = types::CallVerdict::MayHaveRun;
        let body = read.map_err(|failure| failure.with_verdict(verdict))?;
        body.ok_or_else(|| {
            let detail = format!("the object {name} of an earlier answer is missing");
            failure::CallFailure::new(types::ProblemKind::OutcomeUnknown, detail)
                .with_verdict(verdict)
        })
    }
}

fn claim_outcome(
    answer: &claim_table::ClaimAnswer,
    token: &ids::ClaimToken,
) -> claim::ClaimOutcome {
    let body = &answer.answer.body;
    let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= MAX_INLINE_ANSWER_BYTES);
    claim::ClaimOutcome {
        answer: text.map(Into::into),
        object: text.is_none().then(|| format!("claim-{token}").into()),
        problem: answer.problem,
        status: answer.answer.status,
        verdict: answer.verdict,
    }
}

fn failed_answer(
    failure: &failure::CallFailure,
    request: &ids::RequestId,
) -> claim_table::ClaimAnswer {
    let body = problem::body(failure, request);
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    claim_table::ClaimAnswer {
        answer: failure::CallResponse { status: body.status, body: bytes.into() },
        problem: Some(failure.problem()),
        verdict: failure.verdict(),
    }
}

fn decode(value: &ids::Text) -> Result<types::ClaimRow, failure::CallFailure> {
    serde_json::from_str(value).map_err(|error| {
        let detail = format!("a stored claim is not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
            .with_verdict(types::CallVerdict::MayHaveRun)
    })
}

fn refusal_failure(refusal: claim::ClaimRefusal) -> failure::CallFailure {
    let (kind, detail) = match refusal {
        claim::ClaimRefusal::Conflict => {
            (types::ProblemKind::KeyConflict, "the key was used with another body or target")
        }
        claim::ClaimRefusal::StoreUnavailable => {
            (types::ProblemKind::StoreUnavailable, "the claim could not be settled in time")
        }
        claim::ClaimRefusal::DeadlinePassed => {
            (types::ProblemKind::Timeout, "the deadline passed before the call was sent")
        }
    };
    failure::CallFailure::new(kind, detail).with_retry_after(RESEND_AFTER)
}

/// Returns the failure of a request whose key is claimed by `row`, which has no known outcome.
fn unresolved_failure(
    context: &context::NodeContext,
    row: &types::ClaimRow,
) -> failure::CallFailure {
    let failure = if owner_has_ended(context, row) {
        let detail = format!("{} ended before the outcome of {} was stored", row.node, row.request);
        failure::CallFailure::new(types::ProblemKind::OutcomeUnknown, detail)
    } else {
        let detail = format!("{} of {} is in progress", row.request, row.node);
        failure::CallFailure::new(types::ProblemKind::InProgress, detail)
            .with_retry_after(RESEND_AFTER)
    };
    failure.with_verdict(types::CallVerdict::MayHaveRun)
}

/// Whether the process that owns a claim is known to have ended.
///
/// This only selects the problem reported to the caller, never whether a request may run.
fn owner_has_ended(context: &context::NodeContext, row: &types::ClaimRow) -> bool {
    if row.node == context.settings.node {
        return row.start_id != context.process_start;
    }
    let members = context.tables.members.lock();
    let entry = members.entry(&row.node);
    entry.is_some_and(|entry| entry.record().start_id != row.start_id || !entry.is_live())
}

fn table_full() -> failure::CallFailure {
    let detail = "too many claims are in progress at this node";
    failure::CallFailure::new(types::ProblemKind::Overloaded, detail).with_retry_after(RESEND_AFTER)
}

/// Returns a random duration of 0.5 to 1.5 times `pause`, so that nodes do not retry in step.
fn jittered(pause: time::Duration) -> time::Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
