//! Life cycle of an endpoint's ownership at one node: waiting, owned, released.
//!
//! A node may send to an endpoint only in the owned state, which is reached only from a wait that
//! has ended with a fencing number. Each step consumes the state before it, so a released ownership
//! cannot be used again without another wait.

use crate::{member, membership};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// State of an ownership that other nodes may still hold.
#[derive(Debug)]
pub struct WaitingState {
    blockers: IndexMap<member::MemberInstance, OwnerAbsence>,
    confirmed: IndexSet<member::MemberInstance>,
    not_before: Option<time::Instant>,
    floor: Option<ids::FenceNumber>,
    asked: Option<Box<PutQuestion>>,
}

/// The last question put for an endpoint.
#[derive(Debug)]
struct PutQuestion {
    at: time::Instant,
    to: IndexSet<member::MemberInstance>,
}

/// State of an ownership held by this node.
#[derive(Debug)]
pub struct OwnedState {
    fence: ids::FenceNumber,
}

/// State of an ownership that this node gave up or lost.
#[derive(Debug)]
pub struct ReleasedState {
    retry: Option<time::Instant>,
}

/// Since when a possible owner is gone without having failed in this node's view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerAbsence {
    since: Option<time::Instant>,
}

/// Ownership of one endpoint in the state `State`.
#[derive(Debug)]
pub struct EndpointOwnership<State> {
    highest: ids::FenceNumber,
    state: State,
}

impl EndpointOwnership<WaitingState> {
    /// Begins to wait for the nodes that may own the endpoint.
    pub fn new(blockers: Vec<member::MemberInstance>) -> Self {
        EndpointOwnership { highest: 0, state: WaitingState::new(blockers, None) }
    }

    /// Returns the nodes that may still own the endpoint.
    pub fn blockers(&self) -> impl Iterator<Item = &member::MemberInstance> {
        self.state.blockers.keys()
    }

    /// Whether no other node can own the endpoint any more.
    pub fn is_clear(&self, now: time::Instant) -> bool {
        self.state.blockers.is_empty() && self.state.not_before.is_none_or(|moment| now >= moment)
    }

    /// Whether a fencing number is known that the next one has to exceed.
    pub fn has_floor(&self) -> bool {
        self.state.floor.is_some()
    }

    /// Takes note that a node confirmed it does not own the endpoint and will not before it has
    /// asked this one.
    pub fn confirm(&mut self, instance: &member::MemberInstance) {
        self.state.blockers.swap_remove(instance);
        self.state.confirmed.insert(instance.clone());
    }

    /// Waits for one more node, unless it has confirmed already.
    pub fn block(&mut self, instance: member::MemberInstance) {
        if self.state.confirmed.contains(&instance) || self.state.blockers.contains_key(&instance) {
            return;
        }
        self.state.blockers.insert(instance, OwnerAbsence::default());
    }

    /// Whether to put the question that the wait depends on now: to the nodes waited for or, once
    /// there are none, to the endpoint. It is put again only after `pause` or to other nodes, so
    /// that answers to other questions do not multiply it.
    pub fn should_ask(&mut self, pause: time::Duration, now: time::Instant) -> bool {
        let blockers = &self.state.blockers;
        let put = self.state.asked.as_ref().is_some_and(|asked| {
            let same = blockers.keys().all(|blocker| asked.to.contains(blocker));
            let endpoint = blockers.is_empty() == asked.to.is_empty();
            now < asked.at + pause && same && endpoint
        });
        if !put {
            let to = blockers.keys().cloned().collect();
            self.state.asked = Some(Box::new(PutQuestion { at: now, to }));
        }
        !put
    }

    /// Takes note of a number that another node used; the endpoint may have seen a higher one.
    pub fn raise(&mut self, fence: ids::FenceNumber) {
        self.highest = self.highest.max(fence);
    }

    /// Takes note of the highest number that the endpoint has seen.
    pub fn learn(&mut self, fence: ids::FenceNumber) {
        let floor = self.state.floor.unwrap_or(0).max(fence);
        self.state.floor = Some(floor);
    }

    /// Drops the nodes that can own nothing any more in the view of `members`.
    pub fn advance(
        &mut self,
        members: &membership::MemberTable,
        lapse: time::Duration,
        now: time::Instant,
    ) {
        self.state
            .blockers
            .retain(|instance, absence| !absence.is_over(instance, members, lapse, now));
    }

