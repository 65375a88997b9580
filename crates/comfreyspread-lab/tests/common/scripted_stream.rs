//! Endpoints that answer each attempt at a request with bytes that the test wrote down.

use super::{endpoint_socket, gateway};
use async_net::TcpStream;
use comfreyspread::{
    runtime::worker,
    transport::{failure, http_client},
};
use comfreyspread_lab::fleet;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use indexmap::IndexMap;
use std::{sync, time};

/// Stands for the id of the request in a script: endpoints echo it in each answer.
pub const REQUEST_ID: &str = "<request id>";
/// Head of a stream, up to its first chunk.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: <request id>\r\nResponse-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Last chunk of a complete stream.
pub const STREAM_END: &str = "0\r\n\r\n";
const ALL_EVENTS: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];
/// Endpoints, as many as a request may be sent to in these tests.
const ENDPOINTS: u64 = 3;
const SLOTS: u32 = 400;

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum AnswerStep {
    /// Sends bytes.
    Send(String),
    /// Waits.
    Pause(time::Duration),
    /// Waits until the connection is closed.
    AwaitClose,
}

/// The steps of an answer; the connection is closed after the last.
pub type AnswerScript = Vec<AnswerStep>;

/// Answers to the attempts at each request, by request id; an attempt without one is cut.
pub type RequestScripts = IndexMap<&'static str, Vec<AnswerScript>>;

/// Returns a step that sends this text.
pub fn text(text: &str) -> AnswerStep {
    AnswerStep::Send(text.to_owned())
}

/// Returns a step that waits.
pub fn pause(milliseconds: u64) -> AnswerStep {
    AnswerStep::Pause(time::Duration::from_millis(milliseconds))
}

/// Returns a step that waits until the connection is closed.
pub fn await_close() -> AnswerStep {
    AnswerStep::AwaitClose
}

/// Returns a step that sends a chunk.
pub fn chunk(text: &str) -> AnswerStep {
    AnswerStep::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns a step that sends events with these numbers.
pub fn events(numbers: std::ops::RangeInclusive<u64>) -> AnswerStep {
    let events = numbers.map(|number| format!("id: {number}\ndata: e{number}\n\n"));
    chunk(&events.collect::<String>())
}

/// Endpoints of the sample's engine service, in place of its own, and the attempts that they got.
#[derive(Clone, Debug)]
pub struct ScriptedEndpoints {
    scripts: RequestScripts,
    attempts: sync::Arc<sync::Mutex<IndexMap<String, usize>>>,
    last_attempt: sync::Arc<sync::Mutex<Option<time::Instant>>>,
    overlap: sync::Arc<sync::Mutex<Option<time::Duration>>>,
}

impl ScriptedEndpoints {
    /// Starts `count` endpoints that share the scripts.
    pub async fn start(
        fleet: &fleet::FleetStandIn,
        spawner: &worker::TaskSpawner,
        count: u64,
        scripts: RequestScripts,
    ) -> Self {
        endpoint_socket::unregister(fleet, &["engine-1", "engine-2"]);
        let endpoints = Self {
            scripts,
            attempts: sync::Arc::default(),
            last_attempt: sync::Arc::default(),
            overlap: sync::Arc::default(),
        };
        for number in 1..=count {
            endpoints.listen(fleet, spawner, &format!("scripted-{number}")).await;
        }
        endpoints
    }

    /// Returns the number of attempts at a request.
    pub fn attempts(&self, id: &str) -> usize {
        self.attempts.lock().expect("no panic").get(id).copied().unwrap_or(0)
    }

    /// Returns for how long the latest attempt ran beside one that waited for its close.
    pub fn overlap(&self) -> Option<time::Duration> {
        *self.overlap.lock().expect("no panic")
    }

    fn record_close(&self) {
        let started = self.last_attempt.lock().expect("no panic").expect("an attempt");
        *self.overlap.lock().expect("no panic") = Some(started.elapsed());
    }

    async fn listen(&self, fleet: &fleet::FleetStandIn, spawner: &worker::TaskSpawner, name: &str) {
        let endpoints = self.clone();
        let address = endpoint_socket::listen(spawner, move |stream| {
            let endpoints = endpoints.clone();
            async move { endpoints.serve(stream).await }
        });
        endpoint_socket::register(fleet, name, "engine", address.await, SLOTS);
    }

    async fn serve(&self, mut stream: TcpStream) {
        let request = endpoint_socket::read_request(&mut stream, &mut Vec::new()).await;
        let id = request.map(|request| request.id).filter(|id| !id.is_empty());
        let Some(id) = id else { return };
        let attempt = {
            let mut attempts = self.attempts.lock().expect("no panic");
            let attempts = attempts.entry(id.clone()).or_default();
            *attempts += 1;
            *attempts - 1
        };
        *self.last_attempt.lock().expect("no panic") = Some(time::Instant::now());
        let script = self.scripts.get(&*id).and_then(|scripts| scripts.get(attempt));
        for step in script.into_iter().flatten() {
            match step {
                AnswerStep::Send(text) => {
                    let text = text.replace(REQUEST_ID, &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                AnswerStep::Pause(length) => {
                    async_io::Timer::after(*length).await;
                }
                AnswerStep::AwaitClose => {
                    let mut rest = Vec::new();
                    if let Err(error) = stream.read_to_end(&mut rest).await {
                        log::debug!("reset. error={error}");
                    }
                    self.record_close();
                }
            }
        }
    }
}

/// The body of a stream, or how it broke off, and the number of attempts.
pub type StreamResult = (Result<String, failure::CallFailure>, usize);

/// Sends one request for a stream whose attempts are answered with these scripts.
pub fn run_stream(scripts: Vec<AnswerScript>) -> StreamResult {
    run_stream_at(ENDPOINTS, scripts)
}

/// Sends one request for a stream to a service with so many endpoints.
pub fn run_stream_at(count: u64, scripts: Vec<AnswerScript>) -> StreamResult {
    run_on_endpoints(count, scripts).0
}

/// Does the same, and returns the endpoints too.
pub fn run_on_endpoints(
    count: u64,
    scripts: Vec<AnswerScript>,
) -> (StreamResult, ScriptedEndpoints) {
    let (sender, results) = std::sync::mpsc::channel();
    let pool = worker::WorkerPool::new(1).expect("threads");
    let spawner = pool.spawner();
    gateway::with_fleet(async |fleet| {
        let mut document = gateway::route_document(2);
        document["routes"][2]["max_attempts"] = ENDPOINTS.into();
        fleet.set_route_document(&document);
        let scripts = [("r-1", scripts)].into_iter().collect();
        let endpoints = ScriptedEndpoints::start;
        let endpoints = endpoints(&fleet, &spawner, count, scripts).await;
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let request = gateway::request(node.caller_address, "/chat/", "r-1");
        let client = http_client::HttpClient::new(1 << 20);
        let fresh = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        let response = client.call(node.caller_address, request, fresh, deadline).await;
        let body = response.map(|one| String::from_utf8_lossy(one.body()).into_owned());
        let attempts = endpoints.attempts("r-1");
        sender.send(((body, attempts), endpoints)).expect("a receiver");
    });
    pool.stop();
    results.recv().expect("a result")
}

/// Checks that a stream came whole, each event once, after so many attempts.
pub fn check_whole(result: &StreamResult, attempts: usize) {
    let body = result.0.as_ref().expect("a complete stream");
    let data: Vec<_> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data, ALL_EVENTS);
    assert!(!body.contains("oops"), "{body}");
    assert_eq!(result.1, attempts);
}
