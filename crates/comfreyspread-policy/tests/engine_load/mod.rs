//! Requests with prompts on a few engines, on injected time: chosen by each node alone, or placed on
//! one board.
//!
//! An engine here reads one prompt after the other, each at its speed, and remembers the parts. What
//! is compared is the code that chooses.
#![allow(dead_code, reason = "each test uses a part")]

use comfreyspread_policy::{endpoint_directory, engine_board};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::time;

const READ_RATE: f64 = 40_000.0;
const STREAM_TIME: time::Duration = time::Duration::from_millis(500);
const OWN_TOKENS: u32 = 1000;

/// Load of a number of engines.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// Time that work takes at each engine, relative to the usual.
    pub factors: Vec<f64>,
    pub nodes: usize,
    /// Prompts that requests share, and their length.
    pub prompts: usize,
    pub shared_tokens: u32,
    /// Part of the requests that have the first prompt.
    pub hot_part: f64,
    pub arrivals_per_second: u32,
    pub duration: time::Duration,
    /// Engines that stand still for a moment, from a second on.
    pub paused: usize,
    pub pause: time::Duration,
}

impl Default for EngineLoad {
    fn default() -> Self {
        Self {
            factors: vec![1.0; 12],
            nodes: 24,
            prompts: 40,
            shared_tokens: 4000,
            hot_part: 0.0,
            arrivals_per_second: 260,
            duration: time::Duration::from_secs(20),
            paused: 0,
            pause: time::Duration::ZERO,
        }
    }
}

/// What requests met.
#[derive(Debug)]
pub struct LoadResult {
    times: Vec<time::Duration>,
    /// Requests whose shared prompt had to be read, though an engine held it.
    pub read_again: usize,
    /// Engines that were used for the first prompt.
    pub hot_engines: usize,
}

impl LoadResult {
    /// Returns a quantile of the times to the first event, in milliseconds.
    pub fn quantile(&self, part: f64) -> u128 {
        let index = (self.times.len() as f64 * part) as usize;
        self.times[index.min(self.times.len() - 1)].as_millis()
    }
}

/// Who chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chooser {
    /// Each node by itself, by the hash of the prompt and its own requests.
    EachNode,
    /// One board for all nodes.
    Board,
}

#[derive(Debug)]
struct ModelEngine {
    free_at: time::Instant,
    held: IndexSet<usize>,
}

#[derive(Debug)]
struct RunningRequest {
    node: usize,
    number: u64,
    endpoint: ids::EndpointId,
    sent_at: time::Instant,
    first_event_at: time::Instant,
    has_begun: bool,
}

fn name(index: usize) -> ids::EndpointId {
    format!("engine-{index}").into()
}

fn directory(engines: usize, now: time::Instant) -> endpoint_directory::EndpointDirectory {
    let zones = [("a".into(), "r".into())];
    let mut directory = endpoint_directory::EndpointDirectory::new(zones.into_iter().collect());
    for index in 0..engines {
        let registration = types::EndpointRegistration {
            address: ([10, 0, 0, 1], 1000 + u16::try_from(index).expect("few engines")).into(),
            started_at_ms: 1,
            cold_time_left: time::Duration::ZERO,
            endpoint: name(index),
            leaving: false,
            service: "s".into(),
            slots: 16,
            version: "v1".into(),
            zone: "a".into(),
        };
        let start = endpoint_directory::ColdStart { cold: time::Duration::ZERO, at_start: true };
        directory.insert(registration, start, now);
    }
    directory
}

pub fn capacity() -> types::EngineCapacity {
    types::EngineCapacity { memory_tokens: 300_000, slots: 16, tokens_per_event: 5 }
}

pub fn demand(number: u64, prompt: usize, shared_tokens: u32) -> types::PlacementDemand {
    let shared = u64::try_from(prompt).expect("few prompts") + 1;
    types::PlacementDemand {
        lifetime: time::Duration::from_secs(10),
        number,
        output_tokens: 50,
        parts: vec![
            types::PlacedPart { hash: shared, tokens: shared_tokens },
            types::PlacedPart { hash: 1_000_000 + number, tokens: OWN_TOKENS },
        ],
        prefix: shared,
    }
}

pub fn candidates(engines: usize) -> Vec<engine_board::EngineCandidate> {
    let candidate = |index| engine_board::EngineCandidate {
        endpoint: name(index),
        started_at_ms: 1,
        is_near: true,
    };
    (0..engines).map(candidate).collect()
}

