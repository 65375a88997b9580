//! Answers of two versions of a service, counted by route: what a node reports of a roll-out.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Buckets of a histogram for each doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Buckets of a histogram, which reaches beyond one minute.
const MAX_BUCKETS: usize = 80;
/// Endpoints whose failures are reported.
const MAX_FAILING_ENDPOINTS: usize = 32;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// With a complete answer.
    Answered,
    /// With a complete answer that states a failure.
    Failed,
    /// Without a complete answer.
    Broken,
}

/// Times of an answer, as far as they tell of the version.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Time to the answer, or to the first event of a stream; none if the endpoint was cold.
    pub answer: Option<time::Duration>,
    /// Mean time between the events of a stream.
    pub gap: Option<time::Duration>,
}

/// Counts of one roll-out on one node.
#[derive(Clone, Debug, Default)]
pub struct VersionEvidence {
    counts: IndexMap<(ids::Text, bool), types::VersionCounts>,
    failing: IndexMap<ids::EndpointId, u64>,
}

impl VersionEvidence {
    /// Records how a request ended.
    pub fn record_answer(
        &mut self,
        route: &ids::Text,
        is_new: bool,
        endpoint: &ids::EndpointId,
        end: RequestEnd,
        times: AnswerTimes,
    ) {
        let key = (route.clone(), is_new);
        let counts = self.counts.entry(key).or_insert_with(|| empty_counts(route, is_new));
        match end {
            RequestEnd::Answered => counts.answers += 1,
            RequestEnd::Failed => {
                counts.answers += 1;
                counts.failures += 1;
            }
            RequestEnd::Broken => counts.broken += 1,
        }
        if end == RequestEnd::Answered {
            times.answer.into_iter().for_each(|time| add_time(&mut counts.times, time));
            times.gap.into_iter().for_each(|time| add_time(&mut counts.gaps, time));
            return;
        }
        if is_new
            && (self.failing.len() < MAX_FAILING_ENDPOINTS || self.failing.contains_key(endpoint))
        {
            *self.failing.entry(endpoint.clone()).or_default() += 1;
        }
    }

    /// Returns the counts by route and version.
    pub fn counts(&self) -> Vec<types::VersionCounts> {
        self.counts.values().cloned().collect()
    }

    /// Returns the failed requests of endpoints of the new version.
    pub fn failing(&self) -> Vec<types::EndpointFailures> {
        let failures = |(endpoint, failures): (&ids::EndpointId, &u64)| types::EndpointFailures {
            endpoint: endpoint.clone(),
            failures: *failures,
        };
        self.failing.iter().map(failures).collect()
    }

    /// Adds the counts of another node, or of this one.
    pub fn merge(&mut self, counts: &[types::VersionCounts], failing: &[types::EndpointFailures]) {
        for other in counts {
            let key = (other.route.clone(), other.new);
            let known =
                self.counts.entry(key).or_insert_with(|| empty_counts(&other.route, other.new));
            known.answers += other.answers;
            known.failures += other.failures;
            known.broken += other.broken;
            add_buckets(&mut known.times, &other.times);
            add_buckets(&mut known.gaps, &other.gaps);
        }
        for endpoint in failing {
            *self.failing.entry(endpoint.endpoint.clone()).or_default() += endpoint.failures;
        }
    }

    /// Returns what has been counted since an earlier moment.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut recent = self.clone();
        for (key, before) in &earlier.counts {
            let Some(counts) = recent.counts.get_mut(key) else { continue };
            counts.answers = counts.answers.saturating_sub(before.answers);
            counts.failures = counts.failures.saturating_sub(before.failures);
            counts.broken = counts.broken.saturating_sub(before.broken);
            subtract_buckets(&mut counts.times, &before.times);
            subtract_buckets(&mut counts.gaps, &before.gaps);
        }
        for (endpoint, before) in &earlier.failing {
            if let Some(failures) = recent.failing.get_mut(endpoint) {
                *failures = failures.saturating_sub(*before);
            }
        }
        recent.failing.retain(|_, failures| *failures > 0);
        recent
    }

    /// Returns the counts of one route and version.
    pub fn of_route(&self, route: &ids::Text, is_new: bool) -> Option<&types::VersionCounts> {
        self.counts.get(&(route.clone(), is_new))
    }

    /// Returns the routes, each once.
    pub fn routes(&self) -> Vec<ids::Text> {
        let mut routes: Vec<_> = self.counts.keys().map(|(route, _)| route.clone()).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }
}

/// Returns the bucket of a time.
pub fn bucket(time: time::Duration) -> usize {
    let millis = time.as_secs_f64() * MILLIS_PER_SECOND;
    let bucket = (millis.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor();
    (bucket as usize).min(MAX_BUCKETS - 1)
}

/// Returns the bucket that holds the median of a histogram; none if it is empty.
pub fn median_bucket(buckets: &[u32]) -> Option<usize> {
    let total: u64 = buckets.iter().map(|count| u64::from(*count)).sum();
    let mut before = 0;
    buckets.iter().position(|count| {
        before += u64::from(*count);
        *count > 0 && before * 2 >= total
    })
}

/// Returns how many times lie more than `factor` above the middle of a bucket.
pub fn count_above(buckets: &[u32], middle: usize, factor: f64) -> u64 {
    let first = middle + 1 + (factor.log2() * BUCKETS_PER_OCTAVE).floor() as usize;
    buckets.iter().skip(first).map(|count| u64::from(*count)).sum()
}

/// Returns the counts of a version without answers on a route.
pub(crate) fn empty_counts(route: &ids::Text, is_new: bool) -> types::VersionCounts {
    types::VersionCounts {
        answers: 0,
        broken: 0,
        failures: 0,
        gaps: Vec::new(),
        new: is_new,
        route: route.clone(),
        times: Vec::new(),
    }
}

fn add_time(buckets: &mut Vec<u32>, time: time::Duration) {
    let bucket = bucket(time);
    if buckets.len() <= bucket {
        buckets.resize(bucket + 1, 0);
    }
    buckets[bucket] += 1;
}

fn add_buckets(buckets: &mut Vec<u32>, others: &[u32]) {
    let others = &others[..others.len().min(MAX_BUCKETS)];
    if buckets.len() < others.len() {
        buckets.resize(others.len(), 0);
    }
    for (bucket, other) in buckets.iter_mut().zip(others) {
        *bucket = bucket.saturating_add(*other);
    }
}

fn subtract_buckets(buckets: &mut [u32], others: &[u32]) {
    for (bucket, other) in buckets.iter_mut().zip(others) {
        *bucket = bucket.saturating_sub(*other);
    }
}
