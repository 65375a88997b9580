//! Life cycle of a configuration change: planned, staged, accepted.
//!
//! A change is planned against the stored head and written on the condition that the head has not
//! changed. Of two concurrent changes one succeeds and the other gets a conflict. The store's reply
//! may be lost after the write took effect. [`PlannedState`] then reads the head, which lists the
//! latest changes, to find out. The write may also be sent again, since at most one of several
//! identical conditional writes takes effect.
//!
//! A staged change is accepted once every node that may still be serving has confirmed it.

use crate::{comparison, delta, validation};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// Maximum number of changes that the head lists.
pub const MAX_RECENT_CHANGES: usize = 64;

/// A head as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHead {
    /// Version of the row; zero if it is absent.
    pub version: ids::RowVersion,
    /// Latest changes, newest last.
    pub recent_changes: Vec<types::ChangeRecord>,
    /// Document, if there is one.
    pub document: Option<types::ConfigurationDocument>,
}

impl StoredHead {
    /// Creates the head of a store that holds no configuration.
    pub fn new() -> Self {
        Self { version: 0, recent_changes: Vec::new(), document: None }
    }

    /// Returns the revision; zero if there is no configuration.
    pub fn revision(&self) -> ids::RevisionNumber {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Returns the record of the latest change.
    pub fn latest_change(&self) -> types::ChangeRecord {
        if let Some(record) = self.recent_changes.last() {
            return record.clone();
        }
        let document = self.document.as_ref();
        types::ChangeRecord {
            author: document.map_or_else(|| "".into(), |document| document.author.clone()),
            change_id: document.map_or_else(|| "".into(), |document| document.change_id.clone()),
            revision: self.revision(),
            summary: "".into(),
        }
    }

    fn revision_of(&self, change: &ids::ChangeId) -> Option<ids::RevisionNumber> {
        let listed = self.recent_changes.iter().find(|record| record.change_id == *change);
        let document = self.document.as_ref().filter(|document| document.change_id == *change);
        listed.map(|record| record.revision).or(document.map(|document| document.revision))
    }
}

impl Default for StoredHead {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a change is refused.
#[derive(Clone, Debug, thiserror::Error, PartialEq)]
pub enum ChangeRefusal {
    /// Another change was committed first.
    #[error("{} by {} came first", .0.change_id, .0.author)]
    Conflict(types::ChangeRecord),
    /// The declarations are not valid.
    #[error("the declarations are not valid")]
    Invalid(Vec<types::ValidationFinding>),
    /// The action names an unknown zone or VM, or there is no configuration yet.
    #[error("{0}")]
    Unknown(Box<str>),
}

/// What to do for a change request.
#[derive(Debug)]
pub enum ChangePlan {
    /// Write the new head.
    Write(ConfigurationChange<PlannedState>),
    /// The head already contains the change, or has the requested content.
    AlreadyStaged(ConfigurationChange<StagedState>),
}

/// State of a change that is not yet known to be stored.
#[derive(Debug)]
pub struct PlannedState {
    version: ids::RowVersion,
    document: types::ConfigurationDocument,
    recent_changes: Vec<types::ChangeRecord>,
    in_doubt: bool,
}

/// State of a change that is stored.
#[derive(Debug)]
pub struct StagedState {
    required: IndexSet<ids::Text>,
    confirmed: IndexSet<ids::Text>,
}

/// State of a change that is in force at every node that may still be serving.
#[derive(Debug)]
pub struct AcceptedState {
    confirmed: usize,
}

/// A configuration change in the state `State`.
#[derive(Debug)]
pub struct ConfigurationChange<State> {
    change: ids::ChangeId,
    revision: ids::RevisionNumber,
    state: State,
}

/// Result of resolving a write from a head read afterwards.
#[derive(Debug)]
pub enum WriteResolution {
    /// The change took effect.
    Staged(ConfigurationChange<StagedState>),
    /// Another change was committed first; this one can no longer take effect.
    Conflict(types::ChangeRecord),
    /// The outcome is still unknown; write again.
    Unresolved(ConfigurationChange<PlannedState>),
}

/// Whether a staged change is accepted.
#[derive(Debug)]
pub enum AcceptanceStep {
    /// Every node that may still be serving has confirmed.
    Accepted(ConfigurationChange<AcceptedState>),
    /// At least one confirmation is missing.
    Waiting(ConfigurationChange<StagedState>),
}

/// Plans a change against the head; `vms` are the known VMs.
///
/// # Errors
///
/// Fails if the head's revision is not the base, the declarations are not valid, the action names
/// an unknown zone or VM, or there is no configuration yet and the action is not a declaration.
pub fn plan(
    head: &StoredHead,
    request: &types::ChangeRequest,
    vms: &IndexSet<ids::VmId>,
) -> Result<ChangePlan, ChangeRefusal> {
    if let Some(revision) = head.revision_of(&request.change_id) {
        return Ok(ChangePlan::AlreadyStaged(staged_change(request.change_id.clone(), revision)));
    }
    if request.base_revision != head.revision() {
        return Err(ChangeRefusal::Conflict(head.latest_change()));
    }
    if head.document.is_none() && !matches!(request.action, types::ChangeAction::Declare { .. }) {
        let detail = "there is no configuration yet; apply declarations first";
        return Err(ChangeRefusal::Unknown(detail.into()));
    }
    let mut document = head.document.clone().unwrap_or_else(empty_document);
    delta::sort_declarations(&mut document.declarations);
    let summary = apply_action(&mut document, &request.action, vms)?;
    if head.document.as_ref().is_some_and(|current| has_same_content(current, &document)) {
        return Ok(ChangePlan::AlreadyStaged(staged_change(
            request.change_id.clone(),
            head.revision(),
        )));
    }
    document.revision = head.revision() + 1;
    document.change_id = request.change_id.clone();
    document.author = request.author.clone();
    let record = types::ChangeRecord {
        author: document.author.clone(),
        change_id: document.change_id.clone(),
        revision: document.revision,
        summary: summary.into(),
    };
    Ok(ChangePlan::Write(planned_change(head, document, record)))
}

/// Returns the write that puts the document in force back into the store, if the head read from it
/// is older: the store may have come back from a copy that lacks changes it had confirmed. If only
/// the read is old, the head has moved and the write has no effect.
pub fn write_again(
    head: &StoredHead,
    in_force: &types::ConfigurationDocument,
) -> Option<ConfigurationChange<PlannedState>> {
    if in_force.revision <= head.revision() {
        return None;
    }
    let record = types::ChangeRecord {
        author: in_force.author.clone(),
        change_id: in_force.change_id.clone(),
        revision: in_force.revision,
        summary: "written again".into(),
    };
    Some(planned_change(head, in_force.clone(), record))
}

fn planned_change(
    head: &StoredHead,
    document: types::ConfigurationDocument,
    record: types::ChangeRecord,
) -> ConfigurationChange<PlannedState> {
    let mut recent_changes = head.recent_changes.clone();
    recent_changes.push(record);
    recent_changes.drain(..recent_changes.len().saturating_sub(MAX_RECENT_CHANGES));
    ConfigurationChange {
        change: document.change_id.clone(),
        revision: document.revision,
        state: PlannedState { version: head.version, document, recent_changes, in_doubt: false },
    }
}

fn apply_action(
    document: &mut types::ConfigurationDocument,
    action: &types::ChangeAction,
    vms: &IndexSet<ids::VmId>,
) -> Result<Box<str>, ChangeRefusal> {
    match action {
        types::ChangeAction::Declare { declarations } => replace(document, declarations),
        types::ChangeAction::ZoneOut { zone } => {
            let known = known_zones(document);
            set_service_state(&mut document.zones_out, zone, &known, ServiceState::Out)?;
            Ok(format!("zone {zone} out").into())
        }
        types::ChangeAction::ZoneIn { zone } => {
            let known = known_zones(document);
            set_service_state(&mut document.zones_out, zone, &known, ServiceState::In)?;
            Ok(format!("zone {zone} in").into())
        }
        types::ChangeAction::VmOut { vm } => {
            let known = known_vms(document, vms);
            set_service_state(&mut document.vms_out, vm, &known, ServiceState::Out)?;
            Ok(format!("VM {vm} out").into())
        }
        types::ChangeAction::VmIn { vm } => {
            let known = known_vms(document, vms);
            set_service_state(&mut document.vms_out, vm, &known, ServiceState::In)?;
            Ok(format!("VM {vm} in").into())
        }
    }
}

/// Whether an action puts a zone or VM into or out of service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServiceState {
    In,
    Out,
}

fn known_zones(document: &types::ConfigurationDocument) -> IndexSet<ids::ZoneId> {
    document.declarations.zones.iter().map(|zone| zone.name.clone()).collect()
}

fn known_vms(
    document: &types::ConfigurationDocument,
    vms: &IndexSet<ids::VmId>,
) -> IndexSet<ids::VmId> {
    let endpoints = document.declarations.endpoints.iter();
    let declared = endpoints.map(|endpoint| &endpoint.vm);
    declared.chain(&document.vms_out).chain(vms).cloned().collect()
}

fn replace(
    document: &mut types::ConfigurationDocument,
    declarations: &types::Declarations,
) -> Result<Box<str>, ChangeRefusal> {
    let faults = validation::validate(declarations);
    if validation::has_faults(&faults) {
        return Err(ChangeRefusal::Invalid(faults));
    }
    let changes = comparison::compare(&document.declarations, declarations);
    document.declarations = declarations.clone();
    delta::sort_declarations(&mut document.declarations);
    let zones: IndexSet<_> = declarations.zones.iter().map(|zone| &zone.name).collect();
    document.zones_out.retain(|zone| zones.contains(zone));
    Ok(comparison::summarize(&changes))
}

fn set_service_state(
    out_of_service: &mut Vec<ids::Text>,
    name: &ids::Text,
    known: &IndexSet<ids::Text>,
    service_state: ServiceState,
) -> Result<(), ChangeRefusal> {
    if !known.contains(name) {
        let names: Vec<_> = known.iter().map(|name| &**name).collect();
        let detail = format!("{name:?} is not known; known: {}", names.join(", "));
        return Err(ChangeRefusal::Unknown(detail.into()));
    }
    out_of_service.retain(|other| other != name);
    if service_state == ServiceState::Out {
        out_of_service.push(name.clone());
        out_of_service.sort();
    }
    Ok(())
}

fn empty_document() -> types::ConfigurationDocument {
    types::ConfigurationDocument {
        author: "".into(),
        change_id: "".into(),
        declarations: types::Declarations::default(),
        revision: 0,
        vms_out: Vec::new(),
        zones_out: Vec::new(),
    }
}

fn has_same_content(
    left: &types::ConfigurationDocument,
    right: &types::ConfigurationDocument,
) -> bool {
    left.declarations == right.declarations
        && left.zones_out == right.zones_out
        && left.vms_out == right.vms_out
}

fn staged_change(
    change: ids::ChangeId,
    revision: ids::RevisionNumber,
) -> ConfigurationChange<StagedState> {
    let state = StagedState { required: IndexSet::new(), confirmed: IndexSet::new() };
    ConfigurationChange { change, revision, state }
}

impl<State> ConfigurationChange<State> {
    /// Returns the identifier of the change.
    pub fn change(&self) -> &ids::ChangeId {
        &self.change
    }

