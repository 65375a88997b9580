//! Pieces of one stage service, of requests from all nodes, that share calls.
//!
//! A call takes a long time whatever it holds, so pieces of different requests are put into one.
//! A call is made whenever an endpoint is free, with what waits; an endpoint never idles for the
//! sake of a fuller call. Pieces that can still make their target go first, by rank; those that can
//! only be late follow, by deadline; those that nobody can use any more are dropped at once.

use crate::{batch_group, batch_worker};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{net, time};

/// Number of a call within its queue.
pub type CallNumber = u64;

/// Weight of the newest call in an endpoint's average.
const NEW_WEIGHT: f64 = 0.3;
/// Multiple of the best endpoint's time above which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 1.8;
/// Multiple of its time at which an endpoint of another availability zone counts.
const ELSEWHERE_FACTOR: f64 = 1.5;
/// Interval at which a slow endpoint is given a call, to see whether it still is.
const SLOW_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// How long an endpoint is passed over that refused a call because it was full.
const REST_AFTER_FULL: time::Duration = time::Duration::from_millis(60);
/// How long an endpoint is passed over that could not be reached or failed a call.
const REST_AFTER_FAILURE: time::Duration = time::Duration::from_millis(500);
/// How long room counts as taken by results that this queue does not know.
const UNKNOWN_RESULTS_LIFE: time::Duration = time::Duration::from_millis(700);
/// Multiple of the expected time after which a call is given up.
const PATIENCE_FACTOR: f64 = 3.0;
/// Time beyond that multiple.
const PATIENCE_SLACK: time::Duration = time::Duration::from_millis(400);
/// Fastest that an endpoint counts as, in parts of the usual time.
const MOST_SPEED_FACTOR: f64 = 0.5;
/// Speed that counts where no endpoint is there, in endpoints.
const LEAST_SPEED: f64 = 0.1;

/// Place of a group: late, not begun, rank, made elsewhere, moment.
type GroupPlace = (bool, bool, u32, bool, time::Instant);

#[derive(Debug)]
struct RunningCall {
    endpoint: ids::EndpointId,
    started: time::Instant,
    usual: time::Duration,
    pieces: Vec<(batch_group::GroupNumber, usize)>,
    bytes: u64,
}

/// A call to be made now.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Its number.
    pub number: CallNumber,
    /// Endpoint to call.
    pub endpoint: ids::EndpointId,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Pieces to be made.
    pub orders: Vec<types::PieceOrder>,
    /// Time after which the call is given up.
    pub patience: time::Duration,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum BatchEnding {
    /// It was answered, piece by piece.
    Answered(Vec<types::PieceOutcome>),
    /// The endpoint was full and made nothing.
    Full,
    /// Another endpoint has the address, or this one leaves.
    Gone,
    /// It failed, or took too long.
    Failed,
}

impl BatchEnding {
    /// Returns how many pieces were made; none if the call failed as a whole.
    pub fn made(&self) -> Option<usize> {
        let Self::Answered(outcomes) = self else { return None };
        let made = |outcome: &&types::PieceOutcome| matches!(outcome, types::PieceOutcome::Made(_));
        Some(outcomes.iter().filter(made).count())
    }

    /// Returns how the call ended in a word, for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Full => "full",
            Self::Gone => "gone",
            Self::Failed => "failed",
        }
    }
}

/// Results that stand at their makers.
#[derive(Debug)]
struct KeptResult {
    maker: net::SocketAddr,
    bytes: u64,
    until: time::Instant,
}

/// Queue of one stage service in one region.
#[derive(Debug)]
pub struct BatchQueue {
    capacity: types::StageCapacity,
    workers: IndexMap<ids::EndpointId, batch_worker::BatchWorker>,
    groups: IndexMap<batch_group::GroupNumber, batch_group::QueuedGroup>,
    calls: IndexMap<CallNumber, RunningCall>,
    kept: IndexMap<ids::ResultHandle, KeptResult>,
    next: u64,
}

impl BatchQueue {
    /// Creates the queue of a service whose endpoints have `capacity`.
    pub fn new(capacity: types::StageCapacity) -> Self {
        Self {
            capacity,
            workers: IndexMap::new(),
            groups: IndexMap::new(),
            calls: IndexMap::new(),
            kept: IndexMap::new(),
            next: 0,
        }
    }

    /// Sets what one endpoint can do.
    pub fn set_capacity(&mut self, capacity: types::StageCapacity) {
        self.capacity = capacity;
    }

    /// Sets the endpoints that may be called.
    pub fn set_workers<Workers>(&mut self, workers: Workers, now: time::Instant)
    where
        Workers: Iterator<Item = batch_worker::WorkerPlace>,
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

