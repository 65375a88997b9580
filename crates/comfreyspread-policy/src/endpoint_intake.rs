//! Whether an endpoint takes new requests, as it says in its own answers: open, paused, leaving.
//!
//! A pause ends by itself; an endpoint that leaves never takes requests again, so nothing follows
//! that state:
//!
//! ```compile_fail
//! # use comfreyspread_policy::endpoint_intake;
//! let leaving = endpoint_intake::RequestIntake::new().leave();
//! let open = leaving.resume();
//! ```

use std::{mem, time};

/// Longest pause that is granted; an endpoint that wants more asks again.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(300);
/// Share of a pause, as a divisor, within which nodes and callers return at different times.
const RESUME_SPREAD_DIVISOR: u32 = 5;
/// Bounds of that time.
const MIN_RESUME_SPREAD: time::Duration = time::Duration::from_millis(250);
const MAX_RESUME_SPREAD: time::Duration = time::Duration::from_secs(2);

/// State that takes requests.
#[derive(Debug)]
pub struct OpenState;

/// State that takes no requests for a time.
#[derive(Debug)]
pub struct PausedState {
    until: time::Instant,
}

/// State that takes no requests any more.
#[derive(Debug)]
pub struct LeavingState;

/// Intake of an endpoint in the state `State`.
#[derive(Debug)]
pub struct RequestIntake<State> {
    state: State,
}

impl RequestIntake<OpenState> {
    /// Creates the intake of an endpoint that has said nothing yet.
    pub fn new() -> Self {
        Self { state: OpenState }
    }

    /// Pauses it until `until`.
    pub fn pause(self, until: time::Instant) -> RequestIntake<PausedState> {
        RequestIntake { state: PausedState { until } }
    }

    /// Closes it for good.
    pub fn leave(self) -> RequestIntake<LeavingState> {
        RequestIntake { state: LeavingState }
    }
}

impl Default for RequestIntake<OpenState> {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestIntake<PausedState> {
    /// Extends the pause to `until`; a later end that was asked for before stays.
    pub fn extend(self, until: time::Instant) -> Self {
        Self { state: PausedState { until: self.state.until.max(until) } }
    }

    /// Opens it once the pause is over.
    pub fn resume(self) -> RequestIntake<OpenState> {
        RequestIntake::new()
    }

    /// Closes it for good.
    pub fn leave(self) -> RequestIntake<LeavingState> {
        RequestIntake { state: LeavingState }
    }
}

/// What an endpoint says in an answer about further requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IntakeNotice {
    /// Whether it is shutting down, or another endpoint has its address.
    pub leaving: bool,
    /// How long it asks for no requests; zero if it does not.
    pub pause: time::Duration,
}

/// Change of an intake by a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeChange {
    /// The endpoint leaves.
    Leaving,
    /// The endpoint is paused until then.
    Paused(time::Instant),
}

/// Intake whose state is known at run time only.
#[derive(Debug)]
pub enum EndpointIntake {
    /// Requests are taken.
    Open(RequestIntake<OpenState>),
    /// No request is taken until the pause ends.
    Paused(RequestIntake<PausedState>),
    /// No request is taken any more.
    Leaving(RequestIntake<LeavingState>),
}

impl EndpointIntake {
    /// Creates the intake of an endpoint that has said nothing yet.
    pub fn new() -> Self {
        Self::Open(RequestIntake::new())
    }

    /// Whether the endpoint leaves.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Leaving(_))
    }

    /// Returns the end of the pause, if the endpoint is paused at `now`.
    pub fn paused_until(&self, now: time::Instant) -> Option<time::Instant> {
        match self {
            Self::Paused(intake) => Some(intake.state.until).filter(|until| *until > now),
            Self::Open(_) | Self::Leaving(_) => None,
        }
    }

    /// Whether it holds nothing that is still in force at `now`.
    pub fn is_open(&self, now: time::Instant) -> bool {
        !self.is_leaving() && self.paused_until(now).is_none()
    }

    /// Applies a notice; returns the change, if it made one.
    pub fn apply(&mut self, notice: IntakeNotice, now: time::Instant) -> Option<IntakeChange> {
        if self.is_leaving() {
            return None;
        }
        if notice.leaving {
            self.leave();
            return Some(IntakeChange::Leaving);
        }
        let before = self.paused_until(now);
        if !notice.pause.is_zero() {
            self.pause(now + notice.pause, now);
        }
        let after = self.paused_until(now);
        after.filter(|_| after != before).map(IntakeChange::Paused)
    }

    fn leave(&mut self) {
        *self = Self::Leaving(match mem::take(self) {
            Self::Open(intake) => intake.leave(),
            Self::Paused(intake) => intake.leave(),
            Self::Leaving(intake) => intake,
        });
    }

    fn pause(&mut self, until: time::Instant, now: time::Instant) {
        *self = match mem::take(self) {
            Self::Open(intake) => Self::Paused(intake.pause(until)),
            Self::Paused(intake) if intake.state.until <= now => {
                Self::Paused(intake.resume().pause(until))
            }
            Self::Paused(intake) => Self::Paused(intake.extend(until)),
            Self::Leaving(intake) => Self::Leaving(intake),
        };
    }
}

impl Default for EndpointIntake {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns how long to pause for an endpoint that asks for `asked`: at most [`MAX_PAUSE`], and a
/// random time more, so that the nodes do not all return at once.
pub fn pause_length<Random>(asked: time::Duration, random: &mut Random) -> time::Duration
where
    Random: rand::Rng,
{
    with_spread(asked.min(MAX_PAUSE), random)
}

/// Adds a random time to a pause, so that not all who wait for its end return at once; nothing to
/// none.
pub fn with_spread<Random>(pause: time::Duration, random: &mut Random) -> time::Duration
where
    Random: rand::Rng,
{
    if pause.is_zero() {
        return pause;
    }
    let spread = (pause / RESUME_SPREAD_DIVISOR).clamp(MIN_RESUME_SPREAD, MAX_RESUME_SPREAD);
    pause + spread.mul_f64(random.random_range(0.0..1.0))
}
