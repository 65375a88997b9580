//! A registered endpoint, with this node's own measurements of it and what it says of itself.

use crate::{endpoint_directory, endpoint_intake};
use comfreyspread_schema::types;
use std::time;

/// Weight of the newest response in the moving averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of measurements.
const DECAY_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Weight of measurements below which they do not count for the typical response time.
const MIN_RECENT_DECAY: f64 = 0.1;
/// Time added to the cost of an endpoint at a failure rate of 1.
pub(crate) const FAILURE_COST: time::Duration = time::Duration::from_millis(600);
/// How long an endpoint that refuses connections is avoided.
const UNREACHABLE_BACKOFF: time::Duration = time::Duration::from_millis(800);
/// How long an endpoint that is full is avoided.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(150);
/// Window for the rate limit of a cold endpoint: one second plus a margin.
const COLD_WINDOW: time::Duration = time::Duration::from_millis(1100);
const MICROS_PER_SECOND: f64 = 1e6;

/// A registered endpoint and its measurements.
#[derive(Debug)]
pub struct DirectoryEndpoint {
    /// Registration of the endpoint.
    pub registration: types::EndpointRegistration,
    /// Calls of this node in flight there.
    pub running: u32,
    /// Whether it takes requests, as it says in its answers.
    pub(crate) intake: endpoint_intake::EndpointIntake,
    cold_until: Option<time::Instant>,
    backoff_until: Option<time::Instant>,
    response_s: Option<f64>,
    failure_rate: f64,
    measured_at: time::Instant,
    cold_calls: Vec<time::Instant>,
}

impl DirectoryEndpoint {
    pub(crate) fn new(registration: types::EndpointRegistration, now: time::Instant) -> Self {
        let cold_until =
            (!registration.cold_time_left.is_zero()).then(|| now + registration.cold_time_left);
        Self {
            registration,
            running: 0,
            cold_until,
            backoff_until: None,
            intake: endpoint_intake::EndpointIntake::new(),
            response_s: None,
            failure_rate: 0.0,
            measured_at: now,
            cold_calls: Vec::new(),
        }
    }

    /// Whether a registration is of the same process: its start and version are those known.
    pub(crate) fn is_same_process(&self, registration: &types::EndpointRegistration) -> bool {
        let known = &self.registration;
        known.started_at_ms == registration.started_at_ms
            && known.service == registration.service
            && known.version == registration.version
    }

    /// Whether it is shutting down, as it registered or said in an answer.
    pub fn is_leaving(&self) -> bool {
        self.registration.leaving || self.intake.is_leaving()
    }

    /// Returns the end of the pause that it asked for, if it is paused.
    pub fn paused_until(&self, now: time::Instant) -> Option<time::Instant> {
        self.intake.paused_until(now)
    }

    /// Whether it is avoided after a failure or while it is full.
    pub fn is_backing_off(&self, now: time::Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Whether it is starting cold and takes requests only at a limited rate.
    pub fn is_cold(&self, now: time::Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Returns the calls of this node within [`COLD_WINDOW`] that were made while the endpoint was
    /// cold.
    pub(crate) fn cold_calls(&self, now: time::Instant) -> u32 {
        let recent = |call: &&time::Instant| now.saturating_duration_since(**call) < COLD_WINDOW;
        u32::try_from(self.cold_calls.iter().filter(recent).count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn record_cold_call(&mut self, now: time::Instant) {
        self.cold_calls.retain(|call| now.saturating_duration_since(*call) < COLD_WINDOW);
        self.cold_calls.push(now);
    }

    /// Returns the weight of the measurements at their present age, from 1 down to 0.
    pub(crate) fn decay(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured_at).as_secs_f64();
        0.5_f64.powf(age / DECAY_HALF_LIFE.as_secs_f64())
    }

    /// Returns the expected response time in seconds, with the cost of failures; `typical` is the
    /// response time assumed where measurements are missing or old.
    pub(crate) fn expected(&self, typical: f64, now: time::Instant) -> f64 {
        let decay = self.decay(now);
        let response = self.response_s.unwrap_or(typical) * decay + typical * (1.0 - decay);
        let utilization = f64::from(self.running) / f64::from(self.registration.slots.max(1));
        response * (1.0 + utilization) + self.failure_rate * decay * FAILURE_COST.as_secs_f64()
    }

    /// Returns the average response time in seconds, if it is recent.
    pub(crate) fn recent_response(&self, now: time::Instant) -> Option<f64> {
        self.response_s.filter(|_| self.decay(now) > MIN_RECENT_DECAY)
    }

    /// Sets how long it remains cold.
    pub(crate) fn set_cold(&mut self, cold: time::Duration, now: time::Instant) {
        self.cold_until = Some(now + cold);
    }

    /// Records the outcome of a call and the time that it took.
    pub(crate) fn record_call(
        &mut self,
        outcome: endpoint_directory::AttemptOutcome,
        took: time::Duration,
        now: time::Instant,
    ) {
        use endpoint_directory::AttemptOutcome as Outcome;
        match outcome {
            Outcome::Served | Outcome::Failed => {
                self.record_response(outcome == Outcome::Failed, took, now);
            }
            Outcome::Full => self.backoff_until = Some(now + FULL_BACKOFF),
            Outcome::Unreachable => self.backoff_until = Some(now + UNREACHABLE_BACKOFF),
            Outcome::Gone => {
                let gone = endpoint_intake::IntakeNotice { leaving: true, ..Default::default() };
                self.intake.apply(gone, now);
            }
            Outcome::Cancelled => {}
        }
    }

    fn record_response(&mut self, failed: bool, took: time::Duration, now: time::Instant) {
        let decay = self.decay(now);
        let failed = f64::from(u8::from(failed));
        self.failure_rate =
            self.failure_rate * decay * (1.0 - SAMPLE_WEIGHT) + failed * SAMPLE_WEIGHT;
        let took = took.as_micros() as f64 / MICROS_PER_SECOND;
        let average = self.response_s.unwrap_or(took);
        self.response_s = Some(average * (1.0 - SAMPLE_WEIGHT) + took * SAMPLE_WEIGHT);
        self.measured_at = now;
    }
}
