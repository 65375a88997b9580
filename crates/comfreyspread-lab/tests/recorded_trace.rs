//! The same seed gives the same trace, at the rate and in the mix that the plan states.

use comfreyspread_lab::{replay, trace};
use std::time;

const SEED: u64 = 7;

#[test]
fn seed_repeats() {
    for name in ["oro-vivo", "savinja"] {
        let plan = replay::DeploymentSample::new(name).expect("a sample").plan;
        let record = |seed| trace::RequestTrace::new(&plan, seed, 1.0, None).expect("a trace");
        assert_eq!(record(SEED), record(SEED));
        assert_ne!(record(SEED), record(SEED + 1));
    }
}

#[test]
fn rate_kept() {
    let plan = replay::DeploymentSample::new("oro-vivo").expect("a sample").plan;
    let trace = trace::RequestTrace::new(&plan, SEED, 0.5, None).expect("a trace");
    let counted = trace.requests().iter().filter(|request| request.due >= plan.warm).count();
    let seconds = trace::duration(&plan).saturating_sub(plan.warm).as_secs_f64();
    let rate = counted as f64 / seconds;
    let stated = f64::from(plan.rate) / 2.0;
    assert!((rate / stated - 1.0).abs() < 0.1, "{rate} requests a second, stated {stated}");
}

#[test]
fn burst_added() {
    let plan = replay::DeploymentSample::new("savinja").expect("a sample").plan;
    let second = time::Duration::from_secs(1);
    let burst = trace::BurstWindow { start: plan.warm, end: plan.warm + second * 5 };
    let count = |burst| {
        let trace = trace::RequestTrace::new(&plan, SEED, 1.0, burst).expect("a trace");
        let within = trace.requests().iter().filter(|request| request.due >= plan.warm);
        within.filter(|request| request.due < plan.warm + second * 5).count()
    };
    assert!(count(Some(burst)) > 2 * count(None));
}
