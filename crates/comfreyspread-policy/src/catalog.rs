//! Index of one configuration revision, for lookups by name.

use crate::delta;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::sync;

/// Maximum number of deltas from earlier revisions that are kept.
const MAX_DELTAS: usize = 64;
/// Maximum number of items in all kept deltas together.
const MAX_DELTA_ITEMS: usize = 4096;

/// Index of one configuration revision.
#[derive(Debug, Default)]
pub struct ConfigurationCatalog {
    revision: ids::RevisionNumber,
    change: ids::ChangeId,
    regions: IndexMap<ids::ZoneId, ids::RegionId>,
    pools: IndexMap<ids::PoolId, PoolEntry>,
    endpoints: IndexMap<ids::EndpointId, types::EndpointDeclaration>,
    pipelines: IndexMap<ids::PipelineId, types::PipelineDeclaration>,
    services: IndexMap<ids::ServiceId, types::ServiceDeclaration>,
    profiles: IndexMap<ids::ProfileId, types::ProfileDeclaration>,
    workspaces: IndexMap<ids::WorkspaceId, types::WorkspaceDeclaration>,
    zones_out: IndexSet<ids::ZoneId>,
    vms_out: IndexSet<ids::VmId>,
    document: Option<types::ConfigurationDocument>,
    deltas: Vec<sync::Arc<types::ConfigurationDelta>>,
}

/// A pool with its endpoints.
#[derive(Debug)]
pub struct PoolEntry {
    declaration: types::PoolDeclaration,
    endpoints: Vec<ids::EndpointId>,
}

impl PoolEntry {
    /// Returns the declaration of the pool.
    pub fn declaration(&self) -> &types::PoolDeclaration {
        &self.declaration
    }

    /// Returns the names of the pool's endpoints, in order of declaration.
    pub fn endpoints(&self) -> &[ids::EndpointId] {
        &self.endpoints
    }
}

impl ConfigurationCatalog {
    /// Indexes a document whose references have been validated.
    pub fn new(mut document: types::ConfigurationDocument) -> Self {
        delta::sort_declarations(&mut document.declarations);
        let declarations = document.declarations.clone();
        let mut pools = IndexMap::new();
        for pool in declarations.pools {
            let entry = PoolEntry { declaration: pool, endpoints: Vec::new() };
            pools.insert(entry.declaration.name.clone(), entry);
        }
        for endpoint in &declarations.endpoints {
            if let Some(entry) = pools.get_mut(&endpoint.pool) {
                entry.endpoints.push(endpoint.name.clone());
            }
        }
        let zones = declarations.zones.into_iter();
        Self {
            revision: document.revision,
            change: document.change_id.clone(),
            regions: zones.map(|zone| (zone.name, zone.region)).collect(),
            pools,
            endpoints: index_by_name(declarations.endpoints, |entry| entry.name.clone()),
            pipelines: index_by_name(declarations.pipelines, |entry| entry.name.clone()),
            services: index_by_name(declarations.services, |entry| entry.name.clone()),
            profiles: index_by_name(declarations.profiles, |entry| entry.name.clone()),
            workspaces: index_by_name(declarations.workspaces, |entry| entry.name.clone()),
            zones_out: document.zones_out.iter().cloned().collect(),
            vms_out: document.vms_out.iter().cloned().collect(),
            document: Some(document),
            deltas: Vec::new(),
        }
    }

    /// Adds the deltas of the previous catalog and the delta from its revision to this one. Drops
    /// the oldest deltas once there are more than `MAX_DELTAS`, or more than `MAX_DELTA_ITEMS`
    /// items in them.
    pub fn with_deltas_from(mut self, previous: &Self) -> Self {
        let (Some(old), Some(new)) = (&previous.document, &self.document) else { return self };
        self.deltas.clone_from(&previous.deltas);
        self.deltas.push(sync::Arc::new(delta::diff(old, new)));
        let mut items = 0;
        let newest = self.deltas.iter().rev().take(MAX_DELTAS);
        let kept = newest.take_while(|delta| {
            items += delta::item_count(delta);
            items <= MAX_DELTA_ITEMS
        });
        let dropped = self.deltas.len() - kept.count();
        self.deltas.drain(..dropped);
        self
    }

