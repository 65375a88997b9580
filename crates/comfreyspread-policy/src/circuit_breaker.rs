//! Circuit breaker of one endpoint: closed, open, half-open.
//!
//! Consecutive failures open it, as does ejection for slowness. After a pause that doubles each
//! time the breaker reopens, one call at a time probes the endpoint until enough have succeeded.

use std::{mem, time};

const FAILURES_TO_OPEN: u32 = 3;
const SUCCESSES_TO_CLOSE: u32 = 3;
const INITIAL_PAUSE: time::Duration = time::Duration::from_secs(1);
const MAX_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Why a breaker opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenCause {
    /// Calls failed.
    Failures,
    /// The endpoint was far slower than the others of its pool.
    Slowness,
}

/// State that allows all calls.
#[derive(Debug)]
pub struct ClosedState {
    consecutive_failures: u32,
}

/// State that rejects all calls until the pause ends.
#[derive(Debug)]
pub struct OpenState {
    until: time::Instant,
    pause: time::Duration,
    cause: OpenCause,
}

/// State that allows one call at a time, as a probe.
#[derive(Debug)]
pub struct HalfOpenState {
    probe_in_flight: bool,
    successes: u32,
    pause: time::Duration,
    cause: OpenCause,
}

/// Circuit breaker in the state `State`.
#[derive(Debug)]
pub struct CircuitBreaker<State> {
    state: State,
}

impl CircuitBreaker<ClosedState> {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self { state: ClosedState { consecutive_failures: 0 } }
    }

    /// Opens the breaker for the initial pause.
    pub fn open(self, cause: OpenCause, now: time::Instant) -> CircuitBreaker<OpenState> {
        open_for(INITIAL_PAUSE, cause, now)
    }
}

impl Default for CircuitBreaker<ClosedState> {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker<OpenState> {
    /// Half-opens the breaker once the pause is over.
    pub fn probe(self) -> CircuitBreaker<HalfOpenState> {
        let OpenState { pause, cause, .. } = self.state;
        CircuitBreaker {
            state: HalfOpenState { probe_in_flight: false, successes: 0, pause, cause },
        }
    }
}

impl CircuitBreaker<HalfOpenState> {
    /// Closes the breaker.
    pub fn close(self) -> CircuitBreaker<ClosedState> {
        CircuitBreaker::new()
    }

    /// Opens the breaker again, for twice the last pause up to a maximum.
    pub fn reopen(self, cause: OpenCause, now: time::Instant) -> CircuitBreaker<OpenState> {
        open_for((self.state.pause * 2).min(MAX_PAUSE), cause, now)
    }
}

fn open_for(
    pause: time::Duration,
    cause: OpenCause,
    now: time::Instant,
) -> CircuitBreaker<OpenState> {
    CircuitBreaker { state: OpenState { until: now + pause, pause, cause } }
}

/// Circuit breaker whose state is known at run time only.
#[derive(Debug)]
pub enum EndpointBreaker {
    /// All calls are allowed.
    Closed(CircuitBreaker<ClosedState>),
    /// No call is allowed until the pause ends.
    Open(CircuitBreaker<OpenState>),
    /// One call at a time is allowed.
    HalfOpen(CircuitBreaker<HalfOpenState>),
}

impl EndpointBreaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self::Closed(CircuitBreaker::new())
    }

    /// Whether a call is allowed at `now`.
    pub fn allows(&self, now: time::Instant) -> bool {
        match self {
            Self::Closed(_) => true,
            Self::Open(breaker) => now >= breaker.state.until,
            Self::HalfOpen(breaker) => !breaker.state.probe_in_flight,
        }
    }

    /// Whether the breaker is open or half-open because the endpoint was slow.
    pub fn is_ejected(&self) -> bool {
        match self {
            Self::Closed(_) => false,
            Self::Open(breaker) => breaker.state.cause == OpenCause::Slowness,
            Self::HalfOpen(breaker) => breaker.state.cause == OpenCause::Slowness,
        }
    }

    /// Whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Closed(_))
    }

    /// Returns the time at which the pause ends, if the breaker is open.
    pub fn open_until(&self) -> Option<time::Instant> {
        match self {
            Self::Open(breaker) => Some(breaker.state.until),
            Self::Closed(_) | Self::HalfOpen(_) => None,
        }
    }

    /// Records a call about to be sent; half-opens the breaker if its pause is over.
    pub fn record_sent(&mut self, now: time::Instant) {
        if let Self::Open(breaker) = self
            && now >= breaker.state.until
        {
            *self = match mem::take(self) {
                Self::Open(breaker) => Self::HalfOpen(breaker.probe()),
                other => other,
            };
        }
        if let Self::HalfOpen(breaker) = self {
            breaker.state.probe_in_flight = true;
        }
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        match self {
            Self::Closed(breaker) => breaker.state.consecutive_failures = 0,
            Self::Open(_) => {}
            Self::HalfOpen(breaker) => {
                breaker.state.probe_in_flight = false;
                breaker.state.successes += 1;
                if breaker.state.successes >= SUCCESSES_TO_CLOSE {
                    *self = Self::new();
                }
            }
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: time::Instant) {
        match self {
            Self::Closed(breaker) => {
                breaker.state.consecutive_failures += 1;
                if breaker.state.consecutive_failures >= FAILURES_TO_OPEN {
                    self.open(OpenCause::Failures, now);
                }
            }
            Self::Open(_) => {}
            Self::HalfOpen(_) => self.open(OpenCause::Failures, now),
        }
    }

    /// Records a call whose outcome says nothing about the health of the endpoint.
    pub fn record_inconclusive(&mut self) {
        if let Self::HalfOpen(breaker) = self {
            breaker.state.probe_in_flight = false;
        }
    }

    /// Opens the breaker, unless it is open already.
    pub fn open(&mut self, cause: OpenCause, now: time::Instant) {
        *self = match mem::take(self) {
            Self::Closed(breaker) => Self::Open(breaker.open(cause, now)),
            Self::HalfOpen(breaker) => Self::Open(breaker.reopen(cause, now)),
            Self::Open(breaker) => Self::Open(breaker),
        };
    }
}

impl Default for EndpointBreaker {
    fn default() -> Self {
        Self::new()
    }
}
