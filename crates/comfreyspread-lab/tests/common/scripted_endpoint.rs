//! Endpoint whose answers a test writes as raw bytes, one per request.

use super::endpoint_socket;
use async_net::TcpStream;
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::AsyncWriteExt as _;
use rustix::net::sockopt;
use std::{
    mem, net,
    sync::{self, atomic},
    time,
};

const SLOTS: u32 = 4;
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
        endpoint_socket::unregister(fleet, replaced);
        for number in 0..count {
            let address = endpoint.listen(spawner).await;
            let name = format!("scripted-{number}");
            endpoint_socket::register(fleet, &name, service, address, SLOTS);
        }
        endpoint
    }

    /// Returns the number of requests received.
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of connections on which a request came: one that only finds out whether the
    /// endpoint still listens has none.
    pub fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }

    async fn listen(&self, spawner: &worker::TaskSpawner) -> net::SocketAddr {
        let server = self.clone();
        let address = endpoint_socket::listen(spawner, move |stream| {
            let server = server.clone();
            async move { server.serve(stream).await }
        });
        address.await
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        let mut is_first = true;
        while let Some(request) = endpoint_socket::read_request(&mut stream, &mut received).await {
            if mem::take(&mut is_first) {
                self.connections.fetch_add(1, atomic::Ordering::Relaxed);
            }
            let number = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
            let endpoint_socket::ReceivedRequest { id, path, body, .. } = request;
            let request = ScriptedRequest { id, path, body, number };
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
