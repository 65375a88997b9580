//! Runs the stages of a request.

use super::{call_plan, caller_handler, piece_dispatch, region_selector, state};
use crate::transport::failure;
use comfreyspread_policy::{batch_call, first_event, piece_group, stage_graph};
use comfreyspread_schema::{ids, types};
use futures_lite::{FutureExt as _, StreamExt as _};
use futures_util::stream::FuturesUnordered;
use rand::Rng as _;
use std::{sync, time};

/// Maximum number of times that lost results of a request are recomputed.
const MAX_LOSSES: u32 = 3;
/// Share of a route's target, as a divisor, that the time to the first event may take up.
const FIRST_EVENT_DIVISOR: u32 = 2;

/// The stages of a request and their results, which are released on drop.
pub struct StageExecution {
    state: sync::Arc<state::GatewayState>,
    region: ids::RegionId,
    rules: Vec<types::StageRule>,
    graph: stage_graph::StageGraph,
    losses: u32,
    completed_at: Vec<Option<time::Instant>>,
}

/// Bounds of the time after which a rejected caller may come back.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(1500);
/// Upper bound of the factor that spreads callers out.
const RETRY_AFTER_SPREAD: f64 = 1.5;

type StageOutcome = (usize, Vec<types::PieceOutcome>);

impl StageExecution {
    /// Creates the stages of a request, in the region that suits them best; none has run yet.
    ///
    /// # Errors
    ///
    /// Fails if no region can run them, or the route's stages cannot be ordered; the request has not
    /// run.
    pub fn new(
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
    ) -> Result<Self, failure::CallFailure> {
        let region =
            region_selector::select_region(state, plan).ok_or_else(|| no_region(state, plan))?;
        let rules = plan.route.stages.clone();
        let routes = state.routes();
        let graph =
            stage_graph::StageGraph::new(&rules, &plan.call.piece_counts, |rule, pieces| {
                let capacity =
                    routes.service(&rule.service).and_then(|rule| rule.stage_capacity.as_ref());
                capacity.map_or(time::Duration::ZERO, |capacity| {
                    batch_call::call_time(capacity, capacity.max_batch_size.max(pieces))
                })
            });
        let graph = graph.map_err(|error| {
            let detail = format!("route {}: {error}", plan.route.name);
            call_plan::CallPlan::not_run(types::ProblemKind::Internal, &detail)
        })?;
        let completed_at = vec![None; rules.len()];
        Ok(Self { state: state.clone(), region, rules, graph, losses: 0, completed_at })
    }

    /// Returns the region that holds the results.
    pub fn region(&self) -> &ids::RegionId {
        &self.region
    }

    /// Returns the results that are the input of the request.
    pub fn outputs(&self) -> Vec<ids::ResultHandle> {
        self.graph.outputs()
    }

    /// Whether all stages are complete.
    pub fn are_complete(&self) -> bool {
        self.graph.is_complete()
    }

    /// Returns the expected time of the stages that are not complete.
    pub fn pending_time(&self) -> time::Duration {
        if self.graph.is_complete() { time::Duration::ZERO } else { self.graph.expected_time() }
    }

    /// Runs all stages that are not complete, also those whose earlier run was cancelled.
    ///
    /// # Errors
    ///
    /// Fails if a piece cannot be completed; the request has not run then.
    pub async fn run_pending(
        &mut self,
        plan: &call_plan::CallPlan,
    ) -> Result<(), failure::CallFailure> {
        self.graph.restart_cancelled();
        let mut running = FuturesUnordered::new();
        while !self.graph.is_complete() {
            self.check_region(plan)?;
            for stage in self.graph.start_ready() {
                running.push(run_stage(self.state.clone(), stage, self.stage_group(plan, stage)));
            }
            let finished = async { Ok(running.next().await) };
            let withdrawn = async { Err(self.region_withdrawn(plan).await) };
            let Some((stage, outcomes)) = finished.or(withdrawn).await? else {
                let detail = "the stages cannot be ordered";
                return Err(call_plan::CallPlan::not_run(types::ProblemKind::Internal, detail));
            };
            self.record_outcomes(plan, stage, &outcomes)?;
        }
        Ok(())
    }

