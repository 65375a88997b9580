//! Registered endpoints, with this node's own measurements of each.
//!
//! The choice of an endpoint uses only what the node measured itself: its calls in flight, response
//! times and failures. An endpoint without measurements counts as average. Measurements decay, so
//! that an endpoint that was slow for a while is tried again.

use crate::{
    directory_endpoint, endpoint_intake, endpoint_selection, rendezvous, rollout_decider,
    service_versions, tried_endpoints, version_exposure,
};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::{net, time};

/// Processes not registered now whose own word is kept, in case their registration comes back.
const MAX_DEPARTED: usize = 4096;

/// Start of a process that does not state it, and that a later one can't be told from.
const UNKNOWN_START: u64 = 0;

/// Outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The endpoint answered.
    Served,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint was full and refused the request.
    Full,
    /// The endpoint could not be reached, or the connection broke.
    Unreachable,
    /// Another endpoint has the address now, or this one is shutting down.
    Gone,
    /// The caller no longer waits for the answer.
    Cancelled,
}

/// Cold start assumed for an endpoint that was not registered before.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Minimum time for which the endpoint counts as cold.
    pub cold: time::Duration,
    /// Whether the endpoint was registered before this node started.
    pub at_start: bool,
}

/// Requirements and preferences of a request for its endpoint.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'query> {
    /// Service that runs the request.
    pub service: &'query ids::ServiceName,
    /// Route of the request.
    pub route: &'query ids::Text,
    /// Regions that may run the request; `None` allows all.
    pub regions: Option<&'query [ids::RegionId]>,
    /// Region of the request's inputs; endpoints there are preferred.
    pub preferred_region: &'query ids::RegionId,
    /// Availability zone of this node.
    pub zone: &'query ids::ZoneId,
    /// Endpoints that were already tried.
    pub tried: &'query [ids::EndpointId],
    /// An endpoint that may be tried once more, if no other is left.
    pub second_try: Option<tried_endpoints::SecondTry<'query>>,
    /// Endpoint at which the request was placed; it is chosen if nothing excludes it.
    pub placed: Option<&'query ids::EndpointId>,
    /// Hash of the prompt prefix, which an endpoint may have cached.
    pub prefix: Option<ids::PrefixHash>,
    /// Maximum requests per second from this node to a cold endpoint.
    pub cold_rate: u32,
    /// Present time.
    pub now: time::Instant,
}

/// An endpoint chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenEndpoint {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Region of the endpoint.
    pub region: ids::RegionId,
    /// Start of its process, which tells it from a later one of the same name.
    pub started_at_ms: u64,
    /// Version of its software.
    pub version: ids::SoftwareVersion,
    /// Whether it was cold when it was chosen.
    pub cold: bool,
}

/// Number of endpoints in each condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// All endpoints.
    pub known: usize,
    /// Those that leave.
    pub leaving: usize,
    /// Those that asked for a pause.
    pub paused: usize,
    /// Those that are avoided after a failure or while they are full.
    pub backing_off: usize,
    /// Those that are cold.
    pub cold: usize,
}

/// One process of an endpoint: its name and its start.
type EndpointProcess = (ids::EndpointId, u64);

/// Endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    endpoints: IndexMap<ids::EndpointId, directory_endpoint::DirectoryEndpoint>,
    departed: IndexMap<EndpointProcess, endpoint_intake::EndpointIntake>,
    zones: IndexMap<ids::ZoneId, ids::RegionId>,
    zones_out: IndexSet<ids::ZoneId>,
    versions: service_versions::ServiceVersions,
}

impl EndpointDirectory {
    /// Creates an empty directory; `zones` holds the region of each availability zone.
    pub fn new(zones: IndexMap<ids::ZoneId, ids::RegionId>) -> Self {
        Self { zones, ..Self::default() }
    }

    /// Adds or updates a registered endpoint. `cold_start` applies if the endpoint is new or has
    /// restarted. What the same process has said of its intake stays in force, also after
    /// [`EndpointDirectory::remove`]: an outage of the store may remove a registration for a while,
    /// and an outdated read may bring back that of the process before. So does a registration as
    /// leaving, since a store that comes back from a copy has an earlier one of the same process.
    pub fn insert(
        &mut self,
        registration: types::EndpointRegistration,
        cold_start: ColdStart,
        now: time::Instant,
    ) {
        let process = (registration.endpoint.clone(), registration.started_at_ms);
        let leaving = registration.leaving && registration.started_at_ms != UNKNOWN_START;
        match self.endpoints.get_mut(&registration.endpoint) {
            Some(known) if known.is_same_process(&registration) => {
                if !registration.cold_time_left.is_zero() {
                    known.set_cold(registration.cold_time_left, now);
                }
                known.registration = registration;
            }
            _ => self.insert_process(registration, cold_start, now),
        }
        if leaving {
            let notice = endpoint_intake::IntakeNotice { leaving, ..Default::default() };
            self.record_notice(&process.0, process.1, notice, now);
        }
    }

