//! Difference between two sets of declarations, item by item.

use crate::declared_item;
use comfreyspread_schema::types;
use indexmap::IndexMap;

/// Returns the added, removed and changed items, grouped by kind.
pub fn compare(
    before: &types::Declarations,
    after: &types::Declarations,
) -> Vec<types::ItemChange> {
    let mut changes = Vec::new();
    compare_items(&before.zones, &after.zones, &mut changes);
    compare_items(&before.pools, &after.pools, &mut changes);
    compare_items(&before.endpoints, &after.endpoints, &mut changes);
    compare_items(&before.pipelines, &after.pipelines, &mut changes);
    compare_items(&before.services, &after.services, &mut changes);
    compare_items(&before.profiles, &after.profiles, &mut changes);
    compare_items(&before.workspaces, &after.workspaces, &mut changes);
    changes
}

/// Returns a summary with the number of added, changed and removed items.
pub fn summarize(changes: &[types::ItemChange]) -> Box<str> {
    let count = |difference| changes.iter().filter(|item| item.difference == difference).count();
    let added = count(types::ItemDifference::Added);
    let changed = count(types::ItemDifference::Changed);
    let removed = count(types::ItemDifference::Removed);
    format!("declarations: {added} added, {changed} changed, {removed} removed").into()
}

fn compare_items<Item>(before: &[Item], after: &[Item], changes: &mut Vec<types::ItemChange>)
where
    Item: declared_item::DeclaredItem + PartialEq,
{
    let old: IndexMap<_, _> = before.iter().map(|entry| (entry.name(), entry)).collect();
    let new: IndexMap<_, _> = after.iter().map(|entry| (entry.name(), entry)).collect();
    let mut push = |entry: &Item, difference| {
        let name = entry.name().clone();
        changes.push(types::ItemChange { difference, kind: Item::KIND, name });
    };
    for (name, entry) in &old {
        match new.get(name) {
            None => push(entry, types::ItemDifference::Removed),
            Some(other) if other != entry => push(other, types::ItemDifference::Changed),
            Some(_) => {}
        }
    }
    for (_, entry) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        push(entry, types::ItemDifference::Added);
    }
}
