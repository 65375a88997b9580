//! A version of the configuration takes away the only key of the only tenant. Requests with that key,
//! and with one that no version ever held, go on.

use crate::base::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const CONFIG_APPLY_MS: u64 = 2500;
const BEFORE_MS: u64 = 3000;
const AFTER_MS: u64 = 10000;

fn config(version: u64, keys: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"write","host":"desk.example","prefix":"/write/","kind":"non_idempotent","service":"libro","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"max_attempts":1}}],
"services":[{{"name":"libro","health_path":"/health","max_conns":110}}],
"tenants":[{{"name":"medellin","api_keys":[{keys}]}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(&config(1, "\"key-medellin\"", 3000)));
    let tenants = record.clone();
    let work: Work = Arc::new(move |_, request, stream| {
        tenants.add(format!(
            "{} has Tenant {:?}",
            request.header("request-id").unwrap_or(""),
            request.header("tenant")
        ));
        thread::sleep(ms(20));
        answer(request, stream, "{\"ok\":true}")
    });
    let servers: Vec<Server> = (1..=3)
        .map(|n| {
            let name = format!("libro-{n}");
            Server::start(&name, "libro", "antioquia-a", &store, &record, work.clone())
        })
        .collect();
    let fleet = Fleet::start(GATEWAYS, &store);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let mut sent: Vec<(String, Instant, u16)> = Vec::new();
    let mut number = 0;
    let mut send_for = |length: Duration| {
        let until = Instant::now() + length;
        while Instant::now() < until {
            for (kind, key) in [("held", "key-medellin"), ("never-held", "key-nobody")] {
                let id = format!("{kind}-{number}");
                let call = Call {
                    method: "POST",
                    path: "/write/a",
                    id: &id,
                    key,
                    deadline_ms: 3000,
                    body: "{}",
                    extra: "",
                };
                let at = Instant::now();
                let answer = send(&record, fronts[number % fronts.len()], &call);
                sent.push((id, at, answer.status));
                thread::sleep(ms(25));
            }
            number += 1;
        }
    };
    send_for(ms(BEFORE_MS));
    let confirmed = if trouble() {
        record.add("version 2 takes away the key");
        store.put("op", "config", Some(&config(2, "", 3000)));
        Instant::now()
    } else {
        record.add("version 2 changes a timeout");
        store.put("op", "config", Some(&config(2, "\"key-medellin\"", 2900)));
        Instant::now()
    };
    send_for(ms(AFTER_MS));
    let ran: Vec<String> = servers
        .iter()
        .flat_map(|server| {
            let arrivals = server.arrivals.lock().unwrap();
            arrivals.iter().filter(|one| one.ran).map(|one| one.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    let bound = confirmed + ms(CONFIG_APPLY_MS);
    let count = |kind: &str, after: bool| {
        let of_kind = sent.iter().filter(|(id, at, _)| {
            id.starts_with(kind) && if after { *at > bound } else { *at < confirmed }
        });
        let (mut all, mut run) = (0, 0);
        for (id, _, _) in of_kind {
            all += 1;
            run += usize::from(ran.contains(id));
        }
        (run, all)
    };
    let (held_before, held) = (count("held", false), count("held", true));
    let (never_before, never) = (count("never-held", false), count("never-held", true));
    let line = format!(
        "before version 2: {} of {} requests with the key ran, and {} of {} with a key never held; \
         later than {CONFIG_APPLY_MS} ms after it: {} of {}, and {} of {}",
        held_before.0,
        held_before.1,
        never_before.0,
        never_before.1,
        held.0,
        held.1,
        never.0,
        never.1
    );
    record.add(&line);
    println!("{line}");
    if held_before.0 < 20 || held.1 < 50 || (!trouble() && held.0 < 50) {
        finish(&record, folder, fleet, Err("too little ran to judge".into()), 2);
    }
    let dropped = if trouble() { held.0 } else { 0 };
    let broken = dropped + never_before.0 + never.0 > 0;
    let verdict = if broken { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
