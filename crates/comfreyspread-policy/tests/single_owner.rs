//! At most one node may send calls to an endpoint, whichever faults hit single nodes.

mod event_queue;
mod model;

use bolero::{TypeGenerator, check};
use std::time;

/// Faults of one schedule.
const MAX_FAULTS: usize = 6;
/// Time for the members to converge at the start and after the last fault.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(20);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Crash,
    CutInward,
    CutOutward,
    Stall,
    Isolate,
    Leave,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct FaultStep {
    fault: Fault,
    node: u8,
    duration: u8,
    pause: u8,
}

/// Returns a multiple of a quarter second, less than eight seconds.
fn quarters(count: u8) -> time::Duration {
    time::Duration::from_millis(250) * u32::from(count % 32)
}

/// Injects one fault, ends it after its duration, and lets the members recover.
fn apply(model: &mut model::Model, step: FaultStep) {
    let index = usize::from(step.node) % model.nodes.len();
    let length = quarters(step.duration);
    match step.fault {
        Fault::Crash | Fault::Leave => {
            if matches!(step.fault, Fault::Leave) {
                model.leave(index);
                model.run(time::Duration::from_millis(200), assert_single_owner);
            }
            model.crash(index);
            model.run(length, assert_single_owner);
            model.restart(index);
        }
        Fault::Stall => {
            model.stall(index, length);
            model.run(length, assert_single_owner);
        }
        Fault::CutInward | Fault::CutOutward | Fault::Isolate => {
            let outward = !matches!(step.fault, Fault::CutInward);
            let inward = !matches!(step.fault, Fault::CutOutward);
            model.isolate(index, outward, inward);
            model.run(length, assert_single_owner);
            model.isolate(index, false, false);
        }
    }
    model.run(model::FAILURE_TIMEOUT + quarters(step.pause), assert_single_owner);
}

fn assert_single_owner(model: &model::Model) {
    for endpoint in model.endpoints() {
        let owners = model.owners(&endpoint);
        assert!(owners.len() <= 1, "{endpoint} {owners:?} at {:?}", model.elapsed());
    }
}

fn assert_served(model: &model::Model) {
    for endpoint in model.endpoints() {
        assert_eq!(model.owners(&endpoint).len(), 1, "{endpoint}");
    }
}

#[test]
fn random_faults() {
    check!().with_type::<(u64, Vec<FaultStep>)>().for_each(|(seed, steps)| {
        let mut model = model::Model::new(5, 6, *seed);
        model.run(SETTLE_TIME, assert_single_owner);
        for step in steps.iter().take(MAX_FAULTS) {
            apply(&mut model, *step);
        }
        model.run(SETTLE_TIME, assert_single_owner);
        assert_served(&model);
    });
}

#[test]
fn first_start() {
    for seed in 0..100 {
        let mut model = model::Model::new(5, 6, seed);
        model.run(model::FAILURE_TIMEOUT, assert_single_owner);
        assert_served(&model);
    }
}

#[test]
fn lost_messages() {
    for seed in 0..20 {
        let mut model = model::Model::new(5, 6, seed);
        model.loss = 0.02;
        model.run(SETTLE_TIME, assert_single_owner);
        assert_served(&model);
    }
}

#[test]
fn stalled_owner() {
    let mut model = model::Model::new(5, 6, 1);
    model.run(SETTLE_TIME, assert_single_owner);
    let owned = model.nodes[4].ownership.owned(model.now);
    assert!(!owned.is_empty());
    model.stall(4, time::Duration::from_secs(10));
    model.run(time::Duration::from_millis(2500), assert_single_owner);
    assert!(model.nodes[4].ownership.owned(model.now).is_empty());
}

#[test]
fn bounded_messages() {
    let mut model = model::Model::new(5, 6, 1);
    for _ in 0..3 {
        model.isolate(4, true, true);
        model.run(time::Duration::from_secs(4), assert_single_owner);
        model.isolate(4, false, false);
        let before = model.order;
        model.run(time::Duration::from_secs(10), assert_single_owner);
        let events = model.order - before;
        assert!(events < 1000, "{events} events after the isolation of one node");
    }
}