    /// Takes in a group of pieces.
    pub fn push(&mut self, group: batch_group::PieceGroup) -> batch_group::GroupNumber {
        let number = self.next_number();
        self.groups.insert(number, batch_group::QueuedGroup::new(group));
        number
    }

    /// Forgets a group that nobody waits for any more.
    pub fn cancel(&mut self, number: batch_group::GroupNumber) {
        self.groups.shift_remove(&number);
    }

    /// Returns the calls to be made now.
    pub fn plan(&mut self, now: time::Instant) -> Vec<PlannedCall> {
        self.kept.retain(|_, kept| kept.until > now);
        for worker in self.workers.values_mut() {
            worker.unknown = worker.unknown.filter(|unknown| unknown.until > now);
        }
        std::iter::from_fn(|| self.plan_one(now)).collect()
    }

    /// Takes in how a call ended; the groups that are settled can then be taken out. Returns the
    /// results that nobody waits for any more.
    pub fn finish(
        &mut self,
        number: CallNumber,
        ending: &BatchEnding,
        now: time::Instant,
    ) -> Vec<ids::ResultHandle> {
        let Some(call) = self.calls.shift_remove(&number) else { return Vec::new() };
        let mut unwanted = Vec::new();
        self.note_worker(&call, ending, now);
        for (place, (group, piece)) in call.pieces.iter().enumerate() {
            let outcome = match ending {
                BatchEnding::Answered(outcomes) => outcomes
                    .get(place)
                    .cloned()
                    .unwrap_or(types::PieceOutcome::Failed(types::PieceFault::Failed)),
                BatchEnding::Full | BatchEnding::Gone => {
                    types::PieceOutcome::Failed(types::PieceFault::Refused)
                }
                BatchEnding::Failed => types::PieceOutcome::Failed(types::PieceFault::Unreachable),
            };
            if let types::PieceOutcome::Made(handle) = &outcome
                && !self.groups.contains_key(group)
            {
                unwanted.push(handle.clone());
            }
            self.settle(*group, *piece, outcome, &call, now);
        }
        unwanted
    }

    /// Drops the pieces that cannot be made in time, and takes out the groups that are settled.
    pub fn take_settled(&mut self, now: time::Instant) -> Vec<batch_group::SettledGroup> {
        for queued in self.groups.values_mut() {
            if queued.group.deadline <= now {
                queued.drop_waiting(types::PieceFault::Late);
            }
        }
        let settled: Vec<_> =
            self.groups.iter().filter_map(|(number, queued)| queued.settled(*number)).collect();
        for group in &settled {
            self.groups.shift_remove(&group.number);
        }
        settled
    }

    /// Takes note that results have been freed at their makers.
    pub fn forget_results(&mut self, handles: &[ids::ResultHandle]) {
        for handle in handles {
            self.kept.swap_remove(handle);
        }
    }

    /// Returns the moment at which something is to be done though no call ends: the next deadline,
    /// or an endpoint whose rest is over.
    pub fn next_moment(&self, now: time::Instant) -> Option<time::Instant> {
        if self.groups.is_empty() {
            return None;
        }
        let waiting = self.groups.values().filter(|queued| queued.is_waiting());
        let deadlines = waiting.map(|queued| queued.group.deadline);
        let rests = self.workers.values().filter_map(|worker| worker.resting_until);
        let rooms = self.workers.values().filter_map(|worker| Some(worker.unknown?.until));
        deadlines.chain(rests.chain(rooms).filter(|moment| *moment > now)).min()
    }

    /// Returns the time until new pieces of a request with this rank are made, their own call
    /// included.
    pub fn expected_wait(&self, priority: u32, now: time::Instant) -> time::Duration {
        let awake = self.workers.values().filter(|worker| !worker.is_resting(now));
        let speed: f64 = awake.map(|worker| 1.0 / worker.factor.max(MOST_SPEED_FACTOR)).sum();
        let before = self.groups.values().filter(|queued| queued.group.priority <= priority);
        let waiting: usize = before.map(batch_group::QueuedGroup::waiting).sum();
        let batch = usize::try_from(self.capacity.batch).unwrap_or(1).max(1);
        let full = self.call_time(batch);
        let running = self
            .calls
            .values()
            .map(|call| (call.started + call.usual).saturating_duration_since(now));
        let busy: time::Duration = running.sum();
        let work = busy + full.mul_f64(waiting as f64 / batch as f64);
        work.mul_f64(1.0 / speed.max(LEAST_SPEED)) + full
    }

    /// Returns the usual time of a call with `pieces` pieces.
    pub fn call_time(&self, pieces: usize) -> time::Duration {
        call_time(&self.capacity, u32::try_from(pieces).unwrap_or(u32::MAX))
    }

