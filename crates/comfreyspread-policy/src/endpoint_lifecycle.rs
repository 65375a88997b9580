//! Life cycle of an endpoint: unknown, cold, warming, warm, leaving, gone.
//!
//! An endpoint may become cold again at any time and without notice. Each of these restarts the
//! cycle: another start id, a lost connection, the endpoint's own report, or an answer much slower
//! than its warm ones under low load. Answers to calls sent before the endpoint became cold are
//! ignored, since they don't reflect its current state.

use comfreyspread_schema::{ids, types};
use std::{mem, time};

/// State that an endpoint reports with each answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SelfReport {
    /// Start id, if reported.
    pub start_id: Option<ids::ProcessStartId>,
    /// Whether the endpoint is in cold start, if reported.
    pub cold: Option<bool>,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}

/// One answer, as a sample of the state of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSample {
    /// State reported by the endpoint.
    pub report: SelfReport,
    /// Time the call was sent.
    pub sent: time::Instant,
    /// Time the answer arrived.
    pub answered: time::Instant,
    /// Whether the answer was much slower than warm ones although few calls were in flight.
    pub slow: bool,
}

/// State of an endpoint about which nothing is known; it counts as cold.
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

/// State of an endpoint that can take its full load.
#[derive(Debug)]
pub struct WarmState {
    since: time::Instant,
    successes: u32,
}

/// State of an endpoint that accepts no new calls and finishes those in flight.
#[derive(Debug)]
pub struct LeavingState;

/// State of an endpoint that has left.
#[derive(Debug)]
pub struct GoneState;

/// Life cycle of an endpoint in the state `State`.
#[derive(Debug)]
pub struct EndpointLifecycle<State> {
    start_id: Option<ids::ProcessStartId>,
    state: State,
}

impl EndpointLifecycle<UnknownState> {
    /// Creates the life cycle of an endpoint about which nothing is known.
    pub fn new() -> Self {
        Self { start_id: None, state: UnknownState }
    }
}

impl Default for EndpointLifecycle<UnknownState> {
    fn default() -> Self {
        Self::new()
    }
}

impl EndpointLifecycle<ColdState> {
    /// Starts warming, with no success counted yet.
    pub fn warm_up(self) -> EndpointLifecycle<WarmingState> {
        let state = WarmingState { since: self.state.since, successes: 0 };
        EndpointLifecycle { start_id: self.start_id, state }
    }
}

impl EndpointLifecycle<WarmingState> {
    /// Counts one more success.
    pub fn count_success(mut self) -> Self {
        self.state.successes = self.state.successes.saturating_add(1);
        self
    }

    /// Ends warming: the endpoint can take its full load from `now` on.
    pub fn finish_warming(self, now: time::Instant) -> EndpointLifecycle<WarmState> {
        EndpointLifecycle { start_id: self.start_id, state: WarmState { since: now, successes: 0 } }
    }
}

impl EndpointLifecycle<WarmState> {
    /// Counts one more success.
    pub fn count_success(mut self) -> Self {
        self.state.successes = self.state.successes.saturating_add(1);
        self
    }
}

/// State in which an endpoint accepts new calls.
pub trait AcceptingState {}

impl AcceptingState for UnknownState {}
impl AcceptingState for ColdState {}
impl AcceptingState for WarmingState {}
impl AcceptingState for WarmState {}

impl<State> EndpointLifecycle<State>
where
    State: AcceptingState,
{
    /// Restarts the cycle with a cold start at `now`.
    pub fn reset(
        self,
        start_id: Option<ids::ProcessStartId>,
        now: time::Instant,
    ) -> EndpointLifecycle<ColdState> {
        EndpointLifecycle { start_id: start_id.or(self.start_id), state: ColdState { since: now } }
    }

    /// Stops accepting new calls.
    pub fn leave(self) -> EndpointLifecycle<LeavingState> {
        EndpointLifecycle { start_id: self.start_id, state: LeavingState }
    }
}

impl EndpointLifecycle<LeavingState> {
    /// Ends the life cycle, once no call is in flight.
    pub fn depart(self) -> EndpointLifecycle<GoneState> {
        EndpointLifecycle { start_id: self.start_id, state: GoneState }
    }

    /// Accepts new calls again and discards what was known about the endpoint.
    pub fn rejoin(self) -> EndpointLifecycle<UnknownState> {
        EndpointLifecycle::new()
    }
}

impl EndpointLifecycle<GoneState> {
    /// Accepts new calls again and discards what was known about the endpoint.
    pub fn rejoin(self) -> EndpointLifecycle<UnknownState> {
        EndpointLifecycle::new()
    }
}

/// Life cycle of an endpoint in any state, as stored in tables.
#[derive(Debug)]
pub enum EndpointStatus {
    /// Nothing is known about the endpoint.
    Unknown(EndpointLifecycle<UnknownState>),
    /// The endpoint is in cold start.
    Cold(EndpointLifecycle<ColdState>),
    /// The endpoint has answered since its cold start.
    Warming(EndpointLifecycle<WarmingState>),
    /// The endpoint can take its full load.
    Warm(EndpointLifecycle<WarmState>),
    /// The endpoint accepts no new calls.
    Leaving(EndpointLifecycle<LeavingState>),
    /// The endpoint has left.
    Gone(EndpointLifecycle<GoneState>),
}

