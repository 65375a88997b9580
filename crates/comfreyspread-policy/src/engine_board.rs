//! All requests in flight at the engines of one service and region, and the choice of an engine for
//! the next one.
//!
//! One node keeps the board for all others, so it sees each engine's whole load. It weighs, for each
//! request, the reading that an engine saves because it holds the beginning of the prompt against
//! the wait there: prompts not read yet, places taken, the engine's speed, and what the reading costs
//! the streams that run there.
//!
//! | part of the cost | how it is worked out |
//! |---|---|
//! | reading | tokens that the engine does not hold, at its speed; slower beside many streams |
//! | prompts ahead | what placed requests have left to read, longer if they are overdue |
//! | places | time until one is free, if all are taken |
//! | stream | pace of the answer beside the streams that run there |
//! | others | streams that wait while the prompt is read |
//! | distance | results that cross availability zones |

use crate::{engine_speed, part_cache, rendezvous};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Prompt tokens that an engine reads in a second, until it is measured.
const READ_RATE: f64 = 40_000.0;
/// Time from the placement to the first event that does not depend on the prompt.
const BASE_TIME: time::Duration = time::Duration::from_millis(30);
/// Time between events assumed before any was measured.
const EVENT_GAP: time::Duration = time::Duration::from_millis(30);
/// Reading below which the time to the first event tells little of an engine's speed.
const MIN_MEASURED_READ: time::Duration = time::Duration::from_millis(40);
/// Part of the time of an answer that counts against an engine: a slow stream is less harm than a
/// late one.
const STREAM_WEIGHT: f64 = 0.1;
/// Part of the reading that counts for each running stream that waits for it.
const OTHERS_WEIGHT: f64 = 0.06;
/// Cost of results that cross availability zones.
const ZONE_COST: time::Duration = time::Duration::from_millis(90);
/// Greatest cost by which engines without any difference are told apart: requests with the same
/// prompt then agree on one.
const TIE_COST: time::Duration = time::Duration::from_millis(4);
/// Part of the shared prompt that the engine preferred by its hash is taken to hold, if none is known
/// to: the nodes before this one placed it there, too.
const PRIOR_PART: f64 = 0.9;
/// The same on a board that has been kept for a while and knows better.
const KNOWN_PRIOR_PART: f64 = 0.3;
/// Time for which a board is new.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(15);
/// Part of an engine's memory that is counted on; the rest is for tokens not known here.
const MEMORY_PART: f64 = 0.9;
/// Longest time for which an overdue prompt counts.
const MAX_OVERDUE: time::Duration = time::Duration::from_secs(2);

/// A placement: the node that asked, and its number there.
pub type PlacementKey = (ids::NodeId, u64);

/// An engine that may be chosen.
#[derive(Clone, Debug)]
pub struct EngineCandidate {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Start of its process; a later one has nothing in its memory.
    pub started_at_ms: u64,
    /// Whether it is in the availability zone of the request's inputs.
    pub is_near: bool,
}

/// An engine chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Expected time to the first event.
    pub estimate: time::Duration,
    /// Prompt tokens that the engine should hold.
    pub cached_tokens: u32,
    /// Prompt tokens that it has to read.
    pub read_tokens: u32,
}

/// Parts of the cost of a request at an engine, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineCost {
    /// Reading of what it does not hold.
    pub reading: f64,
    /// Reading of the prompts placed before.
    pub ahead: f64,
    /// Wait for a place.
    pub place: f64,
    /// Pace of the answer.
    pub stream: f64,
    /// Streams that wait for the reading.
    pub others: f64,
    /// Distance of the inputs, and what tells equal engines apart.
    pub distance: f64,
}

impl EngineCost {
    /// Returns the sum, by which engines are compared.
    pub fn total(&self) -> f64 {
        self.estimate() + self.stream + self.others + self.distance
    }

    /// Returns the expected time to the first event.
    pub fn estimate(&self) -> f64 {
        BASE_TIME.as_secs_f64() + self.reading + self.ahead + self.place
    }
}

#[derive(Clone, Debug)]
struct Placement {
    endpoint: ids::EndpointId,
    read_tokens: u32,
    /// Expected time of the reading.
    reading: f64,
    /// Tokens of the whole request in the engine's memory.
    tokens: u64,
    placed_at: time::Instant,
    expires_at: time::Instant,
    began: bool,
}

#[derive(Clone, Debug)]
struct EngineEntry {
    started_at_ms: u64,
    speed: engine_speed::EngineSpeed,
    cache: part_cache::PartCache,
    running: u32,
    running_tokens: u64,
}

