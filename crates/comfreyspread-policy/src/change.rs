//! A change of the configuration: planned, staged, accepted.
//!
//! A change is planned against the stored head and written on the condition that the head has not
//! moved. Two operators who race therefore get one winner and one conflict. An answer of the store
//! may be lost after the write took effect; [`PlannedState`] settles that from what is read back:
//! the head lists the latest changes, and the write may be sent again, since at most one of the
//! equal conditional writes can take effect.
//!
//! A staged change is accepted once every node that can still be serving has confirmed it.

use crate::{comparison, delta, validation};
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// Number of latest changes that the head lists.
pub const RECENT_CHANGES: usize = 64;

/// A head as read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredHead {
    /// Version of the row; zero if there is none.
    pub version: ids::RowVersion,
    /// Latest changes, newest last; empty if there is none.
    pub recent: Vec<types::ChangeRecord>,
    /// Document, if there is one.
    pub document: Option<types::ConfigurationDocument>,
}

impl StoredHead {
    /// Creates the head of a store that holds no configuration.
    pub fn new() -> Self {
        Self { version: 0, recent: Vec::new(), document: None }
    }

    /// Returns the revision; zero if there is no configuration.
    pub fn revision(&self) -> ids::RevisionNumber {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Returns the record of the change that made this head.
    pub fn record(&self) -> types::ChangeRecord {
        if let Some(record) = self.recent.last() {
            return record.clone();
        }
        let document = self.document.as_ref();
        types::ChangeRecord {
            author: document.map_or_else(|| "".into(), |document| document.author.clone()),
            change: document.map_or_else(|| "".into(), |document| document.change.clone()),
            revision: self.revision(),
            summary: "".into(),
        }
    }

    fn made(&self, change: &ids::ChangeId) -> Option<ids::RevisionNumber> {
        let listed = self.recent.iter().find(|record| record.change == *change);
        let document = self.document.as_ref().filter(|document| document.change == *change);
        listed.map(|record| record.revision).or(document.map(|document| document.revision))
    }
}

impl Default for StoredHead {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a change is not made.
#[derive(Clone, Debug, thiserror::Error, PartialEq)]
pub enum ChangeRefusal {
    /// Another change came first.
    #[error("{} by {} came first", .0.change, .0.author)]
    Conflict(types::ChangeRecord),
    /// The declarations are not valid.
    #[error("the declarations are not valid")]
    Invalid(Vec<types::DeclarationFault>),
    /// The order names something that is not known.
    #[error("{0}")]
    Unknown(Box<str>),
}

/// What is to be done about a request.
#[derive(Debug)]
pub enum ChangePlan {
    /// The new head is to be written.
    Write(ConfigurationChange<PlannedState>),
    /// The head already holds what the order asks for, or the change itself.
    AlreadyStaged(ConfigurationChange<StagedState>),
}

/// State of a change that is to be written.
#[derive(Debug)]
pub struct PlannedState {
    version: ids::RowVersion,
    document: types::ConfigurationDocument,
    recent: Vec<types::ChangeRecord>,
    unanswered: bool,
}

/// State of a change that the store holds.
#[derive(Debug)]
pub struct StagedState {
    expected: IndexSet<ids::Text>,
    confirmed: IndexSet<ids::Text>,
}

/// State of a change that is in force at every node that can still be serving.
#[derive(Debug)]
pub struct AcceptedState {
    confirmed: usize,
}

/// One change in the state `State`.
#[derive(Debug)]
pub struct ConfigurationChange<State> {
    change: ids::ChangeId,
    revision: ids::RevisionNumber,
    state: State,
}

/// What is known after a write or a read.
#[derive(Debug)]
pub enum WriteResolution {
    /// The change took effect.
    Staged(ConfigurationChange<StagedState>),
    /// Another change came first; this one cannot take effect any more.
    Conflict(types::ChangeRecord),
    /// Nothing is certain yet; write again.
    Unresolved(ConfigurationChange<PlannedState>),
}

/// Where a staged change stands.
#[derive(Debug)]
pub enum AcceptanceStep {
    /// Every node that can still be serving has confirmed.
    Accepted(ConfigurationChange<AcceptedState>),
    /// A node is missing.
    Waiting(ConfigurationChange<StagedState>),
}

/// Plans a change against the head, given the names of the VMs known.
///
/// # Errors
///
/// Fails if the head has moved since the base, the declarations are not valid, or the order names
/// something unknown.
pub fn plan(
    head: &StoredHead,
    request: &types::ChangeRequest,
    vms: &IndexSet<ids::VmId>,
) -> Result<ChangePlan, ChangeRefusal> {
    if let Some(revision) = head.made(&request.change) {
        return Ok(ChangePlan::AlreadyStaged(staged(request.change.clone(), revision)));
    }
    if request.base != head.revision() {
        return Err(ChangeRefusal::Conflict(head.record()));
    }
    if head.document.is_none() && !matches!(request.order, types::ChangeOrder::Declare { .. }) {
        let detail = "there is no configuration yet; apply declarations first";
        return Err(ChangeRefusal::Unknown(detail.into()));
    }
    let mut document = head.document.clone().unwrap_or_else(empty_document);
    delta::sort(&mut document.declarations);
    let summary = carry_out(&mut document, &request.order, vms)?;
    if head.document.as_ref().is_some_and(|current| same_content(current, &document)) {
        return Ok(ChangePlan::AlreadyStaged(staged(request.change.clone(), head.revision())));
    }
    document.revision = head.revision() + 1;
    document.change = request.change.clone();
    document.author = request.author.clone();
    let record = types::ChangeRecord {
        author: document.author.clone(),
        change: document.change.clone(),
        revision: document.revision,
        summary: summary.into(),
    };
    let mut recent = head.recent.clone();
    recent.push(record);
    recent.drain(..recent.len().saturating_sub(RECENT_CHANGES));
    Ok(ChangePlan::Write(ConfigurationChange {
        change: request.change.clone(),
        revision: document.revision,
        state: PlannedState { version: head.version, document, recent, unanswered: false },
    }))
}

fn carry_out(
    document: &mut types::ConfigurationDocument,
    order: &types::ChangeOrder,
    vms: &IndexSet<ids::VmId>,
) -> Result<Box<str>, ChangeRefusal> {
    match order {
        types::ChangeOrder::Declare { declarations } => declare(document, declarations),
        types::ChangeOrder::ZoneOut { zone } => {
            let known = known_zones(document);
            set_out(&mut document.zones_out, zone, &known, ServiceTurn::Out)?;
            Ok(format!("zone {zone} out").into())
        }
        types::ChangeOrder::ZoneIn { zone } => {
            let known = known_zones(document);
            set_out(&mut document.zones_out, zone, &known, ServiceTurn::In)?;
            Ok(format!("zone {zone} in").into())
        }
        types::ChangeOrder::VmOut { vm } => {
            let known = known_vms(document, vms);
            set_out(&mut document.vms_out, vm, &known, ServiceTurn::Out)?;
            Ok(format!("VM {vm} out").into())
        }
        types::ChangeOrder::VmIn { vm } => {
            let known = known_vms(document, vms);
            set_out(&mut document.vms_out, vm, &known, ServiceTurn::In)?;
            Ok(format!("VM {vm} in").into())
        }
    }
}

/// Direction of an order that takes something out of service or brings it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServiceTurn {
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

fn declare(
    document: &mut types::ConfigurationDocument,
    declarations: &types::Declarations,
) -> Result<Box<str>, ChangeRefusal> {
    let faults = validation::validate(declarations);
    if validation::has_faults(&faults) {
        return Err(ChangeRefusal::Invalid(faults));
    }
    let changes = comparison::compare(&document.declarations, declarations);
    document.declarations = declarations.clone();
    delta::sort(&mut document.declarations);
    let zones: IndexSet<_> = declarations.zones.iter().map(|zone| &zone.name).collect();
    document.zones_out.retain(|zone| zones.contains(zone));
    Ok(comparison::summarize(&changes))
}

fn set_out(
    out: &mut Vec<ids::Text>,
    name: &ids::Text,
    known: &IndexSet<ids::Text>,
    turn: ServiceTurn,
) -> Result<(), ChangeRefusal> {
    if !known.contains(name) {
        let names: Vec<_> = known.iter().map(|name| &**name).collect();
        let detail = format!("{name:?} is not known; known: {}", names.join(", "));
        return Err(ChangeRefusal::Unknown(detail.into()));
    }
    out.retain(|other| other != name);
    if turn == ServiceTurn::Out {
        out.push(name.clone());
        out.sort();
    }
    Ok(())
}

fn empty_document() -> types::ConfigurationDocument {
    types::ConfigurationDocument {
        author: "".into(),
        change: "".into(),
        declarations: types::Declarations::default(),
        revision: 0,
        vms_out: Vec::new(),
        zones_out: Vec::new(),
    }
}

fn same_content(one: &types::ConfigurationDocument, other: &types::ConfigurationDocument) -> bool {
    one.declarations == other.declarations
        && one.zones_out == other.zones_out
        && one.vms_out == other.vms_out
}

fn staged(
    change: ids::ChangeId,
    revision: ids::RevisionNumber,
) -> ConfigurationChange<StagedState> {
    let state = StagedState { expected: IndexSet::new(), confirmed: IndexSet::new() };
    ConfigurationChange { change, revision, state }
}

impl<State> ConfigurationChange<State> {
    /// Returns the identifier of the change.
    pub fn change(&self) -> &ids::ChangeId {
        &self.change
    }

