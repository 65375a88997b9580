//! Running a request at most once, over all nodes.
//!
//! A request that may not be repeated is claimed in the platform's table service before its first
//! byte goes out; the decisions are those of [`claim`] and [`row_finalizer`]. Its task goes on when the
//! caller goes away, and it stays in the node's claim table until the store has its last row, so a
//! graceful stop waits for it.

use crate::{
    claims::{claim_table, claim_write_queue},
    ingress::plan,
    runtime::context,
    transport::{failure, http_client, problem, tally},
};
use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::{ids, types};
use rand::Rng as _;
use sha2::Digest as _;
use std::{sync, time};

/// Table of the platform that holds the claims.
pub const CLAIM_TABLE: &str = "claims";
/// Largest answer kept in a row; a larger one goes to the object store.
const INLINE_ANSWER_BYTES: usize = 16 * 1024;
/// Part of a request's time that its claim may take.
const ASKING_SHARE: u32 = 2;
const ASK_PAUSE: time::Duration = time::Duration::from_millis(50);
const SETTLE_PAUSE: time::Duration = time::Duration::from_millis(250);
const RESEND_PAUSE: time::Duration = time::Duration::from_secs(1);

type ClaimResult = Result<claim_table::ClaimAnswer, failure::CallFailure>;

/// Runs `work` if no request with the plan's key has run, or gives the answer of the one that has.
///
/// `target` names what is called; it is part of what a key stands for. The request counts as
/// `active` until its claim is settled.
///
/// # Errors
///
/// Fails with `not-run` if `work` was not begun and never will be, and with `may-have-run` if
/// another request with the key is in progress or ended without a known outcome.
pub async fn run_once<Work>(
    context: &sync::Arc<context::NodeContext>,
    plan: &plan::RequestPlan,
    target: &str,
    active: tally::ActivityGuard,
    work: Work,
) -> ClaimResult
where
    Work: Future<Output = Result<failure::WholeAnswer, failure::CallFailure>> + Send + 'static,
{
    let row = claim_row(context, plan, target)?;
    let left = plan.deadline.saturating_duration_since(time::Instant::now());
    let until = time::Instant::now() + left / ASKING_SHARE;
    let entry = match ClaimEntry::enter(context, &row, until).await? {
        Admitted::Entered(entry) => entry,
        Admitted::Ended(answer) => return Ok(answer),
    };
    let (sender, receiver) = async_channel::bounded(1);
    let run = ClaimRun { entry, deadline: plan.deadline, reply: sender, _active: active };
    let asked = claim::RequestClaim::new(row, until, plan.deadline);
    context.spawner.detach(run.carry(asked, work));
    receiver.recv().await.unwrap_or_else(|_| {
        let failure = failure::CallFailure::new(types::ProblemKind::Internal, "the task ended");
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    })
}

/// Lists the claims whose outcome is not known, in progress or not.
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
        digest: hash(&[target, &plan.digest]),
        key: key.clone(),
        node: context.settings.node.clone(),
        object: None,
        phase: types::ClaimPhase::Held,
        problem: None,
        request: plan.request.clone(),
        start_id: context.start,
        status: None,
        token: format!("{:032x}", rand::random::<u128>()).into(),
        verdict: None,
        workspace: plan.workspace.clone(),
    })
}

/// Hashes texts so that no two lists of texts share a hash.
fn hash(texts: &[&str]) -> ids::Text {
    let mut hasher = sha2::Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    format!("{:x}", hasher.finalize()).into()
}

/// A claim's place in the node's table; it leaves when dropped.
struct ClaimEntry {
    context: sync::Arc<context::NodeContext>,
    key: ids::Text,
}

enum Admitted {
    Entered(ClaimEntry),
    Ended(claim_table::ClaimAnswer),
}

impl ClaimEntry {
    /// Enters the table, waiting until `until` for another request with the key.
    async fn enter(
        context: &sync::Arc<context::NodeContext>,
        row: &types::ClaimRow,
        until: time::Instant,
    ) -> Result<Admitted, failure::CallFailure> {
        let key = hash(&[&row.workspace, &row.key]);
        loop {
            let admission = context.tables.claims.lock().enter(&key, row);
            let ended = match admission {
                claim_table::ClaimAdmission::Entered => {
                    return Ok(Admitted::Entered(Self { context: context.clone(), key }));
                }
                claim_table::ClaimAdmission::Ended(answer) => return Ok(Admitted::Ended(answer)),
                claim_table::ClaimAdmission::Refused(refusal) => return Err(refused(refusal)),
                claim_table::ClaimAdmission::Full => return Err(full()),
                claim_table::ClaimAdmission::Busy(ended) => ended,
            };
            if http_client::before(until, ended).await.is_none() {
                let phase = context.tables.claims.lock().phase(&key);
                return Err(match phase {
                    Some(types::ClaimPhase::Abandoned) | None => {
                        refused(claim::ClaimRefusal::StoreUnavailable)
                    }
                    Some(_) => open(context, row),
                });
            }
        }
    }

