//! Client of the platform's metadata store.

use crate::transport::{failure, http_client, http_message};
use comfreyspread_platform::store;
use comfreyspread_schema::types;
use std::{net, time};

const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const OK_STATUS: u16 = 200;
/// Longest wait for an answer that does not wait for changes.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(1500);
const CONNECTION_LIFE: time::Duration = time::Duration::from_secs(5);

/// Changes of a table, or word that the history asked for is gone.
#[derive(Debug)]
pub enum StoreFeed {
    /// The changes since the version asked for.
    Changes(types::StorePage),
    /// The table has to be read anew.
    HistoryGone,
}

/// Client of the store.
#[derive(Debug)]
pub struct StoreClient {
    address: net::SocketAddr,
    client: http_client::HttpClient,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        let client = http_client::HttpClient::new(ANSWER_LIMIT_BYTES);
        Self { address, client: client.with_idle_timeout(CONNECTION_LIFE) }
    }

    /// Reads all rows of a table.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, or refuses.
    pub async fn read_table(&self, table: &str) -> Result<types::StorePage, failure::CallFailure> {
        let mut whole = self.read_page(table, None).await?;
        while whole.more {
            let Some(last) = whole.rows.last() else { break };
            let next = store::next_key(&last.key);
            let page = self.read_page(table, Some(&next)).await?;
            whole.version = whole.version.min(page.version);
            whole.more = page.more;
            whole.rows.extend(page.rows);
        }
        Ok(whole)
    }

    /// Waits for changes of a table after `version`; returns none if there are none for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, or refuses.
    pub async fn feed(
        &self,
        table: &str,
        version: u64,
        wait: time::Duration,
    ) -> Result<StoreFeed, failure::CallFailure> {
        let path = store::feed_path(table, version, wait);
        let answer = self.send(&path, wait + ANSWER_LIMIT).await?;
        if answer.status() == store::HISTORY_GONE_STATUS {
            return Ok(StoreFeed::HistoryGone);
        }
        decode(&answer).map(StoreFeed::Changes)
    }

    async fn read_page(
        &self,
        table: &str,
        first: Option<&str>,
    ) -> Result<types::StorePage, failure::CallFailure> {
        let path = store::page_path(table, first);
        decode(&self.send(&path, ANSWER_LIMIT).await?)
    }

    async fn send(
        &self,
        path: &str,
        patience: time::Duration,
    ) -> Result<http_client::ClientResponse, failure::CallFailure> {
        let url = format!("http://{}{path}", self.address);
        let request = http_message::Request::new(http::Method::GET, &url);
        let connection = http_client::ConnectionUse::Pooled;
        let deadline = time::Instant::now() + patience;
        self.client.call(self.address, request, connection, deadline).await
    }
}

fn check(answer: &http_client::ClientResponse) -> Result<(), failure::CallFailure> {
    if answer.status() == OK_STATUS {
        return Ok(());
    }
    let detail = format!("the store answered with status {}", answer.status());
    Err(failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail))
}

fn decode(answer: &http_client::ClientResponse) -> Result<types::StorePage, failure::CallFailure> {
    check(answer)?;
    let decoded = store::decode_page(answer.body()).map_err(|fault| {
        failure::CallFailure::new(types::ProblemKind::StoreUnavailable, fault.to_string())
    })?;
    for fault in decoded.1 {
        log::warn!("store: row left out. error={fault}");
    }
    Ok(decoded.0)
}
