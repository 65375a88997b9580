//! Ownership of endpoints at one node: which this node may send work to.
//!
//! The owner of an endpoint is the first of its candidates by [`rendezvous`]. Views of the members
//! differ for a while, so a node that finds itself first waits until every node that may own the
//! endpoint has confirmed that it does not, or has lapsed. On its side, an owner stops by itself
//! when it has had no answer from a peer for the hold of [`connectivity`], which is shorter than the
//! lapse, or when its process stood still for that long.

use crate::{
    catalog, connectivity, member, membership, ownership_action, ownership_status, rendezvous,
};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;
use xxhash_rust::xxh3;

/// Candidates kept for each endpoint: the owner and those asked before it takes over.
const RANKED_CANDIDATES: usize = 3;

/// Calls of a former owner that still run at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedLoad {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Calls in flight; they count against the limit.
    pub running: u32,
    /// Phase of the endpoint at its former owner.
    pub phase: types::EndpointPhase,
    /// Moment after which they no longer count.
    pub until: time::Instant,
}

/// Ownerships of one node.
#[derive(Debug)]
pub struct OwnershipTable {
    instance: member::MemberInstance,
    timeouts: connectivity::OwnershipTimeouts,
    started: time::Instant,
    started_millis: u64,
    seed_status: connectivity::SeedStatus,
    connectivity: connectivity::PeerConnectivity,
    observed: Option<time::Instant>,
    regained: Option<time::Instant>,
    dropped: bool,
    view: Option<(u64, ids::RevisionNumber)>,
    ranks: IndexMap<ids::EndpointId, Vec<ids::NodeId>>,
    ownerships: IndexMap<ids::EndpointId, ownership_status::OwnershipStatus>,
    askers: IndexMap<ids::EndpointId, member::MemberInstance>,
    inherited: IndexMap<ids::EndpointId, InheritedLoad>,
    acquired_all: bool,
}

