//! From what became of each request and what the stand-ins recorded to the report of a replay.

use crate::{load_generator, trace, types};
use comfreyspread_schema::{ids, types as wire};
use indexmap::{IndexMap, IndexSet};
use std::time;

const ZONE_ALLOWANCE: time::Duration = time::Duration::from_secs(3);
const STEADY_SHARE: f64 = 0.95;
const LARGEST_MICROSECONDS: u64 = 600_000_000;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Quantiles of times.
#[derive(Clone, Debug)]
pub struct TimeHistogram {
    histogram: Option<hdrhistogram::Histogram<u64>>,
}

impl TimeHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self { histogram: hdrhistogram::Histogram::new_with_max(LARGEST_MICROSECONDS, 3).ok() }
    }

    /// Adds a time.
    pub fn record(&mut self, value: time::Duration) {
        let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros);
        }
    }

    /// Returns the quantiles.
    pub fn report(&self) -> types::QuantileReport {
        let at = |quantile: f64| {
            let micros =
                self.histogram.as_ref().map_or(0, |entry| entry.value_at_quantile(quantile));
            micros as f64 / MICROSECONDS_PER_MILLISECOND
        };
        let count = self.histogram.as_ref().map_or(0, hdrhistogram::Histogram::len);
        types::QuantileReport { count, p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

impl Default for TimeHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Everything a replay has seen.
#[derive(Debug)]
pub struct ReplayEvidence<'replay> {
    /// Plan of the replay.
    pub plan: &'replay types::ReplayPlan,
    /// Declarations of the deployment.
    pub declarations: &'replay wire::Declarations,
    /// Requests.
    pub trace: &'replay trace::RequestTrace,
    /// What became of the requests.
    pub outcomes: &'replay [load_generator::CallOutcome],
    /// What the endpoints received.
    pub records: &'replay types::CallRecords,
    /// Start of the trace by the clock of the records.
    pub trace_start: time::Duration,
    /// Whether the zone went out and back.
    pub zone_change: bool,
}

#[derive(Debug, Default)]
struct GroupTally {
    report: Option<types::GroupReport>,
    times: TimeHistogram,
}

impl ReplayEvidence<'_> {
    /// Returns the groups of requests, without those of the warm-up.
    pub fn groups(&self) -> Vec<types::GroupReport> {
        let mut groups = IndexMap::<GroupKey, GroupTally>::new();
        for outcome in self.counted() {
            for key in self.keys(outcome) {
                let tally = groups.entry(key.clone()).or_default();
                self.add(tally, key, outcome);
            }
        }
        let finish = |tally: GroupTally| {
            let times = tally.times.report();
            tally.report.map(|report| types::GroupReport { times, ..report })
        };
        let mut reports: Vec<_> = groups.into_values().filter_map(finish).collect();
        reports.sort_by(|one, other| (&one.kind, &one.name).cmp(&(&other.kind, &other.name)));
        reports
    }

    /// Returns the outcome of each second of the trace.
    pub fn seconds(&self) -> Vec<types::SecondReport> {
        let length = trace::length(self.plan).as_secs();
        let empty = |second| types::SecondReport {
            on_time: 0,
            high_on_time: 0,
            high_requests: 0,
            requests: 0,
            second,
        };
        let mut seconds: Vec<_> = (0..=length).map(empty).collect();
        for outcome in self.outcomes {
            let due = self.trace.requests()[outcome.index].due.as_secs();
            let index = usize::try_from(due).unwrap_or(usize::MAX);
            let Some(second) = seconds.get_mut(index) else { continue };
            let attained = u64::from(self.attained(outcome));
            let high = u64::from(self.profile(outcome).priority == wire::PriorityLevel::High);
            second.requests += 1;
            second.on_time += attained;
            second.high_requests += high;
            second.high_on_time += high * attained;
        }
        seconds
    }

    /// Returns the calls and the cost of each pool.
    pub fn stages(&self) -> Vec<types::StageReport> {
        let mut seen = IndexSet::new();
        let empty = |pool: &wire::PoolDeclaration| {
            let report =
                types::StageReport { calls: 0, cost: 0, pool: pool.name.clone(), retries: 0 };
            (pool.name.clone(), report)
        };
        let mut stages: IndexMap<_, _> = self.declarations.pools.iter().map(empty).collect();
        for record in self.records.records.iter().filter(|record| !record.refused) {
            let pool = self.pool_of(&record.endpoint);
            let Some(pool) = pool else { continue };
            let Some(stage) = stages.get_mut(&pool.name) else { continue };
            let first = seen.insert((record.request.clone(), record.target.clone()));
            stage.calls += 1;
            stage.cost += pool.call_cost;
            stage.retries += u64::from(!first);
        }
        stages.into_values().collect()
    }

    /// Returns the times to the first token of streamed answers.
    pub fn first_token(&self) -> types::QuantileReport {
        let mut times = TimeHistogram::new();
        for first in self.counted().filter_map(|outcome| outcome.token_times.first()) {
            times.record(*first);
        }
        times.report()
    }

    /// Returns the times between the tokens of streamed answers.
    pub fn between_tokens(&self) -> types::QuantileReport {
        let mut times = TimeHistogram::new();
        for outcome in self.counted() {
            for pair in outcome.token_times.windows(2) {
                times.record(pair[1].saturating_sub(pair[0]));
            }
        }
        times.report()
    }

    /// Returns what was recorded against what must always hold.
    pub fn promises(&self) -> types::InvariantReport {
        let runs = self.runs();
        let records = &self.records.records;
        let over =
            |cold: bool| records.iter().filter(move |r| r.calls_over_limit > 0 && r.cold == cold);
        let ended = |status| self.outcomes.iter().filter(|entry| entry.status == status).count();
        let most = runs.values().map(|run| run.started).max();
        types::InvariantReport {
            cold_calls_over: count(over(true).count()),
            max_cold_excess: over(true).map(|record| record.calls_over_limit).max().unwrap_or(0),
            truncated_answers: count(ended(load_generator::CallStatus::Truncated)),
            duplicate_runs: count(runs.values().filter(|run| run.started > 1).count()),
            dropped_records: self.records.dropped,
            lost_runs: self.lost(&runs),
            misrouted_answers: count(ended(load_generator::CallStatus::Misrouted)),
            runs_per_key: most.unwrap_or(0),
            false_not_run: self.untrue_refusals(),
            warm_calls_over: count(over(false).count()),
            disabled_zone_calls: self.zone_breaches(),
        }
    }

    /// Returns the requests a second answered whole in time after the warm-up.
    pub fn goodput(&self) -> f64 {
        let attained = self.counted().filter(|outcome| self.attained(outcome)).count();
        let counted = trace::length(self.plan).saturating_sub(self.plan.warm);
        attained as f64 / counted.as_secs_f64()
    }

    fn counted(&self) -> impl Iterator<Item = &load_generator::CallOutcome> {
        self.outcomes.iter().filter(|outcome| self.request(outcome).due >= self.plan.warm)
    }

    fn request(&self, outcome: &load_generator::CallOutcome) -> &trace::TraceRequest {
        &self.trace.requests()[outcome.index]
    }

    fn kind(&self, outcome: &load_generator::CallOutcome) -> &types::RequestKind {
        &self.plan.kinds[self.request(outcome).kind]
    }

    fn profile(&self, outcome: &load_generator::CallOutcome) -> &wire::ProfileDeclaration {
        let name = &self.kind(outcome).profile;
        let profiles = &self.declarations.profiles;
        profiles.iter().find(|profile| profile.name == *name).unwrap_or(&profiles[0])
    }

    fn attained(&self, outcome: &load_generator::CallOutcome) -> bool {
        outcome.status == load_generator::CallStatus::Answered
            && outcome.latency <= self.profile(outcome).deadline
    }

    fn keys(&self, outcome: &load_generator::CallOutcome) -> [GroupKey; 5] {
        let request = self.request(outcome);
        [
            GroupKey::new("all", "all"),
            GroupKey::new("phase", self.phase(request.due)),
            GroupKey::new("priority", &self.profile(outcome).priority.to_string()),
            GroupKey::new("profile", &self.kind(outcome).profile),
            GroupKey::new("workspace", &request.workspace),
        ]
    }

    fn phase(&self, due: time::Duration) -> &'static str {
        let out = self.plan.warm + self.plan.before;
        if !self.zone_change || due < out {
            "before"
        } else if due < out + self.plan.out {
            "during"
        } else {
            "after"
        }
    }

    fn add(&self, tally: &mut GroupTally, key: GroupKey, outcome: &load_generator::CallOutcome) {
        let attained = self.attained(outcome);
        let report = tally.report.get_or_insert_with(|| key.empty_report());
        report.requests += 1;
        match outcome.status {
            load_generator::CallStatus::Answered if attained => report.on_time += 1,
            load_generator::CallStatus::Answered => report.late += 1,
            load_generator::CallStatus::Truncated | load_generator::CallStatus::Misrouted => {
                report.incorrect += 1
            }
            load_generator::CallStatus::NotRun => report.not_run += 1,
            load_generator::CallStatus::MayHaveRun => report.may_have_run += 1,
        }
        if outcome.status == load_generator::CallStatus::Answered {
            tally.times.record(outcome.latency);
        }
    }

    fn pool_of(&self, endpoint: &ids::EndpointId) -> Option<&wire::PoolDeclaration> {
        let found = self.declarations.endpoints.iter().find(|entry| entry.name == *endpoint)?;
        self.declarations.pools.iter().find(|pool| pool.name == found.pool)
    }

    /// Returns the runs of each idempotency key of a call that may not be repeated.
    fn runs(&self) -> IndexMap<ids::IdempotencyKey, KeyRuns> {
        let mut runs = IndexMap::<ids::IdempotencyKey, KeyRuns>::new();
        let services = &self.declarations.services;
        let unrepeatable = |record: &&types::CallRecord| {
            services.iter().any(|entry| entry.name == record.target && !entry.idempotent)
        };
        let ran = self.records.records.iter().filter(|record| !record.refused);
        for record in ran.filter(unrepeatable) {
            let Some(key) = &record.key else { continue };
            let run = runs.entry(key.clone()).or_default();
            run.started += 1;
            run.finished += u32::from(record.finished);
        }
        runs
    }

    fn lost(&self, runs: &IndexMap<ids::IdempotencyKey, KeyRuns>) -> u64 {
        let answered = self
            .outcomes
            .iter()
            .filter(|entry| entry.status == load_generator::CallStatus::Answered);
        let keyed = answered.filter(|entry| self.kind(entry).keyed);
        let unfinished = |outcome: &&load_generator::CallOutcome| {
            let run = runs.get(&self.request(outcome).marker);
            run.is_none_or(|run| run.finished == 0)
        };
        count(keyed.filter(unfinished).count())
    }

    fn untrue_refusals(&self) -> u64 {
        let ran = self.records.records.iter().filter(|record| !record.refused);
        let reached: IndexSet<_> = ran.map(|record| &record.request).collect();
        let refused = self.outcomes.iter().flat_map(|outcome| &outcome.not_run_ids);
        count(refused.filter(|request| reached.contains(request)).count())
    }

    fn zone_breaches(&self) -> u64 {
        if !self.zone_change {
            return 0;
        }
        let out = self.trace_start + self.plan.warm + self.plan.before;
        let span = out + ZONE_ALLOWANCE..out + self.plan.out;
        let endpoints = &self.declarations.endpoints;
        let within = |record: &&types::CallRecord| {
            span.contains(&record.arrived)
                && endpoints
                    .iter()
                    .any(|entry| entry.name == record.endpoint && entry.zone == self.plan.zone)
        };
        count(self.records.records.iter().filter(within).count())
    }
}

