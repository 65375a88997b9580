//! Stand-in for one endpoint: a model engine or a plain service.
//!
//! A call takes the call time of its pool, plus a share of it for each other call in flight, as with
//! batching. While it is cold, an endpoint has capacity for its pool's cold limit of calls, then for
//! the warm limit. Calls beyond the limit are recorded as such, are slowed down and do not count
//! toward the warm-up.

use crate::{call_log, fault, stand_in_server, types};
use async_io::Timer;
use comfreyspread::{
    runtime::{lock_rank, worker},
    transport::{header, http_body, http_message, http_server},
};
use comfreyspread_schema::{ids, types as wire};
use http::StatusCode;
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{sync, time};

const COLD_OVERLOAD_SLOWDOWN: u32 = 4;
const WARM_OVERLOAD_SLOWDOWN: u32 = 2;
const LOAD_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
const PERCENT: f64 = 100.0;

/// Mutable state of an endpoint.
#[derive(Debug)]
struct EndpointState {
    start_id: ids::ProcessStartId,
    running: u32,
    successes: u32,
    highest_fencing_token: ids::FencingToken,
    faults: types::EndpointFaults,
    rng: rngs::SmallRng,
    last_report: Option<LoadSample>,
    is_leaving: bool,
}

/// Number of calls in flight at an earlier time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    running: u32,
    sampled_at: time::Instant,
}

impl EndpointState {
    fn new(endpoint: &ids::EndpointId, seed: u64) -> Self {
        let faults = fault::no_faults(endpoint);
        Self {
            start_id: rand::random(),
            running: 0,
            successes: 0,
            highest_fencing_token: 0,
            faults,
            rng: rngs::SmallRng::seed_from_u64(seed),
            last_report: None,
            is_leaving: false,
        }
    }

    /// Simulates a restart: a new start id and a cold cache.
    fn restart(&mut self) {
        self.start_id = rand::random();
        self.successes = 0;
    }

    /// Returns the number of calls in flight as last reported, at most [`LOAD_REPORT_INTERVAL`] ago.
    fn reported_load(&mut self) -> u32 {
        let recent =
            self.last_report.filter(|sample| sample.sampled_at.elapsed() < LOAD_REPORT_INTERVAL);
        let sample = recent
            .unwrap_or(LoadSample { running: self.running, sampled_at: time::Instant::now() });
        self.last_report = Some(sample);
        sample.running
    }
}

/// One simulated endpoint.
#[derive(Debug)]
pub struct EndpointStandIn {
    endpoint: wire::EndpointDeclaration,
    pool: wire::PoolDeclaration,
    times: types::PoolTimes,
    log: sync::Arc<call_log::CallLog>,
    spawner: worker::TaskSpawner,
    state: lock_rank::RankedLock<lock_rank::PoolRank, EndpointState>,
}

/// A call that an endpoint is running.
#[derive(Debug)]
struct RunningCall {
    stand_in: sync::Arc<EndpointStandIn>,
    log_index: call_log::LogPosition,
    duration: time::Duration,
    counts_toward_warmup: bool,
    work: types::SimulatedWork,
}

impl RunningCall {
    fn finish(self) {
        self.stand_in.state.lock().successes += u32::from(self.counts_toward_warmup);
        self.stand_in.log.mark_finished(self.log_index);
    }

    fn cancel(self) {
        self.stand_in.log.mark_cancelled(self.log_index);
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.stand_in.state.lock().running -= 1;
    }
}