    /// Owns the endpoint with a number above all known ones; `tag` marks the node in the low bits.
    /// The number counts at least to `least`, which grows with time, so that it also exceeds the
    /// number of a former owner that the endpoint never saw.
    pub fn own(self, tag: u16, least: u64) -> EndpointOwnership<OwnedState> {
        let known = self.highest.max(self.state.floor.unwrap_or(0));
        let count = ((known >> u16::BITS) + 1).max(least);
        let fence = (count << u16::BITS) | u64::from(tag);
        EndpointOwnership { highest: fence, state: OwnedState { fence } }
    }

    /// Gives the wait up.
    pub fn release(self) -> EndpointOwnership<ReleasedState> {
        let highest = self.highest.max(self.state.floor.unwrap_or(0));
        EndpointOwnership { highest, state: ReleasedState { retry: None } }
    }
}

impl EndpointOwnership<OwnedState> {
    /// Returns the fencing number of this ownership.
    pub fn fence(&self) -> ids::FenceNumber {
        self.state.fence
    }

    /// Gives the endpoint up.
    pub fn release(self) -> EndpointOwnership<ReleasedState> {
        EndpointOwnership { highest: self.highest, state: ReleasedState { retry: None } }
    }

    /// Loses the endpoint to a higher fencing number; it may be waited for again from `retry` on.
    pub fn lose(self, retry: time::Instant) -> EndpointOwnership<ReleasedState> {
        EndpointOwnership { highest: self.highest, state: ReleasedState { retry: Some(retry) } }
    }
}

impl EndpointOwnership<ReleasedState> {
    /// Waits for the endpoint again.
    pub fn wait(self, blockers: Vec<member::MemberInstance>) -> EndpointOwnership<WaitingState> {
        let state = WaitingState::new(blockers, self.state.retry);
        EndpointOwnership { highest: self.highest, state }
    }
}

impl<State> EndpointOwnership<State> {
    /// Returns the highest fencing number this node has used.
    pub fn highest(&self) -> ids::FenceNumber {
        self.highest
    }
}

impl WaitingState {
    fn new(blockers: Vec<member::MemberInstance>, not_before: Option<time::Instant>) -> Self {
        let blockers = blockers.into_iter().map(|node| (node, OwnerAbsence::default()));
        Self {
            blockers: blockers.collect(),
            confirmed: IndexSet::new(),
            not_before,
            floor: None,
            asked: None,
        }
    }
}

impl OwnerAbsence {
    /// Whether the instance can own nothing any more.
    fn is_over(
        &mut self,
        instance: &member::MemberInstance,
        members: &membership::MemberTable,
        lapse: time::Duration,
        now: time::Instant,
    ) -> bool {
        let entry = members.entry(&instance.node);
        let entry = entry.filter(|entry| entry.record().start == instance.start);
        match entry.map(|entry| entry.record().phase) {
            Some(types::MemberPhase::Failed) => return true,
            Some(types::MemberPhase::Alive | types::MemberPhase::Suspect) => {
                self.since = None;
                return false;
            }
            Some(types::MemberPhase::Left) | None => {}
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_duration_since(since) >= lapse
    }
}

/// Ownership of one endpoint in whichever state it is.
#[derive(Debug)]
pub enum OwnershipStatus {
    /// Other nodes may still own the endpoint.
    Waiting(EndpointOwnership<WaitingState>),
    /// This node owns the endpoint.
    Owned(EndpointOwnership<OwnedState>),
    /// This node gave the endpoint up or lost it.
    Released(EndpointOwnership<ReleasedState>),
}

impl OwnershipStatus {
    /// Returns the phase shown to operators.
    pub fn phase(&self) -> types::OwnershipPhase {
        match self {
            Self::Waiting(_) => types::OwnershipPhase::Waiting,
            Self::Owned(_) => types::OwnershipPhase::Owned,
            Self::Released(_) => types::OwnershipPhase::Released,
        }
    }

    /// Returns the highest fencing number this node has used.
    pub fn highest(&self) -> ids::FenceNumber {
        match self {
            Self::Waiting(waiting) => waiting.highest(),
            Self::Owned(owned) => owned.highest(),
            Self::Released(released) => released.highest(),
        }
    }

    /// Gives the endpoint up, or the wait for it with all confirmations: they hold only as long as
    /// the nodes that gave them take this one for alive.
    pub fn release(self) -> Self {
        match self {
            Self::Owned(owned) => Self::Released(owned.release()),
            Self::Waiting(waiting) => Self::Released(waiting.release()),
            Self::Released(released) => Self::Released(released),
        }
    }
}
