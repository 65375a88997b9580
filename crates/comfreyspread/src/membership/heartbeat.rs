//! Failure detection and gossip between nodes.
//!
//! Once per heartbeat period the node probes one member, alternating between its own zone and the
//! others. A member that does not answer is probed through other members before it is suspected.
//! Each message carries a bounded number of recent changes, so its size does not grow with the
//! deployment. The tables of the policy crate decide what follows from a reply or a membership
//! change.

use crate::{
    membership::{handover, peer},
    runtime::{context, lock_rank, settings},
    transport::{failure, http_client},
};
use comfreyspread_policy::{connectivity, member, membership, ownership_action};
use comfreyspread_schema::{ids, types};
use futures_util::future;
use indexmap::IndexMap;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use std::{net, sync, time};

/// Path of a heartbeat, answered by a [`types::HeartbeatReply`].
pub const HEARTBEAT_PATH: &str = "/peer/heartbeat";

/// Recently changed records in one message, in addition to one sampled record.
const RECORDS_PER_MESSAGE: usize = 4;
/// Pool load hints in one message.
const HINTS_PER_MESSAGE: usize = 4;
/// Crash suspects in one message.
const SUSPECTS_PER_MESSAGE: usize = 4;
/// Members that probe an unresponsive member on behalf of this node.
const INDIRECT_PROBES: usize = 3;
/// Members probed per heartbeat period while no peer answers.
const PROBES_WHILE_ISOLATED: usize = 4;
/// Heartbeat periods between attempts to reach a seed that is not a live member.
const SEED_PERIOD_HEARTBEATS: u64 = 20;
/// Members notified directly that this node leaves.
const LEAVE_NOTICES: usize = 8;
/// Share of the suspicion timeout for the direct probe, as a divisor; indirect probes have the
/// rest.
const DIRECT_PROBE_DIVISOR: u32 = 3;
/// Failure timeouts for which a member that failed or left is retained.
const RETENTION_FAILURE_TIMEOUTS: u32 = 20;

/// Returns the member table of a node that knows only itself.
pub fn new_member_table(
    settings: &settings::NodeSettings,
    start_id: ids::ProcessStartId,
) -> membership::MemberTable {
    let record = types::MemberRecord {
        address: settings.advertise_address,
        incarnation: 0,
        node: settings.node.clone(),
        node_phase: types::NodePhase::Starting,
        phase: types::MemberPhase::Alive,
        region: settings.region.clone(),
        revision: 0,
        start_id,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
    };
    let retention = settings.failure_timeout * RETENTION_FAILURE_TIMEOUTS;
    let timeouts = membership::MemberTimeouts { failure: settings.failure_timeout, retention };
    membership::MemberTable::new(record, timeouts)
}

/// Sends heartbeats until the process ends.
pub async fn run(context: sync::Arc<context::NodeContext>) {
    let mut round = 0;
    let seeds = sync::Arc::new(SeedStatuses::default());
    loop {
        start_round(&context, &seeds, round);
        round += 1;
        async_io::Timer::after(context.settings.heartbeat_interval).await;
    }
}

/// Serves the heartbeat of another node.
pub async fn serve(
    context: &sync::Arc<context::NodeContext>,
    message: types::Heartbeat,
) -> types::HeartbeatReply {
    record_piggyback(context, &message.header, &message.hints, &message.crash_suspects);
    merge_records(context, &message.header, message.members);
    let indirect_probe_reached = match &message.indirect_probe_target {
        Some(node) => probe_for_peer(context, node).await,
        None => false,
    };
    let members = reply_records(context, &message.header, message.full_sync);
    let hints = sample_hints(context);
    let crash_suspects = latest_suspects(context);
    types::HeartbeatReply {
        hints,
        members,
        indirect_probe_reached,
        crash_suspects,
        ..empty_reply(context)
    }
}

/// Returns a reply without records, hints or suspects.
pub fn empty_reply(context: &context::NodeContext) -> types::HeartbeatReply {
    types::HeartbeatReply {
        header: context.peer_header(),
        hints: Vec::new(),
        members: Vec::new(),
        indirect_probe_reached: false,
        crash_suspects: Vec::new(),
    }
}

