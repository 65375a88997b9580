//! The other nodes that this node can address.

use crate::context;
use comfreyspread_schema::ids;
use std::net;

/// Another node as it can be addressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeContact {
    /// Name of the node, or its address while the name is not known.
    pub node: ids::Text,
    /// Address for messages between nodes.
    pub address: net::SocketAddr,
    /// Whether the node may still be serving.
    pub may_serve: bool,
}

/// Returns all nodes known, this one excepted.
pub fn all(context: &context::NodeContext) -> Vec<NodeContact> {
    let own = context.settings.peer_address;
    let seeds = context.settings.seeds.iter().filter(|address| **address != own);
    let contact = |address: &net::SocketAddr| NodeContact {
        node: address.to_string().into(),
        address: *address,
        may_serve: true,
    };
    seeds.map(contact).collect()
}

/// Returns the names of the other nodes of this node's zone that are believed to be alive.
pub fn zone_neighbours(context: &context::NodeContext) -> Vec<ids::NodeId> {
    let _ = context;
    Vec::new()
}
