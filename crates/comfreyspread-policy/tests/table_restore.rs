//! Mirrors of a store that is restored from a copy, on injected time.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::{table_hold, table_mirror};
use comfreyspread_schema::types;
use indexmap::IndexMap;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Longer ago than a copy reaches back.
const LONG_TIME: time::Duration = time::Duration::from_secs(600);

fn row(key: &str, era: u64, version: u64, value: &'static str) -> types::StoreRow {
    let value = Some(value.as_bytes().into());
    types::StoreRow { compressed: false, era, key: key.into(), value, version }
}

fn removed(key: &str, era: u64, version: u64) -> types::StoreRow {
    types::StoreRow { value: None, ..row(key, era, version, "") }
}

fn at(era: u64, version: u64) -> types::StorePosition {
    types::StorePosition { era, version }
}

/// Returns a mirror that read these rows at version 20 of the first era, and the time after that.
fn loaded(rows: Vec<types::StoreRow>) -> (table_mirror::TableMirror, time::Instant) {
    let started = time::Instant::now();
    let mut mirror = table_mirror::TableMirror::default();
    mirror.replace(rows, at(1, 20), started).expect("a first read");
    (mirror, started + LONG_TIME)
}

/// Returns the value in force for a key.
fn value(mirror: &table_mirror::TableMirror, key: &str) -> Option<String> {
    let value = mirror.row(key)?.value.as_ref()?;
    Some(String::from_utf8_lossy(value.as_ref()).into_owned())
}

fn end_hold(mirror: &mut table_mirror::TableMirror, now: time::Instant) -> table_hold::HoldSummary {
    assert!(mirror.end_hold(now + table_hold::HOLD_TIME - SECOND).is_none());
    mirror.end_hold(now + table_hold::HOLD_TIME).expect("the hold is over").summary
}

/// Guards against changes that are not taken because versions of a restored store start lower.
#[test]
fn change_after() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 18, "new")]);
    let update = mirror.replace(vec![row("a", 2, 5, "old")], at(2, 6), now).expect("a later era");
    assert_eq!(update.era_change.expect("an era change").held, 1);
    assert_eq!(value(&mirror, "a").as_deref(), Some("new"), "held back");
    assert_eq!(mirror.position(), at(2, 6));
    let changed = mirror.merge(vec![row("a", 2, 7, "newer")], at(2, 7)).expect("the same era");
    assert_eq!(changed.len(), 1);
    let summary = end_hold(&mut mirror, now);
    assert_eq!((summary.held, summary.rewritten, summary.expired), (1, 1, 0));
    assert_eq!(value(&mirror, "a").as_deref(), Some("newer"));
}

#[test]
fn same_value() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 18, "x")]);
    let update = mirror.replace(vec![row("a", 2, 5, "x")], at(2, 6), now).expect("a later era");
    assert!(update.rows.is_empty() && mirror.held_rows().is_empty());
    assert_eq!(mirror.row("a").expect("a row").era, 2);
}

/// Guards against rows that are served for ever though the restored store has lost them, and against
/// removed ones that the copy has again.
#[test]
fn hold_over() {
    let (mut mirror, now) = loaded(vec![row("lost", 1, 18, "x"), row("back", 1, 3, "x")]);
    mirror.merge(vec![removed("back", 1, 21)], at(1, 21)).expect("the same era");
    let copy = || vec![row("back", 2, 3, "x"), row("unknown", 2, 4, "x")];
    mirror.replace(copy(), at(2, 6), now).expect("a later era");
    mirror.replace(copy(), at(2, 9), now).expect("the same era, read in full once more");
    assert_eq!(value(&mirror, "lost").as_deref(), Some("x"));
    assert_eq!(value(&mirror, "back"), None);
    assert!(value(&mirror, "unknown").is_some(), "nothing speaks against it");
    assert_eq!(end_hold(&mut mirror, now).expired, 2);
    assert_eq!(value(&mirror, "lost"), None);
    assert!(value(&mirror, "back").is_some());
}

