//! Batching queue of one stage service, for the pieces of requests from all nodes.
//!
//! A call has a high fixed cost, so pieces of different requests share one. A call starts as soon
//! as an endpoint is free, with the pieces that are queued; the queue never waits to fill a batch.
//! Pieces that can still meet their target go first, by priority; those that can only be late
//! follow, by deadline; those past their deadline are dropped.

use crate::{
    batch_admission, batch_call, batch_outcome, batch_worker, home_zones, piece_group, worker_set,
};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Multiple of the expected time after which a call times out.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to that multiple.
const TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Lowest total speed used in estimates, in endpoints; avoids a division by zero without endpoints.
const MIN_SPEED: f64 = 0.1;

/// Sort key of a group: late, not started, priority, in another zone, target or deadline.
type GroupSortKey = (bool, bool, u32, bool, time::Instant);

/// Queue of one stage service in one region.
#[derive(Debug)]
pub struct BatchQueue {
    capacity: types::StageCapacity,
    workers: worker_set::WorkerSet,
    groups: IndexMap<piece_group::GroupNumber, piece_group::QueuedGroup>,
    calls: IndexMap<batch_call::CallNumber, batch_call::RunningCall>,
    admission: batch_admission::BatchAdmission,
    last_number: u64,
}

impl BatchQueue {
    /// Creates the queue of a service whose endpoints have `capacity`.
    pub fn new(capacity: types::StageCapacity) -> Self {
        Self {
            workers: worker_set::WorkerSet::new(capacity.storage_bytes),
            capacity,
            groups: IndexMap::new(),
            calls: IndexMap::new(),
            admission: batch_admission::BatchAdmission::default(),
            last_number: 0,
        }
    }

    /// Sets the capacity of each endpoint.
    pub fn set_capacity(&mut self, capacity: types::StageCapacity) {
        self.workers.set_storage_limit(capacity.storage_bytes);
        self.capacity = capacity;
    }

    /// Sets the endpoints that may be called.
    pub fn set_workers<Workers>(&mut self, workers: Workers, now: time::Instant)
    where
        Workers: Iterator<Item = batch_worker::WorkerLocation>,
    {
        self.workers.set(workers, now);
    }

    /// Adds a group of pieces.
    pub fn push(&mut self, group: piece_group::PieceGroup) -> piece_group::GroupNumber {
        let number = self.next_number();
        self.groups.insert(number, piece_group::QueuedGroup::new(group));
        number
    }

    /// Removes a group whose requester has gone.
    pub fn cancel(&mut self, number: piece_group::GroupNumber) {
        self.groups.shift_remove(&number);
    }

    /// Returns the calls to be sent now.
    pub fn plan(&mut self, now: time::Instant) -> Vec<batch_call::PlannedCall> {
        self.workers.remove_expired(now);
        std::iter::from_fn(|| self.plan_call(now)).collect()
    }

    /// Records the outcome of a call; [`BatchQueue::take_completed`] then returns the groups that
    /// it completed. Returns the results of cancelled groups, which are to be released.
    pub fn finish_call(
        &mut self,
        number: batch_call::CallNumber,
        outcome: &batch_outcome::BatchOutcome,
        now: time::Instant,
    ) -> Vec<ids::ResultHandle> {
        let Some(call) = self.calls.shift_remove(&number) else { return Vec::new() };
        let mut unclaimed = Vec::new();
        self.workers.record_call(&self.ended_call(&call, outcome), outcome, now);
        for (index, (group, piece)) in call.pieces.iter().enumerate() {
            let outcome = match outcome {
                batch_outcome::BatchOutcome::Answered(outcomes) => outcomes
                    .get(index)
                    .cloned()
                    .unwrap_or(types::PieceOutcome::Failed(types::PieceError::Failed)),
                batch_outcome::BatchOutcome::Full | batch_outcome::BatchOutcome::Gone => {
                    types::PieceOutcome::Failed(types::PieceError::Refused)
                }
                batch_outcome::BatchOutcome::Failed => {
                    types::PieceOutcome::Failed(types::PieceError::Unreachable)
                }
            };
            if let types::PieceOutcome::Made(handle) = &outcome
                && !self.groups.contains_key(group)
            {
                unclaimed.push(handle.clone());
            }
            self.finish_piece(*group, *piece, outcome, &call, now);
        }
        unclaimed
    }

    /// Fails the queued pieces of groups that are past their deadline or cannot meet it, and removes
    /// and returns the groups that are completed.
    pub fn take_completed(&mut self, now: time::Instant) -> Vec<piece_group::CompletedGroup> {
        for number in self.due_rejections(now) {
            if let Some(queued) = self.groups.get_mut(&number) {
                queued.drop_waiting(types::PieceError::Late);
            }
        }
        let completed: Vec<_> =
            self.groups.iter().filter_map(|(number, queued)| queued.completed(*number)).collect();
        for group in &completed {
            self.groups.shift_remove(&group.number);
        }
        completed
    }

