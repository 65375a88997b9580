//! Decides on one roll-out, from the reports of all nodes.
//!
//! Reports are cumulative, so the node that takes over from a lost decider has the whole evidence of
//! the nodes that live after one report of each. What is decided is in force once it is stored under
//! a condition on the record before; of two deciders the store lets one write.
//!
//! | time since the order | what happens |
//! |---|---|
//! | from the start | the version gets its share; it is rolled back as soon as it proves bad |
//! | half of the duration or more | if it has proved good, requests move in two steps |
//! | all moved | once the other endpoints are idle, the roll-out is done |
//! | 2 s before the end, undecided | it is rolled back: a version in doubt costs callers their answers, one that waits for another order costs them nothing |

use crate::{rollout_judgement, rollout_state, version_evidence};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{collections, time};

/// Part of the duration for which a version is observed at least: it may turn bad later.
const MIN_OBSERVED_PART: f64 = 0.5;
/// Part of the duration for which a version is observed if time allows.
const OBSERVED_PART: f64 = 0.6;
/// Time that moving all requests, and the end of those in flight, may take.
const MOVE_TIME: time::Duration = time::Duration::from_secs(5);
/// Time before the end at which a roll-out that is still observed is rolled back.
const GIVE_UP_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Part of a short duration after which an undecided roll-out is rolled back.
const GIVE_UP_PART: f64 = 0.75;
/// Minimum time between two steps of a move.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Time for which recent answers are judged apart from all, so that a version that turns bad is
/// not covered by its earlier answers.
const RECENT_TIME: time::Duration = time::Duration::from_secs(3);
/// Age of a report up to which its sender counts as known.
const REPORT_LIFETIME: time::Duration = time::Duration::from_secs(2);
/// Slots of the new version that are needed to move, as a part of those of the others.
const MIN_CAPACITY: f64 = 0.5;

/// Report of one node.
#[derive(Clone, Debug)]
struct NodeReport {
    start_id: ids::ProcessStartId,
    evidence: version_evidence::VersionEvidence,
    old_running: u64,
    revision: u64,
    received_at: time::Instant,
}

/// Endpoints of a service, by version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VersionCapacity {
    /// Slots of warm endpoints of the new version.
    pub new_slots: u32,
    /// Slots of the endpoints of other versions.
    pub old_slots: u32,
    /// Endpoints of the new version that get requests.
    pub canaries: usize,
}

/// What a decision depends on beside the reports.
#[derive(Clone, Debug)]
pub struct DecisionInput<'input> {
    /// Time since the roll-out began.
    pub elapsed: time::Duration,
    /// Whether the operator has taken back the order.
    pub is_cancelled: bool,
    /// Live nodes that take requests.
    pub nodes: &'input [ids::NodeId],
    /// Endpoints of the service.
    pub capacity: VersionCapacity,
    /// Present time.
    pub now: time::Instant,
}

/// Evidence and timing of one roll-out at the node that decides.
#[derive(Debug)]
pub struct RolloutDecider {
    rules: rollout_judgement::JudgementRules,
    reports: IndexMap<ids::NodeId, NodeReport>,
    /// Counts of processes that were started anew.
    ended: version_evidence::VersionEvidence,
    history: collections::VecDeque<(time::Instant, version_evidence::VersionEvidence)>,
    stepped_at: Option<time::Instant>,
}

impl RolloutDecider {
    /// Creates a decider without reports.
    pub fn new(rules: rollout_judgement::JudgementRules) -> Self {
        Self {
            rules,
            reports: IndexMap::new(),
            ended: version_evidence::VersionEvidence::default(),
            history: collections::VecDeque::new(),
            stepped_at: None,
        }
    }

    /// Takes in the report of a node.
    pub fn record_report(&mut self, report: &types::RolloutReport, now: time::Instant) {
        let mut evidence = version_evidence::VersionEvidence::default();
        evidence.merge(&report.counts, &report.failing);
        let received = NodeReport {
            start_id: report.header.start_id,
            evidence,
            old_running: report.old_running,
            revision: report.revision,
            received_at: now,
        };
        let before = self.reports.insert(report.header.node.clone(), received);
        if let Some(before) = before.filter(|before| before.start_id != report.header.start_id) {
            self.ended.merge(&before.evidence.counts(), &before.evidence.failing());
        }
    }

    /// Returns whether a node has reported lately.
    pub fn has_reports(&self, now: time::Instant) -> bool {
        self.reports.values().any(|report| report.is_fresh(now))
    }

    /// Returns the counts of all nodes.
    pub fn total(&self) -> version_evidence::VersionEvidence {
        let mut total = self.ended.clone();
        for report in self.reports.values() {
            total.merge(&report.evidence.counts(), &report.evidence.failing());
        }
        total
    }

    /// Returns the routes of which the version has had too few requests.
    pub fn scarce_routes(&self) -> Vec<ids::Text> {
        rollout_judgement::scarce_routes(&self.total(), &self.rules)
    }

