//! What every part of the platform's front end needs.

use crate::{
    runtime::{context, lock_rank},
    transport::http_client,
};
use comfreyspread_policy::{
    endpoint_directory, peer_health, rendezvous, route_table, service_retry_budget, wait_table,
};
use comfreyspread_schema::{ids, types};
use std::{fmt, net, sync, sync::atomic, time};

use super::{batcher, store_client, table_follow};

/// Largest answer that is read whole, in bytes.
pub const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Longest time that a connection to an endpoint is idle.
const ENDPOINT_IDLE_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Nodes counted beside the known ones when a limit over all nodes is shared out.
const SPARE_NODES: usize = 4;

/// State of the platform's front end at one node.
pub struct GatewayState {
    /// The node.
    pub context: sync::Arc<context::NodeContext>,
    /// What the platform said of the VM and the deployment.
    pub machine: types::MachineSettings,
    /// Regions of the deployment, in order.
    pub regions: Vec<ids::RegionId>,
    /// The store's tables as this node knows them.
    pub store_tables:
        lock_rank::RankedLock<lock_rank::StoreTableRank, table_follow::FollowedTables>,
    /// Routes in force.
    pub routes: lock_rank::RankedLock<lock_rank::RouteRank, sync::Arc<route_table::RouteTable>>,
    /// Endpoints that have registered.
    pub directory:
        lock_rank::RankedLock<lock_rank::DirectoryRank, endpoint_directory::EndpointDirectory>,
    /// Queues of stage services that this node batches.
    pub batches: lock_rank::RankedLock<lock_rank::BatchRank, batcher::BatchTable>,
    /// Waits at stage services, as this node was told.
    pub waits: lock_rank::RankedLock<lock_rank::WaitRank, wait_table::WaitTable>,
    /// What was seen of nodes that batch.
    pub sight: lock_rank::RankedLock<lock_rank::PeerHealthRank, peer_health::PeerHealth>,
    /// Shared budget of repeats.
    pub retries: lock_rank::RankedLock<
        lock_rank::ServiceRetryRank,
        service_retry_budget::ServiceRetryBudget,
    >,
    /// Client of endpoints.
    pub client: http_client::HttpClient,
    /// Client of the platform's store.
    pub store: store_client::StoreClient,
    /// Notified when routes or endpoints have come.
    pub news: event_listener::Event,
    /// Whether the endpoints have been read once.
    pub endpoints_read: atomic::AtomicBool,
}

impl fmt::Debug for GatewayState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("GatewayState").field("node", &self.machine.node).finish()
    }
}

impl GatewayState {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(context: sync::Arc<context::NodeContext>, machine: types::MachineSettings) -> Self {
        let rules = service_retry_budget::RetryRules {
            ratio: machine.retry_ratio,
            slack: machine.retry_slack,
            window: machine.retry_window,
        };
        let mut regions: Vec<_> = machine.zones.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let zones = machine.zones.iter();
        let zones = zones.map(|(zone, region)| (zone.as_str().into(), region.clone())).collect();
        Self {
            regions,
            store_tables: lock_rank::RankedLock::new(table_follow::FollowedTables::default()),
            sight: lock_rank::RankedLock::new(peer_health::PeerHealth::default()),
            routes: lock_rank::RankedLock::new(sync::Arc::default()),
            directory: lock_rank::RankedLock::new(endpoint_directory::EndpointDirectory::new(
                zones,
            )),
            batches: lock_rank::RankedLock::new(batcher::BatchTable::default()),
            waits: lock_rank::RankedLock::new(wait_table::WaitTable::default()),
            retries: lock_rank::RankedLock::new(service_retry_budget::ServiceRetryBudget::new(
                rules,
            )),
            client: http_client::HttpClient::new(ANSWER_LIMIT_BYTES)
                .with_idle_limit(ENDPOINT_IDLE_LIMIT),
            store: store_client::StoreClient::new(machine.store_address),
            news: event_listener::Event::new(),
            endpoints_read: atomic::AtomicBool::new(false),
            context,
            machine,
        }
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> sync::Arc<route_table::RouteTable> {
        self.routes.lock().clone()
    }

    /// Whether the node asks for new requests.
    pub fn ready(&self) -> bool {
        self.context.tables.phase() == types::NodePhase::Serving && self.is_informed()
    }

    /// Whether routes and endpoints are known.
    pub fn is_informed(&self) -> bool {
        self.routes.lock().version() > 0 && self.endpoints_read.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of nodes among which limits over all nodes are shared out.
    pub fn sharing_nodes(&self) -> usize {
        self.context.tables.members.lock().live().count() + SPARE_NODES
    }

    /// Returns how many requests in any second this node may send to a cold endpoint of a service.
    pub fn cold_rate(&self, service: &types::ServiceRule) -> u32 {
        let all = service.cold_per_s * self.machine.cold_factor + self.machine.cold_slack;
        let share = all / self.sharing_nodes() as f64;
        share.max(0.0) as u32
    }

    /// Returns the node that batches the calls to a stage service in a region, and its address;
    /// no address if it is this node.
    pub fn batching_node(
        &self,
        service: &ids::EndpointService,
        region: &ids::RegionId,
    ) -> (ids::NodeId, Option<net::SocketAddr>) {
        let own = &self.context.settings.node;
        let now = time::Instant::now();
        let members = self.context.tables.members.lock();
        let sight = self.sight.lock();
        let serving = |record: &&types::MemberRecord| {
            record.region == *region
                && record.node_phase == types::NodePhase::Serving
                && !sight.is_ejected(&record.node, now)
        };
        let best = rendezvous::best_member(members.live().filter(serving), service);
        match best {
            Some(record) if record.node != *own => (record.node.clone(), Some(record.address)),
            _ => (own.clone(), None),
        }
    }

    /// Waits until the node knows routes and endpoints.
    pub async fn informed(&self) {
        loop {
            let news = self.news.listen();
            if self.is_informed() {
                return;
            }
            news.await;
        }
    }
}
