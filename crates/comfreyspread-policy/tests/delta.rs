//! Steps between revisions lead to the same document as reading it whole.

use comfreyspread_policy::{catalog, delta};
use comfreyspread_schema::types;

/// Returns a document whose items and their contents are drawn from `choices`.
fn document(revision: u64, choices: &[(u8, u8)]) -> types::ConfigurationDocument {
    let mut declarations = types::Declarations::default();
    for (name, value) in choices {
        let name = format!("item-{}", name % 16).into();
        if declarations.workspaces.iter().any(|one| one.name == name) {
            continue;
        }
        let region = format!("region-{}", value % 3).into();
        if name.len() % 2 == 0 {
            declarations.zones.push(types::ZoneDeclaration { name: name.clone(), region });
        }
        let weight = u32::from(value % 4);
        declarations.workspaces.push(types::WorkspaceDeclaration { name, weight });
    }
    let zones_out = declarations.zones.iter().take(choices.len() % 2).map(|one| one.name.clone());
    types::ConfigurationDocument {
        author: "operator".into(),
        change: format!("change-{revision}").into(),
        revision,
        vms_out: Vec::new(),
        zones_out: zones_out.collect(),
        declarations,
    }
}

#[test]
fn same_document() {
    bolero::check!().with_type::<Vec<Vec<(u8, u8)>>>().for_each(|revisions| {
        let mut ahead = catalog::ConfigurationCatalog::default();
        let mut shown: Vec<types::ConfigurationDocument> = Vec::new();
        for (index, choices) in revisions.iter().take(80).enumerate() {
            let document = document(index as u64 + 1, choices);
            ahead = catalog::ConfigurationCatalog::new(document).with_deltas_from(&ahead);
            shown.extend(ahead.document().cloned());
        }
        let Some(newest) = ahead.document() else { return };
        for start in &shown {
            let Some(steps) = ahead.deltas_since(start.revision) else { continue };
            let reached =
                steps.iter().try_fold(start.clone(), |one, step| delta::apply(&one, step));
            assert_eq!(reached.as_ref(), Some(newest), "from {}", start.revision);
        }
        if shown.len() > 1 {
            let one_behind = newest.revision - 1;
            assert!(ahead.deltas_since(one_behind).is_some(), "the latest step is at hand");
        }
    });
}

#[test]
fn wrong_base() {
    let (one, two) = (document(1, &[(1, 1)]), document(2, &[(2, 1)]));
    let step = delta::diff(&one, &two);
    assert_eq!(delta::apply(&one, &step), Some(two.clone()));
    assert_eq!(delta::apply(&two, &step), None);
}
