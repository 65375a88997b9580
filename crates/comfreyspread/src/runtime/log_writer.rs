//! Writing log lines without ever waiting for whoever reads them.
//!
//! Lines go to a thread of their own. Where there are more than a stated number a second, or the
//! reader does not keep up, lines are dropped and counted, and the count is written as a line.

use crate::runtime::lock_rank;
use std::{io, sync, sync::atomic, sync::mpsc, thread, time};

/// Lines written in any second at most.
pub const MOST_LINES_PER_S: u32 = 400;
/// Lines that wait for the reader at most.
const MOST_WAITING_LINES: usize = 4096;

/// Sending side for log lines.
#[derive(Clone, Debug)]
pub struct LogWriter {
    lines: mpsc::SyncSender<LogItem>,
    budget: sync::Arc<LineBudget>,
}

/// What the writing thread is sent.
#[derive(Debug)]
enum LogItem {
    /// A line to be written.
    Line(Box<[u8]>),
    /// Somebody who waits until all lines before are written.
    Drained(mpsc::Sender<()>),
}

/// Lines that may still be written in the present second.
#[derive(Debug)]
struct LineBudget {
    window: lock_rank::RankedLock<lock_rank::LogRank, LineWindow>,
    dropped: atomic::AtomicU64,
}

#[derive(Debug)]
struct LineWindow {
    begun: time::Instant,
    written: u32,
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
        let (lines, waiting) = mpsc::sync_channel(MOST_WAITING_LINES);
        let window = LineWindow { begun: time::Instant::now(), written: 0 };
        let budget = sync::Arc::new(LineBudget {
            window: lock_rank::RankedLock::new(window),
            dropped: atomic::AtomicU64::new(0),
        });
        let counted = budget.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(output, &waiting, &counted))?;
        Ok(Self { lines, budget })
    }

    /// Waits until the lines so far are written, up to `limit`; for the end of a process.
    pub fn drain(&self, limit: time::Duration) {
        let (done, drained) = mpsc::channel();
        if self.lines.try_send(LogItem::Drained(done)).is_ok() {
            drained.recv_timeout(limit).ok();
        }
    }
}

impl LineBudget {
    /// Takes one line; false if there have been as many as may be in this second.
    fn take(&self) -> bool {
        let now = time::Instant::now();
        let mut window = self.window.lock();
        if now.saturating_duration_since(window.begun) >= time::Duration::from_secs(1) {
            *window = LineWindow { begun: now, written: 0 };
        }
        window.written += 1;
        window.written <= MOST_LINES_PER_S
    }
}

impl io::Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.budget.take() || self.lines.try_send(LogItem::Line(line.into())).is_err() {
            self.budget.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<Output>(mut output: Output, waiting: &mpsc::Receiver<LogItem>, budget: &LineBudget)
where
    Output: io::Write,
{
    while let Ok(item) = waiting.recv() {
        let line = match item {
            LogItem::Line(line) => line,
            LogItem::Drained(done) => {
                done.send(()).ok();
                continue;
            }
        };
        let dropped = budget.dropped.swap(0, atomic::Ordering::Relaxed);
        let note = (dropped > 0).then(|| format!("log: lines dropped. count={dropped}\n"));
        let written = output.write_all(note.unwrap_or_default().as_bytes());
        // Nobody is left to be told if the log itself cannot be written.
        if written.and_then(|()| output.write_all(&line)).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
