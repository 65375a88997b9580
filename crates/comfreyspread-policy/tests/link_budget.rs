//! Byte budget of the link to other regions.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::link_budget;
use comfreyspread_schema::types;
use std::time;

const RATE: u64 = 1000;

#[test]
fn priority_reserve() {
    let now = time::Instant::now();
    let mut budget = link_budget::LinkBudget::new(RATE, now);
    budget.consume(600, now);
    assert!(budget.allows(400, types::PriorityLevel::High, now));
    assert!(budget.allows(150, types::PriorityLevel::Normal, now));
    assert!(!budget.allows(151, types::PriorityLevel::Normal, now));
    assert!(!budget.allows(1, types::PriorityLevel::Low, now));
    let later = now + time::Duration::from_millis(200);
    assert!(budget.allows(100, types::PriorityLevel::Low, later));
}

#[test]
fn large_message() {
    let now = time::Instant::now();
    let mut budget = link_budget::LinkBudget::new(RATE, now);
    assert!(budget.allows(10 * RATE, types::PriorityLevel::Low, now));
    budget.consume(10 * RATE, now);
    assert!(!budget.allows(1, types::PriorityLevel::High, now));
}

#[test]
fn rate_bound() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let start = time::Instant::now();
        let mut now = start;
        let mut budget = link_budget::LinkBudget::new(RATE, start);
        let mut sent = 0;
        for (bytes, wait) in steps {
            now += time::Duration::from_millis((*wait).into());
            let bytes = u64::from(*bytes);
            if budget.allows(bytes, types::PriorityLevel::Normal, now) {
                budget.consume(bytes, now);
                sent += bytes;
            }
        }
        let millis = u64::try_from((now - start).as_millis()).unwrap();
        assert!(sent <= RATE + RATE * millis / 1000, "{sent} bytes in {millis} ms");
    });
}
