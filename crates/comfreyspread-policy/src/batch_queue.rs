//! Pieces of one stage service, of requests from all nodes, that share calls.
//!
//! A call takes a long time whatever it holds, so pieces of different requests are put into one.
//! A call is made whenever an endpoint is free, with what waits; an endpoint never idles for the
//! sake of a fuller call. Pieces that can still make their target go first, by rank; those that can
//! only be late follow, by deadline; those that nobody can use any more are dropped at once.

use crate::{batch_outcome, batch_worker, piece_group, worker_set};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{net, time};

/// Number of a call within its queue.
pub type CallNumber = u64;

/// Multiple of the expected time after which a call is given up.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time beyond that multiple.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Speed that counts where no endpoint is there, in endpoints.
const LEAST_SPEED: f64 = 0.1;

/// Place of a group: late, not begun, rank, made elsewhere, moment.
type GroupPlace = (bool, bool, u32, bool, time::Instant);

#[derive(Debug)]
struct RunningCall {
    endpoint: ids::EndpointId,
    started: time::Instant,
    usual: time::Duration,
    pieces: Vec<(piece_group::GroupNumber, usize)>,
    bytes: u64,
}

impl RunningCall {
    /// Returns the mean size of its results in bytes.
    fn piece_bytes(&self) -> u64 {
        self.bytes / u64::try_from(self.pieces.len()).unwrap_or(1).max(1)
    }
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
    pub timeout: time::Duration,
}

/// Queue of one stage service in one region.
#[derive(Debug)]
pub struct BatchQueue {
    capacity: types::StageCapacity,
    workers: worker_set::WorkerSet,
    groups: IndexMap<piece_group::GroupNumber, piece_group::QueuedGroup>,
    calls: IndexMap<CallNumber, RunningCall>,
    next: u64,
}

impl BatchQueue {
    /// Creates the queue of a service whose endpoints have `capacity`.
    pub fn new(capacity: types::StageCapacity) -> Self {
        Self {
            workers: worker_set::WorkerSet::new(capacity.room_bytes),
            capacity,
            groups: IndexMap::new(),
            calls: IndexMap::new(),
            next: 0,
        }
    }

    /// Sets what one endpoint can do.
    pub fn set_capacity(&mut self, capacity: types::StageCapacity) {
        self.workers.set_room(capacity.room_bytes);
        self.capacity = capacity;
    }

    /// Sets the endpoints that may be called.
    pub fn set_workers<Workers>(&mut self, workers: Workers, now: time::Instant)
    where
        Workers: Iterator<Item = batch_worker::WorkerLocation>,
    {
        self.workers.set(workers, now);
    }

    /// Takes in a group of pieces.
    pub fn push(&mut self, group: piece_group::PieceGroup) -> piece_group::GroupNumber {
        let number = self.next_number();
        self.groups.insert(number, piece_group::QueuedGroup::new(group));
        number
    }

    /// Forgets a group that nobody waits for any more.
    pub fn cancel(&mut self, number: piece_group::GroupNumber) {
        self.groups.shift_remove(&number);
    }

    /// Returns the calls to be made now.
    pub fn plan(&mut self, now: time::Instant) -> Vec<PlannedCall> {
        self.workers.advance(now);
        std::iter::from_fn(|| self.plan_one(now)).collect()
    }

