//! Stand-in for the network: forwards connections with the delay, the byte rate and the cuts of
//! the links between regions.
//!
//! A connection between two places of one region passes without delay. Between regions each chunk
//! waits for its share of the link's byte rate and for the one-way delay. A direction that is cut
//! holds its bytes until it is healed, as a network that drops packets does for as long as both
//! sides send them again; memory stays bounded because a held connection is not read.
//! Each endpoint and node has one address for all that call it, so a connection is known by the name
//! of the node in the header of its first request.
//!
//! `POST /faults` takes a [`types::RelayFaults`], `GET /stats` returns a [`types::RelayStats`].

use crate::{stand_in_server, types};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use comfreyspread::{
    runtime::{rank, worker},
    transport::{header, http_message, http_server},
};
use comfreyspread_schema::ids;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use http::{Method, StatusCode};
use miette::IntoDiagnostic as _;
use std::{fs, net, path, sync, time};

const CHUNK_BYTES: usize = 16 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";
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
    /// Forwards until told to stop.
    ///
    /// # Errors
    ///
    /// Fails if the plan cannot be read or an address cannot be bound.
    pub async fn run(&self, spawner: &worker::TaskSpawner) -> miette::Result<()> {
        let text = fs::read_to_string(&self.plan).into_diagnostic()?;
        let plan: types::RelayPlan = serde_json::from_str(&text).into_diagnostic()?;
        let table = sync::Arc::new(RelayTable::new(plan.link, plan.nodes, spawner.clone()));
        for route in plan.routes {
            let listener = TcpListener::bind(route.listen).await.into_diagnostic()?;
            spawner.detach(table.clone().accept(listener, route));
        }
        stand_in_server::start(plan.control, sync::Arc::new(RelayHandler { table }), spawner)
            .await?;
        stand_in_server::wait_for_stop().await
    }
}

/// One direction between two places.
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

    fn is_cut(&self, cut: &types::LinkPartition) -> bool {
        names(&self.from, &cut.from) && names(&self.to, &cut.to)
    }
}

fn names(place: &types::RelayLocation, name: &str) -> bool {
    [&place.name, &place.zone, &place.region].iter().any(|own| &***own == name)
}

/// Traffic of one direction between two regions.
#[derive(Debug)]
struct LinkState {
    usage: types::LinkUsage,
    free_at: time::Instant,
}

#[derive(Debug)]
struct RelayTable {
    link: types::RelayLink,
    nodes: Vec<types::RelayLocation>,
    spawner: worker::TaskSpawner,
    links: rank::RankedLock<rank::PoolRank, Vec<LinkState>>,
    cuts: rank::RankedLock<rank::HintRank, Vec<types::LinkPartition>>,
    changed: event_listener::Event,
}

/// Bytes on their way and the moment at which they arrive.
#[derive(Debug)]
struct RelayChunk {
    bytes: Vec<u8>,
    due: time::Instant,
}

impl RelayTable {
    fn new(
        link: types::RelayLink,
        nodes: Vec<types::RelayLocation>,
        spawner: worker::TaskSpawner,
    ) -> Self {
        Self {
            link,
            nodes,
            spawner,
            links: rank::RankedLock::new(Vec::new()),
            cuts: rank::RankedLock::new(Vec::new()),
            changed: event_listener::Event::new(),
        }
    }

    async fn accept(self: sync::Arc<Self>, listener: TcpListener, route: types::RelayRoute) {
        while let Ok((stream, _)) = listener.accept().await {
            self.spawner.detach(self.clone().forward(stream, route.clone()));
        }
    }

    async fn forward(self: sync::Arc<Self>, mut stream: TcpStream, route: types::RelayRoute) {
        let head = read_head(&mut stream).await;
        let path = self.sender(&head).map(|from| RelayPath { from, to: route.location });
        let Ok(target) = TcpStream::connect(route.target).await else { return };
        stream.set_nodelay(true).ok();
        target.set_nodelay(true).ok();
        let back = path.as_ref().map(RelayPath::reversed);
        let outward = self.pump(stream.clone(), target.clone(), path.as_ref(), head);
        let inward = self.pump(target, stream, back.as_ref(), Vec::new());
        future::zip(outward, inward).await;
    }

    /// Returns the place of the node that sent a request.
    fn sender(&self, head: &[u8]) -> Option<types::RelayLocation> {
        let head = String::from_utf8_lossy(head);
        let line = head.lines().find_map(|line| named_value(line, header::USER_AGENT));
        let agent = line.and_then(|value| value.strip_prefix(header::AGENT_PREFIX));
        // Nodes of the thin path name themselves in the identifier of the request only.
        let request = head.lines().find_map(|line| named_value(line, header::REQUEST));
        let is_sender = |place: &&types::RelayLocation| {
            agent == Some(&*place.name)
                || request.is_some_and(|id| id.strip_prefix(&*place.name).is_some_and(follows))
        };
        self.nodes.iter().find(is_sender).cloned()
    }

