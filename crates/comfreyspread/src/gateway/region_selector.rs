//! Selects the region that runs the stages of a request: the node's own region, or another with a
//! much shorter wait. Results never cross regions, so the request itself runs in the same region.

use super::{batcher, call_plan, piece_dispatch, state};
use comfreyspread_policy::{directory_endpoint, prompt_home, wait_table};
use comfreyspread_schema::ids;
use std::{sync, time};

/// Returns the region for the stages of a request; `None` if no region can run them.
pub fn select_region(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
) -> Option<ids::RegionId> {
    let services = stage_services(plan);
    choose_region(state, plan, &services, |region| total_wait(state, plan, &services, region))
}

/// Returns the region that [`select_region`] would select by the waits that are known, without asking
/// for newer ones.
pub fn explain_region(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
) -> Option<ids::RegionId> {
    let services = stage_services(plan);
    choose_region(state, plan, &services, |region| known_wait(state, plan, &services, region))
}

fn choose_region<Wait>(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
    wait_in: Wait,
) -> Option<ids::RegionId>
where
    Wait: Fn(&ids::RegionId) -> time::Duration,
{
    let local_region = &state.settings.region;
    let regions = candidate_regions(state, plan, services);
    if !regions.contains(local_region) {
        return regions.into_iter().next();
    }
    let local_wait = wait_in(local_region);
    if let Some(home) = home_region(state, plan, &regions, local_wait, &wait_in) {
        return Some(home);
    }
    let target = plan.target.saturating_duration_since(plan.arrived);
    if local_wait <= wait_table::local_wait_limit(target) {
        return Some(local_region.clone());
    }
    let others = regions.iter().filter(|region| *region != local_region);
    let waits = others.map(|region| (wait_in(region), region));
    let Some((remote_wait, region)) = waits.min() else { return Some(local_region.clone()) };
    if wait_table::prefers_remote(local_wait, remote_wait, &mut rand::rng()) {
        log::info!(request = plan.call.request.as_ref(), region = region.as_ref(),
            own_ms = local_wait.as_millis() as u64, there_ms = remote_wait.as_millis() as u64;
            "stages: run in another region");
        return Some(region.clone());
    }
    Some(local_region.clone())
}

/// Returns the home of the request's prompt if it should run there, in another region than this
/// node's: long parts of prompts are read in one region only.
fn home_region<Wait>(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    regions: &[ids::RegionId],
    local_wait: time::Duration,
    wait_in: &Wait,
) -> Option<ids::RegionId>
where
    Wait: Fn(&ids::RegionId) -> time::Duration,
{
    if !state.places_requests(&plan.service) {
        return None;
    }
    let home = prompt_home::home_region(plan.prefix()?, regions)?;
    if *home == state.settings.region {
        return None;
    }
    let tokens = plan.shared_part_tokens();
    if !prompt_home::prefers_home(tokens, time::Duration::ZERO, time::Duration::ZERO) {
        return None;
    }
    let home_wait = wait_in(home);
    if !prompt_home::prefers_home(tokens, local_wait, home_wait) {
        return None;
    }
    log::info!(request = plan.call.request.as_ref(), region = home.as_ref(), tokens = tokens,
        own_ms = local_wait.as_millis() as u64, there_ms = home_wait.as_millis() as u64;
        "stages: run in the home region of the prompt");
    Some(home.clone())
}

/// Returns how long to wait until all services of a request take requests again in one region that
/// may run it; zero if a pause is not what keeps it from them.
pub fn pause_left(state: &state::GatewayState, plan: &call_plan::CallPlan) -> time::Duration {
    let now = time::Instant::now();
    let services = stage_services(plan);
    let allowed = plan.allowed_regions(state);
    let directory = state.directory.lock();
    let is_allowed =
        |region: &&ids::RegionId| allowed.as_ref().is_none_or(|all| all.contains(region));
    let ends = state.regions.iter().filter(is_allowed).filter_map(|region| {
        let all = services.iter().chain([&plan.service.name]);
        all.filter_map(|service| directory.resumes_at(service, Some(region), now)).max()
    });
    ends.min().map_or(time::Duration::ZERO, |end| end.saturating_duration_since(now))
}

/// Returns the services that run pieces of the request.
fn stage_services(plan: &call_plan::CallPlan) -> Vec<ids::ServiceName> {
    let pieces = plan.call.piece_counts.iter().copied().chain(std::iter::repeat(0));
    let stages = plan.route.stages.iter().zip(pieces).filter(|(_, pieces)| *pieces > 0);
    stages.map(|(rule, _)| rule.service.clone()).collect()
}

/// Returns the allowed regions that have endpoints for all services of the request.
fn candidate_regions(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
) -> Vec<ids::RegionId> {
    let now = time::Instant::now();
    let allowed = plan.allowed_regions(state);
    let directory = state.directory.lock();
    let is_candidate = |region: &&ids::RegionId| {
        let takes_requests =
            |one: &directory_endpoint::DirectoryEndpoint| directory.closed(one, now).is_none();
        let has_endpoint =
            |service: &str| directory.usable(service, Some(region), now).any(takes_requests);
        allowed.as_ref().is_none_or(|allowed| allowed.contains(region))
            && services.iter().all(|service| has_endpoint(service))
            && has_endpoint(&plan.service.name)
    };
    state.regions.iter().filter(is_candidate).cloned().collect()
}

/// Returns the sum of the expected waits of a request's stages in a region; outdated waits are
/// refreshed in the background.
fn total_wait(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
    region: &ids::RegionId,
) -> time::Duration {
    let now = time::Instant::now();
    for service in services {
        if state.waits.lock().start_refresh(service, region, now) {
            refresh_waits(state, service.clone(), region.clone());
        }
    }
    known_wait(state, plan, services, region)
}

/// Returns the sum of the waits that are known of a request's stages in a region.
fn known_wait(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
    region: &ids::RegionId,
) -> time::Duration {
    let now = time::Instant::now();
    let table = state.waits.lock();
    let cached = |service| table.wait(service, region, plan.priority(), now);
    services.iter().filter_map(cached).sum()
}

/// Updates the expected waits of a service from the node that batches it in a region.
fn refresh_waits(
    state: &sync::Arc<state::GatewayState>,
    service: ids::ServiceName,
    region: ids::RegionId,
) {
    let (_, address) = state.batching_node(&service, &region);
    let Some(address) = address else {
        let scope = batcher::BatchScope { service: service.clone(), region: region.clone() };
        let waits = batcher::waits(state, &scope);
        state.waits.lock().update(&service, &region, waits, time::Instant::now());
        return;
    };
    let task_state = state.clone();
    state.context.spawner.detach(async move {
        match piece_dispatch::fetch_waits(&task_state, &service, address).await {
            Ok(waits) => {
                let now = time::Instant::now();
                task_state.waits.lock().update(&service, &region, waits, now);
            }
            Err(failure) => log::debug!("stages: waits not refreshed. error={failure}"),
        }
    });
}
