//! Prompt parts that crash the endpoints that begin to answer requests with them.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

mod suspect_exchange;

use comfreyspread_policy::{crash_evidence, part_suspect};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::time;

const GUILTY: ids::PartHash = 13;
const SHARED: ids::PartHash = 1;
const RARE: ids::PartHash = 2;

fn seconds(count: f64) -> time::Duration {
    time::Duration::from_secs_f64(count)
}

fn seen(crash: u64, request: u64, crashed_at: time::Instant) -> crash_evidence::SeenCrash {
    crash_evidence::SeenCrash { crash, request, moment: types::CrashMoment::Waiting, crashed_at }
}

/// Records a crash for requests with the shared part and each of `parts`.
fn crash(table: &mut part_suspect::PartTable, number: u64, parts: &[u64], at: time::Instant) {
    for part in parts {
        table.record_crash(&[SHARED, *part], seen(number, number * 100 + part, at), at);
    }
}

/// Guards against endpoints crashing without end because requests with one part in common, else
/// unlike, never added up.
#[test]
fn unlike_requests() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..3 {
        let at = now + seconds(number as f64);
        assert!(table.try_admit(&[SHARED, GUILTY], at));
        crash(&mut table, number, &[GUILTY], at);
        table.record_first_event(&[SHARED, RARE], at + seconds(0.1));
    }
    let later = now + seconds(3.0);
    assert!(!table.try_admit(&[SHARED, GUILTY], later));
    assert!(table.try_admit(&[SHARED, RARE], later));
}

/// Guards against a sound part being rejected because its requests ran beside guilty ones.
#[test]
fn bystanders_explained() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..4 {
        let at = now + seconds(number as f64);
        let parts: &[u64] = if number == 1 { &[GUILTY] } else { &[GUILTY, RARE] };
        crash(&mut table, number, parts, at);
        table.record_first_event(&[SHARED], at + seconds(0.1));
    }
    let later = now + seconds(4.0);
    assert!(table.is_convicted(&[GUILTY], later));
    assert!(!table.is_convicted(&[SHARED, RARE], later));
}

/// Two guilty parts at once are both convicted.
#[test]
fn two_guilty() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..6 {
        let at = now + seconds(number as f64);
        crash(&mut table, number, &[GUILTY + number % 2], at);
        table.record_first_event(&[SHARED], at + seconds(0.1));
    }
    let later = now + seconds(6.0);
    assert!(table.is_convicted(&[GUILTY], later));
    assert!(table.is_convicted(&[GUILTY + 1], later));
    assert!(!table.is_convicted(&[SHARED], later));
}

/// Guards against a quarter of the endpoints crashing at once with no request to blame.
#[test]
fn mass_crash() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..200 {
        crash(&mut table, number, &[RARE], now + seconds(number as f64 * 0.001));
    }
    assert!(table.try_admit(&[SHARED, RARE], now + seconds(0.3)));
}

/// Endpoints that crash again and again convict no part whose requests are served between.
#[test]
fn restart_loop() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..40 {
        let at = now + seconds(number as f64);
        crash(&mut table, number, &[RARE], at);
        assert!(table.try_admit(&[SHARED, RARE], at));
        if number % 2 == 1 {
            table.record_first_event(&[SHARED, RARE], at + seconds(0.5));
        }
    }
}

/// One request that crashes endpoints again and again convicts itself, not the parts it shares.
#[test]
fn one_request() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..5 {
        let at = now + seconds(number as f64);
        table.record_crash(&[RARE], seen(number, 7, at), at);
    }
    assert!(!table.is_convicted(&[RARE], now + seconds(5.0)));
}

/// When a conviction lapses one request at a time is let pass; a crash convicts again, a first
/// event clears.
#[test]
fn trial_ends() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new().with_trial_delay(seconds(10.0));
    for number in 0..3 {
        let at = now + seconds(number as f64);
        crash(&mut table, number, &[GUILTY], at);
        table.record_first_event(&[SHARED], at + seconds(0.1));
    }
    assert!(!table.try_admit(&[GUILTY], now + seconds(131.0)));
    let trial = now + seconds(133.0);
    assert!(table.try_admit(&[GUILTY], trial));
    assert!(!table.try_admit(&[GUILTY], trial));
    crash(&mut table, 3, &[GUILTY], trial);
    assert!(!table.try_admit(&[GUILTY], trial + seconds(129.0)));
    let next = trial + seconds(131.0);
    assert!(table.try_admit(&[GUILTY], next));
    table.record_first_event(&[GUILTY], next);
    assert!(table.try_admit(&[GUILTY], next));
    assert!(table.try_admit(&[GUILTY], next));
}

