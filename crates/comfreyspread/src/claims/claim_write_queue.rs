//! Writes the rows of this node's claims, grouping writes that wait.
//!
//! A write is sent at once while few transactions are in flight. Otherwise it is queued and sent
//! with the other queued writes, so the transaction rate of a node is bounded by the latency of the
//! store and does not grow with the load. No write is delayed to fill a group.

use crate::runtime::{context, lock_rank, node};
use comfreyspread_policy::{claim, write_group};
use comfreyspread_schema::types;
use std::sync;

/// Maximum number of claim transactions in flight at one node.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of writes in one transaction.
const MAX_GROUP_WRITES: usize = 64;

/// Claim writes waiting to be sent.
#[derive(Debug, Default)]
pub struct PendingWrites {
    waiting: Vec<PendingWrite>,
    in_flight: usize,
}

/// The queue of a node's claim writes.
pub type WriteQueue = lock_rank::RankedLock<lock_rank::ClaimWriteRank, PendingWrites>;

#[derive(Debug)]
struct PendingWrite {
    write: types::RowWrite,
    reply: async_channel::Sender<claim::StoreEvent>,
}

impl PendingWrites {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns the writes to send next, dropping those whose caller no longer waits.
    fn take_group(&mut self) -> Vec<PendingWrite> {
        self.waiting.retain(|pending| !pending.reply.is_closed());
        let count = self.waiting.len().min(MAX_GROUP_WRITES);
        self.waiting.drain(..count).collect()
    }
}

/// Writes one row and returns the outcome.
///
/// A write whose future is dropped before it was sent is not sent.
pub async fn write(
    context: &sync::Arc<context::NodeContext>,
    write: types::RowWrite,
) -> claim::StoreEvent {
    let (reply, outcome) = async_channel::bounded(1);
    let starts_sender = {
        let mut writes = context.tables.claim_writes.lock();
        writes.waiting.push(PendingWrite { write, reply });
        let starts_sender = writes.in_flight < MAX_IN_FLIGHT;
        writes.in_flight += usize::from(starts_sender);
        starts_sender
    };
    if starts_sender {
        node::supervise(context, "claim-writer", send_groups);
    }
    outcome.recv().await.unwrap_or(claim::StoreEvent::Unknown)
}

/// Sends groups until the queue is empty.
async fn send_groups(context: sync::Arc<context::NodeContext>) {
    loop {
        let group = {
            let mut writes = context.tables.claim_writes.lock();
            let group = writes.take_group();
            if group.is_empty() {
                writes.in_flight -= 1;
                return;
            }
            group
        };
        send_group(&context, group).await;
    }
}

async fn send_group(context: &context::NodeContext, mut group: Vec<PendingWrite>) {
    while !group.is_empty() {
        let writes: Vec<_> = group.iter().map(|pending| pending.write.clone()).collect();
        let transaction = types::TransactionRequest { writes };
        let sent = Box::pin(context.platform.transact(&transaction)).await;
        let reply = match sent {
            Ok(reply) => reply,
            Err(failure) => {
                let unsent = failure.verdict() == types::CallVerdict::NotRun;
                let event =
                    if unsent { claim::StoreEvent::Unsent } else { claim::StoreEvent::Unknown };
                return reply_all(group, &event);
            }
        };
        let before = group.len();
        group = reply_resolved(group, &transaction.writes, &reply);
        if group.len() == before {
            return reply_all(group, &claim::StoreEvent::Unknown);
        }
    }
}

/// Replies to the writes whose outcome is known and returns the others.
fn reply_resolved(
    group: Vec<PendingWrite>,
    writes: &[types::RowWrite],
    reply: &types::TransactionReply,
) -> Vec<PendingWrite> {
    let mut aborted = Vec::new();
    for (pending, outcome) in group.into_iter().zip(write_group::outcomes(writes, reply)) {
        let event = match outcome {
            write_group::WriteOutcome::Committed(version) => claim::StoreEvent::Committed(version),
            write_group::WriteOutcome::Rejected => claim::StoreEvent::Rejected,
            write_group::WriteOutcome::Aborted => {
                aborted.push(pending);
                continue;
            }
        };
        pending.reply.try_send(event).ok();
    }
    aborted
}

fn reply_all(group: Vec<PendingWrite>, event: &claim::StoreEvent) {
    for pending in group {
        pending.reply.try_send(event.clone()).ok();
    }
}
