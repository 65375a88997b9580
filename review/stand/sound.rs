//! All servers of a service crash once, at the same time. Sound lookups of one thing go on.

use crate::base::*;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use std::thread;
use std::time::Instant;

const SERVERS: usize = 3;
const GATEWAYS: usize = 2;
const DOWN_MS: u64 = 2000;
const CLIENTS: usize = 12;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"read","host":"desk.example","prefix":"/read/","kind":"idempotent","service":"libro","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":2}],
"services":[{"name":"libro","health_path":"/health","max_conns":110}],
"tenants":[{"name":"medellin","api_keys":["key-medellin"]},{"name":"bogota","api_keys":["key-bogota"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#;

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let work: Work = Arc::new(move |_, request, stream| {
        thread::sleep(ms(60));
        answer(request, stream, "{\"price\":1}")
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
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let done: Arc<Mutex<Vec<(bool, Instant, u16)>>> = Arc::default();
    let mut senders = Vec::new();
    for client in 0..CLIENTS {
        let (stop, number, done, record, fronts) =
            (stop.clone(), number.clone(), done.clone(), record.clone(), fronts.clone());
        senders.push(thread::spawn(move || {
            // Two thirds of the clients look up the gold price, the others one seller each time.
            let hot = client % 3 != 0;
            while !stop.load(Ordering::SeqCst) {
                let n = number.fetch_add(1, Ordering::SeqCst);
                let id = format!("{}-{n}", if hot { "price" } else { "seller" });
                let path = if hot { "/read/price".to_owned() } else { format!("/read/seller-{n}") };
                let key = if hot { "key-medellin" } else { "key-bogota" };
                let call = Call {
                    method: "GET",
                    path: &path,
                    id: &id,
                    key,
                    deadline_ms: 3000,
                    body: "",
                    extra: "",
                };
                let at = Instant::now();
                let answer = send(&record, fronts[n as usize % fronts.len()], &call);
                done.lock().unwrap().push((hot, at, answer.status));
                thread::sleep(ms(40));
            }
        }));
    }
    thread::sleep(ms(6000));
    let crash_at = Instant::now();
    if trouble() {
        let all: Vec<_> = servers
            .iter()
            .cloned()
            .map(|server| thread::spawn(move || server.crash(ms(DOWN_MS))))
            .collect();
        for one in all {
            one.join().ok();
        }
    }
    thread::sleep(ms(30000));
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        sender.join().ok();
    }
    let done = done.lock().unwrap().clone();
    // From 10 s after the crash on: the servers have been back for 8 s.
    let share = |hot: bool, after: bool| {
        let of_kind: Vec<_> = done
            .iter()
            .filter(|(is_hot, at, _)| {
                *is_hot == hot && if after { *at > crash_at + ms(10000) } else { *at < crash_at }
            })
            .collect();
        let served = of_kind.iter().filter(|(_, _, status)| *status == 200).count();
        (served, of_kind.len())
    };
    let (price, seller) = (share(true, true), share(false, true));
    let line = format!(
        "from 10 s after the crash on {} of {} price lookups were served and {} of {} others; before it {:?} and {:?}",
        price.0,
        price.1,
        seller.0,
        seller.1,
        share(true, false),
        share(false, false)
    );
    record.add(&line);
    println!("{line}");
    let rate = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    let all = (price.0 + seller.0, price.1 + seller.1);
    if all.1 < 100 || rate(seller) < 0.5 {
        finish(&record, folder, fleet, Err("too little was served to judge".into()), 2);
    }
    let verdict = if rate(price) < 0.25 * rate(all) { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
