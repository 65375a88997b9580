//! Listeners, registrations and requests of endpoints that write raw bytes.

use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::AsyncReadExt as _;
use std::net;

const READ_BUFFER_BYTES: usize = 4096;

/// A request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Value of its id header; empty if there is none.
    pub id: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    head: String,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// Listens on a free port and serves each connection in a task of its own.
pub async fn listen<Serve, Task>(spawner: &worker::TaskSpawner, serve: Serve) -> net::SocketAddr
where
    Serve: Fn(TcpStream) -> Task + Send + 'static,
    Task: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let task_spawner = spawner.clone();
    spawner.detach(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task_spawner.detach(serve(stream));
        }
    });
    address
}

/// Registers an endpoint with so many slots, in availability zone `a`.
pub fn register(
    fleet: &fleet::FleetStandIn,
    name: &str,
    service: &str,
    address: net::SocketAddr,
    slots: u32,
) {
    let registration = serde_json::json!({
        "service": service, "address": address, "zone": "a", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    fleet.set_row("servers", name, Some(&registration.to_string()));
}

/// Removes the registrations of endpoints.
pub fn unregister(fleet: &fleet::FleetStandIn, names: &[&str]) {
    for name in names {
        fleet.set_row("servers", name, None);
    }
}

/// Reads one request, with what `received` holds of it; returns none once the connection has ended.
pub async fn read_request(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
) -> Option<ReceivedRequest> {
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
    Some(ReceivedRequest { id, path, body, head })
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
