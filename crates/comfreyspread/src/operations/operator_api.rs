//! HTTP API for operators: changes, the configuration, status and dump.
//!
//! Any node accepts a change. It writes the change on the condition that the head is unchanged,
//! resolves a lost response by reading the head back, and waits for acceptance.

use crate::{
    configuration::{distribution, head_row, rollout},
    ingress::front,
    membership::{known_nodes, peer},
    operations::dump,
    runtime::context,
    transport::{failure, http_client, http_message, http_server},
};
use comfreyspread_policy::change;
use comfreyspread_schema::{ids, types};
use http::{Method, StatusCode};
use indexmap::IndexSet;
use std::{sync, time};

/// Prefix of all operator paths.
pub const PATH_PREFIX: &str = "/operator/";
/// Path that accepts a [`types::ChangeRequest`] and responds with a [`types::ChangeOutcome`].
pub const CHANGE_PATH: &str = "/operator/changes";
/// Path of the configuration in force; the node reads the store first.
pub const CONFIGURATION_PATH: &str = "/operator/configuration";
/// Path of the claims whose outcome is unknown.
pub const CLAIMS_PATH: &str = "/operator/claims";
/// Path of the state of all nodes.
pub const STATUS_PATH: &str = "/operator/status";
/// Path of the full state of this process.
pub const DUMP_PATH: &str = "/operator/dump";

/// Path that explains where a request would go, whose head is the body; served on the users' platform
/// only.
pub const EXPLAIN_PATH: &str = "/operator/explain";
/// Path of the roll-outs that the node knows, served on the users' platform only.
pub const ROLLOUTS_PATH: &str = "/operator/rollouts";

/// Maximum wait of an operator for acceptance.
pub const MAX_WAIT: time::Duration = time::Duration::from_secs(600);
/// Timeout for resolving whether a change took effect.
const RESOLVE_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Delay between attempts at the store.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Timeout for the status of another node.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Serves one request of an operator.
pub async fn serve(
    context: &sync::Arc<context::NodeContext>,
    request: &http_server::ServerRequest,
) -> http_message::Response {
    match (request.method(), request.path()) {
        (&Method::POST, CHANGE_PATH) => match serde_json::from_slice(request.body()) {
            Ok(change) => change_response(&submit(context, change).await),
            Err(error) => problem(types::ProblemKind::BadRequest, &error.to_string()),
        },
        (&Method::GET, CONFIGURATION_PATH) => {
            if let Err(failure) = distribution::read_store(context).await {
                log::warn!("operator: cannot read the store. error={failure}");
            }
            match context.tables.catalog().document() {
                Some(document) => front::json(StatusCode::OK, document),
                None => problem(types::ProblemKind::UnknownName, "there is no configuration yet"),
            }
        }
        (&Method::GET, STATUS_PATH) => front::json(StatusCode::OK, &status(context).await),
        (&Method::GET, DUMP_PATH) => front::json(StatusCode::OK, &dump::collect(context)),
        (_, path) => {
            problem(types::ProblemKind::UnknownName, &format!("there is nothing at {path}"))
        }
    }
}

/// Stages a change and waits for its acceptance.
pub async fn submit(
    context: &sync::Arc<context::NodeContext>,
    request: types::ChangeRequest,
) -> types::ChangeOutcome {
    let deadline = time::Instant::now() + RESOLVE_TIMEOUT;
    let head = match read_head(context, deadline).await {
        Ok(head) => head,
        Err(failure) => return refused_outcome(&format!("nothing was changed: {failure}")),
    };
    let staged = match change::plan(&head, &request, &known_vms(context).await) {
        Ok(change::ChangePlan::AlreadyStaged(staged)) => staged,
        Ok(change::ChangePlan::Write(planned)) => {
            let document = planned.document().clone();
            match write(context, planned, deadline).await {
                Ok(staged) => {
                    distribution::apply(context, document);
                    staged
                }
                Err(outcome) => return with_base(outcome, request.base_revision),
            }
        }
        Err(refusal) => return refusal_outcome(refusal, request.base_revision),
    };
    let (change, revision) = (staged.change().clone(), staged.revision());
    log::info!(change = change.as_ref(), revision = revision; "operator: change staged");
    let outcome = rollout::wait(context, staged, request.wait.min(MAX_WAIT)).await;
    if let types::ChangeOutcome::Accepted { confirmed, .. } = &outcome {
        log::info!(change = change.as_ref(), revision = revision, confirmed = confirmed;
            "operator: change accepted");
    }
    outcome
}

/// Reads the head until it is at least as new as the configuration in force on this node.
async fn read_head(
    context: &context::NodeContext,
    deadline: time::Instant,
) -> Result<change::StoredHead, failure::CallFailure> {
    loop {
        let read = head_row::read(&context.platform).await;
        let current = context.tables.catalog().revision();
        let failure = match read {
            Ok(head) if head.revision() >= current => return Ok(head),
            Ok(head) => {
                let stored = head.revision();
                let detail =
                    format!("the store shows revision {stored}, and {current} is in force");
                failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
            }
            Err(failure) => failure,
        };
        if time::Instant::now() + STORE_RETRY_DELAY >= deadline {
            return Err(failure);
        }
        async_io::Timer::after(STORE_RETRY_DELAY).await;
    }
}