    /// Returns the revision that the change creates.
    pub fn revision(&self) -> ids::RevisionNumber {
        self.revision
    }
}

impl ConfigurationChange<PlannedState> {
    /// Returns the document to write.
    pub fn document(&self) -> &types::ConfigurationDocument {
        &self.state.document
    }

    /// Returns the list of latest changes to write, this one last.
    pub fn recent_changes(&self) -> &[types::ChangeRecord] {
        &self.state.recent_changes
    }

    /// Returns the row version that the write is conditional on; zero if the row must be absent.
    pub fn version(&self) -> ids::RowVersion {
        self.state.version
    }

    /// Whether a write was sent and no reply arrived.
    pub fn in_doubt(&self) -> bool {
        self.state.in_doubt
    }

    /// Marks the change as staged after the store has confirmed the write.
    pub fn commit(self) -> ConfigurationChange<StagedState> {
        staged_change(self.change, self.revision)
    }

    /// Records that a write was sent and no reply arrived.
    pub fn with_write_in_doubt(mut self) -> Self {
        self.state.in_doubt = true;
        self
    }

    /// Determines from a head read after the write whether the change took effect.
    pub fn resolve(self, head: &StoredHead) -> WriteResolution {
        if let Some(revision) = head.revision_of(&self.change) {
            return WriteResolution::Staged(staged_change(self.change, revision));
        }
        if head.revision() >= self.revision {
            return WriteResolution::Conflict(head.latest_change());
        }
        WriteResolution::Unresolved(self)
    }
}

impl ConfigurationChange<StagedState> {
    /// Sets the nodes that must confirm, by name or address.
    pub fn with_required_nodes(mut self, required: IndexSet<ids::Text>) -> Self {
        self.state.required = required;
        self
    }

    /// Records the revision in force at a node; a revision older than this change is ignored.
    pub fn confirm(&mut self, node: &ids::Text, revision: ids::RevisionNumber) {
        if revision >= self.revision {
            self.state.confirmed.insert(node.clone());
        }
    }

    /// Returns the nodes that have not confirmed.
    pub fn unconfirmed_nodes(&self) -> impl Iterator<Item = &ids::Text> {
        self.state.required.difference(&self.state.confirmed)
    }

    /// Accepts the change if at least one node and every required node has confirmed.
    pub fn accept(self) -> AcceptanceStep {
        if self.state.confirmed.is_empty() || self.unconfirmed_nodes().next().is_some() {
            return AcceptanceStep::Waiting(self);
        }
        let state = AcceptedState { confirmed: self.state.confirmed.len() };
        let Self { change, revision, .. } = self;
        AcceptanceStep::Accepted(ConfigurationChange { change, revision, state })
    }
}

impl ConfigurationChange<AcceptedState> {
    /// Returns how many nodes confirmed.
    pub fn confirmed(&self) -> usize {
        self.state.confirmed
    }
}
