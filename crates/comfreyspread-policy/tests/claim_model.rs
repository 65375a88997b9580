//! Model check of claims over random schedules of loss, delay, pauses, crashes and outages.
//!
//! Requests with the same key arrive at any time. Operations on the store are queued and take
//! effect in any order. Their replies arrive or are lost, possibly before the operation takes
//! effect. An operation can still take effect after its sender has timed out. In some schedules the
//! store comes back from a copy: rows are lost, and versions are given out again.
#![allow(clippy::disallowed_methods)]

use bolero::check;
use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::{ids, types};
use std::time;

const ACQUIRE_TIMEOUT: time::Duration = time::Duration::from_millis(50);
const SEND_TIMEOUT: time::Duration = time::Duration::from_millis(100);
const CLOCK_STEP: time::Duration = time::Duration::from_millis(10);
const MAX_REQUESTS: usize = 6;
const DRAIN_STEPS: usize = 400;

/// State of a request at its node.
enum RequestState {
    Acquiring(claim::RequestClaim<claim::AcquiringState>),
    Held(claim::RequestClaim<claim::HeldState>),
    Sent(claim::RequestClaim<claim::SentState>),
    Finalizing(row_finalizer::RowFinalizer),
    Done,
}

/// Response that the caller received.
#[derive(Clone, Debug, PartialEq)]
enum Response {
    Pending,
    NotRun,
    MayHaveRun,
    Answer(ids::Text),
}

struct Request {
    state: RequestState,
    response: Response,
    runs: u32,
    crashed: bool,
    era: ids::StoreEra,
}

impl Request {
    fn is_running(&self) -> bool {
        !self.crashed && matches!(self.state, RequestState::Held(_) | RequestState::Sent(_))
    }
}

/// An operation that was sent to the store.
struct Operation {
    request: Option<usize>,
    write: Option<(types::ClaimRow, types::RowPrecondition)>,
    event: Option<claim::StoreEvent>,
    era: ids::StoreEra,
}

/// Era of the store in which claims are granted.
const CLAIM_ERA: ids::StoreEra = 0;

/// The row, the one before it and the newest version.
#[derive(Clone, Default)]
struct Store {
    row: Option<claim::StoredClaim>,
    prior: Option<claim::StoredClaim>,
    version: ids::RowVersion,
}

struct Model {
    now: time::Instant,
    store: Store,
    copy: Store,
    era: ids::StoreEra,
    operations: Vec<Operation>,
    requests: Vec<Request>,
}

