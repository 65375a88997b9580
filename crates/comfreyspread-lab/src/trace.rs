//! Generation of the trace of a replay: the requests and when each is due, reproducible by seed.
//!
//! Arrivals form a Poisson process at the plan's rate times the load. During the warm-up, when all
//! endpoints start cold, the rate rises linearly from a fifth.

use crate::types;
use comfreyspread_schema::ids;
use rand::{Rng as _, SeedableRng as _, distr, distr::Distribution as _, rngs};
use std::time;

const INITIAL_RATE_FACTOR: f64 = 0.2;
const BURST_FACTOR: f64 = 3.0;

/// A period with three times the request rate.
#[derive(Clone, Copy, Debug)]
pub struct BurstWindow {
    /// Start, as time since the start of the trace.
    pub start: time::Duration,
    /// End, as time since the start of the trace.
    pub end: time::Duration,
}

impl BurstWindow {
    fn contains(&self, elapsed: time::Duration) -> bool {
        self.start <= elapsed && elapsed < self.end
    }
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// When it is due, as time since the start of the trace.
    pub due: time::Duration,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceId,
    /// Text that the response has to contain.
    pub marker: ids::Text,
}

/// Requests in the order in which they are due.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTrace {
    requests: Vec<TraceRequest>,
}

impl RequestTrace {
    /// Generates the trace of a plan.
    ///
    /// # Errors
    ///
    /// Fails if the plan has no kinds or no workspaces, or all their shares are zero.
    pub fn new(
        plan: &types::ReplayPlan,
        seed: u64,
        load: f64,
        burst: Option<BurstWindow>,
    ) -> Result<Self, distr::weighted::Error> {
        let kinds = distr::weighted::WeightedIndex::new(plan.kinds.iter().map(|kind| kind.share))?;
        let shares = plan.workspaces.iter().map(|entry| entry.share);
        let workspaces = distr::weighted::WeightedIndex::new(shares)?;
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut due = time::Duration::ZERO;
        loop {
            let rate = rate_at(plan, load, burst, due);
            let interval = -(1.0 - rng.random::<f64>()).ln() / rate;
            due += time::Duration::from_secs_f64(interval);
            if due >= duration(plan) {
                return Ok(Self { requests });
            }
            let kind = kinds.sample(&mut rng);
            let workspace = plan.workspaces[workspaces.sample(&mut rng)].workspace.clone();
            let marker = format!("{}-{seed}-{}", plan.kinds[kind].name, requests.len()).into();
            requests.push(TraceRequest { due, kind, workspace, marker });
        }
    }

    /// Returns the requests.
    pub fn requests(&self) -> &[TraceRequest] {
        &self.requests
    }
}

/// Returns the duration of a plan's trace.
pub fn duration(plan: &types::ReplayPlan) -> time::Duration {
    plan.warm + plan.before + plan.out + plan.after
}

fn rate_at(
    plan: &types::ReplayPlan,
    load: f64,
    burst: Option<BurstWindow>,
    elapsed: time::Duration,
) -> f64 {
    let warm_up_progress = elapsed.as_secs_f64() / plan.warm.as_secs_f64();
    let warm_up_factor =
        (INITIAL_RATE_FACTOR + (1.0 - INITIAL_RATE_FACTOR) * warm_up_progress).min(1.0);
    let in_burst = burst.is_some_and(|window| window.contains(elapsed));
    let burst_factor = if in_burst { BURST_FACTOR } else { 1.0 };
    f64::from(plan.rate) * load * warm_up_factor * burst_factor
}
