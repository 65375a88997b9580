//! Small pool and calls for the scheduler tests.
#![allow(dead_code, reason = "each test file uses a part")]

use comfreyspread_policy::{call_queue, pool_scheduler};
use comfreyspread_schema::{ids, types};
use std::time;

const BUDGET: time::Duration = time::Duration::from_secs(10);

/// Returns a pool with a cold limit of two calls and a warm limit of eight.
pub fn pool() -> types::PoolDeclaration {
    types::PoolDeclaration {
        call_cost: 1,
        cold_limit: 2,
        kind: types::PoolKind::Engine,
        name: "pool".into(),
        queue: time::Duration::from_secs(2),
        warm_after: 5,
        warm_limit: 8,
    }
}

/// Returns the identifier of an endpoint.
pub fn endpoint(index: usize) -> ids::EndpointId {
    format!("endpoint-{index}").into()
}

/// Returns a scheduler with new endpoints.
pub fn scheduler(endpoints: usize) -> pool_scheduler::PoolScheduler {
    let mut scheduler = pool_scheduler::PoolScheduler::new(pool());
    for index in 0..endpoints {
        scheduler.set_available(&endpoint(index), true);
    }
    scheduler
}

/// Returns the priority with the index `level` modulo 3.
pub fn priority(level: u8) -> types::PriorityLevel {
    match level % 3 {
        0 => types::PriorityLevel::High,
        1 => types::PriorityLevel::Normal,
        _ => types::PriorityLevel::Low,
    }
}

/// Returns a call of a workspace.
pub fn call(workspace: u8, now: time::Instant) -> pool_scheduler::NewCall {
    pool_scheduler::NewCall {
        workspace: workspace.to_string().into(),
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

/// Returns a queued call.
pub fn queued(
    id: ids::TicketId,
    workspace: u8,
    priority: types::PriorityLevel,
    now: time::Instant,
) -> call_queue::QueuedCall {
    call_queue::QueuedCall {
        id,
        workspace: workspace.to_string().into(),
        weight: 1,
        priority,
        latest_start: now + BUDGET,
        endpoint: None,
        avoid: Vec::new(),
        alone: false,
        prefix: 0,
        bytes: 100,
    }
}
