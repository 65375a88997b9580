//! Time the scheduler of one pool takes for one call, by calls waiting and endpoints.
//!
//! One call is a finish, the start of the next call and the offer of another.
//!
//! ```text
//! cargo run --release -p comfreyspread-policy --example scheduler_cost
//! ```
#![allow(clippy::disallowed_methods, reason = "a measurement reads the clock")]

use comfreyspread_policy::{endpoint_lifecycle, replica, schedule};
use comfreyspread_schema::{ids, types};
use std::{hint, time};

const SIZES: [usize; 3] = [10, 100, 1000];
const CALLS: u32 = 20_000;
const LIMIT: u32 = 8;
const WORKSPACES: usize = 100;
const BUDGET: time::Duration = time::Duration::from_secs(3600);
const LATENCY: time::Duration = time::Duration::from_micros(1);

fn main() {
    println!("ns per call; rows: endpoints, columns: calls waiting");
    println!("endpoints {:>9} {:>9} {:>9}", SIZES[0], SIZES[1], SIZES[2]);
    for endpoints in SIZES {
        let costs = SIZES.map(|queued| cost(endpoints, queued).as_nanos());
        println!("{endpoints:>9} {:>9} {:>9} {:>9}", costs[0], costs[1], costs[2]);
    }
}

/// Returns the mean time of one call.
fn cost(endpoints: usize, queued: usize) -> time::Duration {
    let now = time::Instant::now();
    let mut scheduler = schedule::PoolScheduler::new(pool());
    for index in 0..endpoints {
        scheduler.set_available(&format!("endpoint-{index}").into(), true);
    }
    let workspaces: Vec<ids::WorkspaceId> =
        (0..WORKSPACES).map(|index| format!("workspace-{index}").into()).collect();
    let places = endpoints * LIMIT as usize;
    let mut running = Vec::new();
    for index in 0..places + queued {
        scheduler.offer(call(&workspaces[index % WORKSPACES], now), now).ok();
    }
    while let Some(schedule::ScheduleStep::Start { ticket, .. }) = scheduler.next(now) {
        running.push(ticket);
    }
    assert_eq!(scheduler.queued(), queued);
    let began = time::Instant::now();
    for index in 0..CALLS as usize {
        let place = index % running.len();
        scheduler.finish(running[place], answered(), now);
        if let Some(schedule::ScheduleStep::Start { ticket, .. }) = scheduler.next(now) {
            running[place] = ticket;
        }
        let call = call(&workspaces[index % WORKSPACES], now);
        hint::black_box(scheduler.offer(call, now)).ok();
    }
    began.elapsed() / CALLS
}

fn answered() -> replica::CallOutcome {
    let signs = endpoint_lifecycle::SelfReport::default();
    replica::CallOutcome::Answered { signs, latency: Some(LATENCY) }
}

fn call(workspace: &ids::WorkspaceId, now: time::Instant) -> schedule::OfferedCall {
    schedule::OfferedCall {
        workspace: workspace.clone(),
        weight: 1,
        priority: types::PriorityLevel::Normal,
        deadline: now + BUDGET,
        endpoint: None,
        avoid: Vec::new(),
        alone: false,
        prefix: 0,
        bytes: 100,
    }
}

fn pool() -> types::PoolDeclaration {
    types::PoolDeclaration {
        call_cost: 1,
        cold_limit: LIMIT,
        kind: types::PoolKind::Engine,
        name: "pool".into(),
        queue: BUDGET,
        warm_after: 1,
        warm_limit: LIMIT,
    }
}
