//! Deadline attainment of one pool under overload, with and without parts of its scheduler.
//!
//! Calls of one large and one small workspace arrive at random and run on a few endpoints, all on
//! injected time, so a seed gives the same figures each time.
//!
//! ```text
//! cargo run --release -p comfreyspread-policy --example pool_overload -- SEED
//! ```
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use comfreyspread_policy::{endpoint_lifecycle, outlier, replica, schedule};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{cmp, collections::BinaryHeap, env, time};

const ENDPOINTS: usize = 6;
const LIMIT: u32 = 4;
const SERVICE_SECONDS: f64 = 0.05;
const RUN_SECONDS: f64 = 60.0;
const SMALL_SHARE: f64 = 0.05;
const SLOWDOWN: f64 = 10.0;
const NEVER: time::Duration = time::Duration::from_secs(3600);
const QUEUE: time::Duration = time::Duration::from_secs(2);
const LEVELS: [types::PriorityLevel; 3] =
    [types::PriorityLevel::High, types::PriorityLevel::Normal, types::PriorityLevel::Low];
const BUDGETS: [time::Duration; 3] = [
    time::Duration::from_millis(300),
    time::Duration::from_millis(1000),
    time::Duration::from_millis(3000),
];

/// Which parts of the scheduler take effect.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    load: f64,
    deadlines: bool,
    fair: bool,
    ejects: bool,
    slow: bool,
}

/// Calls served in time and calls offered.
#[derive(Clone, Copy, Default)]
struct Attainment {
    met: u32,
    offered: u32,
}

impl Attainment {
    fn percent(self) -> f64 {
        100.0 * f64::from(self.met) / f64::from(self.offered.max(1))
    }
}

/// A call on its way.
#[derive(Clone, Copy)]
struct SimulatedCall {
    level: usize,
    small: bool,
    service: time::Duration,
    deadline: time::Instant,
}

/// What happens at a moment.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    End(ids::TicketId, time::Duration),
}

struct Simulation {
    variant: Variant,
    random: rngs::SmallRng,
    scheduler: schedule::PoolScheduler,
    events: BinaryHeap<cmp::Reverse<(time::Instant, Event)>>,
    calls: IndexMap<ids::TicketId, SimulatedCall>,
    by_level: [Attainment; 3],
    by_size: [Attainment; 2],
}

fn main() {
    let seed = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}; attainment in percent");
    println!(
        "{:<24} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6}",
        "variant", "all", "high", "normal", "low", "large", "small"
    );
    let whole = Variant {
        name: "2x whole",
        load: 2.0,
        deadlines: true,
        fair: true,
        ejects: true,
        slow: false,
    };
    let variants = [
        Variant { name: "1x whole", load: 1.0, ..whole },
        whole,
        Variant { name: "2x deadline-blind", deadlines: false, ..whole },
        Variant { name: "2x one shared queue", fair: false, ..whole },
        Variant { name: "0.7x one slow, ejects", load: 0.7, slow: true, ..whole },
        Variant { name: "0.7x one slow, keeps", load: 0.7, slow: true, ejects: false, ..whole },
    ];
    for variant in variants {
        Simulation::new(variant, seed).run();
    }
}

impl Simulation {
    fn new(variant: Variant, seed: u64) -> Self {
        let divisor = if variant.ejects { 3 } else { usize::MAX };
        let detector = outlier::OutlierDetector::new().with_share_divisor(divisor);
        let mut scheduler = schedule::PoolScheduler::new(pool()).with_detector(detector);
        for index in 0..ENDPOINTS {
            scheduler.set_available(&endpoint(index), true);
        }
        Self {
            variant,
            random: rngs::SmallRng::seed_from_u64(seed),
            scheduler,
            events: BinaryHeap::new(),
            calls: IndexMap::new(),
            by_level: Default::default(),
            by_size: Default::default(),
        }
    }

