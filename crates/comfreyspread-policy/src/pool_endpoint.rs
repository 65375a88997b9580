//! State of one endpoint at the owner of its pool: life cycle, concurrency limit, circuit breaker
//! and latency.

use crate::{circuit_breaker, concurrency_limit, endpoint_lifecycle, latency};
use comfreyspread_schema::{ids, types};
use std::time;

const COLD_LATENCY_RATIO: f64 = 4.0;
const COLD_LATENCY_MARGIN: time::Duration = time::Duration::from_millis(20);
const MIN_COLD_CHECK_SAMPLES: u32 = 20;
const MIN_UNCONFIRMED_TIMEOUT: time::Duration = time::Duration::from_millis(100);
const MAX_UNCONFIRMED_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Outcome of a call at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The endpoint answered.
    Answered {
        /// State that the endpoint reported with the answer.
        report: endpoint_lifecycle::SelfReport,
        /// Time to the answer, if it is a valid latency sample of the endpoint.
        latency: Option<time::Duration>,
    },
    /// The endpoint refused the call before running it.
    Refused,
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint went down while the call was in flight.
    Crashed,
    /// No connection could be made.
    Unreachable,
    /// The call timed out and may still be running.
    TimedOut,
    /// The caller disconnected; the call may still be running.
    Abandoned,
    /// The call was never sent.
    Unsent,
}

/// State of one endpoint.
#[derive(Debug)]
pub struct PoolEndpoint {
    lifecycle: endpoint_lifecycle::EndpointStatus,
    limit: concurrency_limit::ConcurrencyLimit,
    breaker: circuit_breaker::EndpointBreaker,
    latency: latency::LatencyEstimate,
    reserved: Option<ids::TicketId>,
    running_exclusive: bool,
}

impl PoolEndpoint {
    /// Creates the state of a new endpoint: cold, without calls and with a closed breaker.
    pub fn new(pool: &types::PoolDeclaration) -> Self {
        Self {
            lifecycle: endpoint_lifecycle::EndpointStatus::new(),
            limit: concurrency_limit::ConcurrencyLimit::new(pool),
            breaker: circuit_breaker::EndpointBreaker::new(),
            latency: latency::LatencyEstimate::new(),
            reserved: None,
            running_exclusive: false,
        }
    }

    /// Returns the phase of the endpoint.
    pub fn phase(&self) -> types::EndpointPhase {
        self.lifecycle.phase()
    }

    /// Whether the endpoint is in service, even if it has no free slot at present.
    pub fn takes_calls(&self) -> bool {
        self.lifecycle.accepts_calls()
    }

    /// Whether the endpoint is ejected as an outlier.
    pub fn is_ejected(&self) -> bool {
        self.breaker.is_ejected()
    }

    /// Returns the number of calls that may be running, including unconfirmed and inherited ones.
    pub fn running(&self) -> u32 {
        self.limit.running()
    }

    /// Returns the concurrency limit of the endpoint.
    pub fn limit(&self) -> u32 {
        self.limit.limit(&self.lifecycle)
    }

    /// Returns the concurrency limit, or zero unless the breaker is closed.
    pub fn capacity(&self) -> u32 {
        if self.breaker.is_closed() { self.limit() } else { 0 }
    }

    /// Returns the latency estimate of the endpoint, sampled while it is warm.
    pub fn latency(&self) -> &latency::LatencyEstimate {
        &self.latency
    }

    /// Returns the next time after `now` at which the breaker or an expiry may allow a call.
    pub fn next_wakeup(&self, now: time::Instant) -> Option<time::Instant> {
        let breaker_open_until = self.breaker.open_until().filter(|until| *until > now);
        [breaker_open_until, self.limit.next_expiry()].into_iter().flatten().min()
    }

    /// Whether the call `ticket` can start at `now`.
    pub fn can_start(&self, ticket: ids::TicketId, exclusive: bool, now: time::Instant) -> bool {
        let running = self.running();
        running < self.limit()
            && !self.running_exclusive
            && self.reserved.is_none_or(|reserved| reserved == ticket)
            && (!exclusive || running == 0)
            && self.breaker.allows(now)
    }

    /// Whether any call can start at `now`.
    pub fn has_free_slot(&self, now: time::Instant) -> bool {
        self.running() < self.limit() && !self.running_exclusive && self.breaker.allows(now)
    }

    /// Applies a new declaration of the pool.
    pub fn update_pool(&mut self, pool: &types::PoolDeclaration) {
        self.limit.update_pool(pool);
    }

    /// Sets whether the endpoint takes new calls.
    pub fn set_available(&mut self, available: bool) {
        if available == self.takes_calls() {
            return;
        }
        if available {
            self.lifecycle.rejoin();
            self.latency = latency::LatencyEstimate::new();
            return;
        }
        self.lifecycle.leave();
        self.reserved = None;
        self.mark_gone_if_idle();
    }

