//! Retry decisions, and the budget that limits retries.
//!
//! Retries add load when a system is already overloaded. Successes add tokens to the budget and
//! retries spend them, so retries stay a small fraction of all calls. A retry after a refusal that
//! used no endpoint capacity, such as by a node that does not own the endpoint, is free.

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

/// Token bucket that limits retries to a fraction of the successes.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl RetryBudget {
    /// Creates a budget with tokens for some retries before the first success.
    pub fn new() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }

    /// Adds the tokens for one success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Spends the tokens of one retry; returns false if there are too few.
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

/// Facts that a retry decision is based on, after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Verdict over all attempts of the call so far.
    pub verdict: types::CallVerdict,
    /// Why the last attempt failed.
    pub problem: types::ProblemKind,
    /// Whether the endpoint went down while the call was in flight.
    pub crashed: bool,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Time left until the deadline.
    pub remaining: time::Duration,
    /// Expected duration of an attempt.
    pub expected_duration: time::Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Give up and report the failure.
    Stop,
    /// Make another attempt.
    Retry {
        /// Delay before the next attempt.
        backoff: time::Duration,
        /// Whether the endpoint must run no other call during the next attempt.
        exclusive: bool,
    },
}

impl RetryContext {
    /// Decides whether the call is retried, and spends tokens of `budget` unless the retry is free.
    pub fn decide(&self, budget: &mut RetryBudget) -> RetryDecision {
        if self.is_permanent() || self.remaining <= self.expected_duration {
            return RetryDecision::Stop;
        }
        let free = self.is_free();
        let max_attempts = if free { MAX_FREE_ATTEMPTS } else { MAX_ATTEMPTS };
        if self.attempts >= max_attempts || (!free && !budget.withdraw()) {
            return RetryDecision::Stop;
        }
        RetryDecision::Retry { backoff: self.backoff(), exclusive: self.crashed }
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

    /// Whether the attempt used no endpoint capacity because the owner had changed or was
    /// unavailable.
    fn is_free(&self) -> bool {
        use types::ProblemKind as Kind;
        let owner_changed =
            matches!(self.problem, Kind::Draining | Kind::NotOwner | Kind::Unavailable);
        owner_changed && self.verdict == types::CallVerdict::NotRun
    }

    /// Returns the delay before the next attempt, which gives ownership time to change and queues
    /// time to drain.
    fn backoff(&self) -> time::Duration {
        use types::ProblemKind as Kind;
        if !matches!(self.problem, Kind::NotOwner | Kind::Overloaded | Kind::Unavailable) {
            return time::Duration::ZERO;
        }
        INITIAL_BACKOFF * 2_u32.pow(self.attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
    }
}
