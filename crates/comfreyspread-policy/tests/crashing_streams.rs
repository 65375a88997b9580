//! Requests that crash the endpoints that run them, told from those that run beside them.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

mod suspect_exchange;

use comfreyspread_policy::{crash_evidence, part_suspect, response_progress};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::time;

const GUILTY: ids::RequestHash = 90;
const SOUND: ids::RequestHash = 10;
const PART: ids::PartHash = 1000;
/// Engines of the simulated fleet, and streams that run at each.
const ENGINES: u64 = 9;
const STREAMS: u64 = 40;
/// Share of the streams at an engine that have just begun.
const BEGINNING_SHARE: f64 = 0.15;
/// Attempts at a stream, over the repeats of its caller.
const ATTEMPTS: usize = 4;

fn seconds(count: f64) -> time::Duration {
    time::Duration::from_secs_f64(count)
}

/// Records a crash of a request that began to run, or had been running.
fn crash(
    table: &mut part_suspect::PartTable,
    request: ids::RequestHash,
    (crash, running): (u64, bool),
    crashed_at: time::Instant,
) {
    let moment = if running { types::CrashMoment::Running } else { types::CrashMoment::Begun };
    let seen = crash_evidence::SeenCrash { crash, request, moment, crashed_at };
    table.record_request_crash(seen, crashed_at);
}

#[test]
fn begin_time() {
    let now = time::Instant::now();
    let mut progress = response_progress::ResponseProgress::new();
    assert!(!progress.has_events());
    assert_eq!(progress.moment(), types::CrashMoment::Waiting);
    for (millis, running) in [(0, false), (200, false), (499, false), (500, true), (900, true)] {
        progress.record_event(now + time::Duration::from_millis(millis));
        assert_eq!((progress.has_events(), progress.is_running()), (true, running), "{millis} ms");
        let moment = if running { types::CrashMoment::Running } else { types::CrashMoment::Begun };
        assert_eq!(progress.moment(), moment, "{millis} ms");
    }
}

/// Guards against a request that crashes each engine just after its first event and is never known.
#[test]
fn fourth_crash() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..4 {
        assert!(table.try_admit(&[GUILTY], now + seconds(number as f64)));
        crash(&mut table, GUILTY, (number, false), now + seconds(number as f64));
    }
    assert!(!table.try_admit(&[GUILTY], now + seconds(4.0)));
    assert!(table.try_admit(&[SOUND], now + seconds(4.0)));
}

/// Guards against crashes that do not add up, because each was seen by another node at one moment.
#[test]
fn several_nodes() {
    let now = time::Instant::now();
    let mut tables = [(); 4].map(|()| part_suspect::PartTable::new());
    for (number, table) in (0..).zip(&mut tables) {
        crash(table, GUILTY, (number, false), now + seconds(number as f64 * 0.05));
    }
    let later = now + seconds(0.5);
    let [first, second, third, fourth] = &mut tables;
    suspect_exchange::pass_records(first, second, later);
    suspect_exchange::pass_records(second, third, later);
    suspect_exchange::pass_records(third, fourth, later);
    assert!(fourth.is_convicted(&[GUILTY], later));
}

/// Guards against a request rejected for minutes because all endpoints that ran it stopped at one
/// moment, for a reason of their own.
#[test]
fn common_cause() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    table.record_served(SOUND, now);
    for number in 0..6 {
        crash(&mut table, SOUND, (number, false), now + seconds(0.1 + number as f64 * 0.02));
    }
    assert!(table.try_admit(&[SOUND], now + seconds(1.0)));
    table.record_served(SOUND, now + seconds(2.0));
    for number in 10..14 {
        crash(&mut table, SOUND, (number, false), now + seconds(number as f64));
    }
    assert!(table.try_admit(&[SOUND], now + seconds(15.0)), "served between the crashes");
}

