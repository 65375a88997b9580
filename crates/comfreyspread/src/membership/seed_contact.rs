//! Contact with the seeds, from which a node that starts learns the first members.

use crate::{
    membership::{handover, heartbeat, heartbeat_message, probe},
    runtime::{context, lock_rank, settings},
};
use comfreyspread_policy::connectivity;
use indexmap::IndexMap;
use rand::seq::IteratorRandom as _;
use std::{net, sync, time};

/// Heartbeat periods between attempts to reach a seed that is not a live member.
const SEED_PERIOD_HEARTBEATS: u64 = 20;
/// Seeds contacted in one heartbeat period during startup.
const SEEDS_PER_PERIOD: usize = 8;

/// How a seed has replied to a node that starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum SeedReply {
    /// It has neither answered nor refused a connection.
    #[default]
    Silent,
    /// It refused a connection.
    Refused,
    /// It sent a part of its members.
    Partial,
    /// It sent all of its members.
    Complete,
}

/// Returns the seeds to contact in this round.
///
/// During startup these are seeds that have not answered. Later it is one seed that is not a
/// live member, every [`SEED_PERIOD_HEARTBEATS`] rounds, so that two partitions that have forgotten
/// each other merge again; a node without live peers tries one in each round.
pub fn next_seeds(
    context: &context::NodeContext,
    statuses: &SeedStatuses,
    round: u64,
) -> Vec<net::SocketAddr> {
    let members = context.tables.members.lock();
    let startup_over = context.tables.ownership.lock().is_startup_over(time::Instant::now());
    if !startup_over {
        let seeds = statuses.unanswered(&context.settings).into_iter();
        return seeds.choose_multiple(&mut rand::rng(), SEEDS_PER_PERIOD);
    }
    let live: Vec<_> = members.live().map(|record| record.address).collect();
    if live.len() > 1 && !round.is_multiple_of(SEED_PERIOD_HEARTBEATS) {
        return Vec::new();
    }
    let seeds = context.settings.seeds.iter().filter(|seed| !live.contains(seed));
    seeds.copied().choose(&mut rand::rng()).into_iter().collect()
}

/// Reply of each seed since this node started.
#[derive(Debug, Default)]
pub struct SeedStatuses {
    replies: lock_rank::RankedLock<lock_rank::SeedRank, IndexMap<net::SocketAddr, SeedReply>>,
}

impl SeedStatuses {
    /// Returns the seeds that have not answered.
    fn unanswered(&self, settings: &settings::NodeSettings) -> Vec<net::SocketAddr> {
        let reply_of = self.reply_lookup();
        let others = settings.seeds.iter().filter(|seed| **seed != settings.peer_address);
        let unanswered = |seed: &&net::SocketAddr| {
            matches!(reply_of(seed), SeedReply::Silent | SeedReply::Refused)
        };
        others.filter(unanswered).copied().collect()
    }

    /// Records the reply of one seed and returns the combined status of all seeds.
    fn insert(
        &self,
        settings: &settings::NodeSettings,
        seed: net::SocketAddr,
        reply: SeedReply,
    ) -> connectivity::SeedStatus {
        self.replies.lock().insert(seed, reply);
        let reply_of = self.reply_lookup();
        let others = settings.seeds.iter().filter(|seed| **seed != settings.peer_address);
        let replies: Vec<_> = others.map(reply_of).collect();
        if replies.iter().all(|reply| *reply == SeedReply::Complete) {
            return connectivity::SeedStatus::Answered;
        }
        if replies.iter().any(|reply| matches!(reply, SeedReply::Silent | SeedReply::Partial)) {
            return connectivity::SeedStatus::Silent;
        }
        connectivity::SeedStatus::Refused
    }

    fn reply_lookup(&self) -> impl Fn(&net::SocketAddr) -> SeedReply {
        let replies = self.replies.lock().clone();
        move |seed| replies.get(seed).copied().unwrap_or_default()
    }
}

/// Asks a seed for its members.
pub async fn join_seed(
    context: &sync::Arc<context::NodeContext>,
    statuses: &SeedStatuses,
    seed: net::SocketAddr,
) {
    let sent = time::Instant::now();
    let mut message = heartbeat_message::heartbeat(context, None);
    message.full_sync = true;
    let deadline = sent + context.settings.suspect_timeout;
    let reply = match probe::send(context, seed, &message, deadline).await {
        Ok(reply) => {
            let partial = reply.partial;
            let node = reply.header.node.clone();
            if heartbeat_message::apply_snapshot(context, reply, sent) {
                probe::settle_dispute(context, &node).await;
            }
            if partial { SeedReply::Partial } else { SeedReply::Complete }
        }
        Err(failure) if probe::is_refusal(&failure, deadline) => SeedReply::Refused,
        Err(failure) => {
            log::debug!("heartbeat: seed did not answer. error={failure}");
            SeedReply::Silent
        }
    };
    let combined = statuses.insert(&context.settings, seed, reply);
    context.tables.ownership.lock().set_seed_status(combined);
    handover::run_actions(context, heartbeat::reconcile(context));
}
