//! The settings file changes: it names another address of the store, and SIGHUP says so. The old
//! address is closed some seconds later. Then the operator takes a key away.

use crate::base::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const CONFIG_APPLY_MS: u64 = 2500;
const CONTACT_MS: u64 = 4000;

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"write","host":"desk.example","prefix":"/write/","kind":"non_idempotent","service":"libro","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":1}}],
"services":[{{"name":"libro","health_path":"/health","max_conns":110}}],
"tenants":[{{"name":"medellin","api_keys":[{keys}]}},{{"name":"bogota","api_keys":["key-bogota"]}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(&config(1, "\"key-medellin\"")));
    let work: Work = Arc::new(move |_, request, stream| {
        thread::sleep(ms(20));
        answer(request, stream, "{\"ok\":true}")
    });
    let servers: Vec<Server> = (1..=3)
        .map(|n| {
            let name = format!("libro-{n}");
            Server::start(&name, "libro", "antioquia-a", &store, &record, work.clone())
        })
        .collect();
    let old = Relay::start(store.address);
    let fleet = Fleet::start_at(GATEWAYS, old.address);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let mut sent: Vec<(String, Instant, u16)> = Vec::new();
    let mut number = 0;
    let mut send_for = |length: Duration| {
        let until = Instant::now() + length;
        while Instant::now() < until {
            for key in ["medellin", "bogota"] {
                let id = format!("{key}-{number}");
                let key = format!("key-{key}");
                let call = Call {
                    method: "POST",
                    path: "/write/a",
                    id: &id,
                    key: &key,
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
    send_for(ms(3000));
    for gateway in &fleet.gateways {
        let address = if trouble() { store.address } else { old.address };
        record.add(format!("the settings of {} name the store at {address}; SIGHUP", gateway.name));
        gateway.move_store(address);
    }
    send_for(ms(CONTACT_MS));
    if trouble() {
        record.add("the old address of the store is closed");
        old.close();
    }
    send_for(ms(CONTACT_MS + 2000));
    record.add("version 2 takes key-medellin away");
    store.put("op", "config", Some(&config(2, "")));
    let confirmed = Instant::now();
    send_for(ms(12000));
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
        let ids: Vec<_> = of_kind.map(|(id, _, _)| id).collect();
        (ids.iter().filter(|id| ran.contains(id)).count(), ids.len())
    };
    let (held, dropped) = (count("medellin", false), count("medellin", true));
    let others = count("bogota", true);
    let line = format!(
        "before version 2 {} of {} requests with the key ran; later than {CONFIG_APPLY_MS} ms after \
         its confirmation {} of {} did, and {} of {} with the other key",
        held.0, held.1, dropped.0, dropped.1, others.0, others.1
    );
    record.add(&line);
    println!("{line}");
    if held.0 < 50 || dropped.1 < 50 || others.0 < 50 {
        finish(&record, folder, fleet, Err("too little ran to judge".into()), 2);
    }
    let verdict = if dropped.0 > 0 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
