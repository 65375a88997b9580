//! Selection of the endpoint for a request: the one place that knows all reasons to pass one over.
//!
//! [`SkipReason`] lists what excludes an endpoint, in the order in which it is examined;
//! [`EndpointTier`] what only makes it a later choice. Within the best tier the cheapest endpoint
//! is chosen, or the one that most likely has the prompt prefix cached. Calls to stage services are
//! planned by [`worker_set`](crate::worker_set) among the endpoints that [`SkipReason::of_endpoint`]
//! leaves. A request whose parts crash endpoints is rejected before an endpoint is selected.

use crate::{
    directory_endpoint, endpoint_directory, rendezvous, service_versions, version_exposure,
};
use comfreyspread_schema::ids;
use std::{fmt, time};

/// Response time assumed before any was measured.
const DEFAULT_RESPONSE_TIME: time::Duration = time::Duration::from_millis(100);
/// Cost of an endpoint in another zone of the preferred region.
const ZONE_COST: time::Duration = time::Duration::from_millis(4);
/// Cost of an endpoint in another region.
const REGION_COST: time::Duration = time::Duration::from_millis(60);
/// Requests above the scaled average load that an endpoint may run for its cached prefixes.
const AFFINITY_ALLOWANCE: f64 = 6.0;
/// Multiple of the average load up to which an endpoint may run requests for its cached prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// Why an endpoint of the service is not selected, in the order of examination.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SkipReason {
    /// Its region may not run the request.
    OtherRegion,
    /// Its registration has been removed since it was chosen, or another process has its name.
    Removed,
    /// Its availability zone is out of service.
    ZoneOut,
    /// It is shutting down, as it registered or said in an answer.
    Leaving,
    /// It asked for no requests until then.
    Paused(time::Instant),
    /// Its version gets no requests of the service at present.
    OtherVersion,
    /// The request was already sent there, or may be sent only to one of those that it was sent to.
    Tried,
    /// It is cold and has had this node's share of requests.
    ColdLimit,
}

impl SkipReason {
    /// Returns the reason that excludes an endpoint whatever the request; `zone_out` tells whether
    /// its availability zone is out of service.
    pub fn of_endpoint(
        endpoint: &directory_endpoint::DirectoryEndpoint,
        zone_out: bool,
        now: time::Instant,
    ) -> Option<Self> {
        if zone_out {
            return Some(Self::ZoneOut);
        }
        if endpoint.is_leaving() {
            return Some(Self::Leaving);
        }
        endpoint.paused_until(now).map(Self::Paused)
    }
}

/// How good a choice an endpoint is; the first comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EndpointTier {
    /// Warm and not avoided.
    Warm,
    /// Cold, with requests left at its rate.
    Cold,
    /// Avoided after a failure or while it is full.
    BackingOff,
    /// Tried before, and open to a second try.
    SecondTry,
}

/// Number of endpoints of a service that were passed over, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SkipSummary {
    /// Endpoints that leave.
    pub leaving: usize,
    /// Endpoints that asked for a pause.
    pub paused: usize,
    /// Cold endpoints without requests left.
    pub cold: usize,
    /// Endpoints passed over for another reason.
    pub other: usize,
    /// Earliest end of a pause, if a pause is all that keeps a new request from the service.
    pub resumes_at: Option<time::Instant>,
}

impl fmt::Display for SkipSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { leaving, paused, cold, other, .. } = self;
        write!(formatter, "{leaving} leaving, {paused} paused, {cold} cold, {other} other")
    }
}

/// Selection among the endpoints of a directory for one request.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSelection<'selection> {
    directory: &'selection endpoint_directory::EndpointDirectory,
    query: &'selection endpoint_directory::EndpointQuery<'selection>,
}

impl<'selection> EndpointSelection<'selection> {
    /// Creates the selection for a request.
    pub fn new(
        directory: &'selection endpoint_directory::EndpointDirectory,
        query: &'selection endpoint_directory::EndpointQuery<'selection>,
    ) -> Self {
        Self { directory, query }
    }

