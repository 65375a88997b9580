//! Which versions of a service's software get its requests, on one node.
//!
//! A version that appears beside others gets nothing until a roll-out to it is known, or none has
//! come for a while. During a roll-out a [`TrafficRule`] divides the requests.

use crate::version_exposure;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time for which a version that appears beside others waits for its roll-out to be known.
const ORDER_WAIT: time::Duration = time::Duration::from_secs(6);

/// Part of a service's requests that the version under roll-out gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionShare {
    /// None, as this node does not know the state of the roll-out. If the service has no other
    /// version left, the roll-out has ended with this one, and it gets all.
    Unknown,
    /// None.
    Nothing,
    /// This share, above zero and below one.
    Part(f64),
    /// All.
    All,
}

/// Division of a service's requests among its versions.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficRule {
    /// Version under roll-out.
    pub to: ids::SoftwareVersion,
    /// Its part of the requests.
    pub share: VersionShare,
    /// Versions whose roll-outs did not succeed.
    pub withdrawn: Vec<ids::SoftwareVersion>,
    /// Routes of which the version under roll-out has had the fewest requests.
    pub scarce: Vec<ids::Text>,
}

impl TrafficRule {
    /// Creates the rule that follows from the state of a roll-out; none if it is not known.
    pub fn new(order: &types::RolloutOrder, record: Option<&types::RolloutRecord>) -> Self {
        let share = match record {
            None => VersionShare::Unknown,
            Some(record) => match record.phase {
                types::RolloutPhase::RolledBack => VersionShare::Nothing,
                types::RolloutPhase::Done => VersionShare::All,
                _ if record.share >= 1.0 => VersionShare::All,
                _ => VersionShare::Part(record.share),
            },
        };
        let withdrawn = record.map(|record| record.withdrawn.clone()).unwrap_or_default();
        Self { to: order.to.clone(), share, withdrawn, scarce: Vec::new() }
    }
}

/// How the next request of a service is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionTurn<'versions> {
    /// Version under roll-out.
    pub to: &'versions ids::SoftwareVersion,
    /// Share of the requests that it gets.
    pub share: f64,
    /// Whether this request may go to it.
    pub admits: bool,
}

#[derive(Clone, Debug)]
struct RegisteredVersion {
    endpoints: usize,
    /// When it appeared beside other versions; none if it was there from the start.
    appeared_at: Option<time::Instant>,
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    registered: IndexMap<ids::SoftwareVersion, RegisteredVersion>,
    rule: Option<TrafficRule>,
    budget: version_exposure::ExposureBudget,
}

impl Default for ServiceEntry {
    fn default() -> Self {
        let budget = version_exposure::ExposureBudget::new(0.0);
        Self { registered: IndexMap::new(), rule: None, budget }
    }
}

/// Versions of all services.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    services: IndexMap<ids::ServiceName, ServiceEntry>,
    /// Whether versions that appear beside others wait for a roll-out.
    has_rollouts: bool,
}

impl ServiceVersions {
    /// Makes versions that appear beside others wait for a roll-out.
    pub fn enable_rollouts(&mut self) {
        self.has_rollouts = true;
    }

    /// Adds an endpoint of a version.
    pub fn add(
        &mut self,
        service: &ids::ServiceName,
        version: &ids::SoftwareVersion,
        at_start: bool,
        now: time::Instant,
    ) {
        let entry = self.services.entry(service.clone()).or_default();
        let is_beside =
            entry.registered.iter().any(|(other, known)| other != version && known.endpoints > 0);
        let known = entry.registered.entry(version.clone()).or_insert_with(|| {
            let appeared_at = (is_beside && !at_start).then_some(now);
            RegisteredVersion { endpoints: 0, appeared_at }
        });
        known.endpoints += 1;
    }

    /// Removes an endpoint of a version.
    pub fn remove(&mut self, service: &ids::ServiceName, version: &ids::SoftwareVersion) {
        let Some(entry) = self.services.get_mut(service) else { return };
        let Some(known) = entry.registered.get_mut(version) else { return };
        known.endpoints = known.endpoints.saturating_sub(1);
        if known.endpoints == 0 {
            entry.registered.shift_remove(version);
        }
    }

    /// Sets the rule of a service. `credit` is what the budget of a new roll-out starts with, as
    /// [`version_exposure::starting_credit`] returns it.
    pub fn set_rule(&mut self, service: &ids::ServiceName, rule: TrafficRule, credit: f64) {
        let entry = self.services.entry(service.clone()).or_default();
        if entry.rule.as_ref().is_none_or(|known| known.to != rule.to) {
            entry.budget = version_exposure::ExposureBudget::new(credit);
        }
        entry.budget.set_share(match rule.share {
            VersionShare::Unknown | VersionShare::Nothing => 0.0,
            VersionShare::Part(share) => share,
            VersionShare::All => 1.0,
        });
        entry.budget.set_scarce(rule.scarce.clone());
        entry.rule = Some(rule);
    }

    /// Returns whether a version of a service gets no requests at all at present.
    pub fn is_closed(
        &self,
        service: &ids::ServiceName,
        version: &ids::SoftwareVersion,
        now: time::Instant,
    ) -> bool {
        let Some(entry) = self.services.get(service) else { return false };
        let Some(rule) = &entry.rule else {
            return self.has_rollouts && entry.waits_for_order(version, now);
        };
        if rule.withdrawn.contains(version) {
            return true;
        }
        match rule.share {
            VersionShare::Unknown => *version == rule.to && entry.has_other(version),
            VersionShare::Nothing => *version == rule.to,
            VersionShare::Part(_) => false,
            VersionShare::All => *version != rule.to,
        }
    }

    /// Returns how the next request of a service, of this route, is divided; none if it is not.
    pub fn turn(&self, service: &ids::ServiceName, route: &str) -> Option<VersionTurn<'_>> {
        let entry = self.services.get(service)?;
        let rule = entry.rule.as_ref()?;
        let VersionShare::Part(share) = rule.share else { return None };
        Some(VersionTurn { to: &rule.to, share, admits: entry.budget.admits(route) })
    }

    /// Returns the version under roll-out of a service.
    pub fn version_under_rollout(
        &self,
        service: &ids::ServiceName,
    ) -> Option<&ids::SoftwareVersion> {
        self.services.get(service)?.rule.as_ref().map(|rule| &rule.to)
    }

    /// Counts a request that is sent to an endpoint of a version.
    pub fn record_request(&mut self, service: &ids::ServiceName, version: &ids::SoftwareVersion) {
        let Some(entry) = self.services.get_mut(service) else { return };
        let Some(rule) = &entry.rule else { return };
        entry.budget.record(*version == rule.to);
    }
}

impl ServiceEntry {
    fn has_other(&self, version: &ids::SoftwareVersion) -> bool {
        self.registered.iter().any(|(other, known)| other != version && known.endpoints > 0)
    }

    /// Returns whether a version appeared beside others so lately that the order of its roll-out may
    /// not be known yet.
    fn waits_for_order(&self, version: &ids::SoftwareVersion, now: time::Instant) -> bool {
        let waits = |known: &RegisteredVersion| {
            known.appeared_at.is_some_and(|at| now.saturating_duration_since(at) < ORDER_WAIT)
        };
        let Some(known) = self.registered.get(version) else { return false };
        let is_settled = |other: &RegisteredVersion| !waits(other) && other.endpoints > 0;
        waits(known) && self.registered.values().any(is_settled)
    }
}
