//! Sends one call from the ingress node to the owner of an endpoint.

use crate::{
    ingress::{frame_source, frames},
    membership::peer,
    ownership::{owner, owner_candidates},
    runtime::context,
    transport::{deadline as deadlines, failure, http_body, http_client},
};
use comfreyspread_policy::routing;
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// Time after the call's deadline in which the owner may still report the outcome.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Bytes of a message to another region in addition to the body.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// Sends `call` to an owner and waits for its reply.
///
/// # Errors
///
/// Fails if no owner is available or its reply is lost; the verdict says whether the call may have
/// run.
pub async fn send(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<types::StageReply, failure::CallFailure> {
    let route = CallRoute::new(context, &call)?;
    let _outstanding = OutstandingCall::new(context, &route.owner, &call.pool);
    let identity = CallIdentity::new(&call);
    let reply = match route.address {
        None => owner::serve_call(context, call, deadline).await,
        Some(address) => {
            let connection = if call.idempotent {
                http_client::ConnectionUse::Pooled
            } else {
                http_client::ConnectionUse::Fresh
            };
            let reply_deadline = deadline + REPLY_MARGIN;
            let path = peer::CALL_PATH;
            let reply =
                peer::exchange(context, address, path, &call, connection, reply_deadline).await;
            reply
                .inspect_err(|failure| record_refusal(context, &route.owner, &call.pool, failure))?
        }
    };
    identity.check(&reply)?;
    record_reply(context, &route.owner, &reply);
    Ok(reply)
}

/// Sends `call` to an owner and returns the frames of its streamed answer.
///
/// # Errors
///
/// Fails if no owner is available or the call could not be sent.
pub async fn open_stream(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<OwnerStream, failure::CallFailure> {
    let route = CallRoute::new(context, &call)?;
    let outstanding = OutstandingCall::new(context, &route.owner, &call.pool);
    let identity = CallIdentity::new(&call);
    let source = match route.address {
        None => FrameReader::Local(owner::start_stream(context, call, deadline)),
        Some(address) => {
            let body = open_remote_stream(context, address, &call, deadline).await;
            let body = body
                .inspect_err(|failure| record_refusal(context, &route.owner, &call.pool, failure));
            FrameReader::Remote(body?)
        }
    };
    let timer = deadlines::DeadlineTimer::new(deadline + REPLY_MARGIN);
    Ok(OwnerStream { source, identity, timer, _outstanding: outstanding })
}

async fn open_remote_stream(
    context: &context::NodeContext,
    address: std::net::SocketAddr,
    call: &types::StageCall,
    deadline: time::Instant,
) -> Result<http_body::MessageBody, failure::CallFailure> {
    let request = peer::encode_request(address, peer::STREAM_PATH, call)?;
    let response = context.client.call_streaming(address, request, deadline + REPLY_MARGIN).await;
    let mut response = response.map_err(|failure| failure.with_crashed(false))?;
    let status: u16 = response.status().into();
    if status != u16::from(http::StatusCode::OK) {
        let verdict = response.header(crate::transport::header::VERDICT);
        return Err(peer::refusal_failure(status, verdict));
    }
    Ok(response.take_body())
}

/// Frames of a streamed answer, received from an owner.
#[derive(Debug)]
pub struct OwnerStream {
    source: FrameReader,
    identity: CallIdentity,
    timer: deadlines::DeadlineTimer,
    _outstanding: OutstandingCall,
}

#[derive(Debug)]
enum FrameReader {
    Local(frame_source::FrameSource),
    Remote(http_body::MessageBody),
}

impl OwnerStream {
    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut short, the deadline has passed, or its end belongs to another
    /// call.
    pub async fn next(&mut self) -> Result<types::StageFrame, failure::CallFailure> {
        let frame = deadlines::with_timer(&mut self.timer, self.source.next()).await;
        let frame = frame.unwrap_or_else(|| {
            let detail = "the stream took too long";
            Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        })?;
        if let types::StageFrame::Finished { reply, .. } = &frame {
            self.identity.check(reply)?;
        }
        Ok(frame)
    }
}

impl FrameReader {
    async fn next(&mut self) -> Result<types::StageFrame, failure::CallFailure> {
        match self {
            Self::Local(source) => source.next().await.ok_or_else(frames::receiver_closed),
            Self::Remote(body) => frames::read_frame(body).await,
        }
    }
}

/// Destination of a call.
#[derive(Debug)]
struct CallRoute {
    owner: ids::NodeId,
    address: Option<std::net::SocketAddr>,
}

impl CallRoute {
    fn new(
        context: &context::NodeContext,
        call: &types::StageCall,
    ) -> Result<Self, failure::CallFailure> {
        let now = time::Instant::now();
        let candidates = owner_candidates::find(context, call);
        let bytes = u64::try_from(call.body.len() + MESSAGE_OVERHEAD_BYTES).unwrap_or(u64::MAX);
        let remote_allowed =
            context.tables.attempt_budgets.lock().link.allows(bytes, call.priority, now);
        let query =
            routing::RouteQuery { pool: &call.pool, candidates: &candidates, remote_allowed, now };
        let owner = query.select_owner(&context.tables.hints.lock(), &mut rand::rng());
        let Some(owner) = owner else {
            let detail = format!("pool {} has no endpoint in service", call.pool);
            return Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail));
        };
        if owner.distance == routing::RouteDistance::Remote {
            context.tables.attempt_budgets.lock().link.consume(bytes, now);
        }
        let address = owner_candidates::address(context, &owner)?;
        Ok(Self { owner: owner.node, address })
    }
}

