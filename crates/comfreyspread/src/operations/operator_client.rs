//! HTTP client for the operator API of a node, used by the operators' commands.

use crate::{
    operations::{operator_api, operator_error},
    transport::{http_client, http_message},
};
use comfreyspread_schema::{ids, types};
use http::Method;
use std::{env, net, time};

/// Prefix of the environment variables of operators' commands; a node ignores them.
pub const VARIABLE_PREFIX: &str = "COMFREYSPREAD_OPERATOR_";
/// Variable that holds the caller address of the node to connect to.
pub const NODE_VARIABLE: &str = "COMFREYSPREAD_OPERATOR_NODE";
/// Variable that holds the name of the operator.
pub const AUTHOR_VARIABLE: &str = "COMFREYSPREAD_OPERATOR_AUTHOR";

/// Caller address of a node on this VM with the port used in the documentation.
const DEFAULT_NODE: &str = "127.0.0.1:8080";
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for a response, in addition to the wait for acceptance.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
const OK_STATUS: u16 = 200;
const NOT_FOUND_STATUS: u16 = 404;

/// Client of one node.
#[derive(Debug)]
pub struct OperatorClient {
    address: ids::Text,
    client: http_client::HttpClient,
}

impl OperatorClient {
    /// Creates a client of `node`, or of the node named by the environment, or of the default one.
    pub fn new(node: Option<&str>) -> Self {
        let node = node.map(str::to_owned).or_else(|| env::var(NODE_VARIABLE).ok());
        let address = node.unwrap_or_else(|| DEFAULT_NODE.to_owned()).into();
        Self { address, client: http_client::HttpClient::new(MAX_RESPONSE_BYTES) }
    }

    /// Returns the configuration in force; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn configuration(
        &self,
    ) -> Result<Option<types::ConfigurationDocument>, operator_error::OperatorError> {
        let response = self.get(operator_api::CONFIGURATION_PATH).await?;
        if response.status() == NOT_FOUND_STATUS {
            return Ok(None);
        }
        self.decode(&response).map(Some)
    }

    /// Returns the state of all nodes.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn status(&self) -> Result<types::DeploymentStatus, operator_error::OperatorError> {
        let response = self.get(operator_api::STATUS_PATH).await?;
        self.decode(&response)
    }

    /// Returns the full state of the node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn dump(&self) -> Result<types::NodeDump, operator_error::OperatorError> {
        let response = self.get(operator_api::DUMP_PATH).await?;
        self.decode(&response)
    }

    /// Returns the roll-outs that the node knows.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer.
    pub async fn rollouts(&self) -> Result<types::RolloutList, operator_error::OperatorError> {
        let response = self.get(operator_api::ROLLOUTS_PATH).await?;
        self.decode(&response)
    }

    /// Returns where a request with this head would go.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer, or cannot read the head.
    pub async fn explain(
        &self,
        head: &str,
    ) -> Result<types::RequestExplanation, operator_error::OperatorError> {
        let mut request = self.request(Method::POST, operator_api::EXPLAIN_PATH)?;
        request.set_body(head.to_owned());
        let deadline = time::Instant::now() + RESPONSE_TIMEOUT;
        let connection = http_client::ConnectionUse::Fresh;
        let response =
            self.client.call(self.socket_address()?, request, connection, deadline).await;
        let response = response.map_err(|failure| self.unreachable(failure.detail()))?;
        self.decode(&response)
    }

    /// Returns the claims whose outcome is unknown.
    ///
    /// # Errors
    ///
    /// Fails if the node or its store does not answer.
    pub async fn claims(&self) -> Result<types::ClaimList, operator_error::OperatorError> {
        let response = self.get(operator_api::CLAIMS_PATH).await?;
        self.decode(&response)
    }

    /// Submits a change and returns its outcome.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer; the change may then have taken effect.
    pub async fn submit(
        &self,
        change: &types::ChangeRequest,
    ) -> Result<types::ChangeOutcome, operator_error::OperatorError> {
        let mut request = self.request(Method::POST, operator_api::CHANGE_PATH)?;
        let body = serde_json::to_vec(change).map_err(|error| self.unreachable(&error))?;
        request.set_body(body);
        let deadline = time::Instant::now() + change.wait + RESPONSE_TIMEOUT;
        let connection = http_client::ConnectionUse::Fresh;
        let response =
            self.client.call(self.socket_address()?, request, connection, deadline).await;
        let response = response.map_err(|failure| {
            if failure.verdict() == types::CallVerdict::NotRun {
                return self.unreachable(failure.detail());
            }
            let change_id = change.change_id.clone();
            operator_error::OperatorError::InDoubt { change_id, detail: failure.detail().clone() }
        })?;
        serde_json::from_slice(response.body()).map_err(|_| self.problem(&response))
    }

    async fn get(
        &self,
        path: &str,
    ) -> Result<http_client::ClientResponse, operator_error::OperatorError> {
        let request = self.request(Method::GET, path)?;
        let deadline = time::Instant::now() + RESPONSE_TIMEOUT;
        let connection = http_client::ConnectionUse::Fresh;
        let response =
            self.client.call(self.socket_address()?, request, connection, deadline).await;
        response.map_err(|failure| self.unreachable(failure.detail()))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
    ) -> Result<http_message::Request, operator_error::OperatorError> {
        let url = format!("http://{}{path}", self.socket_address()?);
        Ok(http_message::Request::new(method, url.as_str()))
    }

    fn socket_address(&self) -> Result<net::SocketAddr, operator_error::OperatorError> {
        self.address.parse().map_err(|_| self.unreachable("this is not an IP address and port"))
    }

    fn decode<Message>(
        &self,
        response: &http_client::ClientResponse,
    ) -> Result<Message, operator_error::OperatorError>
    where
        Message: serde::de::DeserializeOwned,
    {
        if response.status() != OK_STATUS {
            return Err(self.problem(response));
        }
        serde_json::from_slice(response.body()).map_err(|error| self.unreachable(&error))
    }

    fn problem(&self, response: &http_client::ClientResponse) -> operator_error::OperatorError {
        let problem: Result<types::ProblemBody, _> = serde_json::from_slice(response.body());
        let detail = match problem {
            Ok(problem) => problem.detail,
            Err(_) => format!("{} answered with status {}", self.address, response.status()).into(),
        };
        operator_error::OperatorError::Refused(detail)
    }

    fn unreachable<Reason>(&self, reason: &Reason) -> operator_error::OperatorError
    where
        Reason: std::fmt::Display + ?Sized,
    {
        let address = self.address.clone();
        let detail = reason.to_string().into();
        operator_error::OperatorError::Unreachable { address, detail }
    }
}