/// A node that has not served the request hears that another has.
#[test]
fn served_elsewhere() {
    let now = time::Instant::now();
    let mut serving = part_suspect::PartTable::new();
    let mut other = part_suspect::PartTable::new();
    serving.record_served(SOUND, now);
    for number in 0..4 {
        let crashed_at = now + seconds(1.0 + number as f64 * 0.02);
        crash(&mut other, SOUND, (number, false), crashed_at);
        crash(&mut serving, SOUND, (number, false), crashed_at);
    }
    let later = now + seconds(2.0);
    assert!(other.is_convicted(&[SOUND], later), "it knows of no proof yet");
    suspect_exchange::pass_records(&serving, &mut other, later);
    assert!(!other.is_convicted(&[SOUND], later));
}

/// Guards against a request that crashes engines a while after its first event and is never known.
#[test]
fn late_crash() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..5 {
        let at = now + seconds(number as f64);
        assert!(table.try_admit(&[GUILTY], at));
        crash(&mut table, GUILTY, (number, true), at);
    }
    assert!(!table.try_admit(&[GUILTY], now + seconds(5.0)));
}

/// Guards against sound streams rejected because each of their engines ran the guilty request too.
#[test]
fn resumed_beside() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..5 {
        let at = now + seconds(number as f64);
        crash(&mut table, SOUND, (number, number > 0), at);
        crash(&mut table, SOUND + 1, (number, true), at);
        crash(&mut table, GUILTY, (number, false), at);
    }
    let later = now + seconds(5.0);
    assert!(table.is_convicted(&[GUILTY], later));
    assert!(!table.is_convicted(&[SOUND, SOUND + 1], later));
}

/// Of two requests that began at the same four crashes one is blamed; if it is the sound one, the
/// next crash of the other tells.
#[test]
fn same_crashes() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..4 {
        let at = now + seconds(number as f64);
        crash(&mut table, SOUND, (number, false), at);
        crash(&mut table, GUILTY, (number, false), at);
    }
    let later = now + seconds(4.0);
    let blamed = [SOUND, GUILTY].map(|request| table.is_convicted(&[request], later));
    assert_eq!(blamed.iter().filter(|blamed| **blamed).count(), 1);
    crash(&mut table, GUILTY, (4, false), later);
    assert!(table.is_convicted(&[GUILTY], later));
    assert!(!table.is_convicted(&[SOUND], later));
}

/// A part that many requests share explains the crashes of each of them.
#[test]
fn part_explains() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..5 {
        let at = now + seconds(number as f64);
        let request = if number == 4 { SOUND + 1 } else { SOUND };
        crash(&mut table, request, (number, false), at);
        let moment = types::CrashMoment::Waiting;
        let seen = crash_evidence::SeenCrash { crash: number, request, moment, crashed_at: at };
        table.record_crash(&[PART], seen, at);
    }
    let later = now + seconds(5.0);
    assert!(table.is_convicted(&[PART], later));
    assert!(!table.is_convicted(&[SOUND], later));
}

/// Guards against a part that lets each engine write its first event and then crashes it: that event
/// was taken for a proof that the part is sound.
#[test]
fn part_first_event() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    for number in 0..5 {
        let at = now + seconds(number as f64);
        assert!(table.try_admit(&[PART], at));
        table.record_first_event(&[PART], at);
        let moment = types::CrashMoment::Begun;
        let (crash, request) = (number, SOUND + number);
        let seen = crash_evidence::SeenCrash { crash, request, moment, crashed_at: at };
        table.record_crash(&[PART], seen, at);
    }
    let later = now + seconds(5.0);
    assert!(!table.try_admit(&[PART], later));
    table.record_first_event(&[PART], later);
    assert!(table.is_convicted(&[PART], later), "a first event proves nothing here");
    table.record_run(&[PART], later);
    assert!(!table.is_convicted(&[PART], later));
}

