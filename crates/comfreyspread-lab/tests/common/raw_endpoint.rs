//! Endpoint whose response never ends, written as raw bytes.

use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use std::{
    net,
    sync::{self, atomic},
    time,
};

const CHUNK_BYTES: usize = 16 * 1024;
/// Pause between the bytes of a response that drips.
const DRIP_PAUSE: time::Duration = time::Duration::from_millis(250);

/// What an endpoint sends without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Header bytes without a blank line.
    Head,
    /// Header bytes, one now and then.
    DrippingHead,
    /// Heads of informational responses, none of them final.
    InformationalHeads,
    /// A chunk whose extension has no end.
    ChunkExtension,
    /// Trailers of a chunked body without a blank line.
    Trailers,
    /// More bytes than the length that the head states.
    LongBody,
    /// A body longer than any response may be, of a known length.
    Body,
    /// A chunked body without its last chunk.
    ChunkedBody,
    /// A stream that is one event without an end.
    Event,
    /// Bytes of an event, one now and then, without its end.
    DrippingEvent,
}

/// An endpoint and what was sent on its connections.
#[derive(Clone, Debug)]
pub struct RawEndpoint {
    pub address: net::SocketAddr,
    /// Bytes of responses written.
    pub written: sync::Arc<atomic::AtomicUsize>,
    /// Connections that the client closed.
    pub closed: sync::Arc<atomic::AtomicUsize>,
}

impl RawEndpoint {
    /// Starts an endpoint and registers it under `service` in place of `replaced`.
    pub async fn start(
        fleet: &fleet::FleetStandIn,
        spawner: &worker::TaskSpawner,
        endless: Endless,
        service: &str,
        replaced: &[&str],
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("an address"),
            written: sync::Arc::default(),
            closed: sync::Arc::default(),
        };
        let server = endpoint.clone();
        let task_spawner = spawner.clone();
        spawner.detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                task_spawner.detach(async move { server.serve(stream, endless).await });
            }
        });
        for name in replaced {
            fleet.set_row("servers", name, None);
        }
        let registration = serde_json::json!({
            "service": service, "address": endpoint.address, "zone": "a", "slots": 4,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        fleet.set_row("servers", "raw-1", Some(&registration.to_string()));
        endpoint
    }

    async fn serve(&self, mut stream: TcpStream, endless: Endless) {
        let Some(id) = read_request_id(&mut stream).await else { return };
        let head = format!("HTTP/1.1 200 OK\r\nResponse-Stamp: raw-1\r\nRequest-Id: {id}\r\n");
        let first = match endless {
            Endless::Head | Endless::DrippingHead => head,
            Endless::InformationalHeads => String::new(),
            Endless::ChunkExtension => format!("{head}Transfer-Encoding: chunked\r\n\r\n4;"),
            Endless::Trailers => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            Endless::LongBody => format!("{head}Content-Length: 4\r\n\r\nbody"),
            Endless::Body => format!("{head}Content-Length: 9000000000\r\n\r\n"),
            Endless::ChunkedBody => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            Endless::Event | Endless::DrippingEvent => format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ),
        };
        let mut sent = stream.write_all(first.as_bytes()).await;
        while sent.is_ok() {
            let bytes = next_bytes(endless);
            if matches!(endless, Endless::DrippingHead | Endless::DrippingEvent) {
                async_io::Timer::after(DRIP_PAUSE).await;
            }
            sent = stream.write_all(&bytes).await;
            self.written.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
        }
        self.closed.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

fn next_bytes(endless: Endless) -> Vec<u8> {
    match endless {
        Endless::Head | Endless::Trailers => b"X-Filler: 0123456789\r\n".repeat(CHUNK_BYTES / 22),
        Endless::InformationalHeads => b"HTTP/1.1 102 Processing\r\n\r\n".repeat(CHUNK_BYTES / 27),
        Endless::DrippingHead => b"X".to_vec(),
        Endless::Body | Endless::ChunkExtension | Endless::LongBody => vec![b'x'; CHUNK_BYTES],
        Endless::ChunkedBody | Endless::Event => {
            let mut chunk = format!("{CHUNK_BYTES:x}\r\n").into_bytes();
            chunk.extend(vec![b'x'; CHUNK_BYTES]);
            chunk.extend_from_slice(b"\r\n");
            chunk
        }
        Endless::DrippingEvent => b"1\r\nx\r\n".to_vec(),
    }
}

/// Reads a request up to the end of its head and returns its id.
pub async fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    header_value(&read_head(stream).await?, "request-id")
}

/// Returns the value of a header of a head in lower case.
pub fn header_value(head: &str, name: &str) -> Option<String> {
    let value = |line: &str| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim().to_owned());
    head.lines().find_map(value)
}

/// Reads a request up to the end of its head and returns that in lower case.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        head.extend_from_slice(&buffer[..length]);
    }
    Some(String::from_utf8_lossy(&head).to_lowercase())
}
