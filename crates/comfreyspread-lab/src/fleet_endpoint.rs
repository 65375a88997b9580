//! One endpoint of the stand-ins for the users' platform: an engine, a plain service or a stage
//! worker. It records the requests it receives.

use crate::{fleet, fleet_faults, fleet_log, stand_in_server};
use comfreyspread::{
    gateway::produced_chunks,
    transport::{http_message, http_server},
};
use comfreyspread_schema::ids;
use http::StatusCode;
use std::{
    io, net,
    sync::{self, atomic},
    time,
};

const PIECE_CALL_DELAY: time::Duration = time::Duration::from_millis(60);
const EVENT_DELAY: time::Duration = time::Duration::from_millis(10);
const EVENTS_PER_STREAM: u64 = 6;
/// Index of the last stage of the sample's route with stages.
const LAST_STAGE: usize = 1;

/// Handles the requests to one endpoint.
#[derive(Debug)]
pub struct EndpointHandler {
    name: ids::EndpointId,
    kind: fleet::EndpointKind,
    address: sync::OnceLock<net::SocketAddr>,
    faults: fleet_faults::FleetFaults,
    busy: atomic::AtomicBool,
    records: sync::Arc<fleet_log::RequestLog>,
}

impl EndpointHandler {
    /// Creates an endpoint without faults, which adds to `records`.
    pub fn new(
        name: &str,
        kind: fleet::EndpointKind,
        records: sync::Arc<fleet_log::RequestLog>,
    ) -> Self {
        Self {
            name: name.into(),
            kind,
            address: sync::OnceLock::new(),
            faults: fleet_faults::FleetFaults::default(),
            busy: atomic::AtomicBool::new(false),
            records,
        }
    }

    /// Sets the address at which it is served, which its results name.
    pub fn set_address(&self, address: net::SocketAddr) {
        self.address.get_or_init(|| address);
    }

