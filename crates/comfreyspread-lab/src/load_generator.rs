//! Open-loop load generator: sends each request when it is due, whether or not earlier ones have
//! ended, to a ready node, and retries it through another node as a load balancer does.

use crate::{caller, endpoint_stand_in};
use comfreyspread::transport::{failure, header, http_client, http_message};
use comfreyspread_schema::{ids, types as wire};
use futures_lite::{FutureExt as _, StreamExt as _};
use std::{
    net,
    sync::{self, atomic},
    time,
};

const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const MAX_ATTEMPTS: u32 = 3;
const LATE_ANSWER_WINDOW: time::Duration = time::Duration::from_secs(2);
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Result of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The whole answer arrived, on time or late.
    Answered,
    /// The answer was truncated.
    Truncated,
    /// The answer belongs to another request.
    Misrouted,
    /// Rejected with the verdict `not-run`.
    NotRun,
    /// Failed, but may have run.
    MayHaveRun,
}

/// Outcome of one request, all retries included.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Index of the request in the trace.
    pub index: usize,
    /// Time from when the request was due to its end.
    pub latency: time::Duration,
    /// Result of the last attempt, or `MayHaveRun` if that did not run but an earlier one may have.
    pub status: CallStatus,
    /// Number of retries.
    pub retries: u32,
    /// Ids of the attempts that nodes answered `not-run`.
    pub not_run_ids: Vec<ids::RequestId>,
    /// Arrival time of each token since the request was due.
    pub token_times: Vec<time::Duration>,
}

/// A request and the time to send it.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Index of the request in the trace.
    pub index: usize,
    /// Time at which to send it.
    pub due: time::Instant,
    /// Time allowed by its profile, from when it is due.
    pub deadline: time::Duration,
    /// Text that the answer must contain.
    pub marker: ids::Text,
    /// Whether the answer is streamed.
    pub streaming: bool,
    /// The call.
    pub call: caller::CallerRequest,
}

#[derive(Debug)]
struct NodeTarget {
    address: net::SocketAddr,
    ready: atomic::AtomicBool,
}

/// Sends requests to nodes that are ready.
#[derive(Debug)]
pub struct LoadGenerator {
    targets: Vec<NodeTarget>,
    client: http_client::HttpClient,
    next: atomic::AtomicUsize,
}

/// Result of one attempt of a request.
struct AttemptResult {
    status: CallStatus,
    retry: bool,
    not_run_id: Option<ids::RequestId>,
}

impl AttemptResult {
    fn new(status: CallStatus) -> Self {
        Self { status, retry: false, not_run_id: None }
    }

    fn with_retry(self) -> Self {
        Self { retry: true, ..self }
    }
}

impl LoadGenerator {
    /// Creates a load generator for nodes at `addresses`.
    pub fn new(addresses: &[net::SocketAddr]) -> Self {
        let target = |address: &net::SocketAddr| NodeTarget {
            address: *address,
            ready: atomic::AtomicBool::new(true),
        };
        Self {
            targets: addresses.iter().map(target).collect(),
            client: http_client::HttpClient::new(ANSWER_LIMIT_BYTES),
            next: atomic::AtomicUsize::new(0),
        }
    }

    /// Polls the readiness of a node until dropped.
    pub async fn poll_ready(self: sync::Arc<Self>, index: usize) {
        let Some(target) = self.targets.get(index) else { return };
        loop {
            let url = format!("http://{}/readyz", target.address);
            let request = http_message::Request::new(http::Method::GET, url.as_str());
            let deadline = time::Instant::now() + READY_POLL_INTERVAL;
            let connection = http_client::ConnectionUse::Fresh;
            let answer = self.client.call(target.address, request, connection, deadline).await;
            let ready = answer.is_ok_and(|answer| answer.status() == 200);
            target.ready.store(ready, atomic::Ordering::Relaxed);
            async_io::Timer::after(READY_POLL_INTERVAL).await;
        }
    }

    /// Sends a request, retries it if allowed, and returns its outcome.
    pub async fn send(&self, request: &ScheduledRequest) -> CallOutcome {
        let mut outcome = CallOutcome {
            index: request.index,
            latency: time::Duration::ZERO,
            status: CallStatus::MayHaveRun,
            retries: 0,
            not_run_ids: Vec::new(),
            token_times: Vec::new(),
        };
        let mut may_have_run = false;
        loop {
            outcome.token_times.clear();
            let node = self.select_node();
            let result = self.send_attempt(node, request, &mut outcome.token_times).await;
            outcome.not_run_ids.extend(result.not_run_id);
            outcome.status = result.status;
            may_have_run |= result.status == CallStatus::MayHaveRun;
            let expired = request.due.elapsed() >= request.deadline;
            if !result.retry || expired || outcome.retries + 1 >= MAX_ATTEMPTS {
                break;
            }
            outcome.retries += 1;
            async_io::Timer::after(RETRY_DELAY).await;
        }
        if may_have_run && outcome.status == CallStatus::NotRun {
            outcome.status = CallStatus::MayHaveRun;
        }
        outcome.latency = request.due.elapsed();
        outcome
    }

    fn select_node(&self) -> net::SocketAddr {
        let first = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let candidates =
            (0..self.targets.len()).map(|offset| (first + offset) % self.targets.len());
        let mut ready =
            candidates.filter(|index| self.targets[*index].ready.load(atomic::Ordering::Relaxed));
        self.targets[ready.next().unwrap_or(first % self.targets.len())].address
    }

