//! A steady load on a stage service whose endpoints lie in three availability zones.
//!
//! An endpoint that took all queued pieces as soon as it is free would make two thirds of the
//! results in another zone than the one that needs them.

mod queue_load;

use std::time;

const STEADY: queue_load::QueueLoad = queue_load::QueueLoad {
    endpoints: 21,
    zones: 3,
    arrivals_per_second: 280,
    duration: time::Duration::from_secs(8),
};

#[test]
fn steady_load() {
    let outcome = STEADY.play();
    let (home, away) = (outcome.home_pieces, outcome.away_pieces);
    println!(
        "{home} pieces at home, {away} away, {} of {} in target",
        outcome.in_target, outcome.arrived
    );
    assert!(away * 5 < home, "{away} pieces made away, {home} at home");
    assert_eq!(outcome.in_target, outcome.arrived, "all meet their target");
}

#[test]
fn lost_zone() {
    let one_zone = queue_load::QueueLoad { endpoints: 2, ..STEADY };
    let arrivals_per_second = 25;
    let outcome = queue_load::QueueLoad { arrivals_per_second, ..one_zone }.play();
    assert_eq!(
        outcome.in_target, outcome.arrived,
        "pieces of a zone without endpoints go elsewhere"
    );
}

#[test]
fn burst_load() {
    let burst = queue_load::QueueLoad { arrivals_per_second: 1000, ..STEADY };
    let outcome = burst.play();
    let (in_target, possible) = (outcome.in_target, burst.possible());
    assert!(in_target as f64 > possible * 0.9, "{in_target} of {possible}: endpoints idled");
}
