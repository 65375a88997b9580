//! Applying deltas yields the same document as reading it in full.

use comfreyspread_policy::{catalog, delta};
use comfreyspread_schema::types;

/// Returns a document whose items and their contents derive from `choices`.
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
        change_id: format!("change-{revision}").into(),
        revision,
        vms_out: Vec::new(),
        zones_out: zones_out.collect(),
        declarations,
    }
}

#[test]
fn same_document() {
    bolero::check!().with_type::<Vec<Vec<(u8, u8)>>>().for_each(|revisions| {
        let mut catalog = catalog::ConfigurationCatalog::default();
        let mut documents: Vec<types::ConfigurationDocument> = Vec::new();
        for (index, choices) in revisions.iter().take(80).enumerate() {
            let document = document(index as u64 + 1, choices);
            catalog = catalog::ConfigurationCatalog::new(document).with_deltas_from(&catalog);
            documents.extend(catalog.document().cloned());
        }
        let Some(newest) = catalog.document() else { return };
        for older in &documents {
            let Some(deltas) = catalog.deltas_since(older.revision) else { continue };
            let built =
                deltas.iter().try_fold(older.clone(), |one, delta| delta::apply(&one, delta));
            assert_eq!(built.as_ref(), Some(newest), "from {}", older.revision);
        }
        if documents.len() > 1 {
            let previous = newest.revision - 1;
            assert!(catalog.deltas_since(previous).is_some(), "the latest delta is kept");
        }
    });
}

#[test]
fn wrong_base() {
    let (one, two) = (document(1, &[(1, 1)]), document(2, &[(2, 1)]));
    let delta = delta::diff(&one, &two);
    assert_eq!(delta::apply(&one, &delta), Some(two.clone()));
    assert_eq!(delta::apply(&two, &delta), None);
}
