//! Probes of members, direct and through other members.

use crate::{
    membership::{heartbeat_message, peer},
    runtime::context,
    transport::{failure, http_client},
};
use comfreyspread_policy::{member, prober_health};
use comfreyspread_schema::{ids, types};
use futures_util::future;
use std::{net, sync, time};

/// Path of a heartbeat, answered by a [`types::HeartbeatReply`].
pub const HEARTBEAT_PATH: &str = "/peer/heartbeat";

/// Members that probe an unresponsive member on behalf of this node.
const INDIRECT_PROBES: usize = 3;
/// Share of the suspicion timeout for the direct probe, as a divisor; indirect probes have the
/// rest.
const DIRECT_PROBE_DIVISOR: u32 = 3;

/// Result of a direct probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DirectProbe {
    Answered,
    /// It answered, and one of the two suspected the other.
    Disputed,
    Refused,
    Silent,
}

/// Exchanges one message with a node that suspects this one or is suspected by it, so that each
/// refutes the suspicion.
pub async fn settle_dispute(context: &sync::Arc<context::NodeContext>, node: &ids::NodeId) {
    probe_for_peer(context, node).await;
}

/// Probes a member directly, then through other members, and records how the probe ended.
pub async fn probe(context: &sync::Arc<context::NodeContext>, target: member::ProbeTarget) {
    let sent = time::Instant::now();
    let factor = context.tables.members.lock().probe_timeout_factor();
    let timeout = context.settings.suspect_timeout * factor;
    let direct = probe_directly(context, &target, timeout / DIRECT_PROBE_DIVISOR).await;
    let outcome = match direct {
        DirectProbe::Disputed => {
            settle_dispute(context, &target.instance.node).await;
            prober_health::ProbeOutcome::Answered
        }
        DirectProbe::Answered => prober_health::ProbeOutcome::Answered,
        DirectProbe::Refused | DirectProbe::Silent => {
            let indirect = probe_indirectly(context, &target, sent + timeout).await;
            let refused = direct == DirectProbe::Refused;
            match indirect {
                prober_health::ProbeOutcome::Silence if refused => {
                    prober_health::ProbeOutcome::Unreachable
                }
                indirect => indirect,
            }
        }
    };
    let now = time::Instant::now();
    if context.tables.members.lock().record_probe(&target.instance, outcome, now) {
        log::warn!(node = target.instance.node.as_ref(), outcome:? = outcome;
            "heartbeat: member suspected");
    }
}

/// Probes a member through other members; without others to ask, the member itself is at fault.
async fn probe_indirectly(
    context: &sync::Arc<context::NodeContext>,
    target: &member::ProbeTarget,
    deadline: time::Instant,
) -> prober_health::ProbeOutcome {
    let relays = {
        let members = context.tables.members.lock();
        members.random_peers(&target.instance.node, INDIRECT_PROBES, &mut rand::rng())
    };
    if relays.is_empty() {
        return prober_health::ProbeOutcome::Unreachable;
    }
    let probes = relays.iter().map(|relay| probe_through(context, relay, target, deadline));
    let replies: Vec<bool> = future::join_all(probes).await.into_iter().flatten().collect();
    if replies.contains(&true) {
        return prober_health::ProbeOutcome::ReachedIndirectly;
    }
    if replies.is_empty() {
        return prober_health::ProbeOutcome::Silence;
    }
    prober_health::ProbeOutcome::Unreachable
}

async fn probe_directly(
    context: &sync::Arc<context::NodeContext>,
    target: &member::ProbeTarget,
    timeout: time::Duration,
) -> DirectProbe {
    let sent = time::Instant::now();
    let mut message = heartbeat_message::heartbeat(context, None);
    {
        let members = context.tables.members.lock();
        message.members.extend(members.suspicion_of(&target.instance.node));
        message.digest = members.digest().into_buckets();
    }
    let deadline = sent + timeout;
    match send(context, target.address, &message, deadline).await {
        Ok(reply) => {
            let same_instance = reply.header.start_id == target.instance.start_id;
            let disputed = heartbeat_message::apply_reply(context, reply, sent);
            match (same_instance, disputed) {
                (false, _) => DirectProbe::Refused,
                (true, true) => DirectProbe::Disputed,
                (true, false) => DirectProbe::Answered,
            }
        }
        Err(failure) if is_refusal(&failure, deadline) => {
            context.tables.members.lock().record_connection_refused(&target.instance);
            DirectProbe::Refused
        }
        Err(failure) => {
            log::debug!("heartbeat: member did not answer. error={failure}");
            DirectProbe::Silent
        }
    }
}

/// Probes a member through `relay`; returns whether the relay reached it, or nothing if the relay
/// did not reply.
async fn probe_through(
    context: &sync::Arc<context::NodeContext>,
    relay: &member::ProbeTarget,
    target: &member::ProbeTarget,
    deadline: time::Instant,
) -> Option<bool> {
    let sent = time::Instant::now();
    let message = heartbeat_message::heartbeat(context, Some(target.instance.node.clone()));
    let reply = match send(context, relay.address, &message, deadline).await {
        Ok(reply) => reply,
        Err(failure) => {
            log::debug!("heartbeat: relay did not answer. error={failure}");
            return None;
        }
    };
    let reached = reply.indirect_probe_reached;
    heartbeat_message::apply_reply(context, reply, sent);
    Some(reached)
}

/// Probes `node` on behalf of another node and returns whether it answered.
pub async fn probe_for_peer(context: &sync::Arc<context::NodeContext>, node: &ids::NodeId) -> bool {
    let target = {
        let members = context.tables.members.lock();
        members.entry(node).map(|entry| member::ProbeTarget::new(entry.record()))
    };
    let Some(target) = target else { return false };
    let timeout = context.settings.suspect_timeout / DIRECT_PROBE_DIVISOR;
    let probe = probe_directly(context, &target, timeout).await;
    matches!(probe, DirectProbe::Answered | DirectProbe::Disputed)
}

/// Sends the record of this node to one peer.
pub async fn announce(context: &context::NodeContext, address: net::SocketAddr) {
    let message = heartbeat_message::heartbeat(context, None);
    let deadline = time::Instant::now() + context.settings.suspect_timeout / DIRECT_PROBE_DIVISOR;
    if let Err(failure) = send(context, address, &message, deadline).await {
        log::debug!("heartbeat: cannot announce to peer. error={failure}");
    }
}

/// Sends a heartbeat and returns the reply.
///
/// # Errors
///
/// Fails if the node at `address` does not answer by `deadline`.
pub async fn send(
    context: &context::NodeContext,
    address: net::SocketAddr,
    message: &types::Heartbeat,
    deadline: time::Instant,
) -> Result<types::HeartbeatReply, failure::CallFailure> {
    let connection = http_client::ConnectionUse::Fresh;
    peer::exchange(context, address, HEARTBEAT_PATH, message, connection, deadline).await
}

/// Whether the address refused the connection, so no process is listening there.
pub fn is_refusal(failure: &failure::CallFailure, deadline: time::Instant) -> bool {
    let not_run = failure.verdict() == types::CallVerdict::NotRun;
    not_run
        && failure.problem() == types::ProblemKind::Unavailable
        && time::Instant::now() < deadline
}
