//! Stand-ins for the users' platform: its store, engines, stage workers and plain services, all in
//! one process, and gateway nodes that run against them as separate processes.
//!
//! The endpoints record the requests they receive. Checks rely on those records, never on what a
//! node reports.

use crate::{fleet_endpoint, fleet_faults, fleet_log, fleet_store, process, stand_in_server};
use comfreyspread::{runtime::worker, transport::http_message};
use comfreyspread_schema::ids;
use http::Method;
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use std::{
    env, fs, net, path,
    sync::{self, atomic},
    time,
};

/// Sample route document.
const SAMPLE: &str = include_str!("../samples/fleet.json");
/// Name, service and kind of the endpoints of the sample.
const SAMPLE_ENDPOINTS: [(&str, &str, EndpointKind); 6] = [
    ("ledger-1", "ledger", EndpointKind::Plain),
    ("ledger-2", "ledger", EndpointKind::Plain),
    ("engine-1", "engine", EndpointKind::Engine),
    ("engine-2", "engine", EndpointKind::Engine),
    ("worker-1", "prepare", EndpointKind::Worker),
    ("worker-2", "prepare", EndpointKind::Worker),
];
/// Host of all routes.
pub const HOST: &str = "fleet.example";
/// API key of the only workspace.
pub const API_KEY: &str = "fleet-key";
/// Path at which an endpoint runs pieces.
pub const PIECES_PATH: &str = "/v1/stage-run";
/// Lets the system pick a free port, which avoids a race with other processes for a probed one.
const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);
const HEARTBEAT_MS: u64 = 1200;

/// Kind of an endpoint stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
    /// A worker of a stage service.
    Worker,
}

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Endpoint.
    pub endpoint: ids::EndpointId,
    /// Path.
    pub path: ids::Text,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the endpoint ran it.
    pub ran: bool,
}

/// Store and endpoints that the nodes run against.
#[derive(Debug)]
pub struct FleetStandIn {
    store: sync::Arc<fleet_store::StoreHandler>,
    store_address: net::SocketAddr,
    records: sync::Arc<fleet_log::RequestLog>,
    endpoints: IndexMap<ids::EndpointId, sync::Arc<fleet_endpoint::EndpointHandler>>,
    spawner: worker::TaskSpawner,
    log_folder: Option<path::PathBuf>,
}

/// Returns the sample route document with the given version.
///
/// # Errors
///
/// Fails if the sample is not JSON.
pub fn sample_route_document(version: u64) -> miette::Result<serde_json::Value> {
    let mut document: serde_json::Value = serde_json::from_str(SAMPLE).into_diagnostic()?;
    document["version"] = version.into();
    Ok(document)
}

