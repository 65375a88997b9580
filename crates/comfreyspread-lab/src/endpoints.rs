//! Stand-ins for model engines and plain services, all in one process.
//!
//! Each endpoint of a declarations file listens on its own address and records every call it
//! receives. `GET /records` on any address returns the records of the whole process;
//! `POST /faults` sets the [`types::EndpointFaults`] of one endpoint.

use crate::{call_log, endpoint_stand_in, stand_in_server, types};
use comfreyspread::{
    runtime::worker,
    transport::{http_message, http_server},
};
use comfreyspread_schema::{ids, types as wire};
use http::{Method, StatusCode};
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use std::{fs, path, sync, time};

const TOKENS_PER_STREAM: u64 = 40;

/// Runs stand-ins for all endpoints of a declarations file.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub struct EndpointsArguments {
    /// declarations in JSON
    #[argh(option)]
    pub declarations: path::PathBuf,
    /// call times of pools in JSON; the options below hold for pools it does not name
    #[argh(option)]
    pub times: Option<path::PathBuf>,
    /// time one call takes, in milliseconds
    #[argh(option, default = "5")]
    pub call_ms: u64,
    /// time between streamed tokens, in milliseconds
    #[argh(option, default = "2")]
    pub token_ms: u64,
    /// most calls recorded
    #[argh(option, default = "1_000_000")]
    pub record_limit: usize,
}

impl EndpointsArguments {
    /// Serves until the process is told to stop.
    ///
    /// # Errors
    ///
    /// Fails if the declarations cannot be read or an address cannot be bound.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<()> {
        let text = fs::read_to_string(&self.declarations).into_diagnostic()?;
        let declarations: wire::Declarations = serde_json::from_str(&text).into_diagnostic()?;
        let times = self.read_times()?;
        let log = sync::Arc::new(call_log::CallLog::new(self.record_limit));
        for endpoint in &declarations.endpoints {
            let pool = declarations.pools.iter().find(|pool| pool.name == endpoint.pool);
            let Some(pool) = pool else { continue };
            let stand_in = endpoint_stand_in::EndpointStandIn::new(
                endpoint.clone(),
                pool.clone(),
                self.pool_times(&times, &pool.name),
                log.clone(),
                spawner.clone(),
            );
            let handler = sync::Arc::new(EndpointHandler { stand_in: sync::Arc::new(stand_in) });
            stand_in_server::start(endpoint.address, handler, spawner).await?;
        }
        stand_in_server::wait_for_stop().await
    }

    fn read_times(&self) -> miette::Result<types::CallTimes> {
        let Some(file) = &self.times else { return Ok(types::CallTimes { pools: Vec::new() }) };
        let text = fs::read_to_string(file).into_diagnostic()?;
        serde_json::from_str(&text).into_diagnostic()
    }

    fn pool_times(&self, times: &types::CallTimes, pool: &ids::PoolId) -> types::PoolTimes {
        let configured = times.pools.iter().find(|entry| entry.pool == *pool);
        configured.cloned().unwrap_or_else(|| types::PoolTimes {
            batch: 0,
            call: time::Duration::from_millis(self.call_ms),
            pool: pool.clone(),
            spread: 0,
            token: time::Duration::from_millis(self.token_ms),
            tokens: TOKENS_PER_STREAM,
        })
    }
}

/// Handles the requests to one endpoint.
#[derive(Debug)]
struct EndpointHandler {
    stand_in: sync::Arc<endpoint_stand_in::EndpointStandIn>,
}

impl http_server::RequestHandler for EndpointHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        match (request.method(), request.path()) {
            (&Method::GET, "/records") => stand_in_server::json_response(&self.stand_in.records()),
            (&Method::POST, "/leave") => {
                self.stand_in.set_leaving();
                http_message::Response::new(StatusCode::OK)
            }
            (&Method::POST, "/faults") => stand_in_server::with_json(&request, |faults| {
                self.stand_in.set_faults(faults);
                http_message::Response::new(StatusCode::OK)
            }),
            (&Method::GET, "/v1/status") => stand_in_server::json_response(&self.stand_in.report()),
            (&Method::POST, path) if path.starts_with("/v1/stages/") => {
                self.stand_in.respond(&request).await
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}

/// Counts the calls that ran for each idempotency key.
pub fn runs_by_key(records: &types::CallRecords) -> IndexMap<ids::IdempotencyKey, u32> {
    let mut runs = IndexMap::new();
    for record in records.records.iter().filter(|record| !record.refused) {
        if let Some(key) = &record.key {
            *runs.entry(key.clone()).or_default() += 1;
        }
    }
    runs
}
