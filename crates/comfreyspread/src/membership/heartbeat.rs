//! Heartbeats: finds out which nodes run and keeps this node's ownerships in line with them.
//!
//! Once per heartbeat the node probes one member, by turns of its own zone and of the others. A
//! member that does not answer is probed through others before it is suspected. Each message
//! carries a bounded number of recent changes, so its size does not grow with the deployment. What
//! an answered probe or a changed view means is decided by the tables of the policy crate.

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

/// Recent changes carried by one message; one sampled record comes on top.
const RECORDS_PER_MESSAGE: usize = 4;
/// Pools whose load is carried by one message.
const HINTS_PER_MESSAGE: usize = 4;
/// Suspicions carried by one message.
const SUSPECTS_PER_MESSAGE: usize = 4;
/// Members asked to probe another that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Members probed at once while no peer answers.
const PROBES_WHILE_ISOLATED: usize = 4;
/// Heartbeats between attempts to reach a seed that is not a known member.
const SEED_PERIOD_HEARTBEATS: u64 = 20;
/// Nodes told directly that this node leaves.
const LEAVE_MESSAGES: usize = 8;
/// A direct probe may take this part of the suspicion time; the indirect ones take the rest.
const DIRECT_DIVISOR: u32 = 3;

/// Lapses after which a member that failed or left is forgotten.
const FORGET_LAPSES: u32 = 20;

/// Returns the member table of a node that knows only itself.
pub fn new_members(
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
    let retention = settings.failure_timeout * FORGET_LAPSES;
    let times = membership::MemberTimeouts { failure: settings.failure_timeout, retention };
    membership::MemberTable::new(record, times)
}

/// Sends heartbeats until the process ends.
pub async fn run(context: sync::Arc<context::NodeContext>) {
    let mut beat = 0;
    let joined = sync::Arc::new(SeedAnswers::default());
    loop {
        start_beat(&context, &joined, beat);
        beat += 1;
        async_io::Timer::after(context.settings.heartbeat_interval).await;
    }
}

/// Answers the heartbeat of another node.
pub async fn answer(
    context: &sync::Arc<context::NodeContext>,
    message: types::Heartbeat,
) -> types::HeartbeatReply {
    note_piggyback(context, &message.header, &message.hints, &message.crash_suspects);
    merge(context, &message.header, message.members);
    let indirect_probe_reached = match &message.indirect_probe_target {
        Some(node) => reach(context, node).await,
        None => false,
    };
    let members = reply_records(context, &message.header, message.full_sync);
    let hints = some_hints(context);
    let crash_suspects = latest_suspects(context);
    types::HeartbeatReply {
        hints,
        members,
        indirect_probe_reached,
        crash_suspects,
        ..acknowledge(context)
    }
}

/// Returns a reply that carries no records.
pub fn acknowledge(context: &context::NodeContext) -> types::HeartbeatReply {
    types::HeartbeatReply {
        header: context.peer_header(),
        hints: Vec::new(),
        members: Vec::new(),
        indirect_probe_reached: false,
        crash_suspects: Vec::new(),
    }
}

/// Brings members and ownerships up to date and returns what has to be done.
pub fn observe(context: &context::NodeContext) -> Vec<ownership_action::OwnershipAction> {
    let now = time::Instant::now();
    let phase = context.tables.phase();
    let catalog = context.tables.catalog();
    let mut members = context.tables.members.lock();
    let mut ownership = context.tables.ownership.lock();
    members.set_node_phase(phase);
    members.set_revision(catalog.revision());
    if ownership.has_stalled(now) {
        log::warn!("heartbeat: the process stood still, ownerships dropped");
    } else {
        for node in members.advance(now) {
            log::warn!(node = node.as_ref(); "heartbeat: member failed");
        }
    }
    let before = ownership.connectivity();
    let actions = ownership.reconcile(&mut members, &catalog, now);
    log_contact(before, ownership.connectivity());
    if !context.tables.pools.lock().follows(&ownership.owned(now)) {
        context.tables.changed.notify(usize::MAX);
    }
    actions
}

/// Takes in records that came with a message of another node.
pub fn merge(
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
        handover::carry_out(context, observe(context));
    }
}

/// Tells peers that this node leaves, and hands its endpoints over.
pub async fn leave(context: &sync::Arc<context::NodeContext>) {
    context.tables.members.lock().leave();
    let actions = observe(context);
    let next = actions.iter().filter_map(|action| match action {
        ownership_action::OwnershipAction::NotifyRelease { node, .. } => Some(node),
        _ => None,
    });
    let mut targets = leave_targets(context);
    targets.extend(next.filter_map(|node| context.tables.members.lock().address_of(node)));
    targets.sort_unstable();
    targets.dedup();
    log::info!(peers = targets.len(); "heartbeat: leaving");
    future::join_all(targets.into_iter().map(|address| tell(context, address))).await;
    handover::carry_out(context, actions);
}

