//! Ownership of endpoints at one node: which endpoints this node may send calls to.
//!
//! The owner of an endpoint is the first of its candidates by [`rendezvous`] hashing. Nodes may
//! see different members for a while, so a node that ranks first waits until every node that may
//! own the endpoint has confirmed that it does not, or has failed. An owner in turn stops by itself
//! when no peer has answered it for the lease time of [`connectivity`], which is shorter than the
//! failure timeout, or when its process stalled for that long.

use crate::{
    catalog, connectivity, member, membership, ownership_action, ownership_status, rendezvous,
};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;
use xxhash_rust::xxh3;

/// Candidates kept for each endpoint: the owner, and the nodes that must release it first.
const RANKED_CANDIDATES: usize = 3;

/// Calls of a previous owner that still run at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedLoad {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Calls in flight, which count against the limit of the endpoint.
    pub running: u32,
    /// Phase of the endpoint at its previous owner.
    pub phase: types::EndpointPhase,
    /// Time after which they no longer count.
    pub expires_at: time::Instant,
}

/// Ownerships of endpoints as one node sees them.
#[derive(Debug)]
pub struct OwnershipTable {
    pub(crate) instance: member::MemberInstance,
    timeouts: connectivity::OwnershipTimeouts,
    started: time::Instant,
    started_millis: u64,
    seed_status: connectivity::SeedStatus,
    connectivity: connectivity::PeerConnectivity,
    reconciled: Option<time::Instant>,
    ended_isolation: Option<time::Instant>,
    isolation_handled: bool,
    view: Option<(u64, ids::RevisionNumber)>,
    pub(crate) ranks: IndexMap<ids::EndpointId, Vec<ids::NodeId>>,
    pub(crate) ownerships: IndexMap<ids::EndpointId, ownership_status::OwnershipStatus>,
    pub(crate) requesters: IndexMap<ids::EndpointId, member::MemberInstance>,
    inherited: IndexMap<ids::EndpointId, InheritedLoad>,
    acquired_all: bool,
}

impl OwnershipTable {
    /// Creates the table of a node that starts and owns no endpoint.
    pub fn new(
        instance: member::MemberInstance,
        timeouts: connectivity::OwnershipTimeouts,
        started: time::Instant,
    ) -> Self {
        Self {
            instance,
            timeouts,
            started,
            started_millis: 0,
            seed_status: connectivity::SeedStatus::Silent,
            connectivity: connectivity::PeerConnectivity::Alone,
            reconciled: None,
            ended_isolation: None,
            isolation_handled: false,
            view: None,
            ranks: IndexMap::new(),
            ownerships: IndexMap::new(),
            requesters: IndexMap::new(),
            inherited: IndexMap::new(),
            acquired_all: false,
        }
    }

    /// Sets that the node has no seeds, so that it need not wait for any at its start.
    pub fn with_no_seeds(self) -> Self {
        Self { seed_status: connectivity::SeedStatus::Answered, ..self }
    }

    /// Sets the wall-clock time of the start in milliseconds, from which fencing tokens count.
    pub fn with_start_time(self, started_millis: u64) -> Self {
        Self { started_millis, ..self }
    }

    /// Returns the owner of an endpoint in this node's view.
    pub fn owner_of(&self, endpoint: &ids::EndpointId) -> Option<ids::NodeId> {
        self.ranks.get(endpoint)?.first().cloned()
    }

    /// Returns the fencing token to send with a call, if this node may send one at `now`.
    pub fn fencing_token(
        &self,
        endpoint: &ids::EndpointId,
        now: time::Instant,
    ) -> Option<ids::FencingToken> {
        match self.ownerships.get(endpoint)? {
            ownership_status::OwnershipStatus::Owned(own) if self.leased(now) => Some(own.fence()),
            _ => None,
        }
    }

    /// Returns the endpoints that this node may send calls to at `now`.
    pub fn owned(&self, now: time::Instant) -> Vec<ids::EndpointId> {
        let names = self.ownerships.keys();
        names.filter(|endpoint| self.fencing_token(endpoint, now).is_some()).cloned().collect()
    }

    /// Whether this node has at some time acquired every endpoint assigned to it, so that callers
    /// need not wait for its ownerships.
    pub fn has_acquired_all(&self) -> bool {
        self.acquired_all
    }