/// Updates the member and ownership tables and returns the actions that follow.
pub fn reconcile(context: &context::NodeContext) -> Vec<ownership_action::OwnershipAction> {
    let now = time::Instant::now();
    let phase = context.tables.phase();
    let catalog = context.tables.catalog();
    let mut members = context.tables.members.lock();
    let mut ownership = context.tables.ownership.lock();
    members.set_node_phase(phase);
    members.set_revision(catalog.revision());
    if ownership.has_stalled(now) {
        log::warn!("heartbeat: the process stalled; ownerships dropped");
    } else {
        for node in members.advance(now) {
            log::warn!(node = node.as_ref(); "heartbeat: member failed");
        }
    }
    let before = ownership.connectivity();
    let actions = ownership.reconcile(&mut members, &catalog, now);
    log_connectivity(before, ownership.connectivity());
    if !context.tables.pools.lock().is_synced_with(&ownership.owned(now)) {
        context.tables.changed.notify(usize::MAX);
    }
    actions
}

/// Merges the member records of another node's message.
pub fn merge_records(
    context: &sync::Arc<context::NodeContext>,
    header: &types::PeerHeader,
    records: Vec<types::MemberRecord>,
) {
    let now = time::Instant::now();
    let changed = {
        let mut members = context.tables.members.lock();
        let before = members.version();
        for record in records {
            members.merge(record, now);
        }
        members.record_message(header, now);
        members.version() != before
    };
    if changed {
        handover::run_actions(context, reconcile(context));
    }
}

/// Notifies peers that this node leaves, and hands its endpoints over.
pub async fn leave(context: &sync::Arc<context::NodeContext>) {
    context.tables.members.lock().leave();
    let actions = reconcile(context);
    let next_owners = actions.iter().filter_map(|action| match action {
        ownership_action::OwnershipAction::NotifyRelease { node, .. } => Some(node),
        _ => None,
    });
    let mut targets = leave_targets(context);
    targets.extend(next_owners.filter_map(|node| context.tables.members.lock().address_of(node)));
    targets.sort_unstable();
    targets.dedup();
    log::info!(peers = targets.len(); "heartbeat: leaving");
    future::join_all(targets.into_iter().map(|address| announce(context, address))).await;
    handover::run_actions(context, actions);
}

fn start_round(
    context: &sync::Arc<context::NodeContext>,
    seeds: &sync::Arc<SeedStatuses>,
    round: u64,
) {
    handover::run_actions(context, reconcile(context));
    for target in next_probes(context) {
        let task_context = context.clone();
        context.spawner.detach(async move { probe(&task_context, target).await });
    }
    for seed in next_seeds(context, seeds, round) {
        let task_context = context.clone();
        let seeds = seeds.clone();
        context.spawner.detach(async move { join_seed(&task_context, &seeds, seed).await });
    }
}

fn next_probes(context: &context::NodeContext) -> Vec<member::ProbeTarget> {
    let mut members = context.tables.members.lock();
    let isolated = {
        let ownership = context.tables.ownership.lock();
        matches!(ownership.connectivity(), connectivity::PeerConnectivity::Isolated(_))
    };
    let count = if isolated { PROBES_WHILE_ISOLATED } else { 1 };
    let mut random = rand::rng();
    (0..count).filter_map(|_| members.next_probe(&mut random)).collect()
}

/// Returns the seeds to contact in this round.
///
/// During startup these are all seeds that have not answered. Later it is one seed that is not a
/// live member, every [`SEED_PERIOD_HEARTBEATS`] rounds, so that two partitions that have forgotten
/// each other merge again; a node without live peers tries one in each round.
fn next_seeds(
    context: &context::NodeContext,
    statuses: &SeedStatuses,
    round: u64,
) -> Vec<net::SocketAddr> {
    let members = context.tables.members.lock();
    let startup_over = context.tables.ownership.lock().is_startup_over(time::Instant::now());
    if !startup_over {
        return statuses.unanswered(&context.settings);
    }
    let live: Vec<_> = members.live().map(|record| record.address).collect();
    if live.len() > 1 && !round.is_multiple_of(SEED_PERIOD_HEARTBEATS) {
        return Vec::new();
    }
    let seeds = context.settings.seeds.iter().filter(|seed| !live.contains(seed));
    seeds.copied().choose(&mut rand::rng()).into_iter().collect()
}

/// Status of each seed since this node started.
#[derive(Debug, Default)]
struct SeedStatuses {
    statuses: lock_rank::RankedLock<
        lock_rank::SeedRank,
        IndexMap<net::SocketAddr, connectivity::SeedStatus>,
    >,
}

impl SeedStatuses {
    fn unanswered(&self, settings: &settings::NodeSettings) -> Vec<net::SocketAddr> {
        let statuses = self.statuses.lock();
        let answered = |seed: &net::SocketAddr| {
            statuses.get(seed) == Some(&connectivity::SeedStatus::Answered)
        };
        let others = settings.seeds.iter().filter(|seed| **seed != settings.peer_address);
        others.filter(|seed| !answered(seed)).copied().collect()
    }

