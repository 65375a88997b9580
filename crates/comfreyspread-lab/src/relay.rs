//! Stand-in for the network: a TCP relay that simulates the delay, the byte rate and the partitions
//! of the links between regions.
//!
//! Connections within a region are forwarded without delay. Between regions each chunk is delayed
//! by its transfer time at the link's byte rate and by the one-way delay. While a direction is
//! partitioned, its bytes are buffered until the partition heals, like packets that TCP retransmits.
//! Memory stays bounded because the relay stops reading a connection whose buffer is full.
//!
//! All callers use the same relay address of an endpoint or node, so the relay identifies the
//! sending node by its name in the headers of the first request of a connection.
//!
//! `POST /faults` takes a [`types::RelayFaults`], `GET /stats` returns a [`types::RelayStats`].

use crate::{stand_in_server, types};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use comfreyspread::{
    runtime::{lock_rank, worker},
    transport::{header, http_message, http_server},
};
use comfreyspread_schema::ids;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use http::{Method, StatusCode};
use miette::IntoDiagnostic as _;
use std::{fs, net, path, sync, time};

const CHUNK_BYTES: usize = 16 * 1024;
const HEADERS_END: &[u8] = b"\r\n\r\n";
const CHUNKS_IN_FLIGHT: usize = 32;

/// Runs the network stand-in.
#[derive(Debug, argh::FromArgs)]
#[argh(subcommand, name = "relay")]
pub struct RelayArguments {
    /// plan of the relay in JSON
    #[argh(option)]
    pub plan: path::PathBuf,
}

impl RelayArguments {
    /// Forwards connections until the process receives SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if the plan cannot be read or an address cannot be bound.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<()> {
        let plan_json = fs::read_to_string(&self.plan).into_diagnostic()?;
        let plan: types::RelayPlan = serde_json::from_str(&plan_json).into_diagnostic()?;
        let state = sync::Arc::new(RelayState::new(plan.link, plan.nodes, spawner.clone()));
        for route in plan.routes {
            let listener = TcpListener::bind(route.listen).await.into_diagnostic()?;
            spawner.detach(state.clone().accept_connections(listener, route));
        }
        stand_in_server::start(plan.control, sync::Arc::new(RelayHandler { state }), spawner)
            .await?;
        stand_in_server::wait_for_stop().await
    }
}

/// One direction of the traffic between two locations.
#[derive(Clone, Debug)]
struct RelayPath {
    from: types::RelayLocation,
    to: types::RelayLocation,
}

impl RelayPath {
    fn reversed(&self) -> Self {
        Self { from: self.to.clone(), to: self.from.clone() }
    }

    fn crosses_regions(&self) -> bool {
        self.from.region != self.to.region
    }

    fn is_blocked_by(&self, partition: &types::LinkPartition) -> bool {
        is_within(&self.from, &partition.from) && is_within(&self.to, &partition.to)
    }
}

/// Whether `name` is the name, the zone or the region of a location.
fn is_within(location: &types::RelayLocation, name: &str) -> bool {
    [&location.name, &location.zone, &location.region].iter().any(|part| &***part == name)
}

/// Traffic of one direction between two regions.
#[derive(Debug)]
struct LinkState {
    usage: types::LinkUsage,
    idle_at: time::Instant,
}

#[derive(Debug)]
struct RelayState {
    link: types::RelayLink,
    nodes: Vec<types::RelayLocation>,
    spawner: worker::TaskSpawner,
    links: lock_rank::RankedLock<lock_rank::PoolRank, Vec<LinkState>>,
    partitions: lock_rank::RankedLock<lock_rank::HintRank, Vec<types::LinkPartition>>,
    partitions_changed: event_listener::Event,
}

/// Bytes in transit and the time at which they arrive.
#[derive(Debug)]
struct RelayChunk {
    bytes: Vec<u8>,
    arrives_at: time::Instant,
}

impl RelayState {
    fn new(
        link: types::RelayLink,
        nodes: Vec<types::RelayLocation>,
        spawner: worker::TaskSpawner,
    ) -> Self {
        Self {
            link,
            nodes,
            spawner,
            links: lock_rank::RankedLock::new(Vec::new()),
            partitions: lock_rank::RankedLock::new(Vec::new()),
            partitions_changed: event_listener::Event::new(),
        }
    }

