//! Pauses of tasks that panic, on injected time.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::task_restart;
use std::time;

const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(5);
const STEADY_TIME: time::Duration = time::Duration::from_secs(60);

/// A task that panics whenever it starts must not use up the processor.
#[test]
fn pause_grows() {
    let mut now = time::Instant::now();
    let mut task = task_restart::SupervisedTask::new(now);
    let mut last = time::Duration::ZERO;
    for _ in 0..20 {
        let paused = task.panicked(now);
        assert!(paused.pause() > last || paused.pause() == LONGEST_PAUSE, "{:?}", paused.pause());
        assert!(paused.pause() <= LONGEST_PAUSE, "{:?}", paused.pause());
        last = paused.pause();
        now += last;
        task = paused.restart(now);
    }
    assert_eq!(last, LONGEST_PAUSE);
}

/// Panics far apart each cost a short pause.
#[test]
fn pause_reset() {
    let mut now = time::Instant::now();
    let mut task = task_restart::SupervisedTask::new(now);
    let first = task_restart::SupervisedTask::new(now).panicked(now).pause();
    for _ in 0..5 {
        now += STEADY_TIME;
        let paused = task.panicked(now);
        assert_eq!(paused.pause(), first);
        now += first;
        task = paused.restart(now);
    }
}
