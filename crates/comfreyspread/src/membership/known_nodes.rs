//! The other nodes that are known to this node, with their addresses.

use crate::runtime::context;
use comfreyspread_policy::{acceptance, member};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use std::net;

/// Address of another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownNode {
    /// Name of the node; the VM or the address while the name is not known.
    pub node: ids::Text,
    /// Address for messages between nodes.
    pub address: net::SocketAddr,
    /// Whether the node may be serving.
    pub may_serve: bool,
}

/// Returns all known nodes but this one.
///
/// `listed` is the platform's list of VMs, if available. The nodes are the members and the listed
/// VMs that run neither a member nor an endpoint; without a list, the members and the seeds.
pub fn list(context: &context::NodeContext, listed: Option<&types::VmList>) -> Vec<KnownNode> {
    let mut nodes = members(context, listed);
    match listed {
        Some(listed) => nodes.extend(unknown_vms(context, listed)),
        None => {
            let known: IndexSet<_> = nodes.iter().map(|node| node.address).collect();
            nodes.extend(seeds(context).filter(|seed| !known.contains(&seed.address)));
        }
    }
    nodes
}

/// Returns the addresses of other nodes that may have a configuration.
pub fn serving_addresses(context: &context::NodeContext) -> Vec<net::SocketAddr> {
    let nodes = list(context, None).into_iter();
    nodes.filter(|node| node.may_serve).map(|node| node.address).collect()
}

/// Returns the names of the other live nodes in this node's zone.
pub fn zone_peers(context: &context::NodeContext) -> Vec<ids::NodeId> {
    let members = context.tables.members.lock();
    let zone = &context.settings.zone;
    let live = members.live().filter(|record| record.zone == *zone);
    live.map(|record| record.node.clone()).collect()
}

/// Returns the VMs of all members, this node included.
pub fn vms(context: &context::NodeContext) -> IndexSet<ids::VmId> {
    let members = context.tables.members.lock();
    let peer_vms = members.entries().map(|entry| entry.record().vm.clone());
    peer_vms.chain([context.settings.vm.clone()]).collect()
}

fn members(context: &context::NodeContext, listed: Option<&types::VmList>) -> Vec<KnownNode> {
    let known_node = |entry: &member::MemberEntry| {
        let record = entry.record();
        let listed = listed.map(|list| list.vms.iter().any(|listed| listed.vm == record.vm));
        let observation = acceptance::NodeObservation {
            phase: record.phase,
            refused: entry.refuses_connections(),
            listed,
        };
        KnownNode {
            node: record.node.clone(),
            address: record.address,
            may_serve: observation.may_serve(),
        }
    };
    context.tables.members.lock().entries().map(known_node).collect()
}

fn unknown_vms(context: &context::NodeContext, listed: &types::VmList) -> Vec<KnownNode> {
    let catalog = context.tables.catalog();
    let endpoints = catalog.endpoints().map(|endpoint| endpoint.vm.clone()).collect();
    let unknown = acceptance::unknown_vms(listed, &vms(context), &endpoints);
    let known_node = |record: &types::VmRecord| KnownNode {
        node: record.vm.clone(),
        address: record.address,
        may_serve: true,
    };
    unknown.into_iter().map(known_node).collect()
}

fn seeds(context: &context::NodeContext) -> impl Iterator<Item = KnownNode> {
    let own = context.settings.advertise_address;
    let seeds = context.settings.seeds.iter().filter(move |address| **address != own);
    seeds.map(|address| KnownNode {
        node: address.to_string().into(),
        address: *address,
        may_serve: true,
    })
}
