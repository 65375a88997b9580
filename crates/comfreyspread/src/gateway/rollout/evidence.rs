//! Counts how requests ended, by version of the endpoint's software, while a roll-out is open.

use crate::gateway::{batcher, state};
use comfreyspread_policy::{batch_call, batch_outcome, endpoint_directory, version_evidence};
use comfreyspread_schema::{ids, types};
use std::time;

/// Service and route of a request.
#[derive(Clone, Debug)]
pub struct RequestOrigin {
    /// Service that runs it.
    pub service: ids::ServiceName,
    /// Its route.
    pub route: ids::Text,
}

/// Records how a request to an endpoint ended.
pub fn record_request(
    state: &state::GatewayState,
    origin: &RequestOrigin,
    chosen: &endpoint_directory::ChosenEndpoint,
    end: version_evidence::RequestEnd,
    times: version_evidence::AnswerTimes,
) {
    let mut rollouts = state.rollouts.lock();
    let Some((evidence, is_new)) = rollouts.undecided(&origin.service, &chosen.version) else {
        return;
    };
    evidence.record_answer(&origin.route, is_new, &chosen.endpoint, end, times);
    drop(rollouts);
    state.context.metrics.rollouts.count_request(is_new, end);
}

/// Records how a call to an endpoint of a stage service ended. Its time counts in parts of the usual
/// time of a call with as many pieces.
pub fn record_stage_call(
    state: &state::GatewayState,
    scope: &batcher::BatchScope,
    call: &batch_call::PlannedCall,
    outcome: &batch_outcome::BatchOutcome,
    took: time::Duration,
) {
    let Some(version) = state.directory.lock().version(&call.endpoint) else { return };
    let end = match outcome {
        batch_outcome::BatchOutcome::Answered(outcomes) if has_error(outcomes) => {
            version_evidence::RequestEnd::Failed
        }
        batch_outcome::BatchOutcome::Answered(_) => version_evidence::RequestEnd::Answered,
        batch_outcome::BatchOutcome::Failed => version_evidence::RequestEnd::Broken,
        batch_outcome::BatchOutcome::Full | batch_outcome::BatchOutcome::Gone => return,
    };
    let routes = state.routes();
    let rule = routes.service(&scope.service);
    let capacity = rule.and_then(|rule| rule.stage_capacity.as_ref());
    let pieces = u32::try_from(call.tasks.len()).unwrap_or(u32::MAX);
    let usual = capacity.map(|capacity| batch_call::call_time(capacity, pieces));
    let answer = usual.filter(|usual| !usual.is_zero()).map(|usual| relative_time(took, usual));
    let times = version_evidence::AnswerTimes { answer, gap: None };
    let mut rollouts = state.rollouts.lock();
    if let Some((evidence, is_new)) = rollouts.undecided(&scope.service, &version) {
        evidence.record_answer(&scope.service, is_new, &call.endpoint, end, times);
        drop(rollouts);
        state.context.metrics.rollouts.count_request(is_new, end);
    }
}

/// Returns a time as it would be if the usual one were a second.
fn relative_time(took: time::Duration, usual: time::Duration) -> time::Duration {
    const UNIT: time::Duration = time::Duration::from_secs(1);
    UNIT.mul_f64(took.as_secs_f64() / usual.as_secs_f64())
}

fn has_error(outcomes: &[types::PieceOutcome]) -> bool {
    let is_error = |outcome: &types::PieceOutcome| {
        matches!(outcome, types::PieceOutcome::Failed(types::PieceError::Failed))
    };
    outcomes.iter().any(is_error)
}
