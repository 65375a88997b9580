//! Registered endpoints, with this node's own measurements of each.
//!
//! The choice of an endpoint uses only what the node measured itself: its calls in flight, response
//! times and failures. An endpoint without measurements counts as average. Measurements decay, so
//! that an endpoint that was slow for a while is tried again.

use crate::rendezvous;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::{net, time};

/// Weight of the newest response in the moving averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of measurements.
const DECAY_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Response time assumed before any was measured.
const DEFAULT_RESPONSE_TIME: time::Duration = time::Duration::from_millis(100);
/// Time added to the cost of an endpoint at a failure rate of 1.
const FAILURE_COST: time::Duration = time::Duration::from_millis(600);
/// How long an endpoint that refuses connections is avoided.
const UNREACHABLE_BACKOFF: time::Duration = time::Duration::from_millis(800);
/// How long an endpoint that is full is avoided.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(150);
/// Cost of an endpoint in another zone of the preferred region.
const ZONE_COST: time::Duration = time::Duration::from_millis(4);
/// Cost of an endpoint in another region.
const REGION_COST: time::Duration = time::Duration::from_millis(60);
/// Requests above the scaled average load that an endpoint may run for its cached prefixes.
const AFFINITY_ALLOWANCE: f64 = 6.0;
/// Multiple of the average load up to which an endpoint may run requests for its cached prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;
/// Window for the rate limit of a cold endpoint: one second plus a margin.
const COLD_WINDOW: time::Duration = time::Duration::from_millis(1100);
const MICROS_PER_SECOND: f64 = 1e6;

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

/// A registered endpoint and its measurements.
#[derive(Debug)]
pub struct DirectoryEndpoint {
    /// Registration of the endpoint.
    pub registration: types::EndpointRegistration,
    /// Calls of this node in flight there.
    pub running: u32,
    cold_until: Option<time::Instant>,
    backoff_until: Option<time::Instant>,
    leaving: bool,
    response_s: Option<f64>,
    failure_rate: f64,
    measured_at: time::Instant,
    cold_calls: Vec<time::Instant>,
}

impl DirectoryEndpoint {
    fn new(registration: types::EndpointRegistration, now: time::Instant) -> Self {
        let cold_until =
            (!registration.cold_time_left.is_zero()).then(|| now + registration.cold_time_left);
        Self {
            registration,
            running: 0,
            cold_until,
            backoff_until: None,
            leaving: false,
            response_s: None,
            failure_rate: 0.0,
            measured_at: now,
            cold_calls: Vec::new(),
        }
    }

    /// Whether it accepts requests, that is, is not shutting down.
    pub fn accepts_requests(&self) -> bool {
        !self.registration.leaving && !self.leaving
    }

    fn is_backing_off(&self, now: time::Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Whether it is starting cold and takes requests only at a limited rate.
    pub fn is_cold(&self, now: time::Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Returns the calls of this node within [`COLD_WINDOW`] that were made while the endpoint was
    /// cold.
    fn cold_calls(&self, now: time::Instant) -> u32 {
        let recent = |call: &&time::Instant| now.saturating_duration_since(**call) < COLD_WINDOW;
        u32::try_from(self.cold_calls.iter().filter(recent).count()).unwrap_or(u32::MAX)
    }

    fn record_cold_call(&mut self, now: time::Instant) {
        self.cold_calls.retain(|call| now.saturating_duration_since(*call) < COLD_WINDOW);
        self.cold_calls.push(now);
    }

    /// Returns the weight of the measurements at their present age, from 1 down to 0.
    fn decay(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured_at).as_secs_f64();
        0.5_f64.powf(age / DECAY_HALF_LIFE.as_secs_f64())
    }

    /// Returns the expected response time in seconds, with the cost of failures; `typical` is the
    /// response time assumed where measurements are missing or old.
    fn expected(&self, typical: f64, now: time::Instant) -> f64 {
        let decay = self.decay(now);
        let response = self.response_s.unwrap_or(typical) * decay + typical * (1.0 - decay);
        let utilization = f64::from(self.running) / f64::from(self.registration.slots.max(1));
        response * (1.0 + utilization) + self.failure_rate * decay * FAILURE_COST.as_secs_f64()
    }
}

/// Cold start assumed for an endpoint that was not registered before.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Minimum time for which the endpoint counts as cold.
    pub cold: time::Duration,
}

/// Requirements and preferences of a request for its endpoint.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'query> {
    /// Service that runs the request.
    pub service: &'query ids::ServiceName,
    /// Regions that may run the request; `None` allows all.
    pub regions: Option<&'query [ids::RegionId]>,
    /// Region of the request's inputs; endpoints there are preferred.
    pub preferred_region: &'query ids::RegionId,
    /// Availability zone of this node.
    pub zone: &'query ids::ZoneId,
    /// Endpoints that were already tried.
    pub tried: &'query [ids::EndpointId],
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
}

