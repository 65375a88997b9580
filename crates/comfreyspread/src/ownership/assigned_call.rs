//! Calls with a slot at an endpoint.
//!
//! Right before a call is sent, the node checks again that it still owns the endpoint and that the
//! endpoint is in service; if not, the call returns to the queue.

use crate::{
    ingress::frames,
    ownership::{call_slot, endpoint_client, scheduler_sync},
    runtime::context,
    transport::failure,
};
use comfreyspread_policy::{attempt, endpoint_lifecycle, pool_endpoint, stream};
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A call that has a slot at an endpoint and has not been sent yet.
#[derive(Debug)]
pub struct AssignedCall {
    slot: call_slot::CallSlot,
    call: endpoint_client::EndpointCall,
}

impl AssignedCall {
    /// Waits for a slot at an endpoint that this node may still send to.
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
            let slot = call_slot::CallSlot::acquire(context, &call, deadline).await?;
            let now = time::Instant::now();
            let catalog = context.tables.catalog();
            let declaration = catalog.endpoint(slot.endpoint());
            let fencing_token = scheduler_sync::permit(context, &catalog, slot.endpoint(), now);
            let (Some(declaration), Some(fencing_token)) = (declaration, fencing_token) else {
                slot.close_endpoint();
                continue;
            };
            call.time_left = deadline.saturating_duration_since(now);
            let address = declaration.address;
            let call = sync::Arc::new(call);
            let call = endpoint_client::EndpointCall { address, fencing_token, call, deadline };
            return Ok(Self { slot, call });
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> &ids::EndpointId {
        self.slot.endpoint()
    }

    /// Sends the call and reads the whole response.
    ///
    /// If the future is dropped, an idempotent call is cancelled; any other continues.
    ///
    /// # Errors
    ///
    /// Fails like [`endpoint_client::EndpointCall::send`].
    pub async fn send(
        self,
        context: &sync::Arc<context::NodeContext>,
    ) -> Result<endpoint_client::EndpointResponse, failure::CallFailure> {
        if self.call.call.idempotent {
            return self.exchange(context).await;
        }
        let (sender, receiver) = async_channel::bounded(1);
        let task_context = context.clone();
        context.spawner.detach(async move {
            let response = self.exchange(&task_context).await;
            sender.try_send(response).ok();
        });
        receiver.recv().await.unwrap_or_else(|_| {
            let detail = "the node stopped while the call was in flight";
            Err(failure::CallFailure::new(types::ProblemKind::Internal, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        })
    }

    /// Sends the call, relays the tokens of the response up to its explicit end and returns the
    /// HTTP status.
    ///
    /// # Errors
    ///
    /// Fails like [`endpoint_client::EndpointCall::open`], and if the stream breaks off or its
    /// receiver is dropped.
    pub async fn relay(
        mut self,
        context: &context::NodeContext,
        cursor: &mut stream::StreamCursor,
        sender: &frames::FrameSender,
    ) -> Result<u16, failure::CallFailure> {
        let planned = attempt::CallAttempt::new(self.call.call.attempt);
        self.slot.mark_sent();
        let relayed = async {
            let mut opened = self.call.open(context, planned).await?;
            self.slot.record_report(opened.report);
            self.check_leaving(context, opened.report);
            relay_events(&mut opened, cursor, sender, self.call.deadline).await?;
            Ok(opened)
        };
        let relayed = relayed.await;
        self.check_fence(context, relayed.as_ref().err());
        self.slot.finish(match &relayed {
            Ok(opened) => {
                pool_endpoint::CallOutcome::Answered { report: opened.report, latency: None }
            }
            Err(failure) => failed_outcome(failure),
        });
        relayed.map(|opened| opened.response.status().into())
    }

    async fn exchange(
        mut self,
        context: &context::NodeContext,
    ) -> Result<endpoint_client::EndpointResponse, failure::CallFailure> {
        let planned = attempt::CallAttempt::new(self.call.call.attempt);
        let started = time::Instant::now();
        self.slot.mark_sent();
        let response = self.call.send(context, planned).await;
        self.check_fence(context, response.as_ref().err());
        if let Ok(response) = &response {
            self.check_leaving(context, response.report);
        }
        self.slot.finish(match &response {
            Ok(response) => {
                let latency = Some(started.elapsed());
                pool_endpoint::CallOutcome::Answered { report: response.report, latency }
            }
            Err(failure) => failed_outcome(failure),
        });
        response
    }
}

impl AssignedCall {
    /// Marks the endpoint's VM as leaving if the endpoint reports it, even if the list of VMs does
    /// not.
    fn check_leaving(
        &self,
        context: &context::NodeContext,
        report: endpoint_lifecycle::SelfReport,
    ) {
        let catalog = context.tables.catalog();
        let Some(declaration) = catalog.endpoint(self.endpoint()) else { return };
        if report.leaving && context.tables.leaving_vms.lock().record_leaving(&declaration.vm) {
            log::info!(endpoint = self.endpoint().as_ref(); "owner: endpoint is leaving");
            context.tables.changed.notify(usize::MAX);
        }
    }

    /// Drops the ownership if the endpoint has seen a newer fencing token.
    fn check_fence(&self, context: &context::NodeContext, failure: Option<&failure::CallFailure>) {
        if failure.is_none_or(|failure| failure.problem() != types::ProblemKind::StaleFence) {
            return;
        }
        log::warn!(endpoint = self.endpoint().as_ref(); "owner: endpoint has a newer owner");
        context.tables.ownership.lock().lose(self.endpoint(), time::Instant::now());
        context.tables.changed.notify(usize::MAX);
    }
}

/// Relays the tokens of an endpoint up to the explicit end of the stream.
async fn relay_events(
    opened: &mut endpoint_client::EndpointStream,
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
