//! The trace of a replay: which request is due when, the same for each seed.
//!
//! Requests come independently of each other at the plan's rate times the load. The rate rises
//! from a fifth while the endpoints, which all start cold, warm up.

use crate::types;
use comfreyspread_schema::ids;
use rand::{Rng as _, SeedableRng as _, distr, distr::Distribution as _, rngs};
use std::time;

const FIRST_RATE: f64 = 0.2;
const BURST_FACTOR: f64 = 3.0;

/// A span of time in which three times as many requests come.
#[derive(Clone, Copy, Debug)]
pub struct BurstWindow {
    /// Start of the burst since the start of the trace.
    pub start: time::Duration,
    /// End of the burst since the start of the trace.
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
    /// Moment it is due since the start of the trace.
    pub due: time::Duration,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceId,
    /// Text that its answer has to carry.
    pub marker: ids::Text,
}

/// Requests in the order in which they are due.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTrace {
    requests: Vec<TraceRequest>,
}

impl RequestTrace {
    /// Records the trace of a plan.
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
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut due = time::Duration::ZERO;
        loop {
            let rate = rate_at(plan, load, burst, due);
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            due += time::Duration::from_secs_f64(gap);
            if due >= length(plan) {
                return Ok(Self { requests });
            }
            let kind = kinds.sample(&mut random);
            let workspace = plan.workspaces[workspaces.sample(&mut random)].workspace.clone();
            let marker = format!("{}-{seed}-{}", plan.kinds[kind].name, requests.len()).into();
            requests.push(TraceRequest { due, kind, workspace, marker });
        }
    }

    /// Returns the requests.
    pub fn requests(&self) -> &[TraceRequest] {
        &self.requests
    }
}

/// Returns the length of a plan's trace.
pub fn length(plan: &types::ReplayPlan) -> time::Duration {
    plan.warm + plan.before + plan.out + plan.after
}

fn rate_at(
    plan: &types::ReplayPlan,
    load: f64,
    burst: Option<BurstWindow>,
    elapsed: time::Duration,
) -> f64 {
    let warmed = elapsed.as_secs_f64() / plan.warm.as_secs_f64();
    let rise = (FIRST_RATE + (1.0 - FIRST_RATE) * warmed).min(1.0);
    let burst = burst.is_some_and(|window| window.contains(elapsed));
    let factor = if burst { BURST_FACTOR } else { 1.0 };
    f64::from(plan.rate) * load * rise * factor
}
