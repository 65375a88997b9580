//! What is known of a caller's request before its first attempt.

use super::state;
use crate::transport::{client_connection, failure};
use comfreyspread_policy::{route_table, suspect};
use comfreyspread_schema::{ids, types};
use std::{io, net, sync, time};
use xxhash_rust::xxh3;

/// A request with its route, its workspace and its times.
#[derive(Debug)]
pub struct CallPlan {
    /// Head as it came.
    pub head: http::request::Parts,
    /// What the caller says of the request.
    pub call: types::CallHead,
    /// Body.
    pub body: bytes::Bytes,
    /// Route that serves it.
    pub route: sync::Arc<types::RouteRule>,
    /// Service that runs it.
    pub service: sync::Arc<types::ServiceRule>,
    /// Workspace of the caller.
    pub workspace: Option<sync::Arc<types::WorkspaceRule>>,
    /// Regions that may run it; none if all may.
    pub regions: Option<Vec<ids::RegionId>>,
    /// Moment at which it arrived.
    pub arrived: time::Instant,
    /// Moment until which an answer is on time.
    pub target: time::Instant,
    /// Moment after which nobody waits any more.
    pub deadline: time::Instant,
    /// Version of the routes.
    pub version: u64,
    /// Digest of what makes the request the same when it comes again.
    pub digest: ids::BodyDigest,
}

/// Why a request is not planned.
#[derive(Debug)]
pub enum PlanError {
    /// The node knows no routes yet.
    NotInformed,
    /// The head is not valid.
    Malformed(ids::Text),
    /// No route matches.
    NoRoute,
    /// The body is larger than callers may send.
    TooLarge,
    /// The key is missing or not known.
    NoKey,
    /// The route names a service that is not described.
    NoService,
}

impl CallPlan {
    /// Plans a request.
    ///
    /// # Errors
    ///
    /// Fails if it is not to be served.
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
        let workspace = call.key.as_ref().and_then(|key| routes.workspace(key)).cloned();
        if workspace.is_none() && routes.needs_key() && !route.public {
            return Err(PlanError::NoKey);
        }
        let limit = routes.limits().map_or(0, |limits| limits.body_bytes);
        if limit > 0 && u64::try_from(body.len()).unwrap_or(u64::MAX) > limit {
            return Err(PlanError::TooLarge);
        }
        let name = route_table::choose_service(&route, &mut rand::rng());
        let service = name.and_then(|name| routes.service(name)).cloned();
        let service = service.ok_or(PlanError::NoService)?;
        let regions = route_table::allowed_regions(&route, workspace.as_deref());
        let timeout =
            if call.patience.is_zero() { route.timeout } else { call.patience.min(route.timeout) };
        let (target, deadline) = (arrived + route.target, arrived + timeout);
        let version = routes.version();
        let digest = digest(&call, &body);
        Ok(Self {
            head,
            call,
            body,
            route,
            service,
            workspace,
            regions,
            arrived,
            target,
            deadline,
            version,
            digest,
        })
    }

    /// Looks whether an endpoint that broke off has crashed, and holds that against the request.
    ///
    /// A lost answer is no crash: the endpoint must refuse connections.
    pub fn detect_crash(&self, state: &sync::Arc<state::GatewayState>, address: net::SocketAddr) {
        let task_state = state.clone();
        let (digest, request) = (self.digest.clone(), self.call.request.clone());
        state.context.spawner.detach(async move {
            let opened = client_connection::ClientConnection::new(address).await;
            let refused =
                opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
            if refused {
                log::warn!(request = request.as_ref(), digest = digest.as_ref();
                    "entry: endpoint crashed with the request");
                let now = time::Instant::now();
                task_state.context.tables.suspects.lock().note_crash(&digest, false, now);
            }
        });
    }

    /// Clears the request of what was held against it.
    pub fn record_served(&self, state: &state::GatewayState) {
        let now = time::Instant::now();
        state.context.tables.suspects.lock().note_served(&self.digest, now);
    }

    /// Whether the request has crashed several endpoints.
    pub fn is_convicted(&self, state: &state::GatewayState) -> bool {
        let suspects = state.context.tables.suspects.lock();
        let status = suspects.status(&self.digest, time::Instant::now());
        status == suspect::SuspectStatus::Convicted
    }

    /// Returns the rank of the request; zero is the highest.
    pub fn priority(&self) -> u32 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            types::RouteKind::Repeatable => true,
            types::RouteKind::Single => false,
            types::RouteKind::Stream => self.route.resumable,
        }
    }

    /// Takes one repeat from the budget that all nodes share, if the request has time for it.
    pub fn try_acquire_retry(&self, state: &state::GatewayState) -> bool {
        let now = time::Instant::now();
        let nodes = state.sharing_nodes();
        !self.time_left(now).is_zero()
            && state.retry_budget.lock().try_acquire(&self.service.name, nodes, now)
    }

    /// Returns the time left.
    pub fn time_left(&self, now: time::Instant) -> time::Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the hash of the beginning that the prompt shares with others: all listed parts but
    /// the last, which is the request's own. None if the prompt lists no part, or no engine runs it.
    pub fn prefix(&self) -> Option<ids::PrefixHash> {
        self.service.engine.as_ref()?;
        let parts = &self.call.parts;
        let shared = parts.len().checked_sub(2).and_then(|index| parts.get(index));
        shared.or_else(|| parts.last()).map(|part| xxh3::xxh3_64(part.part.as_bytes()))
    }

    /// Returns a failure of a request that has not run, with a time to come back.
    pub fn not_run(problem: types::ProblemKind, detail: &str) -> failure::CallFailure {
        failure::CallFailure::new(problem, detail)
            .with_retry_after(super::caller_handler::RETRY_AFTER)
    }
}

/// Returns the digest of a request's path, caller and body.
fn digest(call: &types::CallHead, body: &[u8]) -> ids::BodyDigest {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(call.path.as_bytes());
    hasher.update(call.key.as_deref().unwrap_or_default().as_bytes());
    hasher.update(body);
    format!("{:032x}", hasher.digest128()).into()
}
