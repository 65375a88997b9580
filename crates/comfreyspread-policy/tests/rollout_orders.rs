//! Orders of roll-outs that are replaced, repeated or taken back, and versions without an order.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::{
    rollout_decider, rollout_judgement, rollout_state, rollout_table, service_versions,
    version_evidence,
};
use comfreyspread_schema::{ids, types};
use std::time;

const DURATION: time::Duration = time::Duration::from_secs(12);

fn order(to: &str) -> types::RolloutOrder {
    types::RolloutOrder { duration: DURATION, service: "s".into(), to: to.into() }
}

fn position(era: u64, version: u64) -> types::StorePosition {
    types::StorePosition { era, version }
}

fn record(to: &str, phase: types::RolloutPhase, revision: u64) -> types::RolloutRecord {
    types::RolloutRecord {
        duration: DURATION,
        order: position(1, 5),
        phase,
        reason: "test".into(),
        revision,
        service: "s".into(),
        share: 0.08,
        started: time::Duration::ZERO,
        to: to.into(),
        withdrawn: Vec::new(),
    }
}

fn share(table: &rollout_table::RolloutTable) -> service_versions::VersionShare {
    table.get("s").expect("an order").rule().share
}

/// Records of an earlier state came late, from a node that had stood still, and brought a version
/// back into use that had been rolled back.
#[test]
fn outdated_records() {
    let mut table = rollout_table::RolloutTable::default();
    assert!(!table.apply_record(record("v2", types::RolloutPhase::Done, 9)), "no order is known");
    table.set_order(order("v2"), position(1, 5));
    assert_eq!(share(&table), service_versions::VersionShare::Unknown);
    assert!(table.apply_record(record("v2", types::RolloutPhase::Observing, 1)));
    assert_eq!(share(&table), service_versions::VersionShare::Part(0.08));
    assert!(table.apply_record(record("v2", types::RolloutPhase::RolledBack, 3)));
    assert!(!table.apply_record(record("v2", types::RolloutPhase::Moving, 2)));
    assert_eq!(share(&table), service_versions::VersionShare::Nothing);
}

/// An order that replaces another one while that runs starts anew, and the version of the earlier
/// one gets nothing more.
#[test]
fn replaced_order() {
    let mut table = rollout_table::RolloutTable::default();
    table.set_order(order("v2"), position(1, 5));
    let running = record("v2", types::RolloutPhase::Moving, 2);
    table.apply_record(running.clone());
    assert!(table.set_order(order("v3"), position(1, 8)));
    let rule = table.get("s").expect("an order").rule();
    assert_eq!((&*rule.to, rule.share), ("v3", service_versions::VersionShare::Unknown));
    assert_eq!(rule.withdrawn, ["v2".into()]);
    let start = rollout_state::RolloutStart {
        order: &order("v3"),
        position: position(1, 8),
        share: 0.08,
        started: time::Duration::ZERO,
        before: Some(&running),
    };
    let next = rollout_state::Rollout::new(&start);
    let next = rollout_state::StoredRollout::Observing(next).into_record();
    assert_eq!((next.revision, &*next.withdrawn), (3, &["v2".into()][..]));
}

/// An order that is written once more, since its answer was lost or the store came back from a copy,
/// began its roll-out anew, and after a verdict undid it.
#[test]
fn repeated_order() {
    let done = record("v2", types::RolloutPhase::Done, 4);
    assert!(rollout_state::is_of_order(&done, &order("v2"), position(1, 5)));
    assert!(rollout_state::is_of_order(&done, &order("v2"), position(2, 3)), "restored");
    assert!(!rollout_state::is_of_order(&done, &order("v2"), position(1, 9)), "ordered again");
    let running = record("v2", types::RolloutPhase::Observing, 1);
    assert!(rollout_state::is_of_order(&running, &order("v2"), position(1, 9)), "repeated");
    assert!(!rollout_state::is_of_order(&running, &order("v3"), position(1, 5)));
}

/// Returns the next state of a roll-out at this time, with these endpoints and no answers.
fn next_phase(
    elapsed: time::Duration,
    is_cancelled: bool,
    evidence: &[types::VersionCounts],
) -> Option<types::RolloutPhase> {
    let now = time::Instant::now();
    let rules = rollout_judgement::JudgementRules { min_answers: 20, slow_factor: 2.5 };
    let mut decider = rollout_decider::RolloutDecider::new(rules);
    decider.record_report(
        &types::RolloutReport {
            counts: evidence.to_vec(),
            failing: vec![
                types::EndpointFailures { endpoint: "a".into(), failures: 10 },
                types::EndpointFailures { endpoint: "b".into(), failures: 10 },
            ],
            header: types::PeerHeader {
                node: "n".into(),
                protocol: 1,
                revision: 0,
                start_id: ids::ProcessStartId::default(),
            },
            old_running: 0,
            revision: 1,
            service: "s".into(),
            to: "v2".into(),
        },
        now,
    );
    let capacity = rollout_decider::VersionCapacity { new_slots: 0, old_slots: 4, canaries: 2 };
    let input = rollout_decider::DecisionInput { elapsed, is_cancelled, nodes: &[], capacity, now };
    let running = record("v2", types::RolloutPhase::Observing, 1);
    let next = decider.next_state(rollout_state::StoredRollout::from_record(running), &input);
    next.map(|next| next.into_record().phase)
}

