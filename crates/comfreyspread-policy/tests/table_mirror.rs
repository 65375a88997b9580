//! Mirrors of the store's tables.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::table_mirror;
use comfreyspread_schema::types;
use std::time;

fn row(key: &str, version: u64, value: Option<&'static str>) -> types::StoreRow {
    let value = value.map(|value| value.as_bytes().into());
    types::StoreRow { compressed: false, era: 0, key: key.into(), value, version }
}

fn at(version: u64) -> types::StorePosition {
    types::StorePosition { era: 0, version }
}

fn merge(
    mirror: &mut table_mirror::TableMirror,
    rows: Vec<types::StoreRow>,
    version: u64,
) -> Vec<types::StoreRow> {
    mirror.merge(rows, at(version)).expect("the same era")
}

fn replace(
    mirror: &mut table_mirror::TableMirror,
    rows: Vec<types::StoreRow>,
    version: u64,
) -> Vec<types::StoreRow> {
    mirror.replace(rows, at(version), time::Instant::now()).expect("the same era").rows
}

#[test]
fn newer_wins() {
    let mut mirror = table_mirror::TableMirror::default();
    assert!(!mirror.is_loaded());
    assert_eq!(merge(&mut mirror, vec![row("a", 5, Some("x"))], 5).len(), 1);
    assert!(
        merge(&mut mirror, vec![row("a", 4, Some("old")), row("a", 5, Some("x"))], 5).is_empty()
    );
    assert_eq!(merge(&mut mirror, vec![row("a", 6, None)], 6).len(), 1);
    assert!(
        merge(&mut mirror, vec![row("a", 5, Some("x"))], 5).is_empty(),
        "the row stays removed"
    );
    assert_eq!(mirror.position().version, 6);
}

#[test]
fn full_read() {
    let mut mirror = table_mirror::TableMirror::default();
    merge(
        &mut mirror,
        vec![row("a", 1, Some("x")), row("b", 2, Some("y")), row("c", 9, Some("z"))],
        9,
    );
    let changed = replace(&mut mirror, vec![row("a", 1, Some("x")), row("d", 3, Some("w"))], 8);
    let changed: Vec<_> = changed.iter().map(|row| (&*row.key, row.value.is_some())).collect();
    assert_eq!(changed, [("d", true), ("b", false)], "a row newer than the table read is kept");
}

/// A table can change while it is read in pages, so the newest row read does not show that all
/// earlier changes were read.
#[test]
fn read_in_pages() {
    let mut mirror = table_mirror::TableMirror::default();
    replace(&mut mirror, vec![row("a", 1, Some("old")), row("b", 9, Some("x"))], 5);
    assert_eq!(mirror.position().version, 5);
    merge(&mut mirror, vec![row("a", 7, Some("new")), row("b", 9, Some("x"))], 9);
    assert_eq!(mirror.position().version, 9);
    assert_eq!(mirror.rows_after(at(5)).len(), 2);
}

/// Two mirrors that receive the same rows in any order, from the store or each other, converge.
#[test]
fn any_order() {
    check!().with_type::<Vec<(u8, bool, bool)>>().for_each(|steps| {
        let mut mirrors = [table_mirror::TableMirror::default(), Default::default()];
        let mut version = 0;
        for (key, removed, to_first) in steps {
            version += 1;
            let value = (!removed).then_some("x");
            let target = usize::from(!to_first);
            merge(&mut mirrors[target], vec![row(&format!("k{}", key % 8), version, value)], 0);
        }
        let [one, other] = &mut mirrors;
        merge(other, one.rows_after(at(0)), 0);
        merge(one, other.rows_after(at(0)), 0);
        let sorted = |mirror: &table_mirror::TableMirror| {
            let mut rows = mirror.rows_after(at(0));
            rows.sort_by(|one, other| one.key.cmp(&other.key));
            rows
        };
        assert_eq!(sorted(one), sorted(other));
    });
}
