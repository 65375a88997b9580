//! Selection of the owner that a call is sent to.
//!
//! Each owner queues the calls for its own endpoints, so the ingress node only balances load over
//! the owners. It estimates the load of an owner from the hint in the last reply and from the calls
//! it has outstanding there.
//!
//! Links to other regions are slow and charged by volume. A remote owner is selected only if the
//! link budget allows the call, and the best owner in the same region is saturated and more loaded
//! than the remote one, or there is none.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::seq::IndexedRandom as _;
use std::time;

/// Load at which an owner counts as saturated: running and queued calls relative to its limit, in
/// percent.
pub const SATURATION_LOAD_PERCENT: u32 = 150;
/// Load below which an owner with the call's prefix in its cache is preferred, in percent.
pub const MAX_AFFINITY_LOAD_PERCENT: u32 = 125;
const SAMPLED_CANDIDATES: usize = 4;
const REFUSAL_TTL: time::Duration = time::Duration::from_millis(500);
const REFUSED_LOAD_PERCENT: u32 = 10_000;
const HINT_TTL: time::Duration = time::Duration::from_secs(5);

/// Network distance of an owner from the ingress node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteDistance {
    /// The ingress node itself.
    Local,
    /// A node in the same availability zone.
    Zone,
    /// A node in another zone of the same region.
    Region,
    /// A node in another region.
    Remote,
}

/// An owner that a call can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Node that owns endpoints of the pool.
    pub node: ids::NodeId,
    /// Distance from the ingress node.
    pub distance: RouteDistance,
    /// Number of endpoints of the pool in service at the owner.
    pub endpoints: u32,
    /// Whether the owner has the endpoint whose cache serves the call's prompt prefix.
    pub has_prefix_affinity: bool,
}

/// Load of one pool at one owner, as known to the ingress node.
#[derive(Clone, Debug)]
struct LoadEntry {
    hint: Option<types::PoolHint>,
    received_at: time::Instant,
    outstanding: u32,
    refused_at: Option<time::Instant>,
}

/// Load of each pool at each owner, as known to the ingress node.
#[derive(Debug, Default)]
pub struct HintTable {
    nodes: IndexMap<ids::NodeId, IndexMap<ids::PoolId, LoadEntry>>,
}

impl HintTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the load of `candidate` for `pool`, in percent of its limit.
    pub fn load_percent(
        &self,
        candidate: &OwnerCandidate,
        pool: &ids::PoolId,
        now: time::Instant,
    ) -> u32 {
        let entry = self.nodes.get(&candidate.node).and_then(|pools| pools.get(pool));
        let Some(entry) = entry else { return 0 };
        let is_recent = |refused| now.saturating_duration_since(refused) < REFUSAL_TTL;
        if entry.refused_at.is_some_and(is_recent) {
            return REFUSED_LOAD_PERCENT;
        }
        let fresh = now.saturating_duration_since(entry.received_at) < HINT_TTL;
        let hint = entry.hint.as_ref().filter(|_| fresh);
        let limit = hint.map_or(candidate.endpoints, |hint| hint.limit).max(1);
        let reported = hint.map_or(0, |hint| hint.running.saturating_add(hint.queued));
        reported.max(entry.outstanding).saturating_mul(100) / limit
    }

    /// Returns the shortest wait that owners of `pool` report for a new call of this priority; zero
    /// if there is no recent hint.
    pub fn min_wait(
        &self,
        pool: &ids::PoolId,
        priority: types::PriorityLevel,
        now: time::Instant,
    ) -> time::Duration {
        let entries = self.nodes.values().filter_map(|pools| pools.get(pool));
        let fresh = entries.filter(|entry| {
            now.saturating_duration_since(entry.received_at) < HINT_TTL && entry.hint.is_some()
        });
        let wait = |hint: &types::PoolHint| match priority {
            types::PriorityLevel::High => hint.high_priority_wait,
            types::PriorityLevel::Low | types::PriorityLevel::Normal => hint.wait,
        };
        let waits = fresh.filter_map(|entry| entry.hint.as_ref()).map(wait);
        waits.min().unwrap_or_default()
    }

    /// Records that a call is about to be sent to an owner.
    pub fn record_start(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        self.entry(node, pool, now).outstanding += 1;
    }

    /// Records that a call to an owner has ended.
    pub fn record_end(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        let entry = self.entry(node, pool, now);
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// Records the load that an owner reports.
    pub fn record_hint(&mut self, node: &ids::NodeId, hint: types::PoolHint, now: time::Instant) {
        let entry = self.entry(node, &hint.pool, now);
        entry.received_at = now;
        entry.hint = Some(hint);
    }

    /// Records that an owner was unreachable or owns no endpoints of the pool; it is avoided for a
    /// short time.
    pub fn record_refusal(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        self.entry(node, pool, now).refused_at = Some(now);
    }

    /// Removes a node that has left.
    pub fn forget(&mut self, node: &ids::NodeId) {
        self.nodes.swap_remove(node);
    }

    fn entry(
        &mut self,
        node: &ids::NodeId,
        pool: &ids::PoolId,
        now: time::Instant,
    ) -> &mut LoadEntry {
        let pools = self.nodes.entry(node.clone()).or_default();
        let new_entry =
            LoadEntry { hint: None, received_at: now, outstanding: 0, refused_at: None };
        pools.entry(pool.clone()).or_insert(new_entry)
    }
}

