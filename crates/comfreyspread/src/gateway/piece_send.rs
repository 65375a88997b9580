//! Pieces on their way to the node that batches their service, and the messages for it.

use super::{batcher, state, table_peer};
use crate::{
    membership::peer,
    transport::{deadline as deadlines, failure, http_client, http_message, http_server},
};
use comfreyspread_policy::{peer_health, piece_group};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use std::{net, sync, time};

/// Path of a request for pieces, answered by a [`types::PieceReply`].
pub const PIECE_PATH: &str = "/peer/pieces";
/// Path of a question for waits, answered by a [`types::WaitReply`].
pub const WAIT_PATH: &str = "/peer/pieces/wait";
/// Path of a release of results, answered by a [`types::ResultReleased`].
pub const RELEASE_PATH: &str = "/peer/results/release";

/// Nodes that are asked one after the other to batch a group, before this one makes it by itself.
const MOST_BATCHING_NODES: usize = 3;
/// Longest wait for the receipt of a release.
const RELEASE_LIMIT: time::Duration = time::Duration::from_millis(800);
/// Longest wait for an answer about waits.
const WAIT_ANSWER_LIMIT: time::Duration = time::Duration::from_millis(250);
/// Time that the batching node gets beyond the pieces' deadline to answer.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Pieces of one stage and where they are made.
#[derive(Clone, Debug)]
pub struct PieceOrders {
    /// Service that makes them.
    pub service: ids::EndpointService,
    /// Region whose endpoints make them.
    pub region: ids::RegionId,
    /// The pieces and their times.
    pub group: piece_group::PieceGroup,
}

/// Has pieces made and returns their outcomes.
pub async fn make(
    state: &sync::Arc<state::GatewayState>,
    orders: &PieceOrders,
) -> batcher::GroupOutcomes {
    for _ in 0..MOST_BATCHING_NODES {
        if orders.group.deadline <= time::Instant::now() {
            let late = types::PieceOutcome::Failed(types::PieceFault::Late);
            return vec![late; orders.group.orders.len()];
        }
        let (node, address) = state.batching_node(&orders.service, &orders.region);
        let Some(address) = address else { break };
        match hand_over(state, orders, &node, address).await {
            Ok(outcomes) => return outcomes,
            Err(failure) => {
                log::warn!(node = node.as_ref(), service = orders.service.as_ref();
                    "pieces: batching node passed over. error={failure}");
                state.sight.lock().eject(&node, time::Instant::now());
                state.context.metrics.stages.count_skipped_node();
            }
        }
    }
    batcher::make(state, &orders.service, orders.group.clone()).await
}

/// Has pieces made by the node that batches their service.
///
/// # Errors
///
/// Fails if the node cannot be reached, goes silent or answers for other pieces.
async fn hand_over(
    state: &sync::Arc<state::GatewayState>,
    orders: &PieceOrders,
    node: &ids::NodeId,
    address: net::SocketAddr,
) -> Result<batcher::GroupOutcomes, failure::CallFailure> {
    let message = request(state, orders);
    let deadline = orders.group.deadline + REPLY_MARGIN;
    let connection = http_client::ConnectionUse::Shared;
    let path = PIECE_PATH;
    let exchange = peer::exchange(&state.context, address, path, &message, connection, deadline);
    let silent = async {
        silence(state, &orders.service, node, address).await;
        let detail = "the batching node went silent";
        Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail))
    };
    let reply: types::PieceReply = exchange.or(silent).await?;
    if reply.outcomes.len() != orders.group.orders.len() {
        let detail = format!("the reply has {} other pieces", reply.outcomes.len());
        return Err(failure::CallFailure::new(types::ProblemKind::Internal, detail));
    }
    state.sight.lock().record_reply(node, time::Instant::now());
    Ok(reply.outcomes)
}

/// Waits until a batching node does not answer the question for its waits; never returns while
/// something is heard of it.
async fn silence(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    node: &ids::NodeId,
    address: net::SocketAddr,
) {
    loop {
        deadlines::DeadlineTimer::after(peer_health::PROBE_DELAY).await;
        if !state.sight.lock().needs_probe(node, time::Instant::now()) {
            continue;
        }
        if let Err(failure) = ask_waits(state, service, address).await {
            log::warn!(node = node.as_ref(); "pieces: batching node is silent. error={failure}");
            return;
        }
    }
}

