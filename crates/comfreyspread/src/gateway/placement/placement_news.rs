//! What this node has to tell the nodes that place its requests.

use crate::gateway::{batcher, state};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{fmt, mem, sync, time};

/// Events kept for a node that does not reply; later ones are dropped, and the node counts down by
/// time.
const MAX_EVENTS: usize = 4096;

/// Placements of one service and region.
#[derive(Debug, Default)]
struct ScopeNews {
    /// Node that was told last.
    told: Option<ids::NodeId>,
    active: IndexMap<u64, types::ActivePlacement>,
    events: Vec<types::PlacementEvent>,
}

/// Placements of this node, by service and region.
#[derive(Debug, Default)]
pub struct PlacementTable {
    scopes: IndexMap<batcher::BatchScope, ScopeNews>,
    next_number: u64,
}

impl PlacementTable {
    /// Returns the number of a new placement.
    pub fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Takes what a node has to be told: events since the last message, or all active placements if
    /// it is not the node that was told before.
    pub fn take_news(
        &mut self,
        scope: &batcher::BatchScope,
        node: &ids::NodeId,
    ) -> types::PlacementNews {
        let news = self.scopes.entry(scope.clone()).or_default();
        let events = mem::take(&mut news.events);
        let is_known = news.told.as_ref() == Some(node);
        news.told = Some(node.clone());
        if is_known {
            return types::PlacementNews { active: Vec::new(), events };
        }
        let active = news.active.values().cloned().collect();
        types::PlacementNews { active, events: Vec::new() }
    }

    /// Records that a node was not reached, so that it or the next one is told of all placements.
    pub fn forget_told(&mut self, scope: &batcher::BatchScope) {
        if let Some(news) = self.scopes.get_mut(scope) {
            news.told = None;
        }
    }

    /// Returns the scopes with events to tell.
    pub fn scopes_with_events(&self) -> Vec<batcher::BatchScope> {
        let with_events = self.scopes.iter().filter(|(_, news)| !news.events.is_empty());
        with_events.map(|(scope, _)| scope.clone()).collect()
    }

    fn insert(&mut self, scope: &batcher::BatchScope, active: types::ActivePlacement) {
        let news = self.scopes.entry(scope.clone()).or_default();
        news.active.insert(active.demand.number, active);
    }

    fn record(&mut self, scope: &batcher::BatchScope, event: types::PlacementEvent) {
        let Some(news) = self.scopes.get_mut(scope) else { return };
        if event.ended {
            news.active.swap_remove(&event.number);
        } else if let Some(active) = news.active.get_mut(&event.number) {
            active.began = true;
        }
        if news.events.len() < MAX_EVENTS {
            news.events.push(event);
        }
    }
}

/// A placed request; dropping it tells the node that placed it that it has ended.
pub struct PlacementTicket {
    state: sync::Arc<state::GatewayState>,
    scope: batcher::BatchScope,
    number: u64,
    gap: Option<time::Duration>,
}

impl fmt::Debug for PlacementTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("PlacementTicket").field("number", &self.number).finish()
    }
}

impl PlacementTicket {
    /// Creates the ticket of a request that was placed on an engine.
    pub fn new(
        state: &sync::Arc<state::GatewayState>,
        scope: batcher::BatchScope,
        demand: types::PlacementDemand,
        endpoint: ids::EndpointId,
    ) -> Self {
        let number = demand.number;
        let active = types::ActivePlacement { began: false, demand, endpoint };
        state.placements.lock().insert(&scope, active);
        Self { state: state.clone(), scope, number, gap: None }
    }

    /// Records the first event, `took` after the request was sent.
    pub fn record_first_event(&self, took: time::Duration) {
        self.record(false, took);
    }

    /// Sets the mean time between the events of the complete answer.
    pub fn set_gap(&mut self, gap: Option<time::Duration>) {
        self.gap = gap;
    }

    fn record(&self, ended: bool, took: time::Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let event = types::PlacementEvent { ended, number: self.number, took_us };
        self.state.placements.lock().record(&self.scope, event);
        self.state.placements_changed.notify(usize::MAX);
    }
}

impl Drop for PlacementTicket {
    fn drop(&mut self) {
        self.record(true, self.gap.unwrap_or_default());
    }
}
