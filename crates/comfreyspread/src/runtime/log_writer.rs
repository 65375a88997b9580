//! Non-blocking log writer.
//!
//! A dedicated thread writes the lines. Lines beyond [`MAX_LINES_PER_S`] are dropped, and so are
//! lines that find the queue full because the output is slow. The number dropped is logged. Lines
//! of single requests and those of the node's own state are limited apart, so that a busy node
//! still says which routes it uses.

use crate::runtime::lock_rank;
use std::{io, sync, sync::atomic, sync::mpsc, thread, time};

/// Most lines accepted in each one-second window.
pub const MAX_LINES_PER_S: u32 = 400;
/// Capacity of the queue to the writer thread.
const MAX_QUEUED_LINES: usize = 4096;

/// Handle that queues lines for the writer thread.
#[derive(Clone, Debug)]
pub struct LogWriter {
    lines: mpsc::SyncSender<LogMessage>,
    limiter: sync::Arc<LineRateLimiter>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

/// Message to the writer thread.
#[derive(Debug)]
enum LogMessage {
    /// Line to write.
    Line(Box<[u8]>),
    /// Marker that is acknowledged once all earlier lines are written.
    Drain(mpsc::Sender<()>),
}

/// Rate limit of log lines.
#[derive(Debug)]
struct LineRateLimiter {
    window: lock_rank::RankedLock<lock_rank::LogRank, RateWindow>,
}

#[derive(Debug)]
struct RateWindow {
    started: time::Instant,
    count: u32,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start a thread.
    pub fn new<Output>(output: Output) -> io::Result<Self>
    where
        Output: io::Write + Send + 'static,
    {
        let (lines, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &queue, &thread_dropped))?;
        Ok(Self { lines, limiter: sync::Arc::new(LineRateLimiter::new()), dropped })
    }

    /// Returns a handle to the same output with a rate limit of its own.
    pub fn with_own_limit(&self) -> Self {
        Self { limiter: sync::Arc::new(LineRateLimiter::new()), ..self.clone() }
    }

    /// Waits up to `timeout` until the queued lines are written; called before the process exits.
    pub fn drain(&self, timeout: time::Duration) {
        let (acknowledge, acknowledged) = mpsc::channel();
        if self.lines.try_send(LogMessage::Drain(acknowledge)).is_ok() {
            acknowledged.recv_timeout(timeout).ok();
        }
    }
}

impl LineRateLimiter {
    fn new() -> Self {
        let window = RateWindow { started: time::Instant::now(), count: 0 };
        Self { window: lock_rank::RankedLock::new(window) }
    }

    /// Counts one line; false if the limit of the current window is reached.
    fn try_acquire(&self) -> bool {
        let now = time::Instant::now();
        let mut window = self.window.lock();
        if now.saturating_duration_since(window.started) >= time::Duration::from_secs(1) {
            *window = RateWindow { started: now, count: 0 };
        }
        window.count += 1;
        window.count <= MAX_LINES_PER_S
    }
}

impl io::Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.limiter.try_acquire()
            || self.lines.try_send(LogMessage::Line(line.into())).is_err()
        {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<Output>(
    mut output: Output,
    queue: &mpsc::Receiver<LogMessage>,
    dropped: &atomic::AtomicU64,
) where
    Output: io::Write,
{
    while let Ok(message) = queue.recv() {
        let line = match message {
            LogMessage::Line(line) => line,
            LogMessage::Drain(acknowledge) => {
                acknowledge.send(()).ok();
                continue;
            }
        };
        let dropped = dropped.swap(0, atomic::Ordering::Relaxed);
        let drop_report = (dropped > 0).then(|| format!("log: lines dropped. count={dropped}\n"));
        let written = output.write_all(drop_report.unwrap_or_default().as_bytes());
        // A failure to write the log cannot be logged; the thread ends and later lines are dropped.
        if written.and_then(|()| output.write_all(&line)).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
