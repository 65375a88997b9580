//! Handover of endpoints between nodes: questions, notices and fencing tokens.
//!
//! A node that is to own endpoints asks those that may own them, and reads the highest fencing
//! number from the endpoint where no former owner told it. A node that released endpoints tells
//! their next owner, with the calls that still run, until the last of them has ended.

use crate::{
    membership::{heartbeat, peer},
    ownership::pool_changes,
    runtime::{context, settings},
    transport::{failure, http_client, http_message},
};
use comfreyspread_policy::{connectivity, member, ownership, ownership_action};
use comfreyspread_schema::{ids, types};
use http::Method;
use std::{net, sync, time};

/// Path of a question for endpoints, answered by a [`types::ReleaseNotice`].
pub const QUESTION_PATH: &str = "/peer/release-request";
/// Path of a notice, answered by a [`types::HeartbeatReply`].
pub const NOTICE_PATH: &str = "/peer/release-notice";

const STATUS_PATH: &str = "/v1/status";
const OK_STATUS: u16 = 200;

/// Returns the ownerships of a node that starts and owns nothing.
pub fn new_ownerships(
    settings: &settings::NodeSettings,
    start_id: ids::ProcessStartId,
    now: time::Instant,
) -> ownership::OwnershipTable {
    let instance = member::MemberInstance { node: settings.node.clone(), start_id };
    let times = connectivity::OwnershipTimeouts::new(settings.failure_timeout);
    let millis = u64::try_from(jiff::Timestamp::now().as_millisecond()).unwrap_or(0);
    let table = ownership::OwnershipTable::new(instance, times, now).with_start_time(millis);
    let own_seeds = settings.seeds.iter().all(|seed| *seed == settings.peer_address);
    if own_seeds { table.with_no_seeds() } else { table }
}

/// Starts what the ownerships ask for.
pub fn carry_out(
    context: &sync::Arc<context::NodeContext>,
    actions: Vec<ownership_action::OwnershipAction>,
) {
    for action in actions {
        let task = context.clone();
        match action {
            ownership_action::OwnershipAction::RequestRelease { member, endpoints } => {
                context.spawner.detach(async move { ask(&task, &member, endpoints).await });
            }
            ownership_action::OwnershipAction::ReadFence { endpoint } => {
                context.spawner.detach(async move { read_fence(&task, &endpoint).await });
            }
            ownership_action::OwnershipAction::NotifyRelease { node, endpoint } => {
                log::info!(endpoint = endpoint.as_ref(), next = node.as_ref();
                    "handover: released");
                context.spawner.detach(async move { notify(&task, &node, &endpoint).await });
            }
        }
    }
}

/// Answers a node that waits for endpoints.
pub fn answer(
    context: &sync::Arc<context::NodeContext>,
    message: types::ReleaseRequest,
) -> types::ReleaseNotice {
    let asker = member::MemberInstance::from_header(&message.header);
    heartbeat::merge(context, &message.header, vec![message.member]);
    let mut releases = {
        let members = context.tables.members.lock();
        let mut ownership = context.tables.ownership.lock();
        ownership.answer_requests(&members, &asker, &message.endpoints)
    };
    for release in &mut releases {
        add_load(context, release);
    }
    notice(context, releases)
}

/// Takes in a notice that was not asked for, and acknowledges it.
pub fn accept_notice(
    context: &sync::Arc<context::NodeContext>,
    message: types::ReleaseNotice,
) -> types::HeartbeatReply {
    accept(context, message);
    heartbeat::acknowledge(context)
}

/// Takes in the notice of a node that released endpoints.
pub fn accept(context: &sync::Arc<context::NodeContext>, message: types::ReleaseNotice) {
    let from = member::MemberInstance::from_header(&message.header);
    heartbeat::merge(context, &message.header, message.members);
    let now = time::Instant::now();
    context.tables.ownership.lock().accept_releases(&from, &message.releases, now);
    proceed(context);
    if message.releases.iter().any(|release| release.running > 0) {
        context.tables.changed.notify(usize::MAX);
    }
}

/// Brings the ownerships up to date after an answer.
fn proceed(context: &sync::Arc<context::NodeContext>) {
    carry_out(context, heartbeat::observe(context));
}