/// Records merge to the same state in any order and however often they come.
#[test]
fn merge_order() {
    let now = time::Instant::now();
    let mut random = rngs::SmallRng::seed_from_u64(7);
    let mut sources = [(); 4].map(|()| part_suspect::PartTable::new());
    for (number, source) in (0..).zip(&mut sources) {
        crash(source, number, &[GUILTY], now + seconds(number as f64));
    }
    let later = now + seconds(4.0);
    sources[3].record_first_event(&[SHARED], later);
    for _ in 0..20 {
        let mut table = part_suspect::PartTable::new();
        for _ in 0..40 {
            let source = &sources[random.random_range(0..4)];
            for record in source.records(suspect_exchange::RECORDS_PER_MESSAGE, later, &mut random)
            {
                table.merge(&record, later);
            }
        }
        assert!(table.is_convicted(&[GUILTY], later));
        assert!(!table.is_convicted(&[SHARED], later));
    }
}

/// Nodes that exchange heartbeats each half a second, and tell three others of news at once.
struct NodeFleet {
    tables: Vec<part_suspect::PartTable>,
    told_at: Vec<Option<time::Instant>>,
    pending: Vec<bool>,
    random: rngs::SmallRng,
    largest: usize,
}

impl NodeFleet {
    fn new(nodes: usize) -> Self {
        Self {
            tables: (0..nodes).map(|_| part_suspect::PartTable::new()).collect(),
            told_at: vec![None; nodes],
            pending: vec![false; nodes],
            random: rngs::SmallRng::seed_from_u64(11),
            largest: 0,
        }
    }

    fn send(&mut self, from: usize, now: time::Instant) {
        let to = self.random.random_range(0..self.tables.len());
        let records =
            self.tables[from].records(suspect_exchange::RECORDS_PER_MESSAGE, now, &mut self.random);
        let crashes: usize = records.iter().map(|record| record.crashes.len()).sum();
        self.largest = self.largest.max(records.len() + crashes);
        for record in &records {
            self.pending[to] |= self.tables[to].merge(&delayed(record), now);
        }
    }

    /// Passes a tenth of a second; each node sends a heartbeat in one of five.
    fn step(&mut self, step: usize, now: time::Instant) {
        for node in (0..self.tables.len()).filter(|node| node % 5 == step % 5) {
            self.send(node, now);
        }
        for node in 0..self.tables.len() {
            let due = self.told_at[node].is_none_or(|told_at| now - told_at >= seconds(0.3));
            if self.pending[node] && due {
                self.pending[node] = false;
                self.told_at[node] = Some(now);
                (0..3).for_each(|_| self.send(node, now));
            }
        }
    }
}

/// Returns a record whose ages lack the delay of its message.
fn delayed(record: &types::PartSuspect) -> types::PartSuspect {
    let mut delayed = record.clone();
    for crash in &mut delayed.crashes {
        crash.age = crash.age.saturating_sub(seconds(0.005));
    }
    delayed
}

/// Guards against a conviction that some nodes learn of too late: three crashes, each seen by other
/// nodes beside a dozen bystanders, are known everywhere in time, in messages of bounded size.
#[test]
fn fleet_learns() {
    for nodes in [8, 60, 300, 670] {
        let now = time::Instant::now();
        let mut fleet = NodeFleet::new(nodes);
        for step in 0..60 {
            let at = now + seconds(step as f64 * 0.1);
            if step % 5 == 0 && step < 20 {
                let number = step as u64;
                for bystander in 0..12 {
                    let node = fleet.random.random_range(0..nodes);
                    let parts = [SHARED, 1000 + number * 12 + bystander];
                    let request = number * 100 + bystander;
                    fleet.tables[node].record_crash(&parts, seen(number, request, at), at);
                    fleet.pending[node] = true;
                }
                let node = fleet.random.random_range(0..nodes);
                fleet.tables[node].record_crash(&[GUILTY], seen(number, number, at), at);
                fleet.pending[node] = true;
                (0..nodes).for_each(|node| fleet.tables[node].record_first_event(&[SHARED], at));
            }
            fleet.step(step, at);
            let convicted = fleet.tables.iter().filter(|table| table.is_convicted(&[GUILTY], at));
            if convicted.count() == nodes {
                println!("{nodes} nodes: {} ms", (at - now).as_millis());
                break;
            }
            assert!(step < 50, "{nodes} nodes do not know in 5 s");
        }
        assert!(fleet.largest <= 20, "{} items in a message", fleet.largest);
        let end = now + seconds(6.0);
        assert!(fleet.tables.iter().all(|table| !table.is_convicted(&[SHARED], end)));
    }
}