impl FleetStandIn {
    /// Starts a store with the sample route document, and two endpoints for each of its services.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn with_sample(spawner: &worker::TaskSpawner) -> miette::Result<Self> {
        let fleet = Self::new(spawner, &SAMPLE_ENDPOINTS).await?;
        fleet.set_route_document(&sample_route_document(1)?);
        Ok(fleet)
    }

    /// Starts a store and one endpoint for each of `endpoints`: its name, service and kind.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn new(
        spawner: &worker::TaskSpawner,
        endpoints: &[(&str, &str, EndpointKind)],
    ) -> miette::Result<Self> {
        let store = sync::Arc::new(fleet_store::StoreHandler::default());
        let store_address = stand_in_server::start(ANY_PORT, store.clone(), spawner).await?;
        let mut fleet = Self {
            store,
            store_address,
            records: sync::Arc::default(),
            endpoints: IndexMap::new(),
            spawner: spawner.clone(),
            log_folder: None,
        };
        for (name, service, kind) in endpoints {
            fleet.add_endpoint(name, service, *kind).await?;
        }
        Ok(fleet)
    }

    /// Adds an endpoint in availability zone `a`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn add_endpoint(
        &mut self,
        name: &str,
        service: &str,
        kind: EndpointKind,
    ) -> miette::Result<()> {
        self.add_endpoint_in("a", name, service, kind).await
    }

    /// Adds an endpoint in an availability zone: `a` is in region `r`, that of the nodes, and `b` in
    /// region `s`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn add_endpoint_in(
        &mut self,
        zone: &str,
        name: &str,
        service: &str,
        kind: EndpointKind,
    ) -> miette::Result<()> {
        let records = self.records.clone();
        let handler = sync::Arc::new(fleet_endpoint::EndpointHandler::new(name, kind, records));
        let address = stand_in_server::start(ANY_PORT, handler.clone(), &self.spawner).await?;
        handler.set_address(address);
        self.endpoints.insert(name.into(), handler);
        let registration = serde_json::json!({
            "service": service, "address": address, "zone": zone, "slots": 4, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        self.store.put("servers", name, Some(registration.to_string().into()));
        Ok(())
    }

    /// Adds an endpoint in availability zone `a` that runs a version of its software.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn add_version(
        &mut self,
        name: &str,
        service: &str,
        version: &str,
    ) -> miette::Result<()> {
        let records = self.records.clone();
        let kind = EndpointKind::Plain;
        let handler = sync::Arc::new(fleet_endpoint::EndpointHandler::new(name, kind, records));
        let address = stand_in_server::start(ANY_PORT, handler.clone(), &self.spawner).await?;
        handler.set_address(address);
        self.endpoints.insert(name.into(), handler);
        let registration = serde_json::json!({
            "service": service, "address": address, "zone": "a", "slots": 4, "state": "ready",
            "cold_left_ms": 0, "seq": 1, "born": 1, "version": version,
        });
        self.store.put("servers", name, Some(registration.to_string().into()));
        Ok(())
    }

    /// Appends the logs of nodes started from now on to files in `folder`.
    pub fn set_log_folder(&mut self, folder: path::PathBuf) {
        self.log_folder = Some(folder);
    }

    /// Sets the route document.
    pub fn set_route_document(&self, document: &serde_json::Value) {
        self.store.put("op", "config", Some(document.to_string().into()));
    }

    /// Sets or removes a row of the store.
    pub fn set_row(&self, table: &str, key: &str, value: Option<&str>) {
        self.store.put(table, key, value.map(Into::into));
    }

    /// Sets a row of the store that is sent as `text`, which is JSON of any form.
    pub fn set_raw_row(&self, table: &str, key: &str, text: &str) {
        self.store.put_raw(table, key, text);
    }

    /// Sets how many rows the store sends at most in a page of a table.
    pub fn set_page_rows(&self, count: usize) {
        self.store.set_page_rows(count);
    }

    /// Returns the store, to copy and restore it.
    pub fn store(&self) -> &fleet_store::StoreHandler {
        &self.store
    }

    /// Returns the rows of a table of the store, by key.
    pub fn rows(&self, table: &str) -> Vec<(ids::Text, ids::Text)> {
        self.store.rows(table)
    }

    /// Sets whether the store rejects all calls.
    pub fn set_store_down(&self, down: bool) {
        self.store.set_down(down);
    }

    /// Sets whether the store stops answering; calls pending at that time are never answered.
    pub fn set_store_silent(&self, silent: bool) {
        self.store.set_unresponsive(silent);
    }

    /// Returns the number of calls that the store received.
    pub fn store_calls(&self) -> u64 {
        self.store.request_count()
    }

    /// Returns the size of all row values that the store sent, in encoded bytes.
    pub fn store_sent_bytes(&self) -> u64 {
        self.store.sent_bytes()
    }

    /// Returns the address of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if there is no endpoint of that name.
    pub fn address(&self, endpoint: &str) -> miette::Result<net::SocketAddr> {
        let address = self.endpoints.get(endpoint).and_then(|endpoint| endpoint.address());
        address.ok_or_else(|| miette::miette!("there is no endpoint {endpoint}"))
    }

    /// Returns the faults of an endpoint.
    pub fn faults(&self, endpoint: &str) -> &fleet_faults::FleetFaults {
        self.endpoints[endpoint].faults()
    }

    /// Returns the number of requests that engines and plain services are running.
    pub fn running_requests(&self) -> usize {
        self.records.running.load(atomic::Ordering::Relaxed)
    }

    /// Returns the requests that the endpoints received.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.records.lock().clone()
    }

    /// Starts a node and waits until it is ready; `seeds` are peer addresses of other nodes.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or does not become ready.
    pub async fn start_node(
        &self,
        program: &path::Path,
        name: &str,
        seeds: &[net::SocketAddr],
    ) -> miette::Result<FleetNode> {
        let node = FleetNode::start(self, program, name, seeds, "")?;
        node.wait_until_ready().await?;
        Ok(node)
    }
}

