//! Boards of the engines on which this node places the requests of all nodes.

use crate::{
    gateway::{batcher, state},
    membership::peer,
    transport::{failure, http_message, http_server},
};
use comfreyspread_policy::{endpoint_directory, endpoint_selection, engine_board};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Interval at which placements of nodes that have failed are removed.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(1);
const MICROS_PER_SECOND: f64 = 1e6;

/// Boards by service and region.
#[derive(Debug, Default)]
pub struct BoardTable {
    boards: IndexMap<batcher::BatchScope, engine_board::EngineBoard>,
    nodes: Vec<ids::NodeId>,
    cleaned_at: Option<time::Instant>,
}

impl BoardTable {
    /// Returns the load of the engines on which this node places requests.
    pub fn loads(&self) -> Vec<engine_board::EngineLoad> {
        self.boards.values().flat_map(engine_board::EngineBoard::loads).collect()
    }

    fn is_cleanup_due(&mut self, now: time::Instant) -> bool {
        let is_due =
            self.cleaned_at.is_none_or(|at| now.saturating_duration_since(at) >= CLEANUP_INTERVAL);
        if is_due {
            self.cleaned_at = Some(now);
        }
        is_due
    }

    fn remove_failed(&mut self, live: Vec<ids::NodeId>) {
        for node in self.nodes.iter().filter(|node| !live.contains(node)) {
            self.boards.values_mut().for_each(|board| board.remove_node(node));
        }
        self.nodes = live;
    }
}

/// Places a request of a node.
pub fn place(
    state: &state::GatewayState,
    request: types::PlacementRequest,
) -> types::PlacementReply {
    let now = time::Instant::now();
    remove_failed(state, now);
    let header = state.context.peer_header();
    let none = types::PlacementReply { endpoint: None, estimate: time::Duration::ZERO, header };
    let scope =
        batcher::BatchScope { service: request.service.clone(), region: request.region.clone() };
    let sender = request.header.node.clone();
    apply_news(state, &scope, &sender, &request.news, now);
    let Some(service) = state.routes().service(&request.service).cloned() else { return none };
    let Some(capacity) = service.engine.clone() else { return none };
    let candidates = candidates(state, &request, state.cold_rate(&service), now);
    let mut table = state.boards.lock();
    let board = table.board(&scope, &capacity, now);
    let key = (sender, request.demand.number);
    let Some(choice) = board.place(&candidates, key, &request.demand, now) else { return none };
    drop(table);
    let (cached, read) = (u64::from(choice.cached_tokens), u64::from(choice.read_tokens));
    state.context.metrics.placements.count_placed(cached, read);
    log::debug!(node = request.header.node.as_ref(), number = request.demand.number,
        endpoint = choice.endpoint.as_ref(), cached = cached, read = read,
        estimate_ms = choice.estimate.as_millis() as u64; "placements: placed");
    types::PlacementReply { endpoint: Some(choice.endpoint), estimate: choice.estimate, ..none }
}

/// Returns the costs of a request at the engines that may be chosen, without placing it.
pub fn costs(
    state: &state::GatewayState,
    request: &types::PlacementRequest,
) -> Vec<types::EngineCostView> {
    let now = time::Instant::now();
    let Some(service) = state.routes().service(&request.service).cloned() else {
        return Vec::new();
    };
    let Some(capacity) = service.engine.clone() else { return Vec::new() };
    let candidates = candidates(state, request, state.cold_rate(&service), now);
    let scope =
        batcher::BatchScope { service: request.service.clone(), region: request.region.clone() };
    let table = state.boards.lock();
    let empty = engine_board::EngineBoard::new(capacity, now);
    let board = table.boards.get(&scope).unwrap_or(&empty);
    let costs = board.costs(&candidates, &request.demand, now);
    let micros = |seconds: f64| (seconds * MICROS_PER_SECOND) as u64;
    let view = |(candidate, cost): (&engine_board::EngineCandidate, engine_board::EngineCost)| {
        types::EngineCostView {
            ahead_us: micros(cost.ahead),
            cached_tokens: board.cached_tokens(candidate, &request.demand).into(),
            distance_us: micros(cost.distance),
            endpoint: candidate.endpoint.clone(),
            others_us: micros(cost.others),
            place_us: micros(cost.place),
            reading_us: micros(cost.reading),
            stream_us: micros(cost.stream),
            total_us: micros(cost.total()),
        }
    };
    candidates.iter().zip(costs).map(view).collect()
}

