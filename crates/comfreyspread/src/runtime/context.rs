//! State shared by all parts of a node: settings, tables, clients, metrics and the task spawner.

use crate::{
    configuration::distribution,
    runtime::{drain_limit, metrics, platform_client, settings, tables, worker},
    transport::{activity_counter, http_client},
};
use comfreyspread_schema::{ids, types};
use std::{
    fmt,
    sync::{self, atomic},
    time,
};

/// Version of the protocol between nodes.
pub const PEER_PROTOCOL_VERSION: u32 = 1;

/// Shared context of one node.
pub struct NodeContext {
    /// Settings of the node.
    pub settings: settings::NodeSettings,
    /// Random identifier of this process, drawn at its start.
    pub process_start: ids::ProcessStartId,
    /// Shared tables.
    pub tables: tables::SharedTables,
    /// HTTP client for endpoints and other nodes.
    pub client: http_client::HttpClient,
    /// Client of the platform's services.
    pub platform: platform_client::PlatformClient,
    /// Metrics of the process.
    pub metrics: metrics::NodeMetrics,
    /// Spawns tasks on the worker threads.
    pub spawner: worker::TaskSpawner,
    /// Notifications of newer configuration revisions.
    pub configuration_watch: distribution::RevisionNotifier,
    /// Caller requests in progress.
    pub active_requests: sync::Arc<activity_counter::ActivityCounter>,
    /// End of a planned stop.
    pub drain_limit: drain_limit::DrainLimit,
    next_request_number: atomic::AtomicU64,
}

impl fmt::Debug for NodeContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("NodeContext").field("node", &self.settings.node).finish()
    }
}

impl NodeContext {
    /// Creates the context of a starting node.
    pub fn new(settings: settings::NodeSettings, spawner: worker::TaskSpawner) -> Self {
        let platform =
            platform_client::PlatformClient::new(settings.platform_address, settings.store_timeout)
                .with_agent(&settings.node);
        let process_start = rand::random();
        Self {
            process_start,
            tables: tables::SharedTables::new(&settings, process_start, time::Instant::now()),
            client: http_client::HttpClient::new(settings.body_limit)
                .with_user_agent(&settings.node),
            platform,
            metrics: metrics::NodeMetrics::new(),
            spawner,
            configuration_watch: distribution::RevisionNotifier::new(),
            active_requests: sync::Arc::new(activity_counter::ActivityCounter::new()),
            drain_limit: drain_limit::DrainLimit::new(),
            next_request_number: atomic::AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the header for a message to another node.
    pub fn peer_header(&self) -> types::PeerHeader {
        types::PeerHeader {
            node: self.settings.node.clone(),
            protocol: PEER_PROTOCOL_VERSION,
            revision: self.tables.catalog().revision(),
            start_id: self.process_start,
        }
    }

    /// Whether the node's zone and VM are in service, as set by operators.
    pub fn in_service(&self) -> bool {
        self.tables.catalog().vm_in_service(&self.settings.zone, &self.settings.vm)
    }

    /// Whether the node accepts new requests: it is serving and in service, and has acquired all
    /// its endpoints.
    pub fn ready(&self) -> bool {
        let serving = self.tables.phase() == types::NodePhase::Serving;
        serving && self.in_service() && self.tables.ownership.lock().has_acquired_all()
    }

    /// Returns a unique identifier for a new request.
    pub fn next_request_id(&self) -> ids::RequestId {
        let number = self.next_request_number.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}-{:08x}-{number}", self.settings.node, self.process_start & 0xffff_ffff).into()
    }

    /// Returns the number of caller requests in progress.
    pub fn active_request_count(&self) -> u64 {
        u64::try_from(self.active_requests.count()).unwrap_or(u64::MAX)
    }

    /// Counts a caller request as in progress until the guard is dropped.
    pub fn track_request(&self) -> activity_counter::ActivityGuard {
        self.active_requests.track()
    }

    /// Returns the time `timeout` from now.
    pub fn deadline(&self, timeout: time::Duration) -> time::Instant {
        time::Instant::now() + timeout
    }
}
