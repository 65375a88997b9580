//! Messages of a peer that is damaged, of another build or set up otherwise.

mod common;

use comfreyspread::{
    gateway::{piece_dispatch, row_compression, table_exchange},
    membership::{peer, probe},
    runtime::{context, worker},
    transport::{http_client, http_message, http_server},
};
use comfreyspread_lab::{fleet, process_usage, stand_in_server};
use comfreyspread_policy::{rendezvous, table_freshness};
use comfreyspread_schema::{ids, types};
use common::gateway;
use http::StatusCode;
use std::{net, sync, time};

/// Time for the node to discover the peer and to poll it several times.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(4);
/// Maximum time until a change is in force.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Time within which the results of a request that has ended are released.
const RELEASE_TIME: time::Duration = time::Duration::from_millis(500);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Size of a large value once decompressed.
const LARGE_VALUE_BYTES: usize = 31 * 1024 * 1024;
/// Memory limit of a node.
const MEMORY_LIMIT_MIB: f64 = 260.0;

fn stand_in_header(node: &ids::NodeId) -> types::PeerHeader {
    types::PeerHeader {
        node: node.clone(),
        protocol: context::PEER_PROTOCOL_VERSION,
        revision: 0,
        start_id: 1,
    }
}

fn row(key: &str, value: Vec<u8>) -> types::StoreRow {
    types::StoreRow {
        compressed: false,
        era: 0,
        key: key.into(),
        value: Some(value.into()),
        version: 1,
    }
}

fn member_record(node: &str, address: net::SocketAddr) -> types::MemberRecord {
    types::MemberRecord {
        address,
        incarnation: 0,
        node: node.into(),
        node_phase: types::NodePhase::Serving,
        phase: types::MemberPhase::Alive,
        region: "r".into(),
        revision: 0,
        start_id: 1,
        vm: "vm-9".into(),
        zone: "a".into(),
    }
}

/// Node that reads the store for its zone and adds the same rows to every change.
#[derive(Debug)]
struct ReaderStandIn {
    record: sync::OnceLock<types::MemberRecord>,
    rows: Vec<types::StoreRow>,
    paths: sync::Mutex<Vec<String>>,
}

impl ReaderStandIn {
    /// Starts a reader that is asked before `node-1`, for rows and to batch pieces.
    async fn start(rows: Vec<types::StoreRow>, spawner: &worker::TaskSpawner) -> sync::Arc<Self> {
        let paths = sync::Mutex::default();
        let reader = sync::Arc::new(Self { record: sync::OnceLock::new(), rows, paths });
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let started = stand_in_server::start(any_port, reader.clone(), spawner).await;
        let address = started.expect("a free port");
        let own = member_record("node-1", address);
        let mut candidates =
            (2..100).map(|number| member_record(&format!("node-{number}"), address));
        let is_first = |record: &types::MemberRecord| {
            let members = || [&own, record].into_iter();
            let batcher = rendezvous::best_member(members(), &"prepare".into()).expect("a member");
            table_freshness::zone_readers(members())[0].node == record.node
                && batcher.node == record.node
        };
        let record = candidates.find(is_first).expect("a node that ranks first");
        reader.record.set(record).expect("set once");
        reader
    }

    fn request_count(&self, path: &str) -> usize {
        self.paths.lock().expect("no panic").iter().filter(|sent| *sent == path).count()
    }

    fn table_reply(
        &self,
        header: types::PeerHeader,
        message: &types::TableRequest,
    ) -> types::TableReply {
        let loaded = message.table == types::StoreTable::Operator && message.after_version > 0;
        let version = message.after_version + u64::from(loaded);
        let era = message.after_era.unwrap_or_default();
        let at_version = |row: &types::StoreRow| types::StoreRow { era, version, ..row.clone() };
        let rows = self.rows.iter().filter(|_| loaded).map(at_version).collect();
        let fresh = time::Duration::from_millis(if loaded { 1500 } else { 0 });
        types::TableReply {
            store_reachable: Some(true),
            recovering: false,
            remaining_freshness: fresh,
            era,
            full: false,
            header,
            hold_left: time::Duration::ZERO,
            loaded,
            rows,
            version,
        }
    }
}

