//! Deadlines of calls: timers that are set often and rarely fire.
//!
//! A timer of the reactor costs a system call when it is set, since the reactor has to be told. A
//! node sets several for each call, and nearly all are dropped unfired. Here one thread sleeps until
//! the earliest deadline, and setting a later one only takes a lock.

use crate::runtime::lock_rank;
use futures_util::task;
use std::{cmp, collections, future, pin, sync, sync::atomic, thread, time};

/// Entries above which the queue looks for dropped ones.
const FIRST_PURGE_ENTRIES: usize = 1024;

static QUEUE: sync::LazyLock<DeadlineQueue> = sync::LazyLock::new(DeadlineQueue::new);

/// Waits until a moment has passed.
#[derive(Debug)]
pub struct DeadlineTimer {
    moment: time::Instant,
    entry: Option<sync::Arc<DeadlineEntry>>,
}

impl DeadlineTimer {
    /// Creates a timer for `moment`.
    pub fn new(moment: time::Instant) -> Self {
        Self { moment, entry: None }
    }

    /// Creates a timer for the moment `length` from now.
    pub fn after(length: time::Duration) -> Self {
        Self::new(time::Instant::now() + length)
    }
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>) -> std::task::Poll<()> {
        if time::Instant::now() >= self.moment {
            return std::task::Poll::Ready(());
        }
        match &self.entry {
            Some(entry) => entry.waker.register(cx.waker()),
            None => {
                let entry = sync::Arc::new(DeadlineEntry::default());
                entry.waker.register(cx.waker());
                QUEUE.insert(self.moment, entry.clone());
                self.entry = Some(entry);
            }
        }
        let fired = self.entry.as_ref().is_some_and(|entry| entry.fired());
        if fired { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    }
}

/// Waits for `work`, or returns none once `timer` has fired.
pub async fn before<Work>(timer: &mut DeadlineTimer, work: Work) -> Option<Work::Output>
where
    Work: future::Future,
{
    let done = async { Some(work.await) };
    let late = async {
        timer.await;
        None
    };
    futures_lite::FutureExt::or(done, late).await
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

/// A deadline in the queue; the earliest is the greatest.
#[derive(Debug)]
struct QueuedDeadline {
    moment: time::Instant,
    entry: sync::Arc<DeadlineEntry>,
}

impl QueuedDeadline {
    /// Whether its timer is still there.
    fn is_awaited(&self) -> bool {
        sync::Arc::strong_count(&self.entry) > 1
    }
}

impl Eq for QueuedDeadline {}

impl PartialEq for QueuedDeadline {
    fn eq(&self, other: &Self) -> bool {
        self.moment == other.moment
    }
}

impl Ord for QueuedDeadline {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other.moment.cmp(&self.moment)
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
    wakes: Option<time::Instant>,
    purge_above: usize,
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
            wakes: None,
            purge_above: FIRST_PURGE_ENTRIES,
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

    fn insert(&self, moment: time::Instant, entry: sync::Arc<DeadlineEntry>) {
        let mut state = self.state.lock();
        state.deadlines.push(QueuedDeadline { moment, entry });
        if state.deadlines.len() > state.purge_above {
            state.purge();
        }
        let earlier = state.wakes.is_none_or(|wakes| moment < wakes);
        if earlier {
            state.wakes = Some(moment);
        }
        drop(state);
        if earlier && let Some(thread) = &self.thread {
            thread.unpark();
        }
    }
}

impl QueueState {
    fn purge(&mut self) {
        self.deadlines.retain(QueuedDeadline::is_awaited);
        self.purge_above = (self.deadlines.len() * 2).max(FIRST_PURGE_ENTRIES);
    }

    /// Takes out the next deadline that has passed.
    fn take_passed(&mut self, now: time::Instant) -> Option<sync::Arc<DeadlineEntry>> {
        let next = self.deadlines.peek()?;
        if next.moment > now {
            return None;
        }
        self.deadlines.pop().map(|queued| queued.entry)
    }

    fn plan_wake(&mut self) -> Option<time::Instant> {
        self.wakes = self.deadlines.peek().map(|queued| queued.moment);
        self.wakes
    }
}

/// Sleeps until the earliest deadline and fires it, for ever.
fn run(state: &lock_rank::RankedLock<lock_rank::DeadlineRank, QueueState>) {
    loop {
        let now = time::Instant::now();
        let mut locked = state.lock();
        let passed: Vec<_> = std::iter::from_fn(|| locked.take_passed(now)).collect();
        let wakes = locked.plan_wake();
        drop(locked);
        passed.iter().for_each(|entry| entry.fire());
        match wakes {
            Some(wakes) => thread::park_timeout(wakes.saturating_duration_since(now)),
            None => thread::park(),
        }
    }
}
