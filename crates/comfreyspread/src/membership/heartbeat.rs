//! Failure detection and gossip between nodes.
//!
//! Once per heartbeat period the node probes one member, alternating between its own zone and the
//! others; more while its table differs from theirs. Each message carries a bounded number of
//! changes, so its size does not grow with the deployment. The tables of the policy crate decide
//! what follows from a reply or a membership change.

use crate::{
    membership::{handover, heartbeat_message, probe, seed_contact},
    runtime::{context, settings},
};
use comfreyspread_policy::{connectivity, member, membership, ownership_action};
use comfreyspread_schema::{ids, types};
use futures_util::future;
use std::{net, sync, time};

/// Members probed per heartbeat period while no peer answers.
const PROBES_WHILE_ISOLATED: usize = 4;
/// Members notified directly that this node leaves.
const LEAVE_NOTICES: usize = 8;
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
    let seeds = sync::Arc::new(seed_contact::SeedStatuses::default());
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
    heartbeat_message::record_piggyback(
        context,
        &message.header,
        &message.hints,
        &message.crash_suspects,
    );
    heartbeat_message::merge_parts(context, &message.part_suspects);
    merge_records(context, &message.header, message.members.clone());
    let indirect_probe_reached = match &message.indirect_probe_target {
        Some(node) => probe::probe_for_peer(context, node).await,
        None => false,
    };
    heartbeat_message::reply(context, &message, indirect_probe_reached)
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
    change_members(context, |members, now| {
        for record in records {
            members.merge(record, now);
        }
        members.record_message(header, now);
    });
}

/// Merges the records in which a peer's member table differs from this node's.
pub fn merge_repairs(context: &sync::Arc<context::NodeContext>, records: Vec<types::MemberRecord>) {
    change_members(context, |members, now| {
        members.merge_repairs(records, now);
    });
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
    future::join_all(targets.into_iter().map(|address| probe::announce(context, address))).await;
    handover::run_actions(context, actions);
}

fn start_round(
    context: &sync::Arc<context::NodeContext>,
    seeds: &sync::Arc<seed_contact::SeedStatuses>,
    round: u64,
) {
    handover::run_actions(context, reconcile(context));
    for target in next_probes(context) {
        let task_context = context.clone();
        context.spawner.detach(async move { probe::probe(&task_context, target).await });
    }
    for seed in seed_contact::next_seeds(context, seeds, round) {
        let task_context = context.clone();
        let seeds = seeds.clone();
        context
            .spawner
            .detach(async move { seed_contact::join_seed(&task_context, &seeds, seed).await });
    }
}

fn next_probes(context: &context::NodeContext) -> Vec<member::ProbeTarget> {
    let mut members = context.tables.members.lock();
    let isolated = {
        let ownership = context.tables.ownership.lock();
        matches!(ownership.connectivity(), connectivity::PeerConnectivity::Isolated(_))
    };
    let due = members.probe_count(time::Instant::now());
    let count = if isolated { PROBES_WHILE_ISOLATED } else { due };
    let mut random = rand::rng();
    (0..count).filter_map(|_| members.next_probe(&mut random)).collect()
}

/// Changes the member table, and carries out what follows if ownership depends on the change.
fn change_members<Change>(context: &sync::Arc<context::NodeContext>, change: Change)
where
    Change: FnOnce(&mut membership::MemberTable, time::Instant),
{
    let now = time::Instant::now();
    let changed = {
        let mut members = context.tables.members.lock();
        let before = members.version();
        change(&mut members, now);
        members.version() != before
    };
    if changed {
        handover::run_actions(context, reconcile(context));
    }
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
