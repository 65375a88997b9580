//! Faults of an endpoint of the users' platform, and what it says of itself in its answers.

use comfreyspread::transport::http_message;
use http::StatusCode;
use std::{sync::atomic, time};

/// Faults of one endpoint.
#[derive(Debug, Default)]
pub struct FleetFaults {
    /// Whether it rejects all requests as overloaded.
    pub full: atomic::AtomicBool,
    /// Whether it rejects the next plain request because a result that it needs is gone.
    pub inputs_gone: atomic::AtomicBool,
    /// Id of the event after which the next stream is cut off; zero for none.
    pub cut_after: atomic::AtomicU64,
    /// Whether the answers of plain requests are cut off after the requests ran.
    pub lose_answers: atomic::AtomicBool,
    /// Events of a stream; zero for the default number.
    pub events: atomic::AtomicU64,
    /// Additional delay of each event, plain answer or call of pieces, in milliseconds.
    pub delay_ms: atomic::AtomicU64,
    /// Whether all answers say that the endpoint leaves.
    pub leaving: atomic::AtomicBool,
    /// Pause in milliseconds that rejections with status 503 ask for; zero for none.
    pub pause_ms: atomic::AtomicU64,
    /// Status of all answers; zero for the usual one.
    pub status: atomic::AtomicU16,
}

impl FleetFaults {
    /// Returns the status of all answers, if it is set.
    pub fn status(&self) -> Option<StatusCode> {
        StatusCode::from_u16(self.status.load(atomic::Ordering::Relaxed)).ok()
    }

    /// Returns the additional delay.
    pub fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_ms.load(atomic::Ordering::Relaxed))
    }

    /// Adds the headers in which the endpoint speaks of itself.
    pub fn set_headers(&self, response: &mut http_message::Response) {
        if self.leaving.load(atomic::Ordering::Relaxed) {
            response.insert_header("Server-Leaving", "1");
        }
        let pause_ms = self.pause_ms.load(atomic::Ordering::Relaxed);
        if pause_ms > 0 && response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = time::Duration::from_millis(pause_ms).as_secs_f64();
            response.insert_header("Retry-After", format!("{seconds:.2}"));
        }
    }
}
