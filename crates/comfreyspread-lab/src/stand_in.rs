//! One stand-in for a model engine or a plain service.
//!
//! A call takes the time of its pool, longer with each other call in flight, as batching does. In
//! cold start the endpoint bears its pool's cold limit; every call beyond the limit is recorded as
//! overshoot, takes several times as long and does not warm the endpoint.

use crate::{call_log, fault, serving, types};
use async_io::Timer;
use comfreyspread::{
    runtime::{rank, worker},
    transport::{header, http_body, http_message, http_server},
};
use comfreyspread_schema::{ids, types as wire};
use http::StatusCode;
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{sync, time};

const COLD_OVERSHOOT_SLOWDOWN: u32 = 4;
const WARM_OVERSHOOT_SLOWDOWN: u32 = 2;
const REPORT_LAG: time::Duration = time::Duration::from_millis(500);
const PERCENT: f64 = 100.0;

/// What an endpoint remembers.
#[derive(Debug)]
struct EndpointMemory {
    start: ids::ProcessStartId,
    running: u32,
    successes: u32,
    fence: ids::FencingToken,
    faults: types::EndpointFaults,
    random: rngs::SmallRng,
    reported: Option<LoadSample>,
    leaving: bool,
}

/// Calls in flight at a moment that has passed.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    running: u32,
    taken: time::Instant,
}

impl EndpointMemory {
    fn new(endpoint: &ids::EndpointId, seed: u64) -> Self {
        let faults = fault::no_faults(endpoint);
        Self {
            start: rand::random(),
            running: 0,
            successes: 0,
            fence: 0,
            faults,
            random: rngs::SmallRng::seed_from_u64(seed),
            reported: None,
            leaving: false,
        }
    }

    fn turn_cold(&mut self) {
        self.start = rand::random();
        self.successes = 0;
    }

    /// Returns the calls in flight as last reported, which lags.
    fn reported_load(&mut self) -> u32 {
        let fresh = self.reported.filter(|sample| sample.taken.elapsed() < REPORT_LAG);
        let sample =
            fresh.unwrap_or(LoadSample { running: self.running, taken: time::Instant::now() });
        self.reported = Some(sample);
        sample.running
    }
}

/// One endpoint.
#[derive(Debug)]
pub struct EndpointStandIn {
    endpoint: wire::EndpointDeclaration,
    pool: wire::PoolDeclaration,
    times: types::PoolTimes,
    log: sync::Arc<call_log::CallLog>,
    spawner: worker::TaskSpawner,
    memory: rank::RankedLock<rank::PoolRank, EndpointMemory>,
}

/// A call that an endpoint is running.
#[derive(Debug)]
struct RunningCall {
    stand_in: sync::Arc<EndpointStandIn>,
    position: call_log::LogPosition,
    time: time::Duration,
    warms: bool,
    note: types::SimulatedWork,
}

impl RunningCall {
    fn finish(self) {
        self.stand_in.memory.lock().successes += u32::from(self.warms);
        self.stand_in.log.mark_finished(self.position);
    }

    fn cancel(self) {
        self.stand_in.log.mark_cancelled(self.position);
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.stand_in.memory.lock().running -= 1;
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
        let memory = rank::RankedLock::new(EndpointMemory::new(&endpoint.name, seed));
        Self { endpoint, pool, times, log, spawner, memory }
    }

    /// Returns the calls of the whole process.
    pub fn records(&self) -> types::CallRecords {
        self.log.snapshot()
    }

    /// Returns what the endpoint reports of itself.
    pub fn report(&self) -> wire::EndpointReport {
        let mut memory = self.memory.lock();
        wire::EndpointReport {
            is_cold: self.is_cold(&memory),
            endpoint: self.endpoint.name.clone(),
            highest_fencing_token: memory.fence,
            running: memory.reported_load(),
            start_id: memory.start,
        }
    }

    /// Brings about faults from now on.
    pub fn set_faults(&self, faults: types::EndpointFaults) {
        let mut memory = self.memory.lock();
        if faults.turn_cold {
            memory.turn_cold();
        }
        memory.faults = faults;
    }

    /// Says with each answer from now on that the endpoint is leaving.
    pub fn leave(&self) {
        self.memory.lock().leaving = true;
    }

    /// Answers a call as the endpoint would.
    pub async fn answer(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
    ) -> http_message::Response {
        if self.crashes(request) {
            drop(self.admit(request));
            return serving::cut();
        }
        let Some(call) = self.admit(request) else {
            return self
                .echo(request, http_message::Response::new(StatusCode::PRECONDITION_FAILED));
        };
        if !call.time.is_zero() {
            Timer::after(call.time).await;
        }
        if request.header("accept") == Some(header::EVENT_STREAM) {
            return self.stream(request, call);
        }
        let answer = serde_json::json!({
            "endpoint": self.endpoint.name,
            "request": request.header(header::REQUEST),
            "marker": call.note.marker,
        });
        let response = self.echo(request, serving::json(&answer));
        call.finish();
        response
    }

    fn is_cold(&self, memory: &EndpointMemory) -> bool {
        memory.successes < self.pool.calls_until_warm
    }