/// Runs of one idempotency key.
#[derive(Debug, Default)]
struct KeyRuns {
    started: u32,
    finished: u32,
}

/// What a group of requests shares.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct GroupKey {
    kind: ids::Text,
    name: ids::Text,
}

impl GroupKey {
    fn new(kind: &str, name: &str) -> Self {
        Self { kind: kind.into(), name: name.into() }
    }

    fn empty_report(&self) -> types::GroupReport {
        types::GroupReport {
            on_time: 0,
            kind: self.kind.clone(),
            late: 0,
            may_have_run: 0,
            name: self.name.clone(),
            not_run: 0,
            requests: 0,
            times: TimeHistogram::new().report(),
            incorrect: 0,
        }
    }
}

/// Returns the longest time during which the attainment of high priority stayed below 95% of the
/// steady value, which is that of the time before the zone change.
pub fn longest_dip(plan: &types::ReplayPlan, seconds: &[types::SecondReport]) -> time::Duration {
    let from = plan.warm.as_secs();
    let change = from + plan.before.as_secs();
    let steady = seconds.iter().filter(|entry| (from..change).contains(&entry.second));
    let (mut requests, mut attained) = (0, 0);
    for second in steady {
        requests += second.high_requests;
        attained += second.high_on_time;
    }
    let bound = STEADY_SHARE * attained as f64 / requests.max(1) as f64;
    let mut longest = 0;
    let mut current = 0;
    for second in seconds.iter().filter(|entry| entry.second >= from && entry.high_requests > 0) {
        let share = second.high_on_time as f64 / second.high_requests as f64;
        current = if share < bound { current + 1 } else { 0 };
        longest = longest.max(current);
    }
    time::Duration::from_secs(longest)
}

fn count(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
