//! Plan of a caller's request: its route, service, workspace and deadlines.

use super::state;
use crate::{
    membership::crash_notice,
    transport::{client_connection, failure},
};
use comfreyspread_policy::{
    crash_evidence, endpoint_directory, response_progress, route_table, stage_graph,
};
use comfreyspread_schema::{ids, types};
use std::{
    io,
    sync::{self, atomic},
    time,
};
use xxhash_rust::xxh3;

/// A request with everything that its attempts need.
#[derive(Debug)]
pub struct CallPlan {
    /// Request head as received.
    pub head: http::request::Parts,
    /// Decoded request head.
    pub call: types::RequestHead,
    /// Request body.
    pub body: bytes::Bytes,
    /// Matching route.
    pub route: sync::Arc<types::RouteRule>,
    /// Service that runs the request.
    pub service: sync::Arc<types::ServiceRule>,
    /// Workspace of the caller.
    pub workspace: Option<sync::Arc<types::WorkspaceRule>>,
    /// Whether an endpoint may have run the request, or may run it now.
    pub sent_mark: sync::Arc<atomic::AtomicBool>,
    /// Notified when an endpoint is sent the request.
    pub sent: sync::Arc<event_listener::Event>,
    /// Arrival time.
    pub arrived: time::Instant,
    /// Time by which a response meets the latency target.
    pub target: time::Instant,
    /// Time at which the request times out.
    pub deadline: time::Instant,
    /// Version of the route table.
    pub version: u64,
    /// Digest of path, key and body, as logs and older builds know the request.
    pub digest: ids::BodyDigest,
    /// Hashes of the prompt parts that other requests may share and, last, of the request as a whole.
    hashes: Vec<ids::PartHash>,
}

/// Reason why a request is rejected before its first attempt.
#[derive(Debug)]
pub enum PlanError {
    /// The node has not loaded any routes yet.
    NotInformed,
    /// The request head is not valid.
    Malformed(ids::Text),
    /// No route matches.
    NoRoute,
    /// The request names pieces of more stages than the route has in this version.
    OtherStages {
        /// Stages of the route.
        stages: usize,
        /// Stages for which the request names a number of pieces.
        counts: usize,
    },
    /// The body exceeds the size limit.
    TooLarge,
    /// The API key is missing or unknown.
    NoKey,
    /// The route names an undefined service.
    NoService,
}

impl CallPlan {
    /// Plans a request.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected.
    pub fn new(
        state: &state::GatewayState,
        head: http::request::Parts,
        body: bytes::Bytes,
        arrived: time::Instant,
    ) -> Result<Self, PlanError> {
        let routes = state.routes();
        if routes.version() == 0 {
            return Err(PlanError::NotInformed);
        }
        let call = comfreyspread_platform::request_head::decode(&head)
            .map_err(|error| PlanError::Malformed(error.to_string().into()))?;
        let route = routes.find(&call.host, &call.path).ok_or(PlanError::NoRoute)?.clone();
        if !stage_graph::accepts_pieces(&route.stages, &call.piece_counts) {
            return Err(PlanError::Malformed("too many pieces".into()));
        }
        let workspace = call.api_key.as_ref().and_then(|key| routes.workspace(key)).cloned();
        if workspace.is_none() && routes.needs_key() && !route.public {
            return Err(PlanError::NoKey);
        }
        if !stage_graph::has_all_stages(&route.stages, &call.piece_counts) {
            let (stages, counts) = (route.stages.len(), call.piece_counts.len());
            return Err(PlanError::OtherStages { stages, counts });
        }
        let limit = routes.limits().map_or(0, |limits| limits.max_body_bytes);
        if limit > 0 && u64::try_from(body.len()).unwrap_or(u64::MAX) > limit {
            return Err(PlanError::TooLarge);
        }
        let name = route_table::choose_service(&route, &mut rand::rng());
        let service = name.and_then(|name| routes.service(name)).cloned();
        let service = service.ok_or(PlanError::NoService)?;
        let timeout =
            if call.timeout.is_zero() { route.timeout } else { call.timeout.min(route.timeout) };
        let (target, deadline) = (arrived + route.target_latency, arrived + timeout);
        let version = routes.version();
        let digest = digest(&call, &body);
        let shared = shared_parts(&call).into_iter();
        let mut hashes: Vec<_> = shared.map(|part| part_hash(&service, part)).collect();
        hashes.push(whole_hash(&head, &call, &digest));
        Ok(Self {
            head,
            call,
            body,
            route,
            service,
            workspace,
            sent_mark: sync::Arc::default(),
            sent: sync::Arc::default(),
            arrived,
            target,
            deadline,
            version,
            digest,
            hashes,
        })
    }

