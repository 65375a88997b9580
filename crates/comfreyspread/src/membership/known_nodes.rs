//! The other nodes that this node can address.

use crate::runtime::context;
use comfreyspread_policy::{acceptance, member};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use std::net;

/// Another node as it can be addressed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownNode {
    /// Name of the node, or of its VM or its address while the name is not known.
    pub node: ids::Text,
    /// Address for messages between nodes.
    pub address: net::SocketAddr,
    /// Whether the node may be serving.
    pub may_serve: bool,
}

/// Returns all nodes known, this one excepted, given the platform's list of VMs if it is known.
///
/// The list has the last word on nodes that are not members: their VMs count while listed. Seeds
/// count only while the list is not known.
pub fn list(context: &context::NodeContext, listed: Option<&types::VmList>) -> Vec<KnownNode> {
    let mut contacts = members(context, listed);
    match listed {
        Some(listed) => contacts.extend(unknown_vms(context, listed)),
        None => {
            let known: IndexSet<_> = contacts.iter().map(|contact| contact.address).collect();
            contacts.extend(seeds(context).filter(|seed| !known.contains(&seed.address)));
        }
    }
    contacts
}

/// Returns the addresses of other nodes that may have a configuration.
pub fn serving_addresses(context: &context::NodeContext) -> Vec<net::SocketAddr> {
    let contacts = list(context, None).into_iter();
    contacts.filter(|contact| contact.may_serve).map(|contact| contact.address).collect()
}

/// Returns the names of the other nodes of this node's zone that are believed to be alive.
pub fn zone_peers(context: &context::NodeContext) -> Vec<ids::NodeId> {
    let members = context.tables.members.lock();
    let zone = &context.settings.zone;
    let live = members.live().filter(|record| record.zone == *zone);
    live.map(|record| record.node.clone()).collect()
}

/// Returns the VMs that are known to run nodes.
pub fn vms(context: &context::NodeContext) -> IndexSet<ids::VmId> {
    let members = context.tables.members.lock();
    let others = members.entries().map(|entry| entry.record().vm.clone());
    others.chain([context.settings.vm.clone()]).collect()
}

fn members(context: &context::NodeContext, listed: Option<&types::VmList>) -> Vec<KnownNode> {
    let contact = |entry: &member::MemberEntry| {
        let record = entry.record();
        let listed = listed.map(|list| list.vms.iter().any(|one| one.vm == record.vm));
        let sighting = acceptance::NodeObservation {
            phase: record.phase,
            refused: entry.refuses_connections(),
            listed,
        };
        KnownNode {
            node: record.node.clone(),
            address: record.address,
            may_serve: sighting.may_serve(),
        }
    };
    context.tables.members.lock().entries().map(contact).collect()
}

fn unknown_vms(context: &context::NodeContext, listed: &types::VmList) -> Vec<KnownNode> {
    let catalog = context.tables.catalog();
    let endpoints = catalog.endpoints().map(|endpoint| endpoint.vm.clone()).collect();
    let unknown = acceptance::unknown_vms(listed, &vms(context), &endpoints);
    let contact = |record: &types::VmRecord| KnownNode {
        node: record.vm.clone(),
        address: record.address,
        may_serve: true,
    };
    unknown.into_iter().map(contact).collect()
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
