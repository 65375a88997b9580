//! Life cycle of an endpoint's ownership at one node: waiting, owned, released.
//!
//! A node may send calls to an endpoint only in the owned state, which is reached only through a
//! wait that ends with a fencing token. Each transition consumes the previous state, so a released
//! ownership cannot be used again without another wait.

use crate::{member, membership};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// State of an ownership that other nodes may still have.
#[derive(Debug)]
pub struct WaitingState {
    possible_owners: IndexMap<member::MemberInstance, OwnerAbsence>,
    confirmed: IndexSet<member::MemberInstance>,
    not_before: Option<time::Instant>,
    seen_fence: Option<ids::FencingToken>,
    last_request: Option<Box<SentRequest>>,
}

/// The last request sent for an endpoint: to its possible owners or to the endpoint itself.
#[derive(Debug)]
struct SentRequest {
    at: time::Instant,
    to: IndexSet<member::MemberInstance>,
}

/// State of an ownership that this node has.
#[derive(Debug)]
pub struct OwnedState {
    fence: ids::FencingToken,
}

/// State of an ownership that this node gave up or lost.
#[derive(Debug)]
pub struct ReleasedState {
    retry: Option<time::Instant>,
}

/// Absence of a possible owner that left or is not in the member table, without having been
/// declared failed by this node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerAbsence {
    since: Option<time::Instant>,
}

/// Ownership of one endpoint in the state `State`.
#[derive(Debug)]
pub struct EndpointOwnership<State> {
    highest: ids::FencingToken,
    state: State,
}

impl EndpointOwnership<WaitingState> {
    /// Starts to wait for the nodes that may own the endpoint.
    pub fn new(possible_owners: Vec<member::MemberInstance>) -> Self {
        EndpointOwnership { highest: 0, state: WaitingState::new(possible_owners, None) }
    }

    /// Returns the nodes that may still own the endpoint.
    pub fn possible_owners(&self) -> impl Iterator<Item = &member::MemberInstance> {
        self.state.possible_owners.keys()
    }

    /// Whether no other node can own the endpoint.
    pub fn is_clear(&self, now: time::Instant) -> bool {
        self.state.possible_owners.is_empty()
            && self.state.not_before.is_none_or(|earliest| now >= earliest)
    }

    /// Whether the highest fencing token that the endpoint has seen is known.
    pub fn knows_fence(&self) -> bool {
        self.state.seen_fence.is_some()
    }

    /// Records that a node confirmed that it does not own the endpoint and will not acquire it
    /// without first requesting a release from this node.
    pub fn confirm_release(&mut self, instance: &member::MemberInstance) {
        self.state.possible_owners.swap_remove(instance);
        self.state.confirmed.insert(instance.clone());
    }

    /// Waits for one more node, unless it has already confirmed.
    pub fn add_possible_owner(&mut self, instance: member::MemberInstance) {
        if self.state.confirmed.contains(&instance)
            || self.state.possible_owners.contains_key(&instance)
        {
            return;
        }
        self.state.possible_owners.insert(instance, OwnerAbsence::default());
    }

    /// Whether to send now the request that the wait depends on: to the possible owners or, once
    /// there are none, to the endpoint. It is repeated only after `retry_interval` or when the
    /// recipients change, so that replies to other requests do not multiply it.
    pub fn should_request(&mut self, retry_interval: time::Duration, now: time::Instant) -> bool {
        let possible_owners = &self.state.possible_owners;
        let recent = self.state.last_request.as_ref().is_some_and(|request| {
            let known = possible_owners.keys().all(|owner| request.to.contains(owner));
            let same_kind = possible_owners.is_empty() == request.to.is_empty();
            now < request.at + retry_interval && known && same_kind
        });
        if !recent {
            let to = possible_owners.keys().cloned().collect();
            self.state.last_request = Some(Box::new(SentRequest { at: now, to }));
        }
        !recent
    }

    /// Merges a fencing token used by another node; the endpoint may have seen a higher one.
    pub fn record_owner_fence(&mut self, fence: ids::FencingToken) {
        self.highest = self.highest.max(fence);
    }

    /// Merges the highest fencing token that the endpoint has seen.
    pub fn record_endpoint_fence(&mut self, fence: ids::FencingToken) {
        let seen = self.state.seen_fence.unwrap_or(0).max(fence);
        self.state.seen_fence = Some(seen);
    }

