//! Active routes, services and workspaces: which rule and service serve a request.
//!
//! ```
//! use comfreyspread_policy::route_table;
//!
//! let table = route_table::RouteTable::default();
//! assert!(table.find("host", "/path/").is_none());
//! ```

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{cmp, sync};

/// Routes, services and workspaces of one route document.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: IndexMap<ids::Text, Vec<sync::Arc<types::RouteRule>>>,
    services: IndexMap<ids::ServiceName, sync::Arc<types::ServiceRule>>,
    keys: IndexMap<ids::Text, sync::Arc<types::WorkspaceRule>>,
    needs_key: bool,
    limits: Option<types::CallerLimits>,
}

impl RouteTable {
    /// Creates the table of a route document.
    pub fn new(document: types::RouteDocument) -> Self {
        let mut hosts = IndexMap::<ids::Text, Vec<sync::Arc<types::RouteRule>>>::new();
        for route in document.routes {
            hosts.entry(route.host.clone()).or_default().push(sync::Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| cmp::Reverse(route.prefix.len()));
        }
        let services = document.services.into_iter();
        let services = services.map(|service| (service.name.clone(), sync::Arc::new(service)));
        let mut keys = IndexMap::new();
        let needs_key = document.workspaces.is_some();
        for workspace in document.workspaces.into_iter().flatten() {
            let workspace = sync::Arc::new(workspace);
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), workspace.clone())));
        }
        let limits = Some(document.limits);
        let services = services.collect();
        Self { version: document.version, hosts, services, keys, needs_key, limits }
    }

    /// Returns the version of the document; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<types::RouteRule>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the rule of a service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<types::ServiceRule>> {
        self.services.get(name)
    }

    /// Returns the services that run pieces of stages.
    pub fn stage_services(&self) -> impl Iterator<Item = &sync::Arc<types::ServiceRule>> {
        self.services.values().filter(|service| service.stage_capacity.is_some())
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&sync::Arc<types::WorkspaceRule>> {
        self.keys.get(key)
    }

    /// Returns the regions that may now serve a request that arrived under a route and a workspace;
    /// `None` allows all. A rule that has been removed since then still limits it.
    pub fn current_regions(
        &self,
        route: &types::RouteRule,
        workspace: Option<&types::WorkspaceRule>,
        key: Option<&str>,
    ) -> Option<Vec<ids::RegionId>> {
        let current_route = self.route_at(&route.host, &route.prefix).unwrap_or(route);
        let by_key = key.and_then(|key| self.workspace(key)).map(AsRef::as_ref);
        let current_workspace = by_key.or_else(|| self.current_workspace(workspace?)).or(workspace);
        allowed_regions(current_route, current_workspace)
    }

    /// Returns the present rule of a workspace, whose keys may have changed.
    fn current_workspace(&self, workspace: &types::WorkspaceRule) -> Option<&types::WorkspaceRule> {
        self.keys.values().map(AsRef::as_ref).find(|rule| rule.name == workspace.name)
    }

    /// Returns the route of a host with exactly this prefix.
    fn route_at(&self, host: &str, prefix: &str) -> Option<&types::RouteRule> {
        let routes = self.hosts.get(host)?;
        routes.iter().map(AsRef::as_ref).find(|route| *route.prefix == *prefix)
    }

    /// Whether requests need a key, except on public routes. They do if the document lists
    /// workspaces, also if no key is left: then none of their requests may run.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the limits on requests of callers; `None` before the first document.
    pub fn limits(&self) -> Option<&types::CallerLimits> {
        self.limits.as_ref()
    }
}

/// Chooses the service that runs a request, at random by the weights of its route; `None` if all
/// weights are zero.
pub fn choose_service<'route, Source>(
    route: &'route types::RouteRule,
    random: &mut Source,
) -> Option<&'route ids::ServiceName>
where
    Source: rand::Rng,
{
    let weight = |split: &types::TrafficSplit| u64::from(split.weight);
    let total: u64 = route.splits.iter().map(weight).sum();
    let mut drawn = random.random_range(0..total.max(1));
    let chosen = route.splits.iter().find(|split| {
        let is_drawn = drawn < weight(split);
        drawn = drawn.saturating_sub(weight(split));
        is_drawn
    });
    chosen.map(|split| &split.service)
}

/// Returns the regions that may serve a request; `None` allows all.
pub fn allowed_regions(
    route: &types::RouteRule,
    workspace: Option<&types::WorkspaceRule>,
) -> Option<Vec<ids::RegionId>> {
    let workspace = workspace.map_or(&[][..], |workspace| &workspace.allowed_regions);
    match (route.allowed_regions.is_empty(), workspace.is_empty()) {
        (true, true) => None,
        (false, true) => Some(route.allowed_regions.clone()),
        (true, false) => Some(workspace.to_vec()),
        (false, false) => {
            let both = route.allowed_regions.iter().filter(|region| workspace.contains(region));
            Some(both.cloned().collect())
        }
    }
}
