//! Shared state of the gateway.

use crate::{
    runtime::{context, lock_rank, memory_plan},
    transport::{failure, http_client, response_memory},
};
use comfreyspread_platform::piece_call;
use comfreyspread_policy::{
    endpoint_directory, first_event, peer_health, rendezvous, rollout_table, route_table,
    service_retry_budget, wait_table,
};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{fmt, net, sync, sync::atomic, time};

use super::{
    batcher,
    placement::{placement_board, placement_news},
    rollout::active_decider,
    store_client, table_watcher,
};

/// Maximum size of a response that is buffered, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Idle timeout of connections to endpoints.
const ENDPOINT_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(2500);
/// Added to the number of live nodes when a global limit is divided among nodes.
const SPARE_NODES: usize = 4;

/// Shared state of a gateway node.
pub struct GatewayState {
    /// Context of the node.
    pub context: sync::Arc<context::NodeContext>,
    /// Settings from the platform.
    pub settings: types::GatewaySettings,
    /// Regions of the deployment, sorted.
    pub regions: Vec<ids::RegionId>,
    /// Copies of the store's tables.
    pub store_tables:
        lock_rank::RankedLock<lock_rank::StoreTableRank, table_watcher::WatchedTables>,
    /// Active route table.
    pub routes: lock_rank::RankedLock<lock_rank::RouteRank, sync::Arc<route_table::RouteTable>>,
    /// Roll-outs of endpoint software.
    pub rollouts: lock_rank::RankedLock<lock_rank::RolloutRank, rollout_table::RolloutTable>,
    /// Roll-outs that this node decides on.
    pub deciders: lock_rank::RankedLock<lock_rank::DeciderRank, active_decider::DeciderTable>,
    /// Notified when orders or states of roll-outs have changed.
    pub rollouts_changed: event_listener::Event,
    /// Engines on which this node places requests.
    pub boards: lock_rank::RankedLock<lock_rank::BoardRank, placement_board::BoardTable>,
    /// Placements of this node's requests.
    pub placements: lock_rank::RankedLock<lock_rank::PlacementRank, placement_news::PlacementTable>,
    /// Notified when placing nodes have to be told of placements.
    pub placements_changed: event_listener::Event,
    /// Registered endpoints.
    pub directory:
        lock_rank::RankedLock<lock_rank::DirectoryRank, endpoint_directory::EndpointDirectory>,
    /// Times from the start of an attempt to its first event.
    pub first_events:
        lock_rank::RankedLock<lock_rank::FirstEventRank, first_event::FirstEventTimes>,
    /// Batchers of the stage services that this node batches.
    pub batchers: lock_rank::RankedLock<lock_rank::BatchRank, batcher::BatcherTable>,
    /// Expected waits at stage services, as reported by batching nodes.
    pub waits: lock_rank::RankedLock<lock_rank::WaitRank, wait_table::WaitTable>,
    /// Health of the batching nodes.
    pub peer_health: lock_rank::RankedLock<lock_rank::PeerHealthRank, peer_health::PeerHealth>,
    /// Retry budgets, shared by all nodes.
    pub retry_budget: lock_rank::RankedLock<
        lock_rank::ServiceRetryRank,
        service_retry_budget::ServiceRetryBudget,
    >,
    /// Client for endpoints.
    pub client: http_client::HttpClient,
    /// Client for the platform's store.
    pub store: store_client::StoreClient,
    /// Notified when other routes become active.
    pub routes_changed: event_listener::Event,
    /// Notified when rows of a table have changed.
    pub tables_changed: event_listener::Event,
    /// Whether the endpoints have been loaded.
    pub endpoints_loaded: atomic::AtomicBool,
}

fn to_size(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

impl fmt::Debug for GatewayState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("GatewayState").field("node", &self.settings.node).finish()
    }
}

impl GatewayState {
    /// Creates the state of a node before any table is loaded.
    pub fn new(context: sync::Arc<context::NodeContext>, settings: types::GatewaySettings) -> Self {
        let rules = service_retry_budget::RetryRules {
            ratio: settings.retry_ratio,
            allowance: settings.retry_allowance,
            window: settings.retry_window,
        };
        let mut regions: Vec<_> = settings.zones.values().cloned().collect();
        regions.sort_unstable();
        regions.dedup();
        let zones = settings.zones.iter();
        let zones = zones.map(|(zone, region)| (zone.as_str().into(), region.clone())).collect();
        let mut directory = endpoint_directory::EndpointDirectory::new(zones);
        if settings.exposure_share > 0.0 {
            directory.versions_mut().enable_rollouts();
        }
        let mut client = http_client::HttpClient::new(MAX_RESPONSE_BYTES)
            .with_idle_timeout(ENDPOINT_IDLE_TIMEOUT);
        let stages = context.metrics.stages.clone();
        let mut store = store_client::StoreClient::new(settings.store_address, stages);
        if settings.memory_bytes > 0 {
            let plan = memory_plan::MemoryPlan::new(settings.memory_bytes);
            let memory = response_memory::ResponseMemory::new(to_size(plan.endpoint_responses));
            client = client.with_memory(memory.with_metrics(context.metrics.responses.clone()));
            let memory = response_memory::ResponseMemory::new(to_size(plan.store_responses));
            store = store.with_memory(memory);
        }
        Self {
            regions,
            boards: lock_rank::RankedLock::default(),
            placements: lock_rank::RankedLock::default(),
            placements_changed: event_listener::Event::new(),
            rollouts: lock_rank::RankedLock::default(),
            deciders: lock_rank::RankedLock::default(),
            rollouts_changed: event_listener::Event::new(),
            store_tables: lock_rank::RankedLock::new(table_watcher::WatchedTables::default()),
            peer_health: lock_rank::RankedLock::new(peer_health::PeerHealth::default()),
            routes: lock_rank::RankedLock::new(sync::Arc::default()),
            directory: lock_rank::RankedLock::new(directory),
            first_events: lock_rank::RankedLock::new(first_event::FirstEventTimes::default()),
            batchers: lock_rank::RankedLock::new(batcher::BatcherTable::default()),
            waits: lock_rank::RankedLock::new(wait_table::WaitTable::default()),
            retry_budget: lock_rank::RankedLock::new(
                service_retry_budget::ServiceRetryBudget::new(rules),
            ),
            client,
            store,
            routes_changed: event_listener::Event::new(),
            tables_changed: event_listener::Event::new(),
            endpoints_loaded: atomic::AtomicBool::new(false),
            context,
            settings,
        }
    }

