//! Child process that relays connections to the platform, the endpoints and the nodes of a
//! deployment.

use crate::{deployment, process, types};
use comfreyspread_schema::types as wire;
use miette::IntoDiagnostic as _;
use std::{env, fs, net, path};

/// Name of the platform's location in a relay plan.
pub const PLATFORM_LOCATION: &str = "platform";

/// A running relay process; its plan file is removed on drop.
#[derive(Debug)]
pub struct RelayProcess {
    /// Control address, for faults and statistics.
    pub control: net::SocketAddr,
    /// The process.
    pub process: process::ChildProcess,
    plan_file: path::PathBuf,
}

impl RelayProcess {
    /// Writes `plan` to a temporary file and starts a relay with it.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn new(program: &path::Path, plan: &types::RelayPlan) -> miette::Result<Self> {
        let plan_file =
            env::temp_dir().join(format!("comfreyspread-relay-{}.json", plan.control.port()));
        fs::write(&plan_file, serde_json::to_string(plan).into_diagnostic()?).into_diagnostic()?;
        let arguments = ["relay", "--plan", &plan_file.to_string_lossy()];
        let process = process::ChildProcess::new(program, &arguments)?;
        Ok(Self { control: plan.control, process, plan_file })
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        fs::remove_file(&self.plan_file).ok();
    }
}

/// Builds the plan of a relay and allocates its listen addresses.
#[derive(Debug)]
pub struct RelayPlanner {
    plan: types::RelayPlan,
    zones: Vec<wire::ZoneDeclaration>,
}

impl RelayPlanner {
    /// Creates a planner for the zones of `declarations`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn new(declarations: &wire::Declarations, link: types::RelayLink) -> miette::Result<Self> {
        let control = process::free_address()?;
        let plan = types::RelayPlan { control, link, nodes: Vec::new(), routes: Vec::new() };
        Ok(Self { plan, zones: declarations.zones.clone() })
    }

    /// Returns the plan.
    pub fn plan(&self) -> &types::RelayPlan {
        &self.plan
    }

    /// Adds a route to an endpoint and returns its listen address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_endpoint(
        &mut self,
        endpoint: &wire::EndpointDeclaration,
    ) -> miette::Result<net::SocketAddr> {
        let location = self.location(&endpoint.name, &endpoint.zone);
        self.add_route(endpoint.address, location)
    }

    /// Adds a route to the platform, located in the first zone, and returns its listen address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_platform(&mut self, address: net::SocketAddr) -> miette::Result<net::SocketAddr> {
        let zone = self.zones.first().map(|zone| zone.name.clone()).unwrap_or_default();
        let location = self.location(PLATFORM_LOCATION, &zone);
        self.add_route(address, location)
    }

    /// Adds a route to a node and returns the peer address to advertise.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_node(
        &mut self,
        node: &deployment::NodeLocation,
        peer_address: net::SocketAddr,
    ) -> miette::Result<net::SocketAddr> {
        let location = self.location(&node.name, &node.zone);
        self.plan.nodes.push(location.clone());
        self.add_route(peer_address, location)
    }

    fn location(&self, name: &str, zone: &str) -> types::RelayLocation {
        let declaration = self.zones.iter().find(|entry| &*entry.name == zone);
        let region = declaration.map(|entry| entry.region.clone()).unwrap_or_default();
        types::RelayLocation { name: name.into(), region, zone: zone.into() }
    }

    fn add_route(
        &mut self,
        target: net::SocketAddr,
        location: types::RelayLocation,
    ) -> miette::Result<net::SocketAddr> {
        let listen = process::free_address()?;
        self.plan.routes.push(types::RelayRoute { listen, location, target });
        Ok(listen)
    }
}
