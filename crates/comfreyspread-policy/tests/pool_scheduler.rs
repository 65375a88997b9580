//! Pool scheduler, with random operations and in specific cases.
#![allow(clippy::disallowed_methods)]

mod common;

use comfreyspread_policy::{call_queue, endpoint_lifecycle, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const MILLISECOND: time::Duration = time::Duration::from_millis(1);

/// A random operation on the scheduler.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    Enqueue { workspace: u8, level: u8, budget_ms: u8, exclusive: bool, prefix: u8, excluded: u8 },
    Finish { index: u8, outcome: u8, start_id: u8 },
    Cancel { index: u8 },
    Wait { ms: u8 },
    SetAvailable { endpoint: u8, available: bool },
}

/// A scheduler with the calls that it has decided on, to check it against.
struct Model {
    scheduler: pool_scheduler::PoolScheduler,
    now: time::Instant,
    waiting: Vec<pool_scheduler::QueueTicket>,
    running: IndexMap<ids::TicketId, RunningCall>,
}

#[derive(Clone, Debug)]
struct RunningCall {
    endpoint: ids::EndpointId,
    exclusive: bool,
}

impl Model {
    fn new() -> Self {
        let mut scheduler = pool_scheduler::PoolScheduler::new(common::pool());
        for index in 0..3 {
            scheduler.set_available(&common::endpoint(index), true);
        }
        let now = time::Instant::now();
        Self { scheduler, now, waiting: Vec::new(), running: IndexMap::new() }
    }

    fn apply(&mut self, step: Step, exclusive_calls: &mut IndexMap<ids::TicketId, bool>) {
        match step {
            Step::Enqueue { workspace, level, budget_ms, exclusive, prefix, excluded } => {
                let mut call = common::call(workspace % 4, self.now);
                call.priority = common::priority(level);
                call.deadline = self.now + MILLISECOND * u32::from(budget_ms);
                call.exclusive = exclusive;
                call.prefix = prefix.into();
                call.excluded_endpoints = vec![common::endpoint(usize::from(excluded) % 5)];
                if let Ok(ticket) = self.scheduler.enqueue(call, self.now) {
                    self.waiting.push(ticket);
                    exclusive_calls.insert(ticket.id, exclusive);
                }
            }
            Step::Finish { index, outcome, start_id } => {
                if self.running.is_empty() {
                    return;
                }
                let index = usize::from(index) % self.running.len();
                let Some((ticket, _)) = self.running.swap_remove_index(index) else { return };
                self.scheduler.finish(ticket, outcome_of(outcome, start_id), self.now);
            }
            Step::Cancel { index } => {
                if self.waiting.is_empty() {
                    return;
                }
                let ticket = self.waiting.swap_remove(usize::from(index) % self.waiting.len());
                assert!(self.scheduler.cancel(ticket.id), "a queued call can be cancelled");
                assert!(!self.scheduler.cancel(ticket.id), "a call can be cancelled only once");
            }
            Step::Wait { ms } => self.now += MILLISECOND * u32::from(ms),
            Step::SetAvailable { endpoint, available } => {
                let endpoint = common::endpoint(usize::from(endpoint) % 3);
                self.scheduler.set_available(&endpoint, available);
            }
        }
        self.advance(exclusive_calls);
    }

    fn advance(&mut self, exclusive_calls: &IndexMap<ids::TicketId, bool>) {
        let mut steps = self.scheduler.reject_unservable();
        while let Some(step) = self.scheduler.next(self.now) {
            steps.push(step);
        }
        for step in steps {
            let (pool_scheduler::ScheduleDecision::Start { ticket, .. }
            | pool_scheduler::ScheduleDecision::Refuse { ticket, .. }) = &step;
            let position = self.waiting.iter().position(|waiting| waiting.id == *ticket);
            let position =
                position.expect("one decision for each call, and none after it was cancelled");
            let ticket_waiting = self.waiting.swap_remove(position);
            if let pool_scheduler::ScheduleDecision::Start { ticket, endpoint } = step {
                assert!(
                    ticket_waiting.latest_start >= self.now,
                    "no call starts after its latest start"
                );
                let exclusive = exclusive_calls[&ticket];
                self.running.insert(ticket, RunningCall { endpoint, exclusive });
            }
        }
    }

    fn check(&self) {
        for (endpoint, state) in self.scheduler.endpoints() {
            let calls = self.running.values().filter(|call| call.endpoint == *endpoint);
            let calls: Vec<_> = calls.collect();
            assert!(state.running() as usize >= calls.len(), "every running call counts");
            let exclusive = calls.iter().any(|call| call.exclusive);
            assert!(
                !exclusive || calls.len() == 1,
                "no other call runs beside one that runs alone"
            );
        }
        assert_eq!(self.scheduler.queued(), self.waiting.len(), "no call is lost");
    }
}

