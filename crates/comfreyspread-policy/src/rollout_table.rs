//! Roll-outs as one node knows them: orders, states and its own evidence.

use crate::{rollout_state, service_versions, version_evidence};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// One roll-out.
#[derive(Debug)]
pub struct RolloutEntry {
    /// The order.
    pub order: types::RolloutOrder,
    /// Position of the order in the store.
    pub position: types::StorePosition,
    /// Whether the operator has taken back the order.
    pub is_cancelled: bool,
    /// Newest state known to be stored.
    pub record: Option<types::RolloutRecord>,
    /// Whether the deciding node wants the version to get nothing more, which is not stored yet.
    pub is_stopped: bool,
    /// Routes of which the version has had the fewest requests.
    pub scarce: Vec<ids::Text>,
    /// What this node has counted.
    pub evidence: version_evidence::VersionEvidence,
}

impl RolloutEntry {
    /// Returns the state, if it is one of this order.
    pub fn current(&self) -> Option<&types::RolloutRecord> {
        let record = self.record.as_ref()?;
        rollout_state::is_of_order(record, &self.order, self.position).then_some(record)
    }

    /// Whether the roll-out is decided.
    pub fn is_decided(&self) -> bool {
        self.current().is_some_and(|record| rollout_state::is_final(record.phase))
    }

    /// Returns the rule by which requests are divided.
    pub fn rule(&self) -> service_versions::TrafficRule {
        let current = self.current();
        let mut rule = service_versions::TrafficRule::new(&self.order, current);
        let is_done = current.is_some_and(|record| record.phase == types::RolloutPhase::Done);
        if (self.is_stopped || self.is_cancelled) && !is_done {
            rule.share = service_versions::VersionShare::Nothing;
        }
        if current.is_none()
            && let Some(record) = &self.record
            && record.phase != types::RolloutPhase::Done
        {
            rule.withdrawn = record.withdrawn.clone();
            rule.withdrawn.push(record.to.clone());
            rule.withdrawn.retain(|version| *version != self.order.to);
        }
        rule.scarce = self.scarce.clone();
        rule
    }
}

/// Roll-outs by service.
#[derive(Debug, Default)]
pub struct RolloutTable {
    services: IndexMap<ids::ServiceName, RolloutEntry>,
}

impl RolloutTable {
    /// Sets the order of a service; evidence of another order is dropped. Returns whether that
    /// changed anything.
    pub fn set_order(
        &mut self,
        order: types::RolloutOrder,
        position: types::StorePosition,
    ) -> bool {
        if let Some(known) = self.services.get_mut(&order.service)
            && known.order.to == order.to
            && (known.position.era != position.era || !known.is_decided())
        {
            let is_same = known.order == order && !known.is_cancelled;
            known.order = order;
            known.position = position;
            known.is_cancelled = false;
            return !is_same;
        }
        let record = self.services.get(&order.service).and_then(|known| known.record.clone());
        let entry = RolloutEntry {
            position,
            is_cancelled: false,
            record,
            is_stopped: false,
            scarce: Vec::new(),
            evidence: version_evidence::VersionEvidence::default(),
            order,
        };
        self.services.insert(entry.order.service.clone(), entry);
        true
    }

    /// Records that the operator has taken back the order of a service.
    pub fn cancel_order(&mut self, service: &str) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.is_cancelled = true;
        }
    }

    /// Applies a state that is known to be stored, and returns whether it is a later one.
    pub fn apply_record(&mut self, record: types::RolloutRecord) -> bool {
        let Some(entry) = self.services.get_mut(&record.service) else { return false };
        let before = entry.record.as_ref().map(|record| record.revision);
        entry.record = Some(rollout_state::later(entry.record.take(), record));
        entry.record.as_ref().map(|record| record.revision) != before
    }

    /// Returns the roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutEntry> {
        self.services.get(service)
    }

    /// Returns the roll-out of a service, to change it.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut RolloutEntry> {
        self.services.get_mut(service)
    }

    /// Returns all roll-outs.
    pub fn entries(&self) -> impl Iterator<Item = &RolloutEntry> {
        self.services.values()
    }

    /// Returns the roll-out of a service if it is not decided, with whether a version is the new one.
    pub fn undecided(
        &mut self,
        service: &str,
        version: &str,
    ) -> Option<(&mut version_evidence::VersionEvidence, bool)> {
        let entry = self.services.get_mut(service)?;
        let is_new = *entry.order.to == *version;
        (!entry.is_decided()).then_some((&mut entry.evidence, is_new))
    }
}
