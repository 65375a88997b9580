//! Copies of the store's tables.

use bolero::check;
use comfreyspread_policy::table_mirror;
use comfreyspread_schema::types;

fn row(key: &str, version: u64, value: Option<&'static str>) -> types::StoreRow {
    types::StoreRow { key: key.into(), value: value.map(|value| value.as_bytes().into()), version }
}

#[test]
fn newer_wins() {
    let mut mirror = table_mirror::TableMirror::default();
    assert!(!mirror.is_loaded());
    assert_eq!(mirror.merge(vec![row("a", 5, Some("x"))], 5).len(), 1);
    assert!(mirror.merge(vec![row("a", 4, Some("old")), row("a", 5, Some("x"))], 5).is_empty());
    assert_eq!(mirror.merge(vec![row("a", 6, None)], 6).len(), 1);
    assert!(mirror.merge(vec![row("a", 5, Some("x"))], 5).is_empty(), "it stays removed");
    assert_eq!(mirror.complete_version(), 6);
}

#[test]
fn whole_table() {
    let mut mirror = table_mirror::TableMirror::default();
    mirror.merge(vec![row("a", 1, Some("x")), row("b", 2, Some("y")), row("c", 9, Some("z"))], 9);
    let news = mirror.replace(vec![row("a", 1, Some("x")), row("d", 3, Some("w"))], 8);
    let news: Vec<_> = news.iter().map(|row| (&*row.key, row.value.is_some())).collect();
    assert_eq!(news, [("d", true), ("b", false)], "what is newer than the copy stays");
}

/// A table that changes while it is read in pages: the newest row read says nothing of the others.
#[test]
fn read_in_pages() {
    let mut mirror = table_mirror::TableMirror::default();
    mirror.replace(vec![row("a", 1, Some("old")), row("b", 9, Some("x"))], 5);
    assert_eq!(mirror.complete_version(), 5);
    mirror.merge(vec![row("a", 7, Some("new")), row("b", 9, Some("x"))], 9);
    assert_eq!(mirror.complete_version(), 9);
    assert_eq!(mirror.rows_after(5).len(), 2);
}

/// Two mirrors that hear of the same rows in any order, directly or from each other, agree.
#[test]
fn any_order() {
    check!().with_type::<Vec<(u8, bool, bool)>>().for_each(|steps| {
        let mut mirrors = [table_mirror::TableMirror::default(), Default::default()];
        let mut version = 0;
        for (key, removed, first) in steps {
            version += 1;
            let value = (!removed).then_some("x");
            let to = usize::from(!first);
            mirrors[to].merge(vec![row(&format!("k{}", key % 8), version, value)], 0);
        }
        let [one, other] = &mut mirrors;
        other.merge(one.rows_after(0), 0);
        one.merge(other.rows_after(0), 0);
        let sorted = |mirror: &table_mirror::TableMirror| {
            let mut rows = mirror.rows_after(0);
            rows.sort_by(|one, other| one.key.cmp(&other.key));
            rows
        };
        assert_eq!(sorted(one), sorted(other));
    });
}
