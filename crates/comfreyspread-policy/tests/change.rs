//! Changes and their adoption over random schedules of lost answers, stale copies and restarts.

use comfreyspread_policy::{catalog, change};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

const NODES: usize = 4;

/// A store with one row, whose reads may show an older copy.
struct ModelStore {
    history: Vec<change::StoredHead>,
}

/// What a write returned, if its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteAnswer {
    Committed,
    Refused,
    Lost,
}

impl ModelStore {
    fn current(&self) -> &change::StoredHead {
        self.history.last().expect("a head")
    }

    /// Returns the head as it was up to three writes ago.
    fn read(&self, age: u8) -> &change::StoredHead {
        let newest = self.history.len() - 1;
        &self.history[newest.saturating_sub(usize::from(age) % 4)]
    }

    fn write(&mut self, planned: &change::ConfigurationChange<change::PlannedState>) -> bool {
        if self.current().version != planned.version() {
            return false;
        }
        self.history.push(change::StoredHead {
            version: self.current().version + 1,
            recent: planned.recent().to_vec(),
            document: Some(planned.document().clone()),
        });
        true
    }
}

fn declare(zone: &str) -> types::Declarations {
    let zone = types::ZoneDeclaration { name: zone.into(), region: "region".into() };
    types::Declarations { zones: vec![zone], ..types::Declarations::default() }
}

fn request(change: &str, base: ids::RevisionNumber) -> types::ChangeRequest {
    types::ChangeRequest {
        author: "operator".into(),
        base,
        change: change.into(),
        order: types::ChangeOrder::Declare { declarations: declare(change) },
        wait: std::time::Duration::ZERO,
    }
}

fn planned(
    head: &change::StoredHead,
    name: &str,
    base: ids::RevisionNumber,
) -> Option<change::ConfigurationChange<change::PlannedState>> {
    match change::plan(head, &request(name, base), &IndexSet::new()) {
        Ok(change::ChangePlan::Write(planned)) => Some(planned),
        _ => None,
    }
}

/// An operator's change that is being written.
struct ModelOperator {
    planned: Option<change::ConfigurationChange<change::PlannedState>>,
    name: ids::ChangeId,
}

/// What an operator was told in the end.
#[derive(Debug, PartialEq)]
enum Told {
    Staged(ids::RevisionNumber),
    Conflict,
}

impl ModelOperator {
    fn step(&mut self, store: &mut ModelStore, first: u8, second: u8) -> Option<Told> {
        let mut planned = self.planned.take()?;
        let answer = match first % 4 {
            0 => WriteAnswer::Lost,
            1 => {
                store.write(&planned);
                WriteAnswer::Lost
            }
            _ if store.write(&planned) => WriteAnswer::Committed,
            _ => WriteAnswer::Refused,
        };
        match answer {
            WriteAnswer::Committed => return Some(Told::Staged(planned.commit().revision())),
            WriteAnswer::Lost => planned = planned.with_write_in_doubt(),
            WriteAnswer::Refused => {}
        }
        match planned.resolve(store.read(second)) {
            change::WriteResolution::Staged(staged) => Some(Told::Staged(staged.revision())),
            change::WriteResolution::Conflict(_) => Some(Told::Conflict),
            change::WriteResolution::Unresolved(planned) => {
                self.planned = Some(planned);
                None
            }
        }
    }
}

/// Nodes that adopt what they are shown.
struct ModelNodes {
    catalogs: Vec<catalog::ConfigurationCatalog>,
}

impl ModelNodes {
    fn show(&mut self, node: usize, document: Option<&types::ConfigurationDocument>) {
        let Some(document) = document else { return };
        let before = self.catalogs[node].revision();
        if self.catalogs[node].is_superseded_by(document) {
            self.catalogs[node] = catalog::ConfigurationCatalog::new(document.clone());
        }
        assert!(self.catalogs[node].revision() >= before, "a revision went back");
    }

    /// Restarts a node; it asks the store's stale copy and one peer before it serves.
    fn restart(&mut self, node: usize, peer: usize, stale: &change::StoredHead) {
        self.catalogs[node] = catalog::ConfigurationCatalog::default();
        let shown = self.catalogs[peer].document().cloned();
        self.show(node, stale.document.as_ref());
        self.show(node, shown.as_ref());
    }
}