fn outcome_of(choice: u8, start_id: u8) -> pool_endpoint::CallOutcome {
    let start_id = Some(u64::from(start_id % 2));
    let report =
        endpoint_lifecycle::SelfReport { start_id, ..endpoint_lifecycle::SelfReport::default() };
    match choice % 12 {
        0 => pool_endpoint::CallOutcome::Crashed,
        1 => pool_endpoint::CallOutcome::Unreachable,
        2 => pool_endpoint::CallOutcome::TimedOut,
        3 => pool_endpoint::CallOutcome::Abandoned,
        4 => pool_endpoint::CallOutcome::Failed,
        5 => pool_endpoint::CallOutcome::Unsent,
        _ => pool_endpoint::CallOutcome::Answered { report, latency: Some(MILLISECOND * 5) },
    }
}

#[test]
fn answered_once() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::new();
        let mut exclusive_calls = IndexMap::new();
        for step in steps {
            model.apply(*step, &mut exclusive_calls);
            model.check();
        }
    });
}

#[test]
fn limit_kept() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::new();
        let mut exclusive_calls = IndexMap::new();
        for step in steps {
            let before = started_by_endpoint(&model);
            model.apply(*step, &mut exclusive_calls);
            for (endpoint, calls) in started_by_endpoint(&model) {
                let grew = calls > before.get(&endpoint).copied().unwrap_or(0);
                let state = model.scheduler.endpoint(&endpoint).expect("a known endpoint");
                assert!(!grew || state.running() <= state.limit(), "{endpoint} {step:?}");
                let cold = state.phase() != types::EndpointPhase::Warm;
                let cold_limit = common::pool().cold_limit;
                assert!(!grew || !cold || calls <= cold_limit, "{endpoint} {calls} {step:?}");
            }
        }
    });
}

fn started_by_endpoint(model: &Model) -> IndexMap<ids::EndpointId, u32> {
    let mut calls = IndexMap::new();
    for call in model.running.values() {
        *calls.entry(call.endpoint.clone()).or_default() += 1;
    }
    calls
}

#[test]
fn abandoned_counts() {
    let now = time::Instant::now();
    let mut scheduler = common::scheduler(1);
    for _ in 0..3 {
        scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
    }
    let ticket = started(scheduler.next(now));
    started(scheduler.next(now));
    assert_eq!(scheduler.next(now), None, "the cold limit is two");
    scheduler.finish(ticket, pool_endpoint::CallOutcome::Abandoned, now);
    assert_eq!(scheduler.next(now), None, "the abandoned call may still be running");
    let wakeup = scheduler.next_wakeup(now).expect("the abandoned call expires");
    started(scheduler.next(wakeup));
}

#[test]
fn inherited_calls() {
    let now = time::Instant::now();
    let mut scheduler = common::scheduler(1);
    let until = now + MILLISECOND * 50;
    for _ in 0..3 {
        scheduler.set_inherited_calls(&common::endpoint(0), 2, until);
    }
    scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
    assert_eq!(scheduler.next(now), None);
    scheduler.set_inherited_calls(&common::endpoint(0), 1, until);
    started(scheduler.next(now));
    scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
    assert_eq!(scheduler.next(now), None, "reported again, the inherited calls count once");
    started(scheduler.next(until));
}

#[test]
fn no_starvation() {
    let now = time::Instant::now();
    let mut calls = call_queue::CallQueue::new(usize::MAX);
    let mut ticket = 0;
    let mut push = |calls: &mut call_queue::CallQueue, level| {
        ticket += 1;
        let call = common::queued(ticket, 0, level, now);
        calls.push(call).expect("the queue has memory");
    };
    push(&mut calls, types::PriorityLevel::Low);
    push(&mut calls, types::PriorityLevel::Normal);
    let mut order = Vec::new();
    for _ in 0..3 * call_queue::MAX_TURNS_SKIPPED {
        push(&mut calls, types::PriorityLevel::High);
        let Some(call_queue::DequeuedCall::Ready(call, ())) = calls.dequeue(now, |_| Some(()))
        else {
            panic!("a call is queued");
        };
        order.push(call.priority);
    }
    let turn = |level| order.iter().position(|priority| *priority == level).expect("it had a turn");
    let bound = call_queue::MAX_TURNS_SKIPPED as usize + 2;
    assert!(turn(types::PriorityLevel::Normal) <= bound);
    assert!(turn(types::PriorityLevel::Low) <= bound);
}

