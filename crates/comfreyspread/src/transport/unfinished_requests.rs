//! Requests whose bodies are not complete. When bodies have used up most of their budget, the oldest is
//! ended for a new one: clients that begin and do not go on would otherwise keep all others out.

use crate::runtime::lock_rank;
use indexmap::IndexMap;
use std::sync;

/// Unfinished requests of one server, in the order of their arrival.
#[derive(Debug, Default)]
pub struct UnfinishedRequests {
    waiting: lock_rank::RankedLock<lock_rank::UnfinishedRequestRank, WaitingRequests>,
}

#[derive(Debug, Default)]
struct WaitingRequests {
    next_number: u64,
    senders: IndexMap<u64, async_channel::Sender<()>>,
}

/// A request until its body is complete; dropping it removes it.
#[derive(Debug)]
pub struct UnfinishedRequest {
    requests: sync::Arc<UnfinishedRequests>,
    number: u64,
    ended: async_channel::Receiver<()>,
}

impl UnfinishedRequests {
    /// Adds a request.
    pub fn add(self: &sync::Arc<Self>) -> UnfinishedRequest {
        let (sender, ended) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock();
        let number = waiting.next_number;
        waiting.next_number += 1;
        waiting.senders.insert(number, sender);
        drop(waiting);
        UnfinishedRequest { requests: self.clone(), number, ended }
    }

    /// Ends the oldest request; returns whether there was one.
    pub fn end_oldest(&self) -> bool {
        let oldest = self.waiting.lock().senders.shift_remove_index(0);
        oldest.is_some_and(|(_, sender)| sender.try_send(()).is_ok())
    }
}

impl UnfinishedRequest {
    /// Waits until the request is to be ended for another one.
    pub async fn ended(&self) {
        self.ended.recv().await.ok();
    }
}

impl Drop for UnfinishedRequest {
    fn drop(&mut self) {
        self.requests.waiting.lock().senders.shift_remove(&self.number);
    }
}
