//! A test deployment of platform, endpoints and nodes as separate processes on loopback.

use crate::{caller, process, relay_process, types};
use comfreyspread_schema::{ids, types as wire};
use miette::{Context as _, IntoDiagnostic as _};
use rustix::process::Signal;
use std::{env, fs, net, path, time};

const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const PLATFORM_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(10);

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

/// Name, zone and region of a node.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// Name of the node and its VM.
    pub name: ids::NodeId,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// Region.
    pub region: ids::RegionId,
}

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Additional arguments of each node.
    pub node_arguments: Vec<ids::Text>,
    /// Additional arguments of the endpoint stand-ins.
    pub endpoint_arguments: Vec<ids::Text>,
    /// Link between the regions; if set, a relay carries all traffic of the nodes.
    pub link: Option<types::RelayLink>,
    /// Program of the nodes, if they run another build than the stand-ins.
    pub node_program: Option<path::PathBuf>,
    /// Time between the nodes' polls of the platform.
    pub poll_interval: time::Duration,
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
            poll_interval: PLATFORM_POLL_INTERVAL,
            log_folder: None,
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct TestDeployment {
    /// Program of the stand-ins and, by default, of the nodes.
    pub program: path::PathBuf,
    /// Declarations, with the addresses at which nodes reach the endpoints.
    pub declarations: wire::Declarations,
    /// Address of the platform stand-in.
    pub platform_address: net::SocketAddr,
    /// Platform stand-in.
    pub platform: process::ChildProcess,
    /// Endpoint stand-ins.
    pub endpoints: process::ChildProcess,
    /// Relay between the regions, if any.
    pub relay: Option<relay_process::RelayProcess>,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
    /// Client for requests to any of the processes.
    pub caller: caller::TestCaller,
    options: DeploymentOptions,
    declarations_file: path::PathBuf,
}

impl TestDeployment {
    /// Starts the stand-ins and the nodes, each endpoint at a free address.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not become reachable.
    pub async fn new(
        program: path::PathBuf,
        declarations: wire::Declarations,
        locations: &[NodeLocation],
        extra_arguments: &[&str],
    ) -> miette::Result<Self> {
        let node_arguments = extra_arguments.iter().map(|argument| (*argument).into()).collect();
        let options = DeploymentOptions { node_arguments, ..DeploymentOptions::default() };
        Self::with_options(program, declarations, locations, options).await
    }

    /// Starts the stand-ins and the nodes with `options`.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not become reachable.
    pub async fn with_options(
        program: path::PathBuf,
        mut declarations: wire::Declarations,
        locations: &[NodeLocation],
        options: DeploymentOptions,
    ) -> miette::Result<Self> {
        let count = declarations.endpoints.len();
        let addresses = process::free_addresses(count + 1 + locations.len() * 2)?;
        for (endpoint, address) in declarations.endpoints.iter_mut().zip(&addresses) {
            endpoint.address = *address;
        }
        let platform_address = addresses[count];
        let declarations_file = write_declarations(&declarations, platform_address)?;
        let platform = start_platform(&program, platform_address)?;
        let endpoint_arguments: Vec<_> =
            options.endpoint_arguments.iter().map(|text| &**text).collect();
        let endpoints = start_endpoints(&program, &declarations_file, &endpoint_arguments)?;
        let mut deployment = Self {
            program,
            declarations,
            platform_address,
            platform,
            endpoints,
            relay: None,
            nodes: Vec::new(),
            caller: caller::TestCaller::new(CALL_TIMEOUT),
            options,
            declarations_file,
        };
        deployment.wait_until_ready(platform_address, "/v1/vms").await?;
        if let Some(last) = deployment.declarations.endpoints.last() {
            deployment.wait_until_ready(last.address, "/v1/status").await?;
        }
        let mut plans = plan_nodes(locations, &addresses[count + 1..], platform_address);
        deployment.start_relay(&mut plans).await?;
        let vms: Vec<_> = plans.iter().map(NodePlan::vm_record).collect();
        deployment.set_vms(vms).await?;
        deployment.start_nodes(&plans)?;
        Ok(deployment)
    }

    /// Starts a relay in front of the platform, the endpoints and the nodes if a link is set.
    async fn start_relay(&mut self, plans: &mut [NodePlan]) -> miette::Result<()> {
        let Some(link) = self.options.link.clone() else { return Ok(()) };
        let mut planner = relay_process::RelayPlanner::new(&self.declarations, link)?;
        for endpoint in &mut self.declarations.endpoints {
            endpoint.address = planner.route_endpoint(endpoint)?;
        }
        let platform = planner.route_platform(self.platform_address)?;
        for plan in plans {
            plan.platform_address = platform;
            let advertised = planner.route_node(&plan.location, plan.peer_address)?;
            if self.options.node_program.is_none() {
                plan.advertise_address = advertised;
            }
        }
        let relay = relay_process::RelayProcess::new(&self.program, planner.plan())?;
        self.wait_until_ready(relay.control, "/stats").await?;
        self.relay = Some(relay);
        Ok(())
    }

