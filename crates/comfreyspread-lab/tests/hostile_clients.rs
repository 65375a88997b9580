//! Clients that keep no limits: the node lives, stays within its memory and descriptors, and answers
//! an ordinary request afterwards.
//!
//! The node's settings name a small machine, so that a small crowd is enough to exceed it. The bounds
//! are those settings. Only one crowd runs at a time.

mod common;

use comfreyspread_lab::{fleet, process_usage};
use common::gateway;
use std::{
    fs,
    io::{Read as _, Write as _},
    net, sync, thread, time,
};

/// Memory of the machine, in MB.
const MEMORY_MB: u64 = 48;
/// Descriptors of the machine; the node keeps 800 for other uses than callers.
const DESCRIPTORS: u32 = 1100;
/// Clients of a crowd.
const CROWD: usize = 250;
/// Clients that take all connections of callers, and more.
const LARGE_CROWD: usize = 400;
/// Bytes that each client sends, and then waits: less than a library buffers for one connection.
const HELD_BYTES: usize = 360 * 1024;
/// Bytes that each client sends unless the node ends the connection before.
const ENDLESS_BYTES: usize = 1 << 20;
const BLOCK_BYTES: usize = 16 * 1024;
/// Time for which a client waits for a node that does not read.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time after the crowd has sent all, so that the node has read it.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(500);

const HEAD: &str = "POST /read/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
    deadline-ms: 3000\r\n";

/// One crowd at a time.
static CROWDS: sync::Mutex<()> = sync::Mutex::new(());

/// What each client sends: a beginning, and a block that follows until it has sent enough.
#[derive(Clone, Copy, Debug)]
struct ClientScript {
    name: &'static str,
    begin: &'static str,
    block: &'static str,
}

fn connect(address: net::SocketAddr) -> Option<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(2)).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(WRITE_TIMEOUT)).ok()?;
    Some(stream)
}

/// Sends what a script says until the node closes the connection or stops reading.
fn send_script(stream: &mut net::TcpStream, script: &ClientScript, bytes: usize) {
    let block: String = script.block.repeat(BLOCK_BYTES / script.block.len().max(1) + 1);
    let mut sent = 0;
    if stream.write_all(script.begin.as_bytes()).is_err() {
        return;
    }
    while !script.block.is_empty() && sent < bytes {
        if stream.write_all(block.as_bytes()).is_err() {
            return;
        }
        sent += block.len();
    }
}

/// Opens a crowd's connections, sends the script on each at the same time and returns those that are
/// left open.
fn run_crowd(
    address: net::SocketAddr,
    count: usize,
    script: &ClientScript,
    bytes: usize,
) -> Vec<net::TcpStream> {
    let script = *script;
    let clients: Vec<_> = (0..count)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = connect(address)?;
                send_script(&mut stream, &script, bytes);
                Some(stream)
            })
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
}

fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(usize::MAX, Iterator::count)
}

async fn check_node(node: &mut fleet::FleetNode, name: &str) {
    let process = node.process.id();
    let usage = process_usage::ProcessUsage::new(process);
    let usage = usage.unwrap_or_else(|| panic!("{name}: the process has ended"));
    let peak_mb = usage.peak_memory_kb / 1024;
    assert!(peak_mb < MEMORY_MB, "{name}: {peak_mb} MB of {MEMORY_MB}");
    let descriptors = open_descriptors(process);
    assert!(descriptors < DESCRIPTORS as usize, "{name}: {descriptors} descriptors");
    let request = gateway::request(node.caller_address, "/read/", &format!("after-{name}"));
    let (status, _) = gateway::send(node.caller_address, request).await;
    assert_eq!(status, 200, "{name}: an ordinary request afterwards");
}

/// The address of a node that a crowd is sent to.
#[derive(Clone, Copy, Debug)]
enum NodeAddress {
    Caller,
    Admin,
    Peer,
}

/// Runs a crowd against a node of a small machine and checks the node, with the connections open and
/// after they are reset.
fn with_crowd(address: NodeAddress, count: usize, scripts: &[ClientScript]) {
    let _alone = CROWDS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    for script in scripts {
        gateway::with_fleet(async |fleet| {
            let settings = format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={DESCRIPTORS}\n");
            let mut node = gateway::start_with_settings(&fleet, &settings).await;
            let target = match address {
                NodeAddress::Caller => node.caller_address,
                NodeAddress::Admin => node.admin_address,
                NodeAddress::Peer => node.peer_address,
            };
            drop(run_crowd(target, count, script, ENDLESS_BYTES));
            let crowd = run_crowd(target, count, script, HELD_BYTES);
            async_io::Timer::after(SETTLE_TIME).await;
            check_node(&mut node, script.name).await;
            for stream in &crowd {
                rustix::net::sockopt::set_socket_linger(stream, Some(time::Duration::ZERO)).ok();
            }
            drop(crowd);
            async_io::Timer::after(SETTLE_TIME).await;
            check_node(&mut node, script.name).await;
        });
    }
}

