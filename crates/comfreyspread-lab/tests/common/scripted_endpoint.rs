//! Endpoint whose answers a test writes as raw bytes, one per request.

use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use rustix::net::sockopt;
use std::{
    net,
    sync::{self, atomic},
    time,
};

const READ_BUFFER_BYTES: usize = 4096;
/// Time for the node to read an answer before its connection is reset.
const RESET_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time after an answer at which late bytes are sent.
pub const LATE_DELAY: time::Duration = time::Duration::from_millis(100);

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// It is kept.
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
}

/// A request as the endpoint received it.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// Value of its id header; empty if there is none.
    pub id: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Number of requests before it, on any connection.
    pub number: usize,
}

/// The bytes sent for a request.
#[derive(Clone, Debug)]
pub struct ScriptedAnswer {
    /// Bytes.
    pub bytes: Vec<u8>,
    /// Bytes sent a moment later.
    pub late: Vec<u8>,
    /// What follows.
    pub end: AnswerEnd,
}

impl ScriptedAnswer {
    /// Creates an answer after which the connection is kept.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self { bytes: bytes.into(), late: Vec::new(), end: AnswerEnd::Keep }
    }

    /// Sets bytes that follow a moment later, while no request is in progress.
    pub fn with_late(self, late: impl Into<Vec<u8>>) -> Self {
        Self { late: late.into(), ..self }
    }

    /// Sets what becomes of the connection.
    pub fn with_end(self, end: AnswerEnd) -> Self {
        Self { end, ..self }
    }
}

type Script = sync::Arc<dyn Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync>;

/// An endpoint and what it has received.
#[derive(Clone)]
pub struct ScriptedEndpoint {
    script: Script,
    requests: sync::Arc<atomic::AtomicUsize>,
    connections: sync::Arc<atomic::AtomicUsize>,
}

impl ScriptedEndpoint {
    /// Starts endpoints that share a script, registered under `service` in place of `replaced`.
    pub async fn start<Answer>(
        fleet: &fleet::FleetStandIn,
        spawner: &worker::TaskSpawner,
        service: &str,
        replaced: &[&str],
        count: usize,
        script: Answer,
    ) -> Self
    where
        Answer: Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    {
        let endpoint = Self {
            script: sync::Arc::new(script),
            requests: sync::Arc::default(),
            connections: sync::Arc::default(),
        };
        for name in replaced {
            fleet.set_row("servers", name, None);
        }
        for number in 0..count {
            let address = endpoint.listen(spawner).await;
            let registration = serde_json::json!({
                "service": service, "address": address, "zone": "a", "slots": 4,
                "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
            });
            let name = format!("scripted-{number}");
            fleet.set_row("servers", &name, Some(&registration.to_string()));
        }
        endpoint
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }

    async fn listen(&self, spawner: &worker::TaskSpawner) -> net::SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (server, task_spawner) = (self.clone(), spawner.clone());
        spawner.detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server.connections.fetch_add(1, atomic::Ordering::Relaxed);
                let server = server.clone();
                task_spawner.detach(async move { server.serve(stream).await });
            }
        });
        address
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        while let Some(mut request) = read_request(&mut stream, &mut received).await {
            request.number = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
            let answer = (self.script)(&request);
            if stream.write_all(&answer.bytes).await.is_err() {
                return;
            }
            if !answer.late.is_empty() {
                async_io::Timer::after(LATE_DELAY).await;
                // The client may have closed the connection; the next read then ends.
                stream.write_all(&answer.late).await.ok();
            }
            match answer.end {
                AnswerEnd::Keep => {}
                AnswerEnd::Close => return,
                AnswerEnd::Reset => {
                    async_io::Timer::after(RESET_DELAY).await;
                    let linger = Some(time::Duration::ZERO);
                    sockopt::set_socket_linger(&stream, linger).expect("a socket option");
                    return;
                }
            }
        }
    }
}

/// Reads one request; returns none once the connection has ended.
async fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<ScriptedRequest> {
    let head_end = loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, received).await?;
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while received.len() < head_end + length {
        read_more(stream, received).await?;
    }
    let body = received[head_end..head_end + length].to_vec();
    received.drain(..head_end + length);
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let id = header(&head, "request-id").unwrap_or_default();
    Some(ScriptedRequest { id, path, body, number: 0 })
}

async fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
    received.extend_from_slice(&buffer[..count]);
    Some(())
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
