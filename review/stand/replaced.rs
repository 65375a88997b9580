//! The servers of eight services are replaced, one of each service at a time, again and again; each new
//! one has a new address. Sound lookups go on all the while, and for a minute after the last replacement.

use crate::base::*;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use std::thread;
use std::time::Instant;

const SERVICES: [&str; 8] =
    ["libro", "precio", "identidad", "reporte", "tasador", "caja", "pesaje", "archivo"];
const SERVERS_PER_SERVICE: usize = 2;
/// Pause between two replacements in a service.
const GAP_MS: u64 = 1100;
const ROUNDS: usize = 32;
/// A server serves on for `drain_ms` and a little longer after its report.
const DRAIN_MS: u64 = 2700;
const CLIENTS: usize = 440;
/// Time from one request of a client to its next.
const PERIOD_MS: u64 = 2000;
const WORK_MS: u64 = 1800;
/// The last replacement is over for longer than `contact_ms` when the calm time begins.
const SETTLE_MS: u64 = 6000;
const CALM_MS: u64 = 55000;

fn config() -> String {
    let routes = SERVICES.map(|name| {
        format!(
            r#"{{"name":"{name}","host":"desk.example","prefix":"/{name}/","kind":"idempotent","service":"{name}","timeout_ms":3000,"target_latency_ms":2000,"priority":2,"max_attempts":2}}"#
        )
    });
    let services = SERVICES
        .map(|name| format!(r#"{{"name":"{name}","health_path":"/health","max_conns":500}}"#));
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{}],"tenants":[{{"name":"medellin","api_keys":["key-medellin"]}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let work: Work = Arc::new(move |_, request, stream| {
        thread::sleep(ms(WORK_MS));
        answer(request, stream, "{\"ok\":true}")
    });
    let mut started = 0;
    let mut start_server = |service: &str| {
        started += 1;
        let name = format!("{service}-{started}");
        Server::start(&name, service, "antioquia-a", &store, &record, work.clone())
    };
    let mut servers: Vec<Server> =
        (0..SERVERS_PER_SERVICE).flat_map(|_| SERVICES).map(&mut start_server).collect();
    let mut fleet = Fleet::start(1, &store);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateway is not ready".into()), 2);
    }
    thread::sleep(ms(2000));
    let front = fleet.gateways[0].front;
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let done: Arc<Mutex<Vec<(Instant, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (stop, number, done) = (stop.clone(), number.clone(), done.clone());
            let record = record.clone();
            let offset = ms(PERIOD_MS).mul_f64(client as f64 / CLIENTS as f64);
            thread::spawn(move || {
                thread::sleep(offset);
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("read-{}", number.fetch_add(1, Ordering::SeqCst));
                    let call = Call {
                        method: "GET",
                        path: &format!("/{}/{id}", SERVICES[client % SERVICES.len()]),
                        id: &id,
                        key: "key-medellin",
                        deadline_ms: 3000,
                        body: "",
                        extra: "",
                    };
                    let at = Instant::now();
                    let answer = send(&record, front, &call);
                    done.lock().unwrap().push((at, answer.status));
                    thread::sleep(ms(PERIOD_MS).saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    let before = fleet.gateways[0].descriptors();
    for _ in 0..ROUNDS {
        let next_at = Instant::now() + ms(GAP_MS);
        if trouble() {
            // The oldest of each service.
            let old: Vec<Server> = servers.drain(..SERVICES.len()).collect();
            servers.extend(SERVICES.map(&mut start_server));
            thread::sleep(ms(200));
            old.iter().for_each(|server| server.leave(ms(DRAIN_MS)));
        }
        record.add(format!("the gateway has {} descriptors", fleet.gateways[0].descriptors()));
        thread::sleep(next_at.saturating_duration_since(Instant::now()));
    }
    record.add("the last replacement");
    thread::sleep(ms(SETTLE_MS));
    let from = Instant::now();
    let mut ready = 0;
    while from.elapsed() < ms(CALM_MS) {
        ready += usize::from(fleet.gateways[0].is_ready());
        thread::sleep(ms(1000));
    }
    let until = Instant::now();
    let ended = fleet.gateways[0].has_ended();
    let after = fleet.gateways[0].descriptors();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let done = done.lock().unwrap().clone();
    let calm: Vec<_> = done.iter().filter(|(at, _)| *at >= from && *at < until).collect();
    let served = calm.iter().filter(|(_, status)| *status == 200).count();
    let line = format!(
        "{started} servers so far; the gateway had {before} descriptors before and {after} of \
         {MAX_FDS} after; from {SETTLE_MS} ms after the last replacement on {served} of {} requests \
         were served, for {} s; it said {ready} times that it is ready, and has ended: {ended}",
        calm.len(),
        CALM_MS / 1000
    );
    let (all, all_served) = (done.len(), done.iter().filter(|(_, status)| *status == 200).count());
    let line =
        format!("of {all} requests in all {} were refused or failed; {line}", all - all_served);
    record.add(&line);
    println!("{line}");
    if all_served < 500 || calm.len() < 100 {
        finish(&record, folder, fleet, Err("too little was sent to judge".into()), 2);
    }
    let broken = (all - all_served) * 10 > all * 6;
    let verdict = if broken { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
