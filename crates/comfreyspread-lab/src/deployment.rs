//! A small deployment of separate processes on loopback: platform, endpoints and nodes.

use crate::{caller, network, process, types};
use comfreyspread_schema::{ids, types as wire};
use miette::{Context as _, IntoDiagnostic as _};
use rustix::process::Signal;
use std::{env, fs, net, path, time};

const READY_POLL: time::Duration = time::Duration::from_millis(20);
const READY_LIMIT: time::Duration = time::Duration::from_secs(30);
const CALL_PATIENCE: time::Duration = time::Duration::from_secs(30);
const SHORT_POLL: time::Duration = time::Duration::from_millis(100);
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

/// One node process and its addresses.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name of the node.
    pub name: ids::NodeId,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for other nodes.
    pub peer_address: net::SocketAddr,
    /// The process.
    pub process: process::ChildProcess,
    arguments: Vec<ids::Text>,
}

/// Where a node stands.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Name of the node and its VM.
    pub name: ids::NodeId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Region.
    pub region: ids::RegionId,
}

/// What a deployment has besides the usual.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Arguments added to those of each node.
    pub node_arguments: Vec<ids::Text>,
    /// Arguments added to those of the endpoint stand-ins.
    pub endpoint_arguments: Vec<ids::Text>,
    /// Link between the regions; a relay carries all traffic of the nodes if given.
    pub link: Option<types::RelayLink>,
    /// Program for the nodes if it is another build.
    pub node_program: Option<path::PathBuf>,
    /// Time between the nodes' polls of the platform.
    pub poll: time::Duration,
    /// Folder for the log files of the nodes.
    pub log_folder: Option<path::PathBuf>,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            node_arguments: Vec::new(),
            endpoint_arguments: Vec::new(),
            link: None,
            node_program: None,
            poll: SHORT_POLL,
            log_folder: None,
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct TestDeployment {
    /// Program that plays all roles.
    pub program: path::PathBuf,
    /// Declarations with the addresses that nodes use.
    pub declarations: wire::Declarations,
    /// Address of the platform stand-in.
    pub platform_address: net::SocketAddr,
    /// Platform stand-in.
    pub platform: process::ChildProcess,
    /// Endpoint stand-ins.
    pub endpoints: process::ChildProcess,
    /// Network stand-in, if any.
    pub relay: Option<network::RelayProcess>,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
    /// Caller for requests to any part.
    pub caller: caller::TestCaller,
    options: DeploymentOptions,
    file: path::PathBuf,
}

impl TestDeployment {
    /// Starts the stand-ins and the nodes, with each endpoint at an address that is free.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not become reachable.
    pub async fn new(
        program: path::PathBuf,
        declarations: wire::Declarations,
        places: &[NodeLocation],
        extra: &[&str],
    ) -> miette::Result<Self> {
        let node_arguments = extra.iter().map(|argument| (*argument).into()).collect();
        let options = DeploymentOptions { node_arguments, ..DeploymentOptions::default() };
        Self::with_options(program, declarations, places, options).await
    }

    /// Starts the stand-ins and the nodes with `options`.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not become reachable.
    pub async fn with_options(
        program: path::PathBuf,
        mut declarations: wire::Declarations,
        places: &[NodeLocation],
        options: DeploymentOptions,
    ) -> miette::Result<Self> {
        let count = declarations.endpoints.len();
        let addresses = process::free_addresses(count + 1 + places.len() * 2)?;
        for (endpoint, address) in declarations.endpoints.iter_mut().zip(&addresses) {
            endpoint.address = *address;
        }
        let platform_address = addresses[count];
        let file = write_declarations(&declarations, platform_address)?;
        let platform = start_platform(&program, platform_address)?;
        let extra: Vec<_> = options.endpoint_arguments.iter().map(|text| &**text).collect();
        let endpoints = start_endpoints(&program, &file, &extra)?;
        let mut deployment = Self {
            program,
            declarations,
            platform_address,
            platform,
            endpoints,
            relay: None,
            nodes: Vec::new(),
            caller: caller::TestCaller::new(CALL_PATIENCE),
            options,
            file,
        };
        deployment.wait_until_ready(platform_address, "/v1/vms").await?;
        if let Some(last) = deployment.declarations.endpoints.last() {
            deployment.wait_until_ready(last.address, "/v1/status").await?;
        }
        let mut plans = plan_nodes(places, &addresses[count + 1..], platform_address);
        deployment.place_relay(&mut plans).await?;
        let vms: Vec<_> = plans.iter().map(NodePlan::vm_record).collect();
        deployment.list_vms(vms).await?;
        deployment.start_nodes(&plans)?;
        Ok(deployment)
    }

