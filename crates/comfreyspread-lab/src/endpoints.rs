//! Stand-ins for model engines and plain services, many in one process.
//!
//! Each endpoint of a declarations file listens on its own address and records every call it
//! receives. An engine in cold start bears its pool's cold limit; calls beyond the limit are
//! recorded as overshoot and slow the endpoint down. `GET /records` on any address returns the
//! records of the whole process; `POST /faults` takes a [`types::EndpointFaults`].

use crate::{serving, types};
use async_io::Timer;
use comfreyspread::{header, http_server, rank, worker};
use comfreyspread_schema::{ids, types as wire};
use http_types::{Body, Method, Response, StatusCode};
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use std::{fs, path, sync, time};

const OVERSHOOT_SLOWDOWN: u32 = 4;
const TOKENS_PER_STREAM: ids::StreamOffset = 40;

/// Runs stand-ins for all endpoints of a declarations file.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub struct EndpointsArguments {
    /// declarations in JSON
    #[argh(option)]
    pub declarations: path::PathBuf,
    /// time one call takes, in milliseconds
    #[argh(option, default = "5")]
    pub call_ms: u64,
    /// time between streamed tokens, in milliseconds
    #[argh(option, default = "2")]
    pub token_ms: u64,
}

impl EndpointsArguments {
    /// Serves until told to stop.
    ///
    /// # Errors
    ///
    /// Fails if the declarations cannot be read or an address cannot be bound.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<()> {
        let text = fs::read_to_string(&self.declarations).into_diagnostic()?;
        let declarations: wire::Declarations = serde_json::from_str(&text).into_diagnostic()?;
        let records = sync::Arc::new(CallLog::new());
        for endpoint in &declarations.endpoints {
            let pool = declarations.pools.iter().find(|pool| pool.name == endpoint.pool);
            let Some(pool) = pool else { continue };
            let stand_in = EndpointStandIn {
                endpoint: endpoint.clone(),
                pool: pool.clone(),
                call_time: time::Duration::from_millis(self.call_ms),
                token_time: time::Duration::from_millis(self.token_ms),
                records: records.clone(),
                spawner: spawner.clone(),
                state: rank::RankedLock::new(EndpointMemory::new(&endpoint.name)),
            };
            let handler = sync::Arc::new(EndpointHandler { stand_in: sync::Arc::new(stand_in) });
            serving::start(endpoint.address, handler, spawner).await?;
        }
        serving::wait_for_stop().await
    }
}

/// Calls received by all endpoints of the process.
#[derive(Debug)]
struct CallLog {
    started: time::Instant,
    records: rank::RankedLock<rank::ClaimRank, Vec<types::CallRecord>>,
}

impl CallLog {
    fn new() -> Self {
        Self { started: time::Instant::now(), records: rank::RankedLock::new(Vec::new()) }
    }

    fn push(&self, record: types::CallRecord) -> usize {
        let mut records = self.records.lock();
        records.push(record);
        records.len() - 1
    }

    fn finish(&self, index: usize) {
        if let Some(record) = self.records.lock().get_mut(index) {
            record.finished = true;
        }
    }

    fn collect(&self) -> types::CallRecords {
        types::CallRecords { now: self.started.elapsed(), records: self.records.lock().clone() }
    }
}

/// What an endpoint remembers.
#[derive(Debug)]
struct EndpointMemory {
    start: ids::StartId,
    running: u32,
    successes: u32,
    fence: ids::FenceNumber,
    faults: types::EndpointFaults,
}

impl EndpointMemory {
    fn new(endpoint: &ids::EndpointId) -> Self {
        let faults = types::EndpointFaults {
            delay: time::Duration::ZERO,
            down: false,
            endpoint: endpoint.clone(),
            poison: None,
            turn_cold: false,
        };
        Self { start: rand::random(), running: 0, successes: 0, fence: 0, faults }
    }

    fn turn_cold(&mut self) {
        self.start = rand::random();
        self.successes = 0;
    }
}

#[derive(Debug)]
struct EndpointStandIn {
    endpoint: wire::EndpointDeclaration,
    pool: wire::PoolDeclaration,
    call_time: time::Duration,
    token_time: time::Duration,
    records: sync::Arc<CallLog>,
    spawner: worker::TaskSpawner,
    state: rank::RankedLock<rank::PoolRank, EndpointMemory>,
}

/// A call that an endpoint is running; dropping it without finishing counts as cut.
struct RunningCall {
    stand_in: sync::Arc<EndpointStandIn>,
    index: usize,
    overshoot: u32,
}

impl RunningCall {
    fn finish(self) {
        self.stand_in.state.lock().successes += 1;
        self.stand_in.records.finish(self.index);
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.stand_in.state.lock().running -= 1;
    }
}

impl EndpointStandIn {
    fn is_cold(&self, memory: &EndpointMemory) -> bool {
        memory.successes < self.pool.warm_after
    }