    fn abandon(&self) {
        self.context.tables.claims.lock().abandon(&self.key);
    }

    fn keep(&self, answer: &claim_table::ClaimAnswer) {
        self.context.tables.claims.lock().keep(&self.key, answer.clone());
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
                log::warn!("claims: row cannot be read. error={failure}");
                claim::StoreEvent::ReadFailed
            }
        }
    }
}

impl Drop for ClaimEntry {
    fn drop(&mut self) {
        self.context.tables.claims.lock().leave(&self.key);
    }
}

/// One request from its claim to its last row.
struct ClaimRun {
    entry: ClaimEntry,
    deadline: time::Instant,
    reply: async_channel::Sender<ClaimResult>,
    _active: tally::ActivityGuard,
}

impl ClaimRun {
    async fn carry<Work>(self, asked: claim::RequestClaim<claim::AcquiringState>, work: Work)
    where
        Work: Future<Output = Result<failure::WholeAnswer, failure::CallFailure>> + Send,
    {
        let mut step = asked.begin();
        loop {
            step = match step {
                claim::AcquireStep::Write(claim, condition) => {
                    let written = self.entry.write(claim.row(), condition);
                    let written = http_client::before(claim.acquire_deadline(), written).await;
                    self.advance(claim, written.unwrap_or(claim::StoreEvent::Unknown))
                }
                claim::AcquireStep::Read(claim) => {
                    let read =
                        http_client::before(claim.acquire_deadline(), self.entry.read()).await;
                    self.advance(claim, read.unwrap_or(claim::StoreEvent::ReadFailed))
                }
                claim::AcquireStep::Wait(claim) => {
                    async_io::Timer::after(jittered(ASK_PAUSE)).await;
                    claim::AcquireStep::Read(claim)
                }
                claim::AcquireStep::Held(claim) => return self.send(claim, work).await,
                claim::AcquireStep::Completed(row) => return self.answer(self.load(*row).await),
                claim::AcquireStep::Unresolved(row) => {
                    return self.answer(Err(open(&self.entry.context, &row)));
                }
                claim::AcquireStep::Refuse(refusal) => return self.answer(Err(refused(refusal))),
                claim::AcquireStep::Abandon(settlement, refusal) => {
                    self.entry.abandon();
                    self.answer(Err(refused(refusal)));
                    return self.settle(*settlement, None).await;
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
        Work: Future<Output = Result<failure::WholeAnswer, failure::CallFailure>> + Send,
    {
        let claim = match claim.send(time::Instant::now()) {
            Ok(claim) => claim,
            Err(settlement) => {
                self.entry.abandon();
                let result = Err(refused(claim::ClaimRefusal::DeadlinePassed));
                return self.settle(*settlement, Some(result)).await;
            }
        };
        match work.await {
            Err(failure) if failure.verdict() == types::CallVerdict::NotRun => {
                self.entry.abandon();
                self.settle(claim.release(), Some(Err(failure))).await;
            }
            ended => self.close(claim, ended).await,
        }
    }

    async fn close(
        self,
        claim: claim::RequestClaim<claim::SentState>,
        ended: Result<failure::WholeAnswer, failure::CallFailure>,
    ) {
        let answer = ended.map_or_else(
            |failure| failed_answer(&failure, claim.request()),
            claim_table::ClaimAnswer::new,
        );
        self.entry.keep(&answer);
        let outcome = outcome(&answer, claim.token());
        let mut result = Some(Ok(answer.clone()));
        if let Some(name) = &outcome.object {
            let body = answer.answer.body;
            while self.entry.write_object(name, &body).await.is_err() {
                self.answer_first(&mut result);
                async_io::Timer::after(jittered(SETTLE_PAUSE)).await;
            }
        }
        self.settle(claim.close(outcome), result).await;
    }

    /// Brings the row to its last state. The result goes to the caller once that is done, or as
    /// soon as the store fails to answer.
    async fn settle(
        &self,
        mut settlement: row_finalizer::RowFinalizer,
        mut result: Option<ClaimResult>,
    ) {
        let mut step = settlement.begin();
        while step != row_finalizer::FinalizeStep::Done {
            let event = self.settle_step(&settlement, step, result.is_some()).await;
            if matches!(
                event,
                claim::StoreEvent::Unknown
                    | claim::StoreEvent::Unsent
                    | claim::StoreEvent::ReadFailed
            ) {
                self.answer_first(&mut result);
            }
            step = settlement.advance(&event);
        }
        self.answer_first(&mut result);
    }

    async fn settle_step(
        &self,
        settlement: &row_finalizer::RowFinalizer,
        step: row_finalizer::FinalizeStep,
        awaited: bool,
    ) -> claim::StoreEvent {
        let event = async {
            match step {
                row_finalizer::FinalizeStep::Write(condition) => {
                    self.entry.write(settlement.row(), condition).await
                }
                row_finalizer::FinalizeStep::Wait => {
                    async_io::Timer::after(jittered(SETTLE_PAUSE)).await;
                    self.entry.read().await
                }
                row_finalizer::FinalizeStep::Read | row_finalizer::FinalizeStep::Done => {
                    self.entry.read().await
                }
            }
        };
        if !awaited {
            return event.await;
        }
        http_client::before(self.deadline, event).await.unwrap_or(claim::StoreEvent::Unknown)
    }

    fn answer_first(&self, result: &mut Option<ClaimResult>) {
        if let Some(result) = result.take() {
            self.answer(result);
        }
    }

    /// Returns the answer of a request that ended earlier.
    async fn load(&self, row: types::ClaimRow) -> ClaimResult {
        let body = match (row.answer, &row.object) {
            (Some(answer), _) => answer.as_bytes().to_vec().into(),
            (None, Some(name)) => self.load_object(name).await?,
            (None, None) => ids::Payload::new(),
        };
        Ok(claim_table::ClaimAnswer {
            answer: failure::WholeAnswer { status: row.status.unwrap_or_default(), body },
            problem: row.problem,
            verdict: row.verdict.unwrap_or(types::CallVerdict::MayHaveRun),
        })
    }

    async fn load_object(&self, name: &ids::Text) -> Result<ids::Payload, failure::CallFailure> {
        let read = Box::pin(self.entry.context.platform.read_object(name)).await;
        let verdict = types::CallVerdict::MayHaveRun;
        let body = read.map_err(|failure| failure.with_verdict(verdict))?;
        body.ok_or_else(|| {
            let detail = format!("the object {name} of an earlier answer is missing");
            failure::CallFailure::new(types::ProblemKind::OutcomeUnknown, detail)
                .with_verdict(verdict)
        })
    }
}

fn outcome(answer: &claim_table::ClaimAnswer, token: &ids::ClaimToken) -> claim::ClaimOutcome {
    let body = &answer.answer.body;
    let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= INLINE_ANSWER_BYTES);
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
        answer: failure::WholeAnswer { status: body.status, body: bytes.into() },
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

fn refused(refusal: claim::ClaimRefusal) -> failure::CallFailure {
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
    failure::CallFailure::new(kind, detail).with_retry_after(RESEND_PAUSE)
}

/// Returns the failure of a request whose key is held by the claim of `row`.
fn open(context: &context::NodeContext, row: &types::ClaimRow) -> failure::CallFailure {
    let failure = if holder_is_gone(context, row) {
        let detail = format!("{} ended before the outcome of {} was stored", row.node, row.request);
        failure::CallFailure::new(types::ProblemKind::OutcomeUnknown, detail)
    } else {
        let detail = format!("{} of {} is in progress", row.request, row.node);
        failure::CallFailure::new(types::ProblemKind::InProgress, detail)
            .with_retry_after(RESEND_PAUSE)
    };
    failure.with_verdict(types::CallVerdict::MayHaveRun)
}

/// Returns whether the process that holds a claim is known to have ended. It decides what a caller
/// is told, never whether a request may run.
fn holder_is_gone(context: &context::NodeContext, row: &types::ClaimRow) -> bool {
    if row.node == context.settings.node {
        return row.start_id != context.start;
    }
    let members = context.tables.members.lock();
    let entry = members.entry(&row.node);
    entry.is_some_and(|entry| entry.record().start_id != row.start_id || !entry.is_live())
}

fn full() -> failure::CallFailure {
    let detail = "too many claims are in progress at this node";
    failure::CallFailure::new(types::ProblemKind::Overloaded, detail).with_retry_after(RESEND_PAUSE)
}

/// Returns a pause of half to one and a half times `pause`, so that nodes spread out.
fn jittered(pause: time::Duration) -> time::Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}