#[test]
fn random_schedules() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|schedule| {
        let mut store = ModelStore { history: vec![change::StoredHead::new()] };
        let mut nodes = ModelNodes { catalogs: (0..NODES).map(|_| Default::default()).collect() };
        let mut operators: Vec<ModelOperator> = Vec::new();
        let mut told: Vec<(ids::ChangeId, Told)> = Vec::new();
        for (number, (kind, first, second)) in schedule.iter().enumerate() {
            let node = usize::from(*first) % NODES;
            let peer = usize::from(*second) % NODES;
            match kind % 5 {
                0 => {
                    let head = store.read(*first);
                    let name: ids::ChangeId = format!("change-{number}").into();
                    let planned = planned(head, &name, head.revision());
                    operators.push(ModelOperator { planned, name });
                }
                1 if !operators.is_empty() => {
                    let index = usize::from(*first) % operators.len();
                    let operator = &mut operators[index];
                    if let Some(ending) = operator.step(&mut store, *second, second >> 4) {
                        told.push((operator.name.clone(), ending));
                    }
                }
                2 => nodes.show(node, store.read(*second).document.as_ref()),
                3 => {
                    let document = nodes.catalogs[peer].document().cloned();
                    nodes.show(node, document.as_ref());
                }
                4 => {
                    let stale = store.read(*second).clone();
                    nodes.restart(node, peer, &stale);
                    let floor = if node == peer { 0 } else { nodes.catalogs[peer].revision() };
                    assert!(nodes.catalogs[node].revision() >= floor, "behind the peer asked");
                }
                _ => {}
            }
        }
        check_history(&store, &told);
    });
}

/// Whoever was told `staged` is in the history exactly once, at the revision told; whoever was told
/// `conflict` is not in it.
fn check_history(store: &ModelStore, told: &[(ids::ChangeId, Told)]) {
    let documents = store.history.iter().filter_map(|head| head.document.as_ref());
    let made: Vec<_> = documents.map(|one| (one.change.clone(), one.revision)).collect();
    for (index, (_, revision)) in made.iter().enumerate() {
        assert_eq!(*revision, index as u64 + 1, "each revision follows the one before");
    }
    for (name, ending) in told {
        let found: Vec<_> = made.iter().filter(|(change, _)| change == name).collect();
        match ending {
            Told::Conflict => assert!(found.is_empty(), "{name} was told a conflict and is made"),
            Told::Staged(revision) => {
                assert_eq!(found.len(), 1, "{name}");
                assert_eq!(found[0].1, *revision, "{name}");
            }
        }
    }
}

#[test]
fn racing_operators() {
    let mut store = ModelStore { history: vec![change::StoredHead::new()] };
    let head = store.current().clone();
    let mut one = ModelOperator { planned: planned(&head, "one", 0), name: "one".into() };
    let mut other = ModelOperator { planned: planned(&head, "other", 0), name: "other".into() };
    assert_eq!(one.step(&mut store, 1, 0), Some(Told::Staged(1)), "the answer was lost");
    assert_eq!(other.step(&mut store, 2, 0), Some(Told::Conflict));
    let refusal = change::plan(store.current(), &request("late", 0), &IndexSet::new());
    let Err(change::ChangeRefusal::Conflict(record)) = refusal else { panic!("no conflict") };
    assert_eq!((&*record.change, &*record.author, record.revision), ("one", "operator", 1));
}

#[test]
fn same_change_again() {
    let mut store = ModelStore { history: vec![change::StoredHead::new()] };
    let first = planned(store.current(), "one", 0).expect("a plan");
    assert!(store.write(&first));
    let again = change::plan(store.current(), &request("one", 0), &IndexSet::new());
    let Ok(change::ChangePlan::AlreadyStaged(staged)) = again else { panic!("made twice") };
    assert_eq!(staged.revision(), 1);
}

#[test]
fn acceptance_waits() {
    let store = ModelStore { history: vec![change::StoredHead::new()] };
    let staged = planned(store.current(), "one", 0).expect("a plan").commit();
    let expected: IndexSet<ids::Text> = ["a".into(), "b".into()].into_iter().collect();
    let mut staged = staged.with_required_nodes(expected);
    staged.confirm(&"a".into(), 1);
    staged.confirm(&"b".into(), 0);
    let change::AcceptanceStep::Waiting(mut staged) = staged.accept() else {
        panic!("accepted while b has an older revision")
    };
    assert_eq!(staged.missing().collect::<Vec<_>>(), [&ids::Text::from("b")]);
    staged.confirm(&"b".into(), 2);
    assert!(matches!(staged.accept(), change::AcceptanceStep::Accepted(_)));
}

#[test]
fn unknown_places() {
    let store = ModelStore { history: vec![change::StoredHead::new()] };
    let mut order = request("one", 0);
    order.order = types::ChangeOrder::ZoneOut { zone: "none".into() };
    let refusal = change::plan(store.current(), &order, &IndexSet::new());
    assert!(matches!(refusal, Err(change::ChangeRefusal::Unknown(_))));
}

#[test]
fn declarations_first() {
    let mut order = request("one", 0);
    order.order = types::ChangeOrder::VmOut { vm: "entry-1".into() };
    let vms = ["entry-1".into()].into_iter().collect();
    let refusal = change::plan(&change::StoredHead::new(), &order, &vms);
    assert!(matches!(refusal, Err(change::ChangeRefusal::Unknown(_))), "{refusal:?}");
}
