//! Actions that a node carries out for its ownerships.

use crate::member;
use comfreyspread_schema::ids;
use indexmap::IndexMap;

/// Action that a node carries out for its ownerships.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipAction {
    /// Request a member to release these endpoints: to confirm those that it does not own.
    RequestRelease {
        /// Member that may own the endpoints.
        member: member::MemberInstance,
        /// Endpoints that this node waits for.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Read the highest fencing token that the endpoint has seen.
    ReadFence {
        /// Endpoint that this node waits for.
        endpoint: ids::EndpointId,
    },
    /// Notify the next owner that this node released an endpoint.
    NotifyRelease {
        /// Next owner.
        node: ids::NodeId,
        /// Endpoint released.
        endpoint: ids::EndpointId,
    },
}

/// Actions of one reconciliation, with requests grouped by member.
#[derive(Debug, Default)]
pub struct ActionList {
    requests: IndexMap<member::MemberInstance, Vec<ids::EndpointId>>,
    other_actions: Vec<OwnershipAction>,
}

impl ActionList {
    /// Adds a release request to a member.
    pub fn request_release(&mut self, member: &member::MemberInstance, endpoint: &ids::EndpointId) {
        self.requests.entry(member.clone()).or_default().push(endpoint.clone());
    }

    /// Adds the read of an endpoint's fencing token.
    pub fn read_fence(&mut self, endpoint: &ids::EndpointId) {
        self.other_actions.push(OwnershipAction::ReadFence { endpoint: endpoint.clone() });
    }

    /// Adds a release notice to the next owner.
    pub fn notify_release(&mut self, node: &ids::NodeId, endpoint: &ids::EndpointId) {
        let action =
            OwnershipAction::NotifyRelease { node: node.clone(), endpoint: endpoint.clone() };
        self.other_actions.push(action);
    }

    /// Returns the actions, requests first.
    pub fn into_actions(self) -> Vec<OwnershipAction> {
        let request = |(member, endpoints)| OwnershipAction::RequestRelease { member, endpoints };
        self.requests.into_iter().map(request).chain(self.other_actions).collect()
    }
}
