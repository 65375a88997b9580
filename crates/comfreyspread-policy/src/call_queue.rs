//! Queue of the calls that wait for an endpoint of one pool.
//!
//! Higher priorities go first. A lower one that was skipped [`MAX_TURNS_SKIPPED`] times in a row
//! goes next, so that it cannot starve. Within a priority, workspaces share by weight (stride
//! scheduling): each turn goes to the workspace with the lowest pass value, so many calls of one
//! workspace do not delay those of the others. Within a workspace, the call with the earliest
//! latest start goes first. A call past its latest start is returned as expired and not sent.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{collections::VecDeque, time};

/// Number of turns in a row for which a priority with queued calls may be skipped.
pub const MAX_TURNS_SKIPPED: u32 = 16;
const PRIORITY_LEVELS: usize = 3;
const STRIDE_SCALE: u64 = 1 << 20;
const LOOKAHEAD_PER_WORKSPACE: usize = 4;

/// A queued call.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Identifier of the call within the pool.
    pub id: ids::TicketId,
    /// Workspace the call belongs to.
    pub workspace: ids::WorkspaceId,
    /// Weight of the workspace among those with calls of the same priority.
    pub weight: u32,
    /// Priority.
    pub priority: types::PriorityLevel,
    /// Time after which the call is no longer worth starting.
    pub latest_start: time::Instant,
    /// Preferred endpoint.
    pub endpoint: Option<ids::EndpointId>,
    /// Endpoints at which earlier attempts failed; used only if no other endpoint takes calls.
    pub excluded_endpoints: Vec<ids::EndpointId>,
    /// Whether the endpoint must run no other call at the same time.
    pub exclusive: bool,
    /// Hash of the prompt prefix; zero if the call has none.
    pub prefix: ids::PrefixHash,
    /// Memory the call occupies while it is queued, in bytes.
    pub bytes: usize,
}

/// Position of a call in the queue.
#[derive(Clone, Debug)]
struct QueuePosition {
    level: usize,
    workspace: ids::WorkspaceId,
    latest_start: time::Instant,
}

/// Calls of one workspace at one priority, ordered by latest start.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    weight: u64,
    pass: u64,
    calls: VecDeque<QueuedCall>,
}

/// Calls of one priority.
#[derive(Debug, Default)]
struct LevelQueue {
    workspaces: IndexMap<ids::WorkspaceId, WorkspaceQueue>,
    virtual_time: u64,
    weight: u64,
    waiting: usize,
    turns_skipped: u32,
}

/// Queued calls by priority and workspace.
#[derive(Debug)]
pub struct CallQueue {
    levels: [LevelQueue; PRIORITY_LEVELS],
    positions: IndexMap<ids::TicketId, QueuePosition>,
    bytes: usize,
    max_bytes: usize,
}

/// A call removed from the queue by [`CallQueue::dequeue`].
#[derive(Debug)]
pub enum DequeuedCall<Choice> {
    /// The call can start, at the endpoint chosen for it.
    Ready(QueuedCall, Choice),
    /// The latest start of the call has passed.
    Expired(QueuedCall),
}

