//! How many of a service's requests go to a version that is not proved yet, on one node.
//!
//! Each request adds the version's share to a credit, and each one sent to the version takes one
//! from it. So a node that starts with a credit below one never sends the version more than its
//! share of the node's own requests and one more, without asking any other node. This also holds
//! for nodes that are frozen, cut off or new.
//!
//! ```
//! use comfreyspread_policy::version_exposure;
//!
//! let mut budget = version_exposure::ExposureBudget::new(0.0);
//! budget.set_share(0.25);
//! for _ in 0..3 {
//!     assert!(!budget.admits("route"));
//!     budget.record(false);
//! }
//! assert!(budget.admits("route"));
//! ```

use comfreyspread_schema::ids;

/// Credit up to which requests of scarce routes are waited for.
const SCARCE_CREDIT: f64 = 2.0;
/// Most credit kept, so that requests that found no endpoint of the version don't pile up.
const MAX_CREDIT: f64 = 3.0;
/// Part of the allowance beside the share that all nodes together spend at the start, so that a
/// short roll-out has answers enough to be decided. The rest covers nodes that start anew.
const STARTING_PART: f64 = 0.4;

/// Requests that a node may send to the version under roll-out.
#[derive(Clone, Debug)]
pub struct ExposureBudget {
    share: f64,
    credit: f64,
    scarce: Vec<ids::Text>,
}

impl ExposureBudget {
    /// Creates a budget without a share that starts with `credit`, as [`starting_credit`] returns it.
    pub fn new(credit: f64) -> Self {
        Self { share: 0.0, credit, scarce: Vec::new() }
    }

    /// Sets the share of the requests that the version gets, from zero to one.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Sets the routes of which the version has had the fewest requests; they come first.
    pub fn set_scarce(&mut self, routes: Vec<ids::Text>) {
        self.scarce = routes;
    }

    /// Returns whether the next request, of this route, may go to the version.
    pub fn admits(&self, route: &str) -> bool {
        let credit = self.credit + self.share;
        let comes_first =
            self.scarce.is_empty() || self.scarce.iter().any(|scarce| **scarce == *route);
        credit >= if comes_first { 1.0 } else { SCARCE_CREDIT }
    }

    /// Counts a request, and whether it was sent to the version.
    pub fn record(&mut self, is_new: bool) {
        let spent = if is_new { 1.0 } else { 0.0 };
        self.credit = (self.credit + self.share - spent).min(MAX_CREDIT);
    }
}

/// Returns the credit with which a node starts. `phase`, from zero to one, should differ from node
/// to node, so that not all nodes send their first request to the version at the same count.
/// `allowance` is how many requests all nodes together may send beside the share; a node that was
/// started during the roll-out gets no part of it.
pub fn starting_credit(phase: f64, allowance: f64, nodes: usize) -> f64 {
    phase + allowance * STARTING_PART / nodes.max(1) as f64
}

/// Returns how many endpoints of the version get its requests, so that each bears about as much as
/// one of the `old` endpoints: a version may fail only under load.
pub fn canary_count(share: f64, old: usize) -> usize {
    if share >= 1.0 {
        return usize::MAX;
    }
    let count = share / (1.0 - share) * old as f64;
    (count.round() as usize).max(1)
}
