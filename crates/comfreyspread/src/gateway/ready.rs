//! The platform's questions whether a node is ready, and metrics.

use super::state;
use crate::transport::{http_message, http_server};
use http::StatusCode;
use std::sync;

const METRICS_PATH: &str = "/metrics";
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers the platform's balancer and whoever reads metrics.
pub struct ReadyHandler {
    state: sync::Arc<state::GatewayState>,
}

impl ReadyHandler {
    /// Creates the handler.
    pub fn new(state: sync::Arc<state::GatewayState>) -> Self {
        Self { state }
    }
}

impl http_server::RequestHandler for ReadyHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        if request.path() == METRICS_PATH {
            let known = self.state.directory.lock().len();
            let version = self.state.routes().version();
            self.state.context.metrics.stages.observe_known(known, version);
            let mut response = http_message::Response::new(StatusCode::OK);
            response.set_body(self.state.context.metrics.text().into_string());
            response.insert_header("content-type", METRICS_MEDIA_TYPE);
            return response;
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