impl http_server::RequestHandler for ReaderStandIn {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        self.paths.lock().expect("no panic").push(request.path().to_owned());
        let Some(record) = self.record.get() else { return stand_in_server::bad_request() };
        let header = stand_in_header(&record.node);
        let reply = match request.path() {
            probe::HEARTBEAT_PATH => peer::encode_reply(&types::HeartbeatReply {
                header,
                hints: Vec::new(),
                members: vec![record.clone()],
                partial: false,
                part_suspects: Vec::new(),
                indirect_probe_reached: false,
                repairs: Vec::new(),
                crash_suspects: Vec::new(),
            }),
            table_exchange::TABLE_PATH => {
                let message = rmp_serde::from_slice(request.body()).expect("a table request");
                async_io::Timer::after(POLL_INTERVAL).await;
                peer::encode_reply(&self.table_reply(header, &message))
            }
            piece_dispatch::WAIT_PATH => {
                async_io::Timer::after(POLL_INTERVAL).await;
                peer::encode_reply(&types::WaitReply { header, waits: Vec::new() })
            }
            piece_dispatch::RELEASE_PATH => {
                peer::encode_reply(&types::ResultReleaseReply { header })
            }
            _ => return http_message::Response::new(StatusCode::NOT_FOUND),
        };
        reply.expect("a reply")
    }

    fn refuse(&self, _error: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}

/// Runs a test against a node whose zone has a reader that adds these rows to every change.
fn with_reader<Test, TestFuture>(rows: Vec<types::StoreRow>, test: Test)
where
    Test: FnOnce(fleet::FleetStandIn, fleet::FleetNode, sync::Arc<ReaderStandIn>) -> TestFuture,
    TestFuture: Future<Output = ()>,
{
    let pool = worker::WorkerPool::new(1).expect("threads");
    gateway::with_fleet(async |fleet| {
        let reader = ReaderStandIn::start(rows, &pool.spawner()).await;
        let address = reader.record.get().expect("set at the start").address;
        let node = fleet.start_node(&gateway::program(), "node-1", &[address]).await;
        let node = node.expect("a node");
        async_io::Timer::after(DISCOVERY_TIME).await;
        assert!(dump(&node).await.members.len() > 1, "the node does not know the reader");
        test(fleet, node, reader).await;
    });
    pool.stop();
}

async fn dump(node: &fleet::FleetNode) -> types::GatewayDump {
    let (_, dump) = gateway::get(node.admin_address, "/dump").await;
    serde_json::from_str(&dump).expect("a dump")
}

/// Waits until a version of the routes is in force, and returns the time it took.
async fn wait_for_version(node: &fleet::FleetNode, version: u64) -> time::Duration {
    let started = time::Instant::now();
    while started.elapsed() < gateway::RESPONSE_TIMEOUT && dump(node).await.routes_version < version
    {
        async_io::Timer::after(POLL_INTERVAL).await;
    }
    started.elapsed()
}

async fn send<Message>(
    node: &fleet::FleetNode,
    path: &str,
    message: &Message,
) -> http_client::ClientResponse
where
    Message: serde::Serialize,
{
    let request = peer::encode_request(node.peer_address, path, message).expect("a request");
    gateway::call(node.peer_address, request).await
}

fn table_request(after_version: u64) -> types::TableRequest {
    types::TableRequest {
        accepts_compressed: true,
        after_era: None,
        after_version,
        header: stand_in_header(&"node-9".into()),
        table: types::StoreTable::Operator,
        wait: time::Duration::from_millis(100),
    }
}

async fn fetch(node: &fleet::FleetNode, message: &types::TableRequest) -> types::TableReply {
    let response = send(node, table_exchange::TABLE_PATH, message).await;
    rmp_serde::from_slice(response.body()).expect("a reply")
}

/// Guards against a damaged row whose version is kept though its value is not applied: the node
/// asks for later changes only, so that its old routes stay in force and count as fresh.
#[test]
fn damaged_row() {
    let damaged = types::StoreRow { compressed: true, ..row("config", vec![0xff; 64]) };
    with_reader(vec![damaged], async |fleet, node, _reader| {
        fleet.set_route_document(&gateway::route_document(2));
        let elapsed = wait_for_version(&node, 2).await;
        assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
    });
}