    /// Checks whether an endpoint that broke the connection has crashed, and records the crash for
    /// the request.
    ///
    /// A lost response alone is no crash: the endpoint must refuse a new connection. `progress` is
    /// that of the response.
    pub fn detect_crash(
        &self,
        state: &sync::Arc<state::GatewayState>,
        chosen: &endpoint_directory::ChosenEndpoint,
        progress: response_progress::ResponseProgress,
    ) {
        let task_state = state.clone();
        let (chosen, names) = (chosen.clone(), shared_parts(&self.call).join(","));
        let (digest, request) = (self.digest.clone(), self.call.request.clone());
        let (parts, whole) = (self.part_hashes().to_vec(), self.whole_hash());
        let seen = crash_evidence::SeenCrash {
            crash: crash_hash(&chosen),
            request: whole,
            moment: progress.moment(),
            crashed_at: time::Instant::now(),
        };
        let hashes: Vec<_> = parts.iter().copied().map(crash_notice::format_part).collect();
        state.context.spawner.detach(async move {
            let opened = client_connection::ClientConnection::new(chosen.address).await;
            let refused =
                opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
            if refused {
                task_state.context.metrics.crashes.count_crash();
                log::warn!(request = request.as_ref(), digest = digest.as_ref(),
                    endpoint = chosen.endpoint.as_ref(), began = progress.has_events(),
                    moment = seen.moment.to_string().as_str(),
                    whole = crash_notice::format_part(whole).as_str(), parts = names.as_str(),
                    hashes = hashes.join(",").as_str();
                    "entry: endpoint crashed while running the request");
                record_crash(&task_state, &digest, &parts, seen);
            }
        });
    }

    /// Records the first event of a response, which shows that its prompt parts let an endpoint begin.
    pub fn record_first_event(&self, state: &state::GatewayState) {
        let now = time::Instant::now();
        crash_notice::update_parts(&state.context.tables, |table| {
            table.record_first_event(self.part_hashes(), now);
            false
        });
    }

    /// Records that the request has been running for a while, which proves its prompt parts sound.
    pub fn record_run(&self, state: &state::GatewayState) {
        let now = time::Instant::now();
        crash_notice::update_parts(&state.context.tables, |table| {
            table.record_run(self.part_hashes(), now);
            false
        });
    }

    /// Records that the request was served, which clears it and its prompt parts of earlier crashes.
    pub fn record_served(&self, state: &state::GatewayState) {
        let now = time::Instant::now();
        state.context.tables.suspects.lock().record_served(&self.digest, now);
        crash_notice::update_parts(&state.context.tables, |table| {
            table.record_run(self.part_hashes(), now);
            table.record_served(self.whole_hash(), now);
            false
        });
    }

    /// Returns whether the request may run: neither it nor one of its prompt parts has crashed
    /// several endpoints.
    pub fn try_admit(&self, state: &state::GatewayState) -> bool {
        let now = time::Instant::now();
        state.context.tables.part_suspects.lock().try_admit(&self.hashes, now)
    }

