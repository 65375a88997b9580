//! Supervision of the tasks that run until the process ends.
//!
//! A panic ends only the task that meets it, but the process needs these: without heartbeats, table
//! readers or a batcher it would go on without its members, its routes or its calls.

use crate::{runtime::worker, transport::deadline};
use comfreyspread_policy::task_restart;
use futures_util::FutureExt as _;
use std::{future, panic, time};

/// Spawns a task, and starts it again after a pause whenever it panics, until it completes. `name`
/// is that of the task in the log.
pub fn supervise<Start, Task>(spawner: &worker::TaskSpawner, name: &'static str, mut start: Start)
where
    Start: FnMut() -> Task + Send + 'static,
    Task: future::Future<Output = ()> + Send + 'static,
{
    spawner.detach(async move {
        let mut task = task_restart::SupervisedTask::new(time::Instant::now());
        while run_caught(start()).await.is_none() {
            let paused = task.panicked(time::Instant::now());
            let pause = paused.pause();
            log::error!(task = name, pause_ms = pause.as_millis() as u64;
                "process: a task panicked, to be started again");
            deadline::DeadlineTimer::after(pause).await;
            task = paused.restart(time::Instant::now());
        }
    });
}

/// Runs a task and returns its output; none if it panicked.
pub async fn run_caught<Task>(task: Task) -> Option<Task::Output>
where
    Task: future::Future,
{
    // Locks recover from a panic, and the task's own state is dropped.
    panic::AssertUnwindSafe(task).catch_unwind().await.ok()
}
