//! Handover of endpoints between nodes.
//!
//! A node that is to own endpoints sends a release request to each node that may still own them. If
//! no former owner reports the highest fencing token, the node reads it from the endpoint. A node
//! that released an endpoint notifies the next owner, with the number of calls still running there,
//! until that number is zero.

use crate::{
    membership::{heartbeat, heartbeat_message, peer},
    ownership::scheduler_sync,
    runtime::{context, settings},
    transport::{failure, http_client, http_message},
};
use comfreyspread_policy::{connectivity, member, ownership, ownership_action};
use comfreyspread_schema::{ids, types};
use http::Method;
use std::{net, sync, time};

/// Path of a release request, answered by a [`types::ReleaseNotice`].
pub const RELEASE_REQUEST_PATH: &str = "/peer/release-request";
/// Path of a release notice, answered by a [`types::HeartbeatReply`].
pub const RELEASE_NOTICE_PATH: &str = "/peer/release-notice";

const STATUS_PATH: &str = "/v1/status";
const OK_STATUS: u16 = 200;

/// Returns the ownership table of a node that starts and owns nothing.
pub fn new_ownership_table(
    settings: &settings::NodeSettings,
    start_id: ids::ProcessStartId,
    now: time::Instant,
) -> ownership::OwnershipTable {
    let instance = member::MemberInstance { node: settings.node.clone(), start_id };
    let timeouts = connectivity::OwnershipTimeouts::new(settings.failure_timeout);
    let started_millis = u64::try_from(jiff::Timestamp::now().as_millisecond()).unwrap_or(0);
    let table =
        ownership::OwnershipTable::new(instance, timeouts, now).with_start_time(started_millis);
    let no_other_seeds = settings.seeds.iter().all(|seed| *seed == settings.peer_address);
    if no_other_seeds { table.with_no_seeds() } else { table }
}

/// Starts the tasks for `actions`.
pub fn run_actions(
    context: &sync::Arc<context::NodeContext>,
    actions: Vec<ownership_action::OwnershipAction>,
) {
    for action in actions {
        let task_context = context.clone();
        match action {
            ownership_action::OwnershipAction::RequestRelease { member, endpoints } => {
                context.spawner.detach(async move {
                    request_release(&task_context, &member, endpoints).await
                });
            }
            ownership_action::OwnershipAction::ReadFence { endpoint } => {
                context
                    .spawner
                    .detach(async move { read_fencing_token(&task_context, &endpoint).await });
            }
            ownership_action::OwnershipAction::NotifyRelease { node, endpoint } => {
                log::info!(endpoint = endpoint.as_ref(), next = node.as_ref();
                    "handover: endpoint released");
                context
                    .spawner
                    .detach(async move { notify_release(&task_context, &node, &endpoint).await });
            }
        }
    }
}

/// Serves the release request of a node.
pub fn serve_request(
    context: &sync::Arc<context::NodeContext>,
    message: types::ReleaseRequest,
) -> types::ReleaseNotice {
    let requester = member::MemberInstance::from_header(&message.header);
    heartbeat::merge_records(context, &message.header, vec![message.member]);
    let mut releases = {
        let members = context.tables.members.lock();
        let mut ownership = context.tables.ownership.lock();
        ownership.answer_requests(&members, &requester, &message.endpoints)
    };
    for release in &mut releases {
        set_endpoint_state(context, release);
    }
    release_notice(context, releases)
}

/// Accepts a release notice that another node sent on its own, and acknowledges it.
pub fn accept_notice(
    context: &sync::Arc<context::NodeContext>,
    message: types::ReleaseNotice,
) -> types::HeartbeatReply {
    accept_releases(context, message);
    heartbeat_message::empty_reply(context)
}