    /// Takes in how a call ended; the groups that are settled can then be taken out. Returns the
    /// results that nobody waits for any more.
    pub fn finish(
        &mut self,
        number: CallNumber,
        ending: &batch_outcome::BatchOutcome,
        now: time::Instant,
    ) -> Vec<ids::ResultHandle> {
        let Some(call) = self.calls.shift_remove(&number) else { return Vec::new() };
        let mut unwanted = Vec::new();
        self.workers.note_call(&self.ended(&call, ending), ending, now);
        for (place, (group, piece)) in call.pieces.iter().enumerate() {
            let outcome = match ending {
                batch_outcome::BatchOutcome::Answered(outcomes) => outcomes
                    .get(place)
                    .cloned()
                    .unwrap_or(types::PieceOutcome::Failed(types::PieceFault::Failed)),
                batch_outcome::BatchOutcome::Full | batch_outcome::BatchOutcome::Gone => {
                    types::PieceOutcome::Failed(types::PieceFault::Refused)
                }
                batch_outcome::BatchOutcome::Failed => {
                    types::PieceOutcome::Failed(types::PieceFault::Unreachable)
                }
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
    pub fn take_settled(&mut self, now: time::Instant) -> Vec<piece_group::SettledGroup> {
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
    pub fn remove_results(&mut self, handles: &[ids::ResultHandle]) {
        self.workers.remove_results(handles);
    }

    /// Returns the moment at which something is to be done though no call ends: the next deadline,
    /// or an endpoint whose rest is over.
    pub fn next_wakeup(&self, now: time::Instant) -> Option<time::Instant> {
        if self.groups.is_empty() {
            return None;
        }
        let waiting = self.groups.values().filter(|queued| queued.is_waiting());
        let deadlines = waiting.map(|queued| queued.group.deadline);
        deadlines.chain(self.workers.moments().filter(|moment| *moment > now)).min()
    }

    /// Returns the time until new pieces of a request with this rank are made, their own call
    /// included.
    pub fn expected_wait(&self, priority: u32, now: time::Instant) -> time::Duration {
        let speed = self.workers.speed(now);
        let before = self.groups.values().filter(|queued| queued.group.priority <= priority);
        let waiting: usize = before.map(piece_group::QueuedGroup::waiting).sum();
        let batch = self.batch();
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
        (self.groups.values().map(piece_group::QueuedGroup::waiting).sum(), self.calls.len())
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn plan_one(&mut self, now: time::Instant) -> Option<PlannedCall> {
        let first = self
            .waiting_groups()
            .min_by_key(|(number, queued)| (self.place(queued, None, now), **number));
        let first = &first?.1.group;
        let usual = self.call_time(self.batch());
        let (endpoint, passed) = match self.workers.choose(first, usual, now) {
            Some(endpoint) => (endpoint, 0),
            None => {
                let helper = self.workers.helper(now)?;
                (helper.endpoint, helper.calls_before * self.batch())
            }
        };
        let order = self.order(self.workers.zone(&endpoint), now);
        let room = self.workers.room_left(&endpoint);
        let pieces = self.fill(self.behind(&order, passed), room);
        if pieces.is_empty() {
            return None;
        }
        Some(self.start(endpoint, pieces, now))
    }

    /// Returns what the endpoints are told of a call that has ended.
    fn ended(
        &self,
        call: &RunningCall,
        ending: &batch_outcome::BatchOutcome,
    ) -> worker_set::EndedCall {
        worker_set::EndedCall {
            endpoint: call.endpoint.clone(),
            started: call.started,
            usual: call_time(&self.capacity, ending.worked()),
            piece_bytes: call.piece_bytes(),
        }
    }

    /// Returns the groups of an order behind the first `left` pieces.
    fn behind<'order>(
        &self,
        order: &'order [piece_group::GroupNumber],
        left: usize,
    ) -> &'order [piece_group::GroupNumber] {
        let mut before = 0;
        let first = order.iter().position(|number| {
            let has_place = before >= left;
            before += self.groups.get(number).map_or(0, piece_group::QueuedGroup::waiting);
            has_place
        });
        first.map_or(&[], |first| &order[first..])
    }

    /// Returns the most pieces of a call.
    fn batch(&self) -> usize {
        usize::try_from(self.capacity.batch).unwrap_or(1).max(1)
    }

    fn waiting_groups(
        &self,
    ) -> impl Iterator<Item = (&piece_group::GroupNumber, &piece_group::QueuedGroup)> {
        self.groups.iter().filter(|(_, queued)| queued.is_waiting())
    }

    /// Returns the groups with pieces that wait, in the order in which they are served by an
    /// endpoint of `zone`, or of any.
    fn order(
        &self,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> Vec<piece_group::GroupNumber> {
        let place = |(number, queued): (&piece_group::GroupNumber, _)| {
            (self.place(queued, zone, now), *number)
        };
        let mut order: Vec<_> = self.waiting_groups().map(place).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// Returns the place of a group; the least is served first by an endpoint of `zone`.
    fn place(
        &self,
        queued: &piece_group::QueuedGroup,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> GroupPlace {
        let group = &queued.group;
        let soonest = self.call_time(self.batch());
        let late = now + soonest > group.target;
        let rank = if late { u32::MAX } else { group.priority };
        let last = group.inputs_until.map_or(group.deadline, |until| until.min(group.deadline));
        let moment = if late { last } else { group.target };
        let elsewhere = zone.is_some() && group.zone.is_some() && group.zone.as_ref() != zone;
        (late, !queued.is_begun(), rank, elsewhere, moment)
    }

    /// Returns the pieces of the next call, as many as fit it and the room of its endpoint.
    ///
    /// Results of a group that is made in parts take room until its last piece is made. So where
    /// room is short a group is not divided.
    fn fill(
        &self,
        order: &[piece_group::GroupNumber],
        mut room: u64,
    ) -> Vec<(piece_group::GroupNumber, usize)> {
        let batch = self.batch();
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
        pieces: Vec<(piece_group::GroupNumber, usize)>,
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
        let (address, factor) = self.workers.start(&endpoint, number, now);
        let timeout = usual.mul_f64(factor * TIMEOUT_FACTOR) + TIMEOUT_MARGIN;
        let call = RunningCall { endpoint: endpoint.clone(), started: now, usual, pieces, bytes };
        self.calls.insert(number, call);
        PlannedCall { number, endpoint, address, orders, timeout }
    }

    fn settle(
        &mut self,
        number: piece_group::GroupNumber,
        piece: usize,
        outcome: types::PieceOutcome,
        call: &RunningCall,
        now: time::Instant,
    ) {
        let wanted = self.groups.get_mut(&number);
        if let types::PieceOutcome::Made(handle) = &outcome {
            let bytes = wanted.as_ref().map_or(call.piece_bytes(), |queued| queued.group.bytes);
            let until = now + self.capacity.result_life;
            self.workers.keep_result(&call.endpoint, handle.clone(), bytes, until);
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
