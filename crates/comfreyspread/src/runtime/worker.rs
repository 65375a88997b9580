//! Pool of worker threads that run all tasks of a process.
//!
//! Threads share one executor and sleep in the reactor while no task is ready.

use std::{future, io, sync, thread};

/// Handle that starts tasks on the pool.
#[derive(Clone, Debug)]
pub struct TaskSpawner {
    executor: sync::Arc<async_executor::Executor<'static>>,
}

impl TaskSpawner {
    /// Starts a task that runs until it ends, on its own.
    pub fn detach<Task>(&self, task: Task)
    where
        Task: future::Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(task).detach();
    }

    /// Starts a task that is cancelled when the handle returned is dropped.
    pub fn spawn<Task>(&self, task: Task) -> async_executor::Task<Task::Output>
    where
        Task: future::Future + Send + 'static,
        Task::Output: Send + 'static,
    {
        self.executor.spawn(task)
    }
}

/// Worker threads over one executor.
#[derive(Debug)]
pub struct WorkerPool {
    spawner: TaskSpawner,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl WorkerPool {
    /// Starts `count` threads.
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

    /// Returns a handle that starts tasks.
    pub fn spawner(&self) -> TaskSpawner {
        self.spawner.clone()
    }

    /// Stops the threads; tasks that have not ended are dropped.
    pub fn stop(self) {
        self.stop.close();
        for thread in self.threads {
            thread.join().ok();
        }
    }
}
