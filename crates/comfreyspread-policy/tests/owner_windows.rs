//! Time with two senders to one endpoint, with and without each step of the ownership, on the same
//! schedules; and the bound on it while the members' views differ.

mod model;

use rand::{Rng as _, SeedableRng as _, rngs};
use std::time;

const SCHEDULES: u64 = 8;
const FAULTS: usize = 5;
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);
/// Longest time two nodes may send to one endpoint after a split of the members has healed.
const HEALED_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Runs random faults of single nodes and returns the double times, in endpoint-seconds.
fn single_faults(seed: u64) -> model::DoubleTimes {
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let mut model = model::Model::new(5, 6, seed);
    model.measures = true;
    model.run(SETTLE_TIME, |_| {});
    for _ in 0..FAULTS {
        let node = random.random_range(0..5);
        let length = time::Duration::from_millis(random.random_range(500..8000));
        match random.random_range(0..3) {
            0 => {
                model.crash(node);
                model.run(length, |_| {});
                model.restart(node);
            }
            1 => {
                model.freeze(node, length);
                model.run(length, |_| {});
            }
            _ => {
                model.isolate(node, true, true);
                model.run(length, |_| {});
                model.isolate(node, false, false);
            }
        }
        model.run(SETTLE_TIME, |_| {});
    }
    model.doubles
}

#[test]
fn each_step() {
    let mut total = model::DoubleTimes::default();
    for seed in 0..SCHEDULES {
        let doubles = single_faults(seed);
        total.unchecked += doubles.unchecked;
        total.checked += doubles.checked;
        total.waited += doubles.waited;
        total.unserved += doubles.unserved;
    }
    println!(
        "endpoint-seconds with two senders: no check {:.1}, owner's check {:.1}, with the wait \
         {:.1}; without a sender {:.1}",
        total.unchecked, total.checked, total.waited, total.unserved
    );
    assert!(total.checked > 0.0, "the schedules bring about no differing views");
    assert!(total.waited == 0.0, "two nodes held a permit for {:.2} s", total.waited);
}

/// Cuts the nodes into two groups for `length`.
fn split(seed: u64, checks_fence: bool, length: time::Duration) -> model::Model {
    let mut model = model::Model::new(6, 6, seed);
    model.run(SETTLE_TIME, |_| {});
    model.checks_fence = checks_fence;
    model.measures = true;
    let set = |model: &mut model::Model, cut: bool| {
        for one in 0..3 {
            for other in 3..6 {
                model.cut[one][other] = cut;
                model.cut[other][one] = cut;
            }
        }
    };
    set(&mut model, true);
    model.run(length, |model| assert!(model.most_holders() <= 2, "more holders than groups"));
    set(&mut model, false);
    model
}

#[test]
fn halves_overlap() {
    for checks_fence in [true, false] {
        let mut longest: f64 = 0.0;
        for seed in 0..6 {
            let mut model = split(seed, checks_fence, time::Duration::from_secs(20));
            model.run(HEALED_LIMIT, |model| assert!(model.most_holders() <= 2));
            let healed = model.doubles;
            model.run(SETTLE_TIME, |model| assert!(model.most_holders() <= 1, "not healed"));
            longest = longest.max(healed.longest);
        }
        println!("split of 20 s, numbers checked {checks_fence}: two owners for {longest:.1} s");
        assert!(longest > 0.0, "the halves did not overlap: the page is out of date");
    }
}

#[test]
fn isolated_long() {
    let mut model = model::Model::new(5, 6, 3);
    model.run(SETTLE_TIME, |_| {});
    model.isolate(4, true, true);
    model.run(model::LAPSE * 4, |model| assert!(model.most_holders() <= 1));
    model.run(time::Duration::from_secs(10), |model| assert!(model.most_holders() <= 2));
    model.isolate(4, false, false);
    model.run(HEALED_LIMIT, |model| assert!(model.most_holders() <= 2));
    model.run(SETTLE_TIME, |model| assert!(model.most_holders() <= 1));
}