    /// Returns its address once it is served.
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.address.get().copied()
    }

    /// Returns its faults.
    pub fn faults(&self) -> &fleet_faults::FleetFaults {
        &self.faults
    }

    fn record(&self, request: &http_server::ServerRequest, ran: bool) {
        self.records.records.lock().push(fleet::RequestRecord {
            endpoint: self.name.clone(),
            path: request.path().into(),
            headers: request.head().headers.clone(),
            body: request.body().to_vec(),
            ran,
        });
    }

    fn reject(
        &self,
        request: &http_server::ServerRequest,
        status: StatusCode,
    ) -> http_message::Response {
        self.record(request, false);
        let mut response = http_message::Response::new(status);
        response.insert_header("Not-Executed", "1");
        echo_request_id(request, &mut response);
        response
    }

    /// Answers as the endpoint itself does, with a status other than 200.
    fn fail(
        &self,
        request: &http_server::ServerRequest,
        status: StatusCode,
    ) -> http_message::Response {
        if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return self.reject(request, status);
        }
        self.record(request, true);
        let mut response = self.stamped_response(request);
        response.set_status(status);
        response
    }

    fn stamped_response(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let mut response = http_message::Response::new(StatusCode::OK);
        response.insert_header("Response-Stamp", format!("stamp-{}", self.name));
        echo_request_id(request, &mut response);
        response
    }

    /// Returns the duration of one event or plain answer.
    fn event_delay(&self) -> time::Duration {
        EVENT_DELAY + self.faults.delay()
    }

    async fn run_plain(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let _running = fleet_log::RunningRequest::new(&self.records);
        async_io::Timer::after(self.event_delay()).await;
        if self.faults.lose_answers.load(atomic::Ordering::Relaxed) {
            return stand_in_server::truncated_response();
        }
        let mut response = self.stamped_response(request);
        response.set_body(format!("{} ran {}", self.name, request.path()));
        response
    }

    fn stream_events(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let last_event_id = request.header("last-event-id").and_then(|value| value.parse().ok());
        let first: u64 = last_event_id.unwrap_or(0) + 1;
        let cut_after = self.faults.cut_after.swap(0, atomic::Ordering::Relaxed);
        let events = match self.faults.events.load(atomic::Ordering::Relaxed) {
            0 => EVENTS_PER_STREAM,
            events => events,
        };
        let event_delay = self.event_delay();
        let running = fleet_log::RunningRequest::new(&self.records);
        let mut response = self.stamped_response(request);
        response.insert_header("content-type", "text/event-stream");
        response.set_body(produced_chunks::ProducedChunks::body(|sender| async move {
            let _running = running;
            for id in first..=events {
                async_io::Timer::after(event_delay).await;
                let event = format!("id: {id}\ndata: e{id}\n\n");
                sender.send(Ok(event.into())).await.ok();
                if id == cut_after {
                    sender.send(Ok(format!("id: {}\nda", id + 1).into())).await.ok();
                    async_io::Timer::after(EVENT_DELAY).await;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
            Ok(())
        }));
        response
    }

    async fn run_pieces(&self, request: &http_server::ServerRequest) -> http_message::Response {
        if self.busy.swap(true, atomic::Ordering::Relaxed) {
            return self.reject(request, StatusCode::SERVICE_UNAVAILABLE);
        }
        self.record(request, true);
        async_io::Timer::after(PIECE_CALL_DELAY + self.faults.delay()).await;
        self.busy.store(false, atomic::Ordering::Relaxed);
        let body: serde_json::Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let address = self.address.get().map(ToString::to_string).unwrap_or_default();
        let completed = items.iter().map(|item| {
            let (id, stage, piece) = (&item["id"], &item["stage"], &item["piece"]);
            let id = id.as_str().unwrap_or_default();
            serde_json::json!({"handle": format!("{address}/{id}-{stage}-{piece}")})
        });
        stand_in_server::json_response(&serde_json::json!({"items": completed.collect::<Vec<_>>()}))
    }
}

/// Whether a request's last stage, whose results it needs, has pieces, and it names no results.
fn lacks_inputs(request: &http_server::ServerRequest) -> bool {
    let last = request.header("pieces").and_then(|pieces| pieces.split(',').nth(LAST_STAGE));
    let has_pieces =
        last.is_some_and(|count| count.trim().parse().is_ok_and(|count: u32| count > 0));
    has_pieces && request.header("inputs").is_none()
}

fn echo_request_id(request: &http_server::ServerRequest, response: &mut http_message::Response) {
    if let Some(id) = request.header("request-id") {
        response.insert_header("Request-Id", id);
    }
}

impl http_server::RequestHandler for EndpointHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let mut response = self.respond(&request).await;
        self.faults.set_headers(&mut response);
        response
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}

impl EndpointHandler {
    async fn respond(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != &*self.name) {
            return self.reject(request, StatusCode::MISDIRECTED_REQUEST);
        }
        if request.path() == "/v1/stage-free" {
            self.record(request, true);
            return http_message::Response::new(StatusCode::OK);
        }
        if self.faults.full.load(atomic::Ordering::Relaxed) {
            return self.reject(request, StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(status) = self.faults.status() {
            return self.fail(request, status);
        }
        match self.kind {
            fleet::EndpointKind::Worker => self.run_pieces(request).await,
            fleet::EndpointKind::Plain
                if self.faults.inputs_gone.swap(false, atomic::Ordering::Relaxed) =>
            {
                self.reject(request, StatusCode::CONFLICT)
            }
            fleet::EndpointKind::Plain => {
                self.record(request, true);
                self.run_plain(request).await
            }
            fleet::EndpointKind::Engine if lacks_inputs(request) => {
                self.reject(request, StatusCode::BAD_REQUEST)
            }
            fleet::EndpointKind::Engine => {
                self.record(request, true);
                self.stream_events(request)
            }
        }
    }
}
