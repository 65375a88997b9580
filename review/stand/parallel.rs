//! A request that crashes each server that runs it comes in waves, at several machines at once.

use crate::base::*;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};
use std::thread;
use std::time::Instant;

const SERVERS: usize = 9;
const GATEWAYS: usize = 8;
const POISON: &str = "{\"entry\":\"poison\"}";
const DOWN_MS: u64 = 3000;
const CONTACT_MS: u64 = 4000;
const STAGGER_MS: u64 = 50;
const WAVES: usize = 5;
const WAVE_PAUSE_MS: u64 = 6000;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"write","host":"desk.example","prefix":"/write/","kind":"non_idempotent","service":"libro","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":1}],
"services":[{"name":"libro","health_path":"/health","max_conns":110}],
"tenants":[{"name":"medellin","api_keys":["key-medellin"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#;

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let poisonous = trouble();
    let work: Work = Arc::new(move |server, request, stream| {
        thread::sleep(ms(60));
        if poisonous && request.body == POISON.as_bytes() {
            server.crash(ms(DOWN_MS));
            return false;
        }
        answer(request, stream, "{\"ok\":true}")
    });
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|n| {
            Server::start(
                &format!("libro-{n}"),
                "libro",
                "antioquia-a",
                &store,
                &record,
                work.clone(),
            )
        })
        .collect();
    let fleet = Fleet::start(GATEWAYS, &store);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    thread::sleep(ms(CONTACT_MS + 2000));
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let lost = Arc::new(AtomicUsize::new(0));
    let background: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(index, front)| {
            let (front, stop) = (*front, stop.clone());
            let (served, lost) = (served.clone(), lost.clone());
            let record = record.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("sound-{index}-{number}");
                    let body = format!("{{\"entry\":\"{index}-{number}\"}}");
                    let call = Call {
                        method: "POST",
                        path: "/write/a",
                        id: &id,
                        key: "key-medellin",
                        deadline_ms: 3000,
                        body: &body,
                        extra: "",
                    };
                    match send(&record, front, &call).status {
                        200 => served.fetch_add(1, Ordering::SeqCst),
                        502 => lost.fetch_add(1, Ordering::SeqCst),
                        _ => 0,
                    };
                    thread::sleep(ms(100));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    for wave in 0..WAVES {
        let senders: Vec<_> = fronts
            .iter()
            .enumerate()
            .map(|(index, front)| {
                let (front, record) = (*front, record.clone());
                thread::sleep(ms(STAGGER_MS));
                thread::spawn(move || {
                    let id = format!("wave-{wave}-{index}");
                    let call = Call {
                        method: "POST",
                        path: "/write/a",
                        id: &id,
                        key: "key-medellin",
                        deadline_ms: 3000,
                        body: POISON,
                        extra: "",
                    };
                    let answer = send(&record, front, &call);
                    answer.status
                })
            })
            .collect();
        for sender in senders {
            sender.join().ok();
        }
        thread::sleep(ms(WAVE_PAUSE_MS));
    }
    stop.store(true, Ordering::SeqCst);
    for one in background {
        one.join().ok();
    }
    let mut crashes: Vec<Instant> =
        servers.iter().flat_map(|e| e.crashes.lock().unwrap().clone()).collect();
    crashes.sort();
    let late = crashes.get(2).map_or(0, |third| {
        let after = *third + ms(CONTACT_MS);
        servers
            .iter()
            .map(|e| {
                e.arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| a.body == POISON && a.ran && a.at > after)
                    .count()
            })
            .sum()
    });
    let line = format!(
        "of the sound requests {} were served and {} lost with a server that crashed; {} crashes; the request reached servers {late} times later than {CONTACT_MS} ms after the third (3 are allowed)",
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst),
        crashes.len()
    );
    record.add(&line);
    println!("{line}");
    if poisonous && crashes.len() < 3 {
        finish(&record, folder, fleet, Err("too few crashes".into()), 2);
    }
    let verdict = if poisonous && late > 3 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