/// Load of an engine, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLoad {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens not read yet.
    pub unread_tokens: u64,
    /// Tokens of prompt parts held.
    pub cached_tokens: u64,
    /// Time that work takes there, relative to the usual.
    pub time_factor: f64,
}

/// Load of all engines of a service in a region.
#[derive(Debug)]
pub struct EngineBoard {
    capacity: types::EngineCapacity,
    began_at: time::Instant,
    engines: IndexMap<ids::EndpointId, EngineEntry>,
    placements: IndexMap<PlacementKey, Placement>,
    /// Usual time of reading, relative to [`READ_RATE`].
    usual_reading: engine_speed::UsualTime,
    usual_gap: engine_speed::UsualTime,
    /// Usual time from the first event to the end.
    usual_stream: engine_speed::UsualTime,
}

impl EngineBoard {
    /// Creates a board without placements.
    pub fn new(capacity: types::EngineCapacity, now: time::Instant) -> Self {
        Self {
            capacity,
            began_at: now,
            engines: IndexMap::new(),
            placements: IndexMap::new(),
            usual_reading: engine_speed::UsualTime::new(1.0),
            usual_gap: engine_speed::UsualTime::new(EVENT_GAP.as_secs_f64()),
            usual_stream: engine_speed::UsualTime::new(1.0),
        }
    }

    /// Sets the capacity of the engines.
    pub fn set_capacity(&mut self, capacity: types::EngineCapacity) {
        self.capacity = capacity;
    }

    /// Chooses the engine with the least cost for a request and places it there.
    pub fn place(
        &mut self,
        candidates: &[EngineCandidate],
        key: PlacementKey,
        demand: &types::PlacementDemand,
        now: time::Instant,
    ) -> Option<EngineChoice> {
        self.remove_expired(now);
        self.remove(&key);
        let ahead = self.reading_ahead(now);
        let costs = self.all_costs(candidates, demand, &ahead, now);
        let order = |first: &usize, second: &usize| {
            costs[*first].total().total_cmp(&costs[*second].total())
        };
        let best = (0..candidates.len()).min_by(order)?;
        let candidate = &candidates[best];
        let cached_tokens = self.cached_tokens(candidate, demand);
        let read_tokens = prompt_tokens(demand).saturating_sub(cached_tokens);
        self.insert(candidate, key, demand, read_tokens, now);
        Some(EngineChoice {
            endpoint: candidate.endpoint.clone(),
            estimate: time::Duration::from_secs_f64(costs[best].estimate()),
            cached_tokens,
            read_tokens,
        })
    }

    /// Takes in a request that another node has placed.
    pub fn restore(
        &mut self,
        candidate: &EngineCandidate,
        key: PlacementKey,
        active: &types::ActivePlacement,
        now: time::Instant,
    ) {
        if self.placements.contains_key(&key) {
            return;
        }
        let read_tokens = if active.began { 0 } else { prompt_tokens(&active.demand) };
        self.insert(candidate, key.clone(), &active.demand, read_tokens, now);
        if let Some(placement) = self.placements.get_mut(&key) {
            placement.began = active.began;
        }
    }