    /// Returns the next state of a roll-out, to be stored; none if it stays as it is.
    pub fn next_state(
        &mut self,
        rollout: rollout_state::StoredRollout,
        input: &DecisionInput<'_>,
    ) -> Option<rollout_state::StoredRollout> {
        use rollout_state::StoredRollout as Stored;
        let judgement = self.judge(input);
        match rollout {
            Stored::Done(_) | Stored::RolledBack(_) => None,
            Stored::Observing(rollout) => {
                if let Some(reason) = stop_reason(&judgement, input) {
                    return Some(Stored::RolledBack(rollout.roll_back(&reason)));
                }
                self.next_observed(rollout, &judgement, input)
            }
            Stored::Moving(rollout) => {
                if let Some(reason) = stop_reason(&judgement, input) {
                    return Some(Stored::RolledBack(rollout.roll_back(&reason)));
                }
                self.next_moved(rollout, &judgement, input)
            }
        }
    }

    fn next_observed(
        &mut self,
        rollout: rollout_state::Rollout<rollout_state::ObservingPhase>,
        judgement: &rollout_judgement::VersionJudgement,
        input: &DecisionInput<'_>,
    ) -> Option<rollout_state::StoredRollout> {
        use rollout_state::StoredRollout as Stored;
        let duration = rollout.record().duration;
        let has_capacity = input.capacity.has_room();
        if *judgement == rollout_judgement::VersionJudgement::Good
            && has_capacity
            && input.elapsed >= move_time(duration)
        {
            self.stepped_at = Some(input.now);
            return Some(Stored::Moving(rollout.start_move()));
        }
        if input.elapsed < give_up_time(duration) {
            return None;
        }
        let reason = match judgement {
            rollout_judgement::VersionJudgement::Doubtful(reason)
            | rollout_judgement::VersionJudgement::Scarce(reason) => reason.to_string(),
            _ => "too few endpoints are ready".to_owned(),
        };
        Some(Stored::RolledBack(rollout.roll_back(&format!("not proved in time: {reason}"))))
    }

    fn next_moved(
        &mut self,
        rollout: rollout_state::Rollout<rollout_state::MovingPhase>,
        judgement: &rollout_judgement::VersionJudgement,
        input: &DecisionInput<'_>,
    ) -> Option<rollout_state::StoredRollout> {
        use rollout_state::StoredRollout as Stored;
        let stepped_at = *self.stepped_at.get_or_insert(input.now);
        let is_doubtful = matches!(judgement, rollout_judgement::VersionJudgement::Doubtful(_));
        if is_doubtful || input.now.saturating_duration_since(stepped_at) < STEP_INTERVAL {
            return None;
        }
        if !rollout.is_complete() {
            self.stepped_at = Some(input.now);
            return Some(Stored::Moving(rollout.move_all()));
        }
        let is_idle = self.is_idle(rollout.record().revision, input);
        is_idle.then(|| Stored::Done(rollout.finish()))
    }

    /// Judges all answers, and those of late alone; the worse judgement counts.
    fn judge(&mut self, input: &DecisionInput<'_>) -> rollout_judgement::VersionJudgement {
        use rollout_judgement::VersionJudgement as Judgement;
        let total = self.total();
        let canaries = input.capacity.canaries;
        let of_all = rollout_judgement::judge(&total, canaries, &self.rules);
        let is_old =
            |(at, _): &(time::Instant, _)| input.now.saturating_duration_since(*at) > RECENT_TIME;
        while self.history.get(1).is_some_and(is_old) {
            self.history.pop_front();
        }
        let of_late = self.history.front().map(|(_, earlier)| {
            rollout_judgement::judge(&total.since(earlier), canaries, &self.rules)
        });
        self.history.push_back((input.now, total));
        match (of_all, of_late) {
            (bad @ Judgement::Bad(_), _) | (_, Some(bad @ Judgement::Bad(_))) => bad,
            (doubt @ Judgement::Doubtful(_), _) | (_, Some(doubt @ Judgement::Doubtful(_))) => {
                doubt
            }
            (of_all, _) => of_all,
        }
    }

    /// Returns whether no node has requests in flight at other versions: each one follows the record
    /// of this revision and has none left.
    fn is_idle(&self, revision: u64, input: &DecisionInput<'_>) -> bool {
        input.nodes.iter().all(|node| {
            self.reports.get(node).is_some_and(|report| {
                report.is_fresh(input.now) && report.revision >= revision && report.old_running == 0
            })
        })
    }
}

impl NodeReport {
    fn is_fresh(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_LIFETIME
    }
}

impl VersionCapacity {
    fn has_room(&self) -> bool {
        self.new_slots > 0 && f64::from(self.new_slots) >= f64::from(self.old_slots) * MIN_CAPACITY
    }
}

/// Returns why a roll-out ends at once.
fn stop_reason(
    judgement: &rollout_judgement::VersionJudgement,
    input: &DecisionInput<'_>,
) -> Option<ids::Text> {
    match judgement {
        _ if input.is_cancelled => Some("the order was taken back".into()),
        rollout_judgement::VersionJudgement::Bad(reason) => Some(reason.clone()),
        _ => None,
    }
}

/// Returns the time since the order from which on requests move.
fn move_time(duration: time::Duration) -> time::Duration {
    let latest = duration.saturating_sub(MOVE_TIME).min(duration.mul_f64(OBSERVED_PART));
    latest.max(duration.mul_f64(MIN_OBSERVED_PART))
}

/// Returns the time since the order at which an undecided roll-out is rolled back.
fn give_up_time(duration: time::Duration) -> time::Duration {
    duration.saturating_sub(GIVE_UP_MARGIN).max(duration.mul_f64(GIVE_UP_PART))
}
