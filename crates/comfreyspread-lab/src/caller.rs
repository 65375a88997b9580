//! HTTP client that makes requests as a service or an operator does.

use comfreyspread::transport::{failure, header, http_client, http_message};
use comfreyspread_schema::ids;
use http::Method;
use std::{net, time};

const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Client for calls and operator requests.
#[derive(Debug)]
pub struct TestCaller {
    client: http_client::HttpClient,
    timeout: time::Duration,
}

/// Path, headers and body of a call.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Path, such as `/v1/pipelines/report`.
    pub path: ids::Text,
    /// Workspace.
    pub workspace: ids::WorkspaceId,
    /// Profile.
    pub profile: ids::ProfileId,
    /// Idempotency key, if any.
    pub key: Option<ids::IdempotencyKey>,
    /// Body.
    pub body: ids::Text,
}

impl TestCaller {
    /// Creates a caller that waits up to `timeout` for each answer.
    pub fn new(timeout: time::Duration) -> Self {
        Self { client: http_client::HttpClient::new(ANSWER_LIMIT_BYTES), timeout }
    }

    /// Makes a call through a node.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time.
    pub async fn call(
        &self,
        node: net::SocketAddr,
        call: &CallerRequest,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        self.send(node, http_request(node, call)).await
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time.
    pub async fn get(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        let url = format!("http://{address}{path}");
        self.send(address, http_message::Request::new(Method::GET, url.as_str())).await
    }

    /// Posts a JSON message to a path.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time.
    pub async fn post<Message>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Message,
    ) -> Result<http_client::ClientResponse, failure::CallFailure>
    where
        Message: serde::Serialize,
    {
        self.send_json(Method::POST, address, path, message).await
    }

    /// Puts a JSON message at a path.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time.
    pub async fn put<Message>(
        &self,
        address: net::SocketAddr,
        path: &str,
        message: &Message,
    ) -> Result<http_client::ClientResponse, failure::CallFailure>
    where
        Message: serde::Serialize,
    {
        self.send_json(Method::PUT, address, path, message).await
    }

    async fn send_json<Message>(
        &self,
        method: Method,
        address: net::SocketAddr,
        path: &str,
        message: &Message,
    ) -> Result<http_client::ClientResponse, failure::CallFailure>
    where
        Message: serde::Serialize,
    {
        let url = format!("http://{address}{path}");
        let mut request = http_message::Request::new(method, url.as_str());
        request.set_body(serde_json::to_vec(message).unwrap_or_default());
        self.send(address, request).await
    }

    /// Sends a request unchanged.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        let deadline = time::Instant::now() + self.timeout;
        let connection = http_client::ConnectionUse::Fresh;
        self.client.call(address, request, connection, deadline).await
    }
}

/// Returns the HTTP request of a call.
pub fn http_request(node: net::SocketAddr, call: &CallerRequest) -> http_message::Request {
    let url = format!("http://{node}{}", call.path);
    let mut request = http_message::Request::new(Method::POST, url.as_str());
    request.set_body(call.body.as_bytes().to_vec());
    request.insert_header(header::WORKSPACE, &*call.workspace);
    request.insert_header(header::PROFILE, &*call.profile);
    if let Some(key) = &call.key {
        request.insert_header(header::IDEMPOTENCY_KEY, &**key);
    }
    request
}
