//! A batch queue under a stream of requests, on injected time.
#![allow(clippy::disallowed_methods, dead_code, reason = "start of injected time; a part is used")]

use comfreyspread_policy::{batch_call, batch_outcome, batch_queue, batch_worker, piece_group};
use comfreyspread_schema::types;
use indexmap::IndexMap;
use std::{net, time};

pub const MAX_BATCH: u32 = 14;
pub const CALL_TIME: time::Duration = time::Duration::from_millis(200);
pub const PIECE_TIME: time::Duration = time::Duration::from_millis(12);
pub const TARGET: time::Duration = time::Duration::from_millis(1000);
pub const DEADLINE: time::Duration = time::Duration::from_millis(4500);
const STEP: time::Duration = time::Duration::from_millis(1);

/// Requests of two pieces each, for a number of endpoints, both spread over the zones.
#[derive(Clone, Copy, Debug)]
pub struct QueueLoad {
    pub endpoints: usize,
    pub zones: usize,
    pub arrivals_per_second: u64,
    pub duration: time::Duration,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct LoadOutcome {
    pub arrived: usize,
    pub in_target: usize,
    pub late: usize,
    pub rejected_after: Vec<time::Duration>,
    /// Pieces made in the zone of their group, and in another.
    pub home_pieces: usize,
    pub away_pieces: usize,
}

impl LoadOutcome {
    /// Returns the median time until a rejection.
    pub fn median_rejection(&mut self) -> time::Duration {
        self.rejected_after.sort_unstable();
        self.rejected_after[self.rejected_after.len() / 2]
    }
}

impl QueueLoad {
    /// Returns how many requests the endpoints can serve with full calls.
    pub fn possible(&self) -> f64 {
        let full_call = CALL_TIME + PIECE_TIME * MAX_BATCH;
        let calls = self.duration.as_secs_f64() / full_call.as_secs_f64();
        calls * self.endpoints as f64 * f64::from(MAX_BATCH) / 2.0
    }

    /// Plays the load until each request has an outcome.
    pub fn play(&self) -> LoadOutcome {
        let start = time::Instant::now();
        let mut queue = batch_queue::BatchQueue::new(capacity());
        queue.set_workers((0..self.endpoints).map(|index| self.location(index)), start);
        let mut arrived = IndexMap::new();
        let mut running: Vec<(time::Instant, batch_call::PlannedCall)> = Vec::new();
        let mut outcome = LoadOutcome::default();
        let mut now = start;
        while now < start + self.duration + DEADLINE {
            let elapsed = now - start;
            let due = elapsed.as_millis() as u64 * self.arrivals_per_second / 1000;
            while elapsed < self.duration && (arrived.len() as u64) < due {
                let group = self.group(arrived.len(), now);
                arrived.insert(queue.push(group), now);
            }
            let ended: Vec<_> = running.extract_if(.., |(ends, _)| *ends <= now).collect();
            for (_, call) in ended {
                queue.finish_call(call.number, &answered(&call), now);
            }
            for completed in queue.take_completed(now) {
                outcome.record(&completed.outcomes, now - arrived[&completed.number]);
            }
            for call in queue.plan(now) {
                self.count_zones(&call, &mut outcome);
                let pieces = u32::try_from(call.tasks.len()).expect("a small call");
                running.push((now + CALL_TIME + PIECE_TIME * pieces, call));
            }
            now += STEP;
        }
        outcome.arrived = arrived.len();
        outcome
    }

    fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones)
    }

    fn location(&self, index: usize) -> batch_worker::WorkerLocation {
        let port = 9000 + u16::try_from(index).expect("few endpoints");
        batch_worker::WorkerLocation {
            endpoint: format!("endpoint-{index}").into(),
            address: net::SocketAddr::from(([127, 0, 0, 1], port)),
            zone: self.zone(index).into(),
            paused_until: None,
            is_held: false,
        }
    }

    fn group(&self, index: usize, now: time::Instant) -> piece_group::PieceGroup {
        let zone = self.zone(index);
        let task = types::PieceTask {
            inputs: Vec::new(),
            key: None,
            piece: 0,
            request: zone.as_str().into(),
            stage: 0,
            time_left: DEADLINE,
        };
        piece_group::PieceGroup {
            tasks: vec![task; 2],
            priority: 1,
            result_bytes: 0,
            target: now + TARGET,
            deadline: now + DEADLINE,
            inputs_expire_at: None,
            zone: Some(zone.into()),
        }
    }

    /// Counts the pieces of a call by whether they are made in the zone that their task names.
    fn count_zones(&self, call: &batch_call::PlannedCall, outcome: &mut LoadOutcome) {
        let zone = self.zone(usize::from(call.address.port()) - 9000);
        let home = call.tasks.iter().filter(|task| *task.request == *zone).count();
        outcome.home_pieces += home;
        outcome.away_pieces += call.tasks.len() - home;
    }
}

impl LoadOutcome {
    fn record(&mut self, outcomes: &[types::PieceOutcome], took: time::Duration) {
        let made = |outcome: &types::PieceOutcome| matches!(outcome, types::PieceOutcome::Made(_));
        match outcomes.iter().all(made) {
            true if took <= TARGET => self.in_target += 1,
            true => self.late += 1,
            false => self.rejected_after.push(took),
        }
    }
}

fn capacity() -> types::StageCapacity {
    types::StageCapacity {
        call_time_us: CALL_TIME.as_micros() as u64,
        max_batch_size: MAX_BATCH,
        max_queued_calls: 1,
        piece_time_us: PIECE_TIME.as_micros() as u64,
        result_ttl: time::Duration::from_secs(20),
        slots: 1,
        storage_bytes: 0,
    }
}

fn answered(call: &batch_call::PlannedCall) -> batch_outcome::BatchOutcome {
    let made = (0..call.tasks.len())
        .map(|index| types::PieceOutcome::Made(format!("{}-{index}", call.number).as_str().into()));
    batch_outcome::BatchOutcome::Answered(made.collect())
}
