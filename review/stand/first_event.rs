//! A request that crashes each engine just after its first event, sent again and again. Beside it run
//! sound streams that may not be repeated.

use crate::base::*;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};
use std::thread;
use std::time::Instant;

const ENGINES: usize = 6;
const GATEWAYS: usize = 2;
const POISON: &str = "{\"prompt\":\"poison\"}";
/// An engine that has crashed is back after some seconds.
const DOWN_MS: u64 = 3000;
const CONTACT_MS: u64 = 4000;
const POISON_REQUESTS: u64 = 16;
const POISON_PAUSE_MS: u64 = 2000;

pub const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"chat","host":"desk.example","prefix":"/chat/","kind":"streaming","service":"tasador","timeout_ms":20000,"target_latency_ms":3100,"priority":2,"max_attempts":2,"gap_aim_ms":400,"resumable":true},
{"name":"report","host":"desk.example","prefix":"/report/","kind":"streaming","service":"tasador","timeout_ms":6000,"target_latency_ms":2700,"priority":1,"max_attempts":1,"gap_aim_ms":400}],
"services":[{"name":"tasador","health_path":"/health","max_conns":500,"engine":{"slots":96,"stride":4}}],
"tenants":[{"name":"medellin","api_keys":["key-medellin"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}"#;

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let poisonous = trouble();
    let work: Work = Arc::new(move |server, request, stream| {
        let is_poison = request.body == POISON.as_bytes();
        thread::sleep(ms(40));
        if !begin_stream(request, stream) || !event(stream, 1) {
            return false;
        }
        if is_poison && poisonous {
            thread::sleep(ms(20));
            server.crash(ms(DOWN_MS));
            return false;
        }
        for number in 2..=12 {
            thread::sleep(ms(60));
            if !event(stream, number) {
                return false;
            }
        }
        end_stream(stream)
    });
    let engines: Vec<Server> = (1..=ENGINES)
        .map(|n| {
            Server::start(
                &format!("tasador-{n}"),
                "tasador",
                "antioquia-a",
                &store,
                &record,
                work.clone(),
            )
        })
        .collect();
    let fleet = Fleet::start(GATEWAYS, &store);
    if !fleet.wait_ready(ms(15000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    thread::sleep(ms(CONTACT_MS + 1000));

    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound: Arc<Mutex<Vec<(bool, u16)>>> = Arc::default();
    let sender = {
        let (stop, sound, record, fronts) =
            (stop.clone(), sound.clone(), record.clone(), fronts.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let (sound, record) = (sound.clone(), record.clone());
                let front = fronts[number % fronts.len()];
                thread::spawn(move || {
                    let id = format!("sound-{number}");
                    let body = format!("{{\"prompt\":\"seller {number}\"}}");
                    let call = Call {
                        method: "POST",
                        path: "/report/a",
                        id: &id,
                        key: "key-medellin",
                        deadline_ms: 6000,
                        body: &body,
                        extra: "Model: m\r\nToken-Counts: 100,48\r\n",
                    };
                    let answer = send(&record, front, &call);
                    let complete = answer.status == 200
                        && answer.whole
                        && answer.body.matches("data:").count() == 12;
                    sound.lock().unwrap().push((complete, answer.status));
                });
                thread::sleep(ms(250));
            }
        })
    };
    for number in 0..POISON_REQUESTS {
        let id = format!("poison-{number}");
        let call = Call {
            method: "POST",
            path: "/chat/a",
            id: &id,
            key: "key-medellin",
            deadline_ms: 20000,
            body: POISON,
            extra: "Model: m\r\nToken-Counts: 100,48\r\n",
        };
        let _ = send(&record, fronts[number as usize % fronts.len()], &call);
        thread::sleep(ms(POISON_PAUSE_MS));
    }
    stop.store(true, Ordering::SeqCst);
    sender.join().ok();
    thread::sleep(ms(1500));

    let mut crashes: Vec<Instant> =
        engines.iter().flat_map(|e| e.crashes.lock().unwrap().clone()).collect();
    crashes.sort();
    let late = crashes.get(2).map_or(0, |third| {
        let after = *third + ms(CONTACT_MS);
        engines
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
    let sound = sound.lock().unwrap().clone();
    let complete = sound.iter().filter(|(complete, _)| *complete).count();
    let broken = sound.iter().filter(|(complete, status)| !complete && *status == 200).count();
    let line = format!(
        "{} crashes; the request reached engines {late} times later than {CONTACT_MS} ms after the third (3 are allowed); \
        of {} sound streams {complete} were whole, {broken} were cut",
        crashes.len(),
        sound.len()
    );
    record.add(&line);
    println!("{line}");
    if sound.len() < 50 || complete < 10 || (poisonous && crashes.len() < 3) {
        finish(&record, folder, fleet, Err("too little was served to judge".into()), 2);
    }
    let verdict = if late > 3 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
