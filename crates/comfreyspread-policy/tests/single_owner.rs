//! At most one node may send to an endpoint, whatever happens to single nodes.

mod model;

use bolero::{TypeGenerator, check};
use std::time;

/// Steps of one schedule.
const MOST_STEPS: usize = 6;
/// Time for the members to find each other, and to find back after the last fault.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(20);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Crash,
    CutInward,
    CutOutward,
    Freeze,
    Isolate,
    Leave,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct FaultStep {
    fault: Fault,
    node: u8,
    quarters: u8,
    pause: u8,
}

/// Returns up to eight seconds, in quarters of a second.
fn quarters(count: u8) -> time::Duration {
    time::Duration::from_millis(250) * u32::from(count % 32)
}

/// Brings one fault about, lets it last, and ends it.
fn apply(model: &mut model::Model, step: FaultStep) {
    let index = usize::from(step.node) % model.nodes.len();
    let length = quarters(step.quarters);
    match step.fault {
        Fault::Crash | Fault::Leave => {
            if matches!(step.fault, Fault::Leave) {
                model.leave(index);
                model.run(time::Duration::from_millis(200), assert_single);
            }
            model.crash(index);
            model.run(length, assert_single);
            model.restart(index);
        }
        Fault::Freeze => {
            model.freeze(index, length);
            model.run(length, assert_single);
        }
        Fault::CutInward | Fault::CutOutward | Fault::Isolate => {
            let outward = !matches!(step.fault, Fault::CutInward);
            let inward = !matches!(step.fault, Fault::CutOutward);
            model.isolate(index, outward, inward);
            model.run(length, assert_single);
            model.isolate(index, false, false);
        }
    }
    model.run(model::LAPSE + quarters(step.pause), assert_single);
}

fn assert_single(model: &model::Model) {
    for endpoint in model.endpoints() {
        let holders = model.holders(&endpoint);
        assert!(holders.len() <= 1, "{endpoint} {holders:?} at {:?}", model.elapsed());
    }
}

fn assert_served(model: &model::Model) {
    for endpoint in model.endpoints() {
        assert_eq!(model.holders(&endpoint).len(), 1, "{endpoint}");
    }
}

#[test]
fn random_faults() {
    check!().with_type::<(u64, Vec<FaultStep>)>().for_each(|(seed, steps)| {
        let mut model = model::Model::new(5, 6, *seed);
        model.run(SETTLE_TIME, assert_single);
        for step in steps.iter().take(MOST_STEPS) {
            apply(&mut model, *step);
        }
        model.run(SETTLE_TIME, assert_single);
        assert_served(&model);
    });
}

#[test]
fn first_start() {
    for seed in 0..100 {
        let mut model = model::Model::new(5, 6, seed);
        model.run(model::LAPSE, assert_single);
        assert_served(&model);
    }
}

#[test]
fn lost_messages() {
    for seed in 0..20 {
        let mut model = model::Model::new(5, 6, seed);
        model.loss = 0.02;
        model.run(SETTLE_TIME, assert_single);
        assert_served(&model);
    }
}

#[test]
fn frozen_owner() {
    let mut model = model::Model::new(5, 6, 1);
    model.run(SETTLE_TIME, assert_single);
    let owned = model.nodes[4].ownership.owned(model.now);
    assert!(!owned.is_empty());
    model.freeze(4, time::Duration::from_secs(10));
    model.run(time::Duration::from_millis(2500), assert_single);
    assert!(model.nodes[4].ownership.owned(model.now).is_empty());
}

#[test]
fn bounded_messages() {
    let mut model = model::Model::new(5, 6, 1);
    for _ in 0..3 {
        model.isolate(4, true, true);
        model.run(time::Duration::from_secs(4), assert_single);
        model.isolate(4, false, false);
        let before = model.order;
        model.run(time::Duration::from_secs(10), assert_single);
        let events = model.order - before;
        assert!(events < 1000, "{events} events after a cut of one node");
    }
}
