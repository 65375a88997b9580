//! Endpoint whose response never ends, written as raw bytes.

use super::endpoint_socket;
use async_net::TcpStream;
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::AsyncWriteExt as _;
use std::{
    sync::{self, atomic},
    time,
};

const CHUNK_BYTES: usize = 16 * 1024;
const SLOTS: u32 = 4;
/// Pause between the bytes of a response that drips.
const DRIP_PAUSE: time::Duration = time::Duration::from_millis(250);

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
}

/// An endpoint and what was sent on its connections.
#[derive(Clone, Debug)]
pub struct RawEndpoint {
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
        let endpoint = Self { written: sync::Arc::default(), closed: sync::Arc::default() };
        let server = endpoint.clone();
        let address = endpoint_socket::listen(spawner, move |stream| {
            let server = server.clone();
            async move { server.serve(stream, endless).await }
        });
        let address = address.await;
        endpoint_socket::unregister(fleet, replaced);
        endpoint_socket::register(fleet, "raw-1", service, address, SLOTS);
        endpoint
    }

    async fn serve(&self, mut stream: TcpStream, endless: Endless) {
        let request = endpoint_socket::read_request(&mut stream, &mut Vec::new()).await;
        let id = request.map(|request| request.id).filter(|id| !id.is_empty());
        let Some(id) = id else { return };
        let head = format!("HTTP/1.1 200 OK\r\nResponse-Stamp: raw-1\r\nRequest-Id: {id}\r\n");
        let first = match endless {
            Endless::Head | Endless::DrippingHead => head,
            Endless::InformationalHeads => String::new(),
            Endless::ChunkExtension => format!("{head}Transfer-Encoding: chunked\r\n\r\n4;"),
            Endless::Trailers => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            Endless::LongBody => format!("{head}Content-Length: 4\r\n\r\nbody"),
            Endless::Body => format!("{head}Content-Length: 9000000000\r\n\r\n"),
            Endless::ChunkedBody => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            Endless::Event
            | Endless::DrippingEvent
            | Endless::RepeatedEvent
            | Endless::RepeatedCrlfEvent => format!("{head}{STREAM_HEADERS}"),
            Endless::UnnumberedEvents | Endless::Comments => {
                format!("{head}{STREAM_HEADERS}f\r\nid: 1\ndata: x\n\n\r\n")
            }
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
        Endless::ChunkedBody | Endless::Event => chunk(&vec![b'x'; CHUNK_BYTES]),
        Endless::RepeatedEvent => chunk(&b"id: 1\ndata: x\n\n".repeat(CHUNK_BYTES / 15)),
        Endless::RepeatedCrlfEvent => chunk(&b"id: 1\r\ndata: x\r\n\r\n".repeat(CHUNK_BYTES / 18)),
        Endless::UnnumberedEvents => chunk(&b"data: x\n\n".repeat(CHUNK_BYTES / 9)),
        Endless::Comments => chunk(&b": x\n\n".repeat(CHUNK_BYTES / 5)),
        Endless::DrippingEvent => b"1\r\nx\r\n".to_vec(),
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
