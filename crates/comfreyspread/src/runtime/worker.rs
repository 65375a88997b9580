//! Pool of worker threads that run all tasks of a process.
//!
//! The threads share one executor and block in the reactor while no task is ready.

use std::{future, io, sync, thread};

/// Handle that spawns tasks on the pool.
#[derive(Clone, Debug)]
pub struct TaskSpawner {
    executor: sync::Arc<async_executor::Executor<'static>>,
}

impl TaskSpawner {
    /// Spawns a detached task, which runs to completion.
    pub fn detach<Task>(&self, task: Task)
    where
        Task: future::Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(task).detach();
    }

    /// Spawns a task that is cancelled when the returned handle is dropped.
    pub fn spawn<Task>(&self, task: Task) -> async_executor::Task<Task::Output>
    where
        Task: future::Future + Send + 'static,
        Task::Output: Send + 'static,
    {
        self.executor.spawn(task)
    }
}

/// Worker threads that run one executor.
#[derive(Debug)]
pub struct WorkerPool {
    spawner: TaskSpawner,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl WorkerPool {
    /// Starts `count` worker threads.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start a thread.
    pub fn new(count: usize) -> io::Result<Self> {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut threads = Vec::with_capacity(count);
        for index in 0..count {
            let executor = executor.clone();
            let stopped = stopped.clone();
            let thread =
                thread::Builder::new().name(format!("worker-{index}")).spawn(move || {
                    async_io::block_on(executor.run(async {
                        stopped.recv().await.ok();
                    }));
                })?;
            threads.push(thread);
        }
        Ok(Self { spawner: TaskSpawner { executor }, stop, threads })
    }

    /// Returns a handle that spawns tasks.
    pub fn spawner(&self) -> TaskSpawner {
        self.spawner.clone()
    }

    /// Stops and joins the threads; unfinished tasks are dropped.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            thread.join().ok();
        }
    }
}