    /// Returns the endpoint to send the request to.
    pub fn choose(&self) -> Option<&'selection directory_endpoint::DirectoryEndpoint> {
        let ranked = self.of_version(self.ranked());
        if let Some(placed) = self.query.placed
            && let Some((_, endpoint)) = ranked.iter().find(|(tier, endpoint)| {
                *tier <= EndpointTier::Cold && endpoint.registration.endpoint == *placed
            })
        {
            return Some(endpoint);
        }
        self.best(&best_tier(ranked))
    }

    /// Returns each endpoint of the service, and the reason that excludes it, if there is one.
    pub fn examined(
        &self,
    ) -> impl Iterator<Item = (&'selection directory_endpoint::DirectoryEndpoint, Option<SkipReason>)>
    {
        self.of_service().map(|one| (one, self.examine(one).err()))
    }

    /// Returns the endpoints of the best tier: those of the preferred region, if there are any.
    pub fn candidates(
        &self,
    ) -> impl Iterator<Item = &'selection directory_endpoint::DirectoryEndpoint> {
        self.of_region(&best_tier(self.ranked())).into_iter()
    }

    /// Returns the endpoints of the service that nothing excludes, with their tiers.
    fn ranked(&self) -> Vec<(EndpointTier, &'selection directory_endpoint::DirectoryEndpoint)> {
        self.of_service().filter_map(|one| Some((self.examine(one).ok()?, one))).collect()
    }

    /// Returns the endpoints of the preferred region; all if there are none.
    fn of_region(
        &self,
        endpoints: &[&'selection directory_endpoint::DirectoryEndpoint],
    ) -> Vec<&'selection directory_endpoint::DirectoryEndpoint> {
        let in_region = |one: &&&directory_endpoint::DirectoryEndpoint| {
            self.directory.region(&one.registration.zone) == *self.query.preferred_region
        };
        let preferred: Vec<_> = endpoints.iter().filter(in_region).copied().collect();
        if preferred.is_empty() { endpoints.to_vec() } else { preferred }
    }

    /// Returns those of the version that is to run the request, while a roll-out divides the
    /// service's requests. One for the new version that finds none of its endpoints in the preferred
    /// region goes to the others.
    fn of_version(
        &self,
        ranked: Vec<(EndpointTier, &'selection directory_endpoint::DirectoryEndpoint)>,
    ) -> Vec<(EndpointTier, &'selection directory_endpoint::DirectoryEndpoint)> {
        let query = self.query;
        let Some(turn) = self.directory.versions().turn(query.service, query.route) else {
            return ranked;
        };
        let usable = self.directory.usable(query.service, Some(query.preferred_region), query.now);
        let canaries = if turn.admits { canaries(usable, &turn) } else { Vec::new() };
        let is_canary = |one: &directory_endpoint::DirectoryEndpoint| {
            canaries.contains(&one.registration.endpoint)
        };
        let (new, old): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(_, one)| one.registration.version == *turn.to);
        let new: Vec<_> = new
            .into_iter()
            .filter(|(tier, one)| *tier <= EndpointTier::Cold && is_canary(one))
            .collect();
        if new.is_empty() { old } else { new }
    }

    /// Returns why endpoints are passed over.
    pub fn skipped(&self) -> SkipSummary {
        let mut summary = SkipSummary::default();
        let mut open_later = false;
        for examined in self.of_service().map(|one| self.examine(one)) {
            let Err(reason) = examined else {
                open_later = true;
                continue;
            };
            match reason {
                SkipReason::Leaving => summary.leaving += 1,
                SkipReason::Paused(until) => {
                    summary.paused += 1;
                    let earliest = summary.resumes_at.map_or(until, |known| known.min(until));
                    summary.resumes_at = Some(earliest);
                }
                SkipReason::ColdLimit => {
                    summary.cold += 1;
                    open_later = true;
                }
                SkipReason::Tried => {
                    summary.other += 1;
                    open_later = true;
                }
                SkipReason::OtherRegion
                | SkipReason::Removed
                | SkipReason::ZoneOut
                | SkipReason::OtherVersion => {
                    summary.other += 1;
                }
            }
        }
        summary.resumes_at = summary.resumes_at.filter(|_| !open_later);
        summary
    }

    fn of_service(
        &self,
    ) -> impl Iterator<Item = &'selection directory_endpoint::DirectoryEndpoint> {
        let service = self.query.service;
        self.directory.endpoints().filter(move |one| one.registration.service == *service)
    }

    /// Returns the tier of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails with the first reason that excludes it.
    fn examine(
        &self,
        endpoint: &directory_endpoint::DirectoryEndpoint,
    ) -> Result<EndpointTier, SkipReason> {
        let now = self.query.now;
        let region = self.directory.region(&endpoint.registration.zone);
        if self.query.regions.is_some_and(|regions| !regions.contains(&region)) {
            return Err(SkipReason::OtherRegion);
        }
        if let Some(reason) = self.directory.closed(endpoint, now) {
            return Err(reason);
        }
        let second_try = self.query.second_try;
        let again = second_try.is_some_and(|one| *one.endpoint == endpoint.registration.endpoint);
        let closed_to_others = second_try.is_some_and(|one| one.excludes_others);
        if self.query.tried.contains(&endpoint.registration.endpoint)
            || (closed_to_others && !again)
        {
            return Err(SkipReason::Tried);
        }
        let cold = endpoint.is_cold(now);
        if cold && endpoint.cold_calls(now) >= self.query.cold_rate {
            return Err(SkipReason::ColdLimit);
        }
        if again {
            return Ok(EndpointTier::SecondTry);
        }
        Ok(match (endpoint.is_backing_off(now), cold) {
            (true, _) => EndpointTier::BackingOff,
            (false, true) => EndpointTier::Cold,
            (false, false) => EndpointTier::Warm,
        })
    }

    fn best(
        &self,
        candidates: &[&'selection directory_endpoint::DirectoryEndpoint],
    ) -> Option<&'selection directory_endpoint::DirectoryEndpoint> {
        let now = self.query.now;
        let recent = candidates.iter().filter_map(|one| one.recent_response(now));
        let typical = recent.fold(f64::INFINITY, f64::min);
        let typical =
            if typical.is_finite() { typical } else { DEFAULT_RESPONSE_TIME.as_secs_f64() };
        let cost = |one: &directory_endpoint::DirectoryEndpoint| {
            one.expected(typical, now) + self.distance(one)
        };
        if let Some(prefix) = self.query.prefix {
            return self.best_cached(candidates, prefix, &cost);
        }
        candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    }

    /// Returns the endpoint that most likely has the prompt prefix cached, among those that are not
    /// much busier or slower than the others.
    fn best_cached(
        &self,
        candidates: &[&'selection directory_endpoint::DirectoryEndpoint],
        prefix: ids::PrefixHash,
        cost: &dyn Fn(&directory_endpoint::DirectoryEndpoint) -> f64,
    ) -> Option<&'selection directory_endpoint::DirectoryEndpoint> {
        let pool = self.of_region(candidates);
        let count = f64::from(u32::try_from(pool.len()).unwrap_or(1).max(1));
        let average_load: f64 = pool.iter().map(|one| f64::from(one.running)).sum::<f64>() / count;
        let lowest = pool.iter().map(|one| cost(one)).fold(f64::INFINITY, f64::min);
        let load_limit = average_load * AFFINITY_LOAD_FACTOR + AFFINITY_ALLOWANCE;
        let eligible = |one: &&&directory_endpoint::DirectoryEndpoint| {
            f64::from(one.running) <= load_limit
                && cost(one) <= lowest * 2.0 + directory_endpoint::FAILURE_COST.as_secs_f64()
        };
        let score = |one: &&&directory_endpoint::DirectoryEndpoint| {
            rendezvous::prefix_score(prefix, &one.registration.endpoint)
        };
        let best = pool.iter().filter(eligible).max_by_key(score);
        best.or_else(|| pool.iter().max_by_key(score)).copied()
    }

    /// Returns the cost of the distance to an endpoint, in seconds.
    fn distance(&self, endpoint: &directory_endpoint::DirectoryEndpoint) -> f64 {
        let zone = &endpoint.registration.zone;
        if zone == self.query.zone && self.directory.region(zone) == *self.query.preferred_region {
            return 0.0;
        }
        let cost = if self.directory.region(zone) == *self.query.preferred_region {
            ZONE_COST
        } else {
            REGION_COST
        };
        cost.as_secs_f64()
    }
}

/// Returns the endpoints of the best tier among them.
fn best_tier(
    ranked: Vec<(EndpointTier, &directory_endpoint::DirectoryEndpoint)>,
) -> Vec<&directory_endpoint::DirectoryEndpoint> {
    let best = ranked.iter().map(|(tier, _)| *tier).min();
    let of_tier = ranked.into_iter().filter(|(tier, _)| Some(*tier) == best);
    of_tier.map(|(_, endpoint)| endpoint).collect()
}

/// Returns the endpoints of the version under roll-out that get requests, among the endpoints of its
/// service in one region: as few as bear the load of the others. All nodes choose the same ones.
pub(crate) fn canaries<'directory>(
    endpoints: impl Iterator<Item = &'directory directory_endpoint::DirectoryEndpoint>,
    turn: &service_versions::VersionTurn<'_>,
) -> Vec<ids::EndpointId> {
    let (mut new, old): (Vec<_>, Vec<_>) =
        endpoints.partition(|one| one.registration.version == *turn.to);
    let count = version_exposure::canary_count(turn.share, old.len());
    new.sort_by_key(|one| rendezvous::prefix_score(0, &one.registration.endpoint));
    new.into_iter().take(count).map(|one| one.registration.endpoint.clone()).collect()
}