impl Model {
    fn new() -> Self {
        Self {
            now: time::Instant::now(),
            store: Store::default(),
            copy: Store::default(),
            era: CLAIM_ERA,
            operations: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn row_of(index: usize) -> types::ClaimRow {
        types::ClaimRow {
            answer: None,
            digest: "body".into(),
            key: "key".into(),
            node: format!("node-{}", index % 3).into(),
            object: None,
            phase: types::ClaimPhase::Held,
            problem: None,
            request: format!("request-{index}").into(),
            start_id: 1,
            status: None,
            token: format!("token-{index}").into(),
            verdict: None,
            workspace: "workspace".into(),
        }
    }

    fn arrive(&mut self) {
        let index = self.requests.len();
        let until = self.now + ACQUIRE_TIMEOUT;
        let claim = claim::RequestClaim::new(Self::row_of(index), until, self.now + SEND_TIMEOUT);
        let state = RequestState::Done;
        let response = Response::Pending;
        self.requests.push(Request { state, response, runs: 0, crashed: false, era: CLAIM_ERA });
        self.follow(index, claim.begin());
    }

    fn follow(&mut self, index: usize, step: claim::AcquireStep) {
        let (state, response) = match step {
            claim::AcquireStep::Write(claim, condition) => {
                self.enqueue(index, Some((claim.row().clone(), condition)));
                (RequestState::Acquiring(claim), None)
            }
            claim::AcquireStep::Read(claim) | claim::AcquireStep::Wait(claim) => {
                self.enqueue(index, None);
                (RequestState::Acquiring(claim), None)
            }
            claim::AcquireStep::Held(claim) => (RequestState::Held(claim), None),
            claim::AcquireStep::Completed(row) => (RequestState::Done, Some(response_of(&row))),
            claim::AcquireStep::Unresolved(_) => (RequestState::Done, Some(Response::MayHaveRun)),
            claim::AcquireStep::Refuse(_) => (RequestState::Done, Some(Response::NotRun)),
            claim::AcquireStep::Abandon(finalizer, _) => {
                self.finalize(index, *finalizer);
                return self.requests[index].response = Response::NotRun;
            }
        };
        self.requests[index].state = state;
        if let Some(response) = response {
            self.requests[index].response = response;
        }
    }

    fn finalize(&mut self, index: usize, mut finalizer: row_finalizer::RowFinalizer) {
        if self.requests[index].era != CLAIM_ERA {
            finalizer.lose_history();
        }
        let step = finalizer.begin();
        self.follow_finalizer(index, finalizer, step);
    }

    fn follow_finalizer(
        &mut self,
        index: usize,
        finalizer: row_finalizer::RowFinalizer,
        step: row_finalizer::FinalizeStep,
    ) {
        let write = match step {
            row_finalizer::FinalizeStep::Done => {
                return self.requests[index].state = RequestState::Done;
            }
            row_finalizer::FinalizeStep::Write(condition) => {
                Some((finalizer.row().clone(), condition))
            }
            row_finalizer::FinalizeStep::Read | row_finalizer::FinalizeStep::Wait => None,
        };
        self.enqueue(index, write);
        self.requests[index].state = RequestState::Finalizing(finalizer);
    }

    fn enqueue(&mut self, index: usize, write: Option<(types::ClaimRow, types::RowPrecondition)>) {
        self.operations.push(Operation { request: Some(index), write, event: None, era: 0 });
    }

    /// Applies an operation at the store.
    fn apply(&mut self, number: usize, stale: bool) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        if operation.event.is_some() {
            return;
        }
        operation.era = self.era;
        let store = &mut self.store;
        let version = store.row.as_ref().map_or(0, |row| row.version);
        operation.event = Some(match &operation.write {
            None => {
                claim::StoreEvent::Read(if stale { store.prior.clone() } else { store.row.clone() })
            }
            Some((row, condition)) => {
                let holds = match condition {
                    types::RowPrecondition::Absent => version == 0,
                    types::RowPrecondition::Version(wanted) => version == *wanted,
                    types::RowPrecondition::Any => true,
                };
                if holds {
                    store.version += 1;
                    let stored = claim::StoredClaim { row: row.clone(), version: store.version };
                    store.prior = store.row.replace(stored);
                    claim::StoreEvent::Committed(store.version)
                } else {
                    claim::StoreEvent::Rejected
                }
            }
        });
    }

    /// Delivers an operation's reply to its request, or drops it.
    fn deliver(&mut self, number: usize, lost: bool) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        let Some(index) = operation.request else { return };
        let known = self.requests[index].era;
        let lost = lost || operation.era < known;
        let era = if lost || operation.event.is_none() { known } else { operation.era };
        let event = match (&operation.event, lost) {
            (Some(event), false) => event.clone(),
            _ if operation.write.is_some() => claim::StoreEvent::Unknown,
            _ => claim::StoreEvent::ReadFailed,
        };
        operation.request = None;
        if operation.event.is_some() || operation.write.is_none() {
            self.operations.swap_remove(number);
        }
        self.requests[index].era = era;
        self.receive(index, event, era != known);
    }

    fn receive(&mut self, index: usize, event: claim::StoreEvent, restored: bool) {
        if self.requests[index].crashed {
            return;
        }
        match std::mem::replace(&mut self.requests[index].state, RequestState::Done) {
            RequestState::Acquiring(claim) => {
                let history = match self.requests[index].era {
                    CLAIM_ERA => claim::ClaimHistory::Intact,
                    _ => claim::ClaimHistory::Lost,
                };
                let step = claim.with_history(history).advance(event, self.now);
                self.follow(index, step);
            }
            RequestState::Finalizing(mut finalizer) => {
                if restored {
                    finalizer.lose_history();
                }
                let step = finalizer.advance(&event);
                self.follow_finalizer(index, finalizer, step);
            }
            other => self.requests[index].state = other,
        }
    }

    /// Resumes a request that holds its claim; `choice` selects what its endpoint does.
    fn resume(&mut self, index: usize, choice: u8) {
        let Some(request) = self.requests.get_mut(index) else { return };
        if request.crashed {
            return;
        }
        match std::mem::replace(&mut request.state, RequestState::Done) {
            RequestState::Held(claim) => match claim.send(self.now) {
                Ok(sent) => request.state = RequestState::Sent(sent),
                Err(finalizer) => {
                    request.response = Response::NotRun;
                    self.finalize(index, *finalizer);
                }
            },
            RequestState::Sent(claim) => self.complete(index, claim, choice),
            other => request.state = other,
        }
    }

    fn complete(&mut self, index: usize, claim: claim::RequestClaim<claim::SentState>, choice: u8) {
        let request = &mut self.requests[index];
        if choice.is_multiple_of(3) {
            request.response = Response::NotRun;
            return self.finalize(index, claim.release());
        }
        request.runs += 1;
        let text: ids::Text = format!("answer-{index}").into();
        let (verdict, response) = if choice % 3 == 1 {
            (types::CallVerdict::Ran, Response::Answer(text.clone()))
        } else {
            (types::CallVerdict::MayHaveRun, Response::MayHaveRun)
        };
        request.response = response;
        let outcome = claim::ClaimOutcome {
            answer: Some(text),
            object: None,
            problem: None,
            status: 200,
            verdict,
        };
        self.finalize(index, claim.close(outcome));
    }

