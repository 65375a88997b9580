//! Endpoint whose response never ends, written as raw bytes.

use super::endpoint_socket;
use async_net::TcpStream;
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::AsyncWriteExt as _;
use std::{
    net,
    sync::{self, atomic},
    time,
};

const CHUNK_BYTES: usize = 16 * 1024;
const SLOTS: u32 = 4;
/// Pause between the bytes of a response that drips.
const DRIP_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Bytes of an event or body that are held: less than a node accepts of one.
const HELD_BYTES: usize = 3_900_000;
/// Bytes of a head that are held: less than the HTTP library accepts of one.
const HELD_HEAD_BYTES: usize = 380_000;
/// Bytes of a large body, a few times what the buffers of a connection hold.
const LARGE_BODY_BYTES: usize = 6_000_000;
const STREAM_HEADERS: &str =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

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
    /// A large body of a known length, and more bytes after it.
    LargeBody,
    /// A chunked body without its last chunk.
    ChunkedBody,
    /// A stream that is one event without an end.
    Event,
    /// Bytes of an event, one now and then, without its end.
    DrippingEvent,
    /// One whole event, again and again.
    RepeatedEvent,
    /// The same, with lines that end with a carriage return and a line feed.
    RepeatedCrlfEvent,
    /// One whole event, then events with data and without a number.
    UnnumberedEvents,
    /// One whole event, then comments.
    Comments,
    /// Most of the bytes that a head may have, then one now and then.
    HeldHead,
    /// The same of a body that is no stream.
    HeldBody,
    /// The same of an event.
    HeldEvent,
}

impl Endless {
    /// Returns how many bytes come as fast as they are taken before the pauses begin; none if there
    /// are no pauses.
    fn fast_bytes(self) -> Option<usize> {
        match self {
            Self::DrippingHead | Self::DrippingEvent => Some(0),
            Self::HeldHead => Some(HELD_HEAD_BYTES),
            Self::HeldBody | Self::HeldEvent => Some(HELD_BYTES),
            _ => None,
        }
    }
}

/// An endpoint and what was sent on its connections.
#[derive(Clone, Debug)]
pub struct RawEndpoint {
    address: net::SocketAddr,
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
        let endpoint = Self::listen(spawner, endless).await;
        endpoint.register(fleet, service, replaced, SLOTS);
        endpoint
    }

    /// Registers the endpoint with so many slots under `service` in place of `replaced`.
    pub fn register(
        &self,
        fleet: &fleet::FleetStandIn,
        service: &str,
        replaced: &[&str],
        slots: u32,
    ) {
        endpoint_socket::unregister(fleet, replaced);
        endpoint_socket::register(fleet, "raw-1", service, self.address, slots);
    }

    /// Starts an endpoint that is not registered.
    pub async fn listen(spawner: &worker::TaskSpawner, endless: Endless) -> Self {
        let (written, closed) = (sync::Arc::default(), sync::Arc::default());
        let writer = ResponseWriter {
            endless,
            written: sync::Arc::clone(&written),
            closed: sync::Arc::clone(&closed),
        };
        let address = endpoint_socket::listen(spawner, move |stream| {
            let writer = writer.clone();
            async move { writer.serve(stream).await }
        });
        Self { address: address.await, written, closed }
    }
}

/// Writes the responses of an endpoint.
#[derive(Clone, Debug)]
struct ResponseWriter {
    endless: Endless,
    written: sync::Arc<atomic::AtomicUsize>,
    closed: sync::Arc<atomic::AtomicUsize>,
}

impl ResponseWriter {
    async fn serve(&self, mut stream: TcpStream) {
        let request = endpoint_socket::read_request(&mut stream, &mut Vec::new()).await;
        let id = request.map(|request| request.id).filter(|id| !id.is_empty());
        let Some(id) = id else { return };
        let head = format!("HTTP/1.1 200 OK\r\nResponse-Stamp: raw-1\r\nRequest-Id: {id}\r\n");
        let endless = self.endless;
        let first = match endless {
            Endless::Head | Endless::DrippingHead | Endless::HeldHead => head,
            Endless::InformationalHeads => String::new(),
            Endless::ChunkExtension => format!("{head}Transfer-Encoding: chunked\r\n\r\n4;"),
            Endless::Trailers => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            Endless::LongBody => format!("{head}Content-Length: 4\r\n\r\nbody"),
            Endless::LargeBody => format!("{head}Content-Length: {LARGE_BODY_BYTES}\r\n\r\n"),
            Endless::Body => format!("{head}Content-Length: 9000000000\r\n\r\n"),
            Endless::ChunkedBody => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            Endless::HeldBody => {
                format!("{head}Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")
            }
            Endless::Event
            | Endless::HeldEvent
            | Endless::DrippingEvent
            | Endless::RepeatedEvent
            | Endless::RepeatedCrlfEvent => format!("{head}{STREAM_HEADERS}"),
            Endless::UnnumberedEvents | Endless::Comments => {
                format!("{head}{STREAM_HEADERS}f\r\nid: 1\ndata: x\n\n\r\n")
            }
        };
        let mut sent = stream.write_all(first.as_bytes()).await;
        let mut fast_left = endless.fast_bytes();
        while sent.is_ok() {
            let bytes = if fast_left.is_some_and(|left| left < CHUNK_BYTES) {
                async_io::Timer::after(DRIP_PAUSE).await;
                drip_bytes(endless)
            } else {
                fast_left = fast_left.map(|left| left - CHUNK_BYTES);
                next_bytes(endless)
            };
            sent = stream.write_all(&bytes).await;
            self.written.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
        }
        self.closed.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

/// Returns what comes now and then.
fn drip_bytes(endless: Endless) -> Vec<u8> {
    match endless {
        Endless::DrippingHead | Endless::HeldHead => b"X".to_vec(),
        _ => b"1\r\nx\r\n".to_vec(),
    }
}

fn next_bytes(endless: Endless) -> Vec<u8> {
    match endless {
        Endless::Head | Endless::HeldHead | Endless::Trailers => {
            b"X-Filler: 0123456789\r\n".repeat(CHUNK_BYTES / 22)
        }
        Endless::InformationalHeads => b"HTTP/1.1 102 Processing\r\n\r\n".repeat(CHUNK_BYTES / 27),
        Endless::Body | Endless::LargeBody | Endless::ChunkExtension | Endless::LongBody => {
            vec![b'x'; CHUNK_BYTES]
        }
        Endless::ChunkedBody | Endless::Event | Endless::HeldBody | Endless::HeldEvent => {
            chunk(&vec![b'x'; CHUNK_BYTES])
        }
        Endless::RepeatedEvent => chunk(&b"id: 1\ndata: x\n\n".repeat(CHUNK_BYTES / 15)),
        Endless::RepeatedCrlfEvent => chunk(&b"id: 1\r\ndata: x\r\n\r\n".repeat(CHUNK_BYTES / 18)),
        Endless::UnnumberedEvents => chunk(&b"data: x\n\n".repeat(CHUNK_BYTES / 9)),
        Endless::Comments => chunk(&b": x\n\n".repeat(CHUNK_BYTES / 5)),
        Endless::DrippingHead | Endless::DrippingEvent => drip_bytes(endless),
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
