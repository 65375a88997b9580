//! Deltas between configuration revisions.
//!
//! A change affects few of many items, so nodes send each other only the difference. Each list of a
//! document is sorted by name, so a document built from deltas equals one that was read in full.

use crate::{comparison, declared_item};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// Sorts each list of declarations by name.
pub fn sort_declarations(declarations: &mut types::Declarations) {
    sort_items(&mut declarations.zones);
    sort_items(&mut declarations.pools);
    sort_items(&mut declarations.endpoints);
    sort_items(&mut declarations.pipelines);
    sort_items(&mut declarations.services);
    sort_items(&mut declarations.profiles);
    sort_items(&mut declarations.workspaces);
}

/// Returns the delta from `before` to `after`, whose lists are sorted by name.
pub fn diff(
    before: &types::ConfigurationDocument,
    after: &types::ConfigurationDocument,
) -> types::ConfigurationDelta {
    let changes = comparison::compare(&before.declarations, &after.declarations);
    let (removed, upserted): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|change| change.change_type == types::ChangeType::Removed);
    let upserted: IndexSet<_> = upserted.into_iter().map(|item| (item.kind, item.name)).collect();
    let removed =
        removed.into_iter().map(|item| types::DeclarationName { kind: item.kind, name: item.name });
    types::ConfigurationDelta {
        author: after.author.clone(),
        base_revision: before.revision,
        change_id: after.change_id.clone(),
        removed: removed.collect(),
        revision: after.revision,
        vms_out: after.vms_out.clone(),
        upserted: select(&after.declarations, &upserted),
        zones_out: after.zones_out.clone(),
    }
}

/// Applies a delta to `before`; returns `None` if the delta starts at another revision.
pub fn apply(
    before: &types::ConfigurationDocument,
    delta: &types::ConfigurationDelta,
) -> Option<types::ConfigurationDocument> {
    if before.revision != delta.base_revision {
        return None;
    }
    let mut declarations = before.declarations.clone();
    let removed: IndexSet<_> =
        delta.removed.iter().map(|item| (item.kind, item.name.clone())).collect();
    let upserted = &delta.upserted;
    apply_items(&mut declarations.zones, &upserted.zones, &removed);
    apply_items(&mut declarations.pools, &upserted.pools, &removed);
    apply_items(&mut declarations.endpoints, &upserted.endpoints, &removed);
    apply_items(&mut declarations.pipelines, &upserted.pipelines, &removed);
    apply_items(&mut declarations.services, &upserted.services, &removed);
    apply_items(&mut declarations.profiles, &upserted.profiles, &removed);
    apply_items(&mut declarations.workspaces, &upserted.workspaces, &removed);
    Some(types::ConfigurationDocument {
        author: delta.author.clone(),
        change_id: delta.change_id.clone(),
        declarations,
        revision: delta.revision,
        vms_out: delta.vms_out.clone(),
        zones_out: delta.zones_out.clone(),
    })
}

/// Returns the number of items in a delta.
pub fn item_count(delta: &types::ConfigurationDelta) -> usize {
    let upserted = &delta.upserted;
    let counts = [
        upserted.zones.len(),
        upserted.pools.len(),
        upserted.endpoints.len(),
        upserted.pipelines.len(),
        upserted.services.len(),
        upserted.profiles.len(),
        upserted.workspaces.len(),
        delta.removed.len(),
        delta.zones_out.len(),
        delta.vms_out.len(),
    ];
    counts.iter().sum()
}

type ItemKey = (types::DeclarationKind, ids::Text);

fn select(all: &types::Declarations, selected: &IndexSet<ItemKey>) -> types::Declarations {
    types::Declarations {
        endpoints: select_items(&all.endpoints, selected),
        pipelines: select_items(&all.pipelines, selected),
        pools: select_items(&all.pools, selected),
        profiles: select_items(&all.profiles, selected),
        services: select_items(&all.services, selected),
        workspaces: select_items(&all.workspaces, selected),
        zones: select_items(&all.zones, selected),
    }
}

fn select_items<Item>(items: &[Item], selected: &IndexSet<ItemKey>) -> Vec<Item>
where
    Item: Clone + declared_item::DeclaredItem,
{
    let is_selected = |entry: &&Item| selected.contains(&(Item::KIND, entry.name().clone()));
    items.iter().filter(is_selected).cloned().collect()
}

fn apply_items<Item>(items: &mut Vec<Item>, upserted: &[Item], removed: &IndexSet<ItemKey>)
where
    Item: Clone + declared_item::DeclaredItem,
{
    let replaced: IndexSet<_> = upserted.iter().map(|entry| entry.name().clone()).collect();
    items.retain(|entry| {
        let key = (Item::KIND, entry.name().clone());
        !replaced.contains(entry.name()) && !removed.contains(&key)
    });
    items.extend_from_slice(upserted);
    sort_items(items);
}

fn sort_items<Item>(items: &mut [Item])
where
    Item: declared_item::DeclaredItem,
{
    items.sort_by(|left, right| left.name().cmp(right.name()));
}