/// Endpoints that never come, or crash all, left a roll-out open after its end.
#[test]
fn absent_endpoints() {
    assert_eq!(next_phase(DURATION / 2, false, &[]), None);
    let end = DURATION - time::Duration::from_millis(500);
    assert_eq!(next_phase(end, false, &[]), Some(types::RolloutPhase::RolledBack));
    let counts = |new, answers, broken| types::VersionCounts {
        answers,
        broken,
        failures: 0,
        gaps: Vec::new(),
        new,
        route: "read".into(),
        times: Vec::new(),
    };
    let crashing = [counts(true, 0, 20), counts(false, 200, 2)];
    let soon = time::Duration::from_secs(3);
    assert_eq!(next_phase(soon, false, &crashing), Some(types::RolloutPhase::RolledBack));
}

/// An order that is taken back ends its roll-out.
#[test]
fn cancelled_order() {
    let soon = time::Duration::from_secs(3);
    assert_eq!(next_phase(soon, true, &[]), Some(types::RolloutPhase::RolledBack));
    let mut table = rollout_table::RolloutTable::default();
    table.set_order(order("v2"), position(1, 5));
    table.apply_record(record("v2", types::RolloutPhase::Moving, 2));
    table.cancel_order("s");
    assert_eq!(share(&table), service_versions::VersionShare::Nothing);
}

/// A version that appears beside another one got its full share of requests from nodes that had not
/// read its order yet. Without an order it gets requests after a while, as when a fleet is replaced.
#[test]
fn version_without_order() {
    let now = time::Instant::now();
    let later = now + time::Duration::from_secs(7);
    let (service, old, new): (ids::ServiceName, ids::SoftwareVersion, ids::SoftwareVersion) =
        ("s".into(), "v1".into(), "v2".into());
    let mut versions = service_versions::ServiceVersions::default();
    versions.enable_rollouts();
    versions.add(&service, &old, true, now);
    versions.add(&service, &new, false, now);
    assert!(versions.is_closed(&service, &new, now));
    assert!(!versions.is_closed(&service, &old, now));
    assert!(!versions.is_closed(&service, &new, later));
    versions.remove(&service, &old);
    assert!(!versions.is_closed(&service, &new, now), "no other version is left");
    let rule = service_versions::TrafficRule::new(&order("v2"), None);
    versions.set_rule(&service, rule.clone(), 0.0);
    assert!(!versions.is_closed(&service, &new, now), "the roll-out has ended with this version");
    versions.add(&service, &old, false, now);
    assert!(versions.is_closed(&service, &new, later), "nothing is known of its roll-out");
    let rule = service_versions::TrafficRule {
        share: service_versions::VersionShare::All,
        withdrawn: vec!["v0".into()],
        ..rule
    };
    versions.set_rule(&service, rule, 0.0);
    assert!(!versions.is_closed(&service, &new, now));
    assert!(versions.is_closed(&service, &old, now));
    assert!(versions.is_closed(&service, &"v0".into(), now));
}

/// Versions were told apart on services that no roll-out was ordered for, where the settings allow
/// none.
#[test]
fn rollouts_disabled() {
    let now = time::Instant::now();
    let mut versions = service_versions::ServiceVersions::default();
    versions.add(&"s".into(), &"v1".into(), true, now);
    versions.add(&"s".into(), &"v2".into(), false, now);
    assert!(!versions.is_closed(&"s".into(), &"v2".into(), now));
    assert!(versions.turn(&"s".into(), "read").is_none());
}

/// Failures of one endpoint alone, as of one on a faulty machine, ended a roll-out.
#[test]
fn one_faulty_endpoint() {
    let rules = rollout_judgement::JudgementRules { min_answers: 20, slow_factor: 2.5 };
    let mut evidence = version_evidence::VersionEvidence::default();
    let route = ids::Text::from("read");
    let times = version_evidence::AnswerTimes::default();
    for number in 0..90 {
        let endpoint = format!("new-{}", number % 9).into();
        let end = if number % 9 == 0 {
            version_evidence::RequestEnd::Failed
        } else {
            version_evidence::RequestEnd::Answered
        };
        evidence.record_answer(&route, true, &endpoint, end, times);
        evidence.record_answer(
            &route,
            false,
            &endpoint,
            version_evidence::RequestEnd::Answered,
            times,
        );
    }
    let judgement = rollout_judgement::judge(&evidence, 9, &rules);
    assert_eq!(judgement, rollout_judgement::VersionJudgement::Good);
    assert!(matches!(
        rollout_judgement::judge(&evidence, 1, &rules),
        rollout_judgement::VersionJudgement::Bad(_)
            | rollout_judgement::VersionJudgement::Doubtful(_)
    ));
}

/// Probabilities of the test, against values worked out by hand.
#[test]
fn tail_probabilities() {
    let near = |value: f64, expected: f64| (value - expected).abs() < expected * 1e-6;
    assert!(near(rollout_judgement::tail_probability(1, 2, 0.25), 0.4375));
    assert!(near(rollout_judgement::tail_probability(10, 10, 0.5), 0.5_f64.powi(10)));
    assert!(near(rollout_judgement::tail_probability(0, 10, 0.5), 1.0));
}
