//! Count of things in progress, with an event for the moment that none is left.

use std::{sync, sync::atomic};

/// Count of things in progress.
#[derive(Debug, Default)]
pub struct ActivityCounter {
    count: atomic::AtomicUsize,
    idle: event_listener::Event,
}

impl ActivityCounter {
    /// Creates a activity_counter of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many things are in progress.
    pub fn count(&self) -> usize {
        self.count.load(atomic::Ordering::Acquire)
    }

    /// Counts one thing as in progress until the guard is dropped.
    pub fn track(self: &sync::Arc<Self>) -> ActivityGuard {
        self.count.fetch_add(1, atomic::Ordering::AcqRel);
        ActivityGuard { counter: self.clone() }
    }

    /// Waits until nothing is in progress.
    pub async fn wait_idle(&self) {
        while self.count() > 0 {
            let listener = self.idle.listen();
            if self.count() > 0 {
                listener.await;
            }
        }
    }
}

/// Counts one thing as in progress until dropped.
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
