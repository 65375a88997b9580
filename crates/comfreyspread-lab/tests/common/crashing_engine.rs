//! Engines that crash while they answer certain requests.

use super::{endpoint_socket, scripted_stream};
use async_net::{TcpListener, TcpStream};
use comfreyspread::runtime::worker;
use comfreyspread_lab::fleet;
use futures_lite::{AsyncWriteExt as _, FutureExt as _, io};
use std::{net, sync, time};

/// Time until an engine begins to answer.
const PROMPT_TIME: time::Duration = time::Duration::from_millis(40);
/// Time from a crash until the engine is back.
const RESTART_TIME: time::Duration = time::Duration::from_millis(700);
/// Time between two events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// What makes an engine crash.
#[derive(Clone, Copy, Debug)]
pub struct CrashTrigger {
    /// A prompt part that requests may share, or a whole body.
    pub text: &'static str,
    /// Events of the answer before the crash.
    pub events: u64,
}

/// What the engines share.
#[derive(Debug, Default)]
struct EngineLog {
    crashes: Vec<time::Instant>,
    guilty_arrivals: Vec<time::Instant>,
}

/// Engines of the sample's engine service, in place of its own.
#[derive(Clone, Debug)]
pub struct CrashingEngines {
    fleet: sync::Arc<fleet::FleetStandIn>,
    spawner: worker::TaskSpawner,
    trigger: CrashTrigger,
    /// Events of a complete answer.
    events: u64,
    log: sync::Arc<sync::Mutex<EngineLog>>,
}

/// One engine process, from its start to its crash.
#[derive(Clone, Debug)]
struct EngineProcess {
    engines: CrashingEngines,
    running: async_channel::Sender<()>,
    crashed: async_channel::Receiver<()>,
}

impl CrashingEngines {
    /// Starts `count` engines, whose complete answers have `events` events. One that crashes is back a
    /// little later, under the same name and address.
    pub async fn start(
        fleet: &sync::Arc<fleet::FleetStandIn>,
        spawner: &worker::TaskSpawner,
        (count, events): (u64, u64),
        trigger: CrashTrigger,
    ) -> Self {
        endpoint_socket::unregister(fleet, &["engine-1", "engine-2"]);
        let (fleet, log) = (fleet.clone(), sync::Arc::default());
        let engines = Self { fleet, spawner: spawner.clone(), trigger, events, log };
        for number in 1..=count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let task = engines.clone().run(format!("crashing-{number}"), listener);
            spawner.detach(task);
        }
        engines
    }

    /// Returns the times of all crashes.
    pub fn crashes(&self) -> Vec<time::Instant> {
        self.log.lock().expect("no panic").crashes.clone()
    }

    /// Returns how many guilty requests came after this time.
    pub fn guilty_arrivals_after(&self, after: time::Instant) -> usize {
        let log = self.log.lock().expect("no panic");
        log.guilty_arrivals.iter().filter(|at| **at > after).count()
    }

    async fn run(self, name: String, first: TcpListener) {
        let address = first.local_addr().expect("an address");
        let mut listener = first;
        for born in 1.. {
            self.register(&name, address, born);
            let (running, crashed) = async_channel::bounded(1);
            let process = EngineProcess { engines: self.clone(), running, crashed };
            process.accept(&listener).await;
            drop(listener);
            async_io::Timer::after(RESTART_TIME).await;
            listener = TcpListener::bind(address).await.expect("its own port");
        }
    }

    fn register(&self, name: &str, address: net::SocketAddr, born: u64) {
        let registration = serde_json::json!({
            "service": "engine", "address": address, "zone": "a", "slots": 400,
            "state": "ready", "cold_left_ms": 0, "seq": born, "born": born,
        });
        self.fleet.set_row("servers", name, Some(&registration.to_string()));
    }
}

impl EngineProcess {
    /// Accepts connections until the engine crashes.
    async fn accept(&self, listener: &TcpListener) {
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let process = self.clone();
                self.engines.spawner.detach(async move {
                    process.serve(stream).or(process.until_crash()).await;
                });
            }
        };
        accept.or(self.until_crash()).await;
    }

    async fn until_crash(&self) {
        self.crashed.recv().await.ok();
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        while let Some(request) = endpoint_socket::read_request(&mut stream, &mut received).await {
            let trigger = self.engines.trigger;
            let guilty = is_guilty(&request, trigger.text);
            if guilty {
                let mut log = self.engines.log.lock().expect("no panic");
                log.guilty_arrivals.push(time::Instant::now());
            }
            async_io::Timer::after(PROMPT_TIME).await;
            let events = if guilty { trigger.events } else { self.engines.events };
            let sent = send_events(&mut stream, &request, events).await;
            if guilty {
                self.crash();
                return;
            }
            let end = scripted_stream::STREAM_END.as_bytes();
            if sent.is_err() || stream.write_all(end).await.is_err() {
                return;
            }
        }
    }

    fn crash(&self) {
        if self.running.close() {
            self.engines.log.lock().expect("no panic").crashes.push(time::Instant::now());
        }
    }
}

/// Sends the head of an answer and so many events; nothing if there are none.
async fn send_events(
    stream: &mut TcpStream,
    request: &endpoint_socket::ReceivedRequest,
    events: u64,
) -> io::Result<()> {
    if events == 0 {
        return Ok(());
    }
    let last: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let head = scripted_stream::STREAM_HEAD.replace(scripted_stream::REQUEST_ID, &request.id);
    stream.write_all(head.as_bytes()).await?;
    for id in last + 1..=last.max(events) {
        let event = format!("id: {id}\ndata: e{id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        async_io::Timer::after(EVENT_INTERVAL).await;
    }
    Ok(())
}

fn is_guilty(request: &endpoint_socket::ReceivedRequest, text: &str) -> bool {
    let parts = request.header("prefix-hash").unwrap_or_default();
    request.body == text.as_bytes() || shared_parts(&parts).any(|part| part == text)
}

/// Returns the names of the prompt parts that requests may share: all but the last.
fn shared_parts(parts: &str) -> impl Iterator<Item = &str> {
    let names = parts.split(',').filter_map(|part| part.split(':').next());
    let shared = parts.split(',').count().saturating_sub(1);
    names.take(shared)
}
