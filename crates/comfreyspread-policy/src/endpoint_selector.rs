//! Selection of an endpoint for a call, among the endpoints of a pool with a free slot.
//!
//! The preferred endpoint of the call comes first. Calls with the same prompt prefix go to the same
//! endpoint by rendezvous hashing, so that its cache serves them, unless its load would exceed a
//! fixed multiple of the mean. Any other call goes to the endpoint with the lowest load relative to
//! its limit.

use crate::{call_queue, pool_endpoint, rendezvous};
use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;

/// Endpoints of one pool by identifier.
pub type EndpointTable = IndexMap<ids::EndpointId, pool_endpoint::PoolEndpoint>;

/// Selects among the endpoints of one pool.
#[derive(Debug)]
pub struct EndpointSelector<'table> {
    endpoints: &'table EndpointTable,
    now: time::Instant,
}

impl<'table> EndpointSelector<'table> {
    /// Creates a selector for the time `now`.
    pub fn new(endpoints: &'table EndpointTable, now: time::Instant) -> Self {
        Self { endpoints, now }
    }

    /// Returns the index of the endpoint for `call`; `None` if it can start at no endpoint now.
    pub fn select(&self, call: &call_queue::QueuedCall) -> Option<usize> {
        let preferred = call.endpoint.as_ref().and_then(|name| self.endpoints.get_index_of(name));
        if let Some(index) = preferred.filter(|index| self.can_start(call, *index)) {
            return Some(index);
        }
        if call.prefix > 0
            && let Some(index) = self.select_by_prefix(call)
        {
            return Some(index);
        }
        self.least_loaded(call)
    }

    /// Returns the index of the unreserved endpoint with the fewest running calls, to be reserved
    /// for a call that runs alone.
    pub fn soonest_idle(&self, call: &call_queue::QueuedCall) -> Option<usize> {
        let endpoints = self.endpoints.values().enumerate();
        let open = endpoints.filter(|(index, state)| {
            state.takes_calls() && state.reserved().is_none() && !self.excludes(call, *index)
        });
        open.min_by_key(|(_, state)| state.running()).map(|(index, _)| index)
    }

    fn can_start(&self, call: &call_queue::QueuedCall, index: usize) -> bool {
        let state = &self.endpoints[index];
        state.can_start(call.id, call.exclusive, self.now) && !self.excludes(call, index)
    }

    /// Whether the call failed at this endpoint and another endpoint is left to try.
    fn excludes(&self, call: &call_queue::QueuedCall, index: usize) -> bool {
        let excluded = |name| call.excluded_endpoints.contains(name);
        let Some((name, _)) = self.endpoints.get_index(index) else { return true };
        excluded(name)
            && self.endpoints.iter().any(|(name, other)| other.takes_calls() && !excluded(name))
    }

    /// Returns the endpoint with the highest rendezvous score below the affinity load limit.
    fn select_by_prefix(&self, call: &call_queue::QueuedCall) -> Option<usize> {
        let limit = self.affinity_load_limit();
        let available = (0..self.endpoints.len()).filter(|index| {
            self.endpoints[*index].running() < limit && self.can_start(call, *index)
        });
        available.max_by_key(|index| {
            let name = self.endpoints.get_index(*index).map(|(name, _)| name);
            name.map(|name| rendezvous::prefix_score(call.prefix, name))
        })
    }

    /// Returns the number of running calls at which prefix affinity no longer applies.
    fn affinity_load_limit(&self) -> u32 {
        let serving = self.endpoints.values().filter(|state| state.takes_calls());
        let (count, running) = serving
            .fold((0_u32, 0_u32), |(count, running), state| (count + 1, running + state.running()));
        let mean = f64::from(running + 1) / f64::from(count.max(1));
        let limit = (mean * MAX_AFFINITY_LOAD_RATIO).ceil();
        // The limit is a small positive whole number.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = limit as u32;
        limit
    }

    fn least_loaded(&self, call: &call_queue::QueuedCall) -> Option<usize> {
        let available = (0..self.endpoints.len()).filter(|index| self.can_start(call, *index));
        available.min_by(|first, second| {
            let (first, second) = (&self.endpoints[*first], &self.endpoints[*second]);
            // Compares running / limit as fractions, then running calls, then mean latency.
            let left = u64::from(first.running()) * u64::from(second.limit());
            let right = u64::from(second.running()) * u64::from(first.limit());
            let latencies = first.latency().mean().cmp(&second.latency().mean());
            left.cmp(&right).then(first.running().cmp(&second.running())).then(latencies)
        })
    }
}
