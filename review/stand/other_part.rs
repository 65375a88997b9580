//! Another writer leaves a row in the table of the servers, in a part of its own. It is no entry
//! `servers/ID`: that is a row with an empty part.

use crate::base::*;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const CLIENTS: usize = 6;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"write","host":"desk.example","prefix":"/write/","kind":"non_idempotent","service":"libro","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":1}],
"services":[{"name":"libro","health_path":"/health","max_conns":110}],
"tenants":[{"name":"medellin","api_keys":["key-medellin"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#;

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
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
    // A server of a rehearsal, which never registers as `servers/ID`.
    let rehearsal_store = Store::start();
    let rehearsal =
        Server::start("rehearsal", "libro", "antioquia-a", &rehearsal_store, &record, work.clone());
    let fleet = Fleet::start(GATEWAYS, &store);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let number = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let send_for = |length: Duration| {
        let until = Instant::now() + length;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (number, served) = (number.clone(), served.clone());
                let (record, fronts) = (record.clone(), fronts.clone());
                thread::spawn(move || {
                    while Instant::now() < until {
                        let number = number.fetch_add(1, Ordering::SeqCst);
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
                        let answer = send(&record, fronts[number % fronts.len()], &call);
                        served.fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                        thread::sleep(ms(50));
                    }
                })
            })
            .collect();
        for client in clients {
            client.join().ok();
        }
    };
    send_for(ms(3000));
    if trouble() {
        let text = format!(
            "{{\"service\":\"libro\",\"address\":\"{}\",\"zone\":\"antioquia-a\",\"version\":1,\
             \"slots\":96,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}}",
            rehearsal.address
        );
        record.add("another writer leaves the row rehearsal/i-rehearsal-1");
        store.put_in("servers", "rehearsal", &rehearsal.id(), Some(&text));
    }
    send_for(ms(10000));
    let (number, served) = (number.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    let ran = |server: &Server| server.arrivals.lock().unwrap().iter().filter(|a| a.ran).count();
    let sound: usize = servers.iter().map(ran).sum();
    let foreign = ran(&rehearsal);
    let line = format!(
        "of {number} writes {served} were answered with success; {sound} ran at the servers of the \
         service and {foreign} at one that has no entry"
    );
    record.add(&line);
    println!("{line}");
    if served < 100 || sound < 20 {
        finish(&record, folder, fleet, Err("too little ran to judge".into()), 2);
    }
    let verdict = if foreign > 0 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
