//! Asks the node that places requests on the engines of a service and region.
//!
//! Without an answer in time that node is passed over for the next one in the rendezvous order. If
//! none answers, the request goes to the engine that this node chooses by itself.

use super::{placement_board, placement_news};
use crate::{
    gateway::{batcher, call_plan, state},
    membership::peer,
    transport::http_client,
};
use comfreyspread_schema::{ids, types};
use std::{net, sync, time};
use xxhash_rust::xxh3;

/// Path of a [`types::PlacementRequest`], answered by a [`types::PlacementReply`].
pub const PLACE_PATH: &str = "/peer/placements";
/// Path of a [`types::PlacementNotice`], answered by a [`types::PlacementReceipt`].
pub const NEWS_PATH: &str = "/peer/placements/news";

/// Path of a [`types::PlacementRequest`] that is only weighed, answered by a
/// [`types::PlacementCosts`].
pub const COSTS_PATH: &str = "/peer/placements/costs";

/// Time for an answer, after which the next node is asked: about what a placement may save.
const PLACE_TIMEOUT: time::Duration = time::Duration::from_millis(120);
/// Timeout of a notice.
const NEWS_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Time for which events are collected, unless a request takes them along.
const NEWS_DELAY: time::Duration = time::Duration::from_millis(100);
/// Nodes asked in turn.
const MAX_PLACING_NODES: usize = 2;

/// Where a request was placed.
#[derive(Debug)]
pub struct PlacedRequest {
    /// The engine.
    pub endpoint: ids::EndpointId,
    /// Node that placed it.
    pub node: ids::NodeId,
    /// Expected time to the first event.
    pub estimate: time::Duration,
    /// Its entry among the placements of this node.
    pub ticket: placement_news::PlacementTicket,
}

/// What is known of an attempt before its engine is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'input> {
    /// Endpoints tried before.
    pub tried: &'input [ids::EndpointId],
    /// Region of the engines.
    pub region: &'input ids::RegionId,
    /// Regions allowed to run the request; `None` for all.
    pub regions: Option<&'input [ids::RegionId]>,
    /// Stage results that are the input of the request.
    pub inputs: &'input [ids::ResultHandle],
}

/// Places a request on an engine; `None` if it is not to be placed or no node answers.
pub async fn place(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
    input: &PlacementInput<'_>,
) -> Option<PlacedRequest> {
    if !is_placed(state, plan) {
        return None;
    }
    let scope =
        batcher::BatchScope { service: plan.service.name.clone(), region: input.region.clone() };
    let number = state.placements.lock().next_number();
    let demand = demand(plan, number);
    let zone = state.zone_of_most(input.inputs);
    let zone = zone.unwrap_or_else(|| state.settings.zone.clone());
    for _ in 0..MAX_PLACING_NODES {
        let (node, address) = state.placing_node(&scope);
        let news = state.placements.lock().take_news(&scope, &node);
        let request = types::PlacementRequest {
            demand: demand.clone(),
            header: state.context.peer_header(),
            news,
            region: scope.region.clone(),
            regions: input.regions.map(<[_]>::to_vec).unwrap_or_default(),
            service: scope.service.clone(),
            tried: input.tried.to_vec(),
            zone: zone.clone(),
        };
        let reply = match address {
            None => Some(placement_board::place(state, request)),
            Some(address) => ask(state, &scope, &node, address, &request).await,
        };
        let Some(reply) = reply else { continue };
        state.context.metrics.placements.count_reply(reply.endpoint.is_some());
        let endpoint = reply.endpoint?;
        let ticket = placement_news::PlacementTicket::new(state, scope, demand, endpoint.clone());
        return Some(PlacedRequest { endpoint, node, estimate: reply.estimate, ticket });
    }
    state.context.metrics.placements.count_unplaced();
    None
}