    async fn accept_connections(
        self: sync::Arc<Self>,
        listener: TcpListener,
        route: types::RelayRoute,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            self.spawner.detach(self.clone().forward_connection(stream, route.clone()));
        }
    }

    async fn forward_connection(
        self: sync::Arc<Self>,
        mut stream: TcpStream,
        route: types::RelayRoute,
    ) {
        let received = read_headers(&mut stream).await;
        let path = self.sending_node(&received).map(|from| RelayPath { from, to: route.location });
        let Ok(target) = TcpStream::connect(route.target).await else { return };
        stream.set_nodelay(true).ok();
        target.set_nodelay(true).ok();
        let reverse_path = path.as_ref().map(RelayPath::reversed);
        let requests =
            self.forward_direction(stream.clone(), target.clone(), path.as_ref(), received);
        let responses = self.forward_direction(target, stream, reverse_path.as_ref(), Vec::new());
        future::zip(requests, responses).await;
    }

    /// Returns the location of the node that sent a request.
    fn sending_node(&self, received: &[u8]) -> Option<types::RelayLocation> {
        let headers = String::from_utf8_lossy(received);
        let user_agent = headers.lines().find_map(|line| header_value(line, header::USER_AGENT));
        let agent_node = user_agent.and_then(|value| value.strip_prefix(header::USER_AGENT_PREFIX));
        // On the thin path, nodes put their name only in the request id.
        let request_id = headers.lines().find_map(|line| header_value(line, header::REQUEST));
        let is_sender = |location: &&types::RelayLocation| {
            agent_node == Some(&*location.name)
                || request_id
                    .is_some_and(|id| id.strip_prefix(&*location.name).is_some_and(is_id_suffix))
        };
        self.nodes.iter().find(is_sender).cloned()
    }

    /// Forwards one direction of a connection, `received` first, until either side closes it.
    async fn forward_direction(
        &self,
        from: TcpStream,
        to: TcpStream,
        path: Option<&RelayPath>,
        received: Vec<u8>,
    ) {
        let (sender, receiver) = async_channel::bounded(CHUNKS_IN_FLIGHT);
        if !received.is_empty() {
            sender.send(self.schedule_chunk(path, received)).await.ok();
        }
        let reader = self.read_chunks(from.clone(), path, sender);
        let writer = async {
            if self.write_chunks(to, path, receiver).await.is_err() {
                from.shutdown(net::Shutdown::Both).ok();
            }
        };
        future::zip(reader, writer).await;
    }

    async fn read_chunks(
        &self,
        mut from: TcpStream,
        path: Option<&RelayPath>,
        sender: async_channel::Sender<RelayChunk>,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            let chunk = self.schedule_chunk(path, buffer[..length].to_vec());
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
    }

    async fn write_chunks(
        &self,
        mut to: TcpStream,
        path: Option<&RelayPath>,
        receiver: async_channel::Receiver<RelayChunk>,
    ) -> std::io::Result<()> {
        while let Ok(chunk) = receiver.recv().await {
            if chunk.arrives_at > time::Instant::now() {
                Timer::at(chunk.arrives_at).await;
            }
            self.wait_until_open(path).await;
            to.write_all(&chunk.bytes).await?;
        }
        self.wait_until_open(path).await;
        to.shutdown(net::Shutdown::Write)
    }

    fn schedule_chunk(&self, path: Option<&RelayPath>, bytes: Vec<u8>) -> RelayChunk {
        let arrives_at =
            path.map_or_else(time::Instant::now, |path| self.reserve_link(path, bytes.len()));
        RelayChunk { bytes, arrives_at }
    }

    /// Reserves the link for `length` bytes and returns the time at which they arrive.
    fn reserve_link(&self, path: &RelayPath, length: usize) -> time::Instant {
        let now = time::Instant::now();
        let bytes = u64::try_from(length).unwrap_or(u64::MAX);
        let mut links = self.links.lock();
        let link = find_or_add_link(&mut links, path, now);
        link.usage.bytes += bytes;
        if !path.crosses_regions() {
            return now;
        }
        let transfer_start = link.idle_at.max(now);
        link.idle_at = transfer_start + transfer_time(bytes, self.link.rate);
        link.idle_at + self.link.delay
    }

    async fn wait_until_open(&self, path: Option<&RelayPath>) {
        let Some(path) = path else { return };
        loop {
            let changed = self.partitions_changed.listen();
            if !self.partitions.lock().iter().any(|partition| path.is_blocked_by(partition)) {
                return;
            }
            changed.await;
        }
    }

    fn set_faults(&self, faults: types::RelayFaults) -> http_message::Response {
        *self.partitions.lock() = faults.partitions;
        self.partitions_changed.notify(usize::MAX);
        http_message::Response::new(StatusCode::OK)
    }

    fn stats(&self) -> types::RelayStats {
        let links = self.links.lock();
        types::RelayStats { links: links.iter().map(|link| link.usage.clone()).collect() }
    }
}

/// Reads from a connection until the headers of its first request are complete, and returns all
/// bytes read.
async fn read_headers(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..length]);
        let complete = received.windows(HEADERS_END.len()).any(|window| window == HEADERS_END);
        if length == 0 || complete || received.len() >= CHUNK_BYTES {
            break;
        }
    }
    received
}

/// Returns the value of a header line if its name is `name`.
fn header_value<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let (found, value) = line.split_once(':')?;
    found.eq_ignore_ascii_case(name).then(|| value.trim())
}

/// Whether the rest of a request id after a node name starts with the separator, so that the name
/// is not just a prefix of a longer one.
fn is_id_suffix(rest: &str) -> bool {
    rest.starts_with('-')
}

/// Returns the link between the regions of a path, added if it is new.
fn find_or_add_link<'links>(
    links: &'links mut Vec<LinkState>,
    path: &RelayPath,
    now: time::Instant,
) -> &'links mut LinkState {
    let matches_path =
        |link: &LinkState| link.usage.from == path.from.region && link.usage.to == path.to.region;
    let index = links.iter().position(matches_path).unwrap_or_else(|| {
        let from: ids::RegionId = path.from.region.clone();
        let usage = types::LinkUsage { bytes: 0, from, to: path.to.region.clone() };
        links.push(LinkState { usage, idle_at: now });
        links.len() - 1
    });
    &mut links[index]
}

fn transfer_time(bytes: u64, bytes_per_second: u64) -> time::Duration {
    if bytes_per_second == 0 {
        return time::Duration::ZERO;
    }
    time::Duration::from_micros(bytes.saturating_mul(1_000_000) / bytes_per_second)
}

/// Handler of the control requests, for faults and statistics.
#[derive(Debug)]
struct RelayHandler {
    state: sync::Arc<RelayState>,
}

impl http_server::RequestHandler for RelayHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        match (request.method(), request.path()) {
            (&Method::GET, "/stats") => stand_in_server::json_response(&self.state.stats()),
            (&Method::POST, "/faults") => {
                stand_in_server::with_json(&request, |faults| self.state.set_faults(faults))
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