fn start_beat(
    context: &sync::Arc<context::NodeContext>,
    joined: &sync::Arc<SeedAnswers>,
    beat: u64,
) {
    handover::carry_out(context, observe(context));
    for target in next_probes(context) {
        let task_context = context.clone();
        context.spawner.detach(async move { probe(&task_context, target).await });
    }
    for seed in next_seeds(context, joined, beat) {
        let task_context = context.clone();
        let joined = joined.clone();
        context.spawner.detach(async move { join(&task_context, &joined, seed).await });
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

/// Returns the seeds to be reached: until this node is settled those that have not answered yet,
/// then now and then one that is not a known member, so that two halves that forgot each other
/// meet again.
fn next_seeds(
    context: &context::NodeContext,
    joined: &SeedAnswers,
    beat: u64,
) -> Vec<net::SocketAddr> {
    let members = context.tables.members.lock();
    let settled = context.tables.ownership.lock().is_startup_over(time::Instant::now());
    if !settled {
        return joined.missing(&context.settings);
    }
    let live: Vec<_> = members.live().map(|record| record.address).collect();
    if live.len() > 1 && !beat.is_multiple_of(SEED_PERIOD_HEARTBEATS) {
        return Vec::new();
    }
    let seeds = context.settings.seeds.iter().filter(|seed| !live.contains(seed));
    seeds.copied().choose(&mut rand::rng()).into_iter().collect()
}

/// What the seeds answered to this node's start.
#[derive(Debug, Default)]
struct SeedAnswers {
    answers: lock_rank::RankedLock<
        lock_rank::SeedRank,
        IndexMap<net::SocketAddr, connectivity::SeedStatus>,
    >,
}

impl SeedAnswers {
    fn missing(&self, settings: &settings::NodeSettings) -> Vec<net::SocketAddr> {
        let answers = self.answers.lock();
        let answered =
            |seed: &net::SocketAddr| answers.get(seed) == Some(&connectivity::SeedStatus::Answered);
        let others = settings.seeds.iter().filter(|seed| **seed != settings.peer_address);
        others.filter(|seed| !answered(seed)).copied().collect()
    }

    /// Takes in what one seed answered and returns what all of them have.
    fn insert(
        &self,
        settings: &settings::NodeSettings,
        seed: net::SocketAddr,
        answer: connectivity::SeedStatus,
    ) -> connectivity::SeedStatus {
        self.answers.lock().insert(seed, answer);
        if self.missing(settings).is_empty() {
            return connectivity::SeedStatus::Answered;
        }
        let answers = self.answers.lock();
        let silent = |seed: &net::SocketAddr| {
            let answer = answers.get(seed).copied().unwrap_or_default();
            *seed != settings.peer_address && answer == connectivity::SeedStatus::Silent
        };
        if settings.seeds.iter().any(silent) {
            return connectivity::SeedStatus::Silent;
        }
        connectivity::SeedStatus::Refused
    }
}

async fn join(
    context: &sync::Arc<context::NodeContext>,
    joined: &SeedAnswers,
    seed: net::SocketAddr,
) {
    let sent = time::Instant::now();
    let mut message = heartbeat(context, None);
    message.members.push(local_record(context));
    message.full_sync = true;
    let deadline = sent + context.settings.suspect_timeout;
    let answer = match send(context, seed, &message, deadline).await {
        Ok(reply) => {
            absorb(context, reply, sent);
            connectivity::SeedStatus::Answered
        }
        Err(failure) if is_refusal(&failure, deadline) => connectivity::SeedStatus::Refused,
        Err(failure) => {
            log::debug!("heartbeat: seed did not answer. error={failure}");
            connectivity::SeedStatus::Silent
        }
    };
    let seeds = joined.insert(&context.settings, seed, answer);
    context.tables.ownership.lock().set_seed_status(seeds);
    handover::carry_out(context, observe(context));
}

/// Probes a member directly, then through others; suspects it if nobody reached it.
async fn probe(context: &sync::Arc<context::NodeContext>, target: member::ProbeTarget) {
    let sent = time::Instant::now();
    if probe_directly(context, &target).await {
        return;
    }
    let helpers = {
        let members = context.tables.members.lock();
        members.random_peers(&target.instance.node, INDIRECT_PROBES, &mut rand::rng())
    };
    let deadline = sent + context.settings.suspect_timeout;
    let asked = helpers.iter().map(|helper| ask_helper(context, helper, &target, deadline));
    let reached = future::join_all(asked).await.into_iter().any(|reached| reached);
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
    let deadline = sent + context.settings.suspect_timeout / DIRECT_DIVISOR;
    match send(context, target.address, &message, deadline).await {
        Ok(reply) => {
            let same = reply.header.start_id == target.instance.start_id;
            absorb(context, reply, sent);
            same
        }
        Err(failure) => {
            if is_refusal(&failure, deadline) {
                context.tables.members.lock().record_connection_refused(&target.instance);
            }
            false
        }
    }
}

async fn ask_helper(
    context: &sync::Arc<context::NodeContext>,
    helper: &member::ProbeTarget,
    target: &member::ProbeTarget,
    deadline: time::Instant,
) -> bool {
    let sent = time::Instant::now();
    let message = heartbeat(context, Some(target.instance.node.clone()));
    let Ok(reply) = send(context, helper.address, &message, deadline).await else { return false };
    let reached = reply.indirect_probe_reached;
    absorb(context, reply, sent);
    reached
}

/// Whether this node reaches `node` for another one.
async fn reach(context: &sync::Arc<context::NodeContext>, node: &ids::NodeId) -> bool {
    let target = {
        let members = context.tables.members.lock();
        members.entry(node).map(|entry| member::ProbeTarget::new(entry.record()))
    };
    let Some(target) = target else { return false };
    probe_directly(context, &target).await
}

/// Tells one node of this node's record.
async fn tell(context: &context::NodeContext, address: net::SocketAddr) {
    let mut message = heartbeat(context, None);
    message.members.push(local_record(context));
    let deadline = time::Instant::now() + context.settings.suspect_timeout / DIRECT_DIVISOR;
    if let Err(failure) = send(context, address, &message, deadline).await {
        log::debug!("heartbeat: peer not told. error={failure}");
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

/// Takes in the reply to a message sent at `sent`.
fn absorb(
    context: &sync::Arc<context::NodeContext>,
    reply: types::HeartbeatReply,
    sent: time::Instant,
) {
    let doubted = context.tables.members.lock().is_suspected_by(&reply.members);
    let now = time::Instant::now();
    if doubted {
        context.tables.ownership.lock().record_suspicion(now);
    } else {
        context.tables.ownership.lock().renew_lease(sent, now);
    }
    note_piggyback(context, &reply.header, &reply.hints, &reply.crash_suspects);
    merge(context, &reply.header, reply.members);
}

/// Takes in the load and the suspicions that came with a message.
fn note_piggyback(
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

/// Returns the load of a few of this node's pools, drawn by chance.
fn some_hints(context: &context::NodeContext) -> Vec<types::PoolHint> {
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
    let hints = some_hints(context);
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
    whole: bool,
) -> Vec<types::MemberRecord> {
    let mut members = context.tables.members.lock();
    let doubt = members.suspicion_of_sender(sender);
    let mut records = if whole {
        members.snapshot()
    } else {
        members.gossip_records(RECORDS_PER_MESSAGE, &mut rand::rng())
    };
    records.extend(doubt);
    records
}

/// Returns the record of this node for a message.
pub fn local_record(context: &context::NodeContext) -> types::MemberRecord {
    context.tables.members.lock().local().clone()
}

fn leave_targets(context: &context::NodeContext) -> Vec<net::SocketAddr> {
    let members = context.tables.members.lock();
    let node = &context.settings.node;
    let targets = members.random_peers(node, LEAVE_MESSAGES, &mut rand::rng());
    targets.into_iter().map(|target| target.address).collect()
}

/// Whether the address actively refused the connection, so that no process listens there.
fn is_refusal(failure: &failure::CallFailure, deadline: time::Instant) -> bool {
    let not_run = failure.verdict() == types::CallVerdict::NotRun;
    not_run
        && failure.problem() == types::ProblemKind::Unavailable
        && time::Instant::now() < deadline
}

fn log_contact(before: connectivity::PeerConnectivity, after: connectivity::PeerConnectivity) {
    use connectivity::PeerConnectivity::{Alone, Connected, Isolated};
    match (before, after) {
        (Alone | Connected(_), Isolated(_)) => {
            log::warn!("heartbeat: no peer answers, ownerships dropped");
        }
        (Isolated(_), Connected(_)) => log::info!("heartbeat: peers answer again"),
        (Isolated(_) | Connected(_), Alone) => log::warn!("heartbeat: no peer is left"),
        _ => {}
    }
}
