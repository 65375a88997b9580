//! The servers of eight services are replaced, one of each service at a time, again and again; each new
//! one has a new address. Sound lookups go on all the while, on kept channels. After the last replacement
//! further consumers try new channels.

use crate::base::*;
use std::collections::BTreeSet;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use std::thread;
use std::time::{Duration, Instant};

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
const CONTACT_MS: u64 = 4000;
/// The last replacement is over for longer than `contact_ms` when the calm time begins.
const SETTLE_MS: u64 = 6000;
const CALM_MS: u64 = 20000;
/// Consumers that come in the calm time, each with a new channel for each request.
const NEWCOMERS: usize = 20;
/// Consumers that have to try, for a machine that takes none of them to break the rule.
const FEWEST_CONSUMERS: usize = 7;

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

/// A request of a consumer.
#[derive(Clone)]
struct Try {
    consumer: usize,
    new_channel: bool,
    from: Instant,
    until: Instant,
    /// Zero if nothing was answered.
    status: u16,
}

type Tries = Arc<Mutex<Vec<Try>>>;

/// Returns the longest time without a taken channel, within the calm time, in which enough consumers
/// tried and the gateway always said that it is ready. A channel with an answer counts as taken at each
/// moment from its opening to the answer.
fn closed_time(
    tries: &[Try],
    probes: &[(Instant, bool)],
    calm_from: Instant,
    calm_until: Instant,
) -> Duration {
    let new = || tries.iter().filter(|one| one.new_channel);
    let mut ends: Vec<Instant> = new().filter(|one| one.status != 0).map(|one| one.until).collect();
    ends.extend([calm_from]);
    let mut longest = Duration::ZERO;
    for from in ends.into_iter().filter(|end| *end >= calm_from) {
        let taken = new().filter(|one| one.status != 0 && one.until > from).map(|one| one.from);
        let until = taken.chain([calm_until]).min().unwrap_or(calm_until);
        let inside = |at: Instant| at >= from && at <= until;
        let consumers: BTreeSet<usize> = new()
            .filter(|one| one.status == 0 && inside(one.from))
            .map(|one| one.consumer)
            .collect();
        let ready = probes.iter().filter(|(at, _)| inside(*at)).all(|(_, ready)| *ready);
        if ready && consumers.len() >= FEWEST_CONSUMERS {
            longest = longest.max(until.saturating_duration_since(from));
        }
    }
    longest
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
    let tries: Tries = Arc::default();
    let start_client = |client: usize, keeps: bool| {
        let (stop, number, tries) = (stop.clone(), number.clone(), tries.clone());
        let record = record.clone();
        let count = if keeps { CLIENTS } else { NEWCOMERS };
        let offset = ms(PERIOD_MS).mul_f64(client as f64 / count as f64);
        thread::spawn(move || {
            thread::sleep(offset);
            let mut channel = Channel::default();
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
                if !keeps {
                    channel = Channel::default();
                }
                let new_channel = !channel.is_open();
                let from = Instant::now();
                let status = channel.send(&record, front, &call).status;
                let until = Instant::now();
                let consumer = if keeps { client } else { CLIENTS + client };
                tries.lock().unwrap().push(Try { consumer, new_channel, from, until, status });
                thread::sleep(ms(PERIOD_MS).saturating_sub(from.elapsed()));
            }
        })
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(|client| start_client(client, true)).collect();
    // The platform keeps its channel for the question whether the gateway is ready.
    let mut probe = None;
    fleet.gateways[0].probe(&mut probe);
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
    clients.extend((0..NEWCOMERS).map(|client| start_client(client, false)));
    thread::sleep(ms(SETTLE_MS));
    let calm_from = Instant::now();
    let mut probes = Vec::new();
    while calm_from.elapsed() < ms(CALM_MS) {
        let at = Instant::now();
        let ready = fleet.gateways[0].probe(&mut probe);
        record.add(format!("the gateway says ready: {ready}"));
        probes.push((at, ready));
        thread::sleep(ms(1000).saturating_sub(at.elapsed()));
    }
    let calm_until = Instant::now();
    let ended = fleet.gateways[0].has_ended();
    let after = fleet.gateways[0].descriptors();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let tries = tries.lock().unwrap().clone();
    let calm: Vec<&Try> =
        tries.iter().filter(|one| one.from >= calm_from && one.from < calm_until).collect();
    let served = calm.iter().filter(|one| one.status == 200).count();
    let new: Vec<&&Try> = calm.iter().filter(|one| one.new_channel).collect();
    let taken = new.iter().filter(|one| one.status != 0).count();
    let closed = closed_time(&tries, &probes, calm_from, calm_until);
    let line = format!(
        "{started} servers so far; the gateway had {before} descriptors before and {after} of \
         {MAX_FDS} after, and has ended: {ended}; in {} s, from {SETTLE_MS} ms after the last \
         replacement on, it took {taken} of {} new channels and served {served} of {} requests; \
         ready all the while, it took none for {} ms while {FEWEST_CONSUMERS} consumers or more \
         tried ({CONTACT_MS} ms are too long)",
        CALM_MS / 1000,
        new.len(),
        calm.len(),
        closed.as_millis()
    );
    record.add(&line);
    println!("{line}");
    let all_served = tries.iter().filter(|one| one.status == 200).count();
    if all_served < 500 || new.len() < NEWCOMERS {
        finish(&record, folder, fleet, Err("too little was sent to judge".into()), 2);
    }
    let verdict = if closed >= ms(CONTACT_MS) { Err(line) } else { Ok(()) };
    finish(&record, folder, fleet, verdict, 1);
}