impl OwnershipTable {
    /// Creates the table of a node that starts and owns nothing.
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
            observed: None,
            regained: None,
            dropped: false,
            view: None,
            ranks: IndexMap::new(),
            ownerships: IndexMap::new(),
            askers: IndexMap::new(),
            inherited: IndexMap::new(),
            acquired_all: false,
        }
    }

    /// Sets that the node has no seeds, so that there is nobody to wait for at its start.
    pub fn with_no_seeds(self) -> Self {
        Self { seed_status: connectivity::SeedStatus::Answered, ..self }
    }

    /// Sets the wall-clock time of the start in milliseconds, from which fencing numbers count.
    pub fn with_start_time(self, started_millis: u64) -> Self {
        Self { started_millis, ..self }
    }

    /// Returns the node through which calls to an endpoint pass in this node's view.
    pub fn owner_of(&self, endpoint: &ids::EndpointId) -> Option<ids::NodeId> {
        self.ranks.get(endpoint)?.first().cloned()
    }

    /// Returns the fencing number to send with a call, if this node may send one at `now`.
    pub fn permit(
        &self,
        endpoint: &ids::EndpointId,
        now: time::Instant,
    ) -> Option<ids::FenceNumber> {
        match self.ownerships.get(endpoint)? {
            ownership_status::OwnershipStatus::Owned(owned) if self.allows(now) => {
                Some(owned.fence())
            }
            _ => None,
        }
    }

    /// Returns the endpoints this node may send to at `now`.
    pub fn owned(&self, now: time::Instant) -> Vec<ids::EndpointId> {
        let names = self.ownerships.keys();
        names.filter(|endpoint| self.permit(endpoint, now).is_some()).cloned().collect()
    }

    /// Whether this node has once owned every endpoint that falls to it, so that calls can be sent
    /// to it without waiting for ownerships.
    pub fn has_acquired_all(&self) -> bool {
        self.acquired_all
    }

    /// Returns the calls of a former owner that count against an endpoint's limit at `now`.
    pub fn inherited(
        &self,
        endpoint: &ids::EndpointId,
        now: time::Instant,
    ) -> Option<&InheritedLoad> {
        self.inherited.get(endpoint).filter(|load| now < load.until)
    }

    /// Returns the calls of former owners that count against limits at `now`.
    pub fn inherited_loads(&self, now: time::Instant) -> Vec<InheritedLoad> {
        self.inherited.values().filter(|load| now < load.until).cloned().collect()
    }

    /// Returns all ownerships known to this node.
    pub fn ownerships(
        &self,
    ) -> impl Iterator<Item = (&ids::EndpointId, &ownership_status::OwnershipStatus)> {
        self.ownerships.iter()
    }

    /// Returns the contact of this node with its peers.
    pub fn connectivity(&self) -> connectivity::PeerConnectivity {
        self.connectivity
    }

    /// Whether the process stood still since the last observation, so that its view is old.
    pub fn has_stalled(&self, now: time::Instant) -> bool {
        let gap = |observed| now.saturating_duration_since(observed) >= self.timeouts.lease;
        self.observed.is_some_and(gap)
    }

    /// Takes note that a peer which holds this node alive answered a message sent at `sent`.
    pub fn renew_lease(&mut self, sent: time::Instant, now: time::Instant) {
        if now.saturating_duration_since(sent) >= self.timeouts.lease {
            return;
        }
        if let connectivity::PeerConnectivity::Isolated(since) = self.connectivity {
            self.regained.get_or_insert(since);
        }
        self.connectivity = self.connectivity.confirm(sent);
    }

    /// Takes note of what the seeds have answered. Once each knows this node, of two nodes that
    /// started together at least one knows the other.
    pub fn set_seed_status(&mut self, seed_status: connectivity::SeedStatus) {
        self.seed_status = seed_status;
    }

    /// Whether the node may own endpoints as far as its start is concerned.
    pub fn is_startup_over(&self, now: time::Instant) -> bool {
        now >= self.started + self.seed_status.wait(self.connectivity, self.timeouts)
    }

    /// Takes note that a peer answered which holds this node suspect or failed.
    pub fn note_suspected(&mut self, now: time::Instant) {
        self.connectivity = self.connectivity.doubt(now);
    }

    /// Brings the ownerships in line with the members and the configuration, and returns what has
    /// to be done.
    pub fn reconcile(
        &mut self,
        members: &mut membership::MemberTable,
        catalog: &catalog::ConfigurationCatalog,
        now: time::Instant,
    ) -> Vec<ownership_action::OwnershipAction> {
        self.observe_contact(members, now);
        let former = self.rank(members, catalog);
        self.inherited.retain(|_, load| now < load.until);
        self.ownerships.retain(|endpoint, _| self.ranks.contains_key(endpoint));
        let mut actions = ownership_action::ActionList::default();
        for endpoint in self.ranks.keys().cloned().collect::<Vec<_>>() {
            let previous = former.as_ref().and_then(|ranks| ranks.get(&endpoint)?.first());
            self.step(&endpoint, previous, members, now, &mut actions);
        }
        let serving = members.local().node_phase == types::NodePhase::Serving;
        self.acquired_all |= serving && catalog.revision() > 0 && self.has_its_own(members, now);
        actions.into_actions()
    }

    /// Answers a node that waits for endpoints: those that this node does not own and will not
    /// own before it has asked. The records carry no load.
    pub fn answer_requests(
        &mut self,
        members: &membership::MemberTable,
        asker: &member::MemberInstance,
        endpoints: &[ids::EndpointId],
    ) -> Vec<types::ReleaseRecord> {
        let mut releases = Vec::new();
        for endpoint in endpoints {
            if self.is_claimed(endpoint) {
                continue;
            }
            releases.push(self.release_record(members, endpoint, asker));
            self.askers.insert(endpoint.clone(), asker.clone());
        }
        releases
    }

    /// Returns what to tell `asker` of an endpoint that this node does not own, without load. It
    /// names the others that may own it: those this node waits for, the one that asked before, and
    /// the first in this node's view.
    pub fn release_record(
        &self,
        members: &membership::MemberTable,
        endpoint: &ids::EndpointId,
        asker: &member::MemberInstance,
    ) -> types::ReleaseRecord {
        let status = self.ownerships.get(endpoint);
        let first = self.ranks.get(endpoint).and_then(|ranked| ranked.first());
        let first = first.and_then(|node| members.live_instance(node));
        let earlier = self.askers.get(endpoint).filter(|earlier| members.is_live(earlier));
        let mut others: Vec<_> = first.into_iter().chain(earlier.cloned()).collect();
        if let Some(ownership_status::OwnershipStatus::Waiting(waiting)) = status {
            others.extend(waiting.blockers().cloned());
        }
        others.retain(|other| other != asker && *other != self.instance);
        others.dedup();
        types::ReleaseRecord {
            blockers: others.iter().map(member::MemberInstance::name).collect(),
            endpoint: endpoint.clone(),
            fence: status.map_or(0, ownership_status::OwnershipStatus::highest),
            phase: types::EndpointPhase::Unknown,
            running: 0,
        }
    }

    /// Takes in what another node says of endpoints that it does not own.
    pub fn accept_releases(
        &mut self,
        from: &member::MemberInstance,
        releases: &[types::ReleaseRecord],
        now: time::Instant,
    ) {
        for release in releases {
            if let Some(ownership_status::OwnershipStatus::Waiting(waiting)) =
                self.ownerships.get_mut(&release.endpoint)
            {
                waiting.confirm(from);
                let blockers = release.blockers.iter().map(member::MemberInstance::from_name);
                blockers
                    .filter(|blocker| *blocker != self.instance)
                    .for_each(|blocker| waiting.block(blocker));
                waiting.raise(release.fence);
            }
            if release.running > 0 || release.phase != types::EndpointPhase::Unknown {
                self.inherit(&release.endpoint, release.running, release.phase, now);
            }
        }
    }

    /// Takes in the fencing number and the running calls that an endpoint reports.
    pub fn learn_fence(
        &mut self,
        endpoint: &ids::EndpointId,
        fence: ids::FenceNumber,
        running: u32,
        now: time::Instant,
    ) {
        let Some(ownership_status::OwnershipStatus::Waiting(waiting)) =
            self.ownerships.get_mut(endpoint)
        else {
            return;
        };
        waiting.learn(fence);
        if running > 0 {
            self.inherit(endpoint, running, types::EndpointPhase::Unknown, now);
        }
    }

    /// Takes note that an endpoint refused this node's fencing number as old.
    pub fn lose(&mut self, endpoint: &ids::EndpointId, now: time::Instant) {
        if let Some(ownership_status::OwnershipStatus::Owned(owned)) =
            self.ownerships.swap_remove(endpoint)
        {
            let released = owned.lose(now + self.timeouts.failure);
            self.ownerships
                .insert(endpoint.clone(), ownership_status::OwnershipStatus::Released(released));
        }
    }

    fn allows(&self, now: time::Instant) -> bool {
        let observed = self.observed.is_some_and(|observed| now < observed + self.timeouts.lease);
        observed && self.connectivity.permits(self.timeouts, now)
    }

    /// Whether this node owns an endpoint or is first in its own view.
    fn is_claimed(&self, endpoint: &ids::EndpointId) -> bool {
        let first = self.ranks.get(endpoint).and_then(|ranked| ranked.first());
        let owned = matches!(
            self.ownerships.get(endpoint),
            Some(ownership_status::OwnershipStatus::Owned(_))
        );
        owned || first == Some(&self.instance.node)
    }

    /// Whether no other node stands between this node and the endpoints that fall to it. One that
    /// does not answer is waited for by its calls, not by the node.
    fn has_its_own(&self, members: &membership::MemberTable, now: time::Instant) -> bool {
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

    fn inherit(
        &mut self,
        endpoint: &ids::EndpointId,
        running: u32,
        phase: types::EndpointPhase,
        now: time::Instant,
    ) {
        let until = now + self.timeouts.failure;
        let load = InheritedLoad { endpoint: endpoint.clone(), running, phase, until };
        self.inherited.insert(endpoint.clone(), load);
    }

    fn observe_contact(&mut self, members: &mut membership::MemberTable, now: time::Instant) {
        let frozen_since = self.observed.filter(|_| self.has_stalled(now));
        self.observed = Some(now);
        if let Some(since) = frozen_since {
            members.restart_suspicions(since, now);
            if self.connectivity != connectivity::PeerConnectivity::Alone {
                self.connectivity = connectivity::PeerConnectivity::Isolated(since);
            }
        }
        let regained = self.regained.take();
        if let Some(since) = regained {
            members.restart_suspicions(since, now);
        }
        self.connectivity = self.connectivity.advance(members, self.timeouts, now);
        let isolated = matches!(self.connectivity, connectivity::PeerConnectivity::Isolated(_));
        let lost = isolated && !self.dropped;
        self.dropped = isolated;
        if frozen_since.is_some() || regained.is_some() || lost {
            let ownerships = std::mem::take(&mut self.ownerships).into_iter();
            self.ownerships =
                ownerships.map(|(endpoint, status)| (endpoint, status.release())).collect();
        }
    }

    /// Ranks the candidates anew if the view changed; returns the ranks before it.
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
        self.askers.retain(|endpoint, _| catalog.endpoint(endpoint).is_some());
        Some(std::mem::replace(&mut self.ranks, ranks))
    }

    fn step(
        &mut self,
        endpoint: &ids::EndpointId,
        previous: Option<&ids::NodeId>,
        members: &membership::MemberTable,
        now: time::Instant,
        actions: &mut ownership_action::ActionList,
    ) {
        let ranked = self.ranks.get(endpoint).map(Vec::as_slice).unwrap_or_default();
        let first = ranked.first();
        let mine = first == Some(&self.instance.node);
        let status = match (self.ownerships.swap_remove(endpoint), mine) {
            (None, false) => return,
            (None, true) => {
                let blockers = self.blockers(endpoint, previous, members);
                let waiting = ownership_status::EndpointOwnership::new(blockers);
                ownership_status::OwnershipStatus::Waiting(waiting)
            }
            (Some(ownership_status::OwnershipStatus::Released(released)), true) => {
                let blockers = self.blockers(endpoint, previous, members);
                ownership_status::OwnershipStatus::Waiting(released.wait(blockers))
            }
            (Some(ownership_status::OwnershipStatus::Waiting(mut waiting)), true) => {
                let blockers = self.blockers(endpoint, previous, members);
                blockers.into_iter().for_each(|blocker| waiting.block(blocker));
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
                self.step_waiting(endpoint, waiting, mine, members, now, actions)
            }
            other => other,
        };
        self.ownerships.insert(endpoint.clone(), status);
    }

    fn step_waiting(
        &self,
        endpoint: &ids::EndpointId,
        mut waiting: ownership_status::EndpointOwnership<ownership_status::WaitingState>,
        mine: bool,
        members: &membership::MemberTable,
        now: time::Instant,
        actions: &mut ownership_action::ActionList,
    ) -> ownership_status::OwnershipStatus {
        waiting.advance(members, self.timeouts.failure, now);
        if !waiting.is_clear(now) {
            if waiting.should_ask(self.timeouts.retry_interval(), now) {
                waiting.blockers().for_each(|member| actions.request_release(member, endpoint));
            }
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        if !mine {
            return ownership_status::OwnershipStatus::Released(waiting.release());
        }
        if !self.may_acquire(members, now) {
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        if !waiting.has_floor() {
            if waiting.should_ask(self.timeouts.retry_interval(), now) {
                actions.read_fence(endpoint);
            }
            return ownership_status::OwnershipStatus::Waiting(waiting);
        }
        ownership_status::OwnershipStatus::Owned(waiting.own(self.tag(), self.wall_millis(now)))
    }

    /// Whether this node may own endpoints that no other node owns: its start is settled, and an
    /// earlier instance of it that had not left has lapsed.
    fn may_acquire(&self, members: &membership::MemberTable, now: time::Instant) -> bool {
        let lapsed = |learnt| now >= learnt + self.timeouts.failure;
        let alone = members.predecessor_seen().is_none_or(lapsed);
        alone && self.is_startup_over(now) && self.allows(now)
    }

    /// Returns the instances that may own an endpoint besides this node.
    fn blockers(
        &self,
        endpoint: &ids::EndpointId,
        previous: Option<&ids::NodeId>,
        members: &membership::MemberTable,
    ) -> Vec<member::MemberInstance> {
        let ranked = self.ranks.get(endpoint).map(Vec::as_slice).unwrap_or_default();
        let named = ranked.iter().chain(previous).filter_map(|node| members.entry(node));
        let failed = types::MemberPhase::Failed;
        let held = named.filter(|entry| entry.record().phase != failed);
        let held = held.map(|entry| member::MemberInstance::new(entry.record()));
        let asker = self.askers.get(endpoint).filter(|asker| members.is_live(asker));
        let mut blockers: Vec<_> = held.chain(asker.cloned()).collect();
        blockers.sort_by(|one, other| (&one.node, one.start).cmp(&(&other.node, other.start)));
        blockers.dedup();
        blockers
    }

    fn wall_millis(&self, now: time::Instant) -> u64 {
        let since = now.saturating_duration_since(self.started).as_millis();
        self.started_millis.saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }

    fn tag(&self) -> u16 {
        let hash = xxh3::xxh3_64_with_seed(self.instance.node.as_bytes(), self.instance.start);
        u16::try_from(hash & u64::from(u16::MAX)).unwrap_or(u16::MAX)
    }
}
