//! Endpoints of a stage service: which are free, how fast they are, and the room that they have left.

use crate::{batch_outcome, batch_worker, piece_group, result_usage};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{net, time};

/// Multiple of its time at which an endpoint of another availability zone counts.
const ELSEWHERE_FACTOR: f64 = 1.5;
/// Interval at which a slow endpoint is given a call, to see whether it still is.
const SLOW_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// How long an endpoint is passed over that refused a call because it was full.
const REST_AFTER_FULL: time::Duration = time::Duration::from_millis(60);
/// How long an endpoint is passed over that could not be reached or failed a call.
const REST_AFTER_FAILURE: time::Duration = time::Duration::from_millis(500);
/// How long room counts as taken by results that are not known here.
const UNKNOWN_RESULTS_LIFE: time::Duration = time::Duration::from_millis(700);
/// Fastest that an endpoint counts as, in parts of the usual time.
const MOST_SPEED_FACTOR: f64 = 0.5;

/// A call that has ended.
#[derive(Clone, Debug)]
pub struct EndedCall {
    /// Endpoint that was called.
    pub endpoint: ids::EndpointId,
    /// When it was called.
    pub started: time::Instant,
    /// Usual time for the pieces that were worked on.
    pub usual: time::Duration,
    /// Mean size of a result in bytes.
    pub piece_bytes: u64,
}

/// A free endpoint that is of use only for what the others come to later.
#[derive(Clone, Debug)]
pub struct HelperChoice {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Full calls that the others will have begun before it has made one.
    pub calls_before: usize,
}

/// Endpoints of a stage service.
#[derive(Debug)]
pub struct WorkerSet {
    workers: IndexMap<ids::EndpointId, batch_worker::BatchWorker>,
    results: result_usage::ResultUsage,
    room_bytes: u64,
}

impl WorkerSet {
    /// Creates a set without endpoints; each will have room for `room_bytes` of results, zero
    /// standing for any amount.
    pub fn new(room_bytes: u64) -> Self {
        Self { workers: IndexMap::new(), results: result_usage::ResultUsage::default(), room_bytes }
    }

    /// Sets the room of each endpoint in bytes.
    pub fn set_room(&mut self, room_bytes: u64) {
        self.room_bytes = room_bytes;
    }

    /// Sets the endpoints that may be called.
    pub fn set<Workers>(&mut self, workers: Workers, now: time::Instant)
    where
        Workers: Iterator<Item = batch_worker::WorkerLocation>,
    {
        let workers: IndexMap<_, _> =
            workers.map(|place| (place.endpoint.clone(), place)).collect();
        self.workers.retain(|endpoint, _| workers.contains_key(endpoint));
        for (endpoint, place) in workers {
            self.workers
                .entry(endpoint)
                .or_insert_with(|| batch_worker::BatchWorker::new(place, now));
        }
    }

    /// Forgets what does not count any more.
    pub fn advance(&mut self, now: time::Instant) {
        self.results.advance(now);
        for worker in self.workers.values_mut() {
            worker.unknown = worker.unknown.filter(|unknown| unknown.until > now);
        }
    }

    /// Returns the moments at which an endpoint is called again, or its room is asked for again.
    pub fn moments(&self) -> impl Iterator<Item = time::Instant> {
        let rests = self.workers.values().filter_map(|worker| worker.resting_until);
        let rooms = self.workers.values().filter_map(|worker| Some(worker.unknown?.until));
        rests.chain(rooms)
    }

    /// Returns the speed of all endpoints together, in calls in the usual time of one.
    pub fn speed(&self, now: time::Instant) -> f64 {
        let awake = self.workers.values().filter(|worker| !worker.is_resting(now));
        awake.map(speed).sum()
    }

    /// Returns the availability zone of an endpoint.
    pub fn zone(&self, endpoint: &ids::EndpointId) -> Option<&ids::ZoneId> {
        self.workers.get(endpoint).map(|worker| &worker.zone)
    }

    /// Returns the room that an endpoint has left, in bytes.
    pub fn room_left(&self, endpoint: &ids::EndpointId) -> u64 {
        let Some(worker) = self.workers.get(endpoint) else { return 0 };
        if self.room_bytes == 0 {
            return u64::MAX;
        }
        let unknown = worker.unknown.map_or(0, |unknown| unknown.bytes);
        self.room_bytes.saturating_sub(self.results.used_bytes(worker.address) + unknown)
    }