    /// Puts a relay in front of the platform, the endpoints and the nodes if a link is given.
    async fn place_relay(&mut self, plans: &mut [NodePlan]) -> miette::Result<()> {
        let Some(link) = self.options.link.clone() else { return Ok(()) };
        let mut planner = network::RelayPlanner::new(&self.declarations, link)?;
        for endpoint in &mut self.declarations.endpoints {
            endpoint.address = planner.route_endpoint(endpoint)?;
        }
        let platform = planner.route_platform(self.platform_address)?;
        for plan in plans {
            plan.platform = platform;
            let advertised = planner.route_node(&plan.place, plan.peer)?;
            if self.options.node_program.is_none() {
                plan.advertised = advertised;
            }
        }
        let relay = network::RelayProcess::new(&self.program, planner.plan())?;
        self.wait_until_ready(relay.control, "/stats").await?;
        self.relay = Some(relay);
        Ok(())
    }

    fn start_nodes(&mut self, plans: &[NodePlan]) -> miette::Result<()> {
        let seeds: Vec<_> = plans.iter().map(|plan| plan.advertised.to_string()).collect();
        for plan in plans {
            let mut arguments = plan.arguments();
            let poll = self.options.poll.as_millis().to_string();
            arguments.extend(["--seeds".into(), seeds.join(",").into()]);
            arguments.extend(["--poll-ms".into(), poll.into()]);
            arguments.extend(self.options.node_arguments.iter().cloned());
            let process = self.start_node(&plan.place.name, &arguments)?;
            self.nodes.push(NodeProcess {
                name: plan.place.name.clone(),
                caller_address: plan.caller,
                peer_address: plan.peer,
                process,
                arguments,
            });
        }
        Ok(())
    }

    fn start_node(
        &self,
        name: &ids::NodeId,
        arguments: &[ids::Text],
    ) -> miette::Result<process::ChildProcess> {
        let program = self.options.node_program.as_deref().unwrap_or(&self.program);
        let arguments: Vec<_> = arguments.iter().map(|text| &**text).collect();
        match &self.options.log_folder {
            None => process::ChildProcess::new(program, &arguments),
            Some(folder) => {
                let log = folder.join(format!("{name}.log"));
                process::ChildProcess::with_log(program, &arguments, &log)
            }
        }
    }

    /// Waits until a path answers with status 200.
    ///
    /// # Errors
    ///
    /// Fails if it does not within half a minute.
    pub async fn wait_until_ready(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> miette::Result<()> {
        let deadline = time::Instant::now() + READY_LIMIT;
        while time::Instant::now() < deadline {
            let answer = self.caller.get(address, path).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            async_io::Timer::after(READY_POLL).await;
        }
        miette::bail!("{address}{path} did not become ready")
    }

    /// Returns what the endpoints received.
    ///
    /// # Errors
    ///
    /// Fails if the stand-ins do not answer.
    pub async fn records(&self) -> miette::Result<types::CallRecords> {
        let Some(endpoint) = self.declarations.endpoints.first() else {
            miette::bail!("there are no endpoints");
        };
        let answer = self.caller.get(endpoint.address, "/records").await?;
        serde_json::from_slice(answer.body()).into_diagnostic()
    }

    /// Sets the faults of one endpoint stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is not declared or does not answer.
    pub async fn set_endpoint_faults(&self, faults: &types::EndpointFaults) -> miette::Result<()> {
        let found = self.declarations.endpoints.iter().find(|entry| entry.name == faults.endpoint);
        let Some(endpoint) = found else {
            miette::bail!("there is no endpoint {}", faults.endpoint);
        };
        self.caller.post(endpoint.address, "/faults", faults).await?;
        Ok(())
    }

    /// Sets the partitions of the relay.
    ///
    /// # Errors
    ///
    /// Fails if there is no relay or it does not answer.
    pub async fn set_partitions(&self, cuts: &[types::LinkPartition]) -> miette::Result<()> {
        let Some(relay) = &self.relay else { miette::bail!("there is no relay") };
        let faults = types::RelayFaults { partitions: cuts.to_vec() };
        self.caller.post(relay.control, "/faults", &faults).await?;
        Ok(())
    }

    /// Returns what the relay carried.
    ///
    /// # Errors
    ///
    /// Fails if there is no relay or it does not answer.
    pub async fn link_stats(&self) -> miette::Result<types::RelayStats> {
        let Some(relay) = &self.relay else { miette::bail!("there is no relay") };
        let answer = self.caller.get(relay.control, "/stats").await?;
        serde_json::from_slice(answer.body()).into_diagnostic()
    }

    /// Starts a node again with the arguments it had, after it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_node(&mut self, index: usize) -> miette::Result<()> {
        let process = self.start_node(&self.nodes[index].name, &self.nodes[index].arguments)?;
        self.nodes[index].process = process;
        Ok(())
    }