    /// Records the arrival of a call and returns it, or none if its fencing number is old.
    fn admit(self: &sync::Arc<Self>, request: &http_server::ServerRequest) -> Option<RunningCall> {
        let number = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        let fence = number(header::FENCE).unwrap_or(0);
        let mut memory = self.state.lock();
        let refused = self.endpoint.checks_fence && fence < memory.fence;
        memory.fence = memory.fence.max(fence);
        let cold = self.is_cold(&memory);
        let limit = if cold { self.pool.cold_limit } else { self.pool.warm_limit };
        let running = memory.running + 1;
        let overshoot = if refused { 0 } else { running.saturating_sub(limit) };
        let index = self.records.push(types::CallRecord {
            arrived: self.records.started.elapsed(),
            attempt: number(header::ATTEMPT).unwrap_or(0),
            cold,
            endpoint: self.endpoint.name.clone(),
            fence,
            finished: false,
            key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
            overshoot,
            refused,
            request: request.header(header::REQUEST).unwrap_or("").into(),
            running,
            workspace: request.header(header::WORKSPACE).unwrap_or("").into(),
        });
        if refused {
            return None;
        }
        memory.running = running;
        Some(RunningCall { stand_in: self.clone(), index, overshoot })
    }

    async fn run(self: &sync::Arc<Self>, request: &http_server::ServerRequest) -> Response {
        let Some(call) = self.admit(request) else {
            return self.echo(request, Response::new(StatusCode::PreconditionFailed));
        };
        let mut time = self.call_time + self.state.lock().faults.delay;
        if call.overshoot > 0 {
            time *= OVERSHOOT_SLOWDOWN;
        }
        Timer::after(time).await;
        if request.header("accept") == Some(header::EVENT_STREAM) {
            return self.stream(request, call);
        }
        let answer = serde_json::json!({
            "endpoint": self.endpoint.name,
            "request": request.header(header::REQUEST),
        });
        let response = self.echo(request, serving::json(&answer));
        call.finish();
        response
    }

    fn stream(
        self: &sync::Arc<Self>,
        request: &http_server::ServerRequest,
        call: RunningCall,
    ) -> Response {
        let first =
            request.header(header::OFFSET).and_then(|value| value.parse().ok()).unwrap_or(0);
        let (sender, encoder) = async_sse::encode();
        let token_time = self.token_time;
        self.spawner.detach(async move {
            for offset in first..TOKENS_PER_STREAM {
                Timer::after(token_time).await;
                let run = wire::TokenRun { count: 1, offset, text: format!("t{offset} ").into() };
                let data = serde_json::to_string(&run).unwrap_or_default();
                if sender.send("token", &data, None).await.is_err() {
                    return;
                }
            }
            let end = wire::StreamEnd { tokens: TOKENS_PER_STREAM };
            let data = serde_json::to_string(&end).unwrap_or_default();
            if sender.send("end", &data, None).await.is_ok() {
                call.finish();
            }
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(encoder, None));
        response.insert_header("content-type", header::EVENT_STREAM);
        self.echo(request, response)
    }

    fn echo(&self, request: &http_server::ServerRequest, mut response: Response) -> Response {
        for name in [header::REQUEST, header::ATTEMPT] {
            if let Some(value) = request.header(name) {
                response.insert_header(name, value);
            }
        }
        let memory = self.state.lock();
        response.insert_header(header::ENGINE_START, memory.start.to_string());
        response.insert_header(header::ENGINE_COLD, self.is_cold(&memory).to_string());
        response
    }

    fn report(&self) -> wire::EndpointReport {
        let memory = self.state.lock();
        wire::EndpointReport {
            cold: self.is_cold(&memory),
            endpoint: self.endpoint.name.clone(),
            fence: memory.fence,
            running: memory.running,
            start: memory.start,
        }
    }
}

/// Answers as one endpoint would.
#[derive(Debug)]
struct EndpointHandler {
    stand_in: sync::Arc<EndpointStandIn>,
}

impl EndpointHandler {
    fn set_faults(&self, faults: types::EndpointFaults) -> Response {
        let mut memory = self.stand_in.state.lock();
        if faults.turn_cold {
            memory.turn_cold();
        }
        memory.faults = faults;
        Response::new(StatusCode::Ok)
    }

    /// Whether the endpoint goes away instead of answering.
    fn crashes(&self, request: &http_server::ServerRequest) -> bool {
        let mut memory = self.stand_in.state.lock();
        let body = String::from_utf8_lossy(request.body());
        let poisoned = memory.faults.poison.as_ref().is_some_and(|text| body.contains(&**text));
        if poisoned {
            memory.turn_cold();
        }
        poisoned || memory.faults.down
    }
}

impl http_server::RequestHandler for EndpointHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> Response {
        match (request.method(), request.path()) {
            (Method::Get, "/records") => serving::json(&self.stand_in.records.collect()),
            (Method::Post, "/faults") => {
                serving::with_json(&request, |faults| self.set_faults(faults))
            }
            (Method::Get, "/v1/status") => serving::json(&self.stand_in.report()),
            (Method::Post, path) if path.starts_with("/v1/stages/") => {
                if self.crashes(&request) {
                    drop(self.stand_in.admit(&request));
                    return serving::cut();
                }
                self.stand_in.run(&request).await
            }
            _ => Response::new(StatusCode::NotFound),
        }
    }

    fn refuse(&self, _fault: http_server::RequestFault) -> Response {
        serving::refuse()
    }
}

/// Counts the calls that ran for each idempotency key.
pub fn runs_by_key(records: &types::CallRecords) -> IndexMap<ids::RequestKey, u32> {
    let mut runs = IndexMap::new();
    for record in records.records.iter().filter(|record| !record.refused) {
        if let Some(key) = &record.key {
            *runs.entry(key.clone()).or_default() += 1;
        }
    }
    runs
}