/// Endpoints of all services.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    endpoints: IndexMap<ids::EndpointId, DirectoryEndpoint>,
    zones: IndexMap<ids::ZoneId, ids::RegionId>,
    zones_out: IndexSet<ids::ZoneId>,
}

impl EndpointDirectory {
    /// Creates an empty directory; `zones` holds the region of each availability zone.
    pub fn new(zones: IndexMap<ids::ZoneId, ids::RegionId>) -> Self {
        Self { zones, ..Self::default() }
    }

    /// Adds or updates a registered endpoint. `cold_start` applies if the endpoint is new or has
    /// restarted.
    pub fn insert(
        &mut self,
        registration: types::EndpointRegistration,
        cold_start: ColdStart,
        now: time::Instant,
    ) {
        match self.endpoints.get_mut(&registration.endpoint) {
            Some(known) if known.registration.started_at_ms == registration.started_at_ms => {
                if !registration.cold_time_left.is_zero() {
                    known.cold_until = Some(now + registration.cold_time_left);
                }
                known.registration = registration;
            }
            _ => {
                let cold_time_left = registration.cold_time_left.max(cold_start.cold);
                let registration = types::EndpointRegistration { cold_time_left, ..registration };
                let endpoint = registration.endpoint.clone();
                self.endpoints.insert(endpoint, DirectoryEndpoint::new(registration, now));
            }
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &ids::EndpointId) {
        self.endpoints.shift_remove(endpoint);
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
    pub fn endpoints(&self) -> impl Iterator<Item = &DirectoryEndpoint> {
        self.endpoints.values()
    }

    /// Returns the availability zone of the endpoint at an address.
    pub fn zone_at(&self, address: net::SocketAddr) -> Option<&ids::ZoneId> {
        let found =
            self.endpoints.values().find(|endpoint| endpoint.registration.address == address);
        found.map(|endpoint| &endpoint.registration.zone)
    }

    /// Returns the availability zone of the endpoint in a region that most likely has a prompt
    /// prefix cached.
    pub fn affinity_zone(
        &self,
        service: &ids::ServiceName,
        region: &ids::RegionId,
        prefix: ids::PrefixHash,
    ) -> Option<ids::ZoneId> {
        let usable = self.usable(service, Some(region));
        let score =
            |one: &&DirectoryEndpoint| rendezvous::prefix_score(prefix, &one.registration.endpoint);
        usable.max_by_key(score).map(|one| one.registration.zone.clone())
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

    /// Returns the usable endpoints of a service, in one region or in all.
    pub fn usable<'directory>(
        &'directory self,
        service: &'directory str,
        region: Option<&'directory ids::RegionId>,
    ) -> impl Iterator<Item = &'directory DirectoryEndpoint> {
        self.endpoints.values().filter(move |endpoint| {
            *endpoint.registration.service == *service
                && endpoint.accepts_requests()
                && !self.zones_out.contains(&endpoint.registration.zone)
                && region.is_none_or(|region| self.region(&endpoint.registration.zone) == *region)
        })
    }

    /// Whether there is an endpoint to choose.
    pub fn has_endpoint(&self, query: &EndpointQuery<'_>) -> bool {
        self.choose(query).is_some()
    }

    /// Chooses an endpoint and counts a call in flight to it.
    pub fn start_call(&mut self, query: &EndpointQuery<'_>) -> Option<ChosenEndpoint> {
        let chosen = self.choose(query)?;
        let zone = self.endpoints.get(&chosen)?.registration.zone.clone();
        let region = self.region(&zone);
        let endpoint = self.endpoints.get_mut(&chosen)?;
        endpoint.running += 1;
        if endpoint.is_cold(query.now) {
            endpoint.record_cold_call(query.now);
        }
        Some(ChosenEndpoint { endpoint: chosen, address: endpoint.registration.address, region })
    }

    /// Ends a call that [`EndpointDirectory::start_call`] counted, and records its measurements.
    pub fn finish_call(
        &mut self,
        endpoint: &ids::EndpointId,
        outcome: AttemptOutcome,
        took: time::Duration,
        now: time::Instant,
    ) {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return };
        known.running = known.running.saturating_sub(1);
        let decay = known.decay(now);
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::Failed => {
                let failed = f64::from(u8::from(outcome == AttemptOutcome::Failed));
                known.failure_rate =
                    known.failure_rate * decay * (1.0 - SAMPLE_WEIGHT) + failed * SAMPLE_WEIGHT;
                let took = took.as_micros() as f64 / MICROS_PER_SECOND;
                let average = known.response_s.unwrap_or(took);
                known.response_s = Some(average * (1.0 - SAMPLE_WEIGHT) + took * SAMPLE_WEIGHT);
                known.measured_at = now;
            }
            AttemptOutcome::Full => known.backoff_until = Some(now + FULL_BACKOFF),
            AttemptOutcome::Unreachable => known.backoff_until = Some(now + UNREACHABLE_BACKOFF),
            AttemptOutcome::Gone => known.leaving = true,
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Sets how long an endpoint remains cold, as stated in one of its answers.
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
            let region = self.region(&endpoint.registration.zone);
            query.regions.is_none_or(|regions| regions.contains(&region))
                && !query.tried.contains(&endpoint.registration.endpoint)
        };
        let usable: Vec<_> = self.usable(query.service, None).filter(allowed).collect();
        let is_ready = |endpoint: &DirectoryEndpoint| !endpoint.is_backing_off(now);
        let within_rate = |endpoint: &DirectoryEndpoint| {
            !endpoint.is_cold(now) || endpoint.cold_calls(now) < query.cold_rate
        };
        let tiers: [&dyn Fn(&DirectoryEndpoint) -> bool; 3] = [
            &|endpoint| !endpoint.is_cold(now) && is_ready(endpoint),
            &|endpoint| within_rate(endpoint) && is_ready(endpoint),
            &within_rate,
        ];
        let tiers = tiers.into_iter().map(|belongs| {
            usable.iter().copied().filter(|endpoint| belongs(endpoint)).collect::<Vec<_>>()
        });
        let candidates = tiers.into_iter().find(|tier| !tier.is_empty())?;
        self.best(&candidates, query).map(|endpoint| endpoint.registration.endpoint.clone())
    }

    fn best<'directory>(
        &'directory self,
        candidates: &[&'directory DirectoryEndpoint],
        query: &EndpointQuery<'_>,
    ) -> Option<&'directory DirectoryEndpoint> {
        let now = query.now;
        let recent =
            candidates.iter().filter_map(|one| one.response_s.filter(|_| one.decay(now) > 0.1));
        let typical = recent.fold(f64::INFINITY, f64::min);
        let typical =
            if typical.is_finite() { typical } else { DEFAULT_RESPONSE_TIME.as_secs_f64() };
        let cost = |one: &DirectoryEndpoint| one.expected(typical, now) + self.distance(one, query);
        if let Some(prefix) = query.prefix {
            return self.best_cached(candidates, prefix, &cost, query);
        }
        candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    }

    /// Returns the endpoint that most likely has the prompt prefix cached, among those that are not
    /// much busier or slower than the others.
    fn best_cached<'directory>(
        &'directory self,
        candidates: &[&'directory DirectoryEndpoint],
        prefix: ids::PrefixHash,
        cost: &dyn Fn(&DirectoryEndpoint) -> f64,
        query: &EndpointQuery<'_>,
    ) -> Option<&'directory DirectoryEndpoint> {
        let in_region = |one: &&&DirectoryEndpoint| {
            self.region(&one.registration.zone) == *query.preferred_region
        };
        let preferred: Vec<_> = candidates.iter().filter(in_region).copied().collect();
        let pool = if preferred.is_empty() { candidates.to_vec() } else { preferred };
        let count = f64::from(u32::try_from(pool.len()).unwrap_or(1).max(1));
        let average_load: f64 = pool.iter().map(|one| f64::from(one.running)).sum::<f64>() / count;
        let lowest = pool.iter().map(|one| cost(one)).fold(f64::INFINITY, f64::min);
        let load_limit = average_load * AFFINITY_LOAD_FACTOR + AFFINITY_ALLOWANCE;
        let eligible = |one: &&&DirectoryEndpoint| {
            f64::from(one.running) <= load_limit
                && cost(one) <= lowest * 2.0 + FAILURE_COST.as_secs_f64()
        };
        let score = |one: &&&DirectoryEndpoint| {
            rendezvous::prefix_score(prefix, &one.registration.endpoint)
        };
        let best = pool.iter().filter(eligible).max_by_key(score);
        best.or_else(|| pool.iter().max_by_key(score)).copied()
    }

    /// Returns the cost of the distance to an endpoint, in seconds.
    fn distance(&self, endpoint: &DirectoryEndpoint, query: &EndpointQuery<'_>) -> f64 {
        let zone = &endpoint.registration.zone;
        if zone == query.zone && self.region(zone) == *query.preferred_region {
            return 0.0;
        }
        let cost =
            if self.region(zone) == *query.preferred_region { ZONE_COST } else { REGION_COST };
        cost.as_secs_f64()
    }
}