    async fn send_attempt(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        token_times: &mut Vec<time::Duration>,
    ) -> AttemptResult {
        let latest = request.due + request.deadline + LATE_ANSWER_WINDOW;
        let result = if request.streaming {
            self.send_stream(node, request, token_times, latest).await
        } else {
            self.send_unary(node, request, latest).await
        };
        result.unwrap_or_else(|failure| {
            let status = match failure.verdict() {
                wire::CallVerdict::NotRun => CallStatus::NotRun,
                _ => CallStatus::MayHaveRun,
            };
            AttemptResult::new(status).with_retry()
        })
    }

    async fn send_unary(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        latest: time::Instant,
    ) -> Result<AttemptResult, failure::CallFailure> {
        let connection = if request.call.key.is_some() {
            http_client::ConnectionUse::Fresh
        } else {
            http_client::ConnectionUse::Pooled
        };
        let message = caller::http_request(node, &request.call);
        let answer = self.client.call(node, message, connection, latest).await?;
        let answer = NodeAnswer {
            status: answer.status(),
            verdict: answer.header(header::VERDICT).map(Into::into),
            request: answer.header(header::REQUEST).map(Into::into),
            body: answer.body().clone(),
        };
        Ok(classify_answer(answer, &request.marker))
    }

    async fn send_stream(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        token_times: &mut Vec<time::Duration>,
        latest: time::Instant,
    ) -> Result<AttemptResult, failure::CallFailure> {
        let mut message = caller::http_request(node, &request.call);
        message.insert_header("accept", header::EVENT_STREAM);
        let mut response = self.client.call_streaming(node, message, latest).await?;
        let header_text = |name: &str| response.header(name).map(Into::into);
        let media: Option<ids::Text> = header_text("content-type");
        let streamed = media.is_some_and(|media| media.starts_with(header::EVENT_STREAM));
        if response.status() != 200 || !streamed {
            let status = response.status().into();
            let verdict = header_text(header::VERDICT);
            let id = header_text(header::REQUEST);
            let body = self.client.read_body(&mut response).await.unwrap_or_default();
            let answer = NodeAnswer { status, verdict, request: id, body };
            return Ok(classify_answer(answer, &request.marker));
        }
        let read = read_tokens(response, request, token_times);
        let timeout = async {
            async_io::Timer::at(latest).await;
            CallStatus::MayHaveRun
        };
        Ok(AttemptResult::new(read.or(timeout).await))
    }
}

/// A complete answer of a node.
struct NodeAnswer {
    status: u16,
    verdict: Option<ids::Text>,
    request: Option<ids::RequestId>,
    body: ids::Payload,
}

/// Returns the result of an attempt from the answer of a node; a correct one contains `marker`.
fn classify_answer(answer: NodeAnswer, marker: &str) -> AttemptResult {
    if answer.status == 200 {
        return AttemptResult::new(check_answer(&answer.body, marker));
    }
    if answer.verdict.as_deref() != Some("not-run") {
        return AttemptResult::new(CallStatus::MayHaveRun).with_retry();
    }
    let problem = serde_json::from_slice::<wire::ProblemBody>(&answer.body);
    let kind = problem.map_or(wire::ProblemKind::Internal, |problem| problem.kind);
    let rejection =
        AttemptResult { not_run_id: answer.request, ..AttemptResult::new(CallStatus::NotRun) };
    if is_retryable(kind) { rejection.with_retry() } else { rejection }
}

/// Whether another node may serve a request that one rejected for this reason.
fn is_retryable(kind: wire::ProblemKind) -> bool {
    use wire::ProblemKind as Kind;
    matches!(
        kind,
        Kind::Draining
            | Kind::Internal
            | Kind::NotOwner
            | Kind::StoreUnavailable
            | Kind::Unavailable
    )
}

fn check_answer(body: &[u8], marker: &str) -> CallStatus {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        return CallStatus::Truncated;
    };
    let markers = [&answer["marker"], &answer["answer"]["marker"]];
    if markers.iter().any(|value| value.as_str() == Some(marker)) {
        CallStatus::Answered
    } else {
        CallStatus::Misrouted
    }
}

async fn read_tokens(
    mut response: http_message::Response,
    request: &ScheduledRequest,
    token_times: &mut Vec<time::Duration>,
) -> CallStatus {
    let mut events = async_sse::decode(response.take_body());
    let mut expected = 0;
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else { continue };
        if message.name() == "token" {
            let Ok(chunk) = serde_json::from_slice::<wire::TokenChunk>(message.data()) else {
                return CallStatus::Truncated;
            };
            let next = expected + u64::from(chunk.count);
            let text = (expected..next)
                .map(|offset| endpoint_stand_in::token_text(Some(&request.marker), offset))
                .fold(String::new(), |text, token| text + &token);
            if chunk.offset != expected || *chunk.text != *text {
                return CallStatus::Misrouted;
            }
            expected = next;
            token_times.push(request.due.elapsed());
        } else if message.name() == "end" {
            let end = serde_json::from_slice::<wire::StreamEnd>(message.data());
            let complete = end.is_ok_and(|end| end.tokens == expected);
            return if complete { CallStatus::Answered } else { CallStatus::Truncated };
        } else if message.name() == "error" {
            return CallStatus::MayHaveRun;
        }
    }
    CallStatus::Truncated
}