impl CallQueue {
    /// Creates an empty queue for calls of up to `max_bytes` bytes in total.
    pub fn new(max_bytes: usize) -> Self {
        Self { levels: Default::default(), positions: IndexMap::new(), bytes: 0, max_bytes }
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of queued calls of one priority.
    pub fn len_at(&self, priority: types::PriorityLevel) -> usize {
        self.levels[level_index(priority)].waiting
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns how many calls would start before a new one of `workspace` with `weight`.
    ///
    /// All calls of higher priorities count. At the same priority, the workspace's own calls count,
    /// plus the calls of other workspaces that start in the same turns, in proportion to weight.
    pub fn calls_ahead(
        &self,
        workspace: &ids::WorkspaceId,
        weight: u32,
        priority: types::PriorityLevel,
    ) -> usize {
        let index = level_index(priority);
        let higher: usize = self.levels[..index].iter().map(|level| level.waiting).sum();
        let level = &self.levels[index];
        let queue = level.workspaces.get(workspace);
        let own = queue.map_or(0, |queue| queue.calls.len());
        let weight = u64::from(weight.max(1));
        let others = if own > 0 { level.weight.saturating_sub(weight) } else { level.weight };
        let turns = u64::try_from(own + 1).unwrap_or(u64::MAX);
        let others = usize::try_from(turns.saturating_mul(others) / weight).unwrap_or(usize::MAX);
        higher + own.saturating_add(others).min(level.waiting)
    }

    /// Adds a call.
    ///
    /// # Errors
    ///
    /// Returns the call if it would exceed the memory limit.
    pub fn push(&mut self, call: QueuedCall) -> Result<(), Box<QueuedCall>> {
        if self.bytes.saturating_add(call.bytes) > self.max_bytes {
            return Err(Box::new(call));
        }
        let index = level_index(call.priority);
        let position = QueuePosition {
            level: index,
            workspace: call.workspace.clone(),
            latest_start: call.latest_start,
        };
        self.bytes += call.bytes;
        self.positions.insert(call.id, position);
        self.levels[index].push(call);
        Ok(())
    }

    /// Removes a call; `None` if it is no longer queued.
    pub fn remove(&mut self, ticket: ids::TicketId) -> Option<QueuedCall> {
        let position = self.positions.swap_remove(&ticket)?;
        let call = self.levels[position.level].remove(ticket, &position)?;
        self.bytes -= call.bytes;
        Some(call)
    }

    /// Removes and returns all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        let tickets: Vec<_> = self.positions.keys().copied().collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// Removes the next call that has expired or that `choose` finds an endpoint for.
    pub fn dequeue<Choice>(
        &mut self,
        now: time::Instant,
        mut choose: impl FnMut(&QueuedCall) -> Option<Choice>,
    ) -> Option<DequeuedCall<Choice>> {
        for index in self.turn_order() {
            let Some(dequeued) = self.levels[index].dequeue(now, &mut choose) else { continue };
            let (DequeuedCall::Ready(call, _) | DequeuedCall::Expired(call)) = &dequeued;
            self.positions.swap_remove(&call.id);
            self.bytes -= call.bytes;
            if matches!(dequeued, DequeuedCall::Ready(..)) {
                self.update_turns_skipped(index);
            }
            return Some(dequeued);
        }
        None
    }

    /// Returns the priority levels in the order of this turn, overdue ones first.
    fn turn_order(&self) -> impl Iterator<Item = usize> + use<> {
        let mut order: [usize; PRIORITY_LEVELS] = std::array::from_fn(|index| index);
        let overdue = |index: &usize| {
            let level = &self.levels[*index];
            level.waiting > 0 && level.turns_skipped >= MAX_TURNS_SKIPPED
        };
        order.sort_by_key(|index| !overdue(index));
        order.into_iter()
    }

    fn update_turns_skipped(&mut self, served: usize) {
        for (index, level) in self.levels.iter_mut().enumerate() {
            if index == served || level.waiting == 0 {
                level.turns_skipped = 0;
            } else {
                level.turns_skipped = level.turns_skipped.saturating_add(1);
            }
        }
    }
}

impl LevelQueue {
    fn push(&mut self, call: QueuedCall) {
        let queue = self.workspaces.entry(call.workspace.clone()).or_default();
        if queue.calls.is_empty() {
            queue.pass = queue.pass.max(self.virtual_time);
            queue.weight = u64::from(call.weight.max(1));
            self.weight += queue.weight;
        }
        let key = (call.latest_start, call.id);
        let index = queue.calls.partition_point(|other| (other.latest_start, other.id) < key);
        queue.calls.insert(index, call);
        self.waiting += 1;
    }

    fn remove(&mut self, ticket: ids::TicketId, position: &QueuePosition) -> Option<QueuedCall> {
        let index = self.workspaces.get_index_of(&position.workspace)?;
        let key = (position.latest_start, ticket);
        let calls = &self.workspaces[index].calls;
        let position =
            calls.binary_search_by(|call| (call.latest_start, call.id).cmp(&key)).ok()?;
        self.remove_at(index, position)
    }

    fn dequeue<Choice>(
        &mut self,
        now: time::Instant,
        choose: &mut impl FnMut(&QueuedCall) -> Option<Choice>,
    ) -> Option<DequeuedCall<Choice>> {
        if self.waiting == 0 {
            return None;
        }
        let first = self.next_workspace()?;
        if let Some(dequeued) = self.dequeue_from(first, now, choose) {
            return Some(dequeued);
        }
        let mut others: Vec<_> = self.waiting_workspaces().filter(|(_, at)| *at != first).collect();
        others.sort_unstable();
        others.into_iter().find_map(|(_, index)| self.dequeue_from(index, now, choose))
    }

    fn dequeue_from<Choice>(
        &mut self,
        index: usize,
        now: time::Instant,
        choose: &mut impl FnMut(&QueuedCall) -> Option<Choice>,
    ) -> Option<DequeuedCall<Choice>> {
        let calls = &self.workspaces[index].calls;
        if calls.front().is_some_and(|call| call.latest_start < now) {
            return self.remove_at(index, 0).map(DequeuedCall::Expired);
        }
        let lookahead = calls.iter().take(LOOKAHEAD_PER_WORKSPACE).enumerate();
        let (position, choice) =
            lookahead.into_iter().find_map(|(position, call)| Some((position, choose(call)?)))?;
        self.virtual_time = self.virtual_time.max(self.workspaces[index].pass);
        let call = self.remove_at(index, position)?;
        let stride = STRIDE_SCALE / u64::from(call.weight.max(1));
        let queue = self.workspaces.entry(call.workspace.clone()).or_default();
        queue.pass = queue.pass.max(self.virtual_time) + stride;
        Some(DequeuedCall::Ready(call, choice))
    }

    /// Removes a call. A workspace without calls is kept until the virtual time reaches its pass,
    /// so that it gains no turn by draining its queue.
    fn remove_at(&mut self, index: usize, position: usize) -> Option<QueuedCall> {
        let (_, queue) = self.workspaces.get_index_mut(index)?;
        let call = queue.calls.remove(position)?;
        self.waiting -= 1;
        if queue.calls.is_empty() {
            self.weight -= queue.weight;
            let virtual_time = self.virtual_time;
            self.workspaces.retain(|_, queue| !queue.calls.is_empty() || queue.pass > virtual_time);
        }
        Some(call)
    }

    fn next_workspace(&self) -> Option<usize> {
        self.waiting_workspaces().min().map(|(_, index)| index)
    }

    fn waiting_workspaces(&self) -> impl Iterator<Item = (u64, usize)> {
        let queues = self.workspaces.values().enumerate();
        let waiting = queues.filter(|(_, queue)| !queue.calls.is_empty());
        waiting.map(|(index, queue)| (queue.pass, index))
    }
}

fn level_index(priority: types::PriorityLevel) -> usize {
    match priority {
        types::PriorityLevel::High => 0,
        types::PriorityLevel::Normal => 1,
        types::PriorityLevel::Low => 2,
    }
}
