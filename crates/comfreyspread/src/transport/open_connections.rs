//! Connections of one server, and what each of them waits for.
//!
//! When no more may be open, one that waits is closed for a new one. Clients that keep connections and do
//! not use them would otherwise keep all others out.

use crate::runtime::lock_rank;
use comfreyspread_policy::connection_displacement;
use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::{sync, time};

type CloseSender = async_channel::Sender<()>;
type PhaseLock = lock_rank::RankedLock<lock_rank::ConnectionPhaseRank, PhaseRecord>;

/// Connections of one server.
#[derive(Debug, Default)]
pub struct OpenConnections {
    table: lock_rank::RankedLock<lock_rank::OpenConnectionRank, ConnectionTable>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    next_id: ids::ConnectionId,
    entries: IndexMap<ids::ConnectionId, ConnectionEntry>,
}

#[derive(Debug)]
struct ConnectionEntry {
    phase: sync::Arc<PhaseLock>,
    sender: CloseSender,
}

/// Phase of a connection, and whether it is about to be closed.
#[derive(Debug)]
struct PhaseRecord {
    waiting: connection_displacement::WaitingConnection,
    is_closing: bool,
}

impl PhaseRecord {
    /// Marks the connection as about to be closed, unless its request has arrived since it was chosen.
    fn close(&mut self) -> bool {
        self.is_closing = self.waiting.phase != connection_displacement::ConnectionPhase::Active;
        self.is_closing
    }

    fn set(&mut self, phase: connection_displacement::ConnectionPhase) {
        if self.waiting.phase != phase {
            let since = time::Instant::now();
            self.waiting = connection_displacement::WaitingConnection { phase, since };
        }
    }
}

/// An open connection; dropping it removes it.
#[derive(Debug)]
pub struct OpenConnection {
    connections: sync::Arc<OpenConnections>,
    id: ids::ConnectionId,
    phase: PhaseSetter,
    closed: async_channel::Receiver<()>,
}

/// Sets the phase of a connection.
#[derive(Clone, Debug)]
pub struct PhaseSetter {
    phase: sync::Arc<PhaseLock>,
}

impl OpenConnections {
    /// Adds a connection.
    pub fn add(self: &sync::Arc<Self>) -> OpenConnection {
        let (sender, closed) = async_channel::bounded(1);
        let waiting = connection_displacement::WaitingConnection {
            phase: connection_displacement::ConnectionPhase::New,
            since: time::Instant::now(),
        };
        let record = PhaseRecord { waiting, is_closing: false };
        let phase = sync::Arc::new(lock_rank::RankedLock::new(record));
        let mut table = self.table.lock();
        let id = table.next_id;
        table.next_id += 1;
        table.entries.insert(id, ConnectionEntry { phase: phase.clone(), sender });
        drop(table);
        OpenConnection { connections: self.clone(), id, phase: PhaseSetter { phase }, closed }
    }

    /// Closes the connection that is to make room for a new one; returns whether there is one.
    pub fn displace(&self, now: time::Instant) -> bool {
        let mut table = self.table.lock();
        let waiting = table.entries.iter().map(|(id, entry)| (*id, entry.phase.lock().waiting));
        let Some(id) = connection_displacement::choose(waiting, now) else { return false };
        let is_closing = table.entries.get(&id).is_some_and(|entry| entry.phase.lock().close());
        let entry = if is_closing { table.entries.swap_remove(&id) } else { None };
        entry.is_some_and(|entry| entry.sender.try_send(()).is_ok())
    }
}

impl OpenConnection {
    /// Returns what sets the phase of this connection.
    pub fn phase(&self) -> &PhaseSetter {
        &self.phase
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn closed(&self) {
        self.closed.recv().await.ok();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table.lock().entries.swap_remove(&self.id);
    }
}

impl PhaseSetter {
    /// Records that a whole request has arrived. Returns whether it may be handled: it may not if the
    /// connection is about to be closed.
    pub fn start_request(&self) -> bool {
        let mut record = self.phase.lock();
        record.set(connection_displacement::ConnectionPhase::Active);
        !record.is_closing
    }

    /// Sets the phase; one that stays the same goes on since it began.
    pub fn set(&self, phase: connection_displacement::ConnectionPhase) {
        self.phase.lock().set(phase);
    }
}
