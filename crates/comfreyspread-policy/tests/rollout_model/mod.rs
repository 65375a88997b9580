//! A fleet of nodes that divide the requests of a service under roll-out, on injected time.
//!
//! The endpoints are probabilities: each answer is drawn from the behaviour of its version. What the
//! nodes and the deciding node do is the code under test.

use comfreyspread_policy::{
    rollout_decider, rollout_judgement, rollout_state, service_versions, version_evidence,
    version_exposure,
};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::time;

const TICK: time::Duration = time::Duration::from_millis(100);
const REPORT_TICKS: u64 = 5;
const NEW_ENDPOINTS: usize = 6;
const NODES: usize = 60;
/// Part of the exposure share that is used, and the share itself.
const CANARY_PART: f64 = 0.8;
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_SLACK: f64 = 50.0;

/// Behaviour of a version's answers.
#[derive(Clone, Copy, Debug)]
pub struct VersionBehaviour {
    /// Part of the answers that fail.
    pub failing: f64,
    /// Multiple of the usual time.
    pub slow: f64,
    /// Only the route of this number is bad.
    pub route: Option<usize>,
    /// Part of the duration after which it is bad.
    pub from: f64,
    /// Requests a second and endpoint from which on it is bad.
    pub load: f64,
}

pub const GOOD: VersionBehaviour =
    VersionBehaviour { failing: 0.0, slow: 1.0, route: None, from: 0.0, load: 0.0 };

/// What a run does.
#[derive(Clone, Copy, Debug)]
pub struct RolloutRun {
    pub behaviour: VersionBehaviour,
    /// Part of all answers that fail, whatever the version.
    pub shared_failures: f64,
    /// Multiple of the usual time of 15 in 100 answers, whatever the version.
    pub shared_slowness: f64,
    /// Requests a second on each route.
    pub rates: [f64; 2],
    pub duration_s: f64,
    /// Time until nodes know the order, and until the new endpoints are warm.
    pub warm_s: f64,
    /// Whether a third of the nodes stand still in the middle of the run, and others take their place.
    pub has_changes: bool,
    pub seed: u64,
}

/// How a run ended.
#[derive(Clone, Debug)]
pub struct RunEnd {
    pub record: types::RolloutRecord,
    /// Time since the order.
    pub ended_s: f64,
    pub new_requests: u64,
    pub all_requests: u64,
    pub new_failures: u64,
}

impl RunEnd {
    /// Requests to the new version beyond what is allowed for one that is bad.
    pub fn excess(&self) -> f64 {
        self.new_requests as f64 - self.all_requests as f64 * EXPOSURE_SHARE - EXPOSURE_SLACK
    }
}

struct ModelNode {
    name: ids::NodeId,
    versions: service_versions::ServiceVersions,
    evidence: version_evidence::VersionEvidence,
    revision: u64,
    is_frozen: bool,
}

fn order(duration_s: f64) -> types::RolloutOrder {
    types::RolloutOrder {
        duration: time::Duration::from_secs_f64(duration_s),
        service: "s".into(),
        to: "v2".into(),
    }
}

fn new_node(
    number: usize,
    allowance: f64,
    random: &mut rngs::SmallRng,
    now: time::Instant,
) -> ModelNode {
    let mut versions = service_versions::ServiceVersions::default();
    versions.enable_rollouts();
    versions.add(&"s".into(), &"v1".into(), true, now);
    versions.add(&"s".into(), &"v2".into(), false, now);
    let rule = service_versions::TrafficRule::new(&order(1.0), None);
    let credit = version_exposure::starting_credit(random.random(), allowance, NODES);
    versions.set_rule(&"s".into(), rule, credit);
    ModelNode {
        name: format!("node-{number}").into(),
        versions,
        evidence: version_evidence::VersionEvidence::default(),
        revision: 0,
        is_frozen: false,
    }
}

fn report(node: &ModelNode) -> types::RolloutReport {
    types::RolloutReport {
        counts: node.evidence.counts(),
        failing: node.evidence.failing(),
        header: types::PeerHeader {
            node: node.name.clone(),
            protocol: 1,
            revision: 0,
            start_id: Default::default(),
        },
        old_running: 0,
        revision: node.revision,
        service: "s".into(),
        to: "v2".into(),
    }
}