    fn run(mut self) {
        let begin = time::Instant::now();
        let end = begin + time::Duration::from_secs_f64(RUN_SECONDS);
        self.events.push(cmp::Reverse((begin, Event::Arrival)));
        while let Some(cmp::Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrival if now < end => self.arrive(now),
                Event::Arrival => {}
                Event::End(ticket, latency) => self.end(ticket, latency, now),
            }
            self.advance(now);
        }
        let all = self.by_size.iter().fold(Attainment::default(), |sum, part| Attainment {
            met: sum.met + part.met,
            offered: sum.offered + part.offered,
        });
        let parts = self.by_level.iter().chain(&self.by_size);
        let parts: Vec<_> = parts.map(|part| format!("{:>6.1}", part.percent())).collect();
        println!("{:<24} {:>6.1} {}", self.variant.name, all.percent(), parts.join(" "));
    }

    fn arrive(&mut self, now: time::Instant) {
        let capacity = ENDPOINTS as f64 * f64::from(LIMIT) / SERVICE_SECONDS;
        let gap = self.exponential(1.0 / (capacity * self.variant.load));
        self.events.push(cmp::Reverse((now + gap, Event::Arrival)));
        let level = self.random.random_range(0..LEVELS.len());
        let small = self.random.random_bool(SMALL_SHARE);
        let service = self.exponential(SERVICE_SECONDS / 2.0)
            + time::Duration::from_secs_f64(SERVICE_SECONDS / 2.0);
        let call = SimulatedCall { level, small, service, deadline: now + BUDGETS[level] };
        self.by_level[level].offered += 1;
        self.by_size[usize::from(small)].offered += 1;
        if let Ok(ticket) = self.scheduler.offer(self.offered(&call, now), now) {
            self.calls.insert(ticket.ticket, call);
        }
    }

    fn offered(&self, call: &SimulatedCall, now: time::Instant) -> schedule::OfferedCall {
        let workspace = if call.small && self.variant.fair { "small" } else { "large" };
        let deadline = if self.variant.deadlines { call.deadline } else { now + NEVER };
        schedule::OfferedCall {
            workspace: workspace.into(),
            weight: 1,
            priority: LEVELS[call.level],
            deadline,
            endpoint: None,
            avoid: Vec::new(),
            alone: false,
            prefix: 0,
            bytes: 100,
        }
    }

    fn advance(&mut self, now: time::Instant) {
        while let Some(step) = self.scheduler.next(now) {
            match step {
                schedule::ScheduleStep::Start { ticket, endpoint: name } => {
                    let slow = self.variant.slow && name == endpoint(0);
                    let factor = if slow { SLOWDOWN } else { 1.0 };
                    let took = self.calls[&ticket].service.mul_f64(factor);
                    self.events.push(cmp::Reverse((now + took, Event::End(ticket, took))));
                }
                schedule::ScheduleStep::Refuse { ticket, .. } => {
                    self.calls.swap_remove(&ticket);
                }
            }
        }
    }

    fn end(&mut self, ticket: ids::TicketId, latency: time::Duration, now: time::Instant) {
        let signs = endpoint_lifecycle::SelfReport::default();
        let outcome = replica::CallOutcome::Answered { signs, latency: Some(latency) };
        self.scheduler.finish(ticket, outcome, now);
        let Some(call) = self.calls.swap_remove(&ticket) else { return };
        if now <= call.deadline {
            self.by_level[call.level].met += 1;
            self.by_size[usize::from(call.small)].met += 1;
        }
    }

    fn exponential(&mut self, mean_seconds: f64) -> time::Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        time::Duration::from_secs_f64(-mean_seconds * uniform.ln())
    }
}

fn endpoint(index: usize) -> ids::EndpointId {
    format!("endpoint-{index}").into()
}

fn pool() -> types::PoolDeclaration {
    types::PoolDeclaration {
        call_cost: 1,
        cold_limit: LIMIT,
        kind: types::PoolKind::Engine,
        name: "pool".into(),
        queue: QUEUE,
        warm_after: 20,
        warm_limit: LIMIT,
    }
}
