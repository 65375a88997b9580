//! A call with its place at an endpoint.
//!
//! Right before a call is sent, the node checks once more that it still owns the endpoint and that
//! operators let it take work; if not, the call goes back to the queue.

use crate::{
    ingress::frames,
    ownership::{endpoint, pool_changes, slot},
    runtime::context,
    transport::failure,
};
use comfreyspread_policy::{attempt, endpoint_lifecycle, pool_endpoint, stream};
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A call that has a place at an endpoint and was not sent yet.
#[derive(Debug)]
pub struct PlacedCall {
    slot: slot::CallSlot,
    call: endpoint::EndpointCall,
}

impl PlacedCall {
    /// Waits for a place at an endpoint that may still take work once the call has it.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if the queue refuses the call or its time runs out.
    pub async fn new(
        context: &sync::Arc<context::NodeContext>,
        mut call: types::StageCall,
        deadline: time::Instant,
    ) -> Result<Self, failure::CallFailure> {
        loop {
            let slot = slot::CallSlot::acquire(context, &call, deadline).await?;
            let now = time::Instant::now();
            let catalog = context.tables.catalog();
            let declaration = catalog.endpoint(slot.endpoint());
            let fence = pool_changes::permit(context, &catalog, slot.endpoint(), now);
            let (Some(declaration), Some(fence)) = (declaration, fence) else {
                slot.close();
                continue;
            };
            call.time_left = deadline.saturating_duration_since(now);
            let address = declaration.address;
            let call = sync::Arc::new(call);
            let call = endpoint::EndpointCall { address, fence, call, deadline };
            return Ok(Self { slot, call });
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> &ids::EndpointId {
        self.slot.endpoint()
    }

    /// Sends the call and reads the whole answer.
    ///
    /// If the future is dropped, an idempotent call is cancelled and any other runs on.
    ///
    /// # Errors
    ///
    /// Fails like [`endpoint::EndpointCall::send`].
    pub async fn send(
        self,
        context: &sync::Arc<context::NodeContext>,
    ) -> Result<endpoint::EndpointAnswer, failure::CallFailure> {
        if self.call.call.idempotent {
            return self.exchange(context).await;
        }
        let (sender, receiver) = async_channel::bounded(1);
        let context_of_task = context.clone();
        context.spawner.detach(async move {
            let answer = self.exchange(&context_of_task).await;
            sender.try_send(answer).ok();
        });
        receiver.recv().await.unwrap_or_else(|_| {
            let detail = "the node stopped while the call was in flight";
            Err(failure::CallFailure::new(types::ProblemKind::Internal, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        })
    }

    /// Sends the call, passes the tokens of its answer on until the explicit end and returns the
    /// HTTP status.
    ///
    /// # Errors
    ///
    /// Fails like [`endpoint::EndpointCall::open`], and if the stream is cut or nobody receives it.
    pub async fn relay(
        mut self,
        context: &context::NodeContext,
        cursor: &mut stream::StreamCursor,
        sender: &frames::FrameSender,
    ) -> Result<u16, failure::CallFailure> {
        let planned = attempt::CallAttempt::new(self.call.call.attempt);
        self.slot.note_sent();
        let relayed = async {
            let mut opened = self.call.open(context, planned).await?;
            self.slot.note_signs(opened.signs);
            self.check_leaving(context, opened.signs);
            relay_events(&mut opened, cursor, sender, self.call.deadline).await?;
            Ok(opened)
        };
        let relayed = relayed.await;
        self.check_fence(context, relayed.as_ref().err());
        self.slot.finish(match &relayed {
            Ok(opened) => {
                pool_endpoint::CallOutcome::Answered { report: opened.signs, latency: None }
            }
            Err(failure) => failed_outcome(failure),
        });
        relayed.map(|opened| opened.response.status().into())
    }

    async fn exchange(
        mut self,
        context: &context::NodeContext,
    ) -> Result<endpoint::EndpointAnswer, failure::CallFailure> {
        let planned = attempt::CallAttempt::new(self.call.call.attempt);
        let started = time::Instant::now();
        self.slot.note_sent();
        let answer = self.call.send(context, planned).await;
        self.check_fence(context, answer.as_ref().err());
        if let Ok(answer) = &answer {
            self.check_leaving(context, answer.signs);
        }
        self.slot.finish(match &answer {
            Ok(answer) => {
                let latency = Some(started.elapsed());
                pool_endpoint::CallOutcome::Answered { report: answer.signs, latency }
            }
            Err(failure) => failed_outcome(failure),
        });
        answer
    }
}

impl PlacedCall {
    /// Takes the endpoint's VM as leaving if the endpoint says so, whatever the list says.
    fn check_leaving(&self, context: &context::NodeContext, signs: endpoint_lifecycle::SelfReport) {
        let catalog = context.tables.catalog();
        let Some(declaration) = catalog.endpoint(self.endpoint()) else { return };
        if signs.leaving && context.tables.leaving_vms.lock().record_leaving(&declaration.vm) {
            log::info!(endpoint = self.endpoint().as_ref(); "owner: the endpoint is leaving");
            context.tables.changed.notify(usize::MAX);
        }
    }

    /// Gives the ownership up if the endpoint has seen a newer fencing token.
    fn check_fence(&self, context: &context::NodeContext, failure: Option<&failure::CallFailure>) {
        if failure.is_none_or(|failure| failure.problem() != types::ProblemKind::StaleFence) {
            return;
        }
        log::warn!(endpoint = self.endpoint().as_ref(); "owner: a newer owner was found");
        context.tables.ownership.lock().lose(self.endpoint(), time::Instant::now());
        context.tables.changed.notify(usize::MAX);
    }
}

/// Passes the tokens of an endpoint on until the explicit end.
async fn relay_events(
    opened: &mut endpoint::EndpointStream,
    cursor: &mut stream::StreamCursor,
    sender: &frames::FrameSender,
    deadline: time::Instant,
) -> Result<(), failure::CallFailure> {
    let mut events = frames::EndpointEventReader::new(&mut opened.response, deadline);
    loop {
        match events.next().await? {
            frames::EndpointEvent::Tokens(chunk) => {
                let action = cursor.accept(&chunk).map_err(frames::invalid_stream)?;
                if action == stream::ChunkAction::Deliver {
                    let sent = sender.send(types::StageFrame::Token { chunk }).await;
                    sent.map_err(|_| frames::receiver_closed())?;
                }
            }
            frames::EndpointEvent::End(end) => {
                return cursor.finish(&end).map_err(frames::invalid_stream);
            }
        }
    }
}

fn failed_outcome(failure: &failure::CallFailure) -> pool_endpoint::CallOutcome {
    use types::{CallVerdict as Verdict, ProblemKind as Kind};
    match (failure.problem(), failure.verdict()) {
        _ if failure.crashed() => pool_endpoint::CallOutcome::Crashed,
        (Kind::Timeout, _) => pool_endpoint::CallOutcome::TimedOut,
        (Kind::StaleFence, _) => pool_endpoint::CallOutcome::Unsent,
        (Kind::Unavailable, Verdict::NotRun) => pool_endpoint::CallOutcome::Unreachable,
        (Kind::Unavailable, _) => pool_endpoint::CallOutcome::Abandoned,
        (_, Verdict::NotRun) => pool_endpoint::CallOutcome::Refused,
        _ => pool_endpoint::CallOutcome::Failed,
    }
}