async fn ask(
    context: &sync::Arc<context::NodeContext>,
    member: &member::MemberInstance,
    endpoints: Vec<ids::EndpointId>,
) {
    let Some(address) = address_of(context, member) else { return };
    let message = types::ReleaseRequest {
        endpoints,
        header: context.peer_header(),
        member: heartbeat::local_record(context),
    };
    let deadline = context.deadline(context.settings.suspect_timeout);
    let connection = http_client::ConnectionUse::Fresh;
    let reply = peer::exchange(context, address, QUESTION_PATH, &message, connection, deadline);
    match reply.await {
        Ok(reply) => accept(context, reply),
        Err(failure) => log::debug!("handover: question not answered. error={failure}"),
    }
}

async fn read_fence(context: &sync::Arc<context::NodeContext>, endpoint: &ids::EndpointId) {
    let Some(address) = context.tables.catalog().endpoint(endpoint).map(|entry| entry.address)
    else {
        return;
    };
    match read_report(context, address).await {
        Ok((fence, running)) => {
            let now = time::Instant::now();
            context.tables.ownership.lock().record_endpoint_fence(endpoint, fence, running, now);
            proceed(context);
        }
        Err(failure) => log::debug!("handover: endpoint not read. error={failure}"),
    }
}

/// Reads the fencing token and the running calls that an endpoint reports; an endpoint that
/// answers without a report checks no number.
async fn read_report(
    context: &context::NodeContext,
    address: net::SocketAddr,
) -> Result<(ids::FencingToken, u32), failure::CallFailure> {
    let url = format!("http://{address}{STATUS_PATH}");
    let request = http_message::Request::new(Method::GET, url.as_str());
    let deadline = context.deadline(context.settings.suspect_timeout);
    let connection = http_client::ConnectionUse::Fresh;
    let answer = context.client.call(address, request, connection, deadline).await?;
    if answer.status() != OK_STATUS {
        return Ok((0, 0));
    }
    let report: types::EndpointReport = serde_json::from_slice(answer.body()).map_err(|error| {
        let detail = format!("the report of {address} is not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
    })?;
    Ok((report.highest_fencing_token, report.running))
}

/// Tells the next owner of an endpoint that this node released it, until no call runs any more.
async fn notify(
    context: &sync::Arc<context::NodeContext>,
    node: &ids::NodeId,
    endpoint: &ids::EndpointId,
) {
    loop {
        let running = send_notice(context, node, endpoint).await;
        if running == 0 {
            return;
        }
        async_io::Timer::after(context.settings.heartbeat_interval).await;
    }
}

/// Sends one notice and returns the calls that still run.
async fn send_notice(
    context: &sync::Arc<context::NodeContext>,
    node: &ids::NodeId,
    endpoint: &ids::EndpointId,
) -> u32 {
    let planned = {
        let members = context.tables.members.lock();
        let ownership = context.tables.ownership.lock();
        members.entry(node).map(|entry| {
            let next = member::ProbeTarget::new(entry.record());
            let release = ownership.release_record(&members, endpoint, &next.instance);
            (next, release)
        })
    };
    let Some((next, mut release)) = planned else { return 0 };
    add_load(context, &mut release);
    let running = release.running;
    let message = notice(context, vec![release]);
    let deadline = context.deadline(context.settings.suspect_timeout);
    let connection = http_client::ConnectionUse::Fresh;
    let sent: Result<types::HeartbeatReply, _> =
        peer::exchange(context, next.address, NOTICE_PATH, &message, connection, deadline).await;
    if let Err(failure) = sent {
        log::debug!("handover: notice not taken. error={failure}");
    }
    running
}

fn notice(
    context: &context::NodeContext,
    releases: Vec<types::ReleaseRecord>,
) -> types::ReleaseNotice {
    let header = context.peer_header();
    let members = context.tables.members.lock().records_for(&releases);
    types::ReleaseNotice { header, members, releases }
}

fn address_of(
    context: &context::NodeContext,
    member: &member::MemberInstance,
) -> Option<net::SocketAddr> {
    let members = context.tables.members.lock();
    let entry = members.entry(&member.node)?;
    (entry.record().start_id == member.start_id).then(|| entry.record().address)
}

/// Adds the calls that this node still runs at an endpoint it released.
fn add_load(context: &context::NodeContext, release: &mut types::ReleaseRecord) {
    let Some(replica) = pool_changes::replica_state(context, &release.endpoint) else { return };
    release.running = replica.running;
    release.phase = replica.phase;
}
