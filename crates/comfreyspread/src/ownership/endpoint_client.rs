//! Client of endpoints: model engines, encoders, retrievers, rerankers and plain services.
//!
//! An endpoint echoes the request id and the attempt of each call. A response that echoes other
//! values is dropped and its connection closed, so that no request can receive the response to
//! another one.

use crate::{
    runtime::context,
    transport::{failure, header, http_client, http_message},
};
use comfreyspread_policy::{attempt, endpoint_lifecycle};
use comfreyspread_schema::{ids, types};
use http::Method;
use std::{net, sync, time};

const STALE_FENCE_STATUS: u16 = 412;
const FIRST_SERVER_ERROR_STATUS: u16 = 500;

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Fencing token of the sender's ownership; zero if there is none.
    pub fencing_token: ids::FencingToken,
    /// The call.
    pub call: sync::Arc<types::StageCall>,
    /// Time after which the response is of no use.
    pub deadline: time::Instant,
}

/// Complete response of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: ids::Payload,
    /// What the endpoint reports about itself.
    pub report: endpoint_lifecycle::SelfReport,
}

/// Streamed response of an endpoint.
#[derive(Debug)]
pub struct EndpointStream {
    /// Head and unread body of the response.
    pub response: http_message::Response,
    /// What the endpoint reports about itself.
    pub report: endpoint_lifecycle::SelfReport,
}

impl EndpointCall {
    /// Sends the call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails with the verdict that follows from the endpoint's response or from its absence.
    pub async fn send(
        &self,
        context: &context::NodeContext,
        planned: attempt::CallAttempt<attempt::PlannedState>,
    ) -> Result<EndpointResponse, failure::CallFailure> {
        let connection = if self.call.idempotent {
            http_client::ConnectionUse::Pooled
        } else {
            http_client::ConnectionUse::Fresh
        };
        let sent = planned.send();
        let framing = http_client::BodyFraming::Explicit;
        let client = &context.client;
        let held =
            client.call_held(self.address, self.request(), connection, framing, self.deadline);
        let held = held.await.inspect_err(|failure| {
            context.metrics.count_attempt(failure.verdict());
        })?;
        let response = held.response();
        let echo = EchoHeaders {
            request: response.header(header::REQUEST),
            attempt: response.header(header::ATTEMPT),
        };
        self.check_echo(&echo)?;
        let response = held.release();
        check_status(response.status(), response.header(header::VERDICT))?;
        context.metrics.count_attempt(sent.complete().verdict());
        let report = self_report(|name| response.header(name));
        Ok(EndpointResponse { status: response.status(), body: response.body().clone(), report })
    }

    /// Sends the call and returns once the first bytes of a streamed response have arrived.
    ///
    /// # Errors
    ///
    /// Fails like [`EndpointCall::send`].
    pub async fn open(
        &self,
        context: &context::NodeContext,
        planned: attempt::CallAttempt<attempt::PlannedState>,
    ) -> Result<EndpointStream, failure::CallFailure> {
        let _sent = planned.send();
        let response =
            context.client.call_streaming(self.address, self.request(), self.deadline).await?;
        let value = |name: &str| response.header(name);
        let echo = EchoHeaders { request: value(header::REQUEST), attempt: value(header::ATTEMPT) };
        self.check_echo(&echo)?;
        check_status(response.status().into(), value(header::VERDICT))?;
        let report = self_report(value);
        Ok(EndpointStream { response, report })
    }

    fn request(&self) -> http_message::Request {
        let call = &*self.call;
        let url = format!("http://{}/v1/stages/{}", self.address, call.target);
        let mut request = http_message::Request::new(Method::POST, url.as_str());
        request.set_body(call.body.to_vec());
        request.insert_header("content-type", header::JSON);
        request.insert_header(header::REQUEST, &*call.request);
        request.insert_header(header::WORKSPACE, &*call.workspace);
        request.insert_header(header::ATTEMPT, call.attempt.to_string());
        request.insert_header(header::PRIORITY, call.priority.to_string());
        request.insert_header(header::BUDGET_MS, call.time_left.as_millis().to_string());
        if let Some(key) = &call.idempotency_key {
            request.insert_header(header::IDEMPOTENCY_KEY, &**key);
        }
        if self.fencing_token > 0 {
            request.insert_header(header::FENCING_TOKEN, self.fencing_token.to_string());
        }
        if call.prefix_hash > 0 {
            request.insert_header(header::PREFIX, call.prefix_hash.to_string());
        }
        if call.streaming {
            request.insert_header("accept", header::EVENT_STREAM);
            request.insert_header(header::OFFSET, call.offset.to_string());
        }
        request
    }

    /// Checks that a response answers this call; any other, a refusal too, says nothing about it.
    fn check_echo(&self, echo: &EchoHeaders<'_>) -> Result<(), failure::CallFailure> {
        let attempt = echo.attempt.and_then(|value| value.parse().ok());
        if echo.request != Some(&*self.call.request) || attempt != Some(self.call.attempt) {
            return Err(failure_after_send("the endpoint answered another call"));
        }
        Ok(())
    }
}

/// Checks the status of the response to a call.
fn check_status(status: u16, verdict: Option<&str>) -> Result<(), failure::CallFailure> {
    if status < FIRST_SERVER_ERROR_STATUS && status != STALE_FENCE_STATUS {
        return Ok(());
    }
    if status == STALE_FENCE_STATUS {
        let detail = "the endpoint has seen a newer fencing number";
        return Err(failure::CallFailure::new(types::ProblemKind::StaleFence, detail));
    }
    if verdict == Some("not-run") {
        let detail = "the endpoint refused the call";
        return Err(failure::CallFailure::new(types::ProblemKind::Overloaded, detail));
    }
    Err(failure_after_send(&format!("the endpoint answered with status {status}")))
}

struct EchoHeaders<'response> {
    request: Option<&'response str>,
    attempt: Option<&'response str>,
}

/// Reads the report of an endpoint about itself from the response headers.
fn self_report<'response>(
    value: impl Fn(&str) -> Option<&'response str>,
) -> endpoint_lifecycle::SelfReport {
    endpoint_lifecycle::SelfReport {
        start_id: value(header::ENGINE_START).and_then(|text| text.parse().ok()),
        cold: value(header::ENGINE_COLD).and_then(|text| text.parse().ok()),
        leaving: value(header::ENGINE_LEAVING) == Some("true"),
    }
}

fn failure_after_send(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
}
