//! Metrics and invariant checks of a replay, computed from the outcome of each request and the calls
//! that the endpoint stand-ins recorded.

use crate::{load_generator, trace, types};
use comfreyspread_schema::{ids, types as wire};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Time within which nodes apply a change of the zones in service.
const ZONE_CHANGE_TIME: time::Duration = time::Duration::from_secs(3);
const DIP_THRESHOLD: f64 = 0.95;
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const MICROS_PER_MILLI: f64 = 1000.0;

/// Histogram of latencies of up to 10 minutes.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Option<hdrhistogram::Histogram<u64>>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self { histogram: hdrhistogram::Histogram::new_with_max(MAX_LATENCY_MICROS, 3).ok() }
    }

    /// Records a latency; one above the maximum counts as the maximum.
    pub fn record(&mut self, latency: time::Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros);
        }
    }

    /// Returns the quantiles.
    pub fn report(&self) -> types::QuantileReport {
        let millis_at = |quantile: f64| {
            let micros = self
                .histogram
                .as_ref()
                .map_or(0, |histogram| histogram.value_at_quantile(quantile));
            micros as f64 / MICROS_PER_MILLI
        };
        let count = self.histogram.as_ref().map_or(0, hdrhistogram::Histogram::len);
        types::QuantileReport {
            count,
            p50: millis_at(0.5),
            p95: millis_at(0.95),
            p99: millis_at(0.99),
        }
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Inputs of the report of a replay.
#[derive(Debug)]
pub struct ReplayAnalysis<'replay> {
    /// Plan of the replay.
    pub plan: &'replay types::ReplayPlan,
    /// Declarations of the deployment.
    pub declarations: &'replay wire::Declarations,
    /// Trace of the requests.
    pub trace: &'replay trace::RequestTrace,
    /// Outcomes of the requests.
    pub outcomes: &'replay [load_generator::CallOutcome],
    /// Calls that the endpoints received.
    pub records: &'replay types::CallRecords,
    /// Start of the trace, in the time of the records.
    pub trace_start: time::Duration,
    /// Whether the zone was taken out of service and back.
    pub zone_change: bool,
}

/// Counts and latencies of one group of requests.
#[derive(Debug, Default)]
struct GroupMetrics {
    report: Option<types::GroupReport>,
    latencies: LatencyHistogram,
}