    /// Rejects a request whose stages run in a region that is no longer allowed; planned anew, it
    /// runs elsewhere.
    fn check_region(&self, plan: &call_plan::CallPlan) -> Result<(), failure::CallFailure> {
        if plan.allows_region(&self.state, &self.region) {
            return Ok(());
        }
        log::info!(request = plan.call.request.as_ref(), region = self.region.as_ref(),
            version = plan.version; "stages: region no longer allowed");
        let detail = format!("region {} is no longer allowed", self.region);
        Err(call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, &detail))
    }

    /// Waits until the region is no longer allowed; pieces that wait there must not run then.
    async fn region_withdrawn(&self, plan: &call_plan::CallPlan) -> failure::CallFailure {
        loop {
            let changed = self.state.routes_changed.listen();
            if let Err(failure) = self.check_region(plan) {
                return failure;
            }
            changed.await;
        }
    }

    /// Discards the output results after the request found them lost, so that they are recomputed.
    ///
    /// # Errors
    ///
    /// Fails if results have been lost too often.
    pub fn discard_outputs(&mut self) -> Result<(), failure::CallFailure> {
        for stage in self.graph.final_stages() {
            if self.graph.piece_count(stage) > 0 {
                self.discard(stage)?;
            }
        }
        Ok(())
    }

    /// Releases all results, once the request no longer needs them; another attempt at it makes
    /// them again.
    pub fn release_all(&mut self) {
        for stage in 0..self.rules.len() {
            self.release_stage(stage);
        }
        self.graph.restart_all();
    }

    /// Returns when a caller whose request was rejected for the wait at a stage may come back: once
    /// what waits there now is done. Callers of one burst return spread out.
    fn retry_after(&self, plan: &call_plan::CallPlan, stage: usize) -> time::Duration {
        let service = &self.rules[stage].service;
        let now = time::Instant::now();
        let wait = self.state.waits.lock().wait(service, &self.region, plan.priority(), now);
        let wait = wait.unwrap_or(MIN_RETRY_AFTER).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let resumes_at = self.state.directory.lock().resumes_at(service, Some(&self.region), now);
        let pause = resumes_at.map(|end| end.saturating_duration_since(now)).unwrap_or_default();
        let wait = wait.mul_f64(rand::rng().random_range(1.0..RETRY_AFTER_SPREAD));
        wait.max(caller_handler::retry_after_pause(pause))
    }

    fn record_outcomes(
        &mut self,
        plan: &call_plan::CallPlan,
        stage: usize,
        outcomes: &[types::PieceOutcome],
    ) -> Result<(), failure::CallFailure> {
        let handle = |outcome: &types::PieceOutcome| match outcome {
            types::PieceOutcome::Made(handle) => Some(handle.clone()),
            types::PieceOutcome::Failed(_) => None,
        };
        let handles: Vec<_> = outcomes.iter().filter_map(handle).collect();
        let error = outcomes.iter().find_map(|outcome| match outcome {
            types::PieceOutcome::Failed(error) => Some(*error),
            types::PieceOutcome::Made(_) => None,
        });
        let Some(error) = error else {
            self.completed_at[stage] = Some(time::Instant::now());
            let unneeded = self.graph.finish(stage, handles);
            unneeded.into_iter().for_each(|dependency| self.release_stage(dependency));
            return Ok(());
        };
        self.release(stage, handles);
        if error == types::PieceError::InputGone {
            let dependencies = self.graph.dependencies(stage).to_vec();
            dependencies.into_iter().try_for_each(|dependency| self.discard(dependency))?;
            self.graph.invalidate(stage);
            return Ok(());
        }
        let detail = format!("stage {stage} failed: {error}");
        let failure = call_plan::CallPlan::not_run(types::ProblemKind::Overloaded, &detail);
        Err(failure.with_retry_after(self.retry_after(plan, stage)))
    }

    fn discard(&mut self, stage: usize) -> Result<(), failure::CallFailure> {
        self.losses += 1;
        if self.losses > MAX_LOSSES {
            let detail = format!("results of stage {stage} were lost again");
            return Err(call_plan::CallPlan::not_run(types::ProblemKind::EndpointFailed, &detail));
        }
        self.release_stage(stage);
        self.graph.invalidate(stage);
        Ok(())
    }

    fn release_stage(&mut self, stage: usize) {
        let handles = self.graph.take_results(stage);
        self.release(stage, handles);
    }

    fn release(&self, stage: usize, handles: Vec<ids::ResultHandle>) {
        let service = &self.rules[stage].service;
        piece_dispatch::release(&self.state, service, &self.region, handles);
    }

    /// Returns the preferred availability zone for a stage: that of most of its inputs, or without
    /// inputs that of the endpoint most likely to run the request.
    fn zone_for(&self, plan: &call_plan::CallPlan, stage: usize) -> Option<ids::ZoneId> {
        let inputs = self.graph.inputs(stage);
        if inputs.is_empty() {
            let now = time::Instant::now();
            let directory = self.state.directory.lock();
            return directory.affinity_zone(&plan.service.name, &self.region, plan.prefix()?, now);
        }
        self.state.zone_of_most(&inputs)
    }

    /// Returns the time at which the first input of a stage expires.
    fn inputs_expire_at(&self, stage: usize) -> Option<time::Instant> {
        let routes = self.state.routes();
        let expiries = self.graph.dependencies(stage).iter().filter_map(|dependency| {
            let rule = routes.service(&self.rules[*dependency].service)?;
            Some(self.completed_at[*dependency]? + rule.stage_capacity.as_ref()?.result_ttl)
        });
        expiries.min()
    }

    /// Returns the time to be left for the first event, at most a share of the route's target.
    fn first_event_time(&self, plan: &call_plan::CallPlan) -> time::Duration {
        let expected = self.state.first_events.lock().expected(&plan.route.name);
        let most = plan.target.saturating_duration_since(plan.arrived) / FIRST_EVENT_DIVISOR;
        expected.min(most.max(first_event::DEFAULT_TIME))
    }

    fn stage_group(&self, plan: &call_plan::CallPlan, stage: usize) -> piece_dispatch::StageGroup {
        let inputs = self.graph.inputs(stage);
        let key = self.graph.dependencies(stage).is_empty().then(|| plan.call.piece_key.clone());
        let number = u32::try_from(stage).unwrap_or(u32::MAX);
        let task = |piece| types::PieceTask {
            inputs: inputs.clone(),
            key: key.clone().flatten(),
            time_left: time::Duration::ZERO,
            piece,
            request: plan.call.request.clone(),
            stage: number,
        };
        let remaining = self.graph.remaining_after(stage);
        let first_event = self.first_event_time(plan);
        let finish_by = |time: time::Instant, first_event| {
            time.checked_sub(remaining + first_event).unwrap_or(plan.arrived)
        };
        piece_dispatch::StageGroup {
            service: self.rules[stage].service.clone(),
            region: self.region.clone(),
            group: piece_group::PieceGroup {
                tasks: (0..self.graph.piece_count(stage)).map(task).collect(),
                priority: plan.priority(),
                result_bytes: self.rules[stage].result_bytes,
                target: finish_by(plan.target, first_event),
                deadline: finish_by(plan.deadline, first_event::DEFAULT_TIME),
                inputs_expire_at: self.inputs_expire_at(stage),
                zone: self.zone_for(plan, stage),
            },
        }
    }
}

impl Drop for StageExecution {
    fn drop(&mut self) {
        self.release_all();
    }
}

fn no_region(state: &state::GatewayState, plan: &call_plan::CallPlan) -> failure::CallFailure {
    let detail = "no region has endpoints for all parts of the request";
    let pause = caller_handler::retry_after_pause(region_selector::pause_left(state, plan));
    call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, detail).with_retry_after(pause)
}

async fn run_stage(
    state: sync::Arc<state::GatewayState>,
    stage: usize,
    stage_group: piece_dispatch::StageGroup,
) -> StageOutcome {
    let started = time::Instant::now();
    let outcomes = piece_dispatch::run(&state, &stage_group).await;
    state.context.metrics.stages.observe_stage(started.elapsed());
    let first = stage_group.group.tasks.first();
    let request = first.map(|task| &*task.request);
    let inputs = first.map_or(0, |task| task.inputs.len());
    log::info!(request = request, stage = stage, service = stage_group.service.as_ref(),
        region = stage_group.region.as_ref(), pieces = outcomes.len(), inputs = inputs,
        took_ms = started.elapsed().as_millis() as u64; "stages: finished");
    (stage, outcomes)
}
