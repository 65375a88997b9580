//! Model check of claims: random schedules of loss, delay, freeze, crash and outage.
//!
//! Requests with one key arrive at any time. Operations on the store wait in a list, take effect in
//! any order, and their answers come or are lost, before the effect too. An operation whose sender
//! has given up can still take effect.
#![allow(clippy::disallowed_methods)]

use bolero::check;
use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::{ids, types};
use std::time;

const ASK_LIMIT: time::Duration = time::Duration::from_millis(50);
const DEADLINE: time::Duration = time::Duration::from_millis(100);
const TICK: time::Duration = time::Duration::from_millis(10);
const REQUEST_LIMIT: usize = 6;
const DRAIN_STEPS: usize = 400;

/// What a request waits for.
enum Waiting {
    Asked(claim::RequestClaim<claim::AcquiringState>),
    Held(claim::RequestClaim<claim::HeldState>),
    Sent(claim::RequestClaim<claim::SentState>),
    Settling(row_finalizer::RowFinalizer),
    Ended,
}

/// What a request told its caller.
#[derive(Clone, Debug, PartialEq)]
enum Told {
    Nothing,
    NotRun,
    MayHaveRun,
    Answer(ids::Text),
}

struct Request {
    waiting: Waiting,
    told: Told,
    runs: u32,
    crashed: bool,
}

impl Request {
    fn is_running(&self) -> bool {
        !self.crashed && matches!(self.waiting, Waiting::Held(_) | Waiting::Sent(_))
    }
}

/// An operation on its way to the store.
struct Operation {
    request: Option<usize>,
    write: Option<(types::ClaimRow, types::RowCondition)>,
    event: Option<claim::StoreEvent>,
}

struct Model {
    now: time::Instant,
    row: Option<claim::StoredClaim>,
    older: Option<claim::StoredClaim>,
    version: ids::RowVersion,
    operations: Vec<Operation>,
    requests: Vec<Request>,
}

impl Model {
    fn new() -> Self {
        Self {
            now: time::Instant::now(),
            row: None,
            older: None,
            version: 0,
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
            start: 1,
            status: None,
            token: format!("token-{index}").into(),
            verdict: None,
            workspace: "workspace".into(),
        }
    }

    fn arrive(&mut self) {
        let index = self.requests.len();
        let until = self.now + ASK_LIMIT;
        let asked = claim::RequestClaim::new(Self::row_of(index), until, self.now + DEADLINE);
        let waiting = Waiting::Ended;
        self.requests.push(Request { waiting, told: Told::Nothing, runs: 0, crashed: false });
        self.follow(index, asked.begin());
    }

    fn follow(&mut self, index: usize, step: claim::AcquireStep) {
        let (waiting, told) = match step {
            claim::AcquireStep::Write(claim, condition) => {
                self.put(index, Some((claim.row().clone(), condition)));
                (Waiting::Asked(claim), None)
            }
            claim::AcquireStep::Read(claim) | claim::AcquireStep::Wait(claim) => {
                self.put(index, None);
                (Waiting::Asked(claim), None)
            }
            claim::AcquireStep::Held(claim) => (Waiting::Held(claim), None),
            claim::AcquireStep::Completed(row) => (Waiting::Ended, Some(told_of(&row))),
            claim::AcquireStep::Unresolved(_) => (Waiting::Ended, Some(Told::MayHaveRun)),
            claim::AcquireStep::Refuse(_) => (Waiting::Ended, Some(Told::NotRun)),
            claim::AcquireStep::Abandon(settlement, _) => {
                self.settle(index, *settlement);
                return self.requests[index].told = Told::NotRun;
            }
        };
        self.requests[index].waiting = waiting;
        if let Some(told) = told {
            self.requests[index].told = told;
        }
    }

    fn settle(&mut self, index: usize, settlement: row_finalizer::RowFinalizer) {
        let step = settlement.begin();
        self.follow_settlement(index, settlement, step);
    }

    fn follow_settlement(
        &mut self,
        index: usize,
        settlement: row_finalizer::RowFinalizer,
        step: row_finalizer::FinalizeStep,
    ) {
        let write = match step {
            row_finalizer::FinalizeStep::Done => {
                return self.requests[index].waiting = Waiting::Ended;
            }
            row_finalizer::FinalizeStep::Write(condition) => {
                Some((settlement.row().clone(), condition))
            }
            row_finalizer::FinalizeStep::Read | row_finalizer::FinalizeStep::Wait => None,
        };
        self.put(index, write);
        self.requests[index].waiting = Waiting::Settling(settlement);
    }

    fn put(&mut self, index: usize, write: Option<(types::ClaimRow, types::RowCondition)>) {
        self.operations.push(Operation { request: Some(index), write, event: None });
    }