impl EngineLoad {
    /// Plays the load and returns what its requests met.
    pub fn play(&self, chooser: Chooser, start: time::Instant) -> LoadResult {
        let mut random = rngs::SmallRng::seed_from_u64(11);
        let count = self.factors.len();
        let mut directories: Vec<_> = (0..self.nodes).map(|_| directory(count, start)).collect();
        let mut board = engine_board::EngineBoard::new(capacity(), start);
        let mut engines: IndexMap<ids::EndpointId, ModelEngine> = (0..count)
            .map(|index| {
                let free_at = if index < self.paused { start + self.pause } else { start };
                (name(index), ModelEngine { free_at, held: IndexSet::new() })
            })
            .collect();
        let mut running: Vec<RunningRequest> = Vec::new();
        let mut result = LoadResult { times: Vec::new(), read_again: 0, hot_engines: 0 };
        let total = u64::from(self.arrivals_per_second) * self.duration.as_secs();
        let mut now = start;
        for number in 0..total {
            let gap = random.random_range(0.2..1.8) / f64::from(self.arrivals_per_second);
            now += time::Duration::from_secs_f64(gap);
            finish(&mut running, &mut directories, &mut board, now);
            let node = random.random_range(0..self.nodes);
            let prompt = if random.random_bool(self.hot_part) {
                0
            } else {
                random.random_range(0..self.prompts)
            };
            let demand = demand(number, prompt, self.shared_tokens);
            let endpoint = match chooser {
                Chooser::Board => {
                    let key = (format!("node-{node}").into(), number);
                    let choice = board.place(&candidates(count), key, &demand, now);
                    choice.expect("an engine").endpoint
                }
                Chooser::EachNode => choose_alone(&mut directories[node], demand.prefix, now),
            };
            let index = engines.get_index_of(&endpoint).expect("an engine");
            let is_held_elsewhere = engines.values().any(|engine| engine.held.contains(&prompt));
            let engine = &mut engines[index];
            let is_held = engine.held.contains(&prompt);
            let shared = if is_held { 0 } else { self.shared_tokens };
            result.read_again += usize::from(!is_held && is_held_elsewhere);
            engine.held.insert(prompt);
            let reading = f64::from(shared + OWN_TOKENS) / READ_RATE * self.factors[index];
            engine.free_at = engine.free_at.max(now) + time::Duration::from_secs_f64(reading);
            result.times.push(engine.free_at.saturating_duration_since(now));
            running.push(RunningRequest {
                node,
                number,
                endpoint,
                sent_at: now,
                first_event_at: engine.free_at,
                has_begun: false,
            });
        }
        result.hot_engines = engines.values().filter(|engine| engine.held.contains(&0)).count();
        result.times.sort_unstable();
        result
    }
}

fn choose_alone(
    directory: &mut endpoint_directory::EndpointDirectory,
    prefix: ids::PrefixHash,
    now: time::Instant,
) -> ids::EndpointId {
    let (service, route): (ids::ServiceName, ids::Text) = ("s".into(), "r".into());
    let (region, zone): (ids::RegionId, ids::ZoneId) = ("r".into(), "a".into());
    let query = endpoint_directory::EndpointQuery {
        cold_rate: 1,
        preferred_region: &region,
        now,
        placed: None,
        prefix: Some(prefix),
        regions: None,
        route: &route,
        service: &service,
        second_try: None,
        tried: &[],
        zone: &zone,
    };
    directory.start_call(&query).expect("an engine").endpoint
}

/// Ends the requests that are over, and tells of first events.
fn finish(
    running: &mut Vec<RunningRequest>,
    directories: &mut [endpoint_directory::EndpointDirectory],
    board: &mut engine_board::EngineBoard,
    now: time::Instant,
) {
    for request in running.iter_mut().filter(|one| !one.has_begun && one.first_event_at <= now) {
        request.has_begun = true;
        let took = request.first_event_at.saturating_duration_since(request.sent_at);
        board.record_first_event(&key(request), Some(took));
    }
    let is_over = |request: &RunningRequest| request.first_event_at + STREAM_TIME <= now;
    for request in running.iter().filter(|request| is_over(request)) {
        let took = now.saturating_duration_since(request.sent_at);
        let outcome = endpoint_directory::AttemptOutcome::Served;
        directories[request.node].finish_call(&request.endpoint, 1, outcome, took, now);
        board.record_end(&key(request), None, now);
    }
    running.retain(|request| !is_over(request));
}

fn key(request: &RunningRequest) -> engine_board::PlacementKey {
    (format!("node-{}", request.node).into(), request.number)
}
