//! Endpoints of a stage service: which are idle, how fast they are, and their free storage.

use crate::{batch_outcome, batch_worker, piece_group, result_usage};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{net, time};

/// Factor on the time ratio of an endpoint in another availability zone.
const OTHER_ZONE_FACTOR: f64 = 1.5;
/// Interval at which a slow endpoint gets a call, to find out whether it is still slow.
const SLOW_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// How long an endpoint that refused a call as full is not called.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(60);
/// How long an endpoint that was unreachable or failed a call is not called.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// How long storage counts as taken by results that are not tracked here.
const UNTRACKED_RESULTS_TTL: time::Duration = time::Duration::from_millis(700);
/// Lower bound of the time ratio in estimates of speed.
const MIN_TIME_RATIO: f64 = 0.5;

/// Summary of a call that has ended.
#[derive(Clone, Debug)]
pub struct EndedCall {
    /// Endpoint that was called.
    pub endpoint: ids::EndpointId,
    /// Start of the call.
    pub started: time::Instant,
    /// Expected time for the pieces that the endpoint worked on.
    pub expected: time::Duration,
    /// Mean size of a result in bytes.
    pub piece_bytes: u64,
}

/// An idle endpoint, possibly a slow one, for pieces that the others would reach only later.
#[derive(Clone, Debug)]
pub struct BackfillChoice {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Full calls that the other endpoints start before this one finishes a call.
    pub calls_before: usize,
}

/// Endpoints of a stage service.
#[derive(Debug)]
pub struct WorkerSet {
    workers: IndexMap<ids::EndpointId, batch_worker::BatchWorker>,
    results: result_usage::ResultUsage,
    storage_limit: u64,
}

impl WorkerSet {
    /// Creates an empty set whose endpoints can each store `storage_limit` bytes of results; zero
    /// means no limit.
    pub fn new(storage_limit: u64) -> Self {
        Self {
            workers: IndexMap::new(),
            results: result_usage::ResultUsage::default(),
            storage_limit,
        }
    }

    /// Sets the storage of each endpoint in bytes; zero means no limit.
    pub fn set_storage_limit(&mut self, storage_limit: u64) {
        self.storage_limit = storage_limit;
    }

    /// Sets the endpoints that may be called.
    pub fn set<Workers>(&mut self, workers: Workers, now: time::Instant)
    where
        Workers: Iterator<Item = batch_worker::WorkerLocation>,
    {
        let workers: IndexMap<_, _> =
            workers.map(|location| (location.endpoint.clone(), location)).collect();
        self.workers.retain(|endpoint, _| workers.contains_key(endpoint));
        for (endpoint, location) in workers {
            let (paused_until, is_held) = (location.paused_until, location.is_held);
            let worker = self.workers.entry(endpoint);
            let worker = worker.or_insert_with(|| batch_worker::BatchWorker::new(location, now));
            worker.paused_until = paused_until;
            worker.is_held = is_held;
        }
    }

    /// Removes results that have expired.
    pub fn remove_expired(&mut self, now: time::Instant) {
        self.results.remove_expired(now);
        for worker in self.workers.values_mut() {
            worker.untracked = worker.untracked.filter(|untracked| untracked.expires_at > now);
        }
    }

    /// Returns the times at which an endpoint may be called again, or storage taken by untracked
    /// results counts as free again.
    pub fn wakeups(&self) -> impl Iterator<Item = time::Instant> {
        let backoffs = self.workers.values().filter_map(|worker| worker.backoff_until);
        let untracked =
            self.workers.values().filter_map(|worker| Some(worker.untracked?.expires_at));
        let pauses = self.workers.values().filter_map(|worker| worker.paused_until);
        backoffs.chain(untracked).chain(pauses)
    }