impl ReplayAnalysis<'_> {
    /// Returns the outcome of each group of requests, without the warm-up.
    pub fn groups(&self) -> Vec<types::GroupReport> {
        let mut groups = IndexMap::<GroupKey, GroupMetrics>::new();
        for outcome in self.measured_outcomes() {
            for key in self.group_keys(outcome) {
                let metrics = groups.entry(key.clone()).or_default();
                self.add_outcome(metrics, key, outcome);
            }
        }
        let finish = |metrics: GroupMetrics| {
            let times = metrics.latencies.report();
            metrics.report.map(|report| types::GroupReport { times, ..report })
        };
        let mut reports: Vec<_> = groups.into_values().filter_map(finish).collect();
        reports.sort_by(|one, other| (&one.kind, &one.name).cmp(&(&other.kind, &other.name)));
        reports
    }

    /// Returns the outcome of the requests due in each second of the trace.
    pub fn seconds(&self) -> Vec<types::SecondReport> {
        let length = trace::duration(self.plan).as_secs();
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
            let on_time = u64::from(self.is_on_time(outcome));
            let high = u64::from(self.profile(outcome).priority == wire::PriorityLevel::High);
            second.requests += 1;
            second.on_time += on_time;
            second.high_requests += high;
            second.high_on_time += high * on_time;
        }
        seconds
    }

    /// Returns the calls, the cost and the retries of each pool.
    pub fn stages(&self) -> Vec<types::StageReport> {
        let mut seen_stages = IndexSet::new();
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
            let is_first = seen_stages.insert((record.request.clone(), record.target.clone()));
            stage.calls += 1;
            stage.cost += pool.call_cost;
            stage.retries += u64::from(!is_first);
        }
        stages.into_values().collect()
    }

    /// Returns quantiles of the time to the first token of streamed responses.
    pub fn first_token(&self) -> types::QuantileReport {
        let mut latencies = LatencyHistogram::new();
        for first in self.measured_outcomes().filter_map(|outcome| outcome.token_times.first()) {
            latencies.record(*first);
        }
        latencies.report()
    }

    /// Returns quantiles of the time between tokens of streamed responses.
    pub fn between_tokens(&self) -> types::QuantileReport {
        let mut latencies = LatencyHistogram::new();
        for outcome in self.measured_outcomes() {
            for pair in outcome.token_times.windows(2) {
                latencies.record(pair[1].saturating_sub(pair[0]));
            }
        }
        latencies.report()
    }

    /// Returns the violations of the invariants.
    pub fn invariants(&self) -> types::InvariantReport {
        let runs = self.runs_by_key();
        let records = &self.records.records;
        let over_limit =
            |cold: bool| records.iter().filter(move |r| r.calls_over_limit > 0 && r.cold == cold);
        let ended_with =
            |status| self.outcomes.iter().filter(|entry| entry.status == status).count();
        let max_runs = runs.values().map(|run| run.started).max();
        types::InvariantReport {
            cold_calls_over: count(over_limit(true).count()),
            max_cold_excess: over_limit(true)
                .map(|record| record.calls_over_limit)
                .max()
                .unwrap_or(0),
            truncated_answers: count(ended_with(load_generator::CallStatus::Truncated)),
            duplicate_runs: count(runs.values().filter(|run| run.started > 1).count()),
            dropped_records: self.records.dropped,
            lost_runs: self.count_lost_runs(&runs),
            misrouted_answers: count(ended_with(load_generator::CallStatus::Misrouted)),
            runs_per_key: max_runs.unwrap_or(0),
            false_not_run: self.count_false_not_run(),
            warm_calls_over: count(over_limit(false).count()),
            disabled_zone_calls: self.count_disabled_zone_calls(),
        }
    }

    /// Returns the number of requests per second answered completely in time after the warm-up.
    pub fn goodput(&self) -> f64 {
        let on_time = self.measured_outcomes().filter(|outcome| self.is_on_time(outcome)).count();
        let measured_time = trace::duration(self.plan).saturating_sub(self.plan.warm);
        on_time as f64 / measured_time.as_secs_f64()
    }

    /// Returns the outcomes of the requests due after the warm-up.
    fn measured_outcomes(&self) -> impl Iterator<Item = &load_generator::CallOutcome> {
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

    /// Whether a request was answered completely within its deadline.
    fn is_on_time(&self, outcome: &load_generator::CallOutcome) -> bool {
        outcome.status == load_generator::CallStatus::Answered
            && outcome.latency <= self.profile(outcome).deadline
    }

    /// Returns the groups that a request belongs to.
    fn group_keys(&self, outcome: &load_generator::CallOutcome) -> [GroupKey; 5] {
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
        let zone_out_at = self.plan.warm + self.plan.before;
        if !self.zone_change || due < zone_out_at {
            "before"
        } else if due < zone_out_at + self.plan.out {
            "during"
        } else {
            "after"
        }
    }

    fn add_outcome(
        &self,
        metrics: &mut GroupMetrics,
        key: GroupKey,
        outcome: &load_generator::CallOutcome,
    ) {
        let on_time = self.is_on_time(outcome);
        let report = metrics.report.get_or_insert_with(|| key.empty_report());
        report.requests += 1;
        match outcome.status {
            load_generator::CallStatus::Answered if on_time => report.on_time += 1,
            load_generator::CallStatus::Answered => report.late += 1,
            load_generator::CallStatus::Truncated | load_generator::CallStatus::Misrouted => {
                report.incorrect += 1
            }
            load_generator::CallStatus::NotRun => report.not_run += 1,
            load_generator::CallStatus::MayHaveRun => report.may_have_run += 1,
        }
        if outcome.status == load_generator::CallStatus::Answered {
            metrics.latencies.record(outcome.latency);
        }
    }

    fn pool_of(&self, endpoint: &ids::EndpointId) -> Option<&wire::PoolDeclaration> {
        let declaration =
            self.declarations.endpoints.iter().find(|entry| entry.name == *endpoint)?;
        self.declarations.pools.iter().find(|pool| pool.name == declaration.pool)
    }

    /// Returns the runs of each idempotency key of calls to services that are not idempotent.
    fn runs_by_key(&self) -> IndexMap<ids::IdempotencyKey, KeyRuns> {
        let mut runs = IndexMap::<ids::IdempotencyKey, KeyRuns>::new();
        let services = &self.declarations.services;
        let is_non_idempotent = |record: &&types::CallRecord| {
            services.iter().any(|entry| entry.name == record.target && !entry.idempotent)
        };
        let ran = self.records.records.iter().filter(|record| !record.refused);
        for record in ran.filter(is_non_idempotent) {
            let Some(key) = &record.key else { continue };
            let run = runs.entry(key.clone()).or_default();
            run.started += 1;
            run.finished += u32::from(record.finished);
        }
        runs
    }

    /// Counts the answered requests with a key whose run no endpoint finished.
    fn count_lost_runs(&self, runs: &IndexMap<ids::IdempotencyKey, KeyRuns>) -> u64 {
        let answered = self
            .outcomes
            .iter()
            .filter(|entry| entry.status == load_generator::CallStatus::Answered);
        let keyed = answered.filter(|entry| self.kind(entry).keyed);
        let has_no_finished_run = |outcome: &&load_generator::CallOutcome| {
            let run = runs.get(&self.request(outcome).marker);
            run.is_none_or(|run| run.finished == 0)
        };
        count(keyed.filter(has_no_finished_run).count())
    }

    /// Counts the requests refused as `not-run` that an endpoint ran.
    fn count_false_not_run(&self) -> u64 {
        let ran = self.records.records.iter().filter(|record| !record.refused);
        let run_requests: IndexSet<_> = ran.map(|record| &record.request).collect();
        let not_run = self.outcomes.iter().flat_map(|outcome| &outcome.not_run_ids);
        count(not_run.filter(|request| run_requests.contains(request)).count())
    }

    /// Counts the calls to the zone while it was out of service.
    fn count_disabled_zone_calls(&self) -> u64 {
        if !self.zone_change {
            return 0;
        }
        let zone_out_at = self.trace_start + self.plan.warm + self.plan.before;
        let outage = zone_out_at + ZONE_CHANGE_TIME..zone_out_at + self.plan.out;
        let endpoints = &self.declarations.endpoints;
        let is_disabled_zone_call = |record: &&types::CallRecord| {
            outage.contains(&record.arrived)
                && endpoints
                    .iter()
                    .any(|entry| entry.name == record.endpoint && entry.zone == self.plan.zone)
        };
        count(self.records.records.iter().filter(is_disabled_zone_call).count())
    }
}