impl EndpointStatus {
    /// Creates the status of an endpoint about which nothing is known.
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

    /// Whether the endpoint accepts new calls.
    pub fn accepts_calls(&self) -> bool {
        !matches!(self, Self::Leaving(_) | Self::Gone(_))
    }

    /// Returns the successes since the endpoint became warm; none if it is not warm.
    pub fn warm_successes(&self) -> Option<u32> {
        match self {
            Self::Warm(life) => Some(life.state.successes),
            _ => None,
        }
    }

    /// Records a complete answer. A cold endpoint becomes warm after `warm_after` successes, or as
    /// soon as it reports that it is warm.
    pub fn record_answer(&mut self, sample: &AnswerSample, warm_after: u32) {
        if self.predates_cold_start(sample) {
            return;
        }
        if self.indicates_cold(sample) {
            self.reset(sample.report.start_id, sample.answered);
            return;
        }
        let start = sample.report.start_id;
        *self = match mem::take(self) {
            Self::Unknown(life) => count_first(life.reset(start, sample.sent), sample, warm_after),
            Self::Cold(life) => count_first(life, sample, warm_after),
            Self::Warming(life) => warm_if_ready(life.count_success(), sample, warm_after),
            Self::Warm(life) => Self::Warm(life.count_success()),
            other => other,
        };
    }

    /// Records what the endpoint reports before its answer is complete.
    pub fn record_report(&mut self, sample: &AnswerSample) {
        if !self.predates_cold_start(sample) && self.indicates_cold(sample) {
            self.reset(sample.report.start_id, sample.answered);
        }
    }

    /// Records that the endpoint could not be reached or that its connection was lost during a
    /// call.
    pub fn record_connection_loss(&mut self, now: time::Instant) {
        self.reset(None, now);
    }

    /// Stops accepting new calls until [`EndpointStatus::rejoin`].
    pub fn leave(&mut self) {
        *self = match mem::take(self) {
            Self::Unknown(life) => Self::Leaving(life.leave()),
            Self::Cold(life) => Self::Leaving(life.leave()),
            Self::Warming(life) => Self::Leaving(life.leave()),
            Self::Warm(life) => Self::Leaving(life.leave()),
            other => other,
        };
    }

    /// Ends the life cycle of an endpoint that is leaving.
    pub fn depart(&mut self) {
        *self = match mem::take(self) {
            Self::Leaving(life) => Self::Gone(life.depart()),
            other => other,
        };
    }

    /// Lets an endpoint that was leaving or gone accept calls again, as an unknown one.
    pub fn rejoin(&mut self) {
        *self = match mem::take(self) {
            Self::Leaving(life) => Self::Unknown(life.rejoin()),
            Self::Gone(life) => Self::Unknown(life.rejoin()),
            other => other,
        };
    }

    fn reset(&mut self, start_id: Option<ids::ProcessStartId>, now: time::Instant) {
        *self = match mem::take(self) {
            Self::Unknown(life) => Self::Cold(life.reset(start_id, now)),
            Self::Cold(life) => Self::Cold(life.reset(start_id, now)),
            Self::Warming(life) => Self::Cold(life.reset(start_id, now)),
            Self::Warm(life) => Self::Cold(life.reset(start_id, now)),
            other => other,
        };
    }

    fn start_id(&self) -> Option<ids::ProcessStartId> {
        match self {
            Self::Cold(life) => life.start_id,
            Self::Warming(life) => life.start_id,
            Self::Warm(life) => life.start_id,
            Self::Unknown(_) | Self::Leaving(_) | Self::Gone(_) => None,
        }
    }

    /// Whether the call was sent before the endpoint became cold.
    fn predates_cold_start(&self, sample: &AnswerSample) -> bool {
        match self {
            Self::Cold(life) => sample.sent < life.state.since,
            Self::Warming(life) => sample.sent < life.state.since,
            _ => false,
        }
    }

    fn indicates_cold(&self, sample: &AnswerSample) -> bool {
        let known = self.start_id();
        if known.is_some() && sample.report.start_id.is_some() && known != sample.report.start_id {
            return true;
        }
        let Self::Warm(life) = self else { return false };
        let reported = sample.report.cold == Some(true) && sample.sent >= life.state.since;
        let slow = sample.slow && sample.report.cold != Some(false);
        reported || slow
    }
}

impl Default for EndpointStatus {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts the first success of a cold endpoint.
fn count_first(
    life: EndpointLifecycle<ColdState>,
    sample: &AnswerSample,
    warm_after: u32,
) -> EndpointStatus {
    warm_if_ready(life.warm_up().count_success(), sample, warm_after)
}

/// Ends warming if the endpoint reports itself warm or, without a report, after enough successes.
fn warm_if_ready(
    mut life: EndpointLifecycle<WarmingState>,
    sample: &AnswerSample,
    warm_after: u32,
) -> EndpointStatus {
    life.start_id = life.start_id.or(sample.report.start_id);
    let ready = match sample.report.cold {
        Some(cold) => !cold,
        None => life.state.successes >= warm_after,
    };
    if ready {
        EndpointStatus::Warm(life.finish_warming(sample.answered))
    } else {
        EndpointStatus::Warming(life)
    }
}