    fn insert_process(
        &mut self,
        registration: types::EndpointRegistration,
        cold_start: ColdStart,
        now: time::Instant,
    ) {
        let cold_time_left = registration.cold_time_left.max(cold_start.cold);
        let registration = types::EndpointRegistration { cold_time_left, ..registration };
        let process = (registration.endpoint.clone(), registration.started_at_ms);
        self.remove(&process.0, now);
        let (service, version) = (&registration.service, &registration.version);
        self.versions.add(service, version, cold_start.at_start, now);
        let mut added = directory_endpoint::DirectoryEndpoint::new(registration, now);
        added.intake = self.departed.shift_remove(&process).unwrap_or_default();
        self.endpoints.insert(process.0, added);
    }

    /// Whether a registration is certainly newer than the known one of the endpoint: it is of a
    /// later process, or of the same that now leaves.
    pub fn is_newer(&self, registration: &types::EndpointRegistration) -> bool {
        let Some(known) = self.endpoints.get(&registration.endpoint) else { return false };
        let known_start = known.registration.started_at_ms;
        let is_later = known_start != UNKNOWN_START && registration.started_at_ms > known_start;
        let leaves = registration.leaving && !known.registration.leaving;
        is_later || (leaves && registration.started_at_ms == known_start)
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &ids::EndpointId, now: time::Instant) {
        let Some(removed) = self.endpoints.shift_remove(endpoint) else { return };
        self.versions.remove(&removed.registration.service, &removed.registration.version);
        let process = (endpoint.clone(), removed.registration.started_at_ms);
        self.keep_departed(process, removed.intake, now);
    }

    fn keep_departed(
        &mut self,
        process: EndpointProcess,
        intake: endpoint_intake::EndpointIntake,
        now: time::Instant,
    ) {
        if intake.is_open(now) {
            return;
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
        self.departed.insert(process, intake);
    }

    /// Applies what an answer of an endpoint, whose process started at `started_at_ms`, says about
    /// further requests; returns the change, if it made one. Another process that is registered
    /// under the name is not meant and not changed.
    pub fn record_notice(
        &mut self,
        endpoint: &ids::EndpointId,
        started_at_ms: u64,
        notice: endpoint_intake::IntakeNotice,
        now: time::Instant,
    ) -> Option<endpoint_intake::IntakeChange> {
        if let Some(known) = self.process_mut(endpoint, started_at_ms) {
            return known.intake.apply(notice, now);
        }
        let process = (endpoint.clone(), started_at_ms);
        let mut intake = self.departed.shift_remove(&process).unwrap_or_default();
        let change = intake.apply(notice, now);
        self.keep_departed(process, intake, now);
        change.filter(|_| !self.endpoints.contains_key(endpoint))
    }

    fn process_mut(
        &mut self,
        endpoint: &ids::EndpointId,
        started_at_ms: u64,
    ) -> Option<&mut directory_endpoint::DirectoryEndpoint> {
        let known = self.endpoints.get_mut(endpoint);
        known.filter(|known| known.registration.started_at_ms == started_at_ms)
    }

    /// Sets how long an endpoint remains cold, as stated in one of its answers.
    pub fn set_cold(
        &mut self,
        endpoint: &ids::EndpointId,
        cold: time::Duration,
        now: time::Instant,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.set_cold(cold, now);
        }
    }

    /// Returns the start of the process of an endpoint; zero if it is not registered.
    pub fn started_at_ms(&self, endpoint: &ids::EndpointId) -> u64 {
        self.endpoints.get(endpoint).map_or(0, |known| known.registration.started_at_ms)
    }

    /// Returns the name and the start of the process at an address; `None` if several endpoints are
    /// registered there, as when an address has been assigned anew.
    pub fn process_at(&self, address: net::SocketAddr) -> Option<(ids::EndpointId, u64)> {
        let mut at = self.endpoints.values().filter(|one| one.registration.address == address);
        let known = &at.next()?.registration;
        at.next().is_none().then(|| (known.endpoint.clone(), known.started_at_ms))
    }

    /// Returns the endpoint at an address.
    pub fn at(&self, address: net::SocketAddr) -> Option<&directory_endpoint::DirectoryEndpoint> {
        self.endpoints.values().find(|endpoint| endpoint.registration.address == address)
    }