    /// Returns the calls of a previous owner that count against an endpoint's limit at `now`.
    pub fn inherited(
        &self,
        endpoint: &ids::EndpointId,
        now: time::Instant,
    ) -> Option<&InheritedLoad> {
        self.inherited.get(endpoint).filter(|load| now < load.expires_at)
    }

    /// Returns the calls of previous owners that count against limits at `now`.
    pub fn inherited_loads(&self, now: time::Instant) -> Vec<InheritedLoad> {
        self.inherited.values().filter(|load| now < load.expires_at).cloned().collect()
    }

    /// Returns all ownerships known to this node.
    pub fn ownerships(
        &self,
    ) -> impl Iterator<Item = (&ids::EndpointId, &ownership_status::OwnershipStatus)> {
        self.ownerships.iter()
    }

    /// Returns the connectivity of this node to its peers.
    pub fn connectivity(&self) -> connectivity::PeerConnectivity {
        self.connectivity
    }

    /// Whether the process has stalled since the last call of [`OwnershipTable::reconcile`], so
    /// that its view is outdated.
    pub fn has_stalled(&self, now: time::Instant) -> bool {
        let stalled = |reconciled| now.saturating_duration_since(reconciled) >= self.timeouts.lease;
        self.reconciled.is_some_and(stalled)
    }

    /// Renews the lease after a peer that considers this node alive answered a message sent at
    /// `sent`.
    pub fn renew_lease(&mut self, sent: time::Instant, now: time::Instant) {
        if now.saturating_duration_since(sent) >= self.timeouts.lease {
            return;
        }
        if let connectivity::PeerConnectivity::Isolated(since) = self.connectivity {
            self.ended_isolation.get_or_insert(since);
        }
        self.connectivity = self.connectivity.renew(sent);
    }

    /// Sets how the seeds have replied. Once each seed knows this node, at least one of two nodes
    /// that started together knows the other.
    pub fn set_seed_status(&mut self, seed_status: connectivity::SeedStatus) {
        self.seed_status = seed_status;
    }

    /// Whether the time after the start has passed in which the node may own no endpoint.
    pub fn is_startup_over(&self, now: time::Instant) -> bool {
        now >= self.started + self.seed_status.startup_wait(self.connectivity, self.timeouts)
    }

    /// Records an answer from a peer that considers this node suspect or failed.
    pub fn record_suspicion(&mut self, now: time::Instant) {
        self.connectivity = self.connectivity.suspected(now);
    }

    /// Brings the ownerships in line with the members and the configuration, and returns the
    /// actions to carry out.
    pub fn reconcile(
        &mut self,
        members: &mut membership::MemberTable,
        catalog: &catalog::ConfigurationCatalog,
        now: time::Instant,
    ) -> Vec<ownership_action::OwnershipAction> {
        self.update_connectivity(members, now);
        let previous_ranks = self.rank(members, catalog);
        self.inherited.retain(|_, load| now < load.expires_at);
        self.ownerships.retain(|endpoint, _| self.ranks.contains_key(endpoint));
        let mut actions = ownership_action::ActionList::default();
        for endpoint in self.ranks.keys().cloned().collect::<Vec<_>>() {
            let previous = previous_ranks.as_ref().and_then(|ranks| ranks.get(&endpoint)?.first());
            self.advance(&endpoint, previous, members, now, &mut actions);
        }
        let serving = members.local().node_phase == types::NodePhase::Serving;
        self.acquired_all |=
            serving && catalog.revision() > 0 && self.has_all_assigned(members, now);
        actions.into_actions()
    }

    /// Gives up an endpoint that rejected this node's fencing token as stale.
    pub fn lose(&mut self, endpoint: &ids::EndpointId, now: time::Instant) {
        if let Some(ownership_status::OwnershipStatus::Owned(owned)) =
            self.ownerships.swap_remove(endpoint)
        {
            let released = owned.lose(now + self.timeouts.failure);
            self.ownerships
                .insert(endpoint.clone(), ownership_status::OwnershipStatus::Released(released));
        }
    }

    /// Whether the lease is valid and the process has not stalled.
    fn leased(&self, now: time::Instant) -> bool {
        let current =
            self.reconciled.is_some_and(|reconciled| now < reconciled + self.timeouts.lease);
        current && self.connectivity.allows_ownership(self.timeouts, now)
    }

