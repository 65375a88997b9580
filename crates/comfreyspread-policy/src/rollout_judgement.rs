//! Whether a version under roll-out is worse than the others, from answers of the same moments.
//!
//! Each route is judged by itself, since a version may be bad on one of them only. What both
//! versions suffer from, such as a bad link, counts against neither: the failures and the slow
//! answers of the other version are what the new one is compared with. The error rates of the tests
//! are worked out in docs/design/rollouts.md.

use crate::version_evidence;
use comfreyspread_schema::{ids, types};

/// Probability below which the failures of a version as good as the others count as proof.
const PROOF_LEVEL: f64 = 1e-5;
/// Probability below which they are a reason to wait.
const DOUBT_LEVEL: f64 = 1e-2;
/// Rate by which a version may exceed the other's before that can count as proof.
const PROOF_MARGIN: f64 = 0.05;
/// The same for a reason to wait.
const DOUBT_MARGIN: f64 = 0.02;
/// Additional rate of requests without a complete answer: an endpoint that crashes for another
/// reason breaks many at once.
const BROKEN_MARGIN: f64 = 0.2;
/// Additional rate of slow answers.
const SLOW_MARGIN: f64 = 0.1;
/// Multiple of the other version's median time to the first event that counts as slow. The new
/// version's endpoints have cached nothing yet and read whole prompts.
const FIRST_EVENT_FACTOR: f64 = 5.0;
/// Answers of the other version needed to compare times.
const MIN_COMPARED: u64 = 10;
/// Part of the failures at one endpoint from which on the endpoint, not the version, is at fault.
const MAX_CONCENTRATION: f64 = 0.7;
/// Failed answers at which a doubt is enough to end a roll-out.
const MAX_DOUBTED_FAILURES: u64 = 30;

/// What operators set for the judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgementRules {
    /// Answers of the new version needed on each route.
    pub min_answers: u64,
    /// Multiple of the other version's median time that counts as slow.
    pub slow_factor: f64,
}

/// Judgement on a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionJudgement {
    /// It is worse than the others.
    Bad(ids::Text),
    /// It may be worse.
    Doubtful(ids::Text),
    /// There are too few answers.
    Scarce(ids::Text),
    /// It is no worse than the others.
    Good,
}

/// Judges a version. `canaries` is the number of its endpoints that get requests.
pub fn judge(
    evidence: &version_evidence::VersionEvidence,
    canaries: usize,
    rules: &JudgementRules,
) -> VersionJudgement {
    let is_spread = is_spread(evidence, canaries);
    let mut judgement = VersionJudgement::Good;
    for route in evidence.routes() {
        let judged = judge_route(evidence, &route, is_spread, rules);
        if rank(&judged) > rank(&judgement) {
            judgement = judged;
        }
    }
    if evidence.routes().is_empty() {
        return VersionJudgement::Scarce("no answers yet".into());
    }
    judgement
}

/// Returns the routes on which the version has had the fewest answers, unless all have enough.
pub fn scarce_routes(
    evidence: &version_evidence::VersionEvidence,
    rules: &JudgementRules,
) -> Vec<ids::Text> {
    let answers = |route: &ids::Text| {
        evidence.of_route(route, true).map_or(0, |counts| counts.answers + counts.broken)
    };
    let is_scarce = |route: &ids::Text| {
        answers(route) < rules.min_answers && expects_answers(evidence, route, rules)
    };
    evidence.routes().into_iter().filter(is_scarce).collect()
}

fn rank(judgement: &VersionJudgement) -> u8 {
    match judgement {
        VersionJudgement::Good => 0,
        VersionJudgement::Scarce(_) => 1,
        VersionJudgement::Doubtful(_) => 2,
        VersionJudgement::Bad(_) => 3,
    }
}

/// Returns whether failures are spread over the version's endpoints. One endpoint that fails alone
/// is not a sign of its version.
fn is_spread(evidence: &version_evidence::VersionEvidence, canaries: usize) -> bool {
    let failing = evidence.failing();
    let total: u64 = failing.iter().map(|endpoint| endpoint.failures).sum();
    let most = failing.iter().map(|endpoint| endpoint.failures).max().unwrap_or(0);
    canaries <= 1 || (most as f64) < total as f64 * MAX_CONCENTRATION
}

/// Returns whether a route has so many requests that the version should have had some of them.
fn expects_answers(
    evidence: &version_evidence::VersionEvidence,
    route: &ids::Text,
    rules: &JudgementRules,
) -> bool {
    let old = evidence.of_route(route, false).map_or(0, |counts| counts.answers);
    old >= rules.min_answers
}

