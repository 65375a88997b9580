//! Deadline attainment of one pool under overload, with parts of its scheduler disabled in turn.
//!
//! Calls of a large and a small workspace arrive at random and run on a few endpoints. The clock is
//! simulated, so the results are reproducible for a seed.
//!
//! ```text
//! cargo run --release -p comfreyspread-policy --example pool_overload -- SEED
//! ```
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::{endpoint_lifecycle, outlier, pool_endpoint, pool_scheduler};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{cmp, collections::BinaryHeap, env, time};

const ENDPOINTS: usize = 6;
const LIMIT: u32 = 4;
const MEAN_SERVICE_SECONDS: f64 = 0.05;
const RUN_SECONDS: f64 = 60.0;
const SMALL_SHARE: f64 = 0.05;
const SLOWDOWN: f64 = 10.0;
const UNBOUNDED_BUDGET: time::Duration = time::Duration::from_secs(3600);
const QUEUE_TIME_LIMIT: time::Duration = time::Duration::from_secs(2);
const LEVELS: [types::PriorityLevel; 3] =
    [types::PriorityLevel::High, types::PriorityLevel::Normal, types::PriorityLevel::Low];
const TIME_BUDGETS: [time::Duration; 3] = [
    time::Duration::from_millis(300),
    time::Duration::from_millis(1000),
    time::Duration::from_millis(3000),
];

/// Load, and parts of the scheduler that are enabled.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    load: f64,
    deadlines: bool,
    fair: bool,
    ejects: bool,
    slow: bool,
}

/// Number of calls that met their deadline and of all calls.
#[derive(Clone, Copy, Default)]
struct Attainment {
    on_time: u32,
    total: u32,
}

impl Attainment {
    fn percent(self) -> f64 {
        100.0 * f64::from(self.on_time) / f64::from(self.total.max(1))
    }
}

/// A simulated call.
#[derive(Clone, Copy)]
struct SimulatedCall {
    level: usize,
    small: bool,
    service: time::Duration,
    deadline: time::Instant,
}

/// A simulation event.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    End(ids::TicketId, time::Duration),
}

struct Simulation {
    variant: Variant,
    random: rngs::SmallRng,
    scheduler: pool_scheduler::PoolScheduler,
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
    let baseline = Variant {
        name: "2x whole",
        load: 2.0,
        deadlines: true,
        fair: true,
        ejects: true,
        slow: false,
    };
    let variants = [
        Variant { name: "1x whole", load: 1.0, ..baseline },
        baseline,
        Variant { name: "2x deadline-blind", deadlines: false, ..baseline },
        Variant { name: "2x one shared queue", fair: false, ..baseline },
        Variant { name: "0.7x one slow, ejects", load: 0.7, slow: true, ..baseline },
        Variant { name: "0.7x one slow, keeps", load: 0.7, slow: true, ejects: false, ..baseline },
    ];
    for variant in variants {
        Simulation::new(variant, seed).run();
    }
}

impl Simulation {
    fn new(variant: Variant, seed: u64) -> Self {
        let divisor = if variant.ejects { 3 } else { usize::MAX };
        let detector = outlier::OutlierDetector::new().with_max_ejected_divisor(divisor);
        let mut scheduler =
            pool_scheduler::PoolScheduler::new(pool()).with_outlier_detector(detector);
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
            on_time: sum.on_time + part.on_time,
            total: sum.total + part.total,
        });
        let parts = self.by_level.iter().chain(&self.by_size);
        let parts: Vec<_> = parts.map(|part| format!("{:>6.1}", part.percent())).collect();
        println!("{:<24} {:>6.1} {}", self.variant.name, all.percent(), parts.join(" "));
    }

    fn arrive(&mut self, now: time::Instant) {
        let capacity = ENDPOINTS as f64 * f64::from(LIMIT) / MEAN_SERVICE_SECONDS;
        let interarrival = self.exponential(1.0 / (capacity * self.variant.load));
        self.events.push(cmp::Reverse((now + interarrival, Event::Arrival)));
        let level = self.random.random_range(0..LEVELS.len());
        let small = self.random.random_bool(SMALL_SHARE);
        let service = self.exponential(MEAN_SERVICE_SECONDS / 2.0)
            + time::Duration::from_secs_f64(MEAN_SERVICE_SECONDS / 2.0);
        let call = SimulatedCall { level, small, service, deadline: now + TIME_BUDGETS[level] };
        self.by_level[level].total += 1;
        self.by_size[usize::from(small)].total += 1;
        if let Ok(ticket) = self.scheduler.enqueue(self.new_call(&call, now), now) {
            self.calls.insert(ticket.id, call);
        }
    }

    fn new_call(&self, call: &SimulatedCall, now: time::Instant) -> pool_scheduler::NewCall {
        let workspace = if call.small && self.variant.fair { "small" } else { "large" };
        let deadline = if self.variant.deadlines { call.deadline } else { now + UNBOUNDED_BUDGET };
        pool_scheduler::NewCall {
            workspace: workspace.into(),
            weight: 1,
            priority: LEVELS[call.level],
            deadline,
            endpoint: None,
            excluded_endpoints: Vec::new(),
            exclusive: false,
            prefix: 0,
            bytes: 100,
        }
    }

    fn advance(&mut self, now: time::Instant) {
        while let Some(step) = self.scheduler.next(now) {
            match step {
                pool_scheduler::ScheduleDecision::Start { ticket, endpoint: name } => {
                    let slow = self.variant.slow && name == endpoint(0);
                    let factor = if slow { SLOWDOWN } else { 1.0 };
                    let duration = self.calls[&ticket].service.mul_f64(factor);
                    self.events.push(cmp::Reverse((now + duration, Event::End(ticket, duration))));
                }
                pool_scheduler::ScheduleDecision::Refuse { ticket, .. } => {
                    self.calls.swap_remove(&ticket);
                }
            }
        }
    }

    fn end(&mut self, ticket: ids::TicketId, latency: time::Duration, now: time::Instant) {
        let report = endpoint_lifecycle::SelfReport::default();
        let outcome = pool_endpoint::CallOutcome::Answered { report, latency: Some(latency) };
        self.scheduler.finish(ticket, outcome, now);
        let Some(call) = self.calls.swap_remove(&ticket) else { return };
        if now <= call.deadline {
            self.by_level[call.level].on_time += 1;
            self.by_size[usize::from(call.small)].on_time += 1;
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
        queue_timeout: QUEUE_TIME_LIMIT,
        calls_until_warm: 20,
        warm_limit: LIMIT,
    }
}