    /// Records the status of one seed and returns the combined status of all seeds.
    fn insert(
        &self,
        settings: &settings::NodeSettings,
        seed: net::SocketAddr,
        status: connectivity::SeedStatus,
    ) -> connectivity::SeedStatus {
        self.statuses.lock().insert(seed, status);
        if self.unanswered(settings).is_empty() {
            return connectivity::SeedStatus::Answered;
        }
        let statuses = self.statuses.lock();
        let silent = |seed: &net::SocketAddr| {
            let status = statuses.get(seed).copied().unwrap_or_default();
            *seed != settings.peer_address && status == connectivity::SeedStatus::Silent
        };
        if settings.seeds.iter().any(silent) {
            return connectivity::SeedStatus::Silent;
        }
        connectivity::SeedStatus::Refused
    }
}

async fn join_seed(
    context: &sync::Arc<context::NodeContext>,
    statuses: &SeedStatuses,
    seed: net::SocketAddr,
) {
    let sent = time::Instant::now();
    let mut message = heartbeat(context, None);
    message.members.push(local_record(context));
    message.full_sync = true;
    let deadline = sent + context.settings.suspect_timeout;
    let status = match send(context, seed, &message, deadline).await {
        Ok(reply) => {
            apply_reply(context, reply, sent);
            connectivity::SeedStatus::Answered
        }
        Err(failure) if is_refusal(&failure, deadline) => connectivity::SeedStatus::Refused,
        Err(failure) => {
            log::debug!("heartbeat: seed did not answer. error={failure}");
            connectivity::SeedStatus::Silent
        }
    };
    let combined = statuses.insert(&context.settings, seed, status);
    context.tables.ownership.lock().set_seed_status(combined);
    handover::run_actions(context, reconcile(context));
}

/// Probes a member directly, then through other members, and suspects it if no probe succeeds.
async fn probe(context: &sync::Arc<context::NodeContext>, target: member::ProbeTarget) {
    let sent = time::Instant::now();
    if probe_directly(context, &target).await {
        return;
    }
    let relays = {
        let members = context.tables.members.lock();
        members.random_peers(&target.instance.node, INDIRECT_PROBES, &mut rand::rng())
    };
    let deadline = sent + context.settings.suspect_timeout;
    let probes = relays.iter().map(|relay| probe_through(context, relay, &target, deadline));
    let reached = future::join_all(probes).await.into_iter().any(|reached| reached);
    if reached {
        return;
    }
    let now = time::Instant::now();
    if context.tables.members.lock().suspect(&target.instance, now) {
        log::warn!(node = target.instance.node.as_ref(); "heartbeat: member suspected");
    }
}

async fn probe_directly(
    context: &sync::Arc<context::NodeContext>,
    target: &member::ProbeTarget,
) -> bool {
    let sent = time::Instant::now();
    let mut message = heartbeat(context, None);
    message.members.extend(context.tables.members.lock().suspicion_of(&target.instance.node));
    let deadline = sent + context.settings.suspect_timeout / DIRECT_PROBE_DIVISOR;
    match send(context, target.address, &message, deadline).await {
        Ok(reply) => {
            let same_instance = reply.header.start_id == target.instance.start_id;
            apply_reply(context, reply, sent);
            same_instance
        }
        Err(failure) => {
            if is_refusal(&failure, deadline) {
                context.tables.members.lock().record_connection_refused(&target.instance);
            }
            false
        }
    }
}

async fn probe_through(
    context: &sync::Arc<context::NodeContext>,
    relay: &member::ProbeTarget,
    target: &member::ProbeTarget,
    deadline: time::Instant,
) -> bool {
    let sent = time::Instant::now();
    let message = heartbeat(context, Some(target.instance.node.clone()));
    let Ok(reply) = send(context, relay.address, &message, deadline).await else { return false };
    let reached = reply.indirect_probe_reached;
    apply_reply(context, reply, sent);
    reached
}

/// Probes `node` on behalf of another node and returns whether it answered.
async fn probe_for_peer(context: &sync::Arc<context::NodeContext>, node: &ids::NodeId) -> bool {
    let target = {
        let members = context.tables.members.lock();
        members.entry(node).map(|entry| member::ProbeTarget::new(entry.record()))
    };
    let Some(target) = target else { return false };
    probe_directly(context, &target).await
}

