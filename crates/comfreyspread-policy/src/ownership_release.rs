//! Releases of endpoints between nodes: what a node tells another that wants to own an endpoint, and
//! what it takes from such an answer.

use crate::{member, membership, ownership, ownership_status};
use comfreyspread_schema::{ids, types};
use std::time;

impl ownership::OwnershipTable {
    /// Answers a release request: returns the endpoints that this node does not own and will not
    /// acquire without first requesting a release from the requester. The records carry no load.
    pub fn answer_requests(
        &mut self,
        members: &membership::MemberTable,
        requester: &member::MemberInstance,
        endpoints: &[ids::EndpointId],
    ) -> Vec<types::ReleaseRecord> {
        let mut releases = Vec::new();
        for endpoint in endpoints {
            if self.owns_or_ranks_first(endpoint) {
                continue;
            }
            releases.push(self.release_record(members, endpoint, requester));
            self.requesters.insert(endpoint.clone(), requester.clone());
        }
        releases
    }

    /// Returns the release, without load, of an endpoint that this node does not own, for
    /// `requester`. It names the other nodes that may own it: those this node waits for, the
    /// previous requester, and the first candidate in this node's view.
    pub fn release_record(
        &self,
        members: &membership::MemberTable,
        endpoint: &ids::EndpointId,
        requester: &member::MemberInstance,
    ) -> types::ReleaseRecord {
        let status = self.ownerships.get(endpoint);
        let first = self.ranks.get(endpoint).and_then(|ranked| ranked.first());
        let first = first.and_then(|node| members.live_instance(node));
        let previous = self.requesters.get(endpoint).filter(|previous| members.is_live(previous));
        let mut others: Vec<_> = first.into_iter().chain(previous.cloned()).collect();
        if let Some(ownership_status::OwnershipStatus::Waiting(waiting)) = status {
            others.extend(waiting.possible_owners().cloned());
        }
        others.retain(|other| other != requester && *other != self.instance);
        others.dedup();
        types::ReleaseRecord {
            possible_owners: others.iter().map(member::MemberInstance::identity).collect(),
            endpoint: endpoint.clone(),
            fence: status.map_or(0, ownership_status::OwnershipStatus::highest),
            phase: types::EndpointPhase::Unknown,
            running: 0,
        }
    }

    /// Merges releases from a node that does not own these endpoints.
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
                waiting.confirm_release(from);
                let possible_owners =
                    release.possible_owners.iter().map(member::MemberInstance::from_identity);
                possible_owners
                    .filter(|owner| *owner != self.instance)
                    .for_each(|owner| waiting.add_possible_owner(owner));
                waiting.record_owner_fence(release.fence);
            }
            if release.running > 0 || release.phase != types::EndpointPhase::Unknown {
                self.inherit(&release.endpoint, release.running, release.phase, now);
            }
        }
    }

    /// Merges the highest fencing token and the running calls that an endpoint reports.
    pub fn record_endpoint_fence(
        &mut self,
        endpoint: &ids::EndpointId,
        fence: ids::FencingToken,
        running: u32,
        now: time::Instant,
    ) {
        let Some(ownership_status::OwnershipStatus::Waiting(waiting)) =
            self.ownerships.get_mut(endpoint)
        else {
            return;
        };
        waiting.record_endpoint_fence(fence);
        if running > 0 {
            self.inherit(endpoint, running, types::EndpointPhase::Unknown, now);
        }
    }
}
