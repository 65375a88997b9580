//! Deadlines of calls: timers that are set often and rarely fire.
//!
//! Setting a timer of the async reactor costs a system call to wake the reactor. A node sets
//! several timers per call, and nearly all are dropped before they fire. Here one thread sleeps
//! until the earliest deadline, and adding a later one only takes a lock.

use crate::runtime::lock_rank;
use futures_util::task;
use std::{cmp, collections, future, pin, sync, sync::atomic, thread, time};

/// Number of entries up to which the queue is not purged of dropped timers.
const MIN_PURGE_THRESHOLD: usize = 1024;

static QUEUE: sync::LazyLock<DeadlineQueue> = sync::LazyLock::new(DeadlineQueue::new);

/// Future that completes at a deadline.
#[derive(Debug)]
pub struct DeadlineTimer {
    deadline: time::Instant,
    entry: Option<sync::Arc<DeadlineEntry>>,
}

impl DeadlineTimer {
    /// Creates a timer that fires at `deadline`.
    pub fn new(deadline: time::Instant) -> Self {
        Self { deadline, entry: None }
    }

    /// Creates a timer that fires after `length`.
    pub fn after(length: time::Duration) -> Self {
        Self::new(time::Instant::now() + length)
    }
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>) -> std::task::Poll<()> {
        if time::Instant::now() >= self.deadline {
            return std::task::Poll::Ready(());
        }
        match &self.entry {
            Some(entry) => entry.waker.register(cx.waker()),
            None => {
                let entry = sync::Arc::new(DeadlineEntry::default());
                entry.waker.register(cx.waker());
                QUEUE.insert(self.deadline, entry.clone());
                self.entry = Some(entry);
            }
        }
        let fired = self.entry.as_ref().is_some_and(|entry| entry.fired());
        if fired { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    }
}

/// Waits for `work`; returns none if `timer` fires first.
pub async fn with_timer<Work>(timer: &mut DeadlineTimer, work: Work) -> Option<Work::Output>
where
    Work: future::Future,
{
    let completed = async { Some(work.await) };
    let timed_out = async {
        timer.await;
        None
    };
    futures_lite::FutureExt::or(completed, timed_out).await
}

#[derive(Debug, Default)]
struct DeadlineEntry {
    fired: atomic::AtomicBool,
    waker: task::AtomicWaker,
}

impl DeadlineEntry {
    fn fired(&self) -> bool {
        self.fired.load(atomic::Ordering::Acquire)
    }

    fn fire(&self) {
        self.fired.store(true, atomic::Ordering::Release);
        self.waker.wake();
    }
}

/// A deadline in the queue; the earliest compares as the greatest.
#[derive(Debug)]
struct QueuedDeadline {
    deadline: time::Instant,
    entry: sync::Arc<DeadlineEntry>,
}

impl QueuedDeadline {
    /// Whether the timer still exists.
    fn has_timer(&self) -> bool {
        sync::Arc::strong_count(&self.entry) > 1
    }
}

impl Eq for QueuedDeadline {}

impl PartialEq for QueuedDeadline {
    fn eq(&self, other: &Self) -> bool {
        self.deadline == other.deadline
    }
}

impl Ord for QueuedDeadline {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.deadline.cmp(&self.deadline)
    }
}

impl PartialOrd for QueuedDeadline {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Debug)]
struct QueueState {
    deadlines: collections::BinaryHeap<QueuedDeadline>,
    next_wakeup: Option<time::Instant>,
    purge_threshold: usize,
}

/// All deadlines of the process and the thread that sleeps until the earliest.
#[derive(Debug)]
struct DeadlineQueue {
    state: sync::Arc<lock_rank::RankedLock<lock_rank::DeadlineRank, QueueState>>,
    thread: Option<thread::Thread>,
}

impl DeadlineQueue {
    fn new() -> Self {
        let state = QueueState {
            deadlines: collections::BinaryHeap::new(),
            next_wakeup: None,
            purge_threshold: MIN_PURGE_THRESHOLD,
        };
        let state = sync::Arc::new(lock_rank::RankedLock::new(state));
        let shared = state.clone();
        let started = thread::Builder::new().name("deadlines".into()).spawn(move || run(&shared));
        let thread = started.map(|handle| handle.thread().clone());
        if let Err(error) = &thread {
            log::error!("deadline: thread not started. error={error}");
        }
        Self { state, thread: thread.ok() }
    }

    fn insert(&self, deadline: time::Instant, entry: sync::Arc<DeadlineEntry>) {
        let mut state = self.state.lock();
        state.deadlines.push(QueuedDeadline { deadline, entry });
        if state.deadlines.len() > state.purge_threshold {
            state.purge();
        }
        let earlier = state.next_wakeup.is_none_or(|next_wakeup| deadline < next_wakeup);
        if earlier {
            state.next_wakeup = Some(deadline);
        }
        drop(state);
        if earlier && let Some(thread) = &self.thread {
            thread.unpark();
        }
    }
}

impl QueueState {
    fn purge(&mut self) {
        self.deadlines.retain(QueuedDeadline::has_timer);
        self.purge_threshold = (self.deadlines.len() * 2).max(MIN_PURGE_THRESHOLD);
    }

    /// Removes the earliest deadline if it has been reached.
    fn pop_expired(&mut self, now: time::Instant) -> Option<sync::Arc<DeadlineEntry>> {
        let next = self.deadlines.peek()?;
        if next.deadline > now {
            return None;
        }
        self.deadlines.pop().map(|queued| queued.entry)
    }

    fn update_next_wakeup(&mut self) -> Option<time::Instant> {
        self.next_wakeup = self.deadlines.peek().map(|queued| queued.deadline);
        self.next_wakeup
    }
}

/// Fires deadlines as they are reached and sleeps in between; never returns.
fn run(state: &lock_rank::RankedLock<lock_rank::DeadlineRank, QueueState>) {
    loop {
        let now = time::Instant::now();
        let mut locked = state.lock();
        let expired: Vec<_> = std::iter::from_fn(|| locked.pop_expired(now)).collect();
        let next_wakeup = locked.update_next_wakeup();
        drop(locked);
        expired.iter().for_each(|entry| entry.fire());
        match next_wakeup {
            Some(next_wakeup) => thread::park_timeout(next_wakeup.saturating_duration_since(now)),
            None => thread::park(),
        }
    }
}
