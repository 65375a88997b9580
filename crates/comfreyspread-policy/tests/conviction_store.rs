//! Rows in which nodes keep the convictions of prompt parts.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::conviction_store;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const PART: ids::PartHash = 7;

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

/// Returns the record of a part whose latest crash is `crash`.
fn record(crash: ids::CrashHash) -> types::PartSuspect {
    let age = time::Duration::ZERO;
    let crashes =
        vec![types::PartCrash { age, crash, request: 1, moment: types::CrashMoment::Waiting }];
    types::PartSuspect {
        crashes,
        part: PART,
        proof_age: age,
        proven: false,
        ran: None,
        whole: false,
    }
}

/// Nodes and the rows of the store, on injected time.
struct StoreModel {
    now: time::Instant,
    rows: IndexMap<ids::PartHash, conviction_store::ConvictionRow>,
    nodes: Vec<conviction_store::ConvictionStore>,
    calls: usize,
}

impl StoreModel {
    fn new(nodes: usize) -> Self {
        let now = time::Instant::now();
        let nodes = (0..nodes).map(|_| conviction_store::ConvictionStore::new(now)).collect();
        Self { now, rows: IndexMap::new(), nodes, calls: 0 }
    }

    /// Lets time pass with these parts convicted. The node `owner` is in charge, whose calls end
    /// with `outcome` if there is one.
    fn advance(
        &mut self,
        length: time::Duration,
        convicted: &[types::PartSuspect],
        owner: usize,
        outcome: Option<conviction_store::RoundOutcome>,
    ) {
        let end = self.now + length;
        while self.now < end {
            self.now += time::Duration::from_millis(500);
            for (index, node) in self.nodes.iter_mut().enumerate() {
                node.update(convicted.to_vec(), self.now);
                let is_own = |_| index == owner;
                if !node.is_due(is_own, self.now) {
                    continue;
                }
                self.calls += 1;
                let changes = node.changes(&self.rows, is_own);
                for change in changes.iter().filter(|_| outcome.is_none()) {
                    let known = self.rows.get(&change.part).map_or(0, |row| row.version);
                    assert_eq!(change.version, known);
                    self.rows.shift_remove(&change.part);
                    if let Some(record) = change.record.clone() {
                        let version = known + 1;
                        self.rows.insert(
                            change.part,
                            conviction_store::ConvictionRow { version, record },
                        );
                    }
                }
                let is_open = !changes.is_empty() && outcome.is_some();
                let ended = if is_open { outcome } else { None };
                node.finish_round(
                    ended.unwrap_or(conviction_store::RoundOutcome::Settled),
                    is_own,
                    self.now,
                );
            }
        }
    }
}

/// Guards against a conviction in no row, or in a row after its end, and against calls without end.
#[test]
fn written_removed() {
    let mut model = StoreModel::new(3);
    model.advance(seconds(1), &[record(1)], 0, None);
    assert_eq!(model.rows[&PART].record, record(1));
    model.advance(seconds(2), &[record(2)], 0, None);
    assert_eq!(model.rows[&PART].record, record(2), "a further crash is not stored");
    model.advance(seconds(60), &[record(2)], 0, None);
    assert!(model.calls <= 10, "{} calls in a minute", model.calls);
    model.advance(seconds(2), &[], 0, None);
    assert!(model.rows.is_empty(), "the row outlives the conviction");
    model.advance(seconds(120), &[], 0, None);
    let calls = model.calls;
    model.advance(seconds(120), &[], 0, None);
    assert_eq!(model.calls, calls, "calls without a conviction");
}

/// Guards against a row that is missing after a call without an outcome, after the node in charge
/// has changed, or after the store has come back from a copy.
#[test]
fn written_again() {
    let mut model = StoreModel::new(3);
    for outcome in [conviction_store::RoundOutcome::Failed, conviction_store::RoundOutcome::Open] {
        let before = model.calls;
        model.advance(seconds(20), &[record(1)], 0, Some(outcome));
        assert!(model.calls - before <= 21, "{} calls after {before}", model.calls);
    }
    model.advance(seconds(1), &[record(1)], 1, None);
    assert!(model.rows.contains_key(&PART), "the next node does not write");
    model.rows.clear();
    model.advance(seconds(11), &[record(1)], 1, None);
    assert!(model.rows.contains_key(&PART), "a lost row is not written again");
    model.rows.clear();
    model.advance(seconds(11), &[], 2, None);
    assert!(model.rows.is_empty());
}

/// A row that a node finds at its start goes if nothing speaks against the part any more.
#[test]
fn found_row() {
    let mut model = StoreModel::new(1);
    model.rows.insert(PART, conviction_store::ConvictionRow { version: 4, record: record(1) });
    model.nodes[0].track(PART, model.now);
    model.advance(seconds(1), &[record(1)], 0, None);
    assert_eq!(model.rows[&PART].version, 4, "the row was there");
    model.advance(seconds(2), &[], 0, None);
    assert!(model.rows.is_empty());
}
