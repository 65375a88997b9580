//! Handler of callers' requests: plans each request, runs it and responds.

use super::{call_plan, state, stream_run, unary_run};
use crate::{
    membership::crash_notice,
    runtime::caller_request,
    transport::{deadline, failure, http_message, http_server},
};
use comfreyspread_platform::request_head;
use comfreyspread_policy::endpoint_intake;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use http::StatusCode;
use std::{
    sync::{self, atomic},
    time,
};

/// Minimum retry delay returned to a caller whose request has not run.
pub const RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
/// Time before a request's deadline at which it times out.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(20);
/// Time before the end of a planned stop at which requests that have not been sent are answered.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(250);
/// Time before the end of a planned stop at which requests in progress are given up.
const GIVE_UP_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Handles callers' requests.
pub struct CallerHandler {
    state: sync::Arc<state::GatewayState>,
}

impl CallerHandler {
    /// Creates the handler.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    async fn serve(
        &self,
        request: &http_server::ServerRequest,
        received: &mut caller_request::CallerRequest<caller_request::ReceivedState>,
    ) -> EndedCall {
        let arrived = time::Instant::now();
        let (head, body) = (request.head().clone(), request.body().clone());
        let plan = match call_plan::CallPlan::new(&self.state, head, body, arrived) {
            Ok(plan) => plan,
            Err(error) => return EndedCall::rejected(plan_error_response(&error)),
        };
        let id = plan.call.request.clone();
        received.set_id(&id);
        if !plan.try_admit(&self.state) {
            self.state.context.metrics.crashes.count_rejected();
            let part = plan.convicted_part(&self.state).map(crash_notice::format_part);
            log::warn!(request = id.as_ref(), digest = plan.digest.as_ref(),
                part = part.as_deref().unwrap_or("none"),
                whole = crash_notice::format_part(plan.whole_hash()).as_str();
                "entry: rejected, the request crashes endpoints");
            let failure = call_plan::CallPlan::crashing();
            return EndedCall::rejected(failure_response(&failure, &id));
        }
        if let Err(failure) = plan.check_stop(&self.state, arrived) {
            log::info!(request = id.as_ref(), route = plan.route.name.as_ref();
                "entry: rejected, the node stops too soon");
            return EndedCall::rejected(failure_response(&failure, &id));
        }
        let route = plan.route.clone();
        let version = plan.version;
        let response_deadline = plan.deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(plan.deadline);
        self.state.retry_budget.lock().count_request(&plan.service.name, arrived);
        let streamed = route.kind == types::RouteKind::Stream;
        let sent_mark = plan.sent_mark.clone();
        let run = async {
            if streamed {
                stream_run::run(&self.state, plan).await
            } else {
                unary_run::run(&self.state, &plan).await
            }
        };
        let timed_out = async {
            deadline::DeadlineTimer::new(response_deadline).await;
            let detail = "no response before the deadline";
            let failure = failure::CallFailure::new(types::ProblemKind::Timeout, detail);
            Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
        };
        let stopped = async { Err(self.stopped(&sent_mark).await) };
        let ended = Box::pin(run).or(timed_out).or(stopped);
        let result = request.connection_monitor().run_while_connected(ended).await;
        let elapsed = arrived.elapsed();
        match result {
            Some(Ok(response)) => {
                self.state.context.metrics.count_request(types::CallVerdict::Ran, elapsed);
                log::info!(request = id.as_ref(), route = route.name.as_ref(), version = version,
                    status = response.status().as_u16(), took_ms = elapsed.as_millis() as u64;
                    "entry: answered");
                EndedCall { ending: types::RequestEnding::Answered, response }
            }
            Some(Err(failure)) => {
                self.state.context.metrics.count_request(failure.verdict(), elapsed);
                log::info!(request = id.as_ref(), route = route.name.as_ref(), version = version,
                    verdict = failure.verdict().to_string().as_str(),
                    took_ms = elapsed.as_millis() as u64; "entry: failed. error={failure}");
                let response = failure_response(&failure, &id);
                EndedCall { ending: caller_request::failed_ending(&failure), response }
            }
            None => {
                log::info!(request = id.as_ref(), route = route.name.as_ref(),
                    took_ms = elapsed.as_millis() as u64; "entry: caller disconnected");
                let response = http_message::Response::new(StatusCode::BAD_GATEWAY);
                EndedCall { ending: types::RequestEnding::CallerGone, response }
            }
        }
    }

    /// Waits until the node is about to end, and returns the failure of a request that still waits.
    /// One that no endpoint has been sent is rejected; one that has been sent may have run, and its
    /// answer is awaited longer.
    async fn stopped(&self, sent_mark: &atomic::AtomicBool) -> failure::CallFailure {
        let drain_limit = &self.state.context.drain_limit;
        drain_limit.near(STOP_MARGIN).await;
        if !sent_mark.load(atomic::Ordering::Relaxed) {
            let detail = "the node stops before the request could be sent";
            return call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, detail);
        }
        drain_limit.near(GIVE_UP_MARGIN).await;
        let detail = "the node stops before the endpoint has answered";
        failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
            .with_verdict(types::CallVerdict::MayHaveRun)
    }
}

