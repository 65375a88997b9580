//! What the owner of a pool knows of one of its endpoints.

use crate::{breaker, endpoint_lifecycle, latency, limit};
use comfreyspread_schema::{ids, types};
use std::time;

const SLOW_RATIO: f64 = 4.0;
const SLOW_MARGIN: time::Duration = time::Duration::from_millis(20);
const SAMPLES_TO_JUDGE: u32 = 20;
const LINGER_LEAST: time::Duration = time::Duration::from_millis(100);
const LINGER_MOST: time::Duration = time::Duration::from_secs(5);

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The endpoint answered.
    Answered {
        /// What it says of itself.
        signs: endpoint_lifecycle::SelfReport,
        /// Time to the answer, if it tells how fast the endpoint is.
        latency: Option<time::Duration>,
    },
    /// The endpoint refused the call before running it.
    Refused,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint went away while the call was in flight.
    Crashed,
    /// No connection could be made.
    Unreachable,
    /// No answer came in time; the call may still run.
    TimedOut,
    /// The caller went away; the call may still run.
    Abandoned,
    /// The call was never sent.
    Unsent,
}

/// State of one endpoint.
#[derive(Debug)]
pub struct PoolReplica {
    life: endpoint_lifecycle::EndpointStatus,
    limit: limit::ConcurrencyLimit,
    breaker: breaker::EndpointBreaker,
    latency: latency::LatencyEstimate,
    reserved: Option<ids::TicketId>,
    exclusive: bool,
}

impl PoolReplica {
    /// Creates the state of an endpoint that nothing is known of.
    pub fn new(pool: &types::PoolDeclaration) -> Self {
        Self {
            life: endpoint_lifecycle::EndpointStatus::new(),
            limit: limit::ConcurrencyLimit::new(pool),
            breaker: breaker::EndpointBreaker::new(),
            latency: latency::LatencyEstimate::new(),
            reserved: None,
            exclusive: false,
        }
    }

    /// Returns the phase of the endpoint.
    pub fn phase(&self) -> types::EndpointPhase {
        self.life.phase()
    }

    /// Whether the endpoint takes new calls, now or later.
    pub fn takes_calls(&self) -> bool {
        self.life.accepts_calls()
    }

    /// Whether the endpoint is ejected as an outlier.
    pub fn ejected(&self) -> bool {
        self.breaker.ejected()
    }

    /// Returns the calls that may be in flight.
    pub fn running(&self) -> u32 {
        self.limit.running()
    }

    /// Returns the calls the endpoint bears.
    pub fn limit(&self) -> u32 {
        self.limit.limit(&self.life)
    }

    /// Returns the calls the endpoint bears and the breaker lets pass.
    pub fn capacity(&self) -> u32 {
        if self.breaker.closed() { self.limit() } else { 0 }
    }

    /// Returns the running estimate of the endpoint's latency while warm.
    pub fn latency(&self) -> &latency::LatencyEstimate {
        &self.latency
    }

    /// Returns the next moment at which the endpoint may take a call it cannot take at `now`.
    pub fn wakes(&self, now: time::Instant) -> Option<time::Instant> {
        let reopens = self.breaker.reopens().filter(|moment| *moment > now);
        [reopens, self.limit.next_release()].into_iter().flatten().min()
    }

    /// Whether a call with `ticket` may start at `now`.
    pub fn accepts(&self, ticket: ids::TicketId, alone: bool, now: time::Instant) -> bool {
        let running = self.running();
        running < self.limit()
            && !self.exclusive
            && self.reserved.is_none_or(|holder| holder == ticket)
            && (!alone || running == 0)
            && self.breaker.allows(now)
    }

    /// Whether some call may start at `now`.
    pub fn has_room(&self, now: time::Instant) -> bool {
        self.running() < self.limit() && !self.exclusive && self.breaker.allows(now)
    }

    /// Follows a change of the pool's declaration.
    pub fn adjust(&mut self, pool: &types::PoolDeclaration) {
        self.limit.adjust(pool);
    }

    /// Lets the endpoint take calls, or none.
    pub fn set_available(&mut self, available: bool) {
        if available == self.takes_calls() {
            return;
        }
        if available {
            self.life.rejoin();
            self.latency = latency::LatencyEstimate::new();
            return;
        }
        self.life.leave();
        self.reserved = None;
        self.depart_if_idle();
    }

