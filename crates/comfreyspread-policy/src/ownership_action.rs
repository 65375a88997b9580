//! What a node has to do for its ownerships.

use crate::member;
use comfreyspread_schema::ids;
use indexmap::IndexMap;

/// What a node has to do for its ownerships.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipAction {
    /// Ask a member which of these endpoints it does not own.
    RequestRelease {
        /// Member that may own them.
        member: member::MemberInstance,
        /// Endpoints waited for.
        endpoints: Vec<ids::EndpointId>,
    },
    /// Read the highest fencing number from the endpoint itself.
    ReadFence {
        /// Endpoint waited for.
        endpoint: ids::EndpointId,
    },
    /// Tell the next owner that this node released an endpoint.
    NotifyRelease {
        /// Next owner.
        node: ids::NodeId,
        /// Endpoint released.
        endpoint: ids::EndpointId,
    },
}

/// Actions of one observation, requests grouped by member.
#[derive(Debug, Default)]
pub struct ActionList {
    requests: IndexMap<member::MemberInstance, Vec<ids::EndpointId>>,
    others: Vec<OwnershipAction>,
}

impl ActionList {
    /// Adds a question to a member.
    pub fn request_release(&mut self, member: &member::MemberInstance, endpoint: &ids::EndpointId) {
        self.requests.entry(member.clone()).or_default().push(endpoint.clone());
    }

    /// Adds that a fencing number is to be read.
    pub fn read_fence(&mut self, endpoint: &ids::EndpointId) {
        self.others.push(OwnershipAction::ReadFence { endpoint: endpoint.clone() });
    }

    /// Adds that the next owner is to be told.
    pub fn notify_release(&mut self, node: &ids::NodeId, endpoint: &ids::EndpointId) {
        let action =
            OwnershipAction::NotifyRelease { node: node.clone(), endpoint: endpoint.clone() };
        self.others.push(action);
    }

    /// Returns the actions.
    pub fn into_actions(self) -> Vec<OwnershipAction> {
        let request = |(member, endpoints)| OwnershipAction::RequestRelease { member, endpoints };
        self.requests.into_iter().map(request).chain(self.others).collect()
    }
}
