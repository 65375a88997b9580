//! Connections that have not sent a whole request yet, and requests whose bodies are not complete. When
//! no more connections may be open, or bodies have used up most of their budget, the oldest is closed
//! for a new one: clients that begin and do not go on would otherwise keep all others out.

use crate::runtime::lock_rank;
use indexmap::IndexMap;
use std::sync;

type CloseSender = async_channel::Sender<()>;

/// Connections of one server, in the order of their arrival.
#[derive(Debug, Default)]
pub struct FreshConnections {
    waiting: lock_rank::RankedLock<lock_rank::FreshConnectionRank, WaitingConnections>,
}

#[derive(Debug, Default)]
struct WaitingConnections {
    next_number: u64,
    senders: IndexMap<u64, CloseSender>,
}

/// A connection until its first request; dropping it removes it.
#[derive(Debug)]
pub struct FreshConnection {
    connections: sync::Arc<FreshConnections>,
    number: u64,
    closed: async_channel::Receiver<()>,
    /// Keeps the channel open once the connection is no longer in the table.
    _sender: CloseSender,
}

impl FreshConnections {
    /// Adds a connection.
    pub fn add(self: &sync::Arc<Self>) -> FreshConnection {
        let (sender, closed) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock();
        let number = waiting.next_number;
        waiting.next_number += 1;
        waiting.senders.insert(number, sender.clone());
        drop(waiting);
        FreshConnection { connections: self.clone(), number, closed, _sender: sender }
    }

    /// Closes the oldest connection; returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let oldest = self.waiting.lock().senders.shift_remove_index(0);
        oldest.is_some_and(|(_, sender)| sender.try_send(()).is_ok())
    }
}

impl FreshConnection {
    /// Records that the connection has sent a whole request, so that it is not closed for others.
    pub fn record_request(&self) {
        self.connections.waiting.lock().senders.shift_remove(&self.number);
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn closed(&self) {
        self.closed.recv().await.ok();
    }
}

impl Drop for FreshConnection {
    fn drop(&mut self) {
        self.connections.waiting.lock().senders.shift_remove(&self.number);
    }
}