    /// Sets whether an availability zone is out of service.
    pub fn set_zone_out(&mut self, zone: ids::ZoneId, out: bool) {
        if out {
            self.zones_out.insert(zone);
        } else {
            self.zones_out.shift_remove(&zone);
        }
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &directory_endpoint::DirectoryEndpoint> {
        self.endpoints.values()
    }

    /// Returns the availability zone of the endpoint at an address.
    pub fn zone_at(&self, address: net::SocketAddr) -> Option<&ids::ZoneId> {
        self.at(address).map(|endpoint| &endpoint.registration.zone)
    }

    /// Returns the availability zone of the endpoint in a region that most likely has a prompt
    /// prefix cached.
    pub fn affinity_zone(
        &self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
        prefix: ids::PrefixHash,
        now: time::Instant,
    ) -> Option<ids::ZoneId> {
        let usable = self.usable(service, Some(region), now);
        let score = |one: &&directory_endpoint::DirectoryEndpoint| {
            rendezvous::prefix_score(prefix, &one.registration.endpoint)
        };
        usable.max_by_key(score).map(|one| one.registration.zone.clone())
    }

    /// Returns how many endpoints there are, and how many are passed over for what reason.
    pub fn counts(&self, now: time::Instant) -> EndpointCounts {
        let count = |belongs: &dyn Fn(&directory_endpoint::DirectoryEndpoint) -> bool| {
            self.endpoints.values().filter(|endpoint| belongs(endpoint)).count()
        };
        EndpointCounts {
            known: self.endpoints.len(),
            leaving: count(&|endpoint| endpoint.is_leaving()),
            paused: count(&|endpoint| endpoint.paused_until(now).is_some()),
            backing_off: count(&|endpoint| endpoint.is_backing_off(now)),
            cold: count(&|endpoint| endpoint.is_cold(now)),
        }
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the directory has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the region of an availability zone.
    pub fn region(&self, zone: &ids::ZoneId) -> ids::RegionId {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Returns why an endpoint takes no request at all at present, whatever the request.
    pub fn closed(
        &self,
        endpoint: &directory_endpoint::DirectoryEndpoint,
        now: time::Instant,
    ) -> Option<endpoint_selection::SkipReason> {
        let zone_out = self.zones_out.contains(&endpoint.registration.zone);
        endpoint_selection::SkipReason::of_endpoint(endpoint, zone_out, now).or_else(|| {
            let (service, version) =
                (&endpoint.registration.service, &endpoint.registration.version);
            let closed = self.versions.is_closed(service, version, now);
            closed.then_some(endpoint_selection::SkipReason::OtherVersion)
        })
    }

    /// Returns the versions of the services' software.
    pub fn versions(&self) -> &service_versions::ServiceVersions {
        &self.versions
    }

    /// Returns the versions of the services' software, to change their rules.
    pub fn versions_mut(&mut self) -> &mut service_versions::ServiceVersions {
        &mut self.versions
    }

    /// Returns whether an endpoint may get a call to a stage service now, which counts the calls that
    /// it starts by [`EndpointDirectory::record_stage_call`].
    pub fn admits_stage_call(
        &self,
        endpoint: &directory_endpoint::DirectoryEndpoint,
        now: time::Instant,
    ) -> bool {
        let service = &endpoint.registration.service;
        let Some(turn) = self.versions.turn(service, service) else { return true };
        if endpoint.registration.version != *turn.to {
            return true;
        }
        let region = self.region(&endpoint.registration.zone);
        let canaries =
            endpoint_selection::canaries(self.usable(service, Some(&region), now), &turn);
        turn.admits && canaries.contains(&endpoint.registration.endpoint)
    }

    /// Counts a call to an endpoint of a stage service.
    pub fn record_stage_call(&mut self, endpoint: &ids::EndpointId) {
        let Some(known) = self.endpoints.get(endpoint) else { return };
        let (service, version) = (&known.registration.service, &known.registration.version);
        self.versions.record_request(service, version);
    }

    /// Returns the endpoints of a service by version, for the roll-out to `to`; `share` is the share
    /// of the requests that it gets.
    pub fn version_capacity(
        &self,
        service: &ids::ServiceName,
        to: &ids::SoftwareVersion,
        share: f64,
        now: time::Instant,
    ) -> rollout_decider::VersionCapacity {
        let mut capacity = rollout_decider::VersionCapacity::default();
        let (mut new, mut old) = (0, 0);
        for endpoint in self.endpoints.values() {
            if endpoint.registration.service != *service || endpoint.is_leaving() {
                continue;
            }
            let slots = endpoint.registration.slots;
            if endpoint.registration.version != *to {
                old += 1;
                capacity.old_slots += slots;
            } else if !endpoint.is_cold(now) {
                new += 1;
                capacity.new_slots += slots;
            }
        }
        capacity.canaries = version_exposure::canary_count(share, old).min(new);
        capacity
    }

    /// Returns the requests of this node in flight at endpoints of other versions than `to`.
    pub fn old_running(&self, service: &ids::ServiceName, to: &ids::SoftwareVersion) -> u64 {
        let old = self
            .endpoints
            .values()
            .filter(|one| one.registration.service == *service && one.registration.version != *to);
        old.map(|one| u64::from(one.running)).sum()
    }

    /// Returns the version of an endpoint's software; none if it is not registered.
    pub fn version(&self, endpoint: &ids::EndpointId) -> Option<ids::SoftwareVersion> {
        self.endpoints.get(endpoint).map(|known| known.registration.version.clone())
    }

    /// Returns the endpoints of a service that take requests now or after a pause, in one region
    /// or in all.
    pub fn usable<'directory>(
        &'directory self,
        service: &'directory str,
        region: Option<&'directory ids::RegionId>,
        now: time::Instant,
    ) -> impl Iterator<Item = &'directory directory_endpoint::DirectoryEndpoint> {
        use endpoint_selection::SkipReason;
        self.endpoints.values().filter(move |endpoint| {
            *endpoint.registration.service == *service
                && matches!(self.closed(endpoint, now), None | Some(SkipReason::Paused(_)))
                && region.is_none_or(|region| self.region(&endpoint.registration.zone) == *region)
        })
    }

    /// Returns when a service whose endpoints in a region have all asked for a pause takes requests
    /// again; `None` if it takes some now, or has no endpoint there.
    pub fn resumes_at(
        &self,
        service: &str,
        region: Option<&ids::RegionId>,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let ends = self.usable(service, region, now).map(|endpoint| endpoint.paused_until(now));
        ends.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Whether there is an endpoint to choose.
    pub fn has_endpoint(&self, query: &EndpointQuery<'_>) -> bool {
        endpoint_selection::EndpointSelection::new(self, query).choose().is_some()
    }

    /// Chooses an endpoint and counts a call in flight to it.
    pub fn start_call(&mut self, query: &EndpointQuery<'_>) -> Option<ChosenEndpoint> {
        let chosen = endpoint_selection::EndpointSelection::new(self, query).choose()?;
        let name = chosen.registration.endpoint.clone();
        let region = self.region(&chosen.registration.zone);
        let endpoint = self.endpoints.get_mut(&name)?;
        endpoint.running += 1;
        let cold = endpoint.is_cold(query.now);
        if cold {
            endpoint.record_cold_call(query.now);
        }
        let version = endpoint.registration.version.clone();
        self.versions.record_request(query.service, &version);
        Some(ChosenEndpoint {
            version,
            cold,
            endpoint: name,
            address: endpoint.registration.address,
            region,
            started_at_ms: endpoint.registration.started_at_ms,
        })
    }

    /// Returns why the endpoint that was chosen for a call must not get it any more: changes may have
    /// come while its connection was opened. `regions` are those allowed now; `None` allows all.
    pub fn withdrawn(
        &self,
        chosen: &ChosenEndpoint,
        regions: Option<&[ids::RegionId]>,
        now: time::Instant,
    ) -> Option<endpoint_selection::SkipReason> {
        use endpoint_selection::SkipReason;
        if regions.is_some_and(|regions| !regions.contains(&chosen.region)) {
            return Some(SkipReason::OtherRegion);
        }
        let known = self.endpoints.get(&chosen.endpoint);
        let known = known.filter(|one| one.registration.started_at_ms == chosen.started_at_ms);
        known.map_or(Some(SkipReason::Removed), |endpoint| self.closed(endpoint, now))
    }

    /// Returns why the endpoints of a request's service are passed over.
    pub fn skipped(&self, query: &EndpointQuery<'_>) -> endpoint_selection::SkipSummary {
        endpoint_selection::EndpointSelection::new(self, query).skipped()
    }

    /// Ends a call that [`EndpointDirectory::start_call`] counted, and records its measurements,
    /// unless another process has taken the place of the one called, which started at
    /// `started_at_ms`.
    pub fn finish_call(
        &mut self,
        endpoint: &ids::EndpointId,
        started_at_ms: u64,
        outcome: AttemptOutcome,
        took: time::Duration,
        now: time::Instant,
    ) {
        let Some(known) = self.process_mut(endpoint, started_at_ms) else { return };
        known.running = known.running.saturating_sub(1);
        known.record_call(outcome, took, now);
    }
}
