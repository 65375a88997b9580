//! What a batching queue knows to tell early which groups will miss their deadline: the share of the
//! calls that late groups get, and when to look next.
//!
//! ```
//! use comfreyspread_policy::batch_admission;
//!
//! let mut admission = batch_admission::BatchAdmission::default();
//! assert_eq!(admission.weight(true, 6), 6.0);
//! admission.record_call(0, 8);
//! assert!(admission.weight(true, 6) > 6.0, "late groups wait longer behind others");
//! assert_eq!(admission.weight(false, 6), 6.0);
//! ```

use std::time;

/// Interval at which the queue looks for groups that will miss their deadline. The walk over a long
/// queue would cost a small VM too much at each event.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Weight of the newest call in the share of calls that goes to late groups.
const LATE_SHARE_WEIGHT: f64 = 0.05;
/// Lowest share of calls that late groups are expected to get.
const MIN_LATE_SHARE: f64 = 0.05;

/// Share of the calls that goes to late groups, and the time of the next check.
#[derive(Clone, Copy, Debug)]
pub struct BatchAdmission {
    late_share: f64,
    due: Option<time::Instant>,
}

impl Default for BatchAdmission {
    fn default() -> Self {
        Self { late_share: 1.0, due: None }
    }
}

impl BatchAdmission {
    /// Whether to look for groups that will miss their deadline now; if so, the check is recorded.
    pub fn start_check(&mut self, now: time::Instant) -> bool {
        if self.due.is_some_and(|due| due > now) {
            return false;
        }
        self.due = Some(now + CHECK_INTERVAL);
        true
    }

    /// Records a call with `pieces` pieces, `late` of them of groups that can no longer meet their
    /// target. A burst leaves those little, since the others go first.
    pub fn record_call(&mut self, late: usize, pieces: usize) {
        let share = late as f64 / pieces.max(1) as f64;
        self.late_share += (share - self.late_share) * LATE_SHARE_WEIGHT;
    }

    /// Returns how many pieces of calls pass until `pieces` pieces of a group are made.
    pub fn weight(&self, late: bool, pieces: usize) -> f64 {
        let share = if late { self.late_share.max(MIN_LATE_SHARE) } else { 1.0 };
        pieces as f64 / share
    }
}
