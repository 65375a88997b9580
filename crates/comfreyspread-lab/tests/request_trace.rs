//! Generated request traces are the same for the same seed, and follow the planned rate and bursts.

use comfreyspread_lab::{replay, trace};
use std::time;

const SEED: u64 = 7;

#[test]
fn seed_deterministic() {
    for name in ["oro-vivo", "savinja"] {
        let plan = replay::DeploymentSample::new(name).expect("a sample").plan;
        let generate = |seed| trace::RequestTrace::new(&plan, seed, 1.0, None).expect("a trace");
        assert_eq!(generate(SEED), generate(SEED));
        assert_ne!(generate(SEED), generate(SEED + 1));
    }
}

#[test]
fn planned_rate() {
    let plan = replay::DeploymentSample::new("oro-vivo").expect("a sample").plan;
    let trace = trace::RequestTrace::new(&plan, SEED, 0.5, None).expect("a trace");
    let count = trace.requests().iter().filter(|request| request.due >= plan.warm).count();
    let seconds = trace::duration(&plan).saturating_sub(plan.warm).as_secs_f64();
    let rate = count as f64 / seconds;
    let planned = f64::from(plan.rate) / 2.0;
    assert!((rate / planned - 1.0).abs() < 0.1, "{rate} requests per second, planned {planned}");
}

#[test]
fn burst_added() {
    let plan = replay::DeploymentSample::new("savinja").expect("a sample").plan;
    let second = time::Duration::from_secs(1);
    let burst = trace::BurstWindow { start: plan.warm, end: plan.warm + second * 5 };
    let count = |burst| {
        let trace = trace::RequestTrace::new(&plan, SEED, 1.0, burst).expect("a trace");
        let after_warmup = trace.requests().iter().filter(|request| request.due >= plan.warm);
        after_warmup.filter(|request| request.due < plan.warm + second * 5).count()
    };
    assert!(count(Some(burst)) > 2 * count(None));
}
