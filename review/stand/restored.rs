//! The store comes back from a copy that lacks the latest version of the configuration; the operator
//! writes it again some seconds later. Writes go to the service that the latest version names.

use crate::base::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const GATEWAYS: usize = 3;
const AWAY_MS: u64 = 1000;

fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"write","host":"desk.example","prefix":"/write/","kind":"non_idempotent","service":"{service}","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":1}}],
"services":[{{"name":"libro-a","health_path":"/health","max_conns":110}},{{"name":"libro-b","health_path":"/health","max_conns":110}}],
"tenants":[{{"name":"medellin","api_keys":["key-medellin"]}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

pub fn run(folder: &str) {
    let rewrite_ms: u64 =
        std::env::var("REWRITE_MS").ok().and_then(|t| t.parse().ok()).unwrap_or(8000);
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(&config(1, "libro-a")));
    let work: Work = Arc::new(move |_, request, stream| {
        thread::sleep(ms(20));
        answer(request, stream, "{\"ok\":true}")
    });
    let servers: Vec<Server> = ["libro-a", "libro-b"]
        .iter()
        .flat_map(|service| (1..=2).map(move |n| (service, n)))
        .map(|(service, n)| {
            Server::start(
                &format!("{service}-{n}"),
                service,
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
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let sent: Arc<Mutex<Vec<(String, Instant, u16)>>> = Arc::default();
    let stop = Arc::new(Mutex::new(false));
    let sender = {
        let (sent, stop, record) = (sent.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !*stop.lock().unwrap() {
                let id = format!("write-{number}");
                let call = Call {
                    method: "POST",
                    path: "/write/a",
                    id: &id,
                    key: "key-medellin",
                    deadline_ms: 3000,
                    body: "{}",
                    extra: "",
                };
                let at = Instant::now();
                let answer = send(&record, fronts[number % fronts.len()], &call);
                sent.lock().unwrap().push((id, at, answer.status));
                number += 1;
                thread::sleep(ms(40));
            }
        })
    };
    thread::sleep(ms(5000));
    let copy = store.copy();
    thread::sleep(ms(1000));
    record.add("the operator writes version 2, which moves the route to libro-b");
    store.put("op", "config", Some(&config(2, "libro-b")));
    thread::sleep(ms(4000));
    let moved_at = Instant::now();
    if trouble() {
        record.add("the store is away");
        store.set_away(true);
        thread::sleep(ms(AWAY_MS));
        store.restore(&copy);
        store.set_away(false);
        record.add("the store is back from a copy that lacks version 2");
        thread::sleep(ms(rewrite_ms));
        record.add("the operator writes version 2 again");
        store.put("op", "config", Some(&config(2, "libro-b")));
        thread::sleep(ms(5000));
    } else {
        thread::sleep(ms(AWAY_MS + rewrite_ms + 5000));
    }
    *stop.lock().unwrap() = true;
    sender.join().ok();
    let sent = sent.lock().unwrap().clone();
    let later: Vec<&str> =
        sent.iter().filter(|(_, at, _)| *at > moved_at).map(|(id, _, _)| id.as_str()).collect();
    let mut to_old = 0;
    let mut to_new = 0;
    for server in &servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            if arrival.ran && later.contains(&arrival.id.as_str()) {
                if server.service == "libro-a" { to_old += 1 } else { to_new += 1 }
            }
        }
    }
    let line = format!(
        "of the writes sent after all machines had version 2, {to_new} ran at libro-b and {to_old} at libro-a, which version 2 had taken out"
    );
    record.add(&line);
    println!("{line}");
    if to_new < 50 {
        finish(&record, folder, fleet, Err("too few writes ran".into()), 2);
    }
    let verdict = if to_old > 0 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