    /// Returns the first end of a pause if all endpoints have asked for one.
    pub fn resumes_at(&self, now: time::Instant) -> Option<time::Instant> {
        let pause =
            |worker: &batch_worker::BatchWorker| worker.paused_until.filter(|until| *until > now);
        self.workers.values().map(pause).collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Returns the total speed of all endpoints, in calls per expected time of a call.
    pub fn speed(&self, now: time::Instant) -> f64 {
        let available = self.workers.values().filter(|worker| worker.is_available(now));
        available.map(speed).sum()
    }

    /// Returns the availability zone of an endpoint.
    pub fn zone(&self, endpoint: &ids::EndpointId) -> Option<&ids::ZoneId> {
        self.workers.get(endpoint).map(|worker| &worker.zone)
    }

    /// Returns the free storage of an endpoint in bytes.
    pub fn free_bytes(&self, endpoint: &ids::EndpointId) -> u64 {
        let Some(worker) = self.workers.get(endpoint) else { return 0 };
        if self.storage_limit == 0 {
            return u64::MAX;
        }
        let untracked = worker.untracked.map_or(0, |untracked| untracked.bytes);
        self.storage_limit.saturating_sub(self.results.used_bytes(worker.address) + untracked)
    }

    /// Returns an idle endpoint for a call that begins with pieces of `first` and has the expected
    /// time `expected`. It prefers fast endpoints in the zone of `first`, and takes a slow one only
    /// if it meets the target or was not called within `SLOW_PROBE_INTERVAL`. With `only_zone`, only
    /// endpoints of that zone count.
    pub fn choose(
        &self,
        first: &piece_group::PieceGroup,
        only_zone: Option<&ids::ZoneId>,
        expected: time::Duration,
        now: time::Instant,
    ) -> Option<ids::EndpointId> {
        let best_ratio = self.best_time_ratio(now);
        let useful = |worker: &batch_worker::BatchWorker| {
            !worker.is_slow(best_ratio)
                || now + expected.mul_f64(worker.time_ratio) <= first.target
                || now.saturating_duration_since(worker.last_called) > SLOW_PROBE_INTERVAL
        };
        let candidates = self
            .idle(now)
            .filter(|(name, worker)| useful(worker) && self.free_bytes(name) >= first.result_bytes)
            .filter(|(_, worker)| only_zone.is_none_or(|zone| *zone == worker.zone));
        let cost = |worker: &batch_worker::BatchWorker| {
            let same_zone = first.zone.is_none() || first.zone.as_ref() == Some(&worker.zone);
            if same_zone { worker.time_ratio } else { worker.time_ratio * OTHER_ZONE_FACTOR }
        };
        let best = candidates.min_by(|(_, a), (_, b)| {
            cost(a).total_cmp(&cost(b)).then(a.last_called.cmp(&b.last_called))
        });
        best.map(|(endpoint, _)| endpoint.clone())
    }

    /// Returns the zone of each endpoint of usual speed that is idle, or whose call ends between
    /// `earliest` and `latest`; `end_of` returns the expected end of a call at the given time ratio.
    pub fn zones_free_soon<EndOf>(
        &self,
        (earliest, latest): (time::Instant, time::Instant),
        now: time::Instant,
        end_of: EndOf,
    ) -> Vec<&ids::ZoneId>
    where
        EndOf: Fn(u64, f64) -> Option<time::Instant>,
    {
        let best = self.best_time_ratio(now);
        let free_soon = |worker: &batch_worker::BatchWorker| {
            let end = worker.call.and_then(|call| end_of(call, worker.time_ratio));
            end.is_none_or(|end| (earliest..=latest).contains(&end))
        };
        let usual = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_available(now) && !worker.is_slow(best))
            .filter(|(name, _)| self.free_bytes(name) > 0);
        usual.filter(|(_, worker)| free_soon(worker)).map(|(_, worker)| &worker.zone).collect()
    }

    /// Whether an endpoint is idle.
    pub fn has_idle(&self, now: time::Instant) -> bool {
        self.idle(now).next().is_some()
    }