    /// Returns whether the queue counts the storage of a result: one of its own calls made it.
    pub fn counts_result(&self, handle: &ids::ResultHandle) -> bool {
        self.workers.counts_result(handle)
    }

    /// Removes results that have been released at the endpoints that stored them.
    pub fn remove_results(&mut self, handles: &[ids::ResultHandle]) {
        self.workers.remove_results(handles);
    }

    /// Returns when to plan again if no call ends before: at the next deadline, when an endpoint may
    /// be called or filled again, or when groups that wait for their own zone may go elsewhere.
    pub fn next_wakeup(&self, now: time::Instant) -> Option<time::Instant> {
        if self.groups.is_empty() {
            return None;
        }
        let waiting = self.groups.values().filter(|queued| queued.is_waiting());
        let deadline = waiting.map(|queued| queued.group.deadline).min();
        let home_wait = deadline.filter(|_| self.workers.has_idle(now));
        let home_wait = home_wait.map(|_| now + home_zones::HOME_WAIT);
        deadline
            .into_iter()
            .chain(home_wait)
            .chain(self.workers.wakeups().filter(|wakeup| *wakeup > now))
            .min()
    }

    /// Returns the expected time until new pieces of a request with this priority are done, the
    /// call that holds them included.
    pub fn expected_wait(&self, priority: u32, now: time::Instant) -> time::Duration {
        let resumes_at = self.workers.resumes_at(now).unwrap_or(now);
        let speed = self.workers.speed(resumes_at);
        let ahead = self.groups.values().filter(|queued| queued.group.priority <= priority);
        let waiting: usize = ahead.map(piece_group::QueuedGroup::waiting).sum();
        let max_batch = self.max_batch();
        let full_call = self.call_time(max_batch);
        let running = self
            .calls
            .values()
            .map(|call| (call.started + call.expected).saturating_duration_since(now));
        let running: time::Duration = running.sum();
        let work = running + full_call.mul_f64(waiting as f64 / max_batch as f64);
        let pause = resumes_at.saturating_duration_since(now);
        pause + work.mul_f64(1.0 / speed.max(MIN_SPEED)) + full_call
    }

    /// Returns the expected time of a call with `pieces` pieces.
    pub fn call_time(&self, pieces: usize) -> time::Duration {
        batch_call::call_time(&self.capacity, u32::try_from(pieces).unwrap_or(u32::MAX))
    }

    /// Returns the number of running calls to endpoints for which `belongs` holds.
    pub fn calls_to<Belongs>(&self, belongs: Belongs) -> usize
    where
        Belongs: Fn(&ids::EndpointId) -> bool,
    {
        self.calls.values().filter(|call| belongs(&call.endpoint)).count()
    }

    /// Returns the number of queued pieces and of running calls.
    pub fn load(&self) -> (usize, usize) {
        (self.groups.values().map(piece_group::QueuedGroup::waiting).sum(), self.calls.len())
    }

    /// Returns the groups past their deadline, and now and then those expected to miss it.
    fn due_rejections(&mut self, now: time::Instant) -> Vec<piece_group::GroupNumber> {
        if self.admission.start_check(now) {
            return self.hopeless_groups(now);
        }
        let latest = self.workers.resumes_at(now).map_or(now, |at| at + self.call_time(1));
        let late = self.groups.iter().filter(|(_, queued)| queued.group.deadline <= latest);
        late.map(|(number, _)| *number).collect()
    }

    /// Returns the groups that are past their deadline, and those expected to miss it for whose request
    /// no piece has been made. Their callers learn soon, rather than at their deadline, that they
    /// are not served.
    fn hopeless_groups(&self, now: time::Instant) -> Vec<piece_group::GroupNumber> {
        let from = self.workers.resumes_at(now).unwrap_or(now);
        let speed = self.workers.speed(from);
        let full_call = self.call_time(self.max_batch());
        let mut pieces_ahead = 0.0;
        let mut hopeless = Vec::new();
        for number in self.serving_order(None, now) {
            let Some(queued) = self.groups.get(&number) else { continue };
            let pieces = queued.waiting();
            let calls_ahead = (pieces_ahead / self.max_batch() as f64 / speed.max(1.0)).floor();
            let wait =
                if speed < 1.0 { time::Duration::ZERO } else { full_call.mul_f64(calls_ahead) };
            let call_time = self.call_time(pieces.min(self.max_batch()));
            let misses = from + wait + call_time > queued.group.deadline;
            let invested = queued.is_started() || queued.group.inputs_expire_at.is_some();
            if queued.group.deadline <= from || (misses && !invested) {
                hopeless.push(number);
                continue;
            }
            pieces_ahead += self.admission.weight(self.is_late(queued, now), pieces);
        }
        hopeless
    }