/// Records the releases of another node.
pub fn accept_releases(context: &sync::Arc<context::NodeContext>, message: types::ReleaseNotice) {
    let sender = member::MemberInstance::from_header(&message.header);
    heartbeat::merge_records(context, &message.header, message.members);
    let now = time::Instant::now();
    context.tables.ownership.lock().accept_releases(&sender, &message.releases, now);
    reconcile(context);
    if message.releases.iter().any(|release| release.running > 0) {
        context.tables.changed.notify(usize::MAX);
    }
}

/// Reconciles the ownership table after new information and runs the resulting actions.
fn reconcile(context: &sync::Arc<context::NodeContext>) {
    run_actions(context, heartbeat::reconcile(context));
}

async fn request_release(
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
    let reply =
        peer::exchange(context, address, RELEASE_REQUEST_PATH, &message, connection, deadline);
    match reply.await {
        Ok(reply) => accept_releases(context, reply),
        Err(failure) => log::debug!("handover: release request failed. error={failure}"),
    }
}

async fn read_fencing_token(context: &sync::Arc<context::NodeContext>, endpoint: &ids::EndpointId) {
    let Some(address) = context.tables.catalog().endpoint(endpoint).map(|entry| entry.address)
    else {
        return;
    };
    match read_report(context, address).await {
        Ok((fencing_token, running)) => {
            let now = time::Instant::now();
            context.tables.ownership.lock().record_endpoint_fence(
                endpoint,
                fencing_token,
                running,
                now,
            );
            reconcile(context);
        }
        Err(failure) => log::debug!("handover: cannot read the fencing token. error={failure}"),
    }
}

/// Returns the highest fencing token that an endpoint has seen and its number of running calls.
///
/// An endpoint without a status report checks no fencing token; both values are zero then.
async fn read_report(
    context: &context::NodeContext,
    address: net::SocketAddr,
) -> Result<(ids::FencingToken, u32), failure::CallFailure> {
    let url = format!("http://{address}{STATUS_PATH}");
    let request = http_message::Request::new(Method::GET, url.as_str());
    let deadline = context.deadline(context.settings.suspect_timeout);
    let connection = http_client::ConnectionUse::Fresh;
    let response = context.client.call(address, request, connection, deadline).await?;
    if response.status() != OK_STATUS {
        return Ok((0, 0));
    }
    let report: types::EndpointReport =
        serde_json::from_slice(response.body()).map_err(|error| {
            let detail = format!("the report of {address} is not valid: {error}");
            failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        })?;
    Ok((report.highest_fencing_token, report.running))
}

/// Notifies the next owner that this node released an endpoint, until no call is running there.
async fn notify_release(
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

/// Sends one release notice and returns the number of calls still running.
async fn send_notice(
    context: &sync::Arc<context::NodeContext>,
    node: &ids::NodeId,
    endpoint: &ids::EndpointId,
) -> u32 {
    let prepared = {
        let members = context.tables.members.lock();
        let ownership = context.tables.ownership.lock();
        members.entry(node).map(|entry| {
            let target = member::ProbeTarget::new(entry.record());
            let release = ownership.release_record(&members, endpoint, &target.instance);
            (target, release)
        })
    };
    let Some((target, mut release)) = prepared else { return 0 };
    set_endpoint_state(context, &mut release);
    let running = release.running;
    let message = release_notice(context, vec![release]);
    let deadline = context.deadline(context.settings.suspect_timeout);
    let connection = http_client::ConnectionUse::Fresh;
    let sent: Result<types::HeartbeatReply, _> = peer::exchange(
        context,
        target.address,
        RELEASE_NOTICE_PATH,
        &message,
        connection,
        deadline,
    )
    .await;
    if let Err(failure) = sent {
        log::debug!("handover: release notice failed. error={failure}");
    }
    running
}

fn release_notice(
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

/// Sets the running calls and the phase of an endpoint that this node released.
fn set_endpoint_state(context: &context::NodeContext, release: &mut types::ReleaseRecord) {
    let Some(snapshot) = scheduler_sync::endpoint_snapshot(context, &release.endpoint) else {
        return;
    };
    release.running = snapshot.running;
    release.phase = snapshot.phase;
}