    /// Returns the active route table.
    pub fn routes(&self) -> sync::Arc<route_table::RouteTable> {
        self.routes.lock().clone()
    }

    /// Checks the region that a node names in a message.
    ///
    /// # Errors
    ///
    /// Fails if the deployment does not have the region.
    pub fn check_region(&self, region: &ids::RegionId) -> Result<(), failure::CallFailure> {
        if self.regions.contains(region) {
            return Ok(());
        }
        let detail = format!("region {region} is unknown");
        Err(failure::CallFailure::new(types::ProblemKind::BadRequest, detail))
    }

    /// Returns the availability zone where most of the results are stored; `None` if it is not known
    /// of any.
    pub fn zone_of_most(&self, results: &[ids::ResultHandle]) -> Option<ids::ZoneId> {
        let directory = self.directory.lock();
        let mut zones = IndexMap::<ids::ZoneId, usize>::new();
        let producers = results.iter().filter_map(piece_call::producer_address);
        for zone in producers.filter_map(|producer| directory.zone_at(producer)) {
            *zones.entry(zone.clone()).or_default() += 1;
        }
        zones.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone)
    }

    /// Returns whether the node accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.context.tables.phase() == types::NodePhase::Serving && self.is_loaded()
    }

    /// Returns whether routes and endpoints are loaded.
    pub fn is_loaded(&self) -> bool {
        self.routes.lock().version() > 0 && self.endpoints_loaded.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of nodes among which global limits are divided.
    pub fn sharing_nodes(&self) -> usize {
        self.context.tables.members.lock().live().count() + SPARE_NODES
    }

    /// Returns whether one node of a region places the requests of a service on its engines. If that is
    /// not set, it does where there are as many nodes as an engine runs requests at once: nodes that
    /// choose alone then fill an engine with one request each, and none of them sees it.
    pub fn places_requests(&self, service: &types::ServiceRule) -> bool {
        let Some(engine) = &service.engine else { return false };
        self.context.settings.placement.unwrap_or_else(|| {
            let nodes = self.context.tables.members.lock().live().count();
            u32::try_from(nodes).unwrap_or(u32::MAX) >= engine.slots
        })
    }

    /// Returns how many requests in any second this node may send to a cold endpoint of a
    /// service.
    pub fn cold_rate(&self, service: &types::ServiceRule) -> u32 {
        let all = service.cold_rate * self.settings.cold_rate_factor + self.settings.cold_allowance;
        let share = all / self.sharing_nodes() as f64;
        share.max(0.0) as u32
    }

    /// Returns the node that batches calls to a stage service in a region, and its address; the
    /// address is `None` if it is this node.
    pub fn batching_node(
        &self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
    ) -> (ids::NodeId, Option<net::SocketAddr>) {
        self.role_node(service, region)
    }

    /// Returns the node that places requests on the engines of a service and region, and its address;
    /// the address is `None` if it is this node.
    pub fn placing_node(
        &self,
        scope: &batcher::BatchScope,
    ) -> (ids::NodeId, Option<net::SocketAddr>) {
        self.role_node(&format!("engines/{}", scope.service).into(), &scope.region)
    }

    /// Returns the first serving node of a region by rendezvous hashing with a role, passing over
    /// those that have lately not replied.
    fn role_node(
        &self,
        role: &ids::Text,
        region: &ids::RegionId,
    ) -> (ids::NodeId, Option<net::SocketAddr>) {
        let own = &self.context.settings.node;
        let now = time::Instant::now();
        let members = self.context.tables.members.lock();
        let peer_health = self.peer_health.lock();
        let serving = |record: &&types::MemberRecord| {
            record.region == *region
                && record.node_phase == types::NodePhase::Serving
                && !peer_health.is_ejected(&record.node, now)
        };
        let best = rendezvous::best_member(members.live().filter(serving), role);
        match best {
            Some(record) if record.node != *own => (record.node.clone(), Some(record.address)),
            _ => (own.clone(), None),
        }
    }

    /// Waits until routes and endpoints are loaded.
    pub async fn wait_until_loaded(&self) {
        loop {
            let changed = self.tables_changed.listen();
            if self.is_loaded() {
                return;
            }
            changed.await;
        }
    }
}