fn judge_route(
    evidence: &version_evidence::VersionEvidence,
    route: &ids::Text,
    is_spread: bool,
    rules: &JudgementRules,
) -> VersionJudgement {
    let empty = version_evidence::empty_counts(route, true);
    let new = evidence.of_route(route, true).unwrap_or(&empty);
    let old = evidence.of_route(route, false).unwrap_or(&empty);
    let mut doubt = None;
    for measure in measures(new, old, rules) {
        if measure.needs_spread && !is_spread {
            continue;
        }
        let reason = measure.reason(route);
        if measure.sample.is_above(PROOF_MARGIN + measure.margin, PROOF_LEVEL) {
            return VersionJudgement::Bad(reason);
        }
        if measure.sample.is_above(DOUBT_MARGIN + measure.margin, DOUBT_LEVEL) {
            if measure.max_doubted.is_some_and(|most| measure.sample.count >= most) {
                return VersionJudgement::Bad(reason);
            }
            doubt.get_or_insert(reason);
        }
    }
    if let Some(reason) = doubt {
        return VersionJudgement::Doubtful(reason);
    }
    if new.answers < rules.min_answers && expects_answers(evidence, route, rules) {
        let reason = format!("{} answers on {route}, {} needed", new.answers, rules.min_answers);
        return VersionJudgement::Scarce(reason.into());
    }
    VersionJudgement::Good
}

/// One way in which a version may be worse.
#[derive(Clone, Copy, Debug)]
struct VersionMeasure {
    name: &'static str,
    sample: RateSample,
    /// Rate beside the usual margin by which the version may exceed the other.
    margin: f64,
    /// Whether it counts only if it is spread over endpoints.
    needs_spread: bool,
    /// Count from which on a doubt is enough.
    max_doubted: Option<u64>,
}

impl VersionMeasure {
    fn reason(&self, route: &ids::Text) -> ids::Text {
        let RateSample { count, total, compared } = self.sample;
        let percent = compared * 100.0;
        let name = self.name;
        format!("{name} on {route}: {count} of {total}, {percent:.1} in 100 of the others'").into()
    }
}

fn measures(
    new: &types::VersionCounts,
    old: &types::VersionCounts,
    rules: &JudgementRules,
) -> [VersionMeasure; 4] {
    let times = slow_sample(&new.times, &old.times, answer_factor(new, rules));
    let gaps = slow_sample(&new.gaps, &old.gaps, rules.slow_factor);
    let measure = |name, sample, margin| VersionMeasure {
        name,
        sample,
        margin,
        needs_spread: false,
        max_doubted: None,
    };
    let failures = measure("failures", failure_sample(new, old), 0.0);
    let broken = measure("broken answers", broken_sample(new, old), BROKEN_MARGIN);
    [
        VersionMeasure { needs_spread: true, max_doubted: Some(MAX_DOUBTED_FAILURES), ..failures },
        VersionMeasure { needs_spread: true, ..broken },
        measure("slow answers", times, SLOW_MARGIN),
        measure("slow events", gaps, SLOW_MARGIN),
    ]
}

/// Returns the factor on the time to an answer. Only streams have gaps between events; their time is
/// that to the first event.
fn answer_factor(new: &types::VersionCounts, rules: &JudgementRules) -> f64 {
    if new.gaps.is_empty() { rules.slow_factor } else { FIRST_EVENT_FACTOR }
}

/// How often something happened to a version, and the rate with which it happened to the others.
#[derive(Clone, Copy, Debug)]
struct RateSample {
    count: u64,
    total: u64,
    compared: f64,
}

impl RateSample {
    /// Returns whether the count is improbable for a rate `margin` above the compared one.
    fn is_above(&self, margin: f64, level: f64) -> bool {
        let rate = (self.compared + margin).min(1.0);
        self.count > 0 && tail_probability(self.count, self.total, rate) < level
    }
}

fn failure_sample(new: &types::VersionCounts, old: &types::VersionCounts) -> RateSample {
    let compared = rate(old.failures, old.answers);
    RateSample { count: new.failures, total: new.answers, compared }
}

fn broken_sample(new: &types::VersionCounts, old: &types::VersionCounts) -> RateSample {
    let compared = rate(old.broken, old.answers + old.broken);
    RateSample { count: new.broken, total: new.answers + new.broken, compared }
}

fn slow_sample(new: &[u32], old: &[u32], factor: f64) -> RateSample {
    let total = |buckets: &[u32]| buckets.iter().map(|count| u64::from(*count)).sum::<u64>();
    let compared = version_evidence::median_bucket(old).filter(|_| total(old) >= MIN_COMPARED);
    let Some(middle) = compared else {
        return RateSample { count: 0, total: total(new), compared: 1.0 };
    };
    let above = |buckets| version_evidence::count_above(buckets, middle, factor);
    RateSample { count: above(new), total: total(new), compared: rate(above(old), total(old)) }
}

fn rate(count: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { count as f64 / total as f64 }
}

/// Returns the probability that `count` or more of `total` events happen, each with this rate.
pub fn tail_probability(count: u64, total: u64, rate: f64) -> f64 {
    if count == 0 || rate >= 1.0 || count as f64 <= total as f64 * rate {
        return 1.0;
    }
    if rate <= 0.0 {
        return 0.0;
    }
    let odds = rate / (1.0 - rate);
    let chosen: f64 =
        (0..count).map(|index| ((total - index) as f64 / (index + 1) as f64).ln()).sum();
    let log = chosen + count as f64 * rate.ln() + (total - count) as f64 * (1.0 - rate).ln();
    let mut term = log.exp();
    let mut sum = term;
    for index in count..total {
        term *= (total - index) as f64 / (index + 1) as f64 * odds;
        sum += term;
        if term < sum * f64::EPSILON {
            break;
        }
    }
    sum.min(1.0)
}