    /// Returns whether the request or one of its prompt parts has crashed several endpoints.
    pub fn is_convicted(&self, state: &state::GatewayState) -> bool {
        let now = time::Instant::now();
        state.context.tables.part_suspects.lock().is_convicted(&self.hashes, now)
    }

    /// Checks, before an attempt, whether the request was found to crash endpoints meanwhile: it may
    /// have waited at stages since it was let pass.
    ///
    /// # Errors
    ///
    /// Fails if so; the attempt has not run.
    pub fn check_attempt(&self, state: &state::GatewayState) -> Result<(), failure::CallFailure> {
        let now = time::Instant::now();
        let suspects = state.context.tables.part_suspects.lock();
        let convicted = suspects.is_convicted_anew(&self.hashes, now);
        drop(suspects);
        if convicted { Err(Self::crashing()) } else { Ok(()) }
    }

    /// Checks, while the node stops, whether the request can be finished before it ends.
    ///
    /// # Errors
    ///
    /// Fails if not; the request has not run.
    pub fn check_stop(
        &self,
        state: &state::GatewayState,
        now: time::Instant,
    ) -> Result<(), failure::CallFailure> {
        let Some(window) = state.context.drain_limit.window() else { return Ok(()) };
        let quantile = window.expected_quantile(self.arrived, self.is_repeatable());
        let mut timings = state.context.tables.call_timings.lock();
        let expected = timings.quantile(&self.route.name, quantile, now);
        drop(timings);
        if window.admits(self.arrived, expected, self.time_left(now), now) {
            return Ok(());
        }
        let detail = "the node stops before the request could be finished";
        Err(Self::not_run(types::ProblemKind::Unavailable, detail))
    }

    /// Records how long an endpoint took for the whole response.
    pub fn record_duration(&self, state: &state::GatewayState, duration: time::Duration) {
        let now = time::Instant::now();
        state.context.tables.call_timings.lock().record(&self.route.name, duration, now);
    }

    /// Returns the rejection of a request that crashes endpoints.
    pub fn crashing() -> failure::CallFailure {
        Self::not_run(types::ProblemKind::Poisoned, "the request crashes endpoints")
    }

    /// Returns the prompt part that has crashed several endpoints, if that is the reason.
    pub fn convicted_part(&self, state: &state::GatewayState) -> Option<ids::PartHash> {
        let now = time::Instant::now();
        state.context.tables.part_suspects.lock().convicted_part(self.part_hashes(), now)
    }

    /// Returns the hash that identifies the request as a whole when the caller sends it again.
    pub fn whole_hash(&self) -> ids::PartHash {
        self.hashes[self.hashes.len() - 1]
    }

    /// Returns the hashes of the prompt parts that other requests may share.
    fn part_hashes(&self) -> &[ids::PartHash] {
        &self.hashes[..self.hashes.len() - 1]
    }

    /// Returns the regions now allowed to run the request; `None` for all. A request may wait at
    /// stages or be retried for longer than a change takes to be in force.
    pub fn allowed_regions(&self, state: &state::GatewayState) -> Option<Vec<ids::RegionId>> {
        let key = self.call.api_key.as_deref();
        state.routes().current_regions(&self.route, self.workspace.as_deref(), key)
    }

    /// Whether a region is now allowed to run the request.
    pub fn allows_region(&self, state: &state::GatewayState, region: &ids::RegionId) -> bool {
        self.allowed_regions(state).is_none_or(|allowed| allowed.contains(region))
    }