#[test]
fn weighted_shares() {
    let now = time::Instant::now();
    let mut calls = call_queue::CallQueue::new(usize::MAX);
    for ticket in 0..3000 {
        // Workspace 0 has most of the calls; 1 has weight 1 and 2 has weight 3.
        let workspace = if ticket < 2400 { 0 } else { 1 + (ticket % 2) as u8 };
        let mut call = common::queued(ticket, workspace, types::PriorityLevel::Normal, now);
        call.weight = if workspace == 2 { 3 } else { 1 };
        calls.push(call).expect("the queue has memory");
    }
    let mut taken = [0_u32; 3];
    for _ in 0..400 {
        let Some(call_queue::DequeuedCall::Ready(call, ())) = calls.dequeue(now, |_| Some(()))
        else {
            panic!("a call is queued");
        };
        taken[call.workspace.parse::<usize>().expect("a number")] += 1;
    }
    assert!(taken[0].abs_diff(80) <= 1 && taken[2].abs_diff(240) <= 1, "{taken:?}");
}

#[test]
fn late_refused() {
    let now = time::Instant::now();
    let mut scheduler = common::scheduler(1);
    for _ in 0..3 {
        scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
    }
    let ticket = started(scheduler.next(now));
    started(scheduler.next(now));
    let late = now + common::pool().queue_timeout + MILLISECOND;
    scheduler.finish(ticket, answered(MILLISECOND), late);
    let Some(pool_scheduler::ScheduleDecision::Refuse { refusal, .. }) = scheduler.next(late)
    else {
        panic!("the latest start has passed");
    };
    assert_eq!(refusal.problem, types::ProblemKind::Overloaded);
    assert!(!refusal.retry_after.is_zero());
}

#[test]
fn refused_on_enqueue() {
    let now = time::Instant::now();
    let second = time::Duration::from_secs(1);
    let mut scheduler = common::scheduler(1);
    scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
    let ticket = started(scheduler.next(now));
    scheduler.finish(ticket, answered(second), now + second);
    let now = now + second;
    let too_tight = pool_scheduler::NewCall { deadline: now + second / 2, ..common::call(0, now) };
    let refusal = scheduler
        .enqueue(too_tight, now)
        .expect_err("the deadline is shorter than any service time");
    assert_eq!(refusal.problem, types::ProblemKind::Deadline);
    let mut refused = None;
    while refused.is_none() {
        let call = pool_scheduler::NewCall { deadline: now + second * 3, ..common::call(0, now) };
        refused = scheduler.enqueue(call, now).err();
        scheduler.next(now);
    }
    let refusal = refused.expect("the deadline limits the queue");
    assert_eq!(
        refusal.problem,
        types::ProblemKind::Overloaded,
        "another owner may meet the deadline"
    );
    assert!(refusal.retry_after >= second, "{refusal:?}");
    scheduler.set_available(&common::endpoint(0), false);
    let refusal = scheduler.enqueue(common::call(0, now), now).expect_err("there is no endpoint");
    assert_eq!(refusal.problem, types::ProblemKind::Unavailable);
}

#[test]
fn slow_ejected() {
    let mut now = time::Instant::now();
    let mut scheduler = common::scheduler(3);
    let slow = common::endpoint(0);
    for _ in 0..20 {
        for _ in 0..6 {
            scheduler.enqueue(common::call(0, now), now).expect("room in the queue");
        }
        let mut running = Vec::new();
        while let Some(pool_scheduler::ScheduleDecision::Start { ticket, endpoint }) =
            scheduler.next(now)
        {
            running.push((ticket, MILLISECOND * if endpoint == slow { 50 } else { 5 }));
        }
        for (ticket, took) in running {
            scheduler.finish(ticket, answered(took), now + took);
        }
        now += MILLISECOND * 50;
    }
    assert!(scheduler.ejections() > 0);
    let ejected = scheduler.endpoints().filter(|(_, state)| state.is_ejected());
    assert!(ejected.map(|(name, _)| name).eq([&slow]), "only the slow endpoint is ejected");
}

#[test]
fn prefix_affinity() {
    let now = time::Instant::now();
    let mut scheduler = common::scheduler(3);
    let mut chosen = Vec::new();
    for _ in 0..9 {
        let call = pool_scheduler::NewCall { prefix: 7, ..common::call(0, now) };
        scheduler.enqueue(call, now).expect("room in the queue");
        let Some(pool_scheduler::ScheduleDecision::Start { ticket, endpoint }) =
            scheduler.next(now)
        else {
            panic!("an endpoint has a free slot");
        };
        scheduler.finish(ticket, answered(MILLISECOND), now);
        chosen.push(endpoint);
    }
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

fn answered(took: time::Duration) -> pool_endpoint::CallOutcome {
    let report = endpoint_lifecycle::SelfReport::default();
    pool_endpoint::CallOutcome::Answered { report, latency: Some(took) }
}

fn started(step: Option<pool_scheduler::ScheduleDecision>) -> ids::TicketId {
    match step {
        Some(pool_scheduler::ScheduleDecision::Start { ticket, .. }) => ticket,
        other => panic!("expected a start, got {other:?}"),
    }
}
