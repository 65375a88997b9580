//! Endpoints that answer each attempt at a request with bytes that the test wrote down.

use super::raw_endpoint;
use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::AsyncWriteExt as _;
use indexmap::IndexMap;
use std::{sync, time};

/// Head of a stream, up to its first chunk.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Last chunk of a complete stream.
pub const STREAM_END: &str = "0\r\n\r\n";

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum AnswerStep {
    /// Sends bytes.
    Send(String),
    /// Waits.
    Pause(time::Duration),
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
}

impl ScriptedEndpoints {
    /// Starts `count` endpoints that share the scripts.
    pub async fn start(
        fleet: &fleet::FleetStandIn,
        spawner: &worker::TaskSpawner,
        count: u64,
        scripts: RequestScripts,
    ) -> Self {
        for name in ["engine-1", "engine-2"] {
            fleet.set_row("servers", name, None);
        }
        let endpoints = Self { scripts, attempts: sync::Arc::default() };
        for number in 1..=count {
            endpoints.listen(fleet, spawner, &format!("scripted-{number}")).await;
        }
        endpoints
    }

    /// Returns the number of attempts at a request.
    pub fn attempts(&self, id: &str) -> usize {
        self.attempts.lock().expect("no panic").get(id).copied().unwrap_or(0)
    }

    async fn listen(&self, fleet: &fleet::FleetStandIn, spawner: &worker::TaskSpawner, name: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let registration = serde_json::json!({
            "service": "engine", "address": listener.local_addr().expect("an address"),
            "zone": "a", "slots": 400, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        fleet.set_row("servers", name, Some(&registration.to_string()));
        let (endpoints, task_spawner) = (self.clone(), spawner.clone());
        spawner.detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoints = endpoints.clone();
                task_spawner.detach(async move { endpoints.serve(stream).await });
            }
        });
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some(id) = raw_endpoint::read_request_id(&mut stream).await else { return };
        let attempt = {
            let mut attempts = self.attempts.lock().expect("no panic");
            let attempts = attempts.entry(id.clone()).or_default();
            *attempts += 1;
            *attempts - 1
        };
        let script = self.scripts.get(&*id).and_then(|scripts| scripts.get(attempt));
        for step in script.into_iter().flatten() {
            match step {
                AnswerStep::Send(text) if stream.write_all(text.as_bytes()).await.is_err() => {
                    return;
                }
                AnswerStep::Send(_) => {}
                AnswerStep::Pause(length) => {
                    async_io::Timer::after(*length).await;
                }
            }
        }
    }
}
