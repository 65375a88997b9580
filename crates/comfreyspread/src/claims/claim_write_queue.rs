//! Writing the rows of this node's claims, together where several wait.
//!
//! A write goes out at once while few are in flight. Otherwise it waits and goes out with all others
//! that wait by then, so the transactions a node makes grow with the store's delay and not with the
//! node's load. Nothing is held back to fill a group.

use crate::runtime::{context, rank};
use comfreyspread_policy::{claim, write_group};
use comfreyspread_schema::types;
use std::sync;

/// Transactions of claims that one node has in flight at most.
const IN_FLIGHT_LIMIT: usize = 2;
/// Most writes of one transaction.
const GROUP_LIMIT: usize = 64;

/// Writes of claims that wait for their turn.
#[derive(Debug, Default)]
pub struct PendingWrites {
    waiting: Vec<PendingWrite>,
    in_flight: usize,
}

/// The queue of a node's claim writes.
pub type WriteQueue = rank::RankedLock<rank::ClaimWriteRank, PendingWrites>;

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

    /// Takes the writes to send next, passing over those that nobody waits for any more.
    fn take_group(&mut self) -> Vec<PendingWrite> {
        self.waiting.retain(|pending| !pending.reply.is_closed());
        let count = self.waiting.len().min(GROUP_LIMIT);
        self.waiting.drain(..count).collect()
    }
}

/// Writes one row and returns what came of it.
///
/// A write whose future is dropped before it was sent is not sent.
pub async fn write(
    context: &sync::Arc<context::NodeContext>,
    write: types::RowWrite,
) -> claim::StoreEvent {
    let (reply, answer) = async_channel::bounded(1);
    let starts = {
        let mut writes = context.tables.claim_writes.lock();
        writes.waiting.push(PendingWrite { write, reply });
        let starts = writes.in_flight < IN_FLIGHT_LIMIT;
        writes.in_flight += usize::from(starts);
        starts
    };
    if starts {
        context.spawner.detach(send_all(context.clone()));
    }
    answer.recv().await.unwrap_or(claim::StoreEvent::Unknown)
}

/// Sends groups until no write waits.
async fn send_all(context: sync::Arc<context::NodeContext>) {
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
                return answer_all(group, &event);
            }
        };
        let before = group.len();
        group = answer_settled(group, &transaction.writes, &reply);
        if group.len() == before {
            return answer_all(group, &claim::StoreEvent::Unknown);
        }
    }
}

/// Answers the writes whose outcome is known and returns the others.
fn answer_settled(
    group: Vec<PendingWrite>,
    writes: &[types::RowWrite],
    reply: &types::TransactionReply,
) -> Vec<PendingWrite> {
    let mut stopped = Vec::new();
    for (pending, outcome) in group.into_iter().zip(write_group::outcomes(writes, reply)) {
        let event = match outcome {
            write_group::WriteOutcome::Committed(version) => claim::StoreEvent::Committed(version),
            write_group::WriteOutcome::Rejected => claim::StoreEvent::Rejected,
            write_group::WriteOutcome::Aborted => {
                stopped.push(pending);
                continue;
            }
        };
        pending.reply.try_send(event).ok();
    }
    stopped
}

fn answer_all(group: Vec<PendingWrite>, event: &claim::StoreEvent) {
    for pending in group {
        pending.reply.try_send(event.clone()).ok();
    }
}
