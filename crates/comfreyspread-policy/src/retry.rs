//! Whether a failed attempt is made again, and the budget that bounds such attempts.
//!
//! Retries multiply load just when there is too much of it. The budget grows with successes and
//! shrinks with retries, so that over time retries stay a small share of the work. A refusal by a
//! node that does not own the endpoint costs nothing there and is free here.

use comfreyspread_schema::types;
use std::time;

const TOKEN_SHARE: u32 = 10;
const RETRY_TOKENS: u32 = 100;
const MOST_TOKENS: u32 = 100 * RETRY_TOKENS;
const FIRST_TOKENS: u32 = 20 * RETRY_TOKENS;
const MOST_ATTEMPTS: u32 = 4;
const MOST_FREE_ATTEMPTS: u32 = 64;
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);
const MOST_DOUBLINGS: u32 = 3;

/// Share of successes that may be spent on further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl RetryBudget {
    /// Creates a budget that allows a few retries before any success.
    pub fn new() -> Self {
        Self { tokens: FIRST_TOKENS }
    }

    /// Adds the share that one success earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKEN_SHARE).min(MOST_TOKENS);
    }

    /// Takes the price of one retry and returns whether the budget had it.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_TOKENS) else { return false };
        self.tokens = left;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// What is known of a call after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// Whether any attempt of the call so far may have run.
    pub verdict: types::CallVerdict,
    /// Why the last attempt failed.
    pub problem: types::ProblemKind,
    /// Whether the endpoint went away with the call in flight.
    pub crashed: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Attempts made for the call.
    pub attempts: u32,
    /// Time left until the deadline.
    pub remaining: time::Duration,
    /// Time an attempt is expected to take.
    pub expected: time::Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Report the failure.
    Stop,
    /// Try again after a pause.
    Retry {
        /// Pause before the next attempt.
        pause: time::Duration,
        /// Whether the next attempt must run with no other call beside it.
        alone: bool,
    },
}

impl AttemptFacts {
    /// Decides whether the call is tried again, taking from `budget` if so.
    pub fn decide(&self, budget: &mut RetryBudget) -> RetryDecision {
        if self.is_final() || self.remaining <= self.expected {
            return RetryDecision::Stop;
        }
        let free = self.is_free();
        let most = if free { MOST_FREE_ATTEMPTS } else { MOST_ATTEMPTS };
        if self.attempts >= most || (!free && !budget.withdraw()) {
            return RetryDecision::Stop;
        }
        RetryDecision::Retry { pause: self.pause(), alone: self.crashed }
    }

    fn is_final(&self) -> bool {
        use types::ProblemKind as Kind;
        let hopeless = matches!(
            self.problem,
            Kind::BadRequest
                | Kind::Deadline
                | Kind::Internal
                | Kind::KeyConflict
                | Kind::KeyRequired
                | Kind::OverCost
                | Kind::Poisoned
                | Kind::Timeout
                | Kind::TooLarge
                | Kind::UnknownName
        );
        let allowed = match self.verdict {
            types::CallVerdict::NotRun => true,
            types::CallVerdict::MayHaveRun => self.idempotent,
            types::CallVerdict::Ran => false,
        };
        hopeless || !allowed
    }

    /// Whether the attempt took nothing from any endpoint because its owner had changed or gone.
    fn is_free(&self) -> bool {
        use types::ProblemKind as Kind;
        let gone = matches!(self.problem, Kind::Draining | Kind::NotOwner | Kind::Unavailable);
        gone && self.verdict == types::CallVerdict::NotRun
    }

    /// Returns a pause that gives owners time to change or to get through their queues.
    fn pause(&self) -> time::Duration {
        use types::ProblemKind as Kind;
        if !matches!(self.problem, Kind::NotOwner | Kind::Overloaded | Kind::Unavailable) {
            return time::Duration::ZERO;
        }
        FIRST_PAUSE * 2_u32.pow(self.attempts.saturating_sub(1).min(MOST_DOUBLINGS))
    }
}