    /// Lets an operation take effect at the store.
    fn apply(&mut self, number: usize, stale: bool) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        if operation.event.is_some() {
            return;
        }
        let version = self.row.as_ref().map_or(0, |row| row.version);
        operation.event = Some(match &operation.write {
            None => {
                claim::StoreEvent::Read(if stale { self.older.clone() } else { self.row.clone() })
            }
            Some((row, condition)) => {
                let holds = match condition {
                    types::RowCondition::Absent => version == 0,
                    types::RowCondition::Version(wanted) => version == *wanted,
                    types::RowCondition::Any => true,
                };
                if holds {
                    self.version += 1;
                    let stored = claim::StoredClaim { row: row.clone(), version: self.version };
                    self.older = self.row.replace(stored);
                    claim::StoreEvent::Committed(self.version)
                } else {
                    claim::StoreEvent::Rejected
                }
            }
        });
    }

    /// Brings an operation's answer to its request, or loses it.
    fn deliver(&mut self, number: usize, lost: bool) {
        let Some(operation) = self.operations.get_mut(number) else { return };
        let Some(index) = operation.request else { return };
        let event = match (&operation.event, lost) {
            (Some(event), false) => event.clone(),
            _ if operation.write.is_some() => claim::StoreEvent::Unknown,
            _ => claim::StoreEvent::ReadFailed,
        };
        operation.request = None;
        if operation.event.is_some() || operation.write.is_none() {
            self.operations.swap_remove(number);
        }
        self.receive(index, event);
    }

    fn receive(&mut self, index: usize, event: claim::StoreEvent) {
        if self.requests[index].crashed {
            return;
        }
        match std::mem::replace(&mut self.requests[index].waiting, Waiting::Ended) {
            Waiting::Asked(claim) => {
                let step = claim.advance(event, self.now);
                self.follow(index, step);
            }
            Waiting::Settling(mut settlement) => {
                let step = settlement.advance(&event);
                self.follow_settlement(index, settlement, step);
            }
            other => self.requests[index].waiting = other,
        }
    }

    /// Lets a request that holds its claim go on; `choice` decides what its endpoint does.
    fn go_on(&mut self, index: usize, choice: u8) {
        let Some(request) = self.requests.get_mut(index) else { return };
        if request.crashed {
            return;
        }
        match std::mem::replace(&mut request.waiting, Waiting::Ended) {
            Waiting::Held(claim) => match claim.send(self.now) {
                Ok(sent) => request.waiting = Waiting::Sent(sent),
                Err(settlement) => {
                    request.told = Told::NotRun;
                    self.settle(index, *settlement);
                }
            },
            Waiting::Sent(claim) => self.end(index, claim, choice),
            other => request.waiting = other,
        }
    }

    fn end(&mut self, index: usize, claim: claim::RequestClaim<claim::SentState>, choice: u8) {
        let request = &mut self.requests[index];
        if choice.is_multiple_of(3) {
            request.told = Told::NotRun;
            return self.settle(index, claim.release());
        }
        request.runs += 1;
        let text: ids::Text = format!("answer-{index}").into();
        let (verdict, told) = if choice % 3 == 1 {
            (types::CallVerdict::Ran, Told::Answer(text.clone()))
        } else {
            (types::CallVerdict::MayHaveRun, Told::MayHaveRun)
        };
        request.told = told;
        let outcome = claim::ClaimOutcome {
            answer: Some(text),
            object: None,
            problem: None,
            status: 200,
            verdict,
        };
        self.settle(index, claim.close(outcome));
    }

    fn crash(&mut self, index: usize) {
        let Some(request) = self.requests.get_mut(index) else { return };
        if request.crashed {
            return;
        }
        request.crashed = true;
        if matches!(request.waiting, Waiting::Sent(_)) {
            request.runs += 1;
        }
    }

    fn step(&mut self, kind: u8, choice: u8) {
        let operation = usize::from(choice) % self.operations.len().max(1);
        let request = usize::from(choice) % self.requests.len().max(1);
        match kind % 10 {
            0 if self.requests.len() < REQUEST_LIMIT => self.arrive(),
            0 | 1 => self.go_on(request, choice / 7),
            2 | 3 => self.apply(operation, choice > 200),
            4 | 5 => {
                self.apply(operation, choice > 200);
                self.deliver(operation, false);
            }
            6 => self.deliver(operation, true),
            7 => self.now += TICK * u32::from(choice % 8),
            8 => self.go_on(request, choice),
            _ if choice < 32 => self.crash(request),
            _ => self.deliver(operation, false),
        }
        self.check();
    }

    /// Lets everything that is under way come to its end with a store that works.
    fn drain(&mut self) {
        for _ in 0..DRAIN_STEPS {
            for index in 0..self.requests.len() {
                self.go_on(index, 1);
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
        panic!("the store is never left alone");
    }

    fn check(&self) {
        let runs: u32 = self.requests.iter().map(|request| request.runs).sum();
        assert!(runs <= 1, "the request ran {runs} times");
        for request in &self.requests {
            assert!(request.told != Told::NotRun || request.runs == 0, "not-run was not true");
        }
        let answers: Vec<_> = self
            .requests
            .iter()
            .filter(|request| matches!(request.told, Told::Answer(_)))
            .map(|request| &request.told)
            .collect();
        assert!(answers.windows(2).all(|pair| pair[0] == pair[1]), "answers differ");
    }
}

fn told_of(row: &types::ClaimRow) -> Told {
    match (row.verdict, &row.answer) {
        (Some(types::CallVerdict::Ran), Some(answer)) => Told::Answer(answer.clone()),
        _ => Told::MayHaveRun,
    }
}

/// Runs a schedule, then lets one more request arrive at a store that works.
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

/// Whether the row rightly says that nobody knows the outcome.
fn is_unknown(model: &Model) -> bool {
    let Some(stored) = &model.row else { return false };
    let crashed =
        model.requests.iter().enumerate().any(|(index, request)| {
            request.crashed && Model::row_of(index).token == stored.row.token
        });
    let held = stored.row.phase == types::ClaimPhase::Held;
    (held && crashed) || stored.row.verdict == Some(types::CallVerdict::MayHaveRun)
}

#[test]
fn any_schedule() {
    check!().with_iterations(20_000).with_type::<Vec<(u8, u8)>>().for_each(|schedule| {
        let model = run(schedule);
        let told = &model.requests[model.requests.len() - 1].told;
        let settled = match told {
            Told::Answer(_) => true,
            Told::MayHaveRun => is_unknown(&model),
            Told::NotRun | Told::Nothing => false,
        };
        assert!(settled, "a resend is stuck: {told:?}");
    });
}
