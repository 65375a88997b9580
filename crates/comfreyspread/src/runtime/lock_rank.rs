//! Mutexes with a fixed lock order.
//!
//! Every shared table is behind a [`RankedLock`] whose type names its rank. A thread may only
//! acquire a lock of a higher rank than those it holds. Debug builds check this at each
//! acquisition and panic with the names of both ranks, so every test run checks the order. The
//! ranks are the types of this module that implement [`LockRank`].
//!
//! A guard is never held across an await: it is not `Send`, and clippy rejects it.

use std::{cell, ops, sync};

/// Position of a lock in the lock order.
pub trait LockRank {
    /// Position; a thread acquires locks in ascending order.
    const ORDER: u8;
    /// Name in the panic message for a violation of the order.
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
    /// Rank of the node's phase.
    LifecycleRank = 10;
    /// Rank of the configuration in force.
    ConfigurationRank = 20;
    /// Rank of the leaving VMs.
    LeavingVmRank = 25;
    /// Rank of the member table.
    MemberRank = 30;
    /// Rank of the roll-outs that this node decides on.
    DeciderRank = 38;
    /// Rank of the ownership table.
    OwnershipRank = 40;
    /// Rank of the local copies of the store's tables.
    StoreTableRank = 41;
    /// Rank of the routes in force on the users' platform.
    RouteRank = 42;
    /// Rank of the roll-outs of endpoint software.
    RolloutRank = 43;
    /// Rank of the directory of registered endpoints.
    DirectoryRank = 44;
    /// Rank of the times to the first event.
    FirstEventRank = 45;
    /// Rank of the batch queues of stage services.
    BatchRank = 46;
    /// Rank of the expected waits at stage services.
    WaitRank = 47;
    /// Rank of the health of batching nodes.
    PeerHealthRank = 49;
    /// Rank of the shared budget of service retries.
    ServiceRetryRank = 48;
    /// Rank of the pools' queues and concurrency limits.
    PoolRank = 50;
    /// Rank of the engines on which this node places requests.
    BoardRank = 51;
    /// Rank of the placements of this node's requests.
    PlacementRank = 52;
    /// Rank of the load hints of other owners.
    HintRank = 60;
    /// Rank of the claims in progress.
    ClaimRank = 70;
    /// Rank of the queue of claim writes.
    ClaimWriteRank = 72;
    /// Rank of the requests suspected of crashing endpoints.
    SuspectRank = 80;
    /// Rank of the prompt parts suspected of crashing endpoints.
    PartSuspectRank = 82;
    /// Rank of the measured stage times.
    TimingRank = 90;
    /// Rank of the budgets for retries, hedges and link bytes.
    AttemptBudgetRank = 100;
    /// Rank of the status of seeds.
    SeedRank = 105;
    /// Rank of the memory for responses.
    ResponseMemoryRank = 106;
    /// Rank of a server's open connections.
    OpenConnectionRank = 107;
    /// Rank of the requests whose bodies are not complete.
    UnfinishedRequestRank = 108;
    /// Rank of the phase of one connection.
    ConnectionPhaseRank = 109;
    /// Rank of the idle connections.
    ConnectionRank = 110;
    /// Rank of the queue of deadlines.
    DeadlineRank = 120;
    /// Rank of the log rate limiter.
    LogRank = 250;
}

thread_local! {
    static HELD_RANKS: cell::RefCell<Vec<(u8, &'static str)>> =
        const { cell::RefCell::new(Vec::new()) };
}

/// A mutex whose position in the lock order is part of its type.
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

    /// Acquires the lock, blocking until it is free. A poisoned lock is acquired all the same.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread holds a lock of the same or a higher rank.
    pub fn lock(&self) -> RankedGuard<'_, Value> {
        record_acquisition(Rank::ORDER, Rank::NAME);
        let guard = self.value.lock().unwrap_or_else(sync::PoisonError::into_inner);
        RankedGuard { guard, order: Rank::ORDER }
    }
}

/// Guard of a [`RankedLock`]; releases it when dropped.
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
            HELD_RANKS.with_borrow_mut(|held| {
                if let Some(index) = held.iter().rposition(|(order, _)| *order == self.order) {
                    held.remove(index);
                }
            });
        }
    }
}

fn record_acquisition(order: u8, name: &'static str) {
    if !cfg!(debug_assertions) {
        return;
    }
    HELD_RANKS.with_borrow_mut(|held| {
        if let Some((_, other)) = held.iter().find(|(other, _)| *other >= order) {
            panic!("lock order violated: {name} acquired while {other} is held");
        }
        held.push((order, name));
    });
}
