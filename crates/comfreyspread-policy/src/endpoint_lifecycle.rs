//! Life cycle of an endpoint: unknown, cold, warming, warm, leaving, gone.
//!
//! An endpoint may turn cold again at any moment and without notice. Any sign of it starts the
//! cycle anew: another start id, a lost connection, its own report, or an answer far slower than
//! its warm ones while it has little to do. Answers to calls sent before the endpoint turned cold
//! say nothing about its state since, so they count for nothing.

use comfreyspread_schema::{ids, types};
use std::{mem, time};

/// What an endpoint says of itself with each answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SelfReport {
    /// Start id, if given.
    pub start: Option<ids::StartId>,
    /// Whether it reports itself in cold start, if it says so or not.
    pub cold: Option<bool>,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
}

/// One answer, as evidence of the state of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSample {
    /// What the endpoint says of itself.
    pub signs: SelfReport,
    /// Moment the call was sent.
    pub sent: time::Instant,
    /// Moment the answer came.
    pub answered: time::Instant,
    /// Whether it was far slower than warm answers, with few calls in flight.
    pub slow: bool,
}

/// State of an endpoint that this node knows nothing of; it counts as cold.
#[derive(Debug)]
pub struct UnknownState;

/// State of an endpoint in cold start.
#[derive(Debug)]
pub struct ColdState {
    since: time::Instant,
}

/// State of an endpoint that has answered since its cold start.
#[derive(Debug)]
pub struct WarmingState {
    since: time::Instant,
    successes: u32,
}

/// State of an endpoint that bears its full load.
#[derive(Debug)]
pub struct WarmState {
    since: time::Instant,
    successes: u32,
}

/// State of an endpoint that takes no new calls and finishes those it has.
#[derive(Debug)]
pub struct LeavingState;

/// State of an endpoint that has left.
#[derive(Debug)]
pub struct GoneState;

/// Life of an endpoint in the state `State`.
#[derive(Debug)]
pub struct EndpointLifecycle<State> {
    start: Option<ids::StartId>,
    state: State,
}

impl EndpointLifecycle<UnknownState> {
    /// Starts the life of an endpoint that nothing is known of.
    pub fn new() -> Self {
        Self { start: None, state: UnknownState }
    }
}

impl Default for EndpointLifecycle<UnknownState> {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointLifecycle<ColdState> {
    /// Counts the first success.
    pub fn warm_up(self) -> EndpointLifecycle<WarmingState> {
        let state = WarmingState { since: self.state.since, successes: 0 };
        EndpointLifecycle { start: self.start, state }
    }
}

impl EndpointLifecycle<WarmingState> {
    /// Counts one more success.
    pub fn succeed(mut self) -> Self {
        self.state.successes = self.state.successes.saturating_add(1);
        self
    }

    /// Lets the endpoint take its full load from `now` on.
    pub fn settle(self, now: time::Instant) -> EndpointLifecycle<WarmState> {
        EndpointLifecycle { start: self.start, state: WarmState { since: now, successes: 0 } }
    }
}

impl EndpointLifecycle<WarmState> {
    /// Counts one more success.
    pub fn succeed(mut self) -> Self {
        self.state.successes = self.state.successes.saturating_add(1);
        self
    }
}

/// A state in which an endpoint takes new calls.
pub trait ServingState {}

impl ServingState for UnknownState {}
impl ServingState for ColdState {}
impl ServingState for WarmingState {}
impl ServingState for WarmState {}

impl<State> EndpointLifecycle<State>
where
    State: ServingState,
{
    /// Starts the cycle anew at `now`.
    pub fn chill(
        self,
        start: Option<ids::StartId>,
        now: time::Instant,
    ) -> EndpointLifecycle<ColdState> {
        EndpointLifecycle { start: start.or(self.start), state: ColdState { since: now } }
    }

    /// Takes no new calls from now on.
    pub fn leave(self) -> EndpointLifecycle<LeavingState> {
        EndpointLifecycle { start: self.start, state: LeavingState }
    }
}

impl EndpointLifecycle<LeavingState> {
    /// Ends the life, once no call is in flight.
    pub fn depart(self) -> EndpointLifecycle<GoneState> {
        EndpointLifecycle { start: self.start, state: GoneState }
    }

    /// Takes new calls again; what was known of the endpoint no longer holds.
    pub fn rejoin(self) -> EndpointLifecycle<UnknownState> {
        EndpointLifecycle::new()
    }
}

impl EndpointLifecycle<GoneState> {
    /// Takes new calls again; what was known of the endpoint no longer holds.
    pub fn rejoin(self) -> EndpointLifecycle<UnknownState> {
        EndpointLifecycle::new()
    }
}

/// Life of an endpoint in any state, as tables hold it.
#[derive(Debug)]
pub enum EndpointStatus {
    /// Nothing is known of the endpoint.
    Unknown(EndpointLifecycle<UnknownState>),
    /// It is in cold start.
    Cold(EndpointLifecycle<ColdState>),
    /// It has answered since its cold start.
    Warming(EndpointLifecycle<WarmingState>),
    /// It bears its full load.
    Warm(EndpointLifecycle<WarmState>),
    /// It takes no new calls.
    Leaving(EndpointLifecycle<LeavingState>),
    /// It has left.
    Gone(EndpointLifecycle<GoneState>),
}

impl EndpointStatus {
    /// Creates the life of an endpoint that nothing is known of.
    pub fn new() -> Self {
        Self::Unknown(EndpointLifecycle::new())
    }

