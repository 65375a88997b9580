//! Client of endpoints: model engines, encoders, retrievers, rerankers and plain services.
//!
//! An endpoint echoes the request id and the attempt of each call. An answer that echoes anything
//! else is dropped, so an answer can never be handed to another request.

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

/// One call as it is put to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Fencing token of the sender's ownership; zero if it has none.
    pub fence: ids::FencingToken,
    /// The call.
    pub call: sync::Arc<types::StageCall>,
    /// Moment after which no answer is wanted.
    pub deadline: time::Instant,
}

/// Whole answer of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: ids::Payload,
    /// What the endpoint says of itself.
    pub signs: endpoint_lifecycle::SelfReport,
}

/// An answer whose tokens are still to come.
#[derive(Debug)]
pub struct EndpointStream {
    /// Head and body of the answer.
    pub response: http_message::Response,
    /// What the endpoint says of itself.
    pub signs: endpoint_lifecycle::SelfReport,
}

impl EndpointCall {
    /// Sends the call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with the verdict that the endpoint's answer, or its absence, allows.
    pub async fn send(
        &self,
        context: &context::NodeContext,
        planned: attempt::CallAttempt<attempt::PlannedState>,
    ) -> Result<EndpointAnswer, failure::CallFailure> {
        let connection = if self.call.idempotent {
            http_client::ConnectionUse::Pooled
        } else {
            http_client::ConnectionUse::Fresh
        };
        let sent = planned.send();
        let answer =
            context.client.call(self.address, self.request(), connection, self.deadline).await;
        let answer = answer.inspect_err(|failure| {
            context.metrics.count_attempt(failure.verdict());
        })?;
        let echo = Echo {
            request: answer.header(header::REQUEST),
            attempt: answer.header(header::ATTEMPT),
        };
        self.check(&echo, answer.status(), answer.header(header::VERDICT))?;
        context.metrics.count_attempt(sent.complete().verdict());
        let signs = signs(|name| answer.header(name));
        Ok(EndpointAnswer { status: answer.status(), body: answer.body().clone(), signs })
    }

    /// Sends the call and returns once the first bytes of a streamed answer have come.
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
        let echo = Echo { request: value(header::REQUEST), attempt: value(header::ATTEMPT) };
        self.check(&echo, response.status().into(), value(header::VERDICT))?;
        let signs = signs(value);
        Ok(EndpointStream { response, signs })
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
        if self.fence > 0 {
            request.insert_header(header::FENCING_TOKEN, self.fence.to_string());
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

    fn check(
        &self,
        echo: &Echo<'_>,
        status: u16,
        verdict: Option<&str>,
    ) -> Result<(), failure::CallFailure> {
        let attempt = echo.attempt.and_then(|value| value.parse().ok());
        if echo.request != Some(&*self.call.request) || attempt != Some(self.call.attempt) {
            return Err(failed("the endpoint answered another call"));
        }
        if status < FIRST_SERVER_ERROR_STATUS && status != STALE_FENCE_STATUS {
            return Ok(());
        }
        let not_run = verdict == Some("not-run");
        if status == STALE_FENCE_STATUS {
            let detail = "the endpoint has seen a newer fencing number";
            return Err(failure::CallFailure::new(types::ProblemKind::StaleFence, detail));
        }
        if not_run {
            let detail = "the endpoint refused the call";
            return Err(failure::CallFailure::new(types::ProblemKind::Overloaded, detail));
        }
        Err(failed(&format!("the endpoint answered with status {status}")))
    }
}

struct Echo<'answer> {
    request: Option<&'answer str>,
    attempt: Option<&'answer str>,
}

/// Reads what an endpoint says of itself.
fn signs<'answer>(value: impl Fn(&str) -> Option<&'answer str>) -> endpoint_lifecycle::SelfReport {
    endpoint_lifecycle::SelfReport {
        start_id: value(header::ENGINE_START).and_then(|text| text.parse().ok()),
        cold: value(header::ENGINE_COLD).and_then(|text| text.parse().ok()),
        leaving: value(header::ENGINE_LEAVING) == Some("true"),
    }
}

fn failed(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
}