    /// Whether this node owns an endpoint or ranks first for it in its own view.
    pub(crate) fn owns_or_ranks_first(&self, endpoint: &ids::EndpointId) -> bool {
        let first = self.ranks.get(endpoint).and_then(|ranked| ranked.first());
        let owned = matches!(
            self.ownerships.get(endpoint),
            Some(ownership_status::OwnershipStatus::Owned(_))
        );
        owned || first == Some(&self.instance.node)
    }

    /// Whether this node waits for no other node to release the endpoints assigned to it. Endpoints
    /// that do not answer a read of their fencing token don't count: only their own calls wait for
    /// them.
    fn has_all_assigned(&self, members: &membership::MemberTable, now: time::Instant) -> bool {
        let may_acquire = self.may_acquire(members, now);
        let mut own =
            self.ranks.iter().filter(|(_, ranked)| ranked.first() == Some(&self.instance.node));
        own.all(|(endpoint, _)| match self.ownerships.get(endpoint) {
            Some(ownership_status::OwnershipStatus::Owned(_)) => true,
            Some(ownership_status::OwnershipStatus::Waiting(waiting)) => {
                may_acquire && waiting.is_clear(now)
            }
            _ => false,
        })
    }

    pub(crate) fn inherit(
        &mut self,
        endpoint: &ids::EndpointId,
        running: u32,
        phase: types::EndpointPhase,
        now: time::Instant,
    ) {
        let expires_at = now + self.timeouts.failure;
        let load = InheritedLoad { endpoint: endpoint.clone(), running, phase, expires_at };
        self.inherited.insert(endpoint.clone(), load);
    }

    fn update_connectivity(&mut self, members: &mut membership::MemberTable, now: time::Instant) {
        let stalled_since = self.reconciled.filter(|_| self.has_stalled(now));
        self.reconciled = Some(now);
        if let Some(since) = stalled_since {
            members.restart_suspicions(since, now);
            if self.connectivity != connectivity::PeerConnectivity::Alone {
                self.connectivity = connectivity::PeerConnectivity::Isolated(since);
            }
        }
        let reconnected = self.ended_isolation.take();
        if let Some(since) = reconnected {
            members.restart_suspicions(since, now);
        }
        self.connectivity = self.connectivity.advance(members, self.timeouts, now);
        let isolated = matches!(self.connectivity, connectivity::PeerConnectivity::Isolated(_));
        let lost = isolated && !self.isolation_handled;
        self.isolation_handled = isolated;
        if stalled_since.is_some() || reconnected.is_some() || lost {
            let ownerships = std::mem::take(&mut self.ownerships).into_iter();
            self.ownerships =
                ownerships.map(|(endpoint, status)| (endpoint, status.release())).collect();
        }
    }

    /// Ranks the candidates again if the view changed; returns the previous ranks in that case.
    fn rank(
        &mut self,
        members: &membership::MemberTable,
        catalog: &catalog::ConfigurationCatalog,
    ) -> Option<IndexMap<ids::EndpointId, Vec<ids::NodeId>>> {
        let view = Some((members.version(), catalog.revision()));
        if self.view == view {
            return None;
        }
        self.view = view;
        let serving =
            |record: &&types::MemberRecord| record.node_phase == types::NodePhase::Serving;
        let candidates = rendezvous::CandidateSet::new(members.live().filter(serving));
        let ranked = catalog.endpoints().map(|endpoint| {
            let region = catalog.region(&endpoint.zone);
            let count = RANKED_CANDIDATES;
            let ranked = candidates.ranked(&endpoint.name, &endpoint.zone, region, count);
            (endpoint.name.clone(), ranked)
        });
        let ranks = ranked.collect();
        self.requesters.retain(|endpoint, _| catalog.endpoint(endpoint).is_some());
        Some(std::mem::replace(&mut self.ranks, ranks))
    }