    /// Returns the phase shown to operators and peers.
    pub fn phase(&self) -> types::EndpointPhase {
        match self {
            Self::Unknown(_) => types::EndpointPhase::Unknown,
            Self::Cold(_) => types::EndpointPhase::Cold,
            Self::Warming(_) => types::EndpointPhase::Warming,
            Self::Warm(_) => types::EndpointPhase::Warm,
            Self::Leaving(_) => types::EndpointPhase::Leaving,
            Self::Gone(_) => types::EndpointPhase::Gone,
        }
    }

    /// Whether the endpoint takes new calls.
    pub fn takes_calls(&self) -> bool {
        !matches!(self, Self::Leaving(_) | Self::Gone(_))
    }

    /// Returns the successes since the endpoint became warm; none if it is not warm.
    pub fn warm_successes(&self) -> Option<u32> {
        match self {
            Self::Warm(life) => Some(life.state.successes),
            _ => None,
        }
    }

    /// Notes a whole answer; a cold endpoint counts as warm after `warm_after` successes, or once
    /// it reports so itself.
    pub fn note_answer(&mut self, sample: &AnswerSample, warm_after: u32) {
        if self.predates_state(sample) {
            return;
        }
        if self.shows_cold(sample) {
            self.chill(sample.signs.start, sample.answered);
            return;
        }
        let start = sample.signs.start;
        *self = match mem::take(self) {
            Self::Unknown(life) => warmer(life.chill(start, sample.sent), sample, warm_after),
            Self::Cold(life) => warmer(life, sample, warm_after),
            Self::Warming(life) => settled(life.succeed(), sample, warm_after),
            Self::Warm(life) => Self::Warm(life.succeed()),
            other => other,
        };
    }

    /// Notes what the endpoint says of itself before its answer is whole.
    pub fn note_signs(&mut self, sample: &AnswerSample) {
        if !self.predates_state(sample) && self.shows_cold(sample) {
            self.chill(sample.signs.start, sample.answered);
        }
    }

    /// Notes that the endpoint could not be reached or went away while a call was in flight.
    pub fn note_loss(&mut self, now: time::Instant) {
        self.chill(None, now);
    }

    /// Takes no new calls until [`EndpointStatus::rejoin`].
    pub fn leave(&mut self) {
        *self = match mem::take(self) {
            Self::Unknown(life) => Self::Leaving(life.leave()),
            Self::Cold(life) => Self::Leaving(life.leave()),
            Self::Warming(life) => Self::Leaving(life.leave()),
            Self::Warm(life) => Self::Leaving(life.leave()),
            other => other,
        };
    }

    /// Ends the life of an endpoint that is leaving.
    pub fn depart(&mut self) {
        *self = match mem::take(self) {
            Self::Leaving(life) => Self::Gone(life.depart()),
            other => other,
        };
    }

    /// Lets an endpoint that was leaving or gone take calls again, as an unknown one.
    pub fn rejoin(&mut self) {
        *self = match mem::take(self) {
            Self::Leaving(life) => Self::Unknown(life.rejoin()),
            Self::Gone(life) => Self::Unknown(life.rejoin()),
            other => other,
        };
    }

    fn chill(&mut self, start: Option<ids::StartId>, now: time::Instant) {
        *self = match mem::take(self) {
            Self::Unknown(life) => Self::Cold(life.chill(start, now)),
            Self::Cold(life) => Self::Cold(life.chill(start, now)),
            Self::Warming(life) => Self::Cold(life.chill(start, now)),
            Self::Warm(life) => Self::Cold(life.chill(start, now)),
            other => other,
        };
    }

    fn start(&self) -> Option<ids::StartId> {
        match self {
            Self::Cold(life) => life.start,
            Self::Warming(life) => life.start,
            Self::Warm(life) => life.start,
            Self::Unknown(_) | Self::Leaving(_) | Self::Gone(_) => None,
        }
    }

    /// Whether the call was sent before the endpoint turned cold.
    fn predates_state(&self, sample: &AnswerSample) -> bool {
        match self {
            Self::Cold(life) => sample.sent < life.state.since,
            Self::Warming(life) => sample.sent < life.state.since,
            _ => false,
        }
    }

    fn shows_cold(&self, sample: &AnswerSample) -> bool {
        let known = self.start();
        if known.is_some() && sample.signs.start.is_some() && known != sample.signs.start {
            return true;
        }
        let Self::Warm(life) = self else { return false };
        let reported = sample.signs.cold == Some(true) && sample.sent >= life.state.since;
        let slow = sample.slow && sample.signs.cold != Some(false);
        reported || slow
    }
}

impl Default for EndpointStatus {
    fn default() -> Self {
        Self::new()
    }
}

fn warmer(
    life: EndpointLifecycle<ColdState>,
    sample: &AnswerSample,
    warm_after: u32,
) -> EndpointStatus {
    settled(life.warm_up().succeed(), sample, warm_after)
}

fn settled(
    mut life: EndpointLifecycle<WarmingState>,
    sample: &AnswerSample,
    warm_after: u32,
) -> EndpointStatus {
    life.start = life.start.or(sample.signs.start);
    let settled = match sample.signs.cold {
        Some(cold) => !cold,
        None => life.state.successes >= warm_after,
    };
    if settled {
        EndpointStatus::Warm(life.settle(sample.answered))
    } else {
        EndpointStatus::Warming(life)
    }
}
