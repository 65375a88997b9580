//! A version of the configuration lists the stages of a route in another order: the first one needs
//! the results of the second. Each stage, and the request, must get the results that they need.

use crate::base::*;
use std::collections::BTreeMap;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const CLIENTS: usize = 3;
const CONFIG_APPLY_MS: u64 = 2500;
/// Pieces that each request has of the readings and of the summary made from them.
const READINGS: usize = 2;
const SUMMARIES: usize = 1;

const IN_ORDER: &str = r#"[{"service":"identidad","after":[],"bytes":8000},{"service":"precio","after":[0],"bytes":6000}]"#;
const TURNED: &str = r#"[{"service":"precio","after":[1],"bytes":6000},{"service":"identidad","after":[],"bytes":8000}]"#;

fn config(version: u64, stages: &str) -> String {
    let pieces = r#""pieces":{"slots":1,"queue":2,"batch":8,"call_ms":20.0,"item_ms":2.0,"headroom_mb":18.0,"handle_s":4.0,"link_mbps":10000}"#;
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"report","host":"desk.example","prefix":"/report/","kind":"streaming","service":"tasador","timeout_ms":6000,"target_latency_ms":2700,"priority":1,"max_attempts":1,"gap_aim_ms":400,"stages":{stages}}}],
"services":[{{"name":"tasador","health_path":"/health","max_conns":500,"engine":{{"slots":96,"stride":4}}}},{{"name":"identidad","health_path":"/health","max_conns":500,{pieces}}},{{"name":"precio","health_path":"/health","max_conns":500,{pieces}}}],
"tenants":[{{"name":"medellin","api_keys":["key-medellin"]}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

/// What the servers made of one request and were given for it.
#[derive(Clone, Debug, Default)]
struct Made {
    readings: Vec<String>,
    summaries: Vec<String>,
    /// Inputs of each summary; empty if it was given none.
    summary_inputs: Vec<Vec<String>>,
    request_inputs: Vec<String>,
}

impl Made {
    /// Returns what is wrong with the inputs.
    fn fault(&self) -> Option<String> {
        let sorted = |handles: &[String]| {
            let mut handles = handles.to_vec();
            handles.sort();
            handles
        };
        let readings = sorted(&self.readings);
        if self.summary_inputs.iter().any(Vec::is_empty) {
            return Some("a summary, which has `after`, was given no inputs".into());
        }
        if self.summary_inputs.iter().any(|inputs| sorted(inputs) != readings) {
            return Some("a summary was given other inputs than the readings".into());
        }
        (sorted(&self.request_inputs) != sorted(&self.summaries))
            .then(|| "the request was given other inputs than the summaries".into())
    }
}

type Results = Arc<Mutex<BTreeMap<String, Made>>>;

/// A worker of the service `service`, which runs stage calls.
fn worker(service: &'static str, results: Results, record: Record) -> Work {
    let number = Arc::new(AtomicUsize::new(0));
    Arc::new(move |server, request, stream| {
        if request.path() == "/v1/stage-free" {
            return answer(request, stream, "{}");
        }
        thread::sleep(ms(25));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let items = body.get("items").map(|items| items.list().to_vec()).unwrap_or_default();
        let mut outcomes = Vec::new();
        for item in items {
            let text = |name: &str| item.get(name).map_or(String::new(), |v| v.text().to_owned());
            let inputs = item.get("inputs").map(|list| list.list().to_vec()).unwrap_or_default();
            let inputs: Vec<String> = inputs.iter().map(|one| one.text().to_owned()).collect();
            let made = number.fetch_add(1, Ordering::SeqCst);
            let handle = format!("{}/{service}{made:x}", server.address);
            record.add(format!(
                "{} makes {handle} for {} stage {} key {:?} inputs {inputs:?}",
                server.id(),
                text("id"),
                item.get("stage").map_or(0, Json::number),
                text("key")
            ));
            let mut results = results.lock().unwrap();
            let of_request = results.entry(text("id")).or_default();
            if service == "identidad" {
                of_request.readings.push(handle.clone());
            } else {
                of_request.summaries.push(handle.clone());
                of_request.summary_inputs.push(inputs);
            }
            outcomes.push(format!("{{\"handle\":\"{handle}\"}}"));
        }
        let body = format!("{{\"items\":[{}]}}", outcomes.join(","));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nLoad-Report: 0,0,1\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        std::io::Write::write_all(stream, text.as_bytes()).is_ok()
    })
}

/// An engine, which requires `Inputs`.
fn engine(results: Results, record: Record) -> Work {
    Arc::new(move |server, request, stream| {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let inputs = request.header("inputs").unwrap_or("");
        let inputs: Vec<String> =
            inputs.split(',').filter(|one| !one.is_empty()).map(|one| one.trim().into()).collect();
        record.add(format!("{} answers {id} with inputs {inputs:?}", server.id()));
        results.lock().unwrap().entry(id).or_default().request_inputs = inputs;
        let begun = begin_stream(request, stream);
        begun && (1..=3).all(|number| event(stream, number)) && end_stream(stream)
    })
}

pub fn run(folder: &str) {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", Some(&config(1, IN_ORDER)));
    let results = Results::default();
    let start = |name: &str, service: &str, work: Work| {
        Server::start(name, service, "antioquia-a", &store, &record, work)
    };
    let mut servers = Vec::new();
    for n in 1..=2 {
        for service in ["identidad", "precio"] {
            let work = worker(service, results.clone(), record.clone());
            servers.push(start(&format!("{service}-{n}"), service, work));
        }
        let work = engine(results.clone(), record.clone());
        servers.push(start(&format!("tasador-{n}"), "tasador", work));
    }
    let fleet = Fleet::start(GATEWAYS, &store);
    if !fleet.wait_ready(ms(20000)) {
        finish(&record, folder, fleet, Err("the gateways are not ready".into()), 2);
    }
    let fronts: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.front).collect();
    let number = Arc::new(AtomicUsize::new(0));
    let sent: Arc<Mutex<Vec<(String, Instant, u16)>>> = Arc::default();
    let send_for = |length: Duration, pieces: String| {
        let until = Instant::now() + length;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (number, sent, pieces) = (number.clone(), sent.clone(), pieces.clone());
                let (record, fronts) = (record.clone(), fronts.clone());
                thread::spawn(move || {
                    while Instant::now() < until {
                        let number = number.fetch_add(1, Ordering::SeqCst);
                        let id = format!("report-{number}");
                        let extra = format!(
                            "Model: m\r\nToken-Counts: 100,12\r\nPieces: {pieces}\r\n\
                             Piece-Key: key{number}\r\n"
                        );
                        let call = Call {
                            method: "POST",
                            path: "/report/a",
                            id: &id,
                            key: "key-medellin",
                            deadline_ms: 6000,
                            body: "{}",
                            extra: &extra,
                        };
                        let at = Instant::now();
                        let answer = send(&record, fronts[number % fronts.len()], &call);
                        sent.lock().unwrap().push((id, at, answer.status));
                        thread::sleep(ms(100));
                    }
                })
            })
            .collect();
        for client in clients {
            client.join().ok();
        }
    };
    send_for(ms(4000), format!("{READINGS},{SUMMARIES}"));
    thread::sleep(ms(1000));
    let (stages, pieces) = if trouble() {
        record.add("version 2 lists the stages in another order");
        (TURNED, format!("{SUMMARIES},{READINGS}"))
    } else {
        record.add("version 2 lists the stages as before");
        (IN_ORDER, format!("{READINGS},{SUMMARIES}"))
    };
    store.put("op", "config", Some(&config(2, stages)));
    let confirmed = Instant::now();
    thread::sleep(ms(CONFIG_APPLY_MS + 500));
    send_for(ms(8000), pieces);
    let results = results.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let judge = |after: bool| {
        let of_time =
            sent.iter().filter(|(_, at, status)| (*at > confirmed) == after && *status == 200);
        let ids: Vec<_> = of_time.map(|(id, _, _)| id).collect();
        let faults = ids.iter().filter_map(|id| Some((id, results.get(*id)?.fault()?)));
        let faults: Vec<_> = faults.collect();
        for (id, fault) in &faults {
            record.add(format!("{id}: {fault}"));
        }
        let first = faults.first().map(|(_, fault)| fault.clone()).unwrap_or_default();
        (faults.len(), ids.len(), first)
    };
    let (before, after) = (judge(false), judge(true));
    let line = format!(
        "of the requests answered with success before version 2, {} of {} had wrong inputs; later \
         than {CONFIG_APPLY_MS} ms after it, {} of {} {}",
        before.0, before.1, after.0, after.1, after.2
    );
    record.add(&line);
    println!("{line}");
    if before.1 < 20 || after.1 < 20 {
        finish(&record, folder, fleet, Err("too little was served to judge".into()), 2);
    }
    let verdict = if before.0 + after.0 > 0 { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