    /// Returns the fastest idle endpoint with free storage, for use when [`WorkerSet::choose`]
    /// finds none.
    pub fn choose_backfill(&self, now: time::Instant) -> Option<BackfillChoice> {
        let best = self.best_time_ratio(now);
        let idle = self.idle(now).filter(|(endpoint, _)| self.free_bytes(endpoint) > 0);
        let (endpoint, fastest) =
            idle.min_by(|(_, a), (_, b)| a.time_ratio.total_cmp(&b.time_ratio))?;
        let mut calls_before = 0;
        if fastest.is_slow(best) {
            let others = self.workers.values().filter(|worker| !worker.is_slow(best));
            calls_before = (others.map(speed).sum::<f64>() * fastest.time_ratio).ceil() as usize;
        }
        Some(BackfillChoice { endpoint: endpoint.clone(), calls_before })
    }

    /// Records the start of a call; returns the address and the time ratio of the endpoint.
    pub fn start_call(
        &mut self,
        endpoint: &ids::EndpointId,
        number: u64,
        now: time::Instant,
    ) -> (net::SocketAddr, f64) {
        let Some(worker) = self.workers.get_mut(endpoint) else {
            return (net::SocketAddr::from(([0, 0, 0, 0], 0)), 1.0);
        };
        worker.call = Some(number);
        worker.last_called = now;
        (worker.address, worker.time_ratio)
    }

    /// Records the outcome of a call.
    pub fn record_call(
        &mut self,
        call: &EndedCall,
        outcome: &batch_outcome::BatchOutcome,
        now: time::Instant,
    ) {
        if matches!(outcome, batch_outcome::BatchOutcome::Gone) {
            self.workers.shift_remove(&call.endpoint);
            return;
        }
        let Some(worker) = self.workers.get_mut(&call.endpoint) else { return };
        worker.call = None;
        match outcome {
            batch_outcome::BatchOutcome::Answered(outcomes) => {
                worker.record_call(call.expected, now.saturating_duration_since(call.started));
                let no_room = types::PieceOutcome::Failed(types::PieceError::NoRoom);
                if outcomes.contains(&no_room) {
                    let stored = outcomes.iter().filter(|outcome| **outcome != no_room).count();
                    let stored = call.piece_bytes * u64::try_from(stored).unwrap_or(0);
                    let tracked = self.results.used_bytes(worker.address);
                    let bytes = self.storage_limit.saturating_sub(tracked + stored);
                    let expires_at = now + UNTRACKED_RESULTS_TTL;
                    worker.untracked = Some(batch_worker::UntrackedResults { bytes, expires_at });
                }
            }
            batch_outcome::BatchOutcome::Full => worker.backoff_until = Some(now + FULL_BACKOFF),
            batch_outcome::BatchOutcome::Failed | batch_outcome::BatchOutcome::Gone => {
                worker.backoff_until = Some(now + FAILURE_BACKOFF);
            }
        }
    }

    /// Adds a result, which the endpoint stores until it is released or expires.
    pub fn add_result(
        &mut self,
        endpoint: &ids::EndpointId,
        handle: ids::ResultHandle,
        bytes: u64,
        expires: time::Instant,
    ) {
        if let Some(worker) = self.workers.get(endpoint) {
            self.results.insert(handle, worker.address, bytes, expires);
        }
    }

    /// Returns whether a result is counted.
    pub fn counts_result(&self, handle: &ids::ResultHandle) -> bool {
        self.results.contains(handle)
    }

    /// Removes results that have been released.
    pub fn remove_results(&mut self, handles: &[ids::ResultHandle]) {
        self.results.remove(handles);
    }

    /// Returns the endpoints that run no call and may be called.
    fn idle(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::EndpointId, &batch_worker::BatchWorker)> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.call.is_none() && worker.is_available(now))
    }

    /// Returns the time ratio of the fastest endpoint that may be called.
    fn best_time_ratio(&self, now: time::Instant) -> f64 {
        let available = self.workers.values().filter(|worker| worker.is_available(now));
        available.map(|worker| worker.time_ratio).fold(f64::INFINITY, f64::min)
    }
}

fn speed(worker: &batch_worker::BatchWorker) -> f64 {
    1.0 / worker.time_ratio.max(MIN_TIME_RATIO)
}
