//! Life cycle of a task that runs until the process ends: running, paused after a panic, running
//! again.
//!
//! The pause doubles with each panic in a row, so a task that panics at once costs little, and is
//! short again after the task has run for a while.

use std::time;

/// Pause after the first panic.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Pause that is not exceeded; a task is missed for at most this long once its cause is gone.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(5);
/// Running time after which an earlier panic no longer counts.
const STEADY_TIME: time::Duration = time::Duration::from_secs(60);

/// State of a task that runs.
#[derive(Debug)]
pub struct RunningState {
    started: time::Instant,
}

/// State of a task that waits to be started again.
#[derive(Debug)]
pub struct PausedState {
    pause: time::Duration,
}

/// A task in the state `State`.
#[derive(Debug)]
pub struct SupervisedTask<State> {
    state: State,
    next_pause: time::Duration,
}

impl SupervisedTask<RunningState> {
    /// Creates a task that starts at `now`.
    pub fn new(now: time::Instant) -> Self {
        Self { state: RunningState { started: now }, next_pause: MIN_PAUSE }
    }

    /// Records that the task panicked.
    pub fn panicked(self, now: time::Instant) -> SupervisedTask<PausedState> {
        let steady = now.saturating_duration_since(self.state.started) >= STEADY_TIME;
        let pause = if steady { MIN_PAUSE } else { self.next_pause };
        let next_pause = (pause * 2).min(MAX_PAUSE);
        SupervisedTask { state: PausedState { pause }, next_pause }
    }
}

impl SupervisedTask<PausedState> {
    /// Returns how long the task waits before it starts again.
    pub fn pause(&self) -> time::Duration {
        self.state.pause
    }

    /// Records that the task starts again.
    pub fn restart(self, now: time::Instant) -> SupervisedTask<RunningState> {
        SupervisedTask { state: RunningState { started: now }, next_pause: self.next_pause }
    }
}