/// Guards against a row that is held back although it was written after the one in force.
#[test]
fn newer_copy() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 4, "old"), row("b", 1, 19, "new")]);
    let rows = vec![row("a", 2, 5, "new"), row("b", 2, 3, "old")];
    let update = mirror.replace(rows, at(2, 6), now).expect("a later era");
    assert_eq!(update.rows.len(), 1, "the row that is newer in the shared history");
    assert_eq!(mirror.held_rows().len(), 1);
    assert!(mirror.confirm_row(&"b".into()).is_some(), "a watcher may know better");
    assert_eq!(end_hold(&mut mirror, now).confirmed, 1);
}

/// Guards against a second restore, to an older copy than the first, whose versions are taken for
/// newer than those that were given out between the two.
#[test]
fn restored_twice() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 12, "older")]);
    mirror.replace(vec![], at(2, 5), now).expect("a later era");
    mirror.merge(vec![row("a", 2, 6, "newest")], at(2, 6)).expect("the same era");
    let older = vec![row("a", 3, 12, "older")];
    mirror.replace(older, at(3, 13), now + SECOND).expect("a later era");
    assert_eq!(value(&mirror, "a").as_deref(), Some("newest"));
    assert_eq!(end_hold(&mut mirror, now + SECOND).expired, 1);
    assert_eq!(value(&mirror, "a").as_deref(), Some("older"), "as the store has it");
}

/// Guards against rows of an earlier era that land in a mirror of a later one, from a late answer or
/// from a node that was cut off.
#[test]
fn late_rows() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 18, "x")]);
    mirror.replace(vec![row("a", 2, 5, "x")], at(2, 6), now).expect("a later era");
    let late = || vec![row("a", 1, 30, "late")];
    let error = table_mirror::OtherEra { era: 1, known: 2 };
    assert_eq!(mirror.merge(late(), at(1, 30)), Err(error));
    assert_eq!(mirror.replace(late(), at(1, 30), now).map(|update| update.rows.len()), Err(error));
    assert!(mirror.take_over(late(), at(1, 30), SECOND, now).is_err());
    assert_eq!(value(&mirror, "a").as_deref(), Some("x"));
}

/// Guards against a node that starts, or was stopped, while others hold rows back and takes the
/// copy's: it has to hold the same back, and for no longer.
#[test]
fn hold_shared() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 18, "new"), row("lost", 1, 19, "x")]);
    let (mut stopped, _) = loaded(vec![row("a", 1, 2, "old")]);
    let mut started = table_mirror::TableMirror::default();
    mirror.replace(vec![row("a", 2, 5, "old")], at(2, 6), now).expect("a later era");
    for other in [&mut stopped, &mut started] {
        let later = now + SECOND;
        let rows = mirror.rows_after(other.position());
        let hold = mirror.hold_left(later);
        let update = other.take_over(rows, mirror.position(), hold, later).expect("a later era");
        assert_eq!(update.era_change.expect("an era change").held, 2);
        assert_eq!(value(other, "a").as_deref(), Some("new"));
        assert_eq!(value(other, "lost").as_deref(), Some("x"));
        assert_eq!(end_hold(other, now).expired, 2);
        assert_eq!(value(other, "a").as_deref(), Some("old"));
    }
}

/// Guards against a removal that a node learns of neither from the store nor from others, because the
/// node that tells it of changes still holds the removal back.
#[test]
fn held_removal() {
    let (mut early, now) = loaded(vec![row("a", 1, 4, "x")]);
    let (mut late, _) = loaded(vec![row("a", 1, 4, "x")]);
    early.replace(vec![row("a", 2, 4, "x")], at(2, 6), now).expect("a later era");
    late.replace(vec![], at(2, 7), now).expect("a later era, after the removal");
    let rows = late.rows_after(early.position());
    assert!(late.lacks_history(early.position()), "all rows are sent");
    early.replace(rows, late.position(), now).expect("the same era");
    assert_eq!(value(&early, "a"), None);
}

/// A node of a build that knows no eras gets the rows in force by version alone.
#[test]
fn older_build() {
    let (mut mirror, now) = loaded(vec![row("a", 1, 18, "x")]);
    mirror.replace(vec![row("b", 2, 5, "y")], at(2, 6), now).expect("a later era");
    let keys = |version| mirror.rows_after_version(version).into_iter().map(|row| row.key);
    assert_eq!(keys(0).collect::<Vec<_>>(), ["a".into(), "b".into()]);
    assert_eq!(keys(5).collect::<Vec<_>>(), ["a".into()]);
}

