//! Fixtures for scheduler tests: a small pool, its endpoints and calls.
#![allow(dead_code, reason = "each test file uses a part")]

use comfreyspread_policy::{call_queue, pool_scheduler};
use comfreyspread_schema::{ids, types};
use std::time;

const CALL_BUDGET: time::Duration = time::Duration::from_secs(10);

/// Returns a pool whose endpoints run up to two calls when cold and eight when warm.
pub fn pool() -> types::PoolDeclaration {
    types::PoolDeclaration {
        call_cost: 1,
        cold_limit: 2,
        kind: types::PoolKind::Engine,
        name: "pool".into(),
        queue_timeout: time::Duration::from_secs(2),
        calls_until_warm: 5,
        warm_limit: 8,
    }
}

/// Returns the name of an endpoint.
pub fn endpoint(index: usize) -> ids::EndpointId {
    format!("endpoint-{index}").into()
}

/// Returns a scheduler whose endpoints are available and have run no calls yet.
pub fn scheduler(endpoints: usize) -> pool_scheduler::PoolScheduler {
    let mut scheduler = pool_scheduler::PoolScheduler::new(pool());
    for index in 0..endpoints {
        scheduler.set_available(&endpoint(index), true);
    }
    scheduler
}

/// Maps any number to a priority.
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
        deadline: now + CALL_BUDGET,
        endpoint: None,
        excluded_endpoints: Vec::new(),
        exclusive: false,
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
        latest_start: now + CALL_BUDGET,
        endpoint: None,
        excluded_endpoints: Vec::new(),
        exclusive: false,
        prefix: 0,
        bytes: 100,
    }
}