    /// Stops all nodes gracefully.
    ///
    /// # Errors
    ///
    /// Fails if a node does not exit with code 0.
    pub async fn stop(mut self) -> miette::Result<()> {
        for node in &self.nodes {
            node.process.signal(Signal::TERM);
        }
        for node in &mut self.nodes {
            let code = node.process.wait(STOP_LIMIT).await;
            if code != Some(0) {
                miette::bail!("{} ended with {code:?}", node.name);
            }
        }
        Ok(())
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        fs::remove_file(&self.file).ok();
    }
}

/// Starts the platform stand-in.
///
/// # Errors
///
/// Fails if the process cannot be started.
pub fn start_platform(
    program: &path::Path,
    address: net::SocketAddr,
) -> miette::Result<process::ChildProcess> {
    process::ChildProcess::new(program, &["platform", "--address", &address.to_string()])
}

/// Starts the endpoint stand-ins of a declarations file.
///
/// # Errors
///
/// Fails if the process cannot be started.
pub fn start_endpoints(
    program: &path::Path,
    declarations: &path::Path,
    extra: &[&str],
) -> miette::Result<process::ChildProcess> {
    let file = declarations.to_string_lossy();
    let mut arguments = vec!["endpoints", "--declarations", &file];
    arguments.extend(extra);
    process::ChildProcess::new(program, &arguments)
}

/// Addresses of one node to start.
#[derive(Clone, Debug)]
struct NodePlan {
    place: NodeLocation,
    caller: net::SocketAddr,
    peer: net::SocketAddr,
    advertised: net::SocketAddr,
    platform: net::SocketAddr,
}

impl NodePlan {
    fn vm_record(&self) -> wire::VmRecord {
        wire::VmRecord {
            address: self.advertised,
            state: wire::VmState::Live,
            vm: self.place.name.clone(),
            zone: self.place.zone.clone(),
        }
    }

    fn arguments(&self) -> Vec<ids::Text> {
        let texts: [&str; 16] = [
            "product",
            "node",
            "--node",
            &self.place.name,
            "--vm",
            &self.place.name,
            "--zone",
            &self.place.zone,
            "--region",
            &self.place.region,
            "--caller-address",
            &self.caller.to_string(),
            "--peer-address",
            &self.peer.to_string(),
            "--platform-address",
            &self.platform.to_string(),
        ];
        let mut arguments: Vec<_> = texts.map(ids::Text::from).into();
        if self.advertised != self.peer {
            arguments.extend(["--advertise-address".into(), self.advertised.to_string().into()]);
        }
        arguments
    }
}

fn plan_nodes(
    places: &[NodeLocation],
    addresses: &[net::SocketAddr],
    platform: net::SocketAddr,
) -> Vec<NodePlan> {
    let (callers, peers) = addresses.split_at(places.len());
    let pairs = places.iter().zip(callers.iter().zip(peers));
    let plan = |(place, (caller, peer)): (&NodeLocation, (&net::SocketAddr, &net::SocketAddr))| {
        let place = place.clone();
        NodePlan { place, caller: *caller, peer: *peer, advertised: *peer, platform }
    };
    pairs.map(plan).collect()
}

fn write_declarations(
    declarations: &wire::Declarations,
    platform: net::SocketAddr,
) -> miette::Result<path::PathBuf> {
    let name = format!("comfreyspread-{}-{}.json", std::process::id(), platform.port());
    let file = env::temp_dir().join(name);
    let text = serde_json::to_string(declarations).into_diagnostic()?;
    fs::write(&file, text).into_diagnostic().wrap_err("cannot write the declarations")?;
    Ok(file)
}
