//! Whether a failed attempt is made again, and the budget that bounds such attempts.
//!
//! Retries multiply load just when there is too much of it. The budget grows with successes and
//! shrinks with retries, so that over time retries stay a small share of the work. A refusal by a
//! node that does not own the endpoint costs nothing there and is free here.

use comfreyspread_schema::types;
use std::time;

const TOKENS_PER_SUCCESS: u32 = 10;
const TOKENS_PER_RETRY: u32 = 100;
const MAX_TOKENS: u32 = 100 * TOKENS_PER_RETRY;
const INITIAL_TOKENS: u32 = 20 * TOKENS_PER_RETRY;
const MAX_ATTEMPTS: u32 = 4;
const MAX_FREE_ATTEMPTS: u32 = 64;
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(20);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Share of successes that may be spent on further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl RetryBudget {
    /// Creates a budget that allows a few retries before any success.
    pub fn new() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }

    /// Adds the share that one success earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Takes the price of one retry and returns whether the budget had it.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.tokens.checked_sub(TOKENS_PER_RETRY) else { return false };
        self.tokens = remaining;
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
pub struct RetryContext {
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
    /// Try again after a backoff.
    Retry {
        /// Pause before the next attempt.
        backoff: time::Duration,
        /// Whether the next attempt must run with no other call beside it.
        alone: bool,
    },
}

impl RetryContext {
    /// Decides whether the call is tried again, taking from `budget` if so.
    pub fn decide(&self, budget: &mut RetryBudget) -> RetryDecision {
        if self.is_permanent() || self.remaining <= self.expected {
            return RetryDecision::Stop;
        }
        let free = self.is_free();
        let max_attempts = if free { MAX_FREE_ATTEMPTS } else { MAX_ATTEMPTS };
        if self.attempts >= max_attempts || (!free && !budget.withdraw()) {
            return RetryDecision::Stop;
        }
        RetryDecision::Retry { backoff: self.backoff(), alone: self.crashed }
    }

    fn is_permanent(&self) -> bool {
        use types::ProblemKind as Kind;
        let permanent = matches!(
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
        let may_run_again = match self.verdict {
            types::CallVerdict::NotRun => true,
            types::CallVerdict::MayHaveRun => self.idempotent,
            types::CallVerdict::Ran => false,
        };
        permanent || !may_run_again
    }

    /// Whether the attempt took nothing from any endpoint because its owner had changed or gone.
    fn is_free(&self) -> bool {
        use types::ProblemKind as Kind;
        let owner_changed =
            matches!(self.problem, Kind::Draining | Kind::NotOwner | Kind::Unavailable);
        owner_changed && self.verdict == types::CallVerdict::NotRun
    }

    /// Returns a backoff that gives owners time to change or to get through their queues.
    fn backoff(&self) -> time::Duration {
        use types::ProblemKind as Kind;
        if !matches!(self.problem, Kind::NotOwner | Kind::Overloaded | Kind::Unavailable) {
            return time::Duration::ZERO;
        }
        INITIAL_BACKOFF * 2_u32.pow(self.attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
    }
}