/// Guards against one message whose rows, each within the size limit, take more memory than the
/// node has once they are decompressed.
#[test]
fn many_large_rows() {
    let zeros = vec![row("", vec![0; LARGE_VALUE_BYTES])];
    let zeros = row_compression::compress_rows(zeros).remove(0);
    let rows = (0..12)
        .map(|number| types::StoreRow { key: format!("unused-{number}").into(), ..zeros.clone() });
    with_reader(rows.collect(), async |_fleet, node, _reader| {
        let mut peak_mib: f64 = 0.0;
        let started = time::Instant::now();
        while started.elapsed() < DISCOVERY_TIME {
            let usage = process_usage::ProcessUsage::new(node.process.id()).expect("it runs");
            peak_mib = peak_mib.max(usage.memory_mib());
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        assert!(peak_mib < MEMORY_LIMIT_MIB / 2.0, "{peak_mib} MiB");
    });
}

/// Guards against a task and a queue for each region that a peer names, which last as long as the
/// process: only regions of the deployment have them.
#[test]
fn unknown_region() {
    gateway::with_node(async |_fleet, node| {
        let task = types::PieceTask {
            inputs: Vec::new(),
            key: None,
            time_left: time::Duration::ZERO,
            piece: 0,
            request: "r-1".into(),
            stage: 0,
        };
        let message = types::PieceRequest {
            result_bytes: 1,
            header: stand_in_header(&"node-9".into()),
            inputs_expire_in: time::Duration::ZERO,
            time_left: time::Duration::from_millis(300),
            tasks: vec![task],
            priority: 0,
            region: "nowhere".into(),
            service: "prepare".into(),
            target: time::Duration::from_millis(300),
            zone: None,
        };
        let unknown = send(&node, piece_dispatch::PIECE_PATH, &message).await.status();
        let known = types::PieceRequest { region: "s".into(), ..message };
        assert_eq!(send(&node, piece_dispatch::PIECE_PATH, &known).await.status(), 200);
        let batches = dump(&node).await.batches;
        let regions: Vec<_> = batches.iter().map(|batch| &*batch.region).collect();
        assert_eq!((unknown, regions), (400, vec!["s"]));
    });
}

/// Guards against large rows that stay plain because the node that read the store is of an older
/// build: the bound of what is handed on holds for compressed rows.
#[test]
fn plain_rows() {
    let large = row("unused", vec![b'x'; 64 * 1024]);
    with_reader(vec![large], async |_fleet, node, _reader| {
        let message = table_request(0);
        let reply = fetch(&node, &message).await;
        let kept = reply.rows.iter().find(|row| &*row.key == "unused").expect("the row");
        assert!(kept.compressed);
    });
}

/// Guards against changes that a node of an older build gets as plain text, larger than what it
/// takes within its timeout: it must be told to read the store instead.
#[test]
fn older_build() {
    gateway::with_node(async |fleet, node| {
        let mut message = table_request(0);
        message.after_version = fetch(&node, &message).await.version;
        let mut document = gateway::route_document(2);
        let route = document["routes"][0].clone();
        let routes = document["routes"].as_array_mut().expect("routes");
        routes.extend((0..600).map(|number| {
            let mut more = route.clone();
            more["name"] = format!("more-{number}").into();
            more
        }));
        fleet.set_route_document(&document);
        wait_for_version(&node, 2).await;
        let reply = fetch(&node, &message).await;
        assert!(reply.loaded && reply.rows[0].compressed, "{} rows", reply.rows.len());
        message.accepts_compressed = false;
        let reply = fetch(&node, &message).await;
        let bytes = reply.rows.iter().filter_map(|row| row.value.as_ref()).map(|value| value.len());
        assert_eq!((reply.loaded, bytes.sum::<usize>()), (false, 0));
        message.after_version = 0;
        let reply = fetch(&node, &message).await;
        assert!(reply.loaded && !reply.rows[0].compressed, "a first copy is sent in full");
    });
}

/// Guards against results that a node made itself, after the batching node refused the pieces, and
/// that are released through that node: its own queue counts their storage until they expire.
#[test]
fn refused_pieces() {
    with_reader(Vec::new(), async |_fleet, node, reader| {
        let request = gateway::staged_request(node.caller_address, "r-1", "2");
        assert_eq!(gateway::send(node.caller_address, request).await.0, 200);
        async_io::Timer::after(RELEASE_TIME).await;
        let [pieces, waits, releases] =
            [piece_dispatch::PIECE_PATH, piece_dispatch::WAIT_PATH, piece_dispatch::RELEASE_PATH]
                .map(|path| reader.request_count(path));
        assert!(pieces > 0 && waits > 0, "{pieces} pieces refused, {waits} waits asked");
        assert_eq!(releases, 0);
    });
}