    /// Counts `calls` of a former owner as running until `until`, replacing an earlier count.
    pub fn set_inherited_calls(&mut self, calls: u32, until: time::Instant) {
        self.limit.set_inherited_calls(calls, until);
    }

    /// Reserves the endpoint for the call `ticket`, so that it becomes idle for it.
    pub fn reserve(&mut self, ticket: ids::TicketId) {
        self.reserved = Some(ticket);
    }

    /// Returns the call that the endpoint is reserved for.
    pub fn reserved(&self) -> Option<ids::TicketId> {
        self.reserved
    }

    /// Cancels the reservation if it is for the call `ticket`.
    pub fn cancel_reservation(&mut self, ticket: ids::TicketId) {
        if self.reserved == Some(ticket) {
            self.reserved = None;
        }
    }

    /// Acquires a slot for a call about to be sent; returns whether one was free.
    pub fn start(&mut self, ticket: ids::TicketId, exclusive: bool, now: time::Instant) -> bool {
        if !self.can_start(ticket, exclusive, now) || !self.limit.try_acquire(&self.lifecycle) {
            return false;
        }
        self.cancel_reservation(ticket);
        self.running_exclusive = exclusive;
        self.breaker.record_sent(now);
        true
    }

    /// Releases the slots of unconfirmed and inherited calls that have expired.
    pub fn expire(&mut self, now: time::Instant) {
        self.limit.expire(now);
        self.mark_gone_if_idle();
    }

    /// Records the state that the endpoint reports in the response head of a call sent at `sent`.
    pub fn record_report(
        &mut self,
        report: endpoint_lifecycle::SelfReport,
        sent: time::Instant,
        now: time::Instant,
    ) {
        let sample = endpoint_lifecycle::AnswerSample { report, sent, answered: now, slow: false };
        self.lifecycle.record_report(&sample);
    }

    /// Ends a call that was sent at `sent`.
    pub fn finish(
        &mut self,
        outcome: CallOutcome,
        warm_after: u32,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.running_exclusive = false;
        match outcome {
            CallOutcome::TimedOut | CallOutcome::Abandoned => {
                self.limit.release_unconfirmed(now + self.unconfirmed_timeout());
            }
            _ => self.limit.release(),
        }
        match outcome {
            CallOutcome::Answered { report, latency } => {
                let slow = latency.is_some_and(|latency| self.looks_cold(latency));
                let sample = endpoint_lifecycle::AnswerSample { report, sent, answered: now, slow };
                self.lifecycle.record_answer(&sample, warm_after);
                self.breaker.record_success();
                self.record_latency(latency);
            }
            CallOutcome::Crashed | CallOutcome::Unreachable => {
                self.lifecycle.record_connection_loss(now);
                self.breaker.record_failure(now);
            }
            CallOutcome::Failed | CallOutcome::Refused | CallOutcome::TimedOut => {
                self.breaker.record_failure(now);
            }
            CallOutcome::Abandoned | CallOutcome::Unsent => self.breaker.record_inconclusive(),
        }
        self.mark_gone_if_idle();
    }

    /// Opens the breaker because the endpoint is slow; returns false if it was open already.
    pub fn eject(&mut self, now: time::Instant) -> bool {
        if self.breaker.open_until().is_some() {
            return false;
        }
        self.breaker.open(circuit_breaker::OpenCause::Slowness, now);
        self.latency = latency::LatencyEstimate::new();
        true
    }

    fn mark_gone_if_idle(&mut self) {
        if self.running() == 0 {
            self.lifecycle.depart();
        }
    }

    fn record_latency(&mut self, latency: Option<time::Duration>) {
        if let Some(latency) = latency
            && self.phase() == types::EndpointPhase::Warm
        {
            self.latency.record(latency);
        }
    }

    /// Whether an answer took far longer than warm ones, with at most half of the slots in use.
    fn looks_cold(&self, latency: time::Duration) -> bool {
        let high = self.latency.high_quantile();
        let idle = self.running() * 2 <= self.limit();
        let has_samples = self.latency.samples() >= MIN_COLD_CHECK_SAMPLES;
        has_samples
            && idle
            && latency > high.mul_f64(COLD_LATENCY_RATIO)
            && latency > high + COLD_LATENCY_MARGIN
    }

    /// Returns how long a call counts as running after a timeout or a disconnect of its caller.
    fn unconfirmed_timeout(&self) -> time::Duration {
        (self.latency.high_quantile() * 2).clamp(MIN_UNCONFIRMED_TIMEOUT, MAX_UNCONFIRMED_TIMEOUT)
    }
}