    fn advance(
        &mut self,
        endpoint: &ids::EndpointId,
        previous: Option<&ids::NodeId>,
        members: &membership::MemberTable,
        now: time::Instant,
        actions: &mut ownership_action::ActionList,
    ) {
        let ranked = self.ranks.get(endpoint).map(Vec::as_slice).unwrap_or_default();
        let first = ranked.first();
        let assigned = first == Some(&self.instance.node);
        let status = match (self.ownerships.swap_remove(endpoint), assigned) {
            (None, false) => return,
            (None, true) => {
                let possible_owners = self.possible_owners(endpoint, previous, members);
                let waiting = ownership_status::EndpointOwnership::new(possible_owners);
                ownership_status::OwnershipStatus::Waiting(waiting)
            }
            (Some(ownership_status::OwnershipStatus::Released(released)), true) => {
                let possible_owners = self.possible_owners(endpoint, previous, members);
                ownership_status::OwnershipStatus::Waiting(released.wait(possible_owners))
            }
            (Some(ownership_status::OwnershipStatus::Waiting(mut waiting)), true) => {
                let possible_owners = self.possible_owners(endpoint, previous, members);
                possible_owners.into_iter().for_each(|owner| waiting.add_possible_owner(owner));
                ownership_status::OwnershipStatus::Waiting(waiting)
            }
            (Some(ownership_status::OwnershipStatus::Owned(owned)), false) => {
                if let Some(node) = first {
                    actions.notify_release(node, endpoint);
                }
                ownership_status::OwnershipStatus::Released(owned.release())
            }
            (Some(status), _) => status,
        };
        let status = match status {
            ownership_status::OwnershipStatus::Waiting(waiting) => {
                self.advance_waiting(endpoint, waiting, assigned, members, now, actions)
            }
            other => other,
        };
        self.ownerships.insert(endpoint.clone(), status);
    }

    fn advance_waiting(
        &self,
        endpoint: &ids::EndpointId,
        mut waiting: ownership_status::EndpointOwnership<ownership_status::WaitingState>,
        assigned: bool,
        members: &membership::MemberTable,
        now: time::Instant,
        actions: &mut ownership_action::ActionList,
    ) -> ownership_status::OwnershipStatus {
        waiting.advance(members, self.timeouts.failure, now);
        if !waiting.is_clear(now) {
            if waiting.should_request(self.timeouts.retry_interval(), now) {
                waiting
                    .possible_owners()
                    .for_each(|member| actions.request_release(member, endpoint));
            }
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        if !assigned {
            return ownership_status::OwnershipStatus::Released(waiting.release());
        }
        if !self.may_acquire(members, now) {
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        if !waiting.knows_fence() {
            if waiting.should_request(self.timeouts.retry_interval(), now) {
                actions.read_fence(endpoint);
            }
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        ownership_status::OwnershipStatus::Owned(waiting.acquire(self.tag(), self.wall_millis(now)))
    }

    /// Whether this node may acquire endpoints that no other node owns: its startup wait is over,
    /// its lease is valid, and the failure timeout of a previous instance that had not left has
    /// passed.
    fn may_acquire(&self, members: &membership::MemberTable, now: time::Instant) -> bool {
        let expired = |seen| now >= seen + self.timeouts.failure;
        let unopposed = members.predecessor_seen().is_none_or(expired);
        unopposed && self.is_startup_over(now) && self.leased(now)
    }

    /// Returns the instances other than this one that may own an endpoint.
    fn possible_owners(
        &self,
        endpoint: &ids::EndpointId,
        previous: Option<&ids::NodeId>,
        members: &membership::MemberTable,
    ) -> Vec<member::MemberInstance> {
        let ranked = self.ranks.get(endpoint).map(Vec::as_slice).unwrap_or_default();
        let named = ranked.iter().chain(previous).filter_map(|node| members.entry(node));
        let failed = types::MemberPhase::Failed;
        let possible = named.filter(|entry| entry.record().phase != failed);
        let possible = possible.map(|entry| member::MemberInstance::new(entry.record()));
        let requester =
            self.requesters.get(endpoint).filter(|requester| members.is_live(requester));
        let mut possible_owners: Vec<_> = possible.chain(requester.cloned()).collect();
        possible_owners
            .sort_by(|one, other| (&one.node, one.start_id).cmp(&(&other.node, other.start_id)));
        possible_owners.dedup();
        possible_owners
    }

    fn wall_millis(&self, now: time::Instant) -> u64 {
        let since = now.saturating_duration_since(self.started).as_millis();
        self.started_millis.saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }

    fn tag(&self) -> u16 {
        let hash = xxh3::xxh3_64_with_seed(self.instance.node.as_bytes(), self.instance.start_id);
        u16::try_from(hash & u64::from(u16::MAX)).unwrap_or(u16::MAX)
    }
}