const ENDLESS_LINE: ClientScript = ClientScript {
    name: "one header line without end",
    begin: "GET /read/ HTTP/1.1\r\nx-long: ",
    block: "y",
};
const MANY_HEADERS: ClientScript = ClientScript {
    name: "headers without end",
    begin: "GET /read/ HTTP/1.1\r\n",
    block: "x: y\r\n",
};
const EMPTY_LINES: ClientScript =
    ClientScript { name: "empty lines without end", begin: "", block: "\r\n" };
const ENDLESS_TARGET: ClientScript =
    ClientScript { name: "a path without end", begin: "GET /read/", block: "z" };

/// Heads over the limit or without end, and empty lines without end before a request, filled the
/// buffer of each connection; the sum of all was bounded by nothing.
#[test]
fn endless_heads() {
    let scripts = [ENDLESS_LINE, MANY_HEADERS, EMPTY_LINES, ENDLESS_TARGET];
    with_crowd(NodeAddress::Caller, CROWD, &scripts);
}

/// The same on the addresses for readiness checks, metrics and other nodes.
#[test]
fn internal_addresses() {
    with_crowd(NodeAddress::Admin, CROWD, &[ENDLESS_LINE, EMPTY_LINES]);
    with_crowd(NodeAddress::Peer, CROWD, &[ENDLESS_LINE, EMPTY_LINES]);
}

/// Chunks whose size lines, extensions or trailers do not end.
#[test]
fn endless_chunk_lines() {
    const CHUNKED: &str = "POST /read/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
        request-id: r\r\ntransfer-encoding: chunked\r\n\r\n";
    let scripts = [
        ClientScript { name: "a chunk size without end", begin: CHUNKED, block: "0" },
        ClientScript {
            name: "chunks of one byte without end",
            begin: CHUNKED,
            block: "1;extension=of-some-length\r\nx\r\n",
        },
    ];
    with_crowd(NodeAddress::Caller, CROWD, &scripts);
}

/// Bodies over the limit, by length and by chunks, and bodies that stop before their end.
#[test]
fn large_bodies() {
    let scripts = [
        ClientScript {
            name: "a body over the limit",
            begin: "POST /read/ HTTP/1.1\r\nhost: fleet.example\r\ncontent-length: 999999999\r\n\r\n",
            block: "b",
        },
        ClientScript {
            name: "a body within the limit that stops",
            begin: "POST /read/ HTTP/1.1\r\nhost: fleet.example\r\ncontent-length: 4000000\r\n\r\n",
            block: "b",
        },
    ];
    with_crowd(NodeAddress::Caller, CROWD, &scripts);
}

/// Requests sent one after the other on each connection, whose answers nobody reads.
#[test]
fn unread_answers() {
    let block = "GET /read/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
        request-id: r\r\n\r\n";
    let script = ClientScript { name: "pipelined requests", begin: "", block };
    with_crowd(NodeAddress::Caller, CROWD / 5, &[script]);
}

/// Connections that send nothing, or the beginning of a head, took all places; ordinary callers were
/// refused until they timed out.
#[test]
fn silent_connections() {
    let scripts = [
        ClientScript { name: "nothing at all", begin: "", block: "" },
        ClientScript { name: "the beginning of a head", begin: HEAD, block: "" },
    ];
    with_crowd(NodeAddress::Caller, LARGE_CROWD, &scripts);
    with_crowd(NodeAddress::Admin, LARGE_CROWD, &scripts[..1]);
}

/// Callers of streams that read nothing.
#[test]
fn unread_streams() {
    let begin = "POST /chat/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
        request-id: r\r\ndeadline-ms: 3000\r\ncontent-length: 0\r\n\r\n";
    let script = ClientScript { name: "unread streams", begin, block: "" };
    with_crowd(NodeAddress::Caller, CROWD, &[script]);
}

/// A single request with a large head inside the limits of the pages is served.
#[test]
fn large_head_served() {
    let _alone = CROWDS.lock().unwrap_or_else(sync::PoisonError::into_inner);
    gateway::with_node(async |_, node| {
        let mut stream = connect(node.caller_address).expect("a connection");
        let padding = "p".repeat(15 * 1024);
        let head = format!(
            "GET /read/ HTTP/1.1\r\nhost: fleet.example\r\nx-api-key: fleet-key\r\n\
             request-id: large\r\ndeadline-ms: 3000\r\nx-padding: {padding}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("a head");
        stream.set_read_timeout(Some(time::Duration::from_secs(5))).expect("a timeout");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    });
}