    fn crash(&mut self, index: usize) {
        let Some(request) = self.requests.get_mut(index) else { return };
        if request.crashed {
            return;
        }
        request.crashed = true;
        if matches!(request.state, RequestState::Sent(_)) {
            request.runs += 1;
        }
    }

    fn step(&mut self, kind: u8, choice: u8) {
        let operation = usize::from(choice) % self.operations.len().max(1);
        let request = usize::from(choice) % self.requests.len().max(1);
        match kind % 10 {
            0 if self.requests.len() < MAX_REQUESTS => self.arrive(),
            0 | 1 => self.resume(request, choice / 7),
            2 | 3 => self.apply(operation, choice > 200),
            4 | 5 => {
                self.apply(operation, choice > 200);
                self.deliver(operation, false);
            }
            6 => self.deliver(operation, true),
            7 => self.now += CLOCK_STEP * u32::from(choice % 8),
            8 => self.resume(request, choice),
            _ if choice < 32 => self.crash(request),
            _ => self.deliver(operation, false),
        }
        self.check();
    }

    /// Does a step of a schedule in which the store comes back from a copy.
    fn step_with_restores(&mut self, kind: u8, choice: u8) {
        match kind % 12 {
            10 => self.copy = self.store.clone(),
            11 => {
                self.store = self.copy.clone();
                self.era += 1;
            }
            kind => self.step(kind, choice),
        }
    }

    /// Completes all outstanding operations against a healthy store.
    fn drain(&mut self) {
        for _ in 0..DRAIN_STEPS {
            for index in 0..self.requests.len() {
                self.resume(index, 1);
            }
            if self.operations.is_empty() && !self.requests.iter().any(Request::is_running) {
                return;
            }
            self.apply(0, false);
            if self.operations.is_empty() {
                continue;
            }
            if self.operations[0].request.is_some() {
                self.deliver(0, false);
            } else {
                self.operations.swap_remove(0);
            }
            self.check();
        }
        panic!("operations are still outstanding after {DRAIN_STEPS} steps");
    }

    fn check(&self) {
        let runs: u32 = self.requests.iter().map(|request| request.runs).sum();
        assert!(runs <= 1, "the request ran {runs} times");
        for request in &self.requests {
            assert!(
                request.response != Response::NotRun || request.runs == 0,
                "a request reported as not run has run"
            );
        }
        let answers: Vec<_> = self
            .requests
            .iter()
            .filter(|request| matches!(request.response, Response::Answer(_)))
            .map(|request| &request.response)
            .collect();
        assert!(answers.windows(2).all(|pair| pair[0] == pair[1]), "answers differ");
    }
}

fn response_of(row: &types::ClaimRow) -> Response {
    match (row.verdict, &row.answer) {
        (Some(types::CallVerdict::Ran), Some(answer)) => Response::Answer(answer.clone()),
        _ => Response::MayHaveRun,
    }
}

/// Runs a schedule, then sends one more request to a healthy store.
fn run(schedule: &[(u8, u8)]) -> Model {
    let mut model = Model::new();
    model.arrive();
    for (kind, choice) in schedule {
        model.step(*kind, *choice);
    }
    model.drain();
    model.arrive();
    model.drain();
    model
}

/// Whether the stored row is allowed to have no known outcome.
fn is_unknown(model: &Model) -> bool {
    let Some(stored) = &model.store.row else { return false };
    let crashed =
        model.requests.iter().enumerate().any(|(index, request)| {
            request.crashed && Model::row_of(index).token == stored.row.token
        });
    let held = stored.row.phase == types::ClaimPhase::Held;
    (held && crashed) || stored.row.verdict == Some(types::CallVerdict::MayHaveRun)
}

/// A claim that the store lost must not let its request run twice, nor keep its holder busy for ever.
#[test]
fn restored_store() {
    check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let mut model = Model::new();
        model.arrive();
        for (kind, choice) in schedule {
            model.step_with_restores(*kind, *choice);
        }
        model.drain();
        model.arrive();
        model.drain();
        assert_ne!(model.requests[model.requests.len() - 1].response, Response::Pending);
    });
}

#[test]
fn any_schedule() {
    check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let model = run(schedule);
        let response = &model.requests[model.requests.len() - 1].response;
        let is_resolved = match response {
            Response::Answer(_) => true,
            Response::MayHaveRun => is_unknown(&model),
            Response::NotRun | Response::Pending => false,
        };
        assert!(is_resolved, "a retry got no final response: {response:?}");
    });
}