/// A running node.
#[derive(Debug)]
pub struct FleetNode {
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for readiness probes, metrics and dumps.
    pub admin_address: net::SocketAddr,
    /// Address for other nodes.
    pub peer_address: net::SocketAddr,
    /// The process.
    pub process: process::ChildProcess,
    settings_file: path::PathBuf,
}

impl FleetNode {
    /// Starts a node without waiting for it; `settings` are lines of its settings file that replace
    /// the usual ones.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started.
    pub fn start(
        fleet: &FleetStandIn,
        program: &path::Path,
        name: &str,
        seeds: &[net::SocketAddr],
        settings: &str,
    ) -> miette::Result<Self> {
        let [caller_address, admin_address, peer_address] =
            [(); 3].map(|()| process::free_address());
        let (caller_address, admin_address, peer_address) =
            (caller_address?, admin_address?, peer_address?);
        let settings_file =
            env::temp_dir().join(format!("comfreyspread-fleet-{}.conf", caller_address.port()));
        let seeds: Vec<_> = seeds.iter().chain([&peer_address]).map(ToString::to_string).collect();
        let text = format!(
            "node_name={name}\nzone=a\nregion=r\nzones.a=r\nzones.b=s\nlisten.front={caller_address}\n\
             listen.ready={admin_address}\nlisten.control={peer_address}\nseeds={}\n\
             platform.address={}\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             heartbeat_ms={HEARTBEAT_MS}\nbounds.contact_ms=4000\nbounds.drain_ms=2500\n\
             bounds.grace_s=8\nbounds.reuse_after_s=2\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_slack=56\nbounds.budget_window_s=10\nbounds.cold_overshoot=1.5\n\
             bounds.cold_slack=5\nbounds.exposure_share=0.1\nbounds.exposure_slack=50\n\
             bounds.rollback_ms=5000\n{settings}",
            seeds.join(","),
            fleet.store_address
        );
        fs::write(&settings_file, text).into_diagnostic()?;
        let arguments = ["product", "gateway", "--settings", &settings_file.to_string_lossy()];
        let process = match &fleet.log_folder {
            Some(folder) => {
                let log = folder.join(format!("{name}.log"));
                process::ChildProcess::with_log(program, &arguments, &log)?
            }
            None => process::ChildProcess::new(program, &arguments)?,
        };
        Ok(Self { caller_address, admin_address, peer_address, process, settings_file })
    }

    /// Appends lines to the node's settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written.
    pub fn add_settings(&self, lines: &str) -> miette::Result<()> {
        let text = fs::read_to_string(&self.settings_file).into_diagnostic()?;
        fs::write(&self.settings_file, format!("{text}{lines}")).into_diagnostic()
    }

    /// Polls the node until it reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than 20 seconds.
    pub async fn wait_until_ready(&self) -> miette::Result<()> {
        const READY_TIMEOUT: time::Duration = time::Duration::from_secs(20);
        let client = comfreyspread::transport::http_client::HttpClient::new(1024);
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let url = format!("http://{}/v1/ready", self.admin_address);
            let request = http_message::Request::new(Method::GET, &url);
            let connection = comfreyspread::transport::http_client::ConnectionUse::Fresh;
            let answer = client.call(self.admin_address, request, connection, deadline).await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            async_io::Timer::after(time::Duration::from_millis(20)).await;
        }
        miette::bail!("the node did not become ready")
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        fs::remove_file(&self.settings_file).ok();
    }
}