impl EndpointStandIn {
    /// Creates an endpoint in cold start.
    pub fn new(
        endpoint: wire::EndpointDeclaration,
        pool: wire::PoolDeclaration,
        times: types::PoolTimes,
        log: sync::Arc<call_log::CallLog>,
        spawner: worker::TaskSpawner,
    ) -> Self {
        let seed = endpoint
            .name
            .bytes()
            .fold(0, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
        let state = lock_rank::RankedLock::new(EndpointState::new(&endpoint.name, seed));
        Self { endpoint, pool, times, log, spawner, state }
    }

    /// Returns the calls recorded by all endpoints of the process.
    pub fn records(&self) -> types::CallRecords {
        self.log.snapshot()
    }

    /// Returns the status report of the endpoint.
    pub fn report(&self) -> wire::EndpointReport {
        let mut state = self.state.lock();
        wire::EndpointReport {
            is_cold: self.is_cold(&state),
            endpoint: self.endpoint.name.clone(),
            highest_fencing_token: state.highest_fencing_token,
            running: state.reported_load(),
            start_id: state.start_id,
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: types::EndpointFaults) {
        let mut state = self.state.lock();
        if faults.turn_cold {
            state.restart();
        }
        state.faults = faults;
    }

    /// Reports with each later response that the endpoint is leaving.
    pub fn set_leaving(&self) {
        self.state.lock().is_leaving = true;
    }

    /// Runs a call and returns its response.
    pub async fn respond(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
    ) -> http_message::Response {
        if self.should_fail(request) {
            drop(self.start_call(request));
            return stand_in_server::truncated_response();
        }
        let Some(call) = self.start_call(request) else {
            return self.with_status_headers(
                request,
                http_message::Response::new(StatusCode::PRECONDITION_FAILED),
            );
        };
        if !call.duration.is_zero() {
            Timer::after(call.duration).await;
        }
        if request.header("accept") == Some(header::EVENT_STREAM) {
            return self.stream(request, call);
        }
        let body = serde_json::json!({
            "endpoint": self.endpoint.name,
            "request": request.header(header::REQUEST),
            "marker": call.work.marker,
        });
        let response = self.with_status_headers(request, stand_in_server::json_response(&body));
        call.finish();
        response
    }

    fn is_cold(&self, state: &EndpointState) -> bool {
        state.successes < self.pool.calls_until_warm
    }

    /// Whether the endpoint closes the connection instead of responding: it crashes on the body or is
    /// down.
    fn should_fail(&self, request: &http_server::ServerRequest) -> bool {
        let mut state = self.state.lock();
        let has_crashed = state
            .faults
            .crash_on_text
            .as_ref()
            .is_some_and(|text| String::from_utf8_lossy(request.body()).contains(&**text));
        if has_crashed {
            state.restart();
        }
        has_crashed || state.faults.down
    }

    /// Records the arrival of a call and starts it; returns none if its fencing token is outdated.
    fn start_call(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
    ) -> Option<RunningCall> {
        let number_header = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        let work = parse_work(request.body());
        let fencing_token = number_header(header::FENCING_TOKEN).unwrap_or(0);
        let mut state = self.state.lock();
        let refused = self.endpoint.enforces_fencing && fencing_token < state.highest_fencing_token;
        state.highest_fencing_token = state.highest_fencing_token.max(fencing_token);
        let cold = self.is_cold(&state);
        let limit = if cold { self.pool.cold_limit } else { self.pool.warm_limit };
        let running = state.running + 1;
        let calls_over_limit = if refused { 0 } else { running.saturating_sub(limit) };
        let log_index = self.log.push(types::CallRecord {
            arrived: self.log.elapsed(),
            attempt: number_header(header::ATTEMPT).unwrap_or(0),
            cancelled: false,
            cold,
            endpoint: self.endpoint.name.clone(),
            fence: fencing_token,
            finished: false,
            key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
            offset: number_header(header::OFFSET).unwrap_or(0),
            calls_over_limit,
            refused,
            request: request.header(header::REQUEST).unwrap_or("").into(),
            running,
            target: request.path().rsplit('/').next().unwrap_or("").into(),
            workspace: request.header(header::WORKSPACE).unwrap_or("").into(),
        });
        if refused {
            return None;
        }
        state.running = running;
        let mut duration = self.call_duration(&mut state, work.work);
        if calls_over_limit > 0 && cold {
            duration *= COLD_OVERLOAD_SLOWDOWN;
        } else if calls_over_limit > 0 {
            duration *= WARM_OVERLOAD_SLOWDOWN;
        }
        Some(RunningCall {
            stand_in: self.clone(),
            log_index,
            duration,
            counts_toward_warmup: calls_over_limit == 0,
            work,
        })
    }

    /// Returns the duration of a call with `work` percent of the usual work.
    fn call_duration(&self, state: &mut EndpointState, work: u32) -> time::Duration {
        let spread = f64::from(self.times.spread) / PERCENT;
        let jitter = 1.0 + spread * state.rng.random_range(-1.0..=1.0);
        let others = f64::from(state.running.saturating_sub(1));
        let batching_factor = 1.0 + others * f64::from(self.times.batch) / PERCENT;
        let work_factor = f64::from(work) / PERCENT;
        self.times.call.mul_f64((work_factor * batching_factor * jitter).max(0.0))
            + state.faults.delay
    }

    fn stream(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
        call: RunningCall,
    ) -> http_message::Response {
        let first_offset =
            request.header(header::OFFSET).and_then(|value| value.parse().ok()).unwrap_or(0);
        let (sender, encoder) = async_sse::encode();
        let times = self.times.clone();
        let cut_before_token = self.state.lock().faults.cut_before_token;
        self.spawner.detach(async move {
            let sender = StreamSender { sender, first_offset, cut_before_token };
            if send_tokens(&sender, &times, &call.work).await {
                call.finish();
            } else {
                call.cancel();
            }
        });
        let mut response = http_message::Response::new(StatusCode::OK);
        response.set_body(http_body::MessageBody::from_reader(encoder, None));
        response.insert_header("content-type", header::EVENT_STREAM);
        self.with_status_headers(request, response)
    }

    /// Copies the request id and attempt id headers into a response and adds the endpoint's status
    /// headers.
    fn with_status_headers(
        &self,
        request: &http_server::ServerRequest,
        mut response: http_message::Response,
    ) -> http_message::Response {
        for name in [header::REQUEST, header::ATTEMPT] {
            if let Some(value) = request.header(name) {
                response.insert_header(name, value);
            }
        }
        let state = self.state.lock();
        response.insert_header(header::ENGINE_START, state.start_id.to_string());
        response.insert_header(header::ENGINE_COLD, self.is_cold(&state).to_string());
        if state.is_leaving {
            response.insert_header(header::ENGINE_LEAVING, "true");
        }
        response
    }
}

/// Sends the events of a stream.
struct StreamSender {
    sender: async_sse::Sender,
    first_offset: ids::StreamOffset,
    cut_before_token: ids::StreamOffset,
}

impl StreamSender {
    async fn send<Message>(&self, name: &str, message: &Message) -> bool
    where
        Message: serde::Serialize,
    {
        let data = serde_json::to_string(message).unwrap_or_default();
        self.sender.send(name, &data, None).await.is_ok()
    }

    /// Whether a fault cuts the stream before the token at `offset`.
    fn is_cut(&self, offset: ids::StreamOffset) -> bool {
        self.first_offset < self.cut_before_token && offset == self.cut_before_token
    }
}

/// Sends the tokens from the first offset on and the end event; returns whether all were sent.
async fn send_tokens(
    sender: &StreamSender,
    times: &types::PoolTimes,
    work: &types::SimulatedWork,
) -> bool {
    let mut send_at = time::Instant::now();
    for offset in sender.first_offset..times.tokens {
        if sender.is_cut(offset) {
            return false;
        }
        send_at += times.token;
        if !times.token.is_zero() {
            Timer::at(send_at).await;
        }
        let text = token_text(work.marker.as_deref(), offset);
        let chunk = wire::TokenChunk { count: 1, offset, text };
        if !sender.send("token", &chunk).await {
            return false;
        }
    }
    let end = wire::StreamEnd { tokens: times.tokens };
    sender.send("end", &end).await
}

/// Returns the text of a streamed token.
pub fn token_text(marker: Option<&str>, offset: ids::StreamOffset) -> ids::Text {
    format!("{}t{offset} ", marker.unwrap_or("")).into()
}

#[derive(serde::Deserialize)]
struct StageBody {
    request: types::SimulatedWork,
}

fn parse_work(body: &[u8]) -> types::SimulatedWork {
    let stage = serde_json::from_slice::<StageBody>(body).map(|stage| stage.request);
    stage.or_else(|_| serde_json::from_slice(body)).unwrap_or_default()
}