/// Writes a planned change, and retries until its outcome is known.
async fn write(
    context: &context::NodeContext,
    mut planned: change::ConfigurationChange<change::PlannedState>,
    deadline: time::Instant,
) -> Result<change::ConfigurationChange<change::StagedState>, types::ChangeOutcome> {
    loop {
        match head_row::write(context, &planned).await {
            Ok(true) => return Ok(planned.commit()),
            Ok(false) => {}
            Err(failure) => {
                log::warn!("operator: write not confirmed. error={failure}");
                if failure.verdict() != types::CallVerdict::NotRun {
                    planned = planned.with_write_in_doubt();
                }
            }
        }
        if let Ok(head) = head_row::read(&context.platform).await {
            planned = match planned.resolve(&head) {
                change::WriteResolution::Staged(staged) => return Ok(staged),
                change::WriteResolution::Conflict(head) => {
                    return Err(types::ChangeOutcome::Conflict { base_revision: 0, head });
                }
                change::WriteResolution::Unresolved(planned) => planned,
            };
        }
        if time::Instant::now() + STORE_RETRY_DELAY >= deadline {
            return Err(unresolved(&planned));
        }
        async_io::Timer::after(STORE_RETRY_DELAY).await;
    }
}

fn unresolved(planned: &change::ConfigurationChange<change::PlannedState>) -> types::ChangeOutcome {
    if planned.in_doubt() {
        let detail = "the store did not say whether the change took effect".into();
        return types::ChangeOutcome::InDoubt { change_id: planned.change().clone(), detail };
    }
    refused_outcome("nothing was changed: the store did not take the write")
}

fn refusal_outcome(
    refusal: change::ChangeRefusal,
    base_revision: ids::RevisionNumber,
) -> types::ChangeOutcome {
    match refusal {
        change::ChangeRefusal::Conflict(head) => {
            types::ChangeOutcome::Conflict { base_revision, head }
        }
        change::ChangeRefusal::Invalid(findings) => types::ChangeOutcome::Refused {
            detail: "the declarations are not valid".into(),
            findings,
        },
        change::ChangeRefusal::Unknown(detail) => refused_outcome(&detail),
    }
}

fn with_base(
    outcome: types::ChangeOutcome,
    base_revision: ids::RevisionNumber,
) -> types::ChangeOutcome {
    match outcome {
        types::ChangeOutcome::Conflict { head, .. } => {
            types::ChangeOutcome::Conflict { base_revision, head }
        }
        other => other,
    }
}

fn refused_outcome(detail: &str) -> types::ChangeOutcome {
    types::ChangeOutcome::Refused { detail: detail.into(), findings: Vec::new() }
}

fn change_response(outcome: &types::ChangeOutcome) -> http_message::Response {
    let status = match outcome {
        types::ChangeOutcome::Accepted { .. } => StatusCode::OK,
        types::ChangeOutcome::Staged { .. } => StatusCode::ACCEPTED,
        types::ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
        types::ChangeOutcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        types::ChangeOutcome::InDoubt { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    front::json(status, outcome)
}

/// Returns the response to an operator's request that failed.
pub fn problem(kind: types::ProblemKind, detail: &str) -> http_message::Response {
    front::problem_response(&failure::CallFailure::new(kind, detail), &"".into())
}

/// Returns the known names of VMs that run nodes.
async fn known_vms(context: &context::NodeContext) -> IndexSet<ids::VmId> {
    let listed = context.platform.list_vms().await.map(|list| list.vms).unwrap_or_default();
    let vms = listed.into_iter().map(|record| record.vm);
    vms.chain(known_nodes::vms(context)).collect()
}

/// Requests the status of every node.
pub async fn status(context: &sync::Arc<context::NodeContext>) -> types::DeploymentStatus {
    let catalog = context.tables.catalog();
    let listed = Box::pin(context.platform.list_vms()).await.ok();
    let contacts = known_nodes::list(context, listed.as_ref()).into_iter();
    let requests: Vec<_> = contacts
        .filter(|contact| contact.may_serve)
        .map(|contact| {
            let context = context.clone();
            context.clone().spawner.spawn(async move { node_status(&context, &contact).await })
        })
        .collect();
    let mut nodes = vec![dump::node_status(context)];
    for task in requests {
        nodes.push(task.await);
    }
    types::DeploymentStatus {
        change_id: catalog.change().clone(),
        nodes,
        revision: catalog.revision(),
        vms_out: catalog.vms_out().cloned().collect(),
        zones_out: catalog.zones_out().cloned().collect(),
    }
}

async fn node_status(
    context: &context::NodeContext,
    contact: &known_nodes::KnownNode,
) -> types::NodeStatus {
    let request = types::StatusRequest { header: context.peer_header() };
    let deadline = time::Instant::now() + STATUS_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let path = peer::STATUS_PATH;
    let reply: Result<types::StatusReply, _> =
        peer::exchange(context, contact.address, path, &request, connection, deadline).await;
    match reply {
        Ok(reply) => reply.status,
        Err(failure) => types::NodeStatus {
            detail: failure.detail().clone(),
            endpoints: Vec::new(),
            node: contact.node.clone(),
            phase: types::NodePhase::Stopped,
            ready: false,
            revision: 0,
            vm: "".into(),
            zone: "".into(),
        },
    }
}
