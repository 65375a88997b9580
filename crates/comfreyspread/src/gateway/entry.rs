//! Callers' requests: reading them, and answering each one way or the other.

use super::{call_plan, plain_run, state, stream_run};
use crate::transport::{deadline, failure, http_message, http_server};
use comfreyspread_platform::request_head;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use http::StatusCode;
use std::{sync, time};

/// Time after which a caller whose request has not run may come back.
pub const RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
/// Time before the end of a request's time at which its answer is given up.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(20);

/// Answers callers.
pub struct EntryHandler {
    state: sync::Arc<state::GatewayState>,
}

impl EntryHandler {
    /// Creates the handler.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    async fn serve(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let arrived = time::Instant::now();
        let (head, body) = (request.head().clone(), request.body().clone());
        let plan = match call_plan::CallPlan::new(&self.state, head, body, arrived) {
            Ok(plan) => plan,
            Err(fault) => return plan_refusal(&fault),
        };
        let id = plan.call.request.clone();
        if plan.is_convicted(&self.state) {
            log::warn!(request = id.as_ref(), digest = plan.digest.as_ref();
                "entry: refused, the request crashes endpoints");
            let detail = "the request crashes endpoints";
            return refusal(
                &call_plan::CallPlan::not_run(types::ProblemKind::Poisoned, detail),
                &id,
            );
        }
        let route = plan.route.clone();
        let version = plan.version;
        let moment = plan.deadline.checked_sub(ANSWER_MARGIN).unwrap_or(plan.deadline);
        self.state.retries.lock().count_request(&plan.service.name, arrived);
        let streamed = route.kind == types::RouteKind::Stream;
        let run = async {
            if streamed {
                stream_run::run(&self.state, plan).await
            } else {
                plain_run::run(&self.state, &plan).await
            }
        };
        let late = async {
            deadline::DeadlineTimer::new(moment).await;
            let detail = "no answer in time";
            let failure = failure::CallFailure::new(types::ProblemKind::Timeout, detail);
            Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
        };
        let answered = request.connection().during(Box::pin(run).or(late)).await;
        let took = arrived.elapsed();
        match answered {
            Some(Ok(response)) => {
                self.state.context.metrics.count_request(types::CallVerdict::Ran, took);
                log::info!(request = id.as_ref(), route = route.name.as_ref(), version = version,
                    status = response.status().as_u16(), took_ms = took.as_millis() as u64;
                    "entry: answered");
                response
            }
            Some(Err(failure)) => {
                self.state.context.metrics.count_request(failure.verdict(), took);
                log::info!(request = id.as_ref(), route = route.name.as_ref(), version = version,
                    verdict = failure.verdict().to_string().as_str(),
                    took_ms = took.as_millis() as u64; "entry: failed. error={failure}");
                refusal(&failure, &id)
            }
            None => {
                log::info!(request = id.as_ref(), route = route.name.as_ref(),
                    took_ms = took.as_millis() as u64; "entry: caller went away");
                http_message::Response::new(StatusCode::BAD_GATEWAY)
            }
        }
    }
}

impl http_server::RequestHandler for EntryHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let _active = self.state.context.track_request();
        let mut response = self.serve(&request).await;
        if self.state.context.tables.phase() != types::NodePhase::Serving {
            response.insert_header("connection", "close");
        }
        response
    }

    fn refuse(&self, fault: http_server::RequestFault) -> http_message::Response {
        use http_server::RequestFault as Fault;
        let status = match fault {
            Fault::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Fault::CutShort | Fault::Malformed => StatusCode::BAD_REQUEST,
            Fault::Slow => StatusCode::REQUEST_TIMEOUT,
            Fault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        };
        log::info!("entry: request not read. fault={fault:?}");
        let mut response = http_message::Response::new(status);
        if fault == Fault::Busy {
            set_retry_after(&mut response, RETRY_AFTER);
        }
        response
    }
}

fn plan_refusal(fault: &call_plan::PlanFault) -> http_message::Response {
    use call_plan::PlanFault as Fault;
    let status = match fault {
        Fault::NotInformed | Fault::NoService => StatusCode::SERVICE_UNAVAILABLE,
        Fault::Malformed(_) => StatusCode::BAD_REQUEST,
        Fault::NoRoute => StatusCode::NOT_FOUND,
        Fault::NoKey => StatusCode::UNAUTHORIZED,
        Fault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    };
    log::info!(status = status.as_u16(); "entry: refused. fault={fault:?}");
    let mut response = http_message::Response::new(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(&mut response, RETRY_AFTER);
    }
    response
}

/// Returns the answer to a request that failed. Only a request that has not run is refused with a
/// time to come back.
fn refusal(failure: &failure::CallFailure, request: &ids::RequestId) -> http_message::Response {
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

fn set_retry_after(response: &mut http_message::Response, length: time::Duration) {
    response.insert_header("retry-after", format!("{:.2}", length.as_secs_f64()));
}
