//! Budget of repeats that all nodes share.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use bolero::check;
use comfreyspread_policy::repeat_budget;
use std::time;

const NODES: usize = 8;

fn rules() -> repeat_budget::RepeatRules {
    repeat_budget::RepeatRules { ratio: 0.2, slack: 56.0, window: time::Duration::from_secs(10) }
}

#[test]
fn slack_shared() {
    let now = time::Instant::now();
    let mut budget = repeat_budget::RepeatBudget::new(rules());
    let service = "s".into();
    let taken = (0..100).filter(|_| budget.take(&service, NODES, now)).count();
    assert!((1..=7).contains(&taken), "{taken}");
    let later = now + time::Duration::from_secs(10);
    assert!(budget.take(&service, NODES, later), "the window has passed");
}

#[test]
fn requests_earn() {
    let now = time::Instant::now();
    let mut budget = repeat_budget::RepeatBudget::new(rules());
    let service = "s".into();
    (0..1000).for_each(|_| budget.count_request(&service, now));
    let taken = (0..1000).filter(|_| budget.take(&service, NODES, now)).count();
    assert!((150..=207).contains(&taken), "{taken}");
}

/// All nodes together keep to what is allowed in any window, whatever each of them does.
#[test]
fn bound_kept() {
    check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|steps| {
        let mut now = time::Instant::now();
        let new = |_| repeat_budget::RepeatBudget::new(rules());
        let mut budgets: Vec<_> = (0..NODES).map(new).collect();
        let service = "s".into();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (node, pause, repeat) in steps {
            now += time::Duration::from_millis(u64::from(*pause) * 4);
            let budget = &mut budgets[usize::from(*node) % NODES];
            if !repeat {
                budget.count_request(&service, now);
                requests.push(now);
            } else if budget.take(&service, NODES, now) {
                repeats.push(now);
            }
            let window = |moments: &[time::Instant]| {
                let inside =
                    |moment: &&time::Instant| now.duration_since(**moment) < rules().window;
                moments.iter().filter(inside).count() as f64
            };
            assert!(window(&repeats) <= window(&requests) * 0.2 + 56.0);
        }
    });
}
