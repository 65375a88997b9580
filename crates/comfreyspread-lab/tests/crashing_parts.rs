//! Prompt parts that crash every engine that begins to answer a request with them, over processes.

mod common;

use comfreyspread::{runtime::worker, transport::http_client};
use comfreyspread_lab::{fleet, fleet_request};
use common::{crashing_engine, gateway};
use futures_util::future;
use std::{
    sync::{self, atomic},
    time,
};

const NODES: u64 = 3;
const GUILTY: &str = "bad";
/// Prompt parts of sound requests of the same caller, that the guilty ones share or resemble.
const SOUND: [&str; 3] = ["first:900,one:300", "first:900,two:300", "first:900,three:300"];
/// Time within which nodes that reach each other share what they learn.
const CONTACT_TIME: time::Duration = time::Duration::from_millis(4000);
/// Crashes after which the guilty requests have to be known.
const LEARNING_CRASHES: usize = 5;
/// Requests with the guilty part that may still reach endpoints after that.
const LATE_ARRIVALS: usize = 3;
/// Time within which a conviction is stored, also once more.
const STORE_TIME: time::Duration = time::Duration::from_secs(15);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const GUILTY_INTERVAL: time::Duration = time::Duration::from_millis(400);
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Nodes and the engines behind them.
struct CrashTest {
    fleet: sync::Arc<fleet::FleetStandIn>,
    engines: crashing_engine::CrashingEngines,
    nodes: Vec<fleet::FleetNode>,
    sent: atomic::AtomicUsize,
}

impl CrashTest {
    /// Runs a test against nodes and `count` engines that crash on the guilty part.
    fn run(count: u64, test: impl AsyncFnOnce(Self)) {
        let pool = worker::WorkerPool::new(1).expect("threads");
        let spawner = pool.spawner();
        gateway::with_fleet(async |fleet| {
            let fleet = sync::Arc::new(fleet);
            let start = crashing_engine::CrashingEngines::start;
            let engines = start(&fleet, &spawner, count, GUILTY).await;
            let nodes = gateway::start_nodes(&fleet, NODES).await;
            test(Self { fleet, engines, nodes, sent: atomic::AtomicUsize::new(0) }).await;
        });
        pool.stop();
    }

