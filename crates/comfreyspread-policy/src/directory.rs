//! Endpoints that have registered themselves, and what this node has seen of each.
//!
//! Choices use only what the node saw itself: its calls in flight, how long answers took, how many
//! failed. What is unknown counts as average, and old impressions fade, so that an endpoint which
//! was slow for a while gets another chance.

use crate::rendezvous;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::{net, time};

/// Weight of the newest answer in an endpoint's average.
const NEW_WEIGHT: f64 = 0.2;
/// Time in which an impression loses half of its weight.
const FADE_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Time that an answer is taken to need before any has come.
const UNKNOWN_TIME: time::Duration = time::Duration::from_millis(100);
/// Time that a failed call costs in a choice, beside its own.
const FAILURE_COST: time::Duration = time::Duration::from_millis(600);
/// How long an endpoint that refuses connections is passed over.
const REST_AFTER_UNREACHABLE: time::Duration = time::Duration::from_millis(800);
/// How long an endpoint that is full is passed over.
const REST_AFTER_FULL: time::Duration = time::Duration::from_millis(150);
/// Further way to an endpoint of another zone of the region.
const ZONE_COST: time::Duration = time::Duration::from_millis(4);
/// Further way to an endpoint of another region.
const REGION_COST: time::Duration = time::Duration::from_millis(60);
/// Requests beyond the average that an endpoint takes for the sake of what it has cached.
const AFFINE_SPARE: f64 = 6.0;
/// Share of the average load up to which an endpoint takes requests for what it has cached.
const AFFINE_FACTOR: f64 = 1.5;
/// Window in which requests to a cold endpoint are counted.
const COLD_WINDOW: time::Duration = time::Duration::from_millis(1100);
const MICROS_PER_SECOND: f64 = 1e6;

/// How a call ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It was answered.
    Served,
    /// It failed at the endpoint.
    Failed,
    /// The endpoint had no place for it.
    Full,
    /// The endpoint could not be reached, or went away.
    Unreachable,
    /// Another endpoint has the address now, or this one is leaving.
    Gone,
    /// Nobody wants the answer any more.
    Cancelled,
}

/// An endpoint and what was seen of it.
#[derive(Debug)]
pub struct DirectoryEndpoint {
    /// What it registered.
    pub entry: types::EndpointEntry,
    /// Calls of this node in flight there.
    pub running: u32,
    cold_until: Option<time::Instant>,
    resting_until: Option<time::Instant>,
    leaving: bool,
    took: Option<f64>,
    failures: f64,
    noted: time::Instant,
    cold_calls: Vec<time::Instant>,
}

impl DirectoryEndpoint {
    fn new(entry: types::EndpointEntry, now: time::Instant) -> Self {
        let cold_until = (!entry.cold.is_zero()).then(|| now + entry.cold);
        Self {
            entry,
            running: 0,
            cold_until,
            resting_until: None,
            leaving: false,
            took: None,
            failures: 0.0,
            noted: now,
            cold_calls: Vec::new(),
        }
    }

    /// Whether it takes requests at all.
    pub fn accepts_requests(&self) -> bool {
        !self.entry.leaving && !self.leaving
    }

    fn is_resting(&self, now: time::Instant) -> bool {
        self.resting_until.is_some_and(|until| until > now)
    }

    /// Whether it bears only few requests.
    pub fn is_cold(&self, now: time::Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Returns the calls of this node in the last second, while the endpoint was cold.
    fn cold_calls(&self, now: time::Instant) -> u32 {
        let recent = |call: &&time::Instant| now.saturating_duration_since(**call) < COLD_WINDOW;
        u32::try_from(self.cold_calls.iter().filter(recent).count()).unwrap_or(u32::MAX)
    }

    fn note_cold_call(&mut self, now: time::Instant) {
        self.cold_calls.retain(|call| now.saturating_duration_since(*call) < COLD_WINDOW);
        self.cold_calls.push(now);
    }

    fn fade(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.noted).as_secs_f64();
        0.5_f64.powf(age / FADE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the time that an answer is expected to take, given what is usual for the service.
    fn expected(&self, usual: f64, now: time::Instant) -> f64 {
        let fade = self.fade(now);
        let took = self.took.unwrap_or(usual) * fade + usual * (1.0 - fade);
        let busy = f64::from(self.running) / f64::from(self.entry.slots.max(1));
        took * (1.0 + busy) + self.failures * fade * FAILURE_COST.as_secs_f64()
    }
}

/// What is known of an endpoint that has not been there before.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// How long it counts as cold at least.
    pub cold: time::Duration,
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'query> {
    /// Service that runs it.
    pub service: &'query ids::EndpointService,
    /// Regions that may run it; none if all may.
    pub regions: Option<&'query [ids::RegionId]>,
    /// Region whose endpoints are near what the request is made of.
    pub home: &'query ids::RegionId,
    /// Availability zone of this node.
    pub zone: &'query ids::ZoneId,
    /// Endpoints that have been tried.
    pub tried: &'query [ids::EndpointId],
    /// Hash of what an endpoint may have cached for it.
    pub prefix: Option<ids::PrefixHash>,
    /// Requests of this node that a cold endpoint bears in any second.
    pub cold_rate: u32,
    /// Present moment.
    pub now: time::Instant,
}

/// An endpoint chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenEndpoint {
    /// Its name.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its region.
    pub region: ids::RegionId,
}

/// Endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    endpoints: IndexMap<ids::EndpointId, DirectoryEndpoint>,
    zones: IndexMap<ids::ZoneId, ids::RegionId>,
    zones_out: IndexSet<ids::ZoneId>,
}

impl EndpointDirectory {
    /// Creates a directory of no endpoint.
    pub fn new(zones: IndexMap<ids::ZoneId, ids::RegionId>) -> Self {
        Self { zones, ..Self::default() }
    }

    /// Takes in what an endpoint registered.
    pub fn insert(&mut self, entry: types::EndpointEntry, sight: ColdStart, now: time::Instant) {
        match self.endpoints.get_mut(&entry.endpoint) {
            Some(known) if known.entry.born == entry.born => {
                if !entry.cold.is_zero() {
                    known.cold_until = Some(now + entry.cold);
                }
                known.entry = entry;
            }
            _ => {
                let cold = entry.cold.max(sight.cold);
                let entry = types::EndpointEntry { cold, ..entry };
                let endpoint = entry.endpoint.clone();
                self.endpoints.insert(endpoint, DirectoryEndpoint::new(entry, now));
            }
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, endpoint: &ids::EndpointId) {
        self.endpoints.shift_remove(endpoint);
    }

    /// Sets the availability zones that are out of service.
    pub fn set_zone_out(&mut self, zone: ids::ZoneId, out: bool) {
        if out {
            self.zones_out.insert(zone);
        } else {
            self.zones_out.shift_remove(&zone);
        }
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &DirectoryEndpoint> {
        self.endpoints.values()
    }

    /// Returns the availability zone of the endpoint at an address.
    pub fn zone_at(&self, address: net::SocketAddr) -> Option<&ids::ZoneId> {
        let found = self.endpoints.values().find(|endpoint| endpoint.entry.address == address);
        found.map(|endpoint| &endpoint.entry.zone)
    }

    /// Returns the availability zone of the endpoint in a region that most likely has a prompt's
    /// beginning cached.
    pub fn affinity_zone(
        &self,
        service: &ids::EndpointService,
        region: &ids::RegionId,
        prefix: ids::PrefixHash,
    ) -> Option<ids::ZoneId> {
        let usable = self.usable(service, Some(region));
        let score =
            |one: &&DirectoryEndpoint| rendezvous::prefix_score(prefix, &one.entry.endpoint);
        usable.max_by_key(score).map(|one| one.entry.zone.clone())
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the region of an availability zone.
    pub fn region(&self, zone: &ids::ZoneId) -> ids::RegionId {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Returns the endpoints of a service that may be used, in one region or in all.
    pub fn usable<'directory>(
        &'directory self,
        service: &'directory str,
        region: Option<&'directory ids::RegionId>,
    ) -> impl Iterator<Item = &'directory DirectoryEndpoint> {
        self.endpoints.values().filter(move |endpoint| {
            *endpoint.entry.service == *service
                && endpoint.accepts_requests()
                && !self.zones_out.contains(&endpoint.entry.zone)
                && region.is_none_or(|region| self.region(&endpoint.entry.zone) == *region)
        })
    }

    /// Chooses an endpoint and counts a call to it.
    pub fn start_call(&mut self, query: &EndpointQuery<'_>) -> Option<ChosenEndpoint> {
        let chosen = self.choose(query)?;
        let zone = self.endpoints.get(&chosen)?.entry.zone.clone();
        let region = self.region(&zone);
        let endpoint = self.endpoints.get_mut(&chosen)?;
        endpoint.running += 1;
        if endpoint.is_cold(query.now) {
            endpoint.note_cold_call(query.now);
        }
        Some(ChosenEndpoint { endpoint: chosen, address: endpoint.entry.address, region })
    }

    /// Counts the end of a call and takes note of what it says about the endpoint.
    pub fn finish_call(
        &mut self,
        endpoint: &ids::EndpointId,
        ending: AttemptOutcome,
        took: time::Duration,
        now: time::Instant,
    ) {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return };
        known.running = known.running.saturating_sub(1);
        let fade = known.fade(now);
        match ending {
            AttemptOutcome::Served | AttemptOutcome::Failed => {
                let failed = f64::from(u8::from(ending == AttemptOutcome::Failed));
                known.failures = known.failures * fade * (1.0 - NEW_WEIGHT) + failed * NEW_WEIGHT;
                let took = took.as_micros() as f64 / MICROS_PER_SECOND;
                let before = known.took.unwrap_or(took);
                known.took = Some(before * (1.0 - NEW_WEIGHT) + took * NEW_WEIGHT);
                known.noted = now;
            }
            AttemptOutcome::Full => known.resting_until = Some(now + REST_AFTER_FULL),
            AttemptOutcome::Unreachable => known.resting_until = Some(now + REST_AFTER_UNREACHABLE),
            AttemptOutcome::Gone => known.leaving = true,
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Takes note that an endpoint says how long it remains cold.
    pub fn set_cold(
        &mut self,
        endpoint: &ids::EndpointId,
        cold: time::Duration,
        now: time::Instant,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.cold_until = Some(now + cold);
        }
    }

    fn choose(&self, query: &EndpointQuery<'_>) -> Option<ids::EndpointId> {
        let now = query.now;
        let allowed = |endpoint: &&DirectoryEndpoint| {
            let region = self.region(&endpoint.entry.zone);
            query.regions.is_none_or(|regions| regions.contains(&region))
                && !query.tried.contains(&endpoint.entry.endpoint)
        };
        let usable: Vec<_> = self.usable(query.service, None).filter(allowed).collect();
        let is_awake = |endpoint: &DirectoryEndpoint| !endpoint.is_resting(now);
        let accepts_requests = |endpoint: &DirectoryEndpoint| {
            !endpoint.is_cold(now) || endpoint.cold_calls(now) < query.cold_rate
        };
        let tiers: [&dyn Fn(&DirectoryEndpoint) -> bool; 3] = [
            &|endpoint| !endpoint.is_cold(now) && is_awake(endpoint),
            &|endpoint| accepts_requests(endpoint) && is_awake(endpoint),
            &accepts_requests,
        ];
        let tiers = tiers.into_iter().map(|belongs| {
            usable.iter().copied().filter(|endpoint| belongs(endpoint)).collect::<Vec<_>>()
        });
        let candidates = tiers.into_iter().find(|tier| !tier.is_empty())?;
        self.best(&candidates, query).map(|endpoint| endpoint.entry.endpoint.clone())
    }

    fn best<'directory>(
        &'directory self,
        candidates: &[&'directory DirectoryEndpoint],
        query: &EndpointQuery<'_>,
    ) -> Option<&'directory DirectoryEndpoint> {
        let now = query.now;
        let known = candidates.iter().filter_map(|one| one.took.filter(|_| one.fade(now) > 0.1));
        let usual = known.fold(f64::INFINITY, f64::min);
        let usual = if usual.is_finite() { usual } else { UNKNOWN_TIME.as_secs_f64() };
        let cost = |one: &DirectoryEndpoint| one.expected(usual, now) + self.way(one, query);
        if let Some(prefix) = query.prefix {
            return self.affine(candidates, prefix, &cost, query);
        }
        candidates.iter().min_by(|one, other| cost(one).total_cmp(&cost(other))).copied()
    }

    /// Returns the endpoint that most likely has the prompt's beginning cached, unless it is much
    /// busier or slower than the others.
    fn affine<'directory>(
        &'directory self,
        candidates: &[&'directory DirectoryEndpoint],
        prefix: ids::PrefixHash,
        cost: &dyn Fn(&DirectoryEndpoint) -> f64,
        query: &EndpointQuery<'_>,
    ) -> Option<&'directory DirectoryEndpoint> {
        let at_home = |one: &&&DirectoryEndpoint| self.region(&one.entry.zone) == *query.home;
        let home: Vec<_> = candidates.iter().filter(at_home).copied().collect();
        let group = if home.is_empty() { candidates.to_vec() } else { home };
        let count = f64::from(u32::try_from(group.len()).unwrap_or(1).max(1));
        let load: f64 = group.iter().map(|one| f64::from(one.running)).sum::<f64>() / count;
        let least = group.iter().map(|one| cost(one)).fold(f64::INFINITY, f64::min);
        let bound = load * AFFINE_FACTOR + AFFINE_SPARE;
        let fits = |one: &&&DirectoryEndpoint| {
            f64::from(one.running) <= bound && cost(one) <= least * 2.0 + FAILURE_COST.as_secs_f64()
        };
        let score =
            |one: &&&DirectoryEndpoint| rendezvous::prefix_score(prefix, &one.entry.endpoint);
        let best = group.iter().filter(fits).max_by_key(score);
        best.or_else(|| group.iter().max_by_key(score)).copied()
    }

    fn way(&self, endpoint: &DirectoryEndpoint, query: &EndpointQuery<'_>) -> f64 {
        let zone = &endpoint.entry.zone;
        if zone == query.zone && self.region(zone) == *query.home {
            return 0.0;
        }
        let cost = if self.region(zone) == *query.home { ZONE_COST } else { REGION_COST };
        cost.as_secs_f64()
    }
}
