//! The time by which a planned stop ends, as far as requests in progress have to know it.

use crate::transport::deadline;
use std::{sync, time};

/// When the drain ends; unknown until it begins.
#[derive(Debug, Default)]
pub struct DrainLimit {
    ends_at: sync::OnceLock<time::Instant>,
    began: event_listener::Event,
}

impl DrainLimit {
    /// Creates the limit of a node that does not drain.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets when the drain ends; later calls have no effect.
    pub fn begin(&self, ends_at: time::Instant) {
        self.ends_at.get_or_init(|| ends_at);
        self.began.notify(usize::MAX);
    }

    /// Waits until the drain ends within `margin`; for ever if the node does not drain.
    pub async fn near(&self, margin: time::Duration) {
        let ends_at = self.wait_until_begun().await;
        deadline::DeadlineTimer::new(ends_at.checked_sub(margin).unwrap_or(ends_at)).await;
    }

    async fn wait_until_begun(&self) -> time::Instant {
        loop {
            let began = self.began.listen();
            if let Some(ends_at) = self.ends_at.get() {
                return *ends_at;
            }
            began.await;
        }
    }
}