/// How a request ended, and its response.
struct EndedCall {
    ending: types::RequestEnding,
    response: http_message::Response,
}

impl EndedCall {
    fn rejected(response: http_message::Response) -> Self {
        Self { ending: types::RequestEnding::Rejected, response }
    }
}

impl http_server::RequestHandler for CallerHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let _active = self.state.context.track_request();
        let connection = request.connection_monitor().clone();
        let metrics = self.state.context.metrics.endings.clone();
        let mut received = caller_request::CallerRequest::new(metrics, connection);
        let EndedCall { ending, mut response } = self.serve(&request, &mut received).await;
        received.respond(ending, &mut response);
        if self.state.context.tables.phase() != types::NodePhase::Serving {
            response.insert_header("connection", "close");
        }
        response
    }

    fn refuse(&self, error: http_server::RequestError) -> http_message::Response {
        use http_server::RequestError as Error;
        let status = match error {
            Error::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Error::CutShort | Error::Malformed => StatusCode::BAD_REQUEST,
            Error::Slow => StatusCode::REQUEST_TIMEOUT,
            Error::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        };
        log::info!("entry: request could not be read. fault={error:?}");
        let mut response = http_message::Response::new(status);
        if error == Error::Busy {
            set_retry_after(&mut response, RETRY_AFTER);
        }
        response
    }

    fn record_closed(&self, cause: http_server::CloseCause) {
        self.state.context.metrics.connections.record_closed(cause);
    }

    fn panicked(&self) -> http_message::Response {
        http_message::Response::new(StatusCode::BAD_GATEWAY)
    }
}

fn plan_error_response(error: &call_plan::PlanError) -> http_message::Response {
    use call_plan::PlanError as Error;
    let status = match error {
        Error::NotInformed | Error::NoService | Error::OtherStages { .. } => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Error::Malformed(_) => StatusCode::BAD_REQUEST,
        Error::NoRoute => StatusCode::NOT_FOUND,
        Error::NoKey => StatusCode::UNAUTHORIZED,
        Error::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    };
    log::info!(status = status.as_u16(); "entry: rejected. fault={error:?}");
    let mut response = http_message::Response::new(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(&mut response, RETRY_AFTER);
    }
    response
}

/// Returns the response to a failed request. Only one that has not run gets a retry delay.
fn failure_response(
    failure: &failure::CallFailure,
    request: &ids::RequestId,
) -> http_message::Response {
    let not_run = failure.verdict() == types::CallVerdict::NotRun;
    let status = match (not_run, failure.problem()) {
        (true, _) => StatusCode::SERVICE_UNAVAILABLE,
        (false, types::ProblemKind::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        (false, _) => StatusCode::BAD_GATEWAY,
    };
    let mut response = http_message::Response::new(status);
    request_head::set_request_id(response.headers_mut(), request);
    if not_run {
        set_retry_after(&mut response, failure.retry_after().max(RETRY_AFTER));
    }
    response
}

/// Returns the retry delay of a caller whose request is rejected for a pause of its service; callers
/// are spread out after its end.
pub fn retry_after_pause(pause: time::Duration) -> time::Duration {
    endpoint_intake::with_spread(pause, &mut rand::rng()).max(RETRY_AFTER)
}

fn set_retry_after(response: &mut http_message::Response, length: time::Duration) {
    response.insert_header("retry-after", format!("{:.2}", length.as_secs_f64()));
}