    /// Returns the deltas from `revision` to this one, in order; `None` if they are no longer kept.
    pub fn deltas_since(
        &self,
        revision: ids::RevisionNumber,
    ) -> Option<&[sync::Arc<types::ConfigurationDelta>]> {
        let first = self.deltas.iter().position(|delta| delta.base_revision == revision)?;
        Some(&self.deltas[first..])
    }

    /// Returns the revision; zero if there is no configuration yet.
    pub fn revision(&self) -> ids::RevisionNumber {
        self.revision
    }

    /// Returns the change that created this revision.
    pub fn change(&self) -> &ids::ChangeId {
        &self.change
    }

    /// Returns the indexed document, if there is one.
    pub fn document(&self) -> Option<&types::ConfigurationDocument> {
        self.document.as_ref()
    }

    /// Returns the region of a zone.
    pub fn region(&self, zone: &ids::ZoneId) -> Option<&ids::RegionId> {
        self.regions.get(zone)
    }

    /// Returns a pool.
    pub fn pool(&self, name: &ids::PoolId) -> Option<&PoolEntry> {
        self.pools.get(name)
    }

    /// Returns all pools in order of declaration.
    pub fn pools(&self) -> impl Iterator<Item = &PoolEntry> {
        self.pools.values()
    }

    /// Returns an endpoint.
    pub fn endpoint(&self, name: &ids::EndpointId) -> Option<&types::EndpointDeclaration> {
        self.endpoints.get(name)
    }

    /// Returns all endpoints in order of declaration.
    pub fn endpoints(&self) -> impl Iterator<Item = &types::EndpointDeclaration> {
        self.endpoints.values()
    }

    /// Returns a pipeline.
    pub fn pipeline(&self, name: &str) -> Option<&types::PipelineDeclaration> {
        self.pipelines.get(name)
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&types::ServiceDeclaration> {
        self.services.get(name)
    }

    /// Returns a profile.
    pub fn profile(&self, name: &str) -> Option<&types::ProfileDeclaration> {
        self.profiles.get(name)
    }

    /// Returns a workspace.
    pub fn workspace(&self, name: &str) -> Option<&types::WorkspaceDeclaration> {
        self.workspaces.get(name)
    }

    /// Returns the names of the zones out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &ids::ZoneId> {
        self.zones_out.iter()
    }

    /// Returns the names of the VMs out of service.
    pub fn vms_out(&self) -> impl Iterator<Item = &ids::VmId> {
        self.vms_out.iter()
    }

    /// Whether the configuration allows an endpoint to take new work.
    pub fn in_service(&self, endpoint: &types::EndpointDeclaration) -> bool {
        self.vm_in_service(&endpoint.zone, &endpoint.vm)
    }

    /// Whether the configuration allows a VM in a zone to take new work.
    pub fn vm_in_service(&self, zone: &ids::ZoneId, vm: &ids::VmId) -> bool {
        !self.zones_out.contains(zone) && !self.vms_out.contains(vm)
    }

    /// Whether a document replaces this one. Only a higher revision does, so that a stale copy
    /// never takes effect.
    pub fn is_superseded_by(&self, document: &types::ConfigurationDocument) -> bool {
        document.revision > self.revision
    }
}

fn index_by_name<Name, Entry>(
    entries: Vec<Entry>,
    name: impl Fn(&Entry) -> Name,
) -> IndexMap<Name, Entry>
where
    Name: std::hash::Hash + Eq,
{
    entries.into_iter().map(|entry| (name(&entry), entry)).collect()
}