    /// Returns the pieces that wait and the calls that run.
    pub fn load(&self) -> (usize, usize) {
        (self.groups.values().map(batch_group::QueuedGroup::waiting).sum(), self.calls.len())
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn plan_one(&mut self, now: time::Instant) -> Option<PlannedCall> {
        let first = self
            .waiting_groups()
            .min_by_key(|(number, queued)| (self.place(queued, None, now), **number));
        let endpoint = self.free_worker(&first?.1.group, now)?;
        let zone = self.workers.get(&endpoint).map(|worker| worker.zone.clone());
        let room = self.room_left(&endpoint);
        let pieces = self.fill(&self.order(zone.as_ref(), now), room);
        if pieces.is_empty() {
            return None;
        }
        Some(self.start(endpoint, pieces, now))
    }

    fn waiting_groups(
        &self,
    ) -> impl Iterator<Item = (&batch_group::GroupNumber, &batch_group::QueuedGroup)> {
        self.groups.iter().filter(|(_, queued)| queued.is_waiting())
    }

    /// Returns the groups with pieces that wait, in the order in which they are served by an
    /// endpoint of `zone`, or of any.
    fn order(
        &self,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> Vec<batch_group::GroupNumber> {
        let place = |(number, queued): (&batch_group::GroupNumber, _)| {
            (self.place(queued, zone, now), *number)
        };
        let mut order: Vec<_> = self.waiting_groups().map(place).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// Returns the place of a group; the least is served first by an endpoint of `zone`.
    fn place(
        &self,
        queued: &batch_group::QueuedGroup,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> GroupPlace {
        let group = &queued.group;
        let soonest = self.call_time(usize::try_from(self.capacity.batch).unwrap_or(1));
        let late = now + soonest > group.target;
        let rank = if late { u32::MAX } else { group.priority };
        let last = group.inputs_until.map_or(group.deadline, |until| until.min(group.deadline));
        let moment = if late { last } else { group.target };
        let elsewhere = zone.is_some() && group.zone.is_some() && group.zone.as_ref() != zone;
        (late, !queued.is_begun(), rank, elsewhere, moment)
    }

    /// Returns an endpoint for a call whose first pieces are of `first`.
    fn free_worker(
        &self,
        first: &batch_group::PieceGroup,
        now: time::Instant,
    ) -> Option<ids::EndpointId> {
        let awake = self.workers.iter().filter(|(_, worker)| !worker.is_resting(now));
        let best = awake.clone().map(|(_, worker)| worker.factor).fold(f64::INFINITY, f64::min);
        let usual = self.call_time(usize::try_from(self.capacity.batch).unwrap_or(1));
        let useful = |worker: &batch_worker::BatchWorker| {
            worker.factor <= best * SLOW_FACTOR
                || now + usual.mul_f64(worker.factor) <= first.target
                || now.saturating_duration_since(worker.used) > SLOW_PROBE_INTERVAL
        };
        let free = awake.filter(|(endpoint, worker)| {
            worker.call.is_none() && useful(worker) && self.room_left(endpoint) >= first.bytes
        });
        let distance = |worker: &batch_worker::BatchWorker| {
            let near = first.zone.is_none() || first.zone.as_ref() == Some(&worker.zone);
            if near { worker.factor } else { worker.factor * ELSEWHERE_FACTOR }
        };
        let nearest = free.min_by(|(_, one), (_, other)| {
            distance(one).total_cmp(&distance(other)).then(one.used.cmp(&other.used))
        });
        nearest.map(|(endpoint, _)| endpoint.clone())
    }

    fn room_left(&self, endpoint: &ids::EndpointId) -> u64 {
        let Some(worker) = self.workers.get(endpoint) else { return 0 };
        if self.capacity.room_bytes == 0 {
            return u64::MAX;
        }
        let unknown = worker.unknown.map_or(0, |unknown| unknown.bytes);
        self.capacity.room_bytes.saturating_sub(self.known_bytes(worker.address) + unknown)
    }

    /// Returns the bytes of the results that this queue knows at an endpoint.
    fn known_bytes(&self, maker: net::SocketAddr) -> u64 {
        let kept = self.kept.values().filter(|kept| kept.maker == maker);
        kept.map(|kept| kept.bytes).sum()
    }

    /// Returns the pieces of the next call, as many as fit it and the room of its endpoint.
    ///
    /// Results of a group that is made in parts take room until its last piece is made. So where
    /// room is short a group is not divided.
    fn fill(
        &self,
        order: &[batch_group::GroupNumber],
        mut room: u64,
    ) -> Vec<(batch_group::GroupNumber, usize)> {
        let batch = usize::try_from(self.capacity.batch).unwrap_or(1);
        let mut pieces = Vec::with_capacity(batch);
        for number in order {
            let Some(queued) = self.groups.get(number) else { continue };
            let bytes = queued.group.bytes;
            let waiting = queued.waiting();
            let free = batch - pieces.len();
            let scarce = u64::try_from(batch).unwrap_or(u64::MAX).saturating_mul(bytes) > room;
            let whole = u64::try_from(waiting).unwrap_or(u64::MAX).saturating_mul(bytes) <= room
                && waiting <= free;
            if scarce && !whole && !pieces.is_empty() {
                continue;
            }
            for place in queued.waiting_places() {
                if pieces.len() == batch {
                    return pieces;
                }
                if bytes <= room {
                    room -= bytes;
                    pieces.push((*number, place));
                }
            }
        }
        pieces
    }

    fn start(
        &mut self,
        endpoint: ids::EndpointId,
        pieces: Vec<(batch_group::GroupNumber, usize)>,
        now: time::Instant,
    ) -> PlannedCall {
        let number = self.next_number();
        let usual = self.call_time(pieces.len());
        let mut orders = Vec::with_capacity(pieces.len());
        let mut bytes = 0;
        for (group, place) in &pieces {
            let Some(queued) = self.groups.get_mut(group) else { continue };
            queued.start(*place);
            let mut order = queued.group.orders[*place].clone();
            order.left = queued.group.deadline.saturating_duration_since(now);
            bytes += queued.group.bytes;
            orders.push(order);
        }
        let mut address = net::SocketAddr::from(([0, 0, 0, 0], 0));
        let mut factor = 1.0;
        if let Some(worker) = self.workers.get_mut(&endpoint) {
            worker.call = Some(number);
            worker.used = now;
            address = worker.address;
            factor = worker.factor;
        }
        let patience = usual.mul_f64(factor * PATIENCE_FACTOR) + PATIENCE_SLACK;
        let call = RunningCall { endpoint: endpoint.clone(), started: now, usual, pieces, bytes };
        self.calls.insert(number, call);
        PlannedCall { number, endpoint, address, orders, patience }
    }

    fn note_worker(&mut self, call: &RunningCall, ending: &BatchEnding, now: time::Instant) {
        if matches!(ending, BatchEnding::Gone) {
            self.workers.shift_remove(&call.endpoint);
            return;
        }
        let maker = self.workers.get(&call.endpoint).map(|worker| worker.address);
        let known = maker.map_or(0, |maker| self.known_bytes(maker));
        let Some(worker) = self.workers.get_mut(&call.endpoint) else { return };
        worker.call = None;
        let took = now.saturating_duration_since(call.started);
        let ratio = took.as_secs_f64() / call.usual.as_secs_f64().max(f64::EPSILON);
        let weighed = worker.factor * (1.0 - NEW_WEIGHT) + ratio * NEW_WEIGHT;
        match ending {
            BatchEnding::Answered(outcomes) => {
                worker.factor = if ratio > worker.factor * SLOW_FACTOR { ratio } else { weighed };
                let full = |outcome: &types::PieceOutcome| {
                    *outcome == types::PieceOutcome::Failed(types::PieceFault::NoRoom)
                };
                if outcomes.iter().any(full) {
                    let made = outcomes.iter().filter(|outcome| !full(outcome)).count();
                    let each = call.bytes / u64::try_from(call.pieces.len()).unwrap_or(1).max(1);
                    let made = each * u64::try_from(made).unwrap_or(0);
                    let bytes = self.capacity.room_bytes.saturating_sub(known + made);
                    let until = now + UNKNOWN_RESULTS_LIFE;
                    worker.unknown = Some(batch_worker::UnknownResults { bytes, until });
                }
            }
            BatchEnding::Full => worker.resting_until = Some(now + REST_AFTER_FULL),
            BatchEnding::Failed | BatchEnding::Gone => {
                worker.resting_until = Some(now + REST_AFTER_FAILURE);
            }
        }
    }

    fn settle(
        &mut self,
        number: batch_group::GroupNumber,
        piece: usize,
        outcome: types::PieceOutcome,
        call: &RunningCall,
        now: time::Instant,
    ) {
        let maker = self.workers.get(&call.endpoint).map(|worker| worker.address);
        let wanted = self.groups.get_mut(&number);
        if let (types::PieceOutcome::Made(handle), Some(maker)) = (&outcome, maker) {
            let count = u64::try_from(call.pieces.len()).unwrap_or(1).max(1);
            let bytes = wanted.as_ref().map_or(call.bytes / count, |queued| queued.group.bytes);
            let until = now + self.capacity.result_life;
            self.kept.insert(handle.clone(), KeptResult { maker, bytes, until });
        }
        if let Some(queued) = wanted {
            queued.settle(piece, outcome);
        }
    }
}

/// Returns the usual time of a call with `pieces` pieces at an endpoint with `capacity`.
pub fn call_time(capacity: &types::StageCapacity, pieces: u32) -> time::Duration {
    time::Duration::from_micros(capacity.call_us)
        + time::Duration::from_micros(capacity.piece_us) * pieces
}
