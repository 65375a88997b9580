//! Dispatch of pieces to the node that batches their service, and the peer messages for it.

use super::{
    batcher,
    placement::{placement_board, placement_client},
    rollout::report_exchange,
    state, table_exchange,
};
use crate::{
    membership::peer,
    transport::{deadline as deadlines, failure, http_client, http_message, http_server},
};
use comfreyspread_policy::{peer_health, piece_group};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use std::{net, sync, time};

/// Path of a request to run pieces, answered by a [`types::PieceReply`].
pub const PIECE_PATH: &str = "/peer/pieces";
/// Path of a request for expected waits, answered by a [`types::WaitReply`].
pub const WAIT_PATH: &str = "/peer/pieces/wait";
/// Path of a request to release results, answered by a [`types::ResultReleaseReply`].
pub const RELEASE_PATH: &str = "/peer/results/release";

/// Number of nodes tried in turn as the batching node before this node batches a group itself.
const MAX_BATCHING_NODES: usize = 3;
/// Timeout of a request to release results.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Timeout of a request for expected waits.
const WAIT_REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time after the pieces' deadline within which the batching node may still reply.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(100);

/// The pieces of one stage, with the service and region that run them.
#[derive(Clone, Debug)]
pub struct StageGroup {
    /// Service that runs the pieces.
    pub service: ids::ServiceName,
    /// Region whose endpoints run the pieces.
    pub region: ids::RegionId,
    /// The pieces and their deadlines.
    pub group: piece_group::PieceGroup,
}

impl StageGroup {
    fn scope(&self) -> batcher::BatchScope {
        batcher::BatchScope { service: self.service.clone(), region: self.region.clone() }
    }
}

/// Runs the pieces of a stage and returns their outcomes. Batching nodes that fail are ejected, and
/// this node batches the pieces itself if none is left to try.
pub async fn run(
    state: &sync::Arc<state::GatewayState>,
    stage_group: &StageGroup,
) -> batcher::GroupOutcomes {
    for _ in 0..MAX_BATCHING_NODES {
        if stage_group.group.deadline <= time::Instant::now() {
            let late = types::PieceOutcome::Failed(types::PieceError::Late);
            return vec![late; stage_group.group.tasks.len()];
        }
        let (node, address) = state.batching_node(&stage_group.service, &stage_group.region);
        let Some(address) = address else { break };
        match send_to_node(state, stage_group, &node, address).await {
            Ok(outcomes) => return outcomes,
            Err(failure) => {
                log::warn!(node = node.as_ref(), service = stage_group.service.as_ref();
                    "pieces: batching node ejected. error={failure}");
                state.peer_health.lock().eject(&node, time::Instant::now());
                state.context.metrics.stages.count_skipped_node();
            }
        }
    }
    batcher::run_group(state, &stage_group.scope(), stage_group.group.clone()).await
}

/// Sends pieces to the node that batches their service and returns the outcomes it reports.
///
/// # Errors
///
/// Fails if the node cannot be reached, stops responding or reports a different number of pieces.
async fn send_to_node(
    state: &sync::Arc<state::GatewayState>,
    stage_group: &StageGroup,
    node: &ids::NodeId,
    address: net::SocketAddr,
) -> Result<batcher::GroupOutcomes, failure::CallFailure> {
    let message = build_request(state, stage_group);
    let deadline = stage_group.group.deadline + REPLY_MARGIN;
    let connection = http_client::ConnectionUse::Pooled;
    let path = PIECE_PATH;
    let exchange = peer::exchange(&state.context, address, path, &message, connection, deadline);
    let probe_failure = async {
        probe_until_failure(state, &stage_group.service, node, address).await;
        let detail = "the batching node stopped responding";
        Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail))
    };
    let reply: types::PieceReply = exchange.or(probe_failure).await?;
    if reply.outcomes.len() != stage_group.group.tasks.len() {
        let detail = format!("the reply has {} outcomes, not one per piece", reply.outcomes.len());
        return Err(failure::CallFailure::new(types::ProblemKind::Internal, detail));
    }
    state.peer_health.lock().record_reply(node, time::Instant::now());
    Ok(reply.outcomes)
}

/// Probes a batching node whenever it has not replied for a while; returns once a probe fails.
async fn probe_until_failure(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::ServiceName,
    node: &ids::NodeId,
    address: net::SocketAddr,
) {
    loop {
        deadlines::DeadlineTimer::after(peer_health::PROBE_DELAY).await;
        if !state.peer_health.lock().needs_probe(node, time::Instant::now()) {
            continue;
        }
        if let Err(failure) = fetch_waits(state, service, address).await {
            log::warn!(node = node.as_ref();
                "pieces: batching node does not respond. error={failure}");
            return;
        }
    }
}

/// Requests the expected waits of new pieces of a service from a batching node.
///
/// # Errors
///
/// Fails if the node does not reply in time.
pub async fn fetch_waits(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::ServiceName,
    address: net::SocketAddr,
) -> Result<Vec<types::PriorityWait>, failure::CallFailure> {
    let header = state.context.peer_header();
    let message = types::WaitRequest { header, service: service.clone() };
    let deadline = time::Instant::now() + WAIT_REPLY_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let reply: types::WaitReply =
        peer::exchange(&state.context, address, WAIT_PATH, &message, connection, deadline).await?;
    state.peer_health.lock().record_reply(&reply.header.node, time::Instant::now());
    Ok(reply.waits)
}