/// Number of runs with one idempotency key.
#[derive(Debug, Default)]
struct KeyRuns {
    started: u32,
    finished: u32,
}

/// The property that the requests of a group share, and its value.
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
            times: LatencyHistogram::new().report(),
            incorrect: 0,
        }
    }
}

/// Returns the longest time during which the on-time share of high-priority requests stayed below
/// 95% of its baseline, the share between the warm-up and the zone change.
pub fn longest_dip(plan: &types::ReplayPlan, seconds: &[types::SecondReport]) -> time::Duration {
    let warm_up_end = plan.warm.as_secs();
    let zone_change = warm_up_end + plan.before.as_secs();
    let baseline =
        seconds.iter().filter(|entry| (warm_up_end..zone_change).contains(&entry.second));
    let (mut requests, mut on_time) = (0, 0);
    for second in baseline {
        requests += second.high_requests;
        on_time += second.high_on_time;
    }
    let threshold = DIP_THRESHOLD * on_time as f64 / requests.max(1) as f64;
    let mut longest_seconds = 0;
    let mut current_seconds = 0;
    for second in
        seconds.iter().filter(|entry| entry.second >= warm_up_end && entry.high_requests > 0)
    {
        let share = second.high_on_time as f64 / second.high_requests as f64;
        current_seconds = if share < threshold { current_seconds + 1 } else { 0 };
        longest_seconds = longest_seconds.max(current_seconds);
    }
    time::Duration::from_secs(longest_seconds)
}

fn count(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}