/// Serves a request whose costs are asked for.
///
/// # Errors
///
/// Fails if the message cannot be decoded, or names a region that is not of the deployment.
pub fn serve_costs(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::PlacementRequest = peer::decode_message(&state.context, request)?;
    state.check_region(&message.region)?;
    let header = state.context.peer_header();
    peer::encode_reply(&types::PlacementCosts { costs: costs(state, &message), header })
}

/// Applies a notice of a node.
pub fn apply_notice(state: &state::GatewayState, notice: types::PlacementNotice) {
    let scope = batcher::BatchScope { service: notice.service, region: notice.region };
    apply_news(state, &scope, &notice.header.node, &notice.news, time::Instant::now());
}

/// Serves a request for a placement.
///
/// # Errors
///
/// Fails if the message cannot be decoded, or names a region that is not of the deployment.
pub fn serve_request(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::PlacementRequest = peer::decode_message(&state.context, request)?;
    state.check_region(&message.region)?;
    peer::encode_reply(&place(state, message))
}

/// Serves a notice.
///
/// # Errors
///
/// Fails if the message cannot be decoded, or names a region that is not of the deployment.
pub fn serve_notice(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let message: types::PlacementNotice = peer::decode_message(&state.context, request)?;
    state.check_region(&message.region)?;
    apply_notice(state, message);
    peer::encode_reply(&types::PlacementReceipt { header: state.context.peer_header() })
}

/// Returns the engines that may get a request. What excludes an endpoint is decided where the sender
/// decides it, too.
fn candidates(
    state: &state::GatewayState,
    request: &types::PlacementRequest,
    cold_rate: u32,
    now: time::Instant,
) -> Vec<engine_board::EngineCandidate> {
    let route = ids::Text::default();
    let regions = (!request.regions.is_empty()).then_some(request.regions.as_slice());
    let query = endpoint_directory::EndpointQuery {
        service: &request.service,
        route: &route,
        regions,
        preferred_region: &request.region,
        zone: &request.zone,
        tried: &request.tried,
        second_try: None,
        placed: None,
        prefix: None,
        cold_rate,
        now,
    };
    let directory = state.directory.lock();
    let selection = endpoint_selection::EndpointSelection::new(&directory, &query);
    let candidate = |endpoint: &types::EndpointRegistration| engine_board::EngineCandidate {
        endpoint: endpoint.endpoint.clone(),
        started_at_ms: endpoint.started_at_ms,
        is_near: endpoint.zone == request.zone,
    };
    selection.candidates().map(|one| candidate(&one.registration)).collect()
}

fn apply_news(
    state: &state::GatewayState,
    scope: &batcher::BatchScope,
    sender: &ids::NodeId,
    news: &types::PlacementNews,
    now: time::Instant,
) {
    if news.active.is_empty() && news.events.is_empty() {
        return;
    }
    let service = state.routes().service(&scope.service).cloned();
    let Some(capacity) = service.and_then(|rule| rule.engine.clone()) else { return };
    let started: Vec<_> = {
        let directory = state.directory.lock();
        news.active.iter().map(|active| directory.started_at_ms(&active.endpoint)).collect()
    };
    let mut table = state.boards.lock();
    let board = table.board(scope, &capacity, now);
    for (active, started_at_ms) in news.active.iter().zip(started) {
        let key = (sender.clone(), active.demand.number);
        let endpoint = active.endpoint.clone();
        let candidate = engine_board::EngineCandidate { endpoint, started_at_ms, is_near: true };
        board.restore(&candidate, key, active, now);
    }
    for event in &news.events {
        let key = (sender.clone(), event.number);
        let took = (event.took_us > 0).then(|| time::Duration::from_micros(event.took_us));
        if event.ended {
            board.record_end(&key, took, now);
        } else {
            board.record_first_event(&key, took);
        }
    }
}

impl BoardTable {
    /// Returns the board of a service and region, an empty one if there is none.
    fn board(
        &mut self,
        scope: &batcher::BatchScope,
        capacity: &types::EngineCapacity,
        now: time::Instant,
    ) -> &mut engine_board::EngineBoard {
        let board = self.boards.entry(scope.clone());
        let board = board.or_insert_with(|| engine_board::EngineBoard::new(capacity.clone(), now));
        board.set_capacity(capacity.clone());
        board
    }
}

/// Removes the placements of nodes that have failed, now and then.
fn remove_failed(state: &state::GatewayState, now: time::Instant) {
    if !state.boards.lock().is_cleanup_due(now) {
        return;
    }
    let live: Vec<_> = {
        let members = state.context.tables.members.lock();
        members.live().map(|member| member.node.clone()).collect()
    };
    state.boards.lock().remove_failed(live);
}
