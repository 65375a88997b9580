//! Callers' connections that are kept after a request, by clients that do not use them any more or send
//! empty lines on them.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use std::{
    io::{Read as _, Write as _},
    net, sync, thread, time,
};

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 48;
/// Connections that are kept beside each other, fewer than the machine's descriptors allow.
const KEPT: usize = 900;
const KEPT_DESCRIPTORS: u32 = 2000;
/// Body of the request on each of them.
const BODY_BYTES: usize = 30_000;
/// Descriptors of a machine, the connections that they leave to callers, and clients that take all of
/// them.
const FEW_DESCRIPTORS: u32 = 1100;
const CALLER_CONNECTIONS: usize = 300;
const CROWD: usize = 400;
/// Time between the empty lines of a client, and for which it sends them before others come.
const LINE_PAUSE: time::Duration = time::Duration::from_millis(200);
const CROWD_TIME: time::Duration = time::Duration::from_millis(2500);
/// Ordinary requests on a new connection each.
const ORDINARY: usize = 20;

/// One crowd at a time.
static CROWDS: sync::Mutex<()> = sync::Mutex::new(());

async fn start_node(fleet: &fleet::FleetStandIn, descriptors: u32) -> fleet::FleetNode {
    let settings = format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={descriptors}\n");
    gateway::start_with_settings(fleet, &settings).await
}

/// Opens a connection, has a request of no route answered on it, and returns it; none if the node
/// refuses it.
fn keep_connection(address: net::SocketAddr, body: &[u8]) -> Option<net::TcpStream> {
    let mut stream = net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(gateway::RESPONSE_TIMEOUT)).ok()?;
    let length = body.len();
    let head =
        format!("POST /none/ HTTP/1.1\r\nhost: h.example\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).ok()?;
    answer[..count].starts_with(b"HTTP/1.1 40").then_some(stream)
}

/// The read buffer of a connection grew to 32 KiB with the first body and was kept with the connection;
/// no budget counted it.
#[test]
fn buffers_released() {
    let _alone = CROWDS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    gateway::with_fleet(async |fleet| {
        let node = start_node(&fleet, KEPT_DESCRIPTORS).await;
        let body = vec![b'b'; BODY_BYTES];
        let kept: Vec<_> =
            (0..KEPT).filter_map(|_| keep_connection(node.caller_address, &body)).collect();
        assert_eq!(kept.len(), KEPT);
        gateway::check_memory(&node, MEMORY_MB);
        gateway::check_served(&node, "/read/", "after").await;
    });
}

/// Takes all connections of a node with clients that go on with `line` after one request, and sends
/// ordinary requests.
fn check_crowd(line: &'static [u8]) {
    let _alone = CROWDS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    gateway::with_fleet(async |fleet| {
        let node = start_node(&fleet, FEW_DESCRIPTORS).await;
        let mut kept: Vec<_> =
            (0..CROWD).filter_map(|_| keep_connection(node.caller_address, b"")).collect();
        assert!(kept.len() >= CALLER_CONNECTIONS, "{}", kept.len());
        let begun = time::Instant::now();
        while begun.elapsed() < CROWD_TIME {
            for stream in &mut kept {
                // The node may have closed it.
                stream.write_all(line).ok();
            }
            thread::sleep(LINE_PAUSE);
        }
        for number in 0..ORDINARY {
            gateway::check_served(&node, "/read/", &format!("r-{number}")).await;
        }
        drop(kept);
    });
}

/// Clients that send empty lines after one request took all connections, and ordinary callers were
/// refused: a connection that had sent one request was never closed for another.
#[test]
fn empty_lines() {
    check_crowd(b"\r\n");
}

/// The same with clients that send nothing more.
#[test]
fn unused_connections() {
    check_crowd(b"");
}
