//! Contents of heartbeats and their replies, and what a node takes from them.

use crate::{
    membership::{crash_notice, heartbeat},
    runtime::context,
};
use comfreyspread_schema::{ids, types};
use rand::seq::IndexedRandom as _;
use std::{sync, time};

/// Records in one message: the sender's own and recently changed ones.
const RECORDS_PER_MESSAGE: usize = 4;
/// Pool load hints in one message.
const HINTS_PER_MESSAGE: usize = 4;
/// Crash suspects in one message.
const SUSPECTS_PER_MESSAGE: usize = 4;
/// Suspected prompt parts in one message.
const PARTS_PER_MESSAGE: usize = 4;

/// Returns a heartbeat without a digest.
pub fn heartbeat(
    context: &context::NodeContext,
    indirect_probe_target: Option<ids::NodeId>,
) -> types::Heartbeat {
    let header = context.peer_header();
    let hints = sample_hints(context);
    let crash_suspects = crash_suspects(context);
    types::Heartbeat {
        header,
        hints,
        members: context.tables.members.lock().gossip_records(RECORDS_PER_MESSAGE),
        crash_suspects,
        part_suspects: part_suspects(context),
        digest: Vec::new(),
        indirect_probe_target,
        full_sync: false,
    }
}

/// Returns the reply to a message that has been applied.
pub fn reply(
    context: &context::NodeContext,
    message: &types::Heartbeat,
    indirect_probe_reached: bool,
) -> types::HeartbeatReply {
    let hints = sample_hints(context);
    let crash_suspects = crash_suspects(context);
    let mut random = rand::rng();
    let mut members = context.tables.members.lock();
    let suspicion = members.suspicion_of_sender(&message.header);
    let repairs = members.repair_records(&message.digest, time::Instant::now(), &mut random);
    let (mut records, partial) = if message.full_sync {
        let snapshot = members.snapshot(&mut random);
        (snapshot.records, snapshot.partial)
    } else {
        (members.gossip_records(RECORDS_PER_MESSAGE), false)
    };
    drop(members);
    records.extend(suspicion);
    types::HeartbeatReply {
        hints,
        members: records,
        partial,
        repairs,
        indirect_probe_reached,
        crash_suspects,
        part_suspects: part_suspects(context),
        ..empty_reply(context)
    }
}

/// Returns a reply without records, hints or suspects.
pub fn empty_reply(context: &context::NodeContext) -> types::HeartbeatReply {
    types::HeartbeatReply {
        header: context.peer_header(),
        hints: Vec::new(),
        members: Vec::new(),
        partial: false,
        repairs: Vec::new(),
        indirect_probe_reached: false,
        crash_suspects: Vec::new(),
        part_suspects: Vec::new(),
    }
}

/// Applies the reply to a message sent at `sent`; returns whether one of the two nodes suspected the
/// other, so that they should exchange one more message.
pub fn apply_reply(
    context: &sync::Arc<context::NodeContext>,
    reply: types::HeartbeatReply,
    sent: time::Instant,
) -> bool {
    let suspected = context.tables.members.lock().is_suspected_by(&reply.members);
    let now = time::Instant::now();
    if suspected {
        context.tables.ownership.lock().record_suspicion(now);
    } else {
        context.tables.ownership.lock().renew_lease(sent, now);
    }
    record_piggyback(context, &reply.header, &reply.hints, &reply.crash_suspects);
    merge_parts(context, &reply.part_suspects);
    heartbeat::merge_repairs(context, reply.repairs);
    heartbeat::merge_records(context, &reply.header, reply.members);
    suspected || context.tables.members.lock().is_disputed(&reply.header.node)
}

/// Applies the reply of a seed that was asked for its members; returns as [`apply_reply`] does.
pub fn apply_snapshot(
    context: &sync::Arc<context::NodeContext>,
    reply: types::HeartbeatReply,
    sent: time::Instant,
) -> bool {
    let members = reply.members.clone();
    apply_reply(context, types::HeartbeatReply { repairs: members, ..reply }, sent)
}

/// Records the load hints and crash suspects that came with a message.
pub fn record_piggyback(
    context: &context::NodeContext,
    header: &types::PeerHeader,
    hints: &[types::PoolHint],
    suspects: &[types::CrashSuspect],
) {
    let now = time::Instant::now();
    for hint in hints {
        context.tables.hints.lock().record_hint(&header.node, hint.clone(), now);
    }
    for record in suspects {
        context.tables.suspects.lock().merge(record, now);
    }
}

/// Merges the prompt parts that another node suspects.
pub fn merge_parts(context: &context::NodeContext, records: &[types::PartSuspect]) {
    let now = time::Instant::now();
    crash_notice::update_parts(&context.tables, |table| {
        let mut has_news = false;
        for record in records {
            has_news |= table.merge(record, now);
        }
        has_news
    });
}

fn part_suspects(context: &context::NodeContext) -> Vec<types::PartSuspect> {
    let (now, mut random) = (time::Instant::now(), rand::rng());
    context.tables.part_suspects.lock().records(PARTS_PER_MESSAGE, now, &mut random)
}

/// Returns the load of a random sample of this node's pools.
fn sample_hints(context: &context::NodeContext) -> Vec<types::PoolHint> {
    let mut hints = context.tables.pools.lock().hints();
    hints.retain(|hint| hint.limit > 0);
    hints.choose_multiple(&mut rand::rng(), HINTS_PER_MESSAGE).cloned().collect()
}

fn crash_suspects(context: &context::NodeContext) -> Vec<types::CrashSuspect> {
    let (now, mut random) = (time::Instant::now(), rand::rng());
    context.tables.suspects.lock().records(SUSPECTS_PER_MESSAGE, now, &mut random)
}
