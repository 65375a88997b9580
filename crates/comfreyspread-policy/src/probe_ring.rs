//! Order in which a node probes the other members.
//!
//! Members of the node's own availability zone and those of the others take turns. Within each of
//! the two, every member is probed once before any is probed again, in a random order, so the time
//! until a failed member is probed is bounded.

use comfreyspread_schema::ids;
use rand::seq::SliceRandom as _;

/// Order of probes.
#[derive(Debug)]
pub struct ProbeRing {
    zone: Vec<ids::NodeId>,
    remote: Vec<ids::NodeId>,
    zone_next: bool,
}

impl Default for ProbeRing {
    fn default() -> Self {
        Self { zone: Vec::new(), remote: Vec::new(), zone_next: true }
    }
}

impl ProbeRing {
    /// Returns the member to be probed next. `members` returns the live members of the node's own
    /// zone if its argument is true, of the others if not; `is_live` says whether a member still
    /// is live.
    pub fn next<Members, IsLive, Random>(
        &mut self,
        members: Members,
        is_live: IsLive,
        random: &mut Random,
    ) -> Option<ids::NodeId>
    where
        Members: Fn(bool) -> Vec<ids::NodeId>,
        IsLive: Fn(&ids::NodeId) -> bool,
        Random: rand::Rng,
    {
        let same_zone = self.zone_next;
        self.zone_next = !same_zone;
        for same_zone in [same_zone, !same_zone] {
            let ring = if same_zone { &mut self.zone } else { &mut self.remote };
            if let Some(node) = pop_live(ring, &is_live) {
                return Some(node);
            }
            *ring = members(same_zone);
            ring.shuffle(random);
            if let Some(node) = pop_live(ring, &is_live) {
                return Some(node);
            }
        }
        None
    }
}

fn pop_live<IsLive>(ring: &mut Vec<ids::NodeId>, is_live: &IsLive) -> Option<ids::NodeId>
where
    IsLive: Fn(&ids::NodeId) -> bool,
{
    while let Some(node) = ring.pop() {
        if is_live(&node) {
            return Some(node);
        }
    }
    None
}
