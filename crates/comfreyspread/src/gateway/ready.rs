//! The platform's questions whether a node is ready, metrics, and the node's state on request.

use super::state;
use crate::{
    ingress::front,
    operations::operator_api,
    transport::{http_message, http_server},
};
use comfreyspread_policy::endpoint_directory;
use comfreyspread_schema::{ids, types};
use http::StatusCode;
use std::{sync, time};

const DUMP_PATH: &str = "/dump";
const METRICS_PATH: &str = "/metrics";

/// Answers the platform's balancer and whoever reads metrics.
pub struct ReadyHandler {
    state: sync::Arc<state::GatewayState>,
}

impl ReadyHandler {
    /// Creates the handler.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }

    /// Returns the state of the node.
    fn dump(&self) -> types::GatewayDump {
        let state = &self.state;
        let now = time::Instant::now();
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        let endpoint = |one: &endpoint_directory::DirectoryEndpoint| types::EndpointView {
            address: one.entry.address,
            cold: one.is_cold(now),
            endpoint: one.entry.endpoint.clone(),
            leaving: !one.accepts_requests(),
            running: one.running.into(),
            service: one.entry.service.clone(),
            zone: one.entry.zone.clone(),
        };
        let batch = |(service, (waiting, calls)): (&ids::EndpointService, (usize, usize))| {
            let (waiting, calls) = (count(waiting), count(calls));
            types::BatchView { calls, service: service.clone(), waiting }
        };
        let members = state.context.tables.members.lock().live().cloned().collect();
        let endpoints = state.directory.lock().endpoints().map(endpoint).collect();
        let batches = state.batches.lock().loads().map(batch).collect();
        types::GatewayDump {
            batches,
            endpoints,
            members,
            node: state.machine.node.clone(),
            phase: state.context.tables.phase(),
            routes_version: state.routes().version(),
        }
    }
}

impl http_server::RequestHandler for ReadyHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        if request.path() == METRICS_PATH {
            let known = self.state.directory.lock().len();
            let version = self.state.routes().version();
            self.state.context.metrics.stages.update_gauges(known, version);
            return front::metrics(&self.state.context);
        }
        if request.path() == DUMP_PATH {
            return front::json(StatusCode::OK, &self.dump());
        }
        if request.path().starts_with(operator_api::PATH_PREFIX) {
            return operator_api::serve(&self.state.context, &request).await;
        }
        let ready = self.state.ready();
        http_message::Response::new(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }

    fn refuse(&self, _fault: http_server::RequestFault) -> http_message::Response {
        http_message::Response::new(StatusCode::BAD_REQUEST)
    }
}
