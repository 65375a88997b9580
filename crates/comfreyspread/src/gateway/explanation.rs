//! Says where a request would go now, and why, without sending it. The decisions are those of the
//! request path; what they count and ask for is left as it is.

use super::{attempt_send, call_plan, placement::placement_client, region_selector, state};
use comfreyspread_policy::endpoint_selection;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Why a head cannot be explained.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// The first line is not a method, a path and a version.
    #[error("the first line is not METHOD PATH HTTP/1.1")]
    RequestLine,
    /// A line is not a header.
    #[error("the line {0:?} is not NAME: VALUE")]
    HeaderLine(ids::Text),
}

/// Parses the text of a request head, with lines that end in a line feed.
///
/// # Errors
///
/// Fails if it is not a head.
pub fn parse_head(text: &str) -> Result<http::request::Parts, HeadError> {
    let mut lines = text.lines().map(str::trim_end).filter(|line| !line.is_empty());
    let first = lines.next().ok_or(HeadError::RequestLine)?;
    let mut words = first.split_whitespace();
    let (Some(method), Some(path)) = (words.next(), words.next()) else {
        return Err(HeadError::RequestLine);
    };
    let mut request = http::Request::builder().method(method).uri(path);
    for line in lines {
        let pair = line.split_once(':').ok_or_else(|| HeadError::HeaderLine(line.into()))?;
        request = request.header(pair.0.trim(), pair.1.trim());
    }
    let request = request.body(()).map_err(|_| HeadError::RequestLine)?;
    Ok(request.into_parts().0)
}

/// Explains where a request with this head would go.
pub async fn explain(
    state: &state::GatewayState,
    head: http::request::Parts,
) -> types::RequestExplanation {
    let arrived = time::Instant::now();
    let plan = match call_plan::CallPlan::new(state, head, bytes::Bytes::new(), arrived) {
        Ok(plan) => plan,
        Err(error) => return rejected(state, &format!("{error:?}"), time::Duration::ZERO),
    };
    let mut explanation = types::RequestExplanation {
        priority: plan.priority().into(),
        route: plan.route.name.clone(),
        service: plan.service.name.clone(),
        workspace: plan.workspace.as_ref().map(|one| one.name.clone()).unwrap_or_default(),
        ..rejected(state, "", time::Duration::ZERO)
    };
    if plan.is_convicted(state) {
        explanation.reason = "the request crashes endpoints".into();
        return explanation;
    }
    if let Err(failure) = plan.check_stop(state, arrived) {
        explanation.reason = failure.to_string().into();
        explanation.retry_after = failure.retry_after();
        return explanation;
    }
    let local = Some(state.settings.region.clone());
    let is_streamed = plan.route.kind == types::RouteKind::Stream;
    let chosen = if is_streamed { region_selector::explain_region(state, &plan) } else { local };
    let Some(region) = chosen else {
        explanation.reason = "no region has endpoints for all parts of the request".into();
        explanation.retry_after = region_selector::pause_left(state, &plan);
        return explanation;
    };
    explanation.stages = stages(state, &plan, &region);
    explanation.region = region.clone();
    choose_endpoint(state, &plan, &region, &mut explanation).await;
    let waits = explanation.stages.iter().map(|stage| stage.wait).sum::<time::Duration>();
    explanation.first_event += waits;
    explanation
}

fn rejected(
    state: &state::GatewayState,
    reason: &str,
    retry_after: time::Duration,
) -> types::RequestExplanation {
    types::RequestExplanation {
        accepted: false,
        endpoint: ids::EndpointId::default(),
        endpoints: Vec::new(),
        first_event: time::Duration::ZERO,
        node: state.settings.node.clone(),
        placed_by: ids::NodeId::default(),
        priority: 0,
        reason: reason.into(),
        region: ids::RegionId::default(),
        retry_after,
        route: ids::Text::default(),
        service: ids::ServiceName::default(),
        stages: Vec::new(),
        workspace: ids::WorkspaceId::default(),
    }
}

fn stages(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    region: &ids::RegionId,
) -> Vec<types::ExplainedStage> {
    let now = time::Instant::now();
    let counts = plan.call.piece_counts.iter().copied().chain(std::iter::repeat(0));
    let stage = |(rule, pieces): (&types::StageRule, u32)| {
        let (batched_by, _) = state.batching_node(&rule.service, region);
        let wait = state.waits.lock().wait(&rule.service, region, plan.priority(), now);
        types::ExplainedStage {
            batched_by,
            pieces: pieces.into(),
            service: rule.service.clone(),
            wait: wait.unwrap_or_default(),
        }
    };
    plan.route.stages.iter().zip(counts).filter(|(_, pieces)| *pieces > 0).map(stage).collect()
}

/// Fills in the endpoints, and the one that would be chosen.
async fn choose_endpoint(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    region: &ids::RegionId,
    explanation: &mut types::RequestExplanation,
) {
    let regions = plan.allowed_regions(state);
    let regions = regions.as_deref();
    let mut costs = IndexMap::new();
    if placement_client::is_placed(state, plan)
        && let Some((node, found)) = placement_client::explain(state, plan, region, regions).await
    {
        explanation.placed_by = node;
        costs = found.into_iter().map(|cost| (cost.endpoint.clone(), cost)).collect();
    }
    let cheapest = costs.values().min_by_key(|cost: &&types::EngineCostView| cost.total_us);
    let placed = cheapest.map(|cost| cost.endpoint.clone());
    let read = cheapest.map_or(0, |cost| cost.reading_us + cost.ahead_us + cost.place_us);
    explanation.first_event = time::Duration::from_micros(read);
    let input = attempt_send::AttemptInput {
        tried: &[],
        second_try: None,
        preferred_region: region,
        regions,
        inputs: &[],
        resume_after: None,
        number: 0,
    };
    let now = time::Instant::now();
    let mut query = attempt_send::endpoint_query(state, plan, &input, now);
    query.placed = placed.as_ref();
    let directory = state.directory.lock();
    let selection = endpoint_selection::EndpointSelection::new(&directory, &query);
    let examined = selection.examined().map(|(endpoint, reason)| types::ExplainedEndpoint {
        cost: costs.get(&endpoint.registration.endpoint).cloned(),
        endpoint: endpoint.registration.endpoint.clone(),
        running: endpoint.running.into(),
        skipped: reason.map_or_else(ids::Text::default, |one| format!("{one:?}").into()),
        zone: endpoint.registration.zone.clone(),
    });
    explanation.endpoints = examined.collect();
    match selection.choose() {
        Some(chosen) => {
            explanation.accepted = true;
            explanation.endpoint = chosen.registration.endpoint.clone();
        }
        None => {
            let skipped = selection.skipped();
            explanation.reason = format!("the service has no endpoint to use: {skipped}").into();
            let pause = skipped.resumes_at.map(|until| until.saturating_duration_since(now));
            explanation.retry_after = pause.unwrap_or_default();
        }
    }
}
