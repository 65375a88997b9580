//! Counter of activities in progress, with an event when it reaches zero.

use std::{sync, sync::atomic};

/// Counter of activities in progress.
#[derive(Debug, Default)]
pub struct ActivityCounter {
    count: atomic::AtomicUsize,
    idle: event_listener::Event,
}

impl ActivityCounter {
    /// Creates a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of activities in progress.
    pub fn count(&self) -> usize {
        self.count.load(atomic::Ordering::Acquire)
    }

    /// Counts an activity as in progress until the guard is dropped.
    pub fn track(self: &sync::Arc<Self>) -> ActivityGuard {
        self.count.fetch_add(1, atomic::Ordering::AcqRel);
        ActivityGuard { counter: self.clone() }
    }

    /// Waits until no activity is in progress.
    pub async fn wait_idle(&self) {
        while self.count() > 0 {
            let listener = self.idle.listen();
            if self.count() > 0 {
                listener.await;
            }
        }
    }
}

/// Counts an activity as in progress until dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    counter: sync::Arc<ActivityCounter>,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        if self.counter.count.fetch_sub(1, atomic::Ordering::AcqRel) == 1 {
            self.counter.idle.notify(usize::MAX);
        }
    }
}
