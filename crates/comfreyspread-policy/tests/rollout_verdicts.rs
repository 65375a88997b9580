//! Verdicts on good and bad versions over seeded roll-outs of a fleet, and what a version may get
//! before it is proved.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

mod rollout_model;

use comfreyspread_schema::types;
use rollout_model::{GOOD, RolloutRun, RunEnd, VersionBehaviour};
use std::time;

/// Roll-outs of each kind.
const SEEDS: u64 = 40;
/// Good versions that may be rolled back, of [`SEEDS`]: such an order is given once more.
const MAX_FALSE_ALARMS: usize = 1;

const CALM: RolloutRun = RolloutRun {
    behaviour: GOOD,
    shared_failures: 0.0,
    shared_slowness: 1.0,
    rates: [79.0, 18.0],
    duration_s: 12.0,
    warm_s: 1.5,
    has_changes: false,
    seed: 0,
};

fn play_all(run: RolloutRun) -> Vec<RunEnd> {
    let now = time::Instant::now();
    (1..=SEEDS).map(|seed| rollout_model::play(&RolloutRun { seed, ..run }, now)).collect()
}

fn check_bad(name: &str, behaviour: VersionBehaviour) {
    for (number, end) in play_all(RolloutRun { behaviour, ..CALM }).iter().enumerate() {
        let phase = end.record.phase;
        assert_eq!(phase, types::RolloutPhase::RolledBack, "{name}, seed {}: {end:?}", number + 1);
        assert!(end.excess() <= 0.0, "{name}, seed {}: {end:?}", number + 1);
    }
}

fn check_good(name: &str, run: RolloutRun) {
    let ends = play_all(run);
    let is_missed = |end: &&RunEnd| {
        end.record.phase != types::RolloutPhase::Done || end.ended_s >= run.duration_s
    };
    let missed: Vec<_> = ends.iter().filter(is_missed).collect();
    assert!(missed.len() <= MAX_FALSE_ALARMS, "{name}: {} of {SEEDS}, {missed:?}", missed.len());
}

/// A good version was left undecided, or rolled back for the luck of few answers.
#[test]
fn good_versions() {
    check_good("calm", CALM);
    check_good("long", RolloutRun { duration_s: 40.0, ..CALM });
    check_good("busy", RolloutRun { rates: [110.0, 110.0], warm_s: 5.0, ..CALM });
}

/// What all versions suffer from, as in a slow zone or on a bad link, counted against the new one.
#[test]
fn shared_trouble() {
    check_good("failures", RolloutRun { shared_failures: 0.1, ..CALM });
    check_good("slowness", RolloutRun { shared_slowness: 4.0, ..CALM });
}

/// A version that fails a part of its answers took the place of a sound one.
#[test]
fn failing_versions() {
    let failing = VersionBehaviour { failing: 0.4, ..GOOD };
    check_bad("at once", failing);
    check_bad("later", VersionBehaviour { from: 0.3, ..failing });
    check_bad("on a busy route", VersionBehaviour { route: Some(0), ..failing });
    check_bad("on a quiet route", VersionBehaviour { route: Some(1), ..failing });
    check_bad("under load", VersionBehaviour { load: 6.0, ..failing });
}

/// A version that is several times slower took the place of a sound one.
#[test]
fn slow_versions() {
    let slow = VersionBehaviour { slow: 4.0, ..GOOD };
    check_bad("at once", slow);
    check_bad("later", VersionBehaviour { from: 0.3, ..slow });
    check_bad("on a quiet route", VersionBehaviour { route: Some(1), ..slow });
    check_bad("under load", VersionBehaviour { load: 6.0, ..slow });
}

/// The share of a version that is not proved is kept over all nodes, also while some stand still and
/// others are added: a share by luck, or one that each new node starts anew, exceeded it.
#[test]
fn exposure_kept() {
    // It fails too seldom to be found, so that it keeps its share for the whole observation.
    let behaviour = VersionBehaviour { failing: 0.01, ..GOOD };
    for end in play_all(RolloutRun { behaviour, duration_s: 30.0, has_changes: true, ..CALM }) {
        assert!(end.record.phase != types::RolloutPhase::Observing, "{end:?}");
    }
    let failing = VersionBehaviour { failing: 0.4, from: 0.4, ..GOOD };
    for end in play_all(RolloutRun { behaviour: failing, has_changes: true, ..CALM }) {
        assert_eq!(end.record.phase, types::RolloutPhase::RolledBack, "{end:?}");
        assert!(end.excess() <= 0.0, "{end:?}");
        assert!(end.new_failures < 50, "{end:?}");
    }
}
