//! A route that versions of the configuration move between two services, and consumers of it.

use crate::{http, record, replica, store};
use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "jepu9.example";
const KEY: &str = "9dnn2ctnfzs989anu6ws";
const PREFIX: &str = "/registro/";
/// The two services.
pub const SERVICES: [&str; 2] = ["libro-compras", "libro-nuevo"];
/// Largest time for a version to be in force.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2500);

/// Time in which a request is answered; a version that comes later cannot have been in force.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// Status of its answer; zero without one.
    pub status: u16,
}

/// A version of the configuration, and when the store confirmed it.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Number of the version.
    pub number: u32,
    /// Index of the service of the route.
    pub service: usize,
    /// When the store confirmed it.
    pub confirmed: Instant,
}

/// Returns a configuration whose route goes to `service`, with `idle` routes beside it.
fn config(number: u32, service: usize, idle: usize) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":1,\"stages\":[],\"public\":false,\
             \"sticky\":false,\"resumable\":false,\"allowed_regions\":[]}}"
        )
    };
    let mut routes = vec![route("r-0", PREFIX, SERVICES[service])];
    // Names without a pattern, as those of an installation.
    let mut state: u64 = 58_512_039;
    for _ in 0..idle {
        let mut word = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            format!("{:07x}", state >> 36)
        };
        routes.push(route(&format!("r-{}", word()), &format!("/{}/{}/", word(), word()), SERVICES[0]));
    }
    let services: Vec<String> = SERVICES
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":110,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{number},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Writes a version, and returns it with the time of its confirmation.
pub fn set_version(
    store: &store::Store,
    record: &record::Record,
    (number, service): (u32, usize),
    idle: usize,
) -> Version {
    store.set("op", "config", Some(&config(number, service, idle)));
    let confirmed = Instant::now();
    record.add(&format!("the store confirms version {number}: the route goes to {}", SERVICES[service]));
    Version { number, service, confirmed }
}

/// Starts two replicas of each service.
pub fn start_replicas(
    stores: &[Arc<store::Store>],
    record: &record::Record,
) -> Result<Vec<Arc<replica::Replica>>, String> {
    let mut replicas = Vec::new();
    for service in SERVICES {
        for (index, zone) in ["antioquia-a", "antioquia-b"].iter().enumerate() {
            let id = format!("i-{service}-{index}");
            let work = Duration::from_millis(5);
            let started = replica::Replica::start(stores, record, (service, zone), &id, work);
            replicas.push(started.map_err(|error| error.to_string())?);
        }
    }
    Ok(replicas)
}

/// Consumers of one node, until they are stopped.
pub struct Consumers {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Consumers {
    /// Starts `count` consumers that send requests with `pause` between them.
    pub fn start(
        front: SocketAddr,
        name: &str,
        count: usize,
        pause: Duration,
        record: &record::Record,
    ) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Sent>>>::default());
        let threads = (0..count)
            .map(|consumer| {
                let (stop, sent, record) = (stop.clone(), sent.clone(), record.clone());
                let name = format!("{name}-{consumer}");
                thread::spawn(move || {
                    let mut number = 0;
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let one = send(front, format!("{name}-{number}"), &record);
                        if let Ok(mut sent) = sent.lock() {
                            sent.push(one);
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Self { stop, sent, threads }
    }

    /// Stops them and returns what they sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().ok();
        }
        self.sent.lock().map(|sent| sent.clone()).unwrap_or_default()
    }
}

fn send(front: SocketAddr, id: String, record: &record::Record) -> Sent {
    record.add(&format!("consumer sends {id} to {front}"));
    let at = Instant::now();
    let answer = exchange(front, &id);
    let status = answer.as_ref().map_or(0, http::Message::status);
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    record.add(&format!("consumer gets for {id}: {status} {}", text.unwrap_or_default()));
    Sent { id, at, status }
}

fn exchange(front: SocketAddr, id: &str) -> Option<http::Message> {
    let stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let headers =
        [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "3000"), ("X-Api-Key", KEY)];
    http::write(&mut writer, &format!("POST {PREFIX}2f HTTP/1.1"), &headers, b"entry").ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}

/// Returns how many requests were run by a service to which only older versions than those confirmed
/// `CONFIG_APPLY` before they were sent allow them to go.
pub fn count_stale(
    versions: &[Version],
    sent: &[Sent],
    replicas: &[Arc<replica::Replica>],
    record: &record::Record,
) -> usize {
    let mut stale = 0;
    for replica in replicas {
        for run in replica.runs() {
            let Some(one) = sent.iter().find(|one| one.id == run.request) else { continue };
            let bound = |version: &&Version| one.at > version.confirmed + CONFIG_APPLY;
            let Some(newest) = versions.iter().filter(bound).max_by_key(|one| one.number) else {
                continue;
            };
            let in_force = |version: &&Version| {
                version.number >= newest.number && version.confirmed < one.at + ANSWER_LIMIT
            };
            let later = versions.iter().filter(in_force);
            if later.map(|version| SERVICES[version.service]).all(|name| name != replica.service) {
                stale += 1;
                let after = one.at.saturating_duration_since(newest.confirmed).as_millis();
                record.add(&format!(
                    "broken: {}, sent {after} ms after version {} was confirmed, was run by {}",
                    one.id, newest.number, replica.service
                ));
            }
        }
    }
    stale
}