    /// Counts the calls of a former owner until the moment `until`.
    pub fn inherit(&mut self, calls: u32, until: time::Instant) {
        self.limit.inherit(calls, until);
    }

    /// Keeps new calls away so that the endpoint becomes idle for the call `ticket`.
    pub fn reserve(&mut self, ticket: ids::TicketId) {
        self.reserved = Some(ticket);
    }

    /// Returns the call the endpoint is reserved for.
    pub fn reserved(&self) -> Option<ids::TicketId> {
        self.reserved
    }

    /// Ends a reservation for the call `ticket`.
    pub fn unreserve(&mut self, ticket: ids::TicketId) {
        if self.reserved == Some(ticket) {
            self.reserved = None;
        }
    }

    /// Counts a call that is sent, if the endpoint bears it; returns whether it does.
    pub fn start(&mut self, ticket: ids::TicketId, alone: bool, now: time::Instant) -> bool {
        if !self.accepts(ticket, alone, now) || !self.limit.take(&self.life) {
            return false;
        }
        self.unreserve(ticket);
        self.exclusive = alone;
        self.breaker.note_sent(now);
        true
    }

    /// Stops counting calls that count until a moment which has come.
    pub fn release(&mut self, now: time::Instant) {
        self.limit.release(now);
        self.depart_if_idle();
    }

    /// Notes what the endpoint says of itself in the head of an answer to a call sent at `sent`.
    pub fn note_signs(
        &mut self,
        signs: endpoint_lifecycle::SelfReport,
        sent: time::Instant,
        now: time::Instant,
    ) {
        let sample = endpoint_lifecycle::AnswerSample { signs, sent, answered: now, slow: false };
        self.life.note_report(&sample);
    }

    /// Counts a call that was sent at `sent` as ended.
    pub fn finish(
        &mut self,
        outcome: CallOutcome,
        warm_after: u32,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.exclusive = false;
        match outcome {
            CallOutcome::TimedOut | CallOutcome::Abandoned => {
                self.limit.give_up(now + self.linger());
            }
            _ => self.limit.give_back(),
        }
        match outcome {
            CallOutcome::Answered { signs, latency } => {
                let slow = latency.is_some_and(|latency| self.shows_cold(latency));
                let sample = endpoint_lifecycle::AnswerSample { signs, sent, answered: now, slow };
                self.life.note_answer(&sample, warm_after);
                self.breaker.note_success();
                self.note_latency(latency);
            }
            CallOutcome::Crashed | CallOutcome::Unreachable => {
                self.life.note_connection_loss(now);
                self.breaker.note_failure(now);
            }
            CallOutcome::Failed | CallOutcome::Refused | CallOutcome::TimedOut => {
                self.breaker.note_failure(now);
            }
            CallOutcome::Abandoned | CallOutcome::Unsent => self.breaker.note_unknown(),
        }
        self.depart_if_idle();
    }

    /// Takes the endpoint out of use for a pause because it is slow; returns whether it was in use.
    pub fn eject(&mut self, now: time::Instant) -> bool {
        if self.breaker.reopens().is_some() {
            return false;
        }
        self.breaker.open(breaker::OpenCause::Slowness, now);
        self.latency = latency::LatencyEstimate::new();
        true
    }

    fn depart_if_idle(&mut self) {
        if self.running() == 0 {
            self.life.depart();
        }
    }

    fn note_latency(&mut self, latency: Option<time::Duration>) {
        if let Some(latency) = latency
            && self.phase() == types::EndpointPhase::Warm
        {
            self.latency.record(latency);
        }
    }

    /// Whether an answer took far longer than warm ones although the endpoint had little to do.
    fn shows_cold(&self, latency: time::Duration) -> bool {
        let high = self.latency.high();
        let idle = self.running() * 2 <= self.limit();
        let judged = self.latency.samples() >= SAMPLES_TO_JUDGE;
        judged && idle && latency > high.mul_f64(SLOW_RATIO) && latency > high + SLOW_MARGIN
    }

    /// Returns how long a call that was given up on counts as running.
    fn linger(&self) -> time::Duration {
        (self.latency.high() * 2).clamp(LINGER_LEAST, LINGER_MOST)
    }
}