/// Releases results through the node that made them: this one, after other nodes failed, else the
/// node that batches their service.
pub fn release(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::ServiceName,
    region: &ids::RegionId,
    handles: Vec<ids::ResultHandle>,
) {
    let scope = batcher::BatchScope { service: service.clone(), region: region.clone() };
    let handles = batcher::release_own(state, &scope, handles);
    if handles.is_empty() {
        return;
    }
    let (_, address) = state.batching_node(service, region);
    let Some(address) = address else {
        batcher::release(state, &scope, &handles);
        return;
    };
    let header = state.context.peer_header();
    let message = types::ResultRelease { handles, header, service: service.clone() };
    let task_state = state.clone();
    state.context.spawner.detach(async move {
        let deadline = time::Instant::now() + RELEASE_TIMEOUT;
        let connection = http_client::ConnectionUse::Pooled;
        let context = &task_state.context;
        let path = RELEASE_PATH;
        let receipt: Result<types::ResultReleaseReply, _> =
            peer::exchange(context, address, path, &message, connection, deadline).await;
        if let Err(failure) = receipt {
            log::debug!("pieces: release not delivered, released directly. error={failure}");
            batcher::release(&task_state, &scope, &message.handles);
        }
    });
}

fn build_request(state: &state::GatewayState, stage_group: &StageGroup) -> types::PieceRequest {
    let now = time::Instant::now();
    let group = &stage_group.group;
    let time_left = group.deadline.saturating_duration_since(now);
    types::PieceRequest {
        result_bytes: group.result_bytes,
        header: state.context.peer_header(),
        inputs_expire_in: group
            .inputs_expire_at
            .map_or(time::Duration::ZERO, |expires_at| expires_at.saturating_duration_since(now)),
        time_left,
        tasks: group.tasks.clone(),
        priority: group.priority,
        region: stage_group.region.clone(),
        service: stage_group.service.clone(),
        target: group.target.saturating_duration_since(now),
        zone: group.zone.clone(),
    }
}

/// Serves the peer messages of this module, of [`table_exchange`], [`report_exchange`] and
/// [`placement_board`].
pub struct PieceExtension {
    state: sync::Arc<state::GatewayState>,
}

impl PieceExtension {
    /// Creates the extension.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    /// Returns the scope of messages that name no region: they go to a node of the region.
    fn own_scope(&self, service: ids::ServiceName) -> batcher::BatchScope {
        batcher::BatchScope { service, region: self.state.settings.region.clone() }
    }

    /// Refuses pieces for a region that is not of the deployment: its queue and task would last as
    /// long as the process.
    async fn run(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::PieceRequest = peer::decode_message(&self.state.context, request)?;
        self.state.check_region(&message.region)?;
        let now = time::Instant::now();
        let group = piece_group::PieceGroup {
            tasks: message.tasks,
            priority: message.priority,
            result_bytes: message.result_bytes,
            target: now + message.target,
            deadline: now + message.time_left,
            zone: message.zone,
            inputs_expire_at: (!message.inputs_expire_in.is_zero())
                .then(|| now + message.inputs_expire_in),
        };
        let scope = batcher::BatchScope { service: message.service, region: message.region };
        let outcomes = batcher::run_group(&self.state, &scope, group);
        let outcomes = request
            .connection_monitor()
            .run_while_connected(outcomes)
            .await
            .ok_or_else(peer::sender_disconnected)?;
        let header = self.state.context.peer_header();
        peer::encode_reply(&types::PieceReply { header, outcomes })
    }

    fn wait(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::WaitRequest = peer::decode_message(&self.state.context, request)?;
        let header = self.state.context.peer_header();
        let waits = batcher::waits(&self.state, &self.own_scope(message.service));
        peer::encode_reply(&types::WaitReply { header, waits })
    }

    fn release(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::ResultRelease = peer::decode_message(&self.state.context, request)?;
        batcher::release(&self.state, &self.own_scope(message.service), &message.handles);
        peer::encode_reply(&types::ResultReleaseReply { header: self.state.context.peer_header() })
    }
}

impl peer::PeerExtension for PieceExtension {
    fn serve<'answer>(
        &'answer self,
        path: &str,
        request: &'answer http_server::ServerRequest,
    ) -> Option<peer::ResponseFuture<'answer>> {
        match path {
            PIECE_PATH => Some(Box::pin(self.run(request))),
            RELEASE_PATH => Some(Box::pin(async move { self.release(request) })),
            table_exchange::TABLE_PATH => {
                Some(Box::pin(async move { table_exchange::serve(&self.state, request).await }))
            }
            placement_client::PLACE_PATH => {
                Some(Box::pin(async move { placement_board::serve_request(&self.state, request) }))
            }
            placement_client::COSTS_PATH => {
                Some(Box::pin(async move { placement_board::serve_costs(&self.state, request) }))
            }
            placement_client::NEWS_PATH => {
                Some(Box::pin(async move { placement_board::serve_notice(&self.state, request) }))
            }
            report_exchange::REPORT_PATH => {
                Some(Box::pin(async move { report_exchange::serve(&self.state, request) }))
            }
            WAIT_PATH => Some(Box::pin(async move { self.wait(request) })),
            _ => None,
        }
    }
}
