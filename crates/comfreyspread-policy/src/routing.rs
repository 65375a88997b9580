//! Choice of the owner that a call is sent to.
//!
//! Each owner queues the calls of its endpoints, so the ingress node only has to spread calls over
//! owners by their load. What it knows of another owner is a hint that came with the last reply,
//! corrected by the calls it has itself in flight there.
//!
//! Another region is behind a slow link that is paid by volume. It is only used when every owner
//! at home is saturated and the link's budget allows it.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::seq::IndexedRandom as _;
use std::time;

/// Load at which an owner counts as saturated: calls in flight and queued over its limit, in
/// percent.
pub const SATURATED_PERCENT: u32 = 150;
/// Load up to which an owner that holds a prefix in its cache is preferred, in percent.
pub const AFFINITY_PERCENT: u32 = 125;
const SAMPLED_CANDIDATES: usize = 4;
const REFUSAL_LIFE: time::Duration = time::Duration::from_millis(500);
const REFUSED_PERCENT: u32 = 10_000;
const HINT_LIFE: time::Duration = time::Duration::from_secs(5);

/// How far an owner is from the ingress node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteDistance {
    /// The ingress node itself.
    Local,
    /// A node of the same availability zone.
    Zone,
    /// A node of another zone of the same region.
    Region,
    /// A node of another region.
    Remote,
}

/// An owner that could take a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerCandidate {
    /// Node that owns endpoints of the pool.
    pub node: ids::NodeId,
    /// Distance from the ingress node.
    pub distance: RouteDistance,
    /// Endpoints of the pool in service at that owner.
    pub endpoints: u32,
    /// Whether the owner has the endpoint that the call's prefix belongs to.
    pub affine: bool,
}

/// Load of one pool at one owner as the ingress node knows it.
#[derive(Clone, Debug)]
struct LoadEntry {
    hint: Option<types::PoolHint>,
    heard: time::Instant,
    outstanding: u32,
    refused: Option<time::Instant>,
}

/// What the ingress node knows of the load at owners.
#[derive(Debug, Default)]
pub struct HintTable {
    nodes: IndexMap<ids::NodeId, IndexMap<ids::PoolId, LoadEntry>>,
}

impl HintTable {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the load of `candidate` for `pool` in percent of its limit.
    pub fn load(&self, candidate: &OwnerCandidate, pool: &ids::PoolId, now: time::Instant) -> u32 {
        let entry = self.nodes.get(&candidate.node).and_then(|pools| pools.get(pool));
        let Some(entry) = entry else { return 0 };
        let shunned = |refused| now.saturating_duration_since(refused) < REFUSAL_LIFE;
        if entry.refused.is_some_and(shunned) {
            return REFUSED_PERCENT;
        }
        let fresh = now.saturating_duration_since(entry.heard) < HINT_LIFE;
        let hint = entry.hint.as_ref().filter(|_| fresh);
        let limit = hint.map_or(candidate.endpoints, |hint| hint.limit).max(1);
        let known = hint.map_or(0, |hint| hint.running.saturating_add(hint.queued));
        known.max(entry.outstanding).saturating_mul(100) / limit
    }

    /// Returns the shortest wait that owners of `pool` report for a new call of this priority; zero
    /// if none has reported lately.
    pub fn least_wait(
        &self,
        pool: &ids::PoolId,
        priority: types::PriorityLevel,
        now: time::Instant,
    ) -> time::Duration {
        let entries = self.nodes.values().filter_map(|pools| pools.get(pool));
        let fresh = entries.filter(|entry| {
            now.saturating_duration_since(entry.heard) < HINT_LIFE && entry.hint.is_some()
        });
        let wait = |hint: &types::PoolHint| match priority {
            types::PriorityLevel::High => hint.high_wait,
            types::PriorityLevel::Low | types::PriorityLevel::Normal => hint.wait,
        };
        let waits = fresh.filter_map(|entry| entry.hint.as_ref()).map(wait);
        waits.min().unwrap_or_default()
    }

    /// Counts a call that is being sent to an owner.
    pub fn begin(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        self.entry(node, pool, now).outstanding += 1;
    }

    /// Counts a call that has ended at an owner.
    pub fn end(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        let entry = self.entry(node, pool, now);
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// Takes note of the load that an owner reports.
    pub fn note(&mut self, node: &ids::NodeId, hint: types::PoolHint, now: time::Instant) {
        let entry = self.entry(node, &hint.pool, now);
        entry.heard = now;
        entry.hint = Some(hint);
    }

    /// Takes note that an owner could not be reached or does not own the pool's endpoints.
    pub fn note_refusal(&mut self, node: &ids::NodeId, pool: &ids::PoolId, now: time::Instant) {
        self.entry(node, pool, now).refused = Some(now);
    }

    /// Forgets a node that has gone.
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
        let empty = LoadEntry { hint: None, heard: now, outstanding: 0, refused: None };
        pools.entry(pool.clone()).or_insert(empty)
    }
}

/// A call to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'query> {
    /// Pool of the call.
    pub pool: &'query ids::PoolId,
    /// Owners that could take it.
    pub candidates: &'query [OwnerCandidate],
    /// Whether the link to other regions has budget for the call.
    pub link_open: bool,
    /// Present moment.
    pub now: time::Instant,
}

impl RouteQuery<'_> {
    /// Chooses an owner; none if there is no candidate that may be used.
    pub fn choose<Source>(&self, hints: &HintTable, random: &mut Source) -> Option<OwnerCandidate>
    where
        Source: rand::Rng,
    {
        let home = |candidate: &&OwnerCandidate| candidate.distance != RouteDistance::Remote;
        let near: Vec<_> = self.candidates.iter().filter(home).collect();
        let best = self.least_loaded(&near, hints, random);
        if let Some(best) = best
            && (!self.link_open || hints.load(best, self.pool, self.now) < SATURATED_PERCENT)
        {
            return Some(best.clone());
        }
        let far: Vec<_> = self.candidates.iter().filter(|entry| !home(entry)).collect();
        let remote = self.least_loaded(&far, hints, random).filter(|_| self.link_open);
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
        let load = |candidate: &OwnerCandidate| hints.load(candidate, self.pool, self.now);
        let affine = candidates.iter().find(|candidate| candidate.affine);
        if let Some(affine) = affine
            && load(affine) < AFFINITY_PERCENT
        {
            return Some(affine);
        }
        let sample = candidates.choose_multiple(random, SAMPLED_CANDIDATES);
        sample.min_by_key(|candidate| (load(candidate), candidate.distance)).copied()
    }

    fn less_loaded<'candidates>(
        &self,
        near: Option<&'candidates OwnerCandidate>,
        far: Option<&'candidates OwnerCandidate>,
        hints: &HintTable,
    ) -> Option<&'candidates OwnerCandidate> {
        let load = |candidate: &OwnerCandidate| hints.load(candidate, self.pool, self.now);
        match (near, far) {
            (Some(near), Some(far)) if load(far) < load(near) => Some(far),
            (Some(near), _) => Some(near),
            (None, far) => far,
        }
    }
}
