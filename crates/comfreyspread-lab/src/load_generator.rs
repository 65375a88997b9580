//! Callers of a replay: they send each request when it is due, whatever the state of the others,
//! through nodes that are ready, and send it again through another node as a balancer would.

use crate::{caller, stand_in};
use comfreyspread::transport::{failure, header, http_client, http_message};
use comfreyspread_schema::{ids, types as wire};
use futures_lite::{FutureExt as _, StreamExt as _};
use std::{
    net,
    sync::{self, atomic},
    time,
};

const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const MOST_SENDS: u32 = 3;
const LATE_ALLOWANCE: time::Duration = time::Duration::from_secs(2);
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);
const READY_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStatus {
    /// The whole answer came, in time or late.
    Answered,
    /// An answer came that was cut short.
    Truncated,
    /// An answer came that belongs to another request.
    Misrouted,
    /// Refused with the verdict `not-run`.
    NotRun,
    /// Failed, and may have run.
    MayHaveRun,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Index of the request in the trace.
    pub index: usize,
    /// Time from the moment it was due to the end.
    pub latency: time::Duration,
    /// How it ended.
    pub status: CallStatus,
    /// Times it was sent after the first.
    pub retries: u32,
    /// Requests that nodes answered `not-run`.
    pub not_run_ids: Vec<ids::RequestId>,
    /// Moments of the tokens since the request was due.
    pub token_times: Vec<time::Duration>,
}

/// One request as the driver sends it.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Index of the request in the trace.
    pub index: usize,
    /// Moment it is due.
    pub due: time::Instant,
    /// Time its profile allows.
    pub deadline: time::Duration,
    /// Text that its answer has to carry.
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

/// How one sending of a request ended.
struct SendResult {
    status: CallStatus,
    retry: bool,
    not_run_id: Option<ids::RequestId>,
}

impl SendResult {
    fn new(status: CallStatus) -> Self {
        Self { status, retry: false, not_run_id: None }
    }

    fn with_retry(self) -> Self {
        Self { retry: true, ..self }
    }
}

impl LoadGenerator {
    /// Creates a driver for nodes at `addresses`.
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

    /// Asks each node at intervals whether it is ready, until dropped.
    pub async fn watch(self: sync::Arc<Self>, index: usize) {
        let Some(target) = self.targets.get(index) else { return };
        loop {
            let url = format!("http://{}/readyz", target.address);
            let request = http_message::Request::new(http::Method::GET, url.as_str());
            let deadline = time::Instant::now() + READY_INTERVAL;
            let connection = http_client::ConnectionUse::Fresh;
            let answer = self.client.call(target.address, request, connection, deadline).await;
            let ready = answer.is_ok_and(|answer| answer.status() == 200);
            target.ready.store(ready, atomic::Ordering::Relaxed);
            async_io::Timer::after(READY_INTERVAL).await;
        }
    }