    /// Returns the priority of the request; zero is the highest.
    pub fn priority(&self) -> u32 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            types::RouteKind::Repeatable => true,
            types::RouteKind::Single => false,
            types::RouteKind::Stream => self.route.resumable,
        }
    }

    /// Takes one retry from the budget that all nodes share, unless the deadline has passed.
    pub fn try_acquire_retry(&self, state: &state::GatewayState) -> bool {
        let now = time::Instant::now();
        let nodes = state.sharing_nodes();
        !self.time_left(now).is_zero()
            && state.retry_budget.lock().try_acquire(&self.service.name, nodes, now)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: time::Instant) -> time::Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the hash of the prompt prefix shared with other requests: all listed parts but the
    /// last, which is specific to the request. `None` if no parts are listed or the service is not
    /// run by an engine.
    pub fn prefix(&self) -> Option<ids::PrefixHash> {
        self.service.engine.as_ref()?;
        let part = self.shared_part().or_else(|| self.call.prompt_parts.last())?;
        Some(xxh3::xxh3_64(part.part.as_bytes()))
    }

    /// Returns the tokens of the last prompt part that other requests may share.
    pub fn shared_part_tokens(&self) -> u32 {
        self.shared_part().map_or(0, |part| part.tokens)
    }

    /// Returns the last prompt part but one: the last part is specific to the request.
    fn shared_part(&self) -> Option<&types::PromptPart> {
        let parts = &self.call.prompt_parts;
        parts.len().checked_sub(2).and_then(|index| parts.get(index))
    }

    /// Returns the failure of a request that has not run, with a retry delay.
    pub fn not_run(problem: types::ProblemKind, detail: &str) -> failure::CallFailure {
        failure::CallFailure::new(problem, detail)
            .with_retry_after(super::caller_handler::RETRY_AFTER)
    }
}

/// Returns the digest of a request's path, API key and body.
fn digest(call: &types::RequestHead, body: &[u8]) -> ids::BodyDigest {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(call.path.as_bytes());
    hasher.update(call.api_key.as_deref().unwrap_or_default().as_bytes());
    hasher.update(body);
    format!("{:032x}", hasher.digest128()).into()
}

/// Returns the prompt parts that other requests may share: all but the last.
fn shared_parts(call: &types::RequestHead) -> Vec<&str> {
    let shared = call.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.part.as_ref()).collect()
}

/// Returns the hash of a prompt part and the service, which may bear what others do not.
fn part_hash(service: &types::ServiceRule, part: &str) -> ids::PartHash {
    hash_fields([service.name.as_bytes(), part.as_bytes()])
}

/// Returns the hash of a request's method, path with query, API key and, by its digest, body.
fn whole_hash(
    head: &http::request::Parts,
    call: &types::RequestHead,
    digest: &ids::BodyDigest,
) -> ids::PartHash {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let key = call.api_key.as_deref().unwrap_or_default();
    hash_fields([head.method.as_str(), path, key, digest].map(str::as_bytes))
}

/// Returns the hash of fields that contain no zero byte.
fn hash_fields<const COUNT: usize>(fields: [&[u8]; COUNT]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for (index, field) in fields.into_iter().enumerate() {
        if index > 0 {
            hasher.update(&[0]);
        }
        hasher.update(field);
    }
    hasher.digest()
}

/// Returns the hash of an endpoint's process: one that restarts under its name may crash again.
fn crash_hash(chosen: &endpoint_directory::ChosenEndpoint) -> ids::CrashHash {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(chosen.endpoint.as_bytes());
    hasher.update(&chosen.started_at_ms.to_le_bytes());
    hasher.digest()
}

/// Records a crash for a request and, unless it had been running for a while, for its parts.
fn record_crash(
    state: &state::GatewayState,
    digest: &ids::BodyDigest,
    parts: &[ids::PartHash],
    seen: crash_evidence::SeenCrash,
) {
    let tables = &state.context.tables;
    let now = time::Instant::now();
    if seen.moment != types::CrashMoment::Running {
        // For nodes of an older build, which know requests by their digest.
        tables.suspects.lock().record_shared_crash(digest, seen.crash, now);
    }
    crash_notice::update_parts(tables, |table| {
        let parts_news = table.record_crash(parts, seen, now);
        table.record_request_crash(seen, now) || parts_news
    });
}