    /// Whether a group can no longer meet its target.
    fn is_late(&self, queued: &piece_group::QueuedGroup, now: time::Instant) -> bool {
        now + self.call_time(self.max_batch()) > queued.group.target
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn plan_call(&mut self, now: time::Instant) -> Option<batch_call::PlannedCall> {
        if !self.workers.has_idle(now) {
            return None;
        }
        let order = self.serving_order(None, now);
        let homes = self.home_groups(&order, now);
        let (endpoint, skipped) = self.choose_endpoint(&order, &homes, now)?;
        let zone = self.workers.zone(&endpoint);
        let mut order = self.serving_order(zone, now);
        order.retain(|number| homes.get(number).is_none_or(|home| Some(home) == zone));
        let free_bytes = self.workers.free_bytes(&endpoint);
        let pieces = self.fill_batch(self.skip_pieces(&order, skipped), free_bytes);
        if pieces.is_empty() {
            return None;
        }
        Some(self.start_call(endpoint, pieces, now))
    }

    /// Returns the endpoint for the next call, and how many pieces are left to other endpoints.
    fn choose_endpoint(
        &self,
        order: &[piece_group::GroupNumber],
        homes: &IndexMap<piece_group::GroupNumber, ids::ZoneId>,
        now: time::Instant,
    ) -> Option<(ids::EndpointId, usize)> {
        let expected = self.call_time(self.max_batch());
        let mut busy_zones = IndexSet::new();
        for number in order {
            let Some(queued) = self.groups.get(number) else { continue };
            let home = homes.get(number);
            if home.is_some_and(|home| busy_zones.contains(home)) {
                continue;
            }
            if let Some(endpoint) = self.workers.choose(&queued.group, home, expected, now) {
                return Some((endpoint, 0));
            }
            let Some(home) = home else {
                let backfill = self.workers.choose_backfill(now)?;
                return Some((backfill.endpoint, backfill.calls_before * self.max_batch()));
            };
            busy_zones.insert(home);
        }
        None
    }

    /// Returns the groups that only endpoints of their own zone serve for now, with that zone: those
    /// with time to spare for which one is about to be free.
    fn home_groups(
        &self,
        order: &[piece_group::GroupNumber],
        now: time::Instant,
    ) -> IndexMap<piece_group::GroupNumber, ids::ZoneId> {
        let end_of = |number, ratio| {
            let call = self.calls.get(&number)?;
            Some(call.started + call.expected.mul_f64(ratio))
        };
        let overdue = now.checked_sub(home_zones::HOME_WAIT).unwrap_or(now);
        let window = (overdue, now + home_zones::HOME_WAIT);
        let free_soon = self.workers.zones_free_soon(window, now, end_of);
        let mut zones = home_zones::HomeZones::new(free_soon.into_iter(), self.max_batch());
        let mut homes = IndexMap::new();
        for number in order {
            let Some(queued) = self.groups.get(number) else { continue };
            let Some(zone) = &queued.group.zone else { continue };
            let has_time = !self.is_late(queued, now + home_zones::HOME_WAIT);
            if has_time && zones.claim(zone, queued.waiting()) {
                homes.insert(*number, zone.clone());
            }
        }
        homes
    }

    /// Returns the summary of a call for [`worker_set::WorkerSet::record_call`].
    fn ended_call(
        &self,
        call: &batch_call::RunningCall,
        outcome: &batch_outcome::BatchOutcome,
    ) -> worker_set::EndedCall {
        worker_set::EndedCall {
            endpoint: call.endpoint.clone(),
            started: call.started,
            expected: batch_call::call_time(&self.capacity, outcome.attempted()),
            piece_bytes: call.piece_bytes(),
        }
    }

    /// Returns the groups of `order` that begin after its first `skipped` pieces.
    fn skip_pieces<'order>(
        &self,
        order: &'order [piece_group::GroupNumber],
        skipped: usize,
    ) -> &'order [piece_group::GroupNumber] {
        let mut before = 0;
        let first = order.iter().position(|number| {
            let is_after = before >= skipped;
            before += self.groups.get(number).map_or(0, piece_group::QueuedGroup::waiting);
            is_after
        });
        first.map_or(&[], |first| &order[first..])
    }

    /// Returns the maximum number of pieces in a call.
    fn max_batch(&self) -> usize {
        usize::try_from(self.capacity.max_batch_size).unwrap_or(1).max(1)
    }

    fn waiting_groups(
        &self,
    ) -> impl Iterator<Item = (&piece_group::GroupNumber, &piece_group::QueuedGroup)> {
        self.groups.iter().filter(|(_, queued)| queued.is_waiting())
    }

    /// Returns the groups with queued pieces, in the order in which an endpoint of `zone` serves
    /// them; without a zone, location is ignored.
    fn serving_order(
        &self,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> Vec<piece_group::GroupNumber> {
        let keyed = |(number, queued): (&piece_group::GroupNumber, _)| {
            (self.sort_key(queued, zone, now), *number)
        };
        let mut order: Vec<_> = self.waiting_groups().map(keyed).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// Returns the sort key of a group; an endpoint of `zone` serves the lowest first.
    fn sort_key(
        &self,
        queued: &piece_group::QueuedGroup,
        zone: Option<&ids::ZoneId>,
        now: time::Instant,
    ) -> GroupSortKey {
        let group = &queued.group;
        let late = self.is_late(queued, now);
        let priority = if late { u32::MAX } else { group.priority };
        let latest =
            group.inputs_expire_at.map_or(group.deadline, |until| until.min(group.deadline));
        let due = if late { latest } else { group.target };
        let other_zone = zone.is_some() && group.zone.is_some() && group.zone.as_ref() != zone;
        (late, !queued.is_started(), priority, other_zone, due)
    }

    /// Returns the pieces of the next call, as many as fit the batch and `free_bytes`, the free
    /// storage of its endpoint.
    ///
    /// The results of a split group occupy storage until its last piece is done, so a group is not
    /// split while storage is scarce. An isolated group is the only one of its call.
    fn fill_batch(
        &self,
        order: &[piece_group::GroupNumber],
        mut free_bytes: u64,
    ) -> Vec<(piece_group::GroupNumber, usize)> {
        let max_batch = self.max_batch();
        let mut pieces = Vec::with_capacity(max_batch);
        for number in order {
            let Some(queued) = self.groups.get(number) else { continue };
            let result_bytes = queued.group.result_bytes;
            let waiting = queued.waiting();
            let free_slots = max_batch - pieces.len();
            let scarce = u64::try_from(max_batch).unwrap_or(u64::MAX).saturating_mul(result_bytes)
                > free_bytes;
            let fits = u64::try_from(waiting).unwrap_or(u64::MAX).saturating_mul(result_bytes)
                <= free_bytes
                && waiting <= free_slots;
            let isolated = queued.is_isolated();
            if (isolated || scarce && !fits) && !pieces.is_empty() {
                continue;
            }
            for piece in queued.waiting_pieces() {
                if pieces.len() == max_batch {
                    return pieces;
                }
                if result_bytes <= free_bytes {
                    free_bytes -= result_bytes;
                    pieces.push((*number, piece));
                }
            }
            if isolated && !pieces.is_empty() {
                return pieces;
            }
        }
        pieces
    }

    fn start_call(
        &mut self,
        endpoint: ids::EndpointId,
        pieces: Vec<(piece_group::GroupNumber, usize)>,
        now: time::Instant,
    ) -> batch_call::PlannedCall {
        let is_late =
            |group| self.groups.get(group).is_some_and(|queued| self.is_late(queued, now));
        let late = pieces.iter().filter(|(group, _)| is_late(group)).count();
        self.admission.record_call(late, pieces.len());
        let number = self.next_number();
        let expected = self.call_time(pieces.len());
        let mut tasks = Vec::with_capacity(pieces.len());
        let mut bytes = 0;
        for (group, piece) in &pieces {
            let Some(queued) = self.groups.get_mut(group) else { continue };
            queued.start(*piece);
            let mut task = queued.group.tasks[*piece].clone();
            task.time_left = queued.group.deadline.saturating_duration_since(now);
            bytes += queued.group.result_bytes;
            tasks.push(task);
        }
        let (address, time_ratio) = self.workers.start_call(&endpoint, number, now);
        let timeout = expected.mul_f64(time_ratio * TIMEOUT_FACTOR) + TIMEOUT_MARGIN;
        let call = batch_call::RunningCall {
            endpoint: endpoint.clone(),
            started: now,
            expected,
            pieces,
            bytes,
        };
        self.calls.insert(number, call);
        batch_call::PlannedCall { number, endpoint, address, tasks, timeout }
    }

    fn finish_piece(
        &mut self,
        number: piece_group::GroupNumber,
        piece: usize,
        outcome: types::PieceOutcome,
        call: &batch_call::RunningCall,
        now: time::Instant,
    ) {
        let queued = self.groups.get_mut(&number);
        if let types::PieceOutcome::Made(handle) = &outcome {
            let bytes =
                queued.as_ref().map_or(call.piece_bytes(), |queued| queued.group.result_bytes);
            let expires = now + self.capacity.result_ttl;
            self.workers.add_result(&call.endpoint, handle.clone(), bytes, expires);
        }
        if let Some(queued) = queued {
            queued.finish(piece, outcome);
        }
    }
}