/// Plays a roll-out until it is decided, or twice its duration has passed.
pub fn play(run: &RolloutRun, now: time::Instant) -> RunEnd {
    let mut random = rngs::SmallRng::seed_from_u64(run.seed);
    let mut nodes: Vec<_> =
        (0..NODES).map(|number| new_node(number, EXPOSURE_SLACK, &mut random, now)).collect();
    let rules = rollout_judgement::JudgementRules { min_answers: 20, slow_factor: 2.5 };
    let mut decider = rollout_decider::RolloutDecider::new(rules);
    let order = order(run.duration_s);
    let start = rollout_state::RolloutStart {
        order: &order,
        position: types::StorePosition { era: 1, version: 5 },
        share: EXPOSURE_SHARE * CANARY_PART,
        started: time::Duration::ZERO,
        before: None,
    };
    let observing = rollout_state::Rollout::new(&start);
    let mut record = rollout_state::StoredRollout::Observing(observing).into_record();
    let mut end = RunEnd {
        record: record.clone(),
        ended_s: 0.0,
        new_requests: 0,
        all_requests: 0,
        new_failures: 0,
    };
    let ticks = (run.duration_s * 2.0 / TICK.as_secs_f64()) as u32;
    for tick in 0..ticks {
        let at = now + TICK * tick;
        let elapsed = TICK * tick;
        if run.has_changes && tick == ticks / 6 {
            nodes.iter_mut().take(NODES / 3).for_each(|node| node.is_frozen = true);
            let added =
                (NODES..NODES + NODES / 3).map(|number| new_node(number, 0.0, &mut random, now));
            nodes.extend(added.collect::<Vec<_>>());
        }
        if run.has_changes && tick == ticks / 5 {
            nodes.iter_mut().for_each(|node| node.is_frozen = false);
        }
        if elapsed.as_secs_f64() >= run.warm_s {
            send_requests(run, &mut nodes, elapsed, &mut end, &mut random);
        }
        if u64::from(tick) % REPORT_TICKS == 0 {
            let live: Vec<_> =
                nodes.iter().filter(|node| !node.is_frozen).map(|node| node.name.clone()).collect();
            for node in nodes.iter_mut().filter(|node| !node.is_frozen) {
                decider.record_report(&report(node), at);
                let mut rule = service_versions::TrafficRule::new(&order, Some(&record));
                rule.scarce = decider.scarce_routes();
                node.versions.set_rule(&"s".into(), rule, 0.0);
                node.revision = record.revision;
            }
            let is_warm = elapsed.as_secs_f64() >= run.warm_s;
            let new_slots = if is_warm { 6 } else { 0 };
            let canaries = 1;
            let input = rollout_decider::DecisionInput {
                elapsed,
                is_cancelled: false,
                nodes: &live,
                capacity: rollout_decider::VersionCapacity { new_slots, old_slots: 6, canaries },
                now: at,
            };
            let stored = rollout_state::StoredRollout::from_record(record.clone());
            if let Some(next) = decider.next_state(stored, &input) {
                record = next.into_record();
                end.record = record.clone();
                end.ended_s = elapsed.as_secs_f64();
            }
            if rollout_state::is_final(record.phase) {
                break;
            }
        }
    }
    end
}

fn send_requests(
    run: &RolloutRun,
    nodes: &mut [ModelNode],
    elapsed: time::Duration,
    end: &mut RunEnd,
    random: &mut rngs::SmallRng,
) {
    let per_tick: f64 = run.rates.iter().sum::<f64>() * TICK.as_secs_f64();
    let count = per_tick as usize + usize::from(random.random_bool(per_tick.fract()));
    let live: Vec<_> = (0..nodes.len()).filter(|index| !nodes[*index].is_frozen).collect();
    for _ in 0..count {
        let route = usize::from(random.random_bool(run.rates[1] / run.rates.iter().sum::<f64>()));
        let node = &mut nodes[live[random.random_range(0..live.len())]];
        send_request(run, node, route, elapsed, end, random);
    }
}

fn send_request(
    run: &RolloutRun,
    node: &mut ModelNode,
    route: usize,
    elapsed: time::Duration,
    end: &mut RunEnd,
    random: &mut rngs::SmallRng,
) {
    let (service, name): (ids::ServiceName, ids::Text) =
        ("s".into(), format!("route-{route}").into());
    let all_new = node.versions.is_closed(&service, &"v1".into(), time::Instant::now());
    let turn = node.versions.turn(&service, &name);
    let share = turn.map_or(if all_new { 1.0 } else { 0.0 }, |turn| turn.share);
    let is_new = all_new || turn.is_some_and(|turn| turn.admits);
    let version = if is_new { "v2" } else { "v1" };
    node.versions.record_request(&service, &version.into());
    end.all_requests += 1;
    end.new_requests += u64::from(is_new);
    let canaries = if share >= 1.0 { NEW_ENDPOINTS } else { 1 };
    let load = run.rates.iter().sum::<f64>() * share / canaries as f64;
    let behaviour = run.behaviour;
    let is_bad = is_new
        && behaviour.route.is_none_or(|bad| bad == route)
        && elapsed.as_secs_f64() >= behaviour.from * run.duration_s
        && load >= behaviour.load;
    let mut failing = run.shared_failures;
    let mut slow = if random.random_bool(0.15) { run.shared_slowness } else { 1.0 };
    if is_bad {
        failing = failing.max(behaviour.failing);
        slow *= behaviour.slow;
    }
    let failed = random.random_bool(failing);
    end.new_failures += u64::from(failed && is_new);
    let took = 0.03 * random.random_range(0.7..1.6) * slow;
    let times = version_evidence::AnswerTimes {
        answer: Some(time::Duration::from_secs_f64(took)),
        gap: None,
    };
    let outcome = if failed {
        version_evidence::RequestEnd::Failed
    } else {
        version_evidence::RequestEnd::Answered
    };
    let endpoint = format!("{version}-{}", random.random_range(0..canaries)).into();
    node.evidence.record_answer(&name, is_new, &endpoint, outcome, times);
}