    /// Whether the endpoint goes away instead of answering.
    fn crashes(&self, request: &http_server::ServerRequest) -> bool {
        let mut memory = self.memory.lock();
        let poisoned = memory
            .faults
            .crash_on_text
            .as_ref()
            .is_some_and(|text| String::from_utf8_lossy(request.body()).contains(&**text));
        if poisoned {
            memory.turn_cold();
        }
        poisoned || memory.faults.down
    }

    /// Records the arrival of a call and returns it, or none if its fencing token is old.
    fn admit(self: &sync::Arc<Self>, request: &http_server::ServerRequest) -> Option<RunningCall> {
        let number = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        let note = note_of(request.body());
        let fence = number(header::FENCE).unwrap_or(0);
        let mut memory = self.memory.lock();
        let refused = self.endpoint.enforces_fencing && fence < memory.fence;
        memory.fence = memory.fence.max(fence);
        let cold = self.is_cold(&memory);
        let limit = if cold { self.pool.cold_limit } else { self.pool.warm_limit };
        let running = memory.running + 1;
        let calls_over_limit = if refused { 0 } else { running.saturating_sub(limit) };
        let position = self.log.push(types::CallRecord {
            arrived: self.log.elapsed(),
            attempt: number(header::ATTEMPT).unwrap_or(0),
            cancelled: false,
            cold,
            endpoint: self.endpoint.name.clone(),
            fence,
            finished: false,
            key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
            offset: number(header::OFFSET).unwrap_or(0),
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
        memory.running = running;
        let mut time = self.call_time(&mut memory, note.work);
        if calls_over_limit > 0 && cold {
            time *= COLD_OVERSHOOT_SLOWDOWN;
        } else if calls_over_limit > 0 {
            time *= WARM_OVERSHOOT_SLOWDOWN;
        }
        Some(RunningCall {
            stand_in: self.clone(),
            position,
            time,
            warms: calls_over_limit == 0,
            note,
        })
    }

    fn call_time(&self, memory: &mut EndpointMemory, work: u32) -> time::Duration {
        let spread = f64::from(self.times.spread) / PERCENT;
        let deviation = 1.0 + spread * memory.random.random_range(-1.0..=1.0);
        let others = f64::from(memory.running.saturating_sub(1));
        let batching = 1.0 + others * f64::from(self.times.batch) / PERCENT;
        let work = f64::from(work) / PERCENT;
        self.times.call.mul_f64((work * batching * deviation).max(0.0)) + memory.faults.delay
    }

    fn stream(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
        call: RunningCall,
    ) -> http_message::Response {
        let first =
            request.header(header::OFFSET).and_then(|value| value.parse().ok()).unwrap_or(0);
        let (sender, encoder) = async_sse::encode();
        let times = self.times.clone();
        let cut_before_token = self.memory.lock().faults.cut_before_token;
        self.spawner.detach(async move {
            let sender = StreamSender { sender, first, cut_before_token };
            if send_tokens(&sender, &times, &call.note).await {
                call.finish();
            } else {
                call.cancel();
            }
        });
        let mut response = http_message::Response::new(StatusCode::OK);
        response.set_body(http_body::MessageBody::from_reader(encoder, None));
        response.insert_header("content-type", header::EVENT_STREAM);
        self.echo(request, response)
    }

    fn echo(
        &self,
        request: &http_server::ServerRequest,
        mut response: http_message::Response,
    ) -> http_message::Response {
        for name in [header::REQUEST, header::ATTEMPT] {
            if let Some(value) = request.header(name) {
                response.insert_header(name, value);
            }
        }
        let memory = self.memory.lock();
        response.insert_header(header::ENGINE_START, memory.start.to_string());
        response.insert_header(header::ENGINE_COLD, self.is_cold(&memory).to_string());
        if memory.leaving {
            response.insert_header(header::ENGINE_LEAVING, "true");
        }
        response
    }
}

/// Sending side of a stream.
struct StreamSender {
    sender: async_sse::Sender,
    first: ids::StreamOffset,
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

    fn is_cut(&self, offset: ids::StreamOffset) -> bool {
        self.first < self.cut_before_token && offset == self.cut_before_token
    }
}

/// Sends the tokens from the first offset on and the end; returns whether all were taken.
async fn send_tokens(
    sender: &StreamSender,
    times: &types::PoolTimes,
    note: &types::SimulatedWork,
) -> bool {
    let mut due = time::Instant::now();
    for offset in sender.first..times.tokens {
        if sender.is_cut(offset) {
            return false;
        }
        due += times.token;
        if !times.token.is_zero() {
            Timer::at(due).await;
        }
        let text = token_text(note.marker.as_deref(), offset);
        let run = wire::TokenChunk { count: 1, offset, text };
        if !sender.send("token", &run).await {
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

fn note_of(body: &[u8]) -> types::SimulatedWork {
    let stage = serde_json::from_slice::<StageBody>(body).map(|stage| stage.request);
    stage.or_else(|_| serde_json::from_slice(body)).unwrap_or_default()
}