/// Store of the model: rows by key, and its copies.
#[derive(Clone, Default)]
struct ModelStore {
    position: types::StorePosition,
    rows: IndexMap<String, types::StoreRow>,
}

impl ModelStore {
    fn write(&mut self, key: u8, remove: bool) {
        self.position.version += 1;
        let key = format!("k{}", key % 4);
        let value = if self.position.version.is_multiple_of(2) { "x" } else { "y" };
        let types::StorePosition { era, version } = self.position;
        let put = row(&key, era, version, value);
        let gone = removed(&key, era, version);
        self.rows.insert(key, if remove { gone } else { put });
    }

    /// Returns the rows as the store states them: all of them of the present era.
    fn stated(&self) -> impl Iterator<Item = types::StoreRow> {
        let era = self.position.era;
        self.rows.values().map(move |row| types::StoreRow { era, ..row.clone() })
    }

    fn read(&self, mirror: &mut table_mirror::TableMirror, now: time::Instant) {
        if mirror.is_loaded() && mirror.position().era == self.position.era {
            let after = mirror.position().version;
            let rows = self.stated().filter(|row| row.version > after).collect();
            mirror.merge(rows, self.position).expect("the same era");
        } else {
            let rows = self.stated().filter(|row| row.value.is_some()).collect();
            mirror.replace(rows, self.position, now).expect("no earlier era");
        }
    }
}

fn exchange(mirrors: &mut [table_mirror::TableMirror; 2], to: usize, now: time::Instant) {
    let from = &mirrors[1 - to];
    let (position, hold) = (from.position(), from.hold_left(now));
    let rows = from.rows_after(mirrors[to].position());
    let full = from.lacks_history(mirrors[to].position());
    if !from.is_loaded() || position.era < mirrors[to].position().era {
        return;
    }
    if position.era > mirrors[to].position().era {
        mirrors[to].take_over(rows, position, hold, now).expect("a later era");
    } else if full {
        mirrors[to].replace(rows, position, now).expect("the same era");
    } else {
        mirrors[to].merge(rows, position).expect("the same era");
    }
}

/// Whatever is written, restored, read and exchanged: once the holds are over and the store is read,
/// what is in force is what the store has.
#[test]
fn any_restores() {
    check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|steps| {
        let mut store = ModelStore { position: at(1, 0), ..ModelStore::default() };
        let mut copy = store.clone();
        let mut mirrors = [table_mirror::TableMirror::default(), Default::default()];
        let mut now = time::Instant::now();
        for (step, key, flag) in steps {
            let node = usize::from(*flag);
            now += SECOND / 4;
            match step % 6 {
                0 | 1 => store.write(*key, *flag),
                2 => copy = store.clone(),
                3 => {
                    let era = store.position.era + 1;
                    store = copy.clone();
                    store.position.era = era;
                }
                4 => store.read(&mut mirrors[node], now),
                _ => exchange(&mut mirrors, node, now),
            }
            mirrors.iter_mut().for_each(|mirror| drop(mirror.end_hold(now)));
        }
        let expected: Vec<_> = live(store.stated());
        for mirror in &mut mirrors {
            store.read(mirror, now);
            mirror.end_hold(now + table_hold::HOLD_TIME);
            assert_eq!(live(mirror.rows_after_version(0)), expected);
        }
    });
}

/// Returns the values of rows that are not removed, by key.
fn live<Rows>(rows: Rows) -> Vec<(String, Option<Vec<u8>>)>
where
    Rows: IntoIterator<Item = types::StoreRow>,
{
    let kept = rows.into_iter().filter(|row| row.value.is_some());
    let value = |row: &types::StoreRow| row.value.as_ref().map(|value| value.as_ref().to_vec());
    let mut pairs: Vec<_> = kept.map(|row| (row.key.to_string(), value(&row))).collect();
    pairs.sort();
    pairs
}
