//! What counts as a crash of an endpoint, and what is decided on it before a request is sent.

mod common;

use comfreyspread_lab::{fleet, fleet_request};
use common::gateway;
use futures_util::future;
use std::{
    io::Read as _,
    net,
    sync::{self, atomic},
    thread, time,
};

const CRASH_INTERVAL: time::Duration = time::Duration::from_millis(450);
const RESTART_TIME: time::Duration = time::Duration::from_millis(300);
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Crashes before a part is known: three, each of a request that may be retried once.
const MAX_CRASHES: u64 = 6;
const REQUESTS: u64 = 12;
const EQUAL_REQUESTS: usize = 3;
const STOPPING_ENDPOINTS: usize = 6;
/// Time until a change of the store is known on all nodes, or a crash.
const CHANGE_TIME: time::Duration = time::Duration::from_secs(2);

/// An engine that stops when it receives a request.
struct CrashingEngine {
    name: String,
    address: net::SocketAddr,
    crashes: sync::Arc<atomic::AtomicU64>,
}

impl CrashingEngine {
    /// Starts the engine; it starts again after each of `restarts` crashes.
    fn new(name: &str, restarts: u64) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let crashes = sync::Arc::<atomic::AtomicU64>::default();
        let counter = crashes.clone();
        thread::spawn(move || {
            let mut listener = listener;
            for _ in 0..restarts {
                serve_until_crash(listener, &counter);
                thread::sleep(RESTART_TIME);
                listener = net::TcpListener::bind(address).expect("the same port");
            }
            serve_until_crash(listener, &counter);
        });
        Self { name: name.into(), address, crashes }
    }

    fn crashes(&self) -> u64 {
        self.crashes.load(atomic::Ordering::Relaxed)
    }

    /// Writes the registration of the current process.
    fn register(&self, fleet: &fleet::FleetStandIn) {
        let started = self.crashes() + 1;
        let registration = serde_json::json!({
            "service": "engine", "address": self.address, "zone": "a", "slots": 4,
            "state": "ready", "cold_left_ms": 0, "seq": started, "born": started,
        });
        fleet.set_row("servers", &self.name, Some(&registration.to_string()));
    }
}

fn serve_until_crash(listener: net::TcpListener, crashes: &atomic::AtomicU64) {
    for connection in listener.incoming() {
        let mut connection = connection.expect("a connection");
        connection.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        let mut bytes = [0; 4096];
        let length = connection.read(&mut bytes).unwrap_or(0);
        if bytes[..length].starts_with(b"POST") {
            drop(listener);
            crashes.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
    }
}

/// Replaces the engines of the sample by ones that crash.
fn start_engines(fleet: &fleet::FleetStandIn, count: u64, restarts: u64) -> Vec<CrashingEngine> {
    for name in ["engine-1", "engine-2"] {
        fleet.set_row("servers", name, None);
    }
    let start = |number| CrashingEngine::new(&format!("crashing-{number}"), restarts);
    let engines: Vec<_> = (0..count).map(start).collect();
    engines.iter().for_each(|engine| engine.register(fleet));
    engines
}

fn total_crashes(engines: &[CrashingEngine]) -> u64 {
    engines.iter().map(CrashingEngine::crashes).sum()
}

/// Starts a ledger that stops once it has held so many requests for a moment.
fn start_stopping(count: usize) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let held: Vec<_> = listener.incoming().take(count).collect();
        thread::sleep(RESTART_TIME);
        drop(listener);
        drop(held);
    });
    address
}

