//! Difference between two sets of declarations, item by item.

use crate::declared_item;
use comfreyspread_schema::types;
use indexmap::IndexMap;

/// Returns the added, removed and changed items, grouped by kind.
pub fn compare(
    before: &types::Declarations,
    after: &types::Declarations,
) -> Vec<types::DeclarationChange> {
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
pub fn summarize(changes: &[types::DeclarationChange]) -> Box<str> {
    let count = |difference| changes.iter().filter(|item| item.change_type == difference).count();
    let added = count(types::ChangeType::Added);
    let changed = count(types::ChangeType::Changed);
    let removed = count(types::ChangeType::Removed);
    format!("declarations: {added} added, {changed} changed, {removed} removed").into()
}

fn compare_items<Item>(before: &[Item], after: &[Item], changes: &mut Vec<types::DeclarationChange>)
where
    Item: declared_item::DeclaredItem + PartialEq,
{
    let old: IndexMap<_, _> = before.iter().map(|entry| (entry.name(), entry)).collect();
    let new: IndexMap<_, _> = after.iter().map(|entry| (entry.name(), entry)).collect();
    let mut push = |entry: &Item, change_type| {
        let name = entry.name().clone();
        changes.push(types::DeclarationChange { change_type, kind: Item::KIND, name });
    };
    for (name, entry) in &old {
        match new.get(name) {
            None => push(entry, types::ChangeType::Removed),
            Some(other) if other != entry => push(other, types::ChangeType::Changed),
            Some(_) => {}
        }
    }
    for (_, entry) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        push(entry, types::ChangeType::Added);
    }
}