/// Asks a batching node how long new pieces of a service would wait.
///
/// # Errors
///
/// Fails if it does not answer in time.
pub async fn ask_waits(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    address: net::SocketAddr,
) -> Result<Vec<types::RankWait>, failure::CallFailure> {
    let header = state.context.peer_header();
    let message = types::WaitRequest { header, service: service.clone() };
    let deadline = time::Instant::now() + WAIT_ANSWER_LIMIT;
    let connection = http_client::ConnectionUse::Shared;
    let reply: types::WaitReply =
        peer::exchange(&state.context, address, WAIT_PATH, &message, connection, deadline).await?;
    state.sight.lock().record_reply(&reply.header.node, time::Instant::now());
    Ok(reply.waits)
}

/// Frees results at their makers, through the node that batches their service.
pub fn release(
    state: &sync::Arc<state::GatewayState>,
    service: &ids::EndpointService,
    region: &ids::RegionId,
    handles: Vec<ids::ResultHandle>,
) {
    if handles.is_empty() {
        return;
    }
    let (_, address) = state.batching_node(service, region);
    let Some(address) = address else {
        batcher::release(state, service, &handles);
        return;
    };
    let header = state.context.peer_header();
    let message = types::ResultRelease { handles, header, service: service.clone() };
    let task_state = state.clone();
    state.context.spawner.detach(async move {
        let deadline = time::Instant::now() + RELEASE_LIMIT;
        let connection = http_client::ConnectionUse::Shared;
        let context = &task_state.context;
        let path = RELEASE_PATH;
        let receipt: Result<types::ResultReleased, _> =
            peer::exchange(context, address, path, &message, connection, deadline).await;
        if let Err(failure) = receipt {
            log::debug!("pieces: release not taken. error={failure}");
            batcher::release(&task_state, &message.service, &message.handles);
        }
    });
}

fn request(state: &state::GatewayState, orders: &PieceOrders) -> types::PieceRequest {
    let now = time::Instant::now();
    let group = &orders.group;
    let left = group.deadline.saturating_duration_since(now);
    types::PieceRequest {
        bytes: group.bytes,
        header: state.context.peer_header(),
        inputs_left: group
            .inputs_until
            .map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now)),
        left,
        orders: group.orders.clone(),
        priority: group.priority,
        region: orders.region.clone(),
        service: orders.service.clone(),
        target: group.target.saturating_duration_since(now),
        zone: group.zone.clone(),
    }
}

/// Answers messages about pieces.
pub struct PieceExtension {
    state: sync::Arc<state::GatewayState>,
}

impl PieceExtension {
    /// Creates the extension.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    async fn make(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::PieceRequest = peer::decode_message(&self.state.context, request)?;
        let now = time::Instant::now();
        let group = piece_group::PieceGroup {
            orders: message.orders,
            priority: message.priority,
            bytes: message.bytes,
            target: now + message.target,
            deadline: now + message.left,
            zone: message.zone,
            inputs_until: (!message.inputs_left.is_zero()).then(|| now + message.inputs_left),
        };
        let made = batcher::make(&self.state, &message.service, group);
        let outcomes = request.connection().during(made).await.ok_or_else(peer::sender_gone)?;
        let header = self.state.context.peer_header();
        peer::encode_reply(&types::PieceReply { header, outcomes })
    }

    fn wait(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::WaitRequest = peer::decode_message(&self.state.context, request)?;
        let header = self.state.context.peer_header();
        let waits = batcher::waits(&self.state, &message.service);
        peer::encode_reply(&types::WaitReply { header, waits })
    }

    fn release(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let message: types::ResultRelease = peer::decode_message(&self.state.context, request)?;
        batcher::release(&self.state, &message.service, &message.handles);
        peer::encode_reply(&types::ResultReleased { header: self.state.context.peer_header() })
    }
}

impl peer::PeerExtension for PieceExtension {
    fn answer<'answer>(
        &'answer self,
        path: &str,
        request: &'answer http_server::ServerRequest,
    ) -> Option<peer::AnswerFuture<'answer>> {
        match path {
            PIECE_PATH => Some(Box::pin(self.make(request))),
            RELEASE_PATH => Some(Box::pin(async move { self.release(request) })),
            table_peer::TABLE_PATH => {
                Some(Box::pin(async move { table_peer::answer(&self.state, request).await }))
            }
            WAIT_PATH => Some(Box::pin(async move { self.wait(request) })),
            _ => None,
        }
    }
}