fn register_ledger(fleet: &fleet::FleetStandIn, name: &str, address: net::SocketAddr) {
    let registration = serde_json::json!({
        "service": "ledger", "address": address, "zone": "a", "slots": 4, "state": "ready",
        "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    fleet.set_row("servers", name, Some(&registration.to_string()));
}

/// Sends a request with the guilty part, unlike all others in the rest.
async fn send_guilty(node: net::SocketAddr, path: &str, id: &str) -> u16 {
    let mut request =
        fleet_request::FleetRequest::new(node, path, id).with_deadline_ms(3900).into_message();
    request.insert_header("prefix-hash", format!("guilty:100,{id}:20"));
    request.insert_header("model", "m");
    request.insert_header("token-counts", "120,10");
    if path == "/report/" {
        request.insert_header("pieces", "1,1");
        request.insert_header("piece-key", "k");
    }
    request.set_body(id.to_owned());
    gateway::send(node, request).await.0
}

/// Guards against crashes without end of endpoints that start again under their name: a crash counts
/// once, and each start of an endpoint was taken for the same crash.
#[test]
fn same_name() {
    gateway::with_fleet(async |fleet| {
        let engines = start_engines(&fleet, 2, 100);
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for number in 0..REQUESTS {
            send_guilty(node.caller_address, "/chat/", &format!("chat-{number}")).await;
            async_io::Timer::after(RESTART_TIME + CRASH_INTERVAL).await;
            engines.iter().for_each(|engine| engine.register(&fleet));
            async_io::Timer::after(CRASH_INTERVAL).await;
        }
        let crashes = total_crashes(&engines);
        assert!(crashes >= 3, "{crashes} crashes show nothing");
        assert!(crashes <= MAX_CRASHES, "{crashes} crashes of two engines");
    });
}

/// Guards against a request that is sent although its part was found to crash endpoints while it
/// waited at its stages.
#[test]
fn found_meanwhile() {
    gateway::with_fleet(async |fleet| {
        let engines = start_engines(&fleet, 9, 0);
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for worker in ["worker-1", "worker-2"] {
            fleet.faults(worker).full.store(true, atomic::Ordering::Relaxed);
        }
        let waiting = send_guilty(node.caller_address, "/report/", "waiting");
        let crash = async {
            for number in 0..3 {
                async_io::Timer::after(CRASH_INTERVAL).await;
                send_guilty(node.caller_address, "/chat/", &format!("chat-{number}")).await;
            }
            async_io::Timer::after(CRASH_INTERVAL).await;
            let before = total_crashes(&engines);
            let late = send_guilty(node.caller_address, "/chat/", "late").await;
            assert_eq!(total_crashes(&engines), before, "a new request is rejected");
            for worker in ["worker-1", "worker-2"] {
                fleet.faults(worker).full.store(false, atomic::Ordering::Relaxed);
            }
            (before, late)
        };
        let (status, (before, late)) = future::join(waiting, crash).await;
        let pieces = fleet.records().len();
        assert!(pieces > 0, "the stages have not run: status {status}, late {late}");
        let after = total_crashes(&engines);
        assert_eq!(after, before, "status {status}, late {late}, {pieces} calls");
    });
}

/// Guards against a sound request rejected for minutes after one crash of an endpoint, because each
/// of several equal requests in flight there counted as a crash.
#[test]
fn one_crash() {
    gateway::with_fleet(async |fleet| {
        for name in ["ledger-1", "ledger-2"] {
            fleet.set_row("servers", name, None);
        }
        register_ledger(&fleet, "crashing", start_stopping(EQUAL_REQUESTS));
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        let send = async |id: String| {
            let request = gateway::request(node.caller_address, "/read/", &id);
            gateway::send(node.caller_address, request).await.0
        };
        future::join_all((0..EQUAL_REQUESTS).map(|number| send(format!("r-{number}")))).await;
        fleet.set_row("servers", "crashing", None);
        register_ledger(&fleet, "ledger-1", fleet.address("ledger-1").expect("an endpoint"));
        async_io::Timer::after(time::Duration::from_secs(2)).await;
        assert_eq!(send("later".into()).await, 200);
    });
}

/// Guards against a sound request rejected for minutes because all endpoints that ran it stopped at
/// one moment, for a reason of their own.
#[test]
fn stopped_together() {
    gateway::with_node(async |fleet, node| {
        let send = async |id: String| {
            let request = gateway::request(node.caller_address, "/read/", &id);
            gateway::send(node.caller_address, request).await.0
        };
        assert_eq!(send("before".into()).await, 200);
        let names: Vec<_> =
            (0..STOPPING_ENDPOINTS).map(|number| format!("stopping-{number}")).collect();
        for name in &names {
            register_ledger(&fleet, name, start_stopping(1));
        }
        for name in ["ledger-1", "ledger-2"] {
            fleet.set_row("servers", name, None);
        }
        async_io::Timer::after(CHANGE_TIME).await;
        let during = (0..STOPPING_ENDPOINTS).map(|number| send(format!("during-{number}")));
        future::join_all(during).await;
        for name in &names {
            fleet.set_row("servers", name, None);
        }
        register_ledger(&fleet, "ledger-1", fleet.address("ledger-1").expect("an endpoint"));
        async_io::Timer::after(CHANGE_TIME).await;
        assert_eq!(send("later".into()).await, 200);
    });
}