/// Returns the node that would place a request, and its costs at the engines that may be chosen;
/// none if no node answers. Nothing is placed.
pub async fn explain(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    region: &ids::RegionId,
    regions: Option<&[ids::RegionId]>,
) -> Option<(ids::NodeId, Vec<types::EngineCostView>)> {
    let scope = batcher::BatchScope { service: plan.service.name.clone(), region: region.clone() };
    let (node, address) = state.placing_node(&scope);
    let request = types::PlacementRequest {
        demand: demand(plan, 0),
        header: state.context.peer_header(),
        news: types::PlacementNews { active: Vec::new(), events: Vec::new() },
        region: scope.region,
        regions: regions.map(<[_]>::to_vec).unwrap_or_default(),
        service: scope.service,
        tried: Vec::new(),
        zone: state.settings.zone.clone(),
    };
    let Some(address) = address else {
        return Some((node, placement_board::costs(state, &request)));
    };
    let deadline = time::Instant::now() + NEWS_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let context = &state.context;
    let reply: types::PlacementCosts =
        peer::exchange(context, address, COSTS_PATH, &request, connection, deadline).await.ok()?;
    Some((node, reply.costs))
}

/// Sends the collected events until the process ends.
pub async fn run(state: sync::Arc<state::GatewayState>) {
    loop {
        let changed = state.placements_changed.listen();
        let scopes = state.placements.lock().scopes_with_events();
        if scopes.is_empty() {
            changed.await;
        }
        async_io::Timer::after(NEWS_DELAY).await;
        let scopes = state.placements.lock().scopes_with_events();
        for scope in scopes {
            let task_state = state.clone();
            state.context.spawner.detach(async move { send_news(&task_state, &scope).await });
        }
    }
}

/// Returns whether a request is to be placed: its service is run by engines, and no roll-out divides
/// its requests by version.
pub fn is_placed(state: &state::GatewayState, plan: &call_plan::CallPlan) -> bool {
    state.places_requests(&plan.service)
        && state.directory.lock().versions().turn(&plan.service.name, &plan.route.name).is_none()
}

async fn ask(
    state: &state::GatewayState,
    scope: &batcher::BatchScope,
    node: &ids::NodeId,
    address: net::SocketAddr,
    request: &types::PlacementRequest,
) -> Option<types::PlacementReply> {
    let deadline = time::Instant::now() + PLACE_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let context = &state.context;
    match peer::exchange(context, address, PLACE_PATH, request, connection, deadline).await {
        Ok(reply) => Some(reply),
        Err(failure) => {
            log::info!(node = node.as_ref(), service = scope.service.as_ref();
                "placements: placing node passed over. error={failure}");
            state.peer_health.lock().eject(node, time::Instant::now());
            state.placements.lock().forget_told(scope);
            None
        }
    }
}

async fn send_news(state: &sync::Arc<state::GatewayState>, scope: &batcher::BatchScope) {
    let (node, address) = state.placing_node(scope);
    let news = state.placements.lock().take_news(scope, &node);
    let notice = types::PlacementNotice {
        header: state.context.peer_header(),
        news,
        region: scope.region.clone(),
        service: scope.service.clone(),
    };
    let Some(address) = address else {
        placement_board::apply_notice(state, notice);
        return;
    };
    let deadline = time::Instant::now() + NEWS_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let context = &state.context;
    let receipt: Result<types::PlacementReceipt, _> =
        peer::exchange(context, address, NEWS_PATH, &notice, connection, deadline).await;
    if let Err(failure) = receipt {
        log::debug!("placements: notice not delivered. error={failure}");
        state.placements.lock().forget_told(scope);
    }
}

/// Returns what a request needs of an engine.
fn demand(plan: &call_plan::CallPlan, number: u64) -> types::PlacementDemand {
    let now = time::Instant::now();
    types::PlacementDemand {
        lifetime: plan.time_left(now),
        number,
        output_tokens: plan.call.output_tokens,
        prefix: plan.prefix().unwrap_or_default(),
        parts: placed_parts(&plan.call.prompt_parts),
    }
}

/// Returns the parts of a prompt, each with a hash of it and all parts before it: an engine uses a
/// part that it holds only if it holds all before it, too.
fn placed_parts(parts: &[types::PromptPart]) -> Vec<types::PlacedPart> {
    let mut hash = 0;
    let place = |part: &types::PromptPart| {
        hash = xxh3::xxh3_64_with_seed(part.part.as_bytes(), hash);
        types::PlacedPart { hash, tokens: part.tokens }
    };
    parts.iter().map(place).collect()
}