    /// Returns an endpoint for a call whose first pieces are of `first` and which usually takes
    /// `usual`: a near one, and a slow one only if it is in time or has not been tried for long.
    pub fn choose(
        &self,
        first: &piece_group::PieceGroup,
        usual: time::Duration,
        now: time::Instant,
    ) -> Option<ids::EndpointId> {
        let best = self.best_factor(now);
        let useful = |worker: &batch_worker::BatchWorker| {
            !worker.is_slow(best)
                || now + usual.mul_f64(worker.factor) <= first.target
                || now.saturating_duration_since(worker.used) > SLOW_PROBE_INTERVAL
        };
        let free = self
            .free(now)
            .filter(|(endpoint, worker)| useful(worker) && self.room_left(endpoint) >= first.bytes);
        let distance = |worker: &batch_worker::BatchWorker| {
            let near = first.zone.is_none() || first.zone.as_ref() == Some(&worker.zone);
            if near { worker.factor } else { worker.factor * ELSEWHERE_FACTOR }
        };
        let nearest = free.min_by(|(_, one), (_, other)| {
            distance(one).total_cmp(&distance(other)).then(one.used.cmp(&other.used))
        });
        nearest.map(|(endpoint, _)| endpoint.clone())
    }

    /// Returns the fastest of the free endpoints that [`WorkerSet::choose`] did not take.
    pub fn helper(&self, now: time::Instant) -> Option<HelperChoice> {
        let best = self.best_factor(now);
        let free = self.free(now).filter(|(endpoint, _)| self.room_left(endpoint) > 0);
        let (endpoint, helper) =
            free.min_by(|(_, one), (_, other)| one.factor.total_cmp(&other.factor))?;
        let mut calls_before = 0;
        if helper.is_slow(best) {
            let others = self.workers.values().filter(|worker| !worker.is_slow(best));
            calls_before = (others.map(speed).sum::<f64>() * helper.factor).ceil() as usize;
        }
        Some(HelperChoice { endpoint: endpoint.clone(), calls_before })
    }

    /// Takes note that a call has begun; returns the address of the endpoint and its factor.
    pub fn start(
        &mut self,
        endpoint: &ids::EndpointId,
        number: u64,
        now: time::Instant,
    ) -> (net::SocketAddr, f64) {
        let Some(worker) = self.workers.get_mut(endpoint) else {
            return (net::SocketAddr::from(([0, 0, 0, 0], 0)), 1.0);
        };
        worker.call = Some(number);
        worker.used = now;
        (worker.address, worker.factor)
    }

    /// Takes note of how a call ended.
    pub fn note_call(
        &mut self,
        call: &EndedCall,
        ending: &batch_outcome::BatchOutcome,
        now: time::Instant,
    ) {
        if matches!(ending, batch_outcome::BatchOutcome::Gone) {
            self.workers.shift_remove(&call.endpoint);
            return;
        }
        let Some(worker) = self.workers.get_mut(&call.endpoint) else { return };
        worker.call = None;
        match ending {
            batch_outcome::BatchOutcome::Answered(outcomes) => {
                worker.note_call(call.usual, now.saturating_duration_since(call.started));
                let full = types::PieceOutcome::Failed(types::PieceFault::NoRoom);
                if outcomes.contains(&full) {
                    let made = outcomes.iter().filter(|outcome| **outcome != full).count();
                    let made = call.piece_bytes * u64::try_from(made).unwrap_or(0);
                    let known = self.results.used_bytes(worker.address);
                    let bytes = self.room_bytes.saturating_sub(known + made);
                    let until = now + UNKNOWN_RESULTS_LIFE;
                    worker.unknown = Some(batch_worker::UnknownResults { bytes, until });
                }
            }
            batch_outcome::BatchOutcome::Full => worker.resting_until = Some(now + REST_AFTER_FULL),
            batch_outcome::BatchOutcome::Failed | batch_outcome::BatchOutcome::Gone => {
                worker.resting_until = Some(now + REST_AFTER_FAILURE);
            }
        }
    }

    /// Takes note of a result that stands at an endpoint until `until` unless it is freed before.
    pub fn keep_result(
        &mut self,
        endpoint: &ids::EndpointId,
        handle: ids::ResultHandle,
        bytes: u64,
        until: time::Instant,
    ) {
        if let Some(worker) = self.workers.get(endpoint) {
            self.results.keep(handle, worker.address, bytes, until);
        }
    }

    /// Takes note that results have been freed.
    pub fn remove_results(&mut self, handles: &[ids::ResultHandle]) {
        self.results.forget(handles);
    }

    /// Returns the endpoints that no call runs at and that are not passed over.
    fn free(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::EndpointId, &batch_worker::BatchWorker)> {
        self.workers
            .iter()
            .filter(move |(_, worker)| worker.call.is_none() && !worker.is_resting(now))
    }

    /// Returns the factor of the fastest endpoint that is not passed over.
    fn best_factor(&self, now: time::Instant) -> f64 {
        let awake = self.workers.values().filter(|worker| !worker.is_resting(now));
        awake.map(|worker| worker.factor).fold(f64::INFINITY, f64::min)
    }
}

fn speed(worker: &batch_worker::BatchWorker) -> f64 {
    1.0 / worker.factor.max(MOST_SPEED_FACTOR)
}
