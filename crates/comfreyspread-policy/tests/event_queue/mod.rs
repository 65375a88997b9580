//! Events of simulated nodes, in the order of their times.

use comfreyspread_schema::ids;
use std::{cmp, time};

/// Event of one node's process. A stalled process handles it when it resumes.
#[derive(Clone, Debug)]
pub struct QueuedEvent<Event> {
    pub at: time::Instant,
    pub order: u64,
    pub node: usize,
    pub start_id: ids::ProcessStartId,
    pub event: Event,
}

impl<Event> PartialEq for QueuedEvent<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<Event> Eq for QueuedEvent<Event> {}

impl<Event> PartialOrd for QueuedEvent<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for QueuedEvent<Event> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