    /// Records the first event of a placed request, and the time that it took; none if that tells
    /// nothing.
    pub fn record_first_event(&mut self, key: &PlacementKey, took: Option<time::Duration>) {
        let Some(placement) = self.placements.get_mut(key) else { return };
        placement.began = true;
        let Some(took) = took else { return };
        let reading = (took.saturating_sub(BASE_TIME)).as_secs_f64();
        let usual = f64::from(placement.read_tokens) / READ_RATE;
        if usual < MIN_MEASURED_READ.as_secs_f64() {
            return;
        }
        let endpoint = placement.endpoint.clone();
        let ratio = self.usual_reading.record(reading / usual);
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.speed.record(ratio);
        }
    }

    /// Records the end of a placed request, and the mean time between its events; none if that tells
    /// nothing.
    pub fn record_end(
        &mut self,
        key: &PlacementKey,
        gap: Option<time::Duration>,
        now: time::Instant,
    ) {
        let Some(placement) = self.placements.get(key) else { return };
        let endpoint = placement.endpoint.clone();
        let held = now.saturating_duration_since(placement.placed_at);
        self.remove(key);
        let Some(gap) = gap else { return };
        self.usual_stream.record(held.as_secs_f64());
        let ratio = self.usual_gap.record(gap.as_secs_f64());
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.speed.record(ratio);
        }
    }

    /// Removes the placements of a node that has failed.
    pub fn remove_node(&mut self, node: &ids::NodeId) {
        let keys = self.placements.keys().filter(|(sender, _)| sender == node);
        let keys: Vec<_> = keys.cloned().collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Returns the load of each engine.
    pub fn loads(&self) -> Vec<EngineLoad> {
        let load = |(endpoint, engine): (&ids::EndpointId, &EngineEntry)| {
            let waiting = self
                .placements
                .values()
                .filter(|placement| !placement.began && placement.endpoint == *endpoint);
            EngineLoad {
                endpoint: endpoint.clone(),
                running: engine.running,
                unread_tokens: waiting.map(|placement| u64::from(placement.read_tokens)).sum(),
                cached_tokens: engine.cache.used(),
                time_factor: engine.speed.factor(),
            }
        };
        self.engines.iter().map(load).collect()
    }

    /// Returns the cost of a request at each candidate, without placing it. [`EngineBoard::place`]
    /// takes the one with the least total.
    pub fn costs(
        &self,
        candidates: &[EngineCandidate],
        demand: &types::PlacementDemand,
        now: time::Instant,
    ) -> Vec<EngineCost> {
        self.all_costs(candidates, demand, &self.reading_ahead(now), now)
    }

    fn all_costs(
        &self,
        candidates: &[EngineCandidate],
        demand: &types::PlacementDemand,
        ahead: &IndexMap<&ids::EndpointId, f64>,
        now: time::Instant,
    ) -> Vec<EngineCost> {
        let likely = self.likely_holder(candidates, demand);
        let prior = self.prior_tokens(demand, now);
        let cost = |(index, candidate): (usize, &EngineCandidate)| {
            let known = self.cached_tokens(candidate, demand);
            let cached = if Some(index) == likely { known.max(prior) } else { known };
            self.cost(candidate, demand, ahead, cached)
        };
        candidates.iter().enumerate().map(cost).collect()
    }

    /// Returns the engine preferred by the hash of the shared prompt, if none is known to hold that.
    fn likely_holder(
        &self,
        candidates: &[EngineCandidate],
        demand: &types::PlacementDemand,
    ) -> Option<usize> {
        let shared = shared_tokens(demand);
        let holds = |candidate: &EngineCandidate| self.cached_tokens(candidate, demand) >= shared;
        if shared == 0 || candidates.iter().any(holds) {
            return None;
        }
        let score =
            |index: &usize| rendezvous::prefix_score(demand.prefix, &candidates[*index].endpoint);
        (0..candidates.len()).max_by_key(score)
    }

    /// Returns how many tokens of a prompt the engine preferred by its hash is taken to hold.
    fn prior_tokens(&self, demand: &types::PlacementDemand, now: time::Instant) -> u32 {
        let is_new = now.saturating_duration_since(self.began_at) < LEARNING_TIME;
        let part = if is_new { PRIOR_PART } else { KNOWN_PRIOR_PART };
        (f64::from(shared_tokens(demand)) * part) as u32
    }

    fn cost(
        &self,
        candidate: &EngineCandidate,
        demand: &types::PlacementDemand,
        ahead: &IndexMap<&ids::EndpointId, f64>,
        cached: u32,
    ) -> EngineCost {
        let engine = self.entry(candidate);
        let factor = engine.map_or(1.0, |engine| engine.speed.factor());
        let running = engine.map_or(0, |engine| engine.running);
        let slots = self.capacity.slots.max(1);
        let crowd = f64::from(running.min(slots)) / f64::from(slots);
        let read = prompt_tokens(demand).saturating_sub(cached);
        let reading = self.reading_time(read) * factor * (1.0 + crowd);
        let output = f64::from(demand.output_tokens)
            / f64::from(self.capacity.tokens_per_event.max(1))
            * self.usual_gap.seconds();
        let waiting = ahead.get(&candidate.endpoint).copied().unwrap_or(0.0);
        let over = f64::from((running + 1).saturating_sub(slots));
        let usual_hold = self.usual_stream.seconds() * factor / f64::from(slots);
        let near = if candidate.is_near { 0.0 } else { ZONE_COST.as_secs_f64() };
        EngineCost {
            reading,
            ahead: engine.map_or(0.0, |_| waiting) * factor,
            place: over * usual_hold,
            stream: output * factor * (1.0 + crowd) * STREAM_WEIGHT,
            others: reading * f64::from(running.min(slots)) * OTHERS_WEIGHT,
            distance: near + tie_cost(demand, &candidate.endpoint),
        }
    }

    fn reading_time(&self, tokens: u32) -> f64 {
        f64::from(tokens) / READ_RATE * self.usual_reading.seconds()
    }

    /// Returns the engine of a candidate, unless its process has been replaced.
    fn entry(&self, candidate: &EngineCandidate) -> Option<&EngineEntry> {
        let engine = self.engines.get(&candidate.endpoint);
        engine.filter(|engine| engine.started_at_ms == candidate.started_at_ms)
    }

    /// Returns the tokens at the beginning of a prompt that an engine should hold.
    pub fn cached_tokens(
        &self,
        candidate: &EngineCandidate,
        demand: &types::PlacementDemand,
    ) -> u32 {
        let Some(engine) = self.entry(candidate) else { return 0 };
        let held = demand.parts.iter().take_while(|part| engine.cache.contains(part.hash));
        held.map(|part| part.tokens).sum()
    }

    /// Returns the time that the prompts placed at each engine have left to be read, at the usual
    /// speed. One that is overdue shows that the engine is slow now, and counts for as long again.
    fn reading_ahead(&self, now: time::Instant) -> IndexMap<&ids::EndpointId, f64> {
        let mut ahead = IndexMap::new();
        for placement in self.placements.values().filter(|placement| !placement.began) {
            let elapsed = now.saturating_duration_since(placement.placed_at).as_secs_f64();
            let left = placement.reading + BASE_TIME.as_secs_f64() - elapsed;
            let time = if left >= 0.0 { left } else { (-left).min(MAX_OVERDUE.as_secs_f64()) };
            *ahead.entry(&placement.endpoint).or_insert(0.0) += time;
        }
        ahead
    }

    fn insert(
        &mut self,
        candidate: &EngineCandidate,
        key: PlacementKey,
        demand: &types::PlacementDemand,
        read_tokens: u32,
        now: time::Instant,
    ) {
        let memory = f64::from(self.capacity.memory_tokens) * MEMORY_PART;
        let memory = memory as u64;
        let reading = self.reading_time(read_tokens);
        let engine = self.engines.entry(candidate.endpoint.clone());
        let engine = engine.or_insert_with(|| EngineEntry::new(candidate.started_at_ms, memory));
        if engine.started_at_ms != candidate.started_at_ms {
            // A process that starts anew keeps the speed of its machine, not its memory.
            let speed = engine.speed;
            *engine = EngineEntry { speed, ..EngineEntry::new(candidate.started_at_ms, memory) };
            self.placements.retain(|_, placement| placement.endpoint != candidate.endpoint);
        }
        let tokens = u64::from(prompt_tokens(demand)) + u64::from(demand.output_tokens);
        engine.running += 1;
        engine.running_tokens += tokens;
        for part in &demand.parts {
            engine.cache.insert(part.hash, part.tokens);
        }
        engine.cache.shrink(memory.saturating_sub(engine.running_tokens).max(memory / 2));
        let placement = Placement {
            endpoint: candidate.endpoint.clone(),
            read_tokens,
            reading,
            tokens,
            placed_at: now,
            expires_at: now + demand.lifetime,
            began: false,
        };
        self.placements.insert(key, placement);
    }

    fn remove(&mut self, key: &PlacementKey) {
        let Some(placement) = self.placements.swap_remove(key) else { return };
        if let Some(engine) = self.engines.get_mut(&placement.endpoint) {
            engine.running = engine.running.saturating_sub(1);
            engine.running_tokens = engine.running_tokens.saturating_sub(placement.tokens);
        }
    }

    /// Removes placements whose node has not said how they ended.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let expired = self.placements.iter().filter(|(_, placement)| placement.expires_at <= now);
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        expired.iter().for_each(|key| self.remove(key));
    }
}

impl EngineEntry {
    fn new(started_at_ms: u64, memory: u64) -> Self {
        Self {
            started_at_ms,
            speed: engine_speed::EngineSpeed::default(),
            cache: part_cache::PartCache::new(memory),
            running: 0,
            running_tokens: 0,
        }
    }
}

/// Returns the tokens of a prompt.
fn prompt_tokens(demand: &types::PlacementDemand) -> u32 {
    demand.parts.iter().map(|part| part.tokens).sum()
}

/// Returns the tokens of the parts of a prompt that other requests may share: all but the last.
fn shared_tokens(demand: &types::PlacementDemand) -> u32 {
    let shared = demand.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.tokens).sum()
}

/// Returns a small cost that depends on the shared parts of the prompt and the engine alone.
fn tie_cost(demand: &types::PlacementDemand, endpoint: &ids::EndpointId) -> f64 {
    let score = rendezvous::prefix_score(demand.prefix, endpoint);
    let fraction = (score >> 32) as f64 / f64::from(u32::MAX);
    (1.0 - fraction) * TIE_COST.as_secs_f64()
}