/// Evidence is forgotten when no crash has been added for long.
#[test]
fn evidence_expires() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    (0..3).for_each(|number| crash(&mut table, number, &[GUILTY], now + seconds(number as f64)));
    table.record_first_event(&[SHARED], now + seconds(2.1));
    assert!(table.is_convicted(&[GUILTY], now + seconds(3.0)));
    let later = now + seconds(910.0);
    let mut random = rngs::SmallRng::seed_from_u64(3);
    assert!(table.records(suspect_exchange::RECORDS_PER_MESSAGE, later, &mut random).is_empty());
    crash(&mut table, 9, &[RARE], later);
    for _ in 0..3 {
        assert!(table.try_admit(&[GUILTY], later + seconds(1.0)));
    }
}

/// Guards against requests admitted before a conviction that are sent after it, and against rejecting
/// the one that is let pass once the conviction has lapsed.
#[test]
fn admitted_before() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    assert!(table.try_admit(&[GUILTY], now));
    (0..3).for_each(|number| crash(&mut table, number, &[GUILTY], now + seconds(number as f64)));
    table.record_first_event(&[SHARED], now + seconds(2.1));
    assert!(table.is_convicted_anew(&[SHARED, GUILTY], now + seconds(3.0)));
    assert!(!table.is_convicted_anew(&[SHARED, RARE], now + seconds(3.0)));
    let trial = now + seconds(123.0);
    assert!(table.try_admit(&[GUILTY], trial));
    assert!(!table.is_convicted_anew(&[GUILTY], trial));
    crash(&mut table, 3, &[GUILTY], trial);
    assert!(table.is_convicted_anew(&[GUILTY], trial));
}

/// Guards against a sound part rejected by a node that starts later: a record holds the newest
/// crashes only, so that those of the guilty part no longer explain the older ones of the sound part.
#[test]
fn later_node() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..7 {
        let at = now + seconds(number as f64);
        let parts: &[u64] = if number < 3 { &[GUILTY, RARE] } else { &[GUILTY] };
        crash(&mut table, number, parts, at);
        table.record_first_event(&[SHARED], at + seconds(0.1));
    }
    let later = now + seconds(7.0);
    assert!(!table.is_convicted(&[RARE], later));
    let mut started = part_suspect::PartTable::new();
    suspect_exchange::pass_records(&table, &mut started, later);
    assert!(started.is_convicted(&[GUILTY], later));
    assert!(!started.is_convicted(&[RARE], later), "crashes of the guilty part count again");
}

/// Guards against a sound part that stays rejected on nodes that heard of crashes only, because the
/// nodes that served it since tell only of proofs that cleared a crash of their own.
#[test]
fn proof_spreads() {
    let now = time::Instant::now();
    let mut serving = part_suspect::PartTable::new();
    let mut other = part_suspect::PartTable::new();
    for number in 0..3 {
        let at = now + seconds(number as f64);
        other.record_crash(&[RARE], seen(number, number, at), at);
    }
    serving.record_first_event(&[RARE], now + seconds(2.5));
    let later = now + seconds(3.0);
    suspect_exchange::pass_records(&other, &mut serving, later);
    suspect_exchange::pass_records(&serving, &mut other, later);
    assert!(!serving.is_convicted(&[RARE], later));
    assert!(!other.is_convicted(&[RARE], later), "the proof was not passed on");
}

/// Guards against nodes that tell each other of one crash for ever: one that is older than all that
/// a full record keeps is dropped at once and is new each time.
#[test]
fn old_crash_again() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..64 {
        let at = now + seconds(10.0 + number as f64);
        table.record_crash(&[RARE], seen(number, number, at), at);
    }
    let later = now + seconds(80.0);
    table.record_crash(&[RARE], seen(100, 100, now), later);
    let is_news = table.record_crash(&[RARE], seen(100, 100, now), later);
    assert!(!is_news, "a crash told twice is news");
}

/// Guards against rejections that nobody can trace: each conviction and its end are told once.
#[test]
fn changes_told() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..4 {
        let at = now + seconds(number as f64);
        crash(&mut table, number, &[GUILTY], at);
        table.record_first_event(&[SHARED], at + seconds(0.1));
    }
    let (part, later) = (GUILTY, now + seconds(4.0));
    let change =
        part_suspect::PartChange { part, whole: false, convicted: true, crashes: 3, requests: 3 };
    assert_eq!(table.take_changes(), [change]);
    assert_eq!(table.convicted_part(&[SHARED, GUILTY], later), Some(GUILTY));
    let counts = part_suspect::PartCounts { suspected: 1, convicted: 1, convicted_requests: 0 };
    assert_eq!(table.counts(later), counts);
    table.record_first_event(&[GUILTY], later);
    let change =
        part_suspect::PartChange { part, whole: false, convicted: false, crashes: 0, requests: 0 };
    assert_eq!(table.take_changes(), [change]);
    assert_eq!(table.counts(later), part_suspect::PartCounts::default());
}
