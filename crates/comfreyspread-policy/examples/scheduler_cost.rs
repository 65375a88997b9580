//! Scheduler time per call, by number of queued calls and of endpoints.
//!
//! Each measured iteration finishes a call, starts the next one and enqueues another.
//!
//! ```text
//! cargo run --release -p comfreyspread-policy --example scheduler_cost
//! ```
#![allow(clippy::disallowed_methods, reason = "a measurement reads the clock")]

use comfreyspread_policy::{endpoint_lifecycle, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use std::{hint, time};

const SIZES: [usize; 3] = [10, 100, 1000];
const CALLS: u32 = 20_000;
const LIMIT: u32 = 8;
const WORKSPACES: usize = 100;
const TIME_BUDGET: time::Duration = time::Duration::from_secs(3600);
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
    let mut scheduler = pool_scheduler::PoolScheduler::new(pool());
    for index in 0..endpoints {
        scheduler.set_available(&format!("endpoint-{index}").into(), true);
    }
    let workspaces: Vec<ids::WorkspaceId> =
        (0..WORKSPACES).map(|index| format!("workspace-{index}").into()).collect();
    let slots = endpoints * LIMIT as usize;
    let mut running = Vec::new();
    for index in 0..slots + queued {
        scheduler.enqueue(call(&workspaces[index % WORKSPACES], now), now).ok();
    }
    while let Some(pool_scheduler::ScheduleDecision::Start { ticket, .. }) = scheduler.next(now) {
        running.push(ticket);
    }
    assert_eq!(scheduler.queued(), queued);
    let start = time::Instant::now();
    for index in 0..CALLS as usize {
        let slot = index % running.len();
        scheduler.finish(running[slot], answered(), now);
        if let Some(pool_scheduler::ScheduleDecision::Start { ticket, .. }) = scheduler.next(now) {
            running[slot] = ticket;
        }
        let call = call(&workspaces[index % WORKSPACES], now);
        hint::black_box(scheduler.enqueue(call, now)).ok();
    }
    start.elapsed() / CALLS
}

fn answered() -> pool_endpoint::CallOutcome {
    let report = endpoint_lifecycle::SelfReport::default();
    pool_endpoint::CallOutcome::Answered { report, latency: Some(LATENCY) }
}

fn call(workspace: &ids::WorkspaceId, now: time::Instant) -> pool_scheduler::NewCall {
    pool_scheduler::NewCall {
        workspace: workspace.clone(),
        weight: 1,
        priority: types::PriorityLevel::Normal,
        deadline: now + TIME_BUDGET,
        endpoint: None,
        excluded_endpoints: Vec::new(),
        exclusive: false,
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
        queue_timeout: TIME_BUDGET,
        calls_until_warm: 1,
        warm_limit: LIMIT,
    }
}
