//! The time by which a planned stop ends, as far as requests in progress have to know it.

use crate::transport::deadline;
use comfreyspread_policy::stop_window;
use std::{sync, time};

/// When the drain ends; unknown until it begins.
#[derive(Debug, Default)]
pub struct DrainLimit {
    window: sync::OnceLock<stop_window::StopWindow>,
    began: event_listener::Event,
}

impl DrainLimit {
    /// Creates the limit of a node that does not drain.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets when the drain ends; later calls have no effect.
    pub fn begin(&self, window: stop_window::StopWindow) {
        self.window.get_or_init(|| window);
        self.began.notify(usize::MAX);
    }

    /// Returns the times of the drain once it has begun.
    pub fn window(&self) -> Option<stop_window::StopWindow> {
        self.window.get().copied()
    }

    /// Waits until the drain ends within `margin`; for ever if the node does not drain.
    pub async fn near(&self, margin: time::Duration) {
        let ends_at = self.wait_until_begun().await;
        deadline::DeadlineTimer::new(ends_at.checked_sub(margin).unwrap_or(ends_at)).await;
    }

    async fn wait_until_begun(&self) -> time::Instant {
        loop {
            let began = self.began.listen();
            if let Some(window) = self.window.get() {
                return window.ends_at();
            }
            began.await;
        }
    }
}
