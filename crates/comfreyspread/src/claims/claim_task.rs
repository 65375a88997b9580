//! Task of a claimed request: acquires the claim, runs the request and stores its outcome.

use crate::{
    claims::{claim_failure, claim_guard, claim_table},
    transport::{activity_counter, failure, http_client, problem},
};
use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::{ids, types};
use rand::Rng as _;
use std::time;

/// Maximum size of an answer stored in its row; a larger one is stored as an object.
const MAX_INLINE_ANSWER_BYTES: usize = 16 * 1024;
const ACQUIRE_RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
const FINALIZE_RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Answer of a claimed request, or why it has none.
pub type ClaimResult = Result<claim_table::ClaimAnswer, failure::CallFailure>;

/// Task of one request, from its claim to its final row.
pub struct ClaimTask {
    guard: claim_guard::ClaimGuard,
    deadline: time::Instant,
    reply: async_channel::Sender<ClaimResult>,
    _active: activity_counter::ActivityGuard,
}

impl ClaimTask {
    /// Creates the task of a claimed request, which counts as `active` until the task ends.
    pub fn new(
        guard: claim_guard::ClaimGuard,
        deadline: time::Instant,
        reply: async_channel::Sender<ClaimResult>,
        active: activity_counter::ActivityGuard,
    ) -> Self {
        Self { guard, deadline, reply, _active: active }
    }

    /// Acquires the claim, runs `work` and stores the outcome.
    pub async fn run<Work>(self, claim: claim::RequestClaim<claim::AcquiringState>, work: Work)
    where
        Work: Future<Output = Result<failure::CallResponse, failure::CallFailure>> + Send,
    {
        let mut step = claim.with_history(self.guard.history()).begin();
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
                    return self.answer(Err(claim_failure::unresolved_failure(
                        self.guard.context(),
                        &row,
                    )));
                }
                claim::AcquireStep::Refuse(refusal) => {
                    return self.answer(Err(claim_failure::refusal_failure(refusal)));
                }
                claim::AcquireStep::Abandon(finalizer, refusal) => {
                    self.guard.abandon();
                    self.answer(Err(claim_failure::refusal_failure(refusal)));
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
        claim.with_history(self.guard.history()).advance(event, time::Instant::now())
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
                let result =
                    Err(claim_failure::refusal_failure(claim::ClaimRefusal::DeadlinePassed));
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
        let mut era = self.guard.context().settings.claim_era;
        self.follow_era(&mut finalizer, &mut era);
        let mut step = finalizer.begin();
        while step != row_finalizer::FinalizeStep::Done {
            let event = self.finalize_step(&finalizer, step, result.is_some()).await;
            self.follow_era(&mut finalizer, &mut era);
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

    /// Tells the finalizer if the store has another era than the one last seen, `era`.
    fn follow_era(&self, finalizer: &mut row_finalizer::RowFinalizer, era: &mut ids::StoreEra) {
        let current = self.guard.context().platform.era();
        if current != *era {
            finalizer.lose_history();
            *era = current;
        }
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
        let read = Box::pin(self.guard.context().platform.read_object(name)).await;
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

/// Returns a random duration of 0.5 to 1.5 times `pause`, so that nodes do not retry in step.
fn jittered(pause: time::Duration) -> time::Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
