//! A relay process in front of the platform, the endpoints and the nodes of a deployment.

use crate::{deployment, process, types};
use comfreyspread_schema::types as wire;
use miette::IntoDiagnostic as _;
use std::{env, fs, net, path};

/// Name of the platform among the places of a relay.
pub const PLATFORM_PLACE: &str = "platform";

/// A running relay.
#[derive(Debug)]
pub struct RelayProcess {
    /// Address for faults and statistics.
    pub control: net::SocketAddr,
    /// The process.
    pub process: process::ChildProcess,
    file: path::PathBuf,
}

impl RelayProcess {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn new(program: &path::Path, plan: &types::RelayPlan) -> miette::Result<Self> {
        let file =
            env::temp_dir().join(format!("comfreyspread-relay-{}.json", plan.control.port()));
        fs::write(&file, serde_json::to_string(plan).into_diagnostic()?).into_diagnostic()?;
        let arguments = ["relay", "--plan", &file.to_string_lossy()];
        let process = process::ChildProcess::new(program, &arguments)?;
        Ok(Self { control: plan.control, process, file })
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        fs::remove_file(&self.file).ok();
    }
}

/// Builds the plan of a relay, handing out the addresses it listens on.
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

    /// Routes calls to an endpoint and returns the address for them.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_endpoint(
        &mut self,
        endpoint: &wire::EndpointDeclaration,
    ) -> miette::Result<net::SocketAddr> {
        let place = self.place(&endpoint.name, &endpoint.zone);
        self.route(endpoint.address, place)
    }

    /// Routes calls to the platform, which stands in the first zone.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_platform(&mut self, address: net::SocketAddr) -> miette::Result<net::SocketAddr> {
        let zone = self.zones.first().map(|zone| zone.name.clone()).unwrap_or_default();
        let place = self.place(PLATFORM_PLACE, &zone);
        self.route(address, place)
    }

    /// Routes calls to a node and returns the address to advertise.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn route_node(
        &mut self,
        node: &deployment::NodeLocation,
        peer_address: net::SocketAddr,
    ) -> miette::Result<net::SocketAddr> {
        let place = self.place(&node.name, &node.zone);
        self.plan.nodes.push(place.clone());
        self.route(peer_address, place)
    }

    fn place(&self, name: &str, zone: &str) -> types::RelayLocation {
        let declared = self.zones.iter().find(|entry| &*entry.name == zone);
        let region = declared.map(|entry| entry.region.clone()).unwrap_or_default();
        types::RelayLocation { name: name.into(), region, zone: zone.into() }
    }

    fn route(
        &mut self,
        target: net::SocketAddr,
        location: types::RelayLocation,
    ) -> miette::Result<net::SocketAddr> {
        let listen = process::free_address()?;
        self.plan.routes.push(types::RelayRoute { listen, location, target });
        Ok(listen)
    }
}
