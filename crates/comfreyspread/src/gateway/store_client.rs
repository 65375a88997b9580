//! Client of the platform's metadata store.

use crate::{
    runtime::stage_metrics,
    transport::{failure, header, http_client, http_message, response_memory},
};
use comfreyspread_platform::store;
use comfreyspread_schema::types;
use std::{cmp, net, time};

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const OK_STATUS: u16 = 200;
/// Timeout of a request, in addition to the time for which the store waits for changes.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Reply to a request for the changes of a table.
#[derive(Debug)]
pub enum StoreFeed {
    /// The changes after the requested version.
    Changes(types::StorePage),
    /// The store no longer has the requested history; the table has to be read in full.
    HistoryGone,
    /// The store was restored from a copy since; the table has to be read in full.
    Restored,
}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: net::SocketAddr,
    client: http_client::HttpClient,
    metrics: stage_metrics::StageMetrics,
}

impl StoreClient {
    /// Creates a client of the store at `address` that counts its calls by purpose.
    pub fn new(address: net::SocketAddr, metrics: stage_metrics::StageMetrics) -> Self {
        let client = http_client::HttpClient::new(MAX_RESPONSE_BYTES);
        Self { address, client: client.with_idle_timeout(IDLE_TIMEOUT), metrics }
    }

    /// Sets the memory for responses.
    pub fn with_memory(self, memory: response_memory::ResponseMemory) -> Self {
        Self { client: self.client.with_memory(memory), ..self }
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, rejects the request or is restored between two pages, or
    /// if a page names no row from which the next one could be read.
    pub async fn read_table(&self, table: &str) -> Result<types::StorePage, failure::CallFailure> {
        let mut all = self.read_page(table, None).await?;
        while all.has_more {
            let last = all.rows.last().map(|row| row.key.clone()).ok_or_else(no_progress)?;
            let page = self.read_page(table, Some(&store::next_key(&last))).await?;
            if page.has_more && page.rows.last().is_none_or(|row| row.key <= last) {
                return Err(no_progress());
            }
            if page.position.era != all.position.era {
                return Err(unavailable("the store was restored between two pages".to_owned()));
            }
            all.position = all.position.min(page.position);
            all.has_more = page.has_more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Waits up to `wait` for changes of a table after `position`; the page is empty if there are
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, rejects the request or answers from an earlier era.
    pub async fn poll_changes(
        &self,
        table: &str,
        position: types::StorePosition,
        wait: time::Duration,
    ) -> Result<StoreFeed, failure::CallFailure> {
        self.metrics.count_store_poll();
        let path = store::feed_path(table, position.version, wait);
        let response = self.send(&path, wait + RESPONSE_TIMEOUT).await?;
        if response.status() == store::HISTORY_GONE_STATUS {
            return Ok(StoreFeed::HistoryGone);
        }
        let page = decode(&response)?;
        match page.position.era.cmp(&position.era) {
            cmp::Ordering::Less => Err(unavailable(format!(
                "the answer is of era {}, before era {}",
                page.position.era, position.era
            ))),
            cmp::Ordering::Equal => Ok(StoreFeed::Changes(page)),
            cmp::Ordering::Greater => Ok(StoreFeed::Restored),
        }
    }

    /// Reads the first page of a table, with its time on the store's steady clock.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or rejects the request.
    pub async fn read_timed(
        &self,
        table: &str,
    ) -> Result<(types::StorePage, time::Duration), failure::CallFailure> {
        self.metrics.count_store_page();
        let response = self.send(&store::page_path(table, None), RESPONSE_TIMEOUT).await?;
        let page = decode(&response)?;
        let now = store::decode_time(response.body()).map_err(|error| {
            failure::CallFailure::new(types::ProblemKind::StoreUnavailable, error.to_string())
        })?;
        Ok((page, now))
    }

    /// Changes rows, all or none of them. Returns false if one does not have the version
    /// that its change requires.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or rejects the request; the changes may then be made
    /// later, if the versions still hold.
    pub async fn change_rows(
        &self,
        changes: &[types::RowChange],
    ) -> Result<bool, failure::CallFailure> {
        self.metrics.count_store_change();
        let body = store::encode_changes(changes).map_err(|error| {
            failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
        })?;
        let url = format!("http://{}{}", self.address, store::CHANGE_PATH);
        let mut request = http_message::Request::new(http::Method::POST, &url);
        request.set_body(body);
        request.insert_header("content-type", header::JSON);
        let connection = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + RESPONSE_TIMEOUT;
        let response = self.client.call(self.address, request, connection, deadline).await?;
        if response.status() == store::CONDITION_FAILED_STATUS {
            return Ok(false);
        }
        check_status(&response).map(|()| true)
    }

    async fn read_page(
        &self,
        table: &str,
        first: Option<&str>,
    ) -> Result<types::StorePage, failure::CallFailure> {
        self.metrics.count_store_page();
        let path = store::page_path(table, first);
        decode(&self.send(&path, RESPONSE_TIMEOUT).await?)
    }

    async fn send(
        &self,
        path: &str,
        timeout: time::Duration,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        let url = format!("http://{}{path}", self.address);
        let request = http_message::Request::new(http::Method::GET, &url);
        let connection = http_client::ConnectionUse::Pooled;
        let deadline = time::Instant::now() + timeout;
        self.client.call(self.address, request, connection, deadline).await
    }
}

fn check_status(response: &http_client::ClientResponse) -> Result<(), failure::CallFailure> {
    if response.status() == OK_STATUS {
        return Ok(());
    }
    Err(unavailable(format!("the store answered with status {}", response.status())))
}

fn unavailable(detail: String) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
}

fn no_progress() -> failure::CallFailure {
    unavailable("a page has no readable key from which the next one starts".to_owned())
}

fn decode(
    response: &http_client::ClientResponse,
) -> Result<types::StorePage, failure::CallFailure> {
    check_status(response)?;
    let era = store::decode_era(&response.head().headers);
    let era = era.map_err(|error| unavailable(error.to_string()))?;
    let decoded = store::decode_page(response.body(), era);
    let decoded = decoded.map_err(|error| unavailable(error.to_string()))?;
    // A warning follows where a changed row is applied; the same row may be read again and again.
    for error in decoded.1 {
        log::debug!("store: invalid row. error={error}");
    }
    Ok(decoded.0)
}
