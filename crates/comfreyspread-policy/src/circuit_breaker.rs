//! Circuit breaker of one endpoint: closed, open, half-open.
//!
//! Repeated failures open it, and so does ejection for slowness. After a pause that doubles each
//! time, one call at a time probes the endpoint until enough of them have succeeded.

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
    /// Calls took far longer than at the other endpoints of the pool.
    Slowness,
}

/// State that lets calls pass.
#[derive(Debug)]
pub struct ClosedState {
    failures: u32,
}

/// State that lets no call pass before a moment.
#[derive(Debug)]
pub struct OpenState {
    until: time::Instant,
    pause: time::Duration,
    cause: OpenCause,
}

/// State that lets one call pass at a time.
#[derive(Debug)]
pub struct HalfOpenState {
    probing: bool,
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
    /// Creates a breaker that lets calls pass.
    pub fn new() -> Self {
        Self { state: ClosedState { failures: 0 } }
    }

    /// Lets no call pass for a first pause.
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
    /// Lets one call at a time pass, once the pause is over.
    pub fn probe(self) -> CircuitBreaker<HalfOpenState> {
        let OpenState { pause, cause, .. } = self.state;
        CircuitBreaker { state: HalfOpenState { probing: false, successes: 0, pause, cause } }
    }
}

impl CircuitBreaker<HalfOpenState> {
    /// Lets all calls pass again.
    pub fn close(self) -> CircuitBreaker<ClosedState> {
        CircuitBreaker::new()
    }

    /// Lets no call pass for a pause twice as long as the last.
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

/// Circuit breaker in any state, as tables hold it.
#[derive(Debug)]
pub enum EndpointBreaker {
    /// Calls pass.
    Closed(CircuitBreaker<ClosedState>),
    /// No call passes.
    Open(CircuitBreaker<OpenState>),
    /// One call at a time passes.
    HalfOpen(CircuitBreaker<HalfOpenState>),
}

impl EndpointBreaker {
    /// Creates a breaker that lets calls pass.
    pub fn new() -> Self {
        Self::Closed(CircuitBreaker::new())
    }

    /// Whether a call may pass at `now`.
    pub fn allows(&self, now: time::Instant) -> bool {
        match self {
            Self::Closed(_) => true,
            Self::Open(breaker) => now >= breaker.state.until,
            Self::HalfOpen(breaker) => !breaker.state.probing,
        }
    }

    /// Whether the endpoint is kept from its full load for slowness.
    pub fn is_ejected(&self) -> bool {
        match self {
            Self::Closed(_) => false,
            Self::Open(breaker) => breaker.state.cause == OpenCause::Slowness,
            Self::HalfOpen(breaker) => breaker.state.cause == OpenCause::Slowness,
        }
    }

    /// Whether all calls pass.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Closed(_))
    }

    /// Returns the moment at which the pause ends, if the breaker is open.
    pub fn open_until(&self) -> Option<time::Instant> {
        match self {
            Self::Open(breaker) => Some(breaker.state.until),
            Self::Closed(_) | Self::HalfOpen(_) => None,
        }
    }

    /// Notes that a call is sent.
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
            breaker.state.probing = true;
        }
    }

    /// Notes that a call succeeded.
    pub fn record_success(&mut self) {
        match self {
            Self::Closed(breaker) => breaker.state.failures = 0,
            Self::Open(_) => {}
            Self::HalfOpen(breaker) => {
                breaker.state.probing = false;
                breaker.state.successes += 1;
                if breaker.state.successes >= SUCCESSES_TO_CLOSE {
                    *self = Self::new();
                }
            }
        }
    }

    /// Notes that a call failed.
    pub fn record_failure(&mut self, now: time::Instant) {
        match self {
            Self::Closed(breaker) => {
                breaker.state.failures += 1;
                if breaker.state.failures >= FAILURES_TO_OPEN {
                    self.open(OpenCause::Failures, now);
                }
            }
            Self::Open(_) => {}
            Self::HalfOpen(_) => self.open(OpenCause::Failures, now),
        }
    }

    /// Notes that a call ended without telling anything of the endpoint.
    pub fn record_inconclusive(&mut self) {
        if let Self::HalfOpen(breaker) = self {
            breaker.state.probing = false;
        }
    }

    /// Lets no call pass for a pause, unless the breaker is open already.
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
