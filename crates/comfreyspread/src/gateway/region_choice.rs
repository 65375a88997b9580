//! Where the stages of a request are made: in the node's own region, or in another one while that
//! is much less busy. Results never cross regions; the request itself follows them.

use super::{batcher, call_plan, piece_send, state};
use comfreyspread_policy::wait_table;
use comfreyspread_schema::ids;
use std::{sync, time};

/// Returns the region for the stages of a request; none if no region can make them.
pub fn choose(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
) -> Option<ids::RegionId> {
    let home = &state.settings.region;
    let services = stage_services(plan);
    let regions = able_regions(state, plan, &services);
    if !regions.contains(home) {
        return regions.into_iter().next();
    }
    let own = wait(state, plan, &services, home);
    if own <= wait_table::LOCAL_WAIT_THRESHOLD {
        return Some(home.clone());
    }
    let others = regions.iter().filter(|region| *region != home);
    let waits = others.map(|region| (wait(state, plan, &services, region), region));
    let Some((least, region)) = waits.min() else { return Some(home.clone()) };
    if wait_table::prefers_remote(own, least, &mut rand::rng()) {
        log::info!(request = plan.call.request.as_ref(), region = region.as_ref(),
            own_ms = own.as_millis() as u64, there_ms = least.as_millis() as u64;
            "stages: made in another region");
        return Some(region.clone());
    }
    Some(home.clone())
}

/// Returns the services that make pieces for the request.
fn stage_services(plan: &call_plan::CallPlan) -> Vec<ids::ServiceName> {
    let pieces = plan.call.piece_counts.iter().copied().chain(std::iter::repeat(0));
    let stages = plan.route.stages.iter().zip(pieces).filter(|(_, pieces)| *pieces > 0);
    stages.map(|(rule, _)| rule.service.clone()).collect()
}

/// Returns the regions that may serve the request and have endpoints for it.
fn able_regions(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
) -> Vec<ids::RegionId> {
    let directory = state.directory.lock();
    let is_able = |region: &&ids::RegionId| {
        let has = |service: &str| directory.usable(service, Some(region)).next().is_some();
        plan.regions.as_ref().is_none_or(|allowed| allowed.contains(region))
            && services.iter().all(|service| has(service))
            && has(&plan.service.name)
    };
    state.regions.iter().filter(is_able).cloned().collect()
}

/// Returns the waits of the request's stages in a region, one after the other; asks for those that
/// are not fresh.
fn wait(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
    services: &[ids::ServiceName],
    region: &ids::RegionId,
) -> time::Duration {
    let now = time::Instant::now();
    for service in services {
        if state.waits.lock().start_refresh(service, region, now) {
            ask(state, service.clone(), region.clone());
        }
    }
    let table = state.waits.lock();
    let known = |service| table.wait(service, region, plan.priority(), now);
    services.iter().filter_map(known).sum()
}

/// Asks the node that batches a service in a region how long new pieces would wait.
fn ask(state: &sync::Arc<state::GatewayState>, service: ids::ServiceName, region: ids::RegionId) {
    let (_, address) = state.batching_node(&service, &region);
    let Some(address) = address else {
        let waits = batcher::waits(state, &service);
        state.waits.lock().update(&service, &region, waits, time::Instant::now());
        return;
    };
    let task_state = state.clone();
    state.context.spawner.detach(async move {
        match piece_send::ask_waits(&task_state, &service, address).await {
            Ok(waits) => {
                let now = time::Instant::now();
                task_state.waits.lock().update(&service, &region, waits, now);
            }
            Err(failure) => log::debug!("stages: waits not told. error={failure}"),
        }
    });
}
