//! Locks with a stated order.
//!
//! Every shared table sits behind a [`RankedLock`] whose type names its rank. A thread may only
//! take a lock of a higher rank than those it holds; debug builds check this at each lock and
//! panic with both names, so every test run checks the order. The ranks, in order, are the types
//! of this module that implement [`LockRank`].
//!
//! A guard is never held across an await: it is not `Send`, and the linter refuses it.

use std::{cell, ops, sync};

/// Place of a lock in the order.
pub trait LockRank {
    /// Position; a thread takes locks in ascending order.
    const ORDER: u8;
    /// Name shown when the order is broken.
    const NAME: &'static str;
}

macro_rules! ranks {
    ($($(#[$doc:meta])* $name:ident = $order:literal;)*) => {
        $($(#[$doc])*
        #[derive(Debug)]
        pub struct $name;

        impl LockRank for $name {
            const ORDER: u8 = $order;
            const NAME: &'static str = stringify!($name);
        })*
    };
}

ranks! {
    /// Rank of the node's life.
    LifecycleRank = 10;
    /// Rank of the configuration in force.
    ConfigurationRank = 20;
    /// Rank of the VMs that leave.
    LeavingVmRank = 25;
    /// Rank of the member table.
    MemberRank = 30;
    /// Rank of the ownership table.
    OwnershipRank = 40;
    /// Rank of the mirrored tables of the platform's store.
    StoreTableRank = 41;
    /// Rank of the routes in force on the users' platform.
    RouteRank = 42;
    /// Rank of the endpoints that have registered.
    DirectoryRank = 44;
    /// Rank of the queues of stage services.
    BatchRank = 46;
    /// Rank of the waits at stage services.
    WaitRank = 47;
    /// Rank of what was seen of nodes that batch.
    PeerHealthRank = 49;
    /// Rank of the shared budget of repeats.
    ServiceRetryRank = 48;
    /// Rank of the pools' queues and limits.
    PoolRank = 50;
    /// Rank of the load hints of other owners.
    HintRank = 60;
    /// Rank of the claims in progress.
    ClaimRank = 70;
    /// Rank of the claims' writes that wait.
    ClaimWriteRank = 72;
    /// Rank of the suspected requests.
    SuspectRank = 80;
    /// Rank of the measured stage times.
    TimingRank = 90;
    /// Rank of the retry budgets.
    AttemptBudgetRank = 100;
    /// Rank of the seeds that have answered.
    SeedRank = 105;
    /// Rank of the idle connections.
    ConnectionRank = 110;
    /// Rank of the queue of deadlines.
    DeadlineRank = 120;
    /// Rank of the log lines of the present second.
    LogRank = 250;
}

thread_local! {
    static HELD: cell::RefCell<Vec<(u8, &'static str)>> = const { cell::RefCell::new(Vec::new()) };
}

/// A mutex whose place in the lock order is part of its type.
#[derive(Debug)]
pub struct RankedLock<Rank, Value> {
    value: sync::Mutex<Value>,
    rank: std::marker::PhantomData<Rank>,
}

impl<Rank, Value> Default for RankedLock<Rank, Value>
where
    Rank: LockRank,
    Value: Default,
{
    fn default() -> Self {
        Self::new(Value::default())
    }
}

impl<Rank, Value> RankedLock<Rank, Value>
where
    Rank: LockRank,
{
    /// Creates an unlocked lock.
    pub fn new(value: Value) -> Self {
        Self { value: sync::Mutex::new(value), rank: std::marker::PhantomData }
    }

    /// Takes the lock, waiting for other threads.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> RankedGuard<'_, Value> {
        note_acquired(Rank::ORDER, Rank::NAME);
        let guard = self.value.lock().unwrap_or_else(sync::PoisonError::into_inner);
        RankedGuard { guard, order: Rank::ORDER }
    }
}

/// Access to the value of a [`RankedLock`] until dropped.
#[derive(Debug)]
pub struct RankedGuard<'lock, Value> {
    guard: sync::MutexGuard<'lock, Value>,
    order: u8,
}

impl<Value> ops::Deref for RankedGuard<'_, Value> {
    type Target = Value;

    fn deref(&self) -> &Value {
        &self.guard
    }
}

impl<Value> ops::DerefMut for RankedGuard<'_, Value> {
    fn deref_mut(&mut self) -> &mut Value {
        &mut self.guard
    }
}

impl<Value> Drop for RankedGuard<'_, Value> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD.with_borrow_mut(|held| {
                if let Some(index) = held.iter().rposition(|(order, _)| *order == self.order) {
                    held.remove(index);
                }
            });
        }
    }
}

fn note_acquired(order: u8, name: &'static str) {
    if !cfg!(debug_assertions) {
        return;
    }
    HELD.with_borrow_mut(|held| {
        if let Some((_, other)) = held.iter().find(|(other, _)| *other >= order) {
            panic!("lock order broken: {name} taken while {other} is held");
        }
        held.push((order, name));
    });
}