    /// Sends a request with these parts and one of its own, unlike all others, to one of the nodes
    /// in turn. Returns whether its stream came whole.
    async fn is_served(&self, parts: &str) -> bool {
        let number = self.sent.fetch_add(1, atomic::Ordering::Relaxed);
        let node = self.nodes[number % self.nodes.len()].caller_address;
        let request = fleet_request::FleetRequest::new(node, "/chat/", &format!("r-{number}"))
            .with_prompt_parts(&format!("{parts},own-{number}:50"))
            .with_body(&format!("body {number}"));
        let client = http_client::HttpClient::new(1 << 20);
        let fresh = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        let response = client.call(node, request.into_message(), fresh, deadline).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Sends guilty requests for so long; returns the number of those served.
    async fn send_guilty(&self, length: time::Duration) -> usize {
        let end = time::Instant::now() + length;
        let mut served = 0;
        while time::Instant::now() < end {
            served += usize::from(self.is_served(&format!("first:900,{GUILTY}:300")).await);
            async_io::Timer::after(GUILTY_INTERVAL).await;
        }
        served
    }

    /// Sends sound requests for so long; returns when each was sent and whether it was served.
    async fn send_sound(&self, length: time::Duration) -> Vec<(time::Instant, bool)> {
        let end = time::Instant::now() + length;
        let mut results = Vec::new();
        for parts in SOUND.iter().cycle() {
            let sent_at = time::Instant::now();
            if sent_at > end {
                break;
            }
            results.push((sent_at, self.is_served(parts).await));
            async_io::Timer::after(SOUND_INTERVAL).await;
        }
        results
    }

    /// Checks that the guilty requests were known in time.
    fn check_learned(&self) {
        let crashes = self.engines.crashes();
        let Some(learned) = crashes.get(LEARNING_CRASHES - 1) else { return };
        let late = self.engines.guilty_arrivals_after(*learned + CONTACT_TIME);
        assert!(late <= LATE_ARRIVALS, "{late} arrivals after {} crashes", crashes.len());
    }
}

/// Guards against endpoints crashing one after the other because requests at different nodes have
/// only one part in common, and against sound requests being rejected with them.
#[test]
fn unlike_requests() {
    CrashTest::run(4, async |test| {
        let length = CONTACT_TIME * 3;
        let (served, sound) = future::join(test.send_guilty(length), test.send_sound(length)).await;
        assert_eq!(served, 0);
        test.check_learned();
        let last = *test.engines.crashes().last().expect("a crash");
        let later: Vec<_> = sound.iter().filter(|(at, _)| *at > last + CONTACT_TIME * 2).collect();
        let failed = sound.iter().filter(|(_, served)| !served).count();
        println!(
            "{} crashes, {failed} of {} sound failed",
            test.engines.crashes().len(),
            sound.len()
        );
        assert!(later.len() >= 10, "only {} sound requests to look at", later.len());
        assert!(
            later.iter().all(|(_, served)| *served),
            "sound requests fail after the last crash"
        );
    });
}

/// Guards against crashes that are taken for one because endpoints come back under their names: few
/// endpoints then crash without end.
#[test]
fn same_names() {
    CrashTest::run(2, async |test| {
        let length = CONTACT_TIME * 3;
        future::join(test.send_guilty(length), test.send_sound(length)).await;
        test.check_learned();
    });
}

/// Returns the value of a metric of a node.
async fn metric(node: &fleet::FleetNode, name: &str) -> u64 {
    let (_, text) = gateway::get(node.admin_address, "/metrics").await;
    let prefix = format!("comfreyspread_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.expect("the metric").parse().expect("a number")
}

/// Guards against a node that has been restarted and crashes endpoints once more with a part that
/// the other nodes know.
#[test]
fn node_restarted() {
    CrashTest::run(4, async |mut test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        test.nodes.pop().expect("a node").process.kill();
        let seeds = [test.nodes[0].peer_address];
        let restarted = test.fleet.start_node(&gateway::program(), "node-3", &seeds).await;
        test.nodes = vec![restarted.expect("a node")];
        async_io::Timer::after(CONTACT_TIME).await;
        let before = test.engines.crashes().len();
        test.send_guilty(CONTACT_TIME).await;
        assert_eq!(test.engines.crashes().len(), before, "crashes after the restart");
        assert!(test.is_served(SOUND[0]).await);
        assert_eq!(metric(&test.nodes[0], "prompt_parts_convicted").await, 1);
        assert!(metric(&test.nodes[0], "requests_rejected_crashing_total").await > 0);
    });
}

/// Waits until the store has a row of the guilty part.
async fn stored_row(fleet: &fleet::FleetStandIn) -> String {
    let deadline = time::Instant::now() + STORE_TIME;
    loop {
        let rows = fleet.rows("convictions");
        assert!(rows.len() <= 1, "{rows:?}");
        if let Some((key, _)) = rows.first() {
            return key.to_string();
        }
        assert!(time::Instant::now() < deadline, "the conviction is in no row");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Guards against a conviction that is no longer stored because the store has come back from a copy
/// that is older than its row.
#[test]
fn row_lost() {
    CrashTest::run(4, async |test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        let key = stored_row(&test.fleet).await;
        test.fleet.set_row("convictions", &key, None);
        assert_eq!(stored_row(&test.fleet).await, key);
    });
}

/// Guards against endpoints crashing anew with a part that was known, because all nodes have been
/// killed at once.
#[test]
fn all_killed() {
    CrashTest::run(4, async |mut test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        assert!(test.engines.crashes().len() >= 3, "the part is known");
        test.nodes.iter_mut().for_each(|node| node.process.kill());
        test.nodes = gateway::start_nodes(&test.fleet, NODES).await;
        async_io::Timer::after(CONTACT_TIME).await;
        let restarted = time::Instant::now();
        test.send_guilty(CONTACT_TIME).await;
        let late = test.engines.guilty_arrivals_after(restarted);
        assert!(late <= LATE_ARRIVALS, "{late} arrivals of a part that was known");
    });
}
