//! Limits on what a connection sends before its request is complete: unfinished heads, and empty lines
//! before them.
//!
//! `hyper` bounds the head of one connection. The sum over all connections needs a budget of its own,
//! and so does the time: a head that arrives one byte at a time takes its place for ever.

use crate::transport::{body, body::MemoryAccount as _, deadline};
use comfreyspread_policy::connection_displacement;
use std::{io, pin, sync, sync::atomic, task, time};

/// Bytes of each connection that need no budget, so that ordinary requests are read also while large
/// heads have used it up. `hyper` allocates as many for each connection.
const EXEMPT_BYTES: usize = 8192;

/// Limits on the heads of one server.
#[derive(Clone, Debug)]
pub struct HeadRules {
    /// Maximum size of a head in bytes.
    pub limit: usize,
    /// Maximum time from the first byte of a head to its end.
    pub timeout: time::Duration,
    /// Budget for the unfinished heads of all connections.
    pub budget: sync::Arc<body::BodyBudget>,
}

/// How far a connection is with its requests, shared by its stream and its service.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    requests: sync::Arc<atomic::AtomicUsize>,
    in_request: sync::Arc<atomic::AtomicBool>,
}

impl RequestProgress {
    /// Records that the head of a request is complete.
    pub fn start_request(&self) {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        self.in_request.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that the body of the request has been read, or is not read any further.
    pub fn end_request(&self) {
        self.in_request.store(false, atomic::Ordering::Relaxed);
    }
}

/// What a connection has sent of its next head.
#[derive(Debug)]
pub struct HeadReading {
    rules: HeadRules,
    progress: RequestProgress,
    requests: usize,
    read: usize,
    reservation: body::BodyReservation,
    timer: Option<deadline::DeadlineTimer>,
}

impl HeadReading {
    /// Creates the state of a connection that has sent nothing.
    pub fn new(rules: HeadRules, progress: RequestProgress) -> Self {
        let reservation = new_reservation(&rules);
        Self { rules, progress, requests: 0, read: 0, reservation, timer: None }
    }

    /// Checks, before bytes are read, whether the head has taken too long.
    ///
    /// # Errors
    ///
    /// Fails if so.
    pub fn check_time(&mut self, cx: &mut task::Context<'_>) -> io::Result<()> {
        self.reset_after_request();
        let Some(timer) = &mut self.timer else { return Ok(()) };
        match pin::Pin::new(timer).poll(cx) {
            task::Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            task::Poll::Pending => Ok(()),
        }
    }

    /// Returns what the connection waits for. It is new until its first request is whole, body included.
    pub fn waits_for(&mut self) -> connection_displacement::ConnectionPhase {
        self.reset_after_request();
        let in_request = self.progress.in_request.load(atomic::Ordering::Relaxed);
        match (self.requests, in_request, self.read) {
            (0, ..) | (1, true, _) => connection_displacement::ConnectionPhase::New,
            (_, true, _) => connection_displacement::ConnectionPhase::Active,
            (_, false, 0) => connection_displacement::ConnectionPhase::Kept,
            (_, false, _) => connection_displacement::ConnectionPhase::Head,
        }
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if the head is too long, or the budget for all heads is used up.
    pub fn count(&mut self, bytes: usize) -> io::Result<()> {
        self.reset_after_request();
        if bytes == 0 || self.progress.in_request.load(atomic::Ordering::Relaxed) {
            return Ok(());
        }
        self.read += bytes;
        if self.read > self.rules.limit + EXEMPT_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the head is too long"));
        }
        self.reservation.grow(bytes).map_err(|_| {
            io::Error::new(io::ErrorKind::OutOfMemory, "unfinished heads use up their budget")
        })?;
        let timeout = self.rules.timeout;
        self.timer.get_or_insert_with(|| deadline::DeadlineTimer::after(timeout));
        Ok(())
    }

    /// Begins anew once a request has come out of what was read.
    fn reset_after_request(&mut self) {
        let requests = self.progress.requests.load(atomic::Ordering::Relaxed);
        if requests != self.requests {
            self.requests = requests;
            self.read = 0;
            self.timer = None;
            self.reservation = new_reservation(&self.rules);
        }
    }
}

fn new_reservation(rules: &HeadRules) -> body::BodyReservation {
    body::BodyReservation::new(rules.budget.clone()).with_exempt(EXEMPT_BYTES)
}