/// A call to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'query> {
    /// Pool that the call is for.
    pub pool: &'query ids::PoolId,
    /// Owners that the call can be sent to.
    pub candidates: &'query [OwnerCandidate],
    /// Whether the budget of the link to other regions allows the call.
    pub remote_allowed: bool,
    /// Current time.
    pub now: time::Instant,
}

impl RouteQuery<'_> {
    /// Selects an owner; `None` if no candidate may be used.
    pub fn select_owner<Source>(
        &self,
        hints: &HintTable,
        random: &mut Source,
    ) -> Option<OwnerCandidate>
    where
        Source: rand::Rng,
    {
        let is_same_region =
            |candidate: &&OwnerCandidate| candidate.distance != RouteDistance::Remote;
        let same_region_owners: Vec<_> = self.candidates.iter().filter(is_same_region).collect();
        let best = self.least_loaded(&same_region_owners, hints, random);
        if let Some(best) = best
            && (!self.remote_allowed
                || hints.load_percent(best, self.pool, self.now) < SATURATION_LOAD_PERCENT)
        {
            return Some(best.clone());
        }
        let remote_owners: Vec<_> =
            self.candidates.iter().filter(|entry| !is_same_region(entry)).collect();
        let remote =
            self.least_loaded(&remote_owners, hints, random).filter(|_| self.remote_allowed);
        self.less_loaded(best, remote, hints).cloned()
    }

    fn least_loaded<'candidates, Source>(
        &self,
        candidates: &[&'candidates OwnerCandidate],
        hints: &HintTable,
        random: &mut Source,
    ) -> Option<&'candidates OwnerCandidate>
    where
        Source: rand::Rng,
    {
        let load = |candidate: &OwnerCandidate| hints.load_percent(candidate, self.pool, self.now);
        let affine = candidates.iter().find(|candidate| candidate.has_prefix_affinity);
        if let Some(affine) = affine
            && load(affine) < MAX_AFFINITY_LOAD_PERCENT
        {
            return Some(affine);
        }
        let sample = candidates.choose_multiple(random, SAMPLED_CANDIDATES);
        sample.min_by_key(|candidate| (load(candidate), candidate.distance)).copied()
    }

    fn less_loaded<'candidates>(
        &self,
        same_region: Option<&'candidates OwnerCandidate>,
        remote: Option<&'candidates OwnerCandidate>,
        hints: &HintTable,
    ) -> Option<&'candidates OwnerCandidate> {
        let load = |candidate: &OwnerCandidate| hints.load_percent(candidate, self.pool, self.now);
        match (same_region, remote) {
            (Some(same_region), Some(remote)) if load(remote) < load(same_region) => Some(remote),
            (Some(same_region), _) => Some(same_region),
            (None, remote) => remote,
        }
    }
}