    /// Sends a request, again if that is right, and returns what became of it.
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
            let node = self.choose();
            let result = self.send_once(node, request, &mut outcome.token_times).await;
            outcome.not_run_ids.extend(result.not_run_id);
            outcome.status = result.status;
            may_have_run |= result.status == CallStatus::MayHaveRun;
            let over = request.due.elapsed() >= request.deadline;
            if !result.retry || over || outcome.retries + 1 >= MOST_SENDS {
                break;
            }
            outcome.retries += 1;
            async_io::Timer::after(RETRY_PAUSE).await;
        }
        if may_have_run && outcome.status == CallStatus::NotRun {
            outcome.status = CallStatus::MayHaveRun;
        }
        outcome.latency = request.due.elapsed();
        outcome
    }

    fn choose(&self) -> net::SocketAddr {
        let first = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let order = (0..self.targets.len()).map(|step| (first + step) % self.targets.len());
        let mut ready =
            order.filter(|index| self.targets[*index].ready.load(atomic::Ordering::Relaxed));
        self.targets[ready.next().unwrap_or(first % self.targets.len())].address
    }

    async fn send_once(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        token_times: &mut Vec<time::Duration>,
    ) -> SendResult {
        let limit = request.due + request.deadline + LATE_ALLOWANCE;
        let sent = if request.streaming {
            self.send_stream(node, request, token_times, limit).await
        } else {
            self.send_whole(node, request, limit).await
        };
        sent.unwrap_or_else(|failure| {
            let status = match failure.verdict() {
                wire::CallVerdict::NotRun => CallStatus::NotRun,
                _ => CallStatus::MayHaveRun,
            };
            SendResult::new(status).with_retry()
        })
    }

    async fn send_whole(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        limit: time::Instant,
    ) -> Result<SendResult, failure::CallFailure> {
        let connection = if request.call.key.is_some() {
            http_client::ConnectionUse::Fresh
        } else {
            http_client::ConnectionUse::Shared
        };
        let message = caller::http_request(node, &request.call);
        let answer = self.client.call(node, message, connection, limit).await?;
        let answer = NodeAnswer {
            status: answer.status(),
            verdict: answer.header(header::VERDICT).map(Into::into),
            request: answer.header(header::REQUEST).map(Into::into),
            body: answer.body().clone(),
        };
        Ok(judge(answer, &request.marker))
    }

    async fn send_stream(
        &self,
        node: net::SocketAddr,
        request: &ScheduledRequest,
        token_times: &mut Vec<time::Duration>,
        limit: time::Instant,
    ) -> Result<SendResult, failure::CallFailure> {
        let mut message = caller::http_request(node, &request.call);
        message.insert_header("accept", header::EVENT_STREAM);
        let mut response = self.client.open(node, message, limit).await?;
        let value = |name: &str| response.header(name).map(Into::into);
        let media: Option<ids::Text> = value("content-type");
        let streamed = media.is_some_and(|media| media.starts_with(header::EVENT_STREAM));
        if response.status() != 200 || !streamed {
            let status = response.status().into();
            let verdict = value(header::VERDICT);
            let id = value(header::REQUEST);
            let body = http_client::read_whole(&mut response.take_body(), ANSWER_LIMIT_BYTES)
                .await
                .unwrap_or_default();
            let answer = NodeAnswer { status, verdict, request: id, body };
            return Ok(judge(answer, &request.marker));
        }
        let read = read_tokens(response, request, token_times);
        let late = async {
            async_io::Timer::at(limit).await;
            CallStatus::MayHaveRun
        };
        Ok(SendResult::new(read.or(late).await))
    }
}

/// A whole answer of a node.
struct NodeAnswer {
    status: u16,
    verdict: Option<ids::Text>,
    request: Option<ids::RequestId>,
    body: ids::Payload,
}

/// Judges the answer of a node to a request whose own answer carries `marker`.
fn judge(answer: NodeAnswer, marker: &str) -> SendResult {
    if answer.status == 200 {
        return SendResult::new(check_whole(&answer.body, marker));
    }
    if answer.verdict.as_deref() != Some("not-run") {
        return SendResult::new(CallStatus::MayHaveRun).with_retry();
    }
    let problem = serde_json::from_slice::<wire::ProblemBody>(&answer.body);
    let kind = problem.map_or(wire::ProblemKind::Internal, |problem| problem.kind);
    let refusal = SendResult { not_run_id: answer.request, ..SendResult::new(CallStatus::NotRun) };
    if helps_elsewhere(kind) { refusal.with_retry() } else { refusal }
}

/// Whether another node may answer a request that one refused.
fn helps_elsewhere(kind: wire::ProblemKind) -> bool {
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

fn check_whole(body: &[u8], marker: &str) -> CallStatus {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(body) else {
        return CallStatus::Truncated;
    };
    let found = [&answer["marker"], &answer["answer"]["marker"]];
    if found.iter().any(|value| value.as_str() == Some(marker)) {
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
            let Ok(run) = serde_json::from_slice::<wire::TokenChunk>(message.data()) else {
                return CallStatus::Truncated;
            };
            let next = expected + u64::from(run.count);
            let text = (expected..next)
                .map(|offset| stand_in::token_text(Some(&request.marker), offset))
                .fold(String::new(), |text, token| text + &token);
            if run.offset != expected || *run.text != *text {
                return CallStatus::Misrouted;
            }
            expected = next;
            token_times.push(request.due.elapsed());
        } else if message.name() == "end" {
            let end = serde_json::from_slice::<wire::StreamEnd>(message.data());
            let whole = end.is_ok_and(|end| end.tokens == expected);
            return if whole { CallStatus::Answered } else { CallStatus::Truncated };
        } else if message.name() == "error" {
            return CallStatus::MayHaveRun;
        }
    }
    CallStatus::Truncated
}