/// Counts a call as outstanding at its owner until dropped.
#[derive(Debug)]
struct OutstandingCall {
    context: sync::Arc<context::NodeContext>,
    owner: ids::NodeId,
    pool: ids::PoolId,
}

impl OutstandingCall {
    fn new(
        context: &sync::Arc<context::NodeContext>,
        owner: &ids::NodeId,
        pool: &ids::PoolId,
    ) -> Self {
        context.tables.hints.lock().record_start(owner, pool, time::Instant::now());
        Self { context: context.clone(), owner: owner.clone(), pool: pool.clone() }
    }
}

impl Drop for OutstandingCall {
    fn drop(&mut self) {
        self.context.tables.hints.lock().record_end(&self.owner, &self.pool, time::Instant::now());
    }
}

/// Identifiers of a call that its reply must repeat.
#[derive(Debug)]
struct CallIdentity {
    request: ids::RequestId,
    attempt: ids::AttemptId,
}

impl CallIdentity {
    fn new(call: &types::StageCall) -> Self {
        Self { request: call.request.clone(), attempt: call.attempt }
    }

    fn check(&self, reply: &types::StageReply) -> Result<(), failure::CallFailure> {
        if reply.request == self.request && reply.attempt == self.attempt {
            return Ok(());
        }
        let detail = "the owner answered another call";
        Err(failure::CallFailure::new(types::ProblemKind::Internal, detail)
            .with_verdict(types::CallVerdict::MayHaveRun))
    }
}

fn record_refusal(
    context: &context::NodeContext,
    owner: &ids::NodeId,
    pool: &ids::PoolId,
    failure: &failure::CallFailure,
) {
    if failure.problem() == types::ProblemKind::Unavailable {
        context.tables.hints.lock().record_refusal(owner, pool, time::Instant::now());
    }
}

fn record_reply(context: &context::NodeContext, owner: &ids::NodeId, reply: &types::StageReply) {
    if let types::StageOutcome::Failed { problem: types::ProblemKind::NotOwner, .. } = reply.outcome
    {
        let now = time::Instant::now();
        context.tables.hints.lock().record_refusal(owner, &reply.hint.pool, now);
    }
    if reply.hint.limit > 0 {
        let hint = reply.hint.clone();
        context.tables.hints.lock().record_hint(owner, hint, time::Instant::now());
    }
}