    /// Carries one direction of a connection until either side ends.
    async fn pump(&self, from: TcpStream, to: TcpStream, path: Option<&RelayPath>, first: Vec<u8>) {
        let (sender, receiver) = async_channel::bounded(CHUNKS_IN_FLIGHT);
        if !first.is_empty() {
            sender.send(self.chunk(path, first)).await.ok();
        }
        let reading = self.read_chunks(from.clone(), path, sender);
        let writing = async {
            if self.write_chunks(to, path, receiver).await.is_err() {
                from.shutdown(net::Shutdown::Both).ok();
            }
        };
        future::zip(reading, writing).await;
    }

    async fn read_chunks(
        &self,
        mut from: TcpStream,
        path: Option<&RelayPath>,
        sender: async_channel::Sender<RelayChunk>,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 {
                return;
            }
            let chunk = self.chunk(path, buffer[..count].to_vec());
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
            if chunk.due > time::Instant::now() {
                Timer::at(chunk.due).await;
            }
            self.wait_until_open(path).await;
            to.write_all(&chunk.bytes).await?;
        }
        self.wait_until_open(path).await;
        to.shutdown(net::Shutdown::Write)
    }

    fn chunk(&self, path: Option<&RelayPath>, bytes: Vec<u8>) -> RelayChunk {
        let due = path.map_or_else(time::Instant::now, |path| self.schedule(path, bytes.len()));
        RelayChunk { bytes, due }
    }

    /// Takes the link for `count` bytes and returns the moment at which they arrive.
    fn schedule(&self, path: &RelayPath, count: usize) -> time::Instant {
        let now = time::Instant::now();
        let bytes = u64::try_from(count).unwrap_or(u64::MAX);
        let mut links = self.links.lock();
        let link = link_of(&mut links, path, now);
        link.usage.bytes += bytes;
        if !path.crosses_regions() {
            return now;
        }
        let start = link.free_at.max(now);
        link.free_at = start + transfer_time(bytes, self.link.rate);
        link.free_at + self.link.delay
    }

    async fn wait_until_open(&self, path: Option<&RelayPath>) {
        let Some(path) = path else { return };
        loop {
            let changed = self.changed.listen();
            if !self.cuts.lock().iter().any(|cut| path.is_cut(cut)) {
                return;
            }
            changed.await;
        }
    }

    fn set_faults(&self, faults: types::RelayFaults) -> http_message::Response {
        *self.cuts.lock() = faults.partitions;
        self.changed.notify(usize::MAX);
        http_message::Response::new(StatusCode::OK)
    }

    fn stats(&self) -> types::RelayStats {
        let links = self.links.lock();
        types::RelayStats { links: links.iter().map(|link| link.usage.clone()).collect() }
    }
}

/// Reads the head of the first request of a connection, and what came with it.
async fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = stream.read(&mut buffer).await {
        head.extend_from_slice(&buffer[..count]);
        let whole = head.windows(HEAD_END.len()).any(|window| window == HEAD_END);
        if count == 0 || whole || head.len() >= CHUNK_BYTES {
            break;
        }
    }
    head
}

/// Returns the value of a header line with this name.
fn named_value<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let (found, value) = line.split_once(':')?;
    found.eq_ignore_ascii_case(name).then(|| value.trim())
}

/// Whether the rest of a request's identifier follows a whole node name.
fn follows(rest: &str) -> bool {
    rest.starts_with('-')
}

fn link_of<'links>(
    links: &'links mut Vec<LinkState>,
    path: &RelayPath,
    now: time::Instant,
) -> &'links mut LinkState {
    let same =
        |link: &LinkState| link.usage.from == path.from.region && link.usage.to == path.to.region;
    let index = links.iter().position(same).unwrap_or_else(|| {
        let from: ids::RegionId = path.from.region.clone();
        let usage = types::LinkUsage { bytes: 0, from, to: path.to.region.clone() };
        links.push(LinkState { usage, free_at: now });
        links.len() - 1
    });
    &mut links[index]
}

fn transfer_time(bytes: u64, rate: u64) -> time::Duration {
    if rate == 0 {
        return time::Duration::ZERO;
    }
    time::Duration::from_micros(bytes.saturating_mul(1_000_000) / rate)
}

/// Answers requests for faults and statistics.
#[derive(Debug)]
struct RelayHandler {
    table: sync::Arc<RelayTable>,
}

impl http_server::RequestHandler for RelayHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        match (request.method(), request.path()) {
            (&Method::GET, "/stats") => stand_in_server::json_response(&self.table.stats()),
            (&Method::POST, "/faults") => {
                stand_in_server::handle_json(&request, |faults| self.table.set_faults(faults))
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }

    fn refuse(&self, _fault: http_server::RequestFault) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
