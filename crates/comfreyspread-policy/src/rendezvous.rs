//! Choice of an endpoint's owner by weighted rendezvous hashing.
//!
//! Every node scores each candidate for an endpoint with a hash of both names, and the candidate
//! with the highest score owns it. When a node joins or leaves, only the endpoints that it gains or
//! loses change owner. Candidates in the endpoint's zone rank first, then those in its region, then
//! all others, so calls to an endpoint leave its zone only while the zone has no live node.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use xxhash_rust::xxh3;

/// Bits of a hash that a 64-bit float represents exactly.
const FRACTION_BITS: u32 = 53;

/// A node that may own endpoints.
#[derive(Clone, Debug)]
pub struct OwnerCandidate {
    /// Name of the node.
    pub node: ids::NodeId,
    /// Share of endpoints relative to other candidates, above zero.
    pub weight: u32,
    hash: u64,
}

impl OwnerCandidate {
    /// Creates a candidate with weight 1.
    pub fn new(node: ids::NodeId) -> Self {
        let hash = xxh3::xxh3_64(node.as_bytes());
        Self { node, weight: 1, hash }
    }

    /// Sets the weight.
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }

    /// Returns the score for an endpoint; the highest of all candidates owns it.
    pub fn score(&self, endpoint: &ids::EndpointId) -> f64 {
        let hash = xxh3::xxh3_64_with_seed(endpoint.as_bytes(), self.hash);
        let high_bits = hash >> (u64::BITS - FRACTION_BITS);
        let fraction = (high_bits as f64 + 0.5) / (1_u64 << FRACTION_BITS) as f64;
        f64::from(self.weight) / -fraction.ln()
    }
}

/// Candidates grouped by zone and region.
#[derive(Debug, Default)]
pub struct CandidateSet {
    zones: IndexMap<ids::ZoneId, Vec<OwnerCandidate>>,
    regions: IndexMap<ids::RegionId, Vec<OwnerCandidate>>,
    all: Vec<OwnerCandidate>,
}

impl CandidateSet {
    /// Groups the members that may own endpoints.
    pub fn new<'table>(members: impl Iterator<Item = &'table types::MemberRecord>) -> Self {
        let mut set = Self::default();
        for member in members {
            let candidate = OwnerCandidate::new(member.node.clone());
            set.zones.entry(member.zone.clone()).or_default().push(candidate.clone());
            set.regions.entry(member.region.clone()).or_default().push(candidate.clone());
            set.all.push(candidate);
        }
        set
    }

    /// Returns the first `count` candidates for an endpoint, the owner first.
    pub fn ranked(
        &self,
        endpoint: &ids::EndpointId,
        zone: &ids::ZoneId,
        region: Option<&ids::RegionId>,
        count: usize,
    ) -> Vec<ids::NodeId> {
        let zone = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let region = region.and_then(|region| self.regions.get(region));
        let region = region.map(Vec::as_slice).unwrap_or_default();
        let mut ranked: Vec<ids::NodeId> = Vec::with_capacity(count);
        for group in [zone, region, &self.all] {
            if ranked.len() < count {
                append_top(&mut ranked, group, endpoint, count);
            }
        }
        ranked
    }
}

/// Returns the member with the highest score for a role, such as the batching of a service. All
/// nodes with the same members choose the same one.
pub fn best_member<'members, Members>(
    members: Members,
    role: &ids::Text,
) -> Option<&'members types::MemberRecord>
where
    Members: Iterator<Item = &'members types::MemberRecord>,
{
    best_members(members, role, 1).into_iter().next()
}

/// Returns up to `count` members with the highest scores for a role, the best first.
pub fn best_members<'members, Members>(
    members: Members,
    role: &ids::Text,
    count: usize,
) -> Vec<&'members types::MemberRecord>
where
    Members: Iterator<Item = &'members types::MemberRecord>,
{
    let score = |record: &types::MemberRecord| OwnerCandidate::new(record.node.clone()).score(role);
    let mut scored: Vec<_> = members.map(|record| (score(record), record)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().take(count).map(|(_, record)| record).collect()
}

/// Returns the score of an endpoint for a prompt prefix; requests with the prefix prefer the
/// endpoint with the highest score, whose cache then holds it.
pub fn prefix_score(prefix: ids::PrefixHash, endpoint: &ids::EndpointId) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.as_bytes(), prefix)
}

fn append_top(
    ranked: &mut Vec<ids::NodeId>,
    group: &[OwnerCandidate],
    endpoint: &ids::EndpointId,
    count: usize,
) {
    let unranked = group.iter().filter(|candidate| !ranked.contains(&candidate.node));
    let mut scored: Vec<_> =
        unranked.map(|candidate| (candidate.score(endpoint), &candidate.node)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let top: Vec<_> = scored.into_iter().take(count - ranked.len()).collect();
    ranked.extend(top.into_iter().map(|(_, node)| node.clone()));
}
