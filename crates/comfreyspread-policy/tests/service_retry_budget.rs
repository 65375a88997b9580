//! Retry budget of a service, shared by all nodes.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::service_retry_budget;
use std::time;

const NODES: usize = 8;

fn rules() -> service_retry_budget::RetryRules {
    service_retry_budget::RetryRules {
        ratio: 0.2,
        allowance: 56.0,
        window: time::Duration::from_secs(10),
    }
}

#[test]
fn allowance_shared() {
    let now = time::Instant::now();
    let mut budget = service_retry_budget::ServiceRetryBudget::new(rules());
    let service = "s".into();
    let granted = (0..100).filter(|_| budget.try_acquire(&service, NODES, now)).count();
    assert!((1..=7).contains(&granted), "{granted}");
    let later = now + time::Duration::from_secs(10);
    assert!(budget.try_acquire(&service, NODES, later), "the window has passed");
}

#[test]
fn requests_earn() {
    let now = time::Instant::now();
    let mut budget = service_retry_budget::ServiceRetryBudget::new(rules());
    let service = "s".into();
    (0..1000).for_each(|_| budget.count_request(&service, now));
    let granted = (0..1000).filter(|_| budget.try_acquire(&service, NODES, now)).count();
    assert!((150..=207).contains(&granted), "{granted}");
}

/// Over all nodes, retries stay within the ratio and the allowance in any window.
#[test]
fn bound_kept() {
    check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|steps| {
        let mut now = time::Instant::now();
        let new = |_| service_retry_budget::ServiceRetryBudget::new(rules());
        let mut budgets: Vec<_> = (0..NODES).map(new).collect();
        let service = "s".into();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (node, pause, retry) in steps {
            now += time::Duration::from_millis(u64::from(*pause) * 4);
            let budget = &mut budgets[usize::from(*node) % NODES];
            if !retry {
                budget.count_request(&service, now);
                requests.push(now);
            } else if budget.try_acquire(&service, NODES, now) {
                retries.push(now);
            }
            let window = |timestamps: &[time::Instant]| {
                let inside =
                    |timestamp: &&time::Instant| now.duration_since(**timestamp) < rules().window;
                timestamps.iter().filter(inside).count() as f64
            };
            assert!(window(&retries) <= window(&requests) * 0.2 + 56.0);
        }
    });
}
