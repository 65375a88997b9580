//! Steps from one revision of the configuration to a later one.
//!
//! A change touches few of many items, so nodes hand each other the difference. Documents are kept
//! with each list in order of names, hence a document that was reached by steps equals one that was
//! read whole.

use crate::{comparison, item};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// Puts each list of declarations in order of names.
pub fn sort(declarations: &mut types::Declarations) {
    sort_items(&mut declarations.zones);
    sort_items(&mut declarations.pools);
    sort_items(&mut declarations.endpoints);
    sort_items(&mut declarations.pipelines);
    sort_items(&mut declarations.services);
    sort_items(&mut declarations.profiles);
    sort_items(&mut declarations.workspaces);
}

/// Returns what turns `before` into `after`; both have their lists in order of names.
pub fn diff(
    before: &types::ConfigurationDocument,
    after: &types::ConfigurationDocument,
) -> types::ConfigurationDelta {
    let changes = comparison::compare(&before.declarations, &after.declarations);
    let (removed, written): (Vec<_>, Vec<_>) =
        changes.into_iter().partition(|change| change.difference == types::ItemDifference::Removed);
    let written: IndexSet<_> = written.into_iter().map(|one| (one.kind, one.name)).collect();
    let removed = removed.into_iter().map(|one| types::ItemName { kind: one.kind, name: one.name });
    types::ConfigurationDelta {
        author: after.author.clone(),
        base: before.revision,
        change: after.change.clone(),
        removed: removed.collect(),
        revision: after.revision,
        vms_out: after.vms_out.clone(),
        written: select(&after.declarations, &written),
        zones_out: after.zones_out.clone(),
    }
}

/// Returns the document after a step; none if the step starts at another revision.
pub fn apply(
    before: &types::ConfigurationDocument,
    delta: &types::ConfigurationDelta,
) -> Option<types::ConfigurationDocument> {
    if before.revision != delta.base {
        return None;
    }
    let mut declarations = before.declarations.clone();
    let dropped: IndexSet<_> =
        delta.removed.iter().map(|one| (one.kind, one.name.clone())).collect();
    let written = &delta.written;
    step(&mut declarations.zones, &written.zones, &dropped);
    step(&mut declarations.pools, &written.pools, &dropped);
    step(&mut declarations.endpoints, &written.endpoints, &dropped);
    step(&mut declarations.pipelines, &written.pipelines, &dropped);
    step(&mut declarations.services, &written.services, &dropped);
    step(&mut declarations.profiles, &written.profiles, &dropped);
    step(&mut declarations.workspaces, &written.workspaces, &dropped);
    Some(types::ConfigurationDocument {
        author: delta.author.clone(),
        change: delta.change.clone(),
        declarations,
        revision: delta.revision,
        vms_out: delta.vms_out.clone(),
        zones_out: delta.zones_out.clone(),
    })
}

/// Returns how many items a step names.
pub fn size(delta: &types::ConfigurationDelta) -> usize {
    let written = &delta.written;
    let counts = [
        written.zones.len(),
        written.pools.len(),
        written.endpoints.len(),
        written.pipelines.len(),
        written.services.len(),
        written.profiles.len(),
        written.workspaces.len(),
        delta.removed.len(),
        delta.zones_out.len(),
        delta.vms_out.len(),
    ];
    counts.iter().sum()
}

type ItemKey = (types::DeclarationKind, ids::Text);

fn select(all: &types::Declarations, chosen: &IndexSet<ItemKey>) -> types::Declarations {
    types::Declarations {
        endpoints: select_items(&all.endpoints, chosen),
        pipelines: select_items(&all.pipelines, chosen),
        pools: select_items(&all.pools, chosen),
        profiles: select_items(&all.profiles, chosen),
        services: select_items(&all.services, chosen),
        workspaces: select_items(&all.workspaces, chosen),
        zones: select_items(&all.zones, chosen),
    }
}

fn select_items<Item>(items: &[Item], chosen: &IndexSet<ItemKey>) -> Vec<Item>
where
    Item: Clone + item::DeclaredItem,
{
    let listed = |entry: &&Item| chosen.contains(&(Item::KIND, entry.name().clone()));
    items.iter().filter(listed).cloned().collect()
}

fn step<Item>(items: &mut Vec<Item>, written: &[Item], dropped: &IndexSet<ItemKey>)
where
    Item: Clone + item::DeclaredItem,
{
    let replaced: IndexSet<_> = written.iter().map(|entry| entry.name().clone()).collect();
    items.retain(|entry| {
        let key = (Item::KIND, entry.name().clone());
        !replaced.contains(entry.name()) && !dropped.contains(&key)
    });
    items.extend_from_slice(written);
    sort_items(items);
}

fn sort_items<Item>(items: &mut [Item])
where
    Item: item::DeclaredItem,
{
    items.sort_by(|one, other| one.name().cmp(other.name()));
}
