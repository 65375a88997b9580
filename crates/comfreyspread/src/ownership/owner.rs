//! Serves calls as the owner of their pool's endpoints.
//!
//! A call waits in the queue of its pool until it has a slot at an endpoint. It is then sent, and
//! its outcome is reported to the scheduler.

use crate::{
    ingress::{frame_source, frames},
    ownership::{assigned_call, endpoint_client},
    runtime::context,
    transport::failure,
};
use comfreyspread_policy::stream;
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// Serves a call at an endpoint of its pool that this node owns.
///
/// If the future is dropped, a queued call is withdrawn. A call that was sent is cancelled by
/// closing its connection if it is idempotent, and continues otherwise.
pub async fn serve_call(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> types::StageReply {
    let mut draft = ReplyDraft::new(&call);
    let assigned = assigned_call::AssignedCall::new(context, call, deadline).await;
    let assigned = draft.record_assignment(assigned);
    let response = match assigned {
        Ok(assigned) => assigned.send(context).await,
        Err(failure) => Err(failure),
    };
    draft.finish(context, response.map_or_else(failure::CallFailure::into_outcome, outcome))
}

/// Returns the frames of a call with a streamed response.
///
/// The call is withdrawn, or cancelled at the endpoint, when the source is dropped.
pub fn start_stream(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> frame_source::FrameSource {
    let context = context.clone();
    frame_source::FrameSource::new(|sender| async move {
        serve_stream(&context, call, deadline, &sender).await;
    })
}

async fn serve_stream(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
    sender: &frames::FrameSender,
) {
    let mut draft = ReplyDraft::new(&call);
    let mut cursor = stream::StreamCursor::new().with_offset(call.offset);
    let assigned = assigned_call::AssignedCall::new(context, call, deadline).await;
    let streamed = match draft.record_assignment(assigned) {
        Ok(assigned) => assigned.relay(context, &mut cursor, sender).await,
        Err(failure) => Err(failure),
    };
    let outcome = match streamed {
        Ok(status) => types::StageOutcome::Answered { body: ids::Payload::new(), status },
        Err(failure) => failure.into_outcome(),
    };
    let reply = draft.finish(context, outcome);
    sender.send(types::StageFrame::Finished { reply, tokens: cursor.offset() }).await.ok();
}

/// The parts of a reply that are known before the outcome.
struct ReplyDraft {
    attempt: ids::AttemptId,
    endpoint: Option<ids::EndpointId>,
    pool: ids::PoolId,
    request: ids::RequestId,
    arrived: time::Instant,
    waited: time::Duration,
}

impl ReplyDraft {
    fn new(call: &types::StageCall) -> Self {
        Self {
            attempt: call.attempt,
            endpoint: None,
            pool: call.pool.clone(),
            request: call.request.clone(),
            arrived: time::Instant::now(),
            waited: time::Duration::ZERO,
        }
    }

    /// Records the time in the queue and the endpoint.
    fn record_assignment(
        &mut self,
        assigned: Result<assigned_call::AssignedCall, failure::CallFailure>,
    ) -> Result<assigned_call::AssignedCall, failure::CallFailure> {
        self.waited = self.arrived.elapsed();
        self.endpoint = assigned.as_ref().ok().map(|call| call.endpoint().clone());
        assigned
    }

    fn finish(
        self,
        context: &context::NodeContext,
        outcome: types::StageOutcome,
    ) -> types::StageReply {
        types::StageReply {
            attempt: self.attempt,
            endpoint: self.endpoint,
            header: context.peer_header(),
            hint: context.tables.pools.lock().hint(&self.pool),
            outcome,
            request: self.request,
            waited: self.waited,
        }
    }
}

fn outcome(response: endpoint_client::EndpointResponse) -> types::StageOutcome {
    types::StageOutcome::Answered { body: response.body, status: response.status }
}