    fn start_nodes(&mut self, plans: &[NodePlan]) -> miette::Result<()> {
        let seeds: Vec<_> = plans.iter().map(|plan| plan.advertise_address.to_string()).collect();
        for plan in plans {
            let mut arguments = plan.arguments();
            let poll_ms = self.options.poll_interval.as_millis().to_string();
            arguments.extend(["--seeds".into(), seeds.join(",").into()]);
            arguments.extend(["--poll-ms".into(), poll_ms.into()]);
            arguments.extend(self.options.node_arguments.iter().cloned());
            let process = self.start_node(&plan.location.name, &arguments)?;
            self.nodes.push(NodeProcess {
                name: plan.location.name.clone(),
                caller_address: plan.caller_address,
                peer_address: plan.peer_address,
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

    /// Polls a path until its status is 200.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 30 seconds.
    pub async fn wait_until_ready(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> miette::Result<()> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let answer = self.caller.get(address, path).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            async_io::Timer::after(READY_POLL_INTERVAL).await;
        }
        miette::bail!("{address}{path} did not become ready")
    }

    /// Returns the calls that the endpoints received.
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
        let endpoint =
            self.declarations.endpoints.iter().find(|endpoint| endpoint.name == faults.endpoint);
        let Some(endpoint) = endpoint else {
            miette::bail!("there is no endpoint {}", faults.endpoint);
        };
        self.caller.post(endpoint.address, "/faults", faults).await?;
        Ok(())
    }

    /// Sets the links that the relay partitions.
    ///
    /// # Errors
    ///
    /// Fails if there is no relay or it does not answer.
    pub async fn set_partitions(&self, partitions: &[types::LinkPartition]) -> miette::Result<()> {
        let Some(relay) = &self.relay else { miette::bail!("there is no relay") };
        let faults = types::RelayFaults { partitions: partitions.to_vec() };
        self.caller.post(relay.control, "/faults", &faults).await?;
        Ok(())
    }

    /// Returns the traffic that the relay carried.
    ///
    /// # Errors
    ///
    /// Fails if there is no relay or it does not answer.
    pub async fn link_stats(&self) -> miette::Result<types::RelayStats> {
        let Some(relay) = &self.relay else { miette::bail!("there is no relay") };
        let answer = self.caller.get(relay.control, "/stats").await?;
        serde_json::from_slice(answer.body()).into_diagnostic()
    }

    /// Restarts a node that has exited, with the same arguments.
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
            let exit_code = node.process.wait(STOP_TIMEOUT).await;
            if exit_code != Some(0) {
                miette::bail!("{} exited with {exit_code:?}", node.name);
            }
        }
        Ok(())
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        fs::remove_file(&self.declarations_file).ok();
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

/// Starts stand-ins for the endpoints of a declarations file.
///
/// # Errors
///
/// Fails if the process cannot be started.
pub fn start_endpoints(
    program: &path::Path,
    declarations: &path::Path,
    extra_arguments: &[&str],
) -> miette::Result<process::ChildProcess> {
    let file = declarations.to_string_lossy();
    let mut arguments = vec!["endpoints", "--declarations", &file];
    arguments.extend(extra_arguments);
    process::ChildProcess::new(program, &arguments)
}

/// Addresses of one node to start.
#[derive(Clone, Debug)]
struct NodePlan {
    location: NodeLocation,
    caller_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    advertise_address: net::SocketAddr,
    platform_address: net::SocketAddr,
}

impl NodePlan {
    fn vm_record(&self) -> wire::VmRecord {
        wire::VmRecord {
            address: self.advertise_address,
            state: wire::VmState::Live,
            vm: self.location.name.clone(),
            zone: self.location.zone.clone(),
        }
    }

    fn arguments(&self) -> Vec<ids::Text> {
        let flags: [&str; 16] = [
            "product",
            "node",
            "--node",
            &self.location.name,
            "--vm",
            &self.location.name,
            "--zone",
            &self.location.zone,
            "--region",
            &self.location.region,
            "--caller-address",
            &self.caller_address.to_string(),
            "--peer-address",
            &self.peer_address.to_string(),
            "--platform-address",
            &self.platform_address.to_string(),
        ];
        let mut arguments: Vec<_> = flags.map(ids::Text::from).into();
        if self.advertise_address != self.peer_address {
            arguments
                .extend(["--advertise-address".into(), self.advertise_address.to_string().into()]);
        }
        arguments
    }
}

fn plan_nodes(
    locations: &[NodeLocation],
    addresses: &[net::SocketAddr],
    platform_address: net::SocketAddr,
) -> Vec<NodePlan> {
    let (callers, peers) = addresses.split_at(locations.len());
    let pairs = locations.iter().zip(callers.iter().zip(peers));
    let plan =
        |(location, (caller, peer)): (&NodeLocation, (&net::SocketAddr, &net::SocketAddr))| {
            let location = location.clone();
            NodePlan {
                location,
                caller_address: *caller,
                peer_address: *peer,
                advertise_address: *peer,
                platform_address,
            }
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