/// A request is let pass once ten minutes after its last crash; its response clears it.
#[test]
fn trial_served() {
    let now = time::Instant::now();
    let mut table = part_suspect::PartTable::new();
    (0..4).for_each(|number| crash(&mut table, GUILTY, (number, false), now));
    assert!(!table.try_admit(&[GUILTY], now + seconds(599.0)));
    let trial = now + seconds(601.0);
    assert!(table.try_admit(&[GUILTY], trial));
    assert!(!table.try_admit(&[GUILTY], trial));
    table.record_served(GUILTY, trial);
    assert!(table.try_admit(&[GUILTY], trial));
}

/// A record of an older build says of no crash how far the request was, and never stands for a whole
/// request.
#[test]
fn older_record() {
    let text = r#"{"part":7,"crashes":[{"crash":1,"request":2,"age_ms":10}],"proof_ms":0}"#;
    let record: types::PartSuspect = serde_json::from_str(text).expect("a record");
    assert!(!record.whole && record.ran.is_none());
    assert_eq!(record.crashes[0].moment, types::CrashMoment::Waiting);
}

/// Streams that run at engines, which crash one after the other.
struct StreamFleet {
    table: part_suspect::PartTable,
    random: rngs::SmallRng,
    now: time::Instant,
    crashes: u64,
    next: ids::RequestHash,
    /// Sound streams that will run again, and how often they have run.
    resumed: Vec<(ids::RequestHash, usize)>,
}

impl StreamFleet {
    fn new(seed: u64) -> Self {
        Self {
            table: part_suspect::PartTable::new(),
            random: rngs::SmallRng::seed_from_u64(seed),
            now: time::Instant::now(),
            crashes: 0,
            next: 1_000_000,
            resumed: Vec::new(),
        }
    }

    /// Crashes an engine that runs new streams and its share of those that ran at earlier crashes.
    fn crash_engine(&mut self, guilty: Option<ids::RequestHash>) {
        self.crashes += 1;
        self.now += seconds(self.random.random_range(0.4..3.0));
        let mut streams: Vec<_> = (self.next..self.next + STREAMS).map(|new| (new, 0)).collect();
        self.next += STREAMS;
        let mut others = Vec::new();
        for stream in std::mem::take(&mut self.resumed) {
            let here = self.random.random_range(0..ENGINES) < 3;
            if here { streams.push(stream) } else { others.push(stream) }
        }
        self.resumed = others;
        for (stream, runs) in streams {
            let running = !self.random.random_bool(BEGINNING_SHARE);
            crash(&mut self.table, stream, (self.crashes, running), self.now);
            if runs + 1 < ATTEMPTS && self.random.random_bool(0.9) {
                self.resumed.push((stream, runs + 1));
            }
        }
        if let Some(guilty) = guilty {
            crash(&mut self.table, guilty, (self.crashes, false), self.now);
        }
    }

    /// Returns how many of the sound streams that are about to run again are rejected.
    fn rejected(&self) -> usize {
        let is_rejected =
            |stream: &&(ids::RequestHash, usize)| self.table.is_convicted(&[stream.0], self.now);
        self.resumed.iter().filter(is_rejected).count()
    }
}

/// Guards against sound streams rejected once several engines have failed for another reason.
#[test]
fn engines_fail() {
    for seed in 0..20 {
        let mut fleet = StreamFleet::new(seed);
        for number in 0..12 {
            fleet.crash_engine(None);
            assert_eq!(fleet.rejected(), 0, "seed {seed}, crash {number}");
        }
    }
}

/// The guilty request is known at its fourth crash, or its fifth where a stream began at the same
/// four, and no stream that runs beside it is rejected.
#[test]
fn guilty_found() {
    for seed in 0..20 {
        let mut fleet = StreamFleet::new(seed);
        for number in 1..=5 {
            fleet.crash_engine(Some(GUILTY));
            let found = fleet.table.is_convicted(&[GUILTY], fleet.now);
            assert!(found == (number >= 4) || number == 4, "seed {seed}, crash {number}");
            assert_eq!(fleet.rejected(), 0, "seed {seed}, crash {number}");
        }
    }
}
