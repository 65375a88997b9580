//! An entry of another writer, with fields missing, stands under the id of a replica for at most one
//! heartbeat.

use crate::{http, nodes, record, replica, store};
use std::{
    io::BufReader,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "jepu9.example";
const KEY: &str = "9dnn2ctnfzs989anu6ws";
/// Service of each route, by the route's prefix.
const ROUTES: [(&str, &str); 2] = [("/registro/", "libro-compras"), ("/precios/", "precio-consulta")];
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(30);
/// Pause of one consumer between two requests.
const PAUSE: Duration = Duration::from_millis(200);
/// Consumers of each route at each node.
const CONSUMERS: usize = 2;
/// First entry of the other writer, and the time between two.
const FIRST_ENTRY: Duration = Duration::from_secs(6);
const ENTRY_PAUSE: Duration = Duration::from_secs(6);
const ENTRIES: u32 = 3;

fn config() -> String {
    let routes: Vec<String> = ROUTES
        .iter()
        .enumerate()
        .map(|(index, (prefix, service))| {
            let kind = if index == 0 { "non_idempotent" } else { "idempotent" };
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
                 \"service\":\"{service}\",\"max_attempts\":1,\"stages\":[],\"public\":false,\
                 \"sticky\":false,\"resumable\":false,\"allowed_regions\":[]}}"
            )
        })
        .collect();
    let services: Vec<String> = ROUTES
        .iter()
        .map(|(_, service)| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":110,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = record::Record::new();
    let result = play(&record, trouble);
    record.finish(folder, "ROUTE", &result)?;
    result
}

fn play(record: &record::Record, trouble: bool) -> Result<bool, String> {
    let (store, store_address) = store::Store::start().map_err(|error| error.to_string())?;
    store.set("op", "config", Some(&config()));
    let mut replicas = Vec::new();
    for (_, service) in ROUTES {
        for (index, zone) in ["antioquia-a", "cundinamarca-a", "antioquia-b"].iter().enumerate() {
            let id = format!("i-{service}-{index}");
            let work = Duration::from_millis(20);
            let started = replica::Replica::start(&[store.clone()], record, (service, zone), &id, work);
            replicas.push(started.map_err(|error| error.to_string())?);
        }
    }
    let places = nodes::places(&["antioquia-a", "antioquia-b"]).map_err(|error| error.to_string())?;
    let nodes = nodes::start(&places, store_address).map_err(|error| error.to_string())?;
    record.add("all nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut consumers = Vec::new();
    for node in &nodes {
        for (prefix, _) in ROUTES {
            for number in 0..CONSUMERS {
                let (front, name) = (node.place.front, format!("{}-{number}", node.place.name));
                let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
                let consume = move || consume(front, prefix, &name, &record, &stop, &served);
                consumers.push(thread::spawn(consume));
            }
        }
    }
    let started = Instant::now();
    let victim = &replicas[ROUTES.len() + 1];
    for number in 0..ENTRIES {
        let at = started + FIRST_ENTRY + ENTRY_PAUSE * number;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if trouble {
            // Of the fields of an entry, `version`, `slots`, `cold_left_ms`, `seq` and `born` are missing.
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"antioquia-a\",\"state\":\"ready\"}}",
                ROUTES[0].1, victim.address
            );
            record.add(&format!("another writer sets servers/{}: {entry}", victim.id));
            store.set("servers", &victim.id, Some(&entry));
        }
    }
    thread::sleep((started + LENGTH).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer panicked".to_owned())?;
    }
    drop(nodes);
    let restored = store.get("servers", &victim.id).as_ref() == Some(&victim.entry);
    if !restored || served.load(Ordering::Relaxed) == 0 {
        return Err("no request was served, or an entry is not its replica's".to_owned());
    }
    let mut wrong = 0;
    for replica in &replicas {
        for run in replica.runs() {
            let service = ROUTES.iter().find(|(prefix, _)| run.path.starts_with(prefix));
            if service.is_none_or(|(_, service)| *service != replica.service) {
                wrong += 1;
                record.add(&format!(
                    "broken: {} {} was run by {} of {}, which no configuration allows",
                    run.request, run.path, replica.id, replica.service
                ));
            }
        }
    }
    record.add(&format!("{} served, {wrong} run by another service", served.load(Ordering::Relaxed)));
    Ok(wrong == 0)
}

/// Sends requests, one after the other, each on a channel of its own.
fn consume(
    front: SocketAddr,
    prefix: &str,
    name: &str,
    record: &record::Record,
    stop: &AtomicBool,
    served: &AtomicU64,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{name}{}{number}", prefix.replace('/', "-"));
        record.add(&format!("consumer sends {id} to {front}"));
        let answer = send(front, prefix, &id);
        let text = match &answer {
            Some(answer) => {
                format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
            }
            None => "no answer".to_owned(),
        };
        record.add(&format!("consumer gets for {id}: {text}"));
        if answer.is_some_and(|answer| answer.status() == 200) {
            served.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(PAUSE);
    }
}

fn send(front: SocketAddr, prefix: &str, id: &str) -> Option<http::Message> {
    let stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let headers =
        [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "3000"), ("X-Api-Key", KEY)];
    let start = format!("POST {prefix}2f HTTP/1.1");
    http::write(&mut writer, &start, &headers, b"entry").ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}
