//! Readiness checks of the platform, metrics, a dump of the node's state, and operator requests.

use super::{batcher, explanation, rollout::rollout_view, state};
use crate::{
    ingress::front,
    operations::operator_api,
    transport::{http_message, http_server},
};
use comfreyspread_policy::{directory_endpoint, engine_board};
use comfreyspread_schema::types;
use http::StatusCode;
use std::{sync, time};

const DUMP_PATH: &str = "/dump";
const METRICS_PATH: &str = "/metrics";
const PERCENT: f64 = 100.0;

/// Handles readiness checks, metrics, dumps and operator requests.
pub struct AdminHandler {
    state: sync::Arc<state::GatewayState>,
}

impl AdminHandler {
    /// Creates the handler.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    /// Returns a dump of the node's state.
    fn dump(&self) -> types::GatewayDump {
        let state = &self.state;
        let now = time::Instant::now();
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        let endpoint_view =
            |endpoint: &directory_endpoint::DirectoryEndpoint| types::EndpointView {
                address: endpoint.registration.address,
                cold: endpoint.is_cold(now),
                endpoint: endpoint.registration.endpoint.clone(),
                leaving: endpoint.is_leaving(),
                backing_off: endpoint.is_backing_off(now),
                pause_left: endpoint
                    .paused_until(now)
                    .map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now)),
                running: endpoint.running.into(),
                service: endpoint.registration.service.clone(),
                zone: endpoint.registration.zone.clone(),
            };
        let batch_view = |(scope, (waiting, calls)): (&batcher::BatchScope, (usize, usize))| {
            let (waiting, calls) = (count(waiting), count(calls));
            let (service, region) = (scope.service.clone(), scope.region.clone());
            types::BatchView { calls, region, service, waiting }
        };
        let members = state.context.tables.members.lock().live().cloned().collect();
        let endpoints = state.directory.lock().endpoints().map(endpoint_view).collect();
        let batches = state.batchers.lock().loads().map(batch_view).collect();
        let engine_view = |load: engine_board::EngineLoad| types::EngineView {
            cached_tokens: load.cached_tokens,
            endpoint: load.endpoint,
            running: load.running,
            time_percent: (load.time_factor * PERCENT) as u32,
            unread_tokens: load.unread_tokens,
        };
        let engines = state.boards.lock().loads().into_iter().map(engine_view).collect();
        types::GatewayDump {
            engines,
            batches,
            endpoints,
            members,
            node: state.settings.node.clone(),
            phase: state.context.tables.phase(),
            routes_version: state.routes().version(),
        }
    }
}

impl http_server::RequestHandler for AdminHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        if request.path() == METRICS_PATH {
            let version = self.state.routes().version();
            let counts = self.state.directory.lock().counts(time::Instant::now());
            self.state.context.metrics.stages.update_gauges(&counts, version);
            let parts = self.state.context.tables.part_suspects.lock().counts(time::Instant::now());
            self.state.context.metrics.crashes.update_gauges(&parts);
            rollout_view::update_gauges(&self.state);
            return front::metrics(&self.state.context);
        }
        if request.path() == DUMP_PATH {
            return front::json(StatusCode::OK, &self.dump());
        }
        if request.path() == operator_api::ROLLOUTS_PATH {
            return front::json(StatusCode::OK, &rollout_view::list(&self.state));
        }
        if request.path() == operator_api::EXPLAIN_PATH {
            return match explanation::parse_head(&String::from_utf8_lossy(request.body())) {
                Ok(head) => {
                    front::json(StatusCode::OK, &explanation::explain(&self.state, head).await)
                }
                Err(error) => {
                    operator_api::problem(types::ProblemKind::BadRequest, &error.to_string())
                }
            };
        }
        if request.path().starts_with(operator_api::PATH_PREFIX) {
            return operator_api::serve(&self.state.context, &request).await;
        }
        let ready = self.state.is_ready();
        http_message::Response::new(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    fn record_closed(&self, cause: http_server::CloseCause) {
        self.state.context.metrics.connections.record_closed(cause);
    }

    fn refuse(&self, _error: http_server::RequestError) -> http_message::Response {
        http_message::Response::new(StatusCode::BAD_REQUEST)
    }
}
