//! Nodes before engines that crash, with guilty and sound requests at the same time.

use super::{crashing_engine, gateway};
use comfreyspread::{runtime::worker, transport::http_client};
use comfreyspread_lab::{fleet, fleet_request};
use futures_util::future;
use std::{
    sync::{self, atomic},
    time,
};

/// Number of nodes.
pub const NODES: u64 = 3;
/// Prompt parts of sound requests of the same caller, that the guilty ones share or resemble.
pub const SOUND: [&str; 3] = ["first:900,one:300", "first:900,two:300", "first:900,three:300"];
/// Time within which nodes that reach each other share what they learn.
pub const CONTACT_TIME: time::Duration = time::Duration::from_millis(4000);
/// Guilty requests that may still reach endpoints once they have to be known.
pub const LATE_ARRIVALS: usize = 3;
const GUILTY_INTERVAL: time::Duration = time::Duration::from_millis(400);
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(360);

/// Nodes and the engines behind them.
pub struct CrashTest {
    /// The platform's stand-ins.
    pub fleet: sync::Arc<fleet::FleetStandIn>,
    /// The engines.
    pub engines: crashing_engine::CrashingEngines,
    /// The nodes.
    pub nodes: Vec<fleet::FleetNode>,
    trigger: crashing_engine::CrashTrigger,
    sent: atomic::AtomicUsize,
}

impl CrashTest {
    /// Runs a test against nodes and engines, given by their number and that of the events of their
    /// complete answers.
    pub fn run(
        engines: (u64, u64),
        trigger: crashing_engine::CrashTrigger,
        test: impl AsyncFnOnce(Self),
    ) {
        let pool = worker::WorkerPool::new(1).expect("threads");
        let spawner = pool.spawner();
        gateway::with_fleet(async |fleet| {
            let fleet = sync::Arc::new(fleet);
            let start = crashing_engine::CrashingEngines::start;
            let engines = start(&fleet, &spawner, engines, trigger).await;
            let nodes = gateway::start_nodes(&fleet, NODES).await;
            let sent = atomic::AtomicUsize::new(0);
            test(Self { fleet, engines, nodes, trigger, sent }).await;
        });
        pool.stop();
    }

    /// Sends a request with these parts and one of its own to one of the nodes in turn; without a
    /// body, it has one unlike all others. Returns whether its stream came whole.
    async fn send(&self, parts: &str, body: Option<&str>) -> bool {
        let number = self.sent.fetch_add(1, atomic::Ordering::Relaxed);
        let node = self.nodes[number % self.nodes.len()].caller_address;
        let own_body = format!("body {number}");
        let request = fleet_request::FleetRequest::new(node, "/chat/", &format!("r-{number}"))
            .with_prompt_parts(&format!("{parts},own-{number}:50"))
            .with_body(body.unwrap_or(&own_body));
        let client = http_client::HttpClient::new(1 << 20);
        let fresh = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        let response = client.call(node, request.into_message(), fresh, deadline).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Sends a request with these parts, unlike all others in the rest. Returns whether its stream
    /// came whole.
    pub async fn is_served(&self, parts: &str) -> bool {
        self.send(parts, None).await
    }

    /// Sends such requests, one after the other, for so long; returns when each was sent and whether
    /// it was served.
    async fn send_for(
        &self,
        length: time::Duration,
        interval: time::Duration,
        parts: &str,
        body: Option<&str>,
    ) -> Vec<(time::Instant, bool)> {
        let end = time::Instant::now() + length;
        let mut results = Vec::new();
        while time::Instant::now() < end {
            let sent_at = time::Instant::now();
            results.push((sent_at, self.send(parts, body).await));
            async_io::Timer::after(interval).await;
        }
        results
    }

    /// Sends requests with the guilty part for so long; returns the number of those served.
    pub async fn send_guilty(&self, length: time::Duration) -> usize {
        let parts = format!("first:900,{}:300", self.trigger.text);
        count_served(&self.send_for(length, GUILTY_INTERVAL, &parts, None).await)
    }

    /// Sends the guilty request again and again for so long; returns how often it was served.
    pub async fn repeat_guilty(&self, length: time::Duration) -> usize {
        let body = Some(self.trigger.text);
        count_served(&self.send_for(length, GUILTY_INTERVAL, SOUND[0], body).await)
    }

    /// Sends sound requests for so long, one after the other with each of their parts; returns when
    /// each was sent and whether it was served.
    pub async fn send_sound(&self, length: time::Duration) -> Vec<(time::Instant, bool)> {
        let send = |parts| self.send_for(length, SOUND_INTERVAL, parts, None);
        future::join_all(SOUND.into_iter().map(send)).await.concat()
    }

    /// Checks that the guilty requests were known in time after so many crashes.
    pub fn check_learned(&self, learning_crashes: usize) {
        let crashes = self.engines.crashes();
        let Some(learned) = crashes.get(learning_crashes - 1) else { return };
        let late = self.engines.guilty_arrivals_after(*learned + CONTACT_TIME);
        assert!(late <= LATE_ARRIVALS, "{late} arrivals after {} crashes", crashes.len());
    }

    /// Checks that all of ten or more sound requests were served once the crashes had ended.
    pub fn check_sound(&self, sound: &[(time::Instant, bool)]) {
        let crashes = self.engines.crashes();
        let last = *crashes.last().expect("a crash");
        let later: Vec<_> = sound.iter().filter(|(at, _)| *at > last + CONTACT_TIME * 2).collect();
        let failed = sound.len() - count_served(sound);
        println!("{} crashes, {failed} of {} sound failed", crashes.len(), sound.len());
        assert!(later.len() >= 10, "only {} sound requests to look at", later.len());
        assert!(
            later.iter().all(|(_, served)| *served),
            "sound requests fail after the last crash"
        );
    }
}

fn count_served(results: &[(time::Instant, bool)]) -> usize {
    results.iter().filter(|(_, served)| *served).count()
}