/// Sends the record of this node to one peer.
async fn announce(context: &context::NodeContext, address: net::SocketAddr) {
    let mut message = heartbeat(context, None);
    message.members.push(local_record(context));
    let deadline = time::Instant::now() + context.settings.suspect_timeout / DIRECT_PROBE_DIVISOR;
    if let Err(failure) = send(context, address, &message, deadline).await {
        log::debug!("heartbeat: cannot announce to peer. error={failure}");
    }
}

async fn send(
    context: &context::NodeContext,
    address: net::SocketAddr,
    message: &types::Heartbeat,
    deadline: time::Instant,
) -> Result<types::HeartbeatReply, failure::CallFailure> {
    let connection = http_client::ConnectionUse::Fresh;
    peer::exchange(context, address, HEARTBEAT_PATH, message, connection, deadline).await
}

/// Applies the reply to a message sent at `sent`.
fn apply_reply(
    context: &sync::Arc<context::NodeContext>,
    reply: types::HeartbeatReply,
    sent: time::Instant,
) {
    let suspected = context.tables.members.lock().is_suspected_by(&reply.members);
    let now = time::Instant::now();
    if suspected {
        context.tables.ownership.lock().record_suspicion(now);
    } else {
        context.tables.ownership.lock().renew_lease(sent, now);
    }
    record_piggyback(context, &reply.header, &reply.hints, &reply.crash_suspects);
    merge_records(context, &reply.header, reply.members);
}

/// Records the load hints and crash suspects that came with a message.
fn record_piggyback(
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

/// Returns the load of a random sample of this node's pools.
fn sample_hints(context: &context::NodeContext) -> Vec<types::PoolHint> {
    let mut hints = context.tables.pools.lock().hints();
    hints.retain(|hint| hint.limit > 0);
    hints.choose_multiple(&mut rand::rng(), HINTS_PER_MESSAGE).cloned().collect()
}

fn latest_suspects(context: &context::NodeContext) -> Vec<types::CrashSuspect> {
    context.tables.suspects.lock().latest(SUSPECTS_PER_MESSAGE, time::Instant::now())
}

fn heartbeat(
    context: &context::NodeContext,
    indirect_probe_target: Option<ids::NodeId>,
) -> types::Heartbeat {
    let header = context.peer_header();
    let hints = sample_hints(context);
    let crash_suspects = latest_suspects(context);
    let mut members = context.tables.members.lock();
    types::Heartbeat {
        header,
        hints,
        members: members.gossip_records(RECORDS_PER_MESSAGE, &mut rand::rng()),
        crash_suspects,
        indirect_probe_target,
        full_sync: false,
    }
}

fn reply_records(
    context: &context::NodeContext,
    sender: &types::PeerHeader,
    full_sync: bool,
) -> Vec<types::MemberRecord> {
    let mut members = context.tables.members.lock();
    let suspicion = members.suspicion_of_sender(sender);
    let mut records = if full_sync {
        members.snapshot()
    } else {
        members.gossip_records(RECORDS_PER_MESSAGE, &mut rand::rng())
    };
    records.extend(suspicion);
    records
}

/// Returns the record of this node for a message.
pub fn local_record(context: &context::NodeContext) -> types::MemberRecord {
    context.tables.members.lock().local().clone()
}

fn leave_targets(context: &context::NodeContext) -> Vec<net::SocketAddr> {
    let members = context.tables.members.lock();
    let node = &context.settings.node;
    let targets = members.random_peers(node, LEAVE_NOTICES, &mut rand::rng());
    targets.into_iter().map(|target| target.address).collect()
}

/// Whether the address refused the connection, so no process is listening there.
fn is_refusal(failure: &failure::CallFailure, deadline: time::Instant) -> bool {
    let not_run = failure.verdict() == types::CallVerdict::NotRun;
    not_run
        && failure.problem() == types::ProblemKind::Unavailable
        && time::Instant::now() < deadline
}

fn log_connectivity(before: connectivity::PeerConnectivity, after: connectivity::PeerConnectivity) {
    use connectivity::PeerConnectivity::{Alone, Connected, Isolated};
    match (before, after) {
        (Alone | Connected(_), Isolated(_)) => {
            log::warn!("heartbeat: no peer responds; ownerships dropped");
        }
        (Isolated(_), Connected(_)) => log::info!("heartbeat: peers respond again"),
        (Isolated(_) | Connected(_), Alone) => log::warn!("heartbeat: no peers left"),
        _ => {}
    }
}
