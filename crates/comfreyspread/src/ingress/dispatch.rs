//! Sending one call from the ingress node to the owner of an endpoint.

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

/// Time an owner gets beyond the call's deadline to say how the call ended.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Bytes of a message to another region besides the body.
const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// Sends `call` to an owner and waits for its reply.
///
/// # Errors
///
/// Fails if no owner was found or its reply is lost; the verdict says whether the call may have
/// run.
pub async fn send(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<types::StageReply, failure::CallFailure> {
    let route = CallRoute::new(context, &call)?;
    let _outstanding = OutstandingCall::new(context, &route.owner, &call.pool);
    let echo = CallEcho::new(&call);
    let reply = match route.address {
        None => owner::serve_call(context, call, deadline).await,
        Some(address) => {
            let connection = if call.idempotent {
                http_client::ConnectionUse::Shared
            } else {
                http_client::ConnectionUse::Fresh
            };
            let late = deadline + REPLY_MARGIN;
            let path = peer::CALL_PATH;
            let sent = peer::exchange(context, address, path, &call, connection, late).await;
            sent.inspect_err(|failure| note_refusal(context, &route.owner, &call.pool, failure))?
        }
    };
    echo.check(&reply)?;
    note(context, &route.owner, &reply);
    Ok(reply)
}

/// Sends `call` to an owner and returns the frames of its streamed answer.
///
/// # Errors
///
/// Fails if no owner was found or the call could not be sent.
pub async fn open(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<OwnerStream, failure::CallFailure> {
    let route = CallRoute::new(context, &call)?;
    let outstanding = OutstandingCall::new(context, &route.owner, &call.pool);
    let echo = CallEcho::new(&call);
    let source = match route.address {
        None => StreamSource::Local(owner::start_stream(context, call, deadline)),
        Some(address) => {
            let opened = open_remote(context, address, &call, deadline).await;
            let opened =
                opened.inspect_err(|fault| note_refusal(context, &route.owner, &call.pool, fault));
            StreamSource::Remote(opened?)
        }
    };
    let timer = deadlines::DeadlineTimer::new(deadline + REPLY_MARGIN);
    Ok(OwnerStream { source, echo, timer, _outstanding: outstanding })
}

async fn open_remote(
    context: &context::NodeContext,
    address: std::net::SocketAddr,
    call: &types::StageCall,
    deadline: time::Instant,
) -> Result<http_body::MessageBody, failure::CallFailure> {
    let request = peer::encode_request(address, peer::STREAM_PATH, call)?;
    let opened = context.client.open(address, request, deadline + REPLY_MARGIN).await;
    let mut response = opened.map_err(|failure| failure.with_crashed(false))?;
    let status: u16 = response.status().into();
    if status != u16::from(http::StatusCode::OK) {
        let verdict = response.header(crate::transport::header::VERDICT);
        return Err(peer::refusal_failure(status, verdict));
    }
    Ok(response.take_body())
}

/// Frames of a streamed answer on their way from an owner.
#[derive(Debug)]
pub struct OwnerStream {
    source: StreamSource,
    echo: CallEcho,
    timer: deadlines::DeadlineTimer,
    _outstanding: OutstandingCall,
}

#[derive(Debug)]
enum StreamSource {
    Local(frame_source::FrameSource),
    Remote(http_body::MessageBody),
}

impl OwnerStream {
    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut, the deadline has passed, or its end belongs to another call.
    pub async fn next(&mut self) -> Result<types::StageFrame, failure::CallFailure> {
        let read = deadlines::before(&mut self.timer, self.source.next()).await;
        let frame = read.unwrap_or_else(|| {
            let detail = "the stream took too long";
            Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        })?;
        if let types::StageFrame::Finished { reply, .. } = &frame {
            self.echo.check(reply)?;
        }
        Ok(frame)
    }
}

impl StreamSource {
    async fn next(&mut self) -> Result<types::StageFrame, failure::CallFailure> {
        match self {
            Self::Local(source) => source.next().await.ok_or_else(frames::abandoned),
            Self::Remote(body) => frames::read_frame(body).await,
        }
    }
}

/// Where a call goes.
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
        let remote_allowed = context.tables.budgets.lock().link.allows(bytes, call.priority, now);
        let query =
            routing::RouteQuery { pool: &call.pool, candidates: &candidates, remote_allowed, now };
        let chosen = query.select_owner(&context.tables.hints.lock(), &mut rand::rng());
        let Some(chosen) = chosen else {
            let detail = format!("pool {} has no endpoint in service", call.pool);
            return Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail));
        };
        if chosen.distance == routing::RouteDistance::Remote {
            context.tables.budgets.lock().link.consume(bytes, now);
        }
        let address = owner_candidates::address(context, &chosen)?;
        Ok(Self { owner: chosen.node, address })
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

/// What the reply to a call has to repeat.
#[derive(Debug)]
struct CallEcho {
    request: ids::RequestId,
    attempt: ids::AttemptId,
}

impl CallEcho {
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

fn note_refusal(
    context: &context::NodeContext,
    owner: &ids::NodeId,
    pool: &ids::PoolId,
    failure: &failure::CallFailure,
) {
    if failure.problem() == types::ProblemKind::Unavailable {
        context.tables.hints.lock().record_refusal(owner, pool, time::Instant::now());
    }
}

fn note(context: &context::NodeContext, owner: &ids::NodeId, reply: &types::StageReply) {
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