    /// Removes the possible owners that can own no endpoint any more according to `members`.
    pub fn advance(
        &mut self,
        members: &membership::MemberTable,
        timeout: time::Duration,
        now: time::Instant,
    ) {
        self.state
            .possible_owners
            .retain(|instance, absence| !absence.has_expired(instance, members, timeout, now));
    }

    /// Acquires the endpoint with a fencing token above all known ones. The low bits are `tag`,
    /// which identifies the node. The high bits are at least `min_count`, which grows with time, so
    /// that the token also exceeds that of a previous owner whose calls never reached the endpoint.
    pub fn acquire(self, tag: u16, min_count: u64) -> EndpointOwnership<OwnedState> {
        let known = self.highest.max(self.state.seen_fence.unwrap_or(0));
        let count = ((known >> u16::BITS) + 1).max(min_count);
        let fence = (count << u16::BITS) | u64::from(tag);
        EndpointOwnership { highest: fence, state: OwnedState { fence } }
    }

    /// Stops waiting.
    pub fn release(self) -> EndpointOwnership<ReleasedState> {
        let highest = self.highest.max(self.state.seen_fence.unwrap_or(0));
        EndpointOwnership { highest, state: ReleasedState { retry: None } }
    }
}

impl EndpointOwnership<OwnedState> {
    /// Returns the fencing token of this ownership.
    pub fn fence(&self) -> ids::FencingToken {
        self.state.fence
    }

    /// Releases the endpoint.
    pub fn release(self) -> EndpointOwnership<ReleasedState> {
        EndpointOwnership { highest: self.highest, state: ReleasedState { retry: None } }
    }

    /// Releases the endpoint after it saw a higher fencing token; another wait for it cannot end
    /// before `retry`.
    pub fn lose(self, retry: time::Instant) -> EndpointOwnership<ReleasedState> {
        EndpointOwnership { highest: self.highest, state: ReleasedState { retry: Some(retry) } }
    }
}

impl EndpointOwnership<ReleasedState> {
    /// Waits for the endpoint again.
    pub fn wait(
        self,
        possible_owners: Vec<member::MemberInstance>,
    ) -> EndpointOwnership<WaitingState> {
        let state = WaitingState::new(possible_owners, self.state.retry);
        EndpointOwnership { highest: self.highest, state }
    }
}

impl<State> EndpointOwnership<State> {
    /// Returns the highest fencing token this node has used.
    pub fn highest(&self) -> ids::FencingToken {
        self.highest
    }
}

impl WaitingState {
    fn new(
        possible_owners: Vec<member::MemberInstance>,
        not_before: Option<time::Instant>,
    ) -> Self {
        let possible_owners =
            possible_owners.into_iter().map(|node| (node, OwnerAbsence::default()));
        Self {
            possible_owners: possible_owners.collect(),
            confirmed: IndexSet::new(),
            not_before,
            seen_fence: None,
            last_request: None,
        }
    }
}

impl OwnerAbsence {
    /// Whether the instance can own no endpoint any more.
    fn has_expired(
        &mut self,
        instance: &member::MemberInstance,
        members: &membership::MemberTable,
        timeout: time::Duration,
        now: time::Instant,
    ) -> bool {
        let entry = members.entry(&instance.node);
        let entry = entry.filter(|entry| entry.record().start_id == instance.start_id);
        match entry.map(|entry| entry.record().phase) {
            Some(types::MemberPhase::Failed) => return true,
            Some(types::MemberPhase::Alive | types::MemberPhase::Suspect) => {
                self.since = None;
                return false;
            }
            Some(types::MemberPhase::Left) | None => {}
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_duration_since(since) >= timeout
    }
}

/// Ownership of one endpoint in any state.
#[derive(Debug)]
pub enum OwnershipStatus {
    /// Other nodes may still own the endpoint.
    Waiting(EndpointOwnership<WaitingState>),
    /// This node owns the endpoint.
    Owned(EndpointOwnership<OwnedState>),
    /// This node released the endpoint or lost it.
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

    /// Returns the highest fencing token this node has used.
    pub fn highest(&self) -> ids::FencingToken {
        match self {
            Self::Waiting(waiting) => waiting.highest(),
            Self::Owned(owned) => owned.highest(),
            Self::Released(released) => released.highest(),
        }
    }

    /// Releases the endpoint, or stops waiting for it and discards the confirmations. These are
    /// valid only while the nodes that sent them consider this node alive.
    pub fn release(self) -> Self {
        match self {
            Self::Owned(owned) => Self::Released(owned.release()),
            Self::Waiting(waiting) => Self::Released(waiting.release()),
            Self::Released(released) => Self::Released(released),
        }
    }
}
