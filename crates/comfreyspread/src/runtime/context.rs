//! What every part of a node needs: identity, settings, tables, clients and workers.

use crate::{
    configuration::distribution,
    runtime::{metrics, platform, settings, tables, worker},
    transport::{http_client, tally},
};
use comfreyspread_schema::{ids, types};
use std::{fmt, sync, sync::atomic, time};

/// Version of the protocol between nodes.
pub const PEER_PROTOCOL_VERSION: u32 = 1;

/// Shared context of one node.
pub struct NodeContext {
    /// Settings of the node.
    pub settings: settings::NodeSettings,
    /// Number drawn at the start of the process.
    pub start: ids::ProcessStartId,
    /// Shared tables.
    pub tables: tables::SharedTables,
    /// Client for endpoints and other nodes.
    pub client: http_client::HttpClient,
    /// Client of the platform's services.
    pub platform: platform::PlatformClient,
    /// Metrics of the process.
    pub metrics: metrics::NodeMetrics,
    /// Starts tasks.
    pub spawner: worker::TaskSpawner,
    /// Events of the configuration.
    pub watch: distribution::RevisionNotifier,
    /// Caller requests in progress.
    pub active: sync::Arc<tally::ActivityTally>,
    requests: atomic::AtomicU64,
}

impl fmt::Debug for NodeContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("NodeContext").field("node", &self.settings.node).finish()
    }
}

impl NodeContext {
    /// Creates the context of a node that starts.
    pub fn new(settings: settings::NodeSettings, spawner: worker::TaskSpawner) -> Self {
        let platform =
            platform::PlatformClient::new(settings.platform_address, settings.store_timeout)
                .with_agent(&settings.node);
        let start = rand::random();
        Self {
            start,
            tables: tables::SharedTables::new(&settings, start, time::Instant::now()),
            client: http_client::HttpClient::new(settings.body_limit).with_agent(&settings.node),
            platform,
            metrics: metrics::NodeMetrics::new(),
            spawner,
            watch: distribution::RevisionNotifier::new(),
            active: sync::Arc::new(tally::ActivityTally::new()),
            requests: atomic::AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the header of a message to another node.
    pub fn peer_header(&self) -> types::PeerHeader {
        types::PeerHeader {
            node: self.settings.node.clone(),
            protocol: PEER_PROTOCOL_VERSION,
            revision: self.tables.catalog().revision(),
            start_id: self.start,
        }
    }

    /// Whether operators let the node's zone and VM take new work.
    pub fn in_service(&self) -> bool {
        self.tables.catalog().vm_in_service(&self.settings.zone, &self.settings.vm)
    }

    /// Whether the node asks for new requests: it serves, is in service and knows its endpoints.
    pub fn ready(&self) -> bool {
        let serving = self.tables.phase() == types::NodePhase::Serving;
        serving && self.in_service() && self.tables.ownership.lock().has_acquired_all()
    }

    /// Returns an identifier for a new request.
    pub fn next_request(&self) -> ids::RequestId {
        let number = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{}-{:08x}-{number}", self.settings.node, self.start & 0xffff_ffff).into()
    }

    /// Returns the number of caller requests in progress.
    pub fn active_requests(&self) -> u64 {
        u64::try_from(self.active.count()).unwrap_or(u64::MAX)
    }

    /// Counts a caller request as in progress until the guard is dropped.
    pub fn begin_request(&self) -> tally::ActivityGuard {
        self.active.begin()
    }

    /// Returns the moment `budget` from now.
    pub fn deadline(&self, budget: time::Duration) -> time::Instant {
        time::Instant::now() + budget
    }
}
