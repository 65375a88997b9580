//! Changes and their adoption by nodes, over random schedules of lost replies, stale reads and
//! restarts.

use comfreyspread_policy::{catalog, change};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

const NODES: usize = 4;

/// A store with one row, whose reads may be stale.
struct ModelStore {
    history: Vec<change::StoredHead>,
}

/// Result of a write as its sender sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteReply {
    Committed,
    Refused,
    Lost,
}

impl ModelStore {
    fn current(&self) -> &change::StoredHead {
        self.history.last().expect("a head")
    }

    /// Returns a head that is up to three writes old.
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
            recent_changes: planned.recent_changes().to_vec(),
            document: Some(planned.document().clone()),
        });
        true
    }
}

fn declarations(zone: &str) -> types::Declarations {
    let zone = types::ZoneDeclaration { name: zone.into(), region: "region".into() };
    types::Declarations { zones: vec![zone], ..types::Declarations::default() }
}

fn request(change: &str, base_revision: ids::RevisionNumber) -> types::ChangeRequest {
    types::ChangeRequest {
        author: "operator".into(),
        base_revision,
        change_id: change.into(),
        action: types::ChangeAction::Declare { declarations: declarations(change) },
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

/// An operator who writes a change.
struct ModelOperator {
    planned: Option<change::ConfigurationChange<change::PlannedState>>,
    name: ids::ChangeId,
}

/// Final result that an operator received.
#[derive(Debug, PartialEq)]
enum Outcome {
    Staged(ids::RevisionNumber),
    Conflict,
}

impl ModelOperator {
    fn step(&mut self, store: &mut ModelStore, first: u8, second: u8) -> Option<Outcome> {
        let mut planned = self.planned.take()?;
        let reply = match first % 4 {
            0 => WriteReply::Lost,
            1 => {
                store.write(&planned);
                WriteReply::Lost
            }
            _ if store.write(&planned) => WriteReply::Committed,
            _ => WriteReply::Refused,
        };
        match reply {
            WriteReply::Committed => return Some(Outcome::Staged(planned.commit().revision())),
            WriteReply::Lost => planned = planned.with_write_in_doubt(),
            WriteReply::Refused => {}
        }
        match planned.resolve(store.read(second)) {
            change::WriteResolution::Staged(staged) => Some(Outcome::Staged(staged.revision())),
            change::WriteResolution::Conflict(_) => Some(Outcome::Conflict),
            change::WriteResolution::Unresolved(planned) => {
                self.planned = Some(planned);
                None
            }
        }
    }
}

/// Nodes that adopt newer documents.
struct ModelNodes {
    catalogs: Vec<catalog::ConfigurationCatalog>,
}

impl ModelNodes {
    fn offer(&mut self, node: usize, document: Option<&types::ConfigurationDocument>) {
        let Some(document) = document else { return };
        let before = self.catalogs[node].revision();
        if self.catalogs[node].is_superseded_by(document) {
            self.catalogs[node] = catalog::ConfigurationCatalog::new(document.clone());
        }
        assert!(self.catalogs[node].revision() >= before, "the revision decreased");
    }

    /// Restarts a node, which reads a stale head and queries one peer before it serves.
    fn restart(&mut self, node: usize, peer: usize, stale: &change::StoredHead) {
        self.catalogs[node] = catalog::ConfigurationCatalog::default();
        let shown = self.catalogs[peer].document().cloned();
        self.offer(node, stale.document.as_ref());
        self.offer(node, shown.as_ref());
    }
}

#[test]
fn random_schedules() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|schedule| {
        let mut store = ModelStore { history: vec![change::StoredHead::new()] };
        let mut nodes = ModelNodes { catalogs: (0..NODES).map(|_| Default::default()).collect() };
        let mut operators: Vec<ModelOperator> = Vec::new();
        let mut outcomes: Vec<(ids::ChangeId, Outcome)> = Vec::new();
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
                    if let Some(result) = operator.step(&mut store, *second, second >> 4) {
                        outcomes.push((operator.name.clone(), result));
                    }
                }
                2 => nodes.offer(node, store.read(*second).document.as_ref()),
                3 => {
                    let document = nodes.catalogs[peer].document().cloned();
                    nodes.offer(node, document.as_ref());
                }
                4 => {
                    let stale = store.read(*second).clone();
                    nodes.restart(node, peer, &stale);
                    let floor = if node == peer { 0 } else { nodes.catalogs[peer].revision() };
                    assert!(
                        nodes.catalogs[node].revision() >= floor,
                        "older than the revision of the peer that was asked"
                    );
                }
                _ => {}
            }
        }
        check_history(&store, &outcomes);
    });
}

