//! A burst of requests beyond the capacity of a stage service.
//!
//! Requests that cannot be served are rejected soon after they arrive, not when their deadline
//! passes, and the endpoints serve as many within their target as they can.

mod queue_load;

use std::time;

const BURST: queue_load::QueueLoad = queue_load::QueueLoad {
    endpoints: 10,
    zones: 1,
    arrivals_per_second: 460,
    duration: time::Duration::from_secs(8),
};

#[test]
fn early_rejection() {
    let mut outcome = BURST.play();
    let all = outcome.in_target + outcome.late + outcome.rejected_after.len();
    assert_eq!(all, outcome.arrived, "each request has an outcome");
    let median = outcome.median_rejection();
    let (in_target, possible) = (outcome.in_target, BURST.possible());
    println!("{in_target} in target, {} late, rejected within {median:?}", outcome.late);
    assert!(in_target as f64 > possible * 0.9, "{in_target} of {possible}");
    assert!(median < queue_load::TARGET, "callers wait {median:?} for a rejection");
}