    /// Returns the revision the change makes.
    pub fn revision(&self) -> ids::RevisionNumber {
        self.revision
    }
}

impl ConfigurationChange<PlannedState> {
    /// Returns the document to be written.
    pub fn document(&self) -> &types::ConfigurationDocument {
        &self.state.document
    }

    /// Returns the latest changes to be written, this one last.
    pub fn recent(&self) -> &[types::ChangeRecord] {
        &self.state.recent
    }

    /// Returns the version of the row that the write depends on; zero if it must be absent.
    pub fn version(&self) -> ids::RowVersion {
        self.state.version
    }

    /// Whether a write was sent whose answer never came.
    pub fn in_doubt(&self) -> bool {
        self.state.unanswered
    }

    /// Notes that the store said that the write took effect.
    pub fn commit(self) -> ConfigurationChange<StagedState> {
        staged(self.change, self.revision)
    }

    /// Notes that a write was sent and no answer came.
    pub fn with_write_in_doubt(mut self) -> Self {
        self.state.unanswered = true;
        self
    }

    /// Draws the conclusion from a head read after the write.
    pub fn resolve(self, head: &StoredHead) -> WriteResolution {
        if let Some(revision) = head.made(&self.change) {
            return WriteResolution::Staged(staged(self.change, revision));
        }
        if head.revision() >= self.revision {
            return WriteResolution::Conflict(head.record());
        }
        WriteResolution::Unresolved(self)
    }
}

impl ConfigurationChange<StagedState> {
    /// Sets the nodes that can still be serving, by name or address.
    pub fn with_required_nodes(mut self, expected: IndexSet<ids::Text>) -> Self {
        self.state.expected = expected;
        self
    }

    /// Notes that a node has this revision in force; any older one changes nothing.
    pub fn confirm(&mut self, node: &ids::Text, revision: ids::RevisionNumber) {
        if revision >= self.revision {
            self.state.confirmed.insert(node.clone());
        }
    }

    /// Returns the nodes that have not confirmed.
    pub fn missing(&self) -> impl Iterator<Item = &ids::Text> {
        self.state.expected.difference(&self.state.confirmed)
    }

    /// Accepts the change once every node expected has confirmed, and at least one.
    pub fn accept(self) -> AcceptanceStep {
        if self.state.confirmed.is_empty() || self.missing().next().is_some() {
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