/// Checks that each staged change is in the history exactly once, at the reported revision, and
/// that no change with a conflict is in it.
fn check_history(store: &ModelStore, outcomes: &[(ids::ChangeId, Outcome)]) {
    let documents = store.history.iter().filter_map(|head| head.document.as_ref());
    let committed: Vec<_> = documents.map(|one| (one.change_id.clone(), one.revision)).collect();
    for (index, (_, revision)) in committed.iter().enumerate() {
        assert_eq!(*revision, index as u64 + 1, "revisions are consecutive");
    }
    for (name, result) in outcomes {
        let found: Vec<_> = committed.iter().filter(|(change, _)| change == name).collect();
        match result {
            Outcome::Conflict => assert!(found.is_empty(), "{name} conflicted but is stored"),
            Outcome::Staged(revision) => {
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
    assert_eq!(one.step(&mut store, 1, 0), Some(Outcome::Staged(1)), "the reply was lost");
    assert_eq!(other.step(&mut store, 2, 0), Some(Outcome::Conflict));
    let refusal = change::plan(store.current(), &request("late", 0), &IndexSet::new());
    let Err(change::ChangeRefusal::Conflict(record)) = refusal else { panic!("no conflict") };
    assert_eq!((&*record.change_id, &*record.author, record.revision), ("one", "operator", 1));
}

#[test]
fn repeated_change() {
    let mut store = ModelStore { history: vec![change::StoredHead::new()] };
    let first = planned(store.current(), "one", 0).expect("a plan");
    assert!(store.write(&first));
    let again = change::plan(store.current(), &request("one", 0), &IndexSet::new());
    let Ok(change::ChangePlan::AlreadyStaged(staged)) = again else {
        panic!("the change was planned twice")
    };
    assert_eq!(staged.revision(), 1);
}

#[test]
fn acceptance_waits() {
    let store = ModelStore { history: vec![change::StoredHead::new()] };
    let staged = planned(store.current(), "one", 0).expect("a plan").commit();
    let required: IndexSet<ids::Text> = ["a".into(), "b".into()].into_iter().collect();
    let mut staged = staged.with_required_nodes(required);
    staged.confirm(&"a".into(), 1);
    staged.confirm(&"b".into(), 0);
    let change::AcceptanceStep::Waiting(mut staged) = staged.accept() else {
        panic!("accepted while b has an older revision")
    };
    assert_eq!(staged.unconfirmed_nodes().collect::<Vec<_>>(), [&ids::Text::from("b")]);
    staged.confirm(&"b".into(), 2);
    assert!(matches!(staged.accept(), change::AcceptanceStep::Accepted(_)));
}

#[test]
fn unknown_zone() {
    let store = ModelStore { history: vec![change::StoredHead::new()] };
    let mut order = request("one", 0);
    order.action = types::ChangeAction::ZoneOut { zone: "none".into() };
    let refusal = change::plan(store.current(), &order, &IndexSet::new());
    assert!(matches!(refusal, Err(change::ChangeRefusal::Unknown(_))));
}

#[test]
fn declarations_first() {
    let mut order = request("one", 0);
    order.action = types::ChangeAction::VmOut { vm: "entry-1".into() };
    let vms = ["entry-1".into()].into_iter().collect();
    let refusal = change::plan(&change::StoredHead::new(), &order, &vms);
    assert!(matches!(refusal, Err(change::ChangeRefusal::Unknown(_))), "{refusal:?}");
}

/// A store that lost a confirmed change gets it back, and keeps changes that are as new.
#[test]
fn lost_change() {
    let empty = change::StoredHead::new();
    let planned = planned(&empty, "zone-a", 0).expect("a plan");
    let in_force = planned.document().clone();
    let again = change::write_again(&empty, &in_force).expect("the store lacks the change");
    assert_eq!((again.version(), again.revision()), (0, in_force.revision));
    assert_eq!(again.document(), &in_force);
    let mut store = ModelStore { history: vec![empty] };
    assert!(store.write(&again));
    assert!(change::write_again(store.current(), &in_force).is_none());
    assert!(!store.write(&again), "a head that has moved is kept");
}
