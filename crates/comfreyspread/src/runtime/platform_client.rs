//! Client of the platform's services: table service, object store and VM list.
//!
//! A transaction whose response is lost may have taken effect. The verdict of the failure says so,
//! and the caller finds out by reading the rows back.
//!
//! The store may come back from a copy; its era in each answer rises then. An answer of an earlier
//! era than one already seen says nothing about the present rows and counts as a failed request.

use crate::transport::{failure, header, http_client, http_message};
use comfreyspread_schema::{ids, types};
use http::Method;
use std::{net, sync::atomic, time};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const OK_STATUS: u16 = 200;
const NOT_FOUND_STATUS: u16 = 404;
const JSON_MEDIA_TYPE: &str = "application/json";

/// Client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    address: net::SocketAddr,
    client: http_client::HttpClient,
    timeout: time::Duration,
    era: atomic::AtomicU64,
}

impl PlatformClient {
    /// Creates a client that waits up to `timeout` for each response.
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        let client = http_client::HttpClient::new(MAX_RESPONSE_BYTES);
        Self { address, client, timeout, era: atomic::AtomicU64::new(0) }
    }

    /// Returns the latest era of the store in any answer; zero before the first.
    pub fn era(&self) -> ids::StoreEra {
        self.era.load(atomic::Ordering::SeqCst)
    }

    /// Sets the node sent as the user agent of each request.
    pub fn with_agent(self, node: &ids::NodeId) -> Self {
        Self { client: self.client.with_user_agent(node), ..self }
    }

    /// Reads one row; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn read_row(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<types::TableRow>, failure::CallFailure> {
        let response = self.get(&format!("/v1/tables/{table}/rows/{key}")).await?;
        if response.status() == NOT_FOUND_STATUS {
            return Ok(None);
        }
        decode(&response).map(Some)
    }

    /// Reads all rows whose key begins with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn scan_rows(
        &self,
        table: &str,
        prefix: &str,
    ) -> Result<types::TableRows, failure::CallFailure> {
        let response = self.get(&format!("/v1/tables/{table}/rows?prefix={prefix}")).await?;
        decode(&response)
    }

    /// Applies several writes atomically.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if nothing was sent, and with `may-have-run` if the writes may have
    /// taken effect.
    pub async fn transact(
        &self,
        request: &types::TransactionRequest,
    ) -> Result<types::TransactionReply, failure::CallFailure> {
        let body = serde_json::to_vec(request).map_err(|error| {
            failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
        })?;
        let response = self.send(Method::POST, "/v1/transactions", body).await?;
        decode(&response)
    }

    /// Reads an object; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn read_object(
        &self,
        name: &str,
    ) -> Result<Option<ids::Payload>, failure::CallFailure> {
        let response = self.get(&format!("/v1/objects/{name}")).await?;
        if response.status() == NOT_FOUND_STATUS {
            return Ok(None);
        }
        check_status(&response)?;
        Ok(Some(response.body().clone()))
    }

    /// Writes an object; the write is idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn write_object(
        &self,
        name: &str,
        body: ids::Payload,
    ) -> Result<(), failure::CallFailure> {
        let path = format!("/v1/objects/{name}");
        let response = self.send(Method::PUT, &path, body.to_vec()).await?;
        check_status(&response)
    }

    /// Reads the list of VMs, which lags behind the actual state.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    pub async fn list_vms(&self) -> Result<types::VmList, failure::CallFailure> {
        let response = self.get("/v1/vms").await?;
        decode(&response)
    }

    async fn get(&self, path: &str) -> Result<http_client::ClientResponse, failure::CallFailure> {
        self.send(Method::GET, path, Vec::new()).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        let url = format!("http://{}{path}", self.address);
        let connection = match method {
            Method::GET => http_client::ConnectionUse::Pooled,
            _ => http_client::ConnectionUse::Fresh,
        };
        let mut request = http_message::Request::new(method, url.as_str());
        if connection == http_client::ConnectionUse::Fresh {
            request.set_body(body);
            request.insert_header("content-type", JSON_MEDIA_TYPE);
        }
        let deadline = time::Instant::now() + self.timeout;
        let called = self.client.call(self.address, request, connection, deadline).await;
        let response = called.map_err(|failure| store_failure(&failure))?;
        self.record_era(&response)?;
        Ok(response)
    }

    /// Records the era of an answer.
    ///
    /// # Errors
    ///
    /// Fails if an answer of a later era has arrived before.
    fn record_era(
        &self,
        response: &http_client::ClientResponse,
    ) -> Result<(), failure::CallFailure> {
        let era = response.header(header::TABLE_ERA).and_then(|era| era.parse().ok()).unwrap_or(0);
        let known = self.era.fetch_max(era, atomic::Ordering::SeqCst);
        if era > known {
            log::warn!(era = era; "store: another era, the store may have come back from a copy");
        }
        if era >= known {
            return Ok(());
        }
        let detail = format!("the answer is of era {era} of the store, and {known} was seen");
        let failure = failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail);
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    }
}

fn store_failure(failure: &failure::CallFailure) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::StoreUnavailable, failure.detail().clone())
        .with_verdict(failure.verdict())
}

fn check_status(response: &http_client::ClientResponse) -> Result<(), failure::CallFailure> {
    if response.status() == OK_STATUS {
        return Ok(());
    }
    let detail = format!("the platform answered with status {}", response.status());
    let failure = failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail);
    Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
}

fn decode<Message>(response: &http_client::ClientResponse) -> Result<Message, failure::CallFailure>
where
    Message: serde::de::DeserializeOwned,
{
    check_status(response)?;
    serde_json::from_slice(response.body()).map_err(|error| {
        let detail = format!("the platform's answer is not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
            .with_verdict(types::CallVerdict::MayHaveRun)
    })
}
