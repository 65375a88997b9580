//! HTTP/1.1 client that says of each failure whether the call may have run.
//!
//! A connection is used again only after an answer was read whole. A call that may not be repeated
//! takes a fresh connection, so that a stale one cannot leave it in doubt.

use crate::{
    runtime::lock_rank,
    transport::{
        client_connection, deadline as deadlines, failure, header, http_body, http_message,
    },
};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use indexmap::IndexMap;
use std::{future, io, net, pin, sync, task, time};

const IDLE_LIMIT: time::Duration = time::Duration::from_secs(3);
const IDLE_CONNECTIONS_PER_ADDRESS: usize = 64;
const NO_CONTENT_STATUS: u16 = 204;

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// A new connection.
    Fresh,
    /// An idle connection if there is one.
    Shared,
}

/// A whole answer.
#[derive(Debug)]
pub struct ClientAnswer {
    head: http::response::Parts,
    body: bytes::Bytes,
}

impl ClientAnswer {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http_message::text(&self.head.headers, name)
    }

    /// Returns the head.
    pub fn head(&self) -> &http::response::Parts {
        &self.head
    }

    /// Returns the body.
    pub fn body(&self) -> &bytes::Bytes {
        &self.body
    }
}

/// Client with idle connections to many addresses.
#[derive(Debug)]
pub struct HttpClient {
    idle: sync::Arc<IdleConnections>,
    body_limit: usize,
    agent: Option<ids::Text>,
}

/// Connections on which no exchange is in progress.
#[derive(Debug)]
struct IdleConnections {
    limit: time::Duration,
    connections: lock_rank::RankedLock<
        lock_rank::ConnectionRank,
        IndexMap<net::SocketAddr, Vec<client_connection::ClientConnection>>,
    >,
}

impl HttpClient {
    /// Creates a client that takes answers of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        let connections = lock_rank::RankedLock::new(IndexMap::new());
        let idle = sync::Arc::new(IdleConnections { limit: IDLE_LIMIT, connections });
        Self { idle, body_limit, agent: None }
    }

    /// Sets the node named as the sender of each request.
    pub fn with_agent(self, node: &ids::NodeId) -> Self {
        Self { agent: Some(format!("{}{node}", header::AGENT_PREFIX).into()), ..self }
    }

    /// Sets how long a connection may be idle before it is closed.
    pub fn with_idle_limit(self, limit: time::Duration) -> Self {
        let connections = lock_rank::RankedLock::new(IndexMap::new());
        Self { idle: sync::Arc::new(IdleConnections { limit, connections }), ..self }
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if no connection could be made, and with `may-have-run` if the call
    /// was sent and no whole answer came before `deadline`.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<ClientAnswer, failure::CallFailure> {
        let connection = self.connect(address, connection, deadline).await?;
        let exchange = async {
            let mut response = self.exchange(connection, request).await?;
            check_framing(&response)?;
            let body = read_whole(&mut response.take_body(), self.body_limit).await?;
            Ok(ClientAnswer { head: response.head().clone(), body })
        };
        exchange.or(timeout(deadline)).await
    }

    /// Makes a call and returns once the head of its answer has come; the body is read by the
    /// caller. The connection is closed when the answer is dropped before its end.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`].
    pub async fn open(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        deadline: time::Instant,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let response = self.begin(address, request, ConnectionUse::Fresh, deadline).await?;
        check_framing(&response)?;
        Ok(response)
    }

    /// Makes a call like [`HttpClient::open`], over any connection, and takes an answer that ends
    /// with its connection.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`].
    pub async fn begin(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let connection = self.connect(address, connection, deadline).await?;
        self.exchange(connection, request).or(timeout(deadline)).await
    }

    /// Sends a request and waits, without end, for the head of its answer.
    async fn exchange(
        &self,
        mut connection: client_connection::ClientConnection,
        request: http_message::Request,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let address = connection.address();
        let sent = connection.exchange(self.signed(address, request)).await;
        let answer = sent.map_err(|fault| match fault {
            client_connection::ExchangeFault::Unsent => unsent(address, "it was closed"),
            client_connection::ExchangeFault::Lost(error) => {
                lost(format!("the exchange failed: {error}")).with_crashed(true)
            }
        });
        let (head, incoming) = answer?.into_parts();
        let length = hyper::body::Body::size_hint(&incoming).exact();
        let home = self.idle.clone();
        let source = AnswerSource { incoming, connection: Some(connection), home };
        let body = http_body::MessageBody::from_source(source, length);
        Ok(http_message::Response::from_parts(head, body))
    }

    fn signed(
        &self,
        address: net::SocketAddr,
        mut request: http_message::Request,
    ) -> http_message::Request {
        if request.header("host").is_none() {
            request.insert_header("host", address.to_string());
        }
        if let Some(agent) = &self.agent {
            request.insert_header(header::USER_AGENT, agent);
        }
        request
    }

    /// Returns a connection on which a request can be sent before `deadline`.
    async fn connect(
        &self,
        address: net::SocketAddr,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<client_connection::ClientConnection, failure::CallFailure> {
        if connection == ConnectionUse::Shared {
            while let Some(mut connection) = self.idle.take(address) {
                if connection.is_usable().await {
                    return check_time(deadline).map(|()| connection);
                }
            }
        }
        let opened = client_connection::ClientConnection::new(address);
        let late = async {
            deadlines::DeadlineTimer::new(deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let opened = opened.or(late).await.map_err(|error| unsent(address, &error.to_string()))?;
        check_time(deadline).map(|()| opened)
    }
}

impl IdleConnections {
    fn take(&self, address: net::SocketAddr) -> Option<client_connection::ClientConnection> {
        let mut idle = self.connections.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.idle_since().elapsed() < self.limit {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, mut connection: client_connection::ClientConnection) {
        connection.rest();
        let mut idle = self.connections.lock();
        let connections = idle.entry(connection.address()).or_default();
        connections.retain(|connection| connection.idle_since().elapsed() < self.limit);
        if connections.len() < IDLE_CONNECTIONS_PER_ADDRESS {
            connections.push(connection);
        }
    }
}

/// Body of an answer, with the connection it comes over.
struct AnswerSource {
    incoming: hyper::body::Incoming,
    connection: Option<client_connection::ClientConnection>,
    home: sync::Arc<IdleConnections>,
}

impl AnswerSource {
    /// Keeps the connection for another exchange if it can bear one.
    fn finish(&mut self, cx: &mut task::Context<'_>) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.poll_driver(cx);
        if connection.is_ready() {
            self.home.keep(connection);
        }
    }
}

impl http_body::ChunkSource for AnswerSource {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        let source = &mut *self;
        if let Some(connection) = &mut source.connection {
            connection.poll_driver(cx);
        }
        let chunk = pin::Pin::new(&mut source.incoming).poll_chunk(cx);
        if matches!(chunk, task::Poll::Ready(None)) {
            source.finish(cx);
        }
        chunk
    }
}

/// Refuses an answer that neither states its length nor marks its end.
fn check_framing(response: &http_message::Response) -> Result<(), failure::CallFailure> {
    let chunked = response.header("transfer-encoding").is_some();
    let sized = response.header("content-length").is_some();
    let empty = response.status().as_u16() == NO_CONTENT_STATUS;
    if chunked || sized || empty {
        return Ok(());
    }
    Err(lost("the answer has neither a length nor chunks".to_owned()))
}

/// Reads the body of an answer.
///
/// # Errors
///
/// Fails if the body is cut short or longer than `limit` bytes; the call has run then.
pub async fn read_whole(
    body: &mut http_body::MessageBody,
    limit: usize,
) -> Result<bytes::Bytes, failure::CallFailure> {
    let mut whole = bytes::BytesMut::new();
    while let Some(chunk) = body.next_chunk().await {
        let chunk = chunk.map_err(|error| {
            lost(format!("the answer was cut short: {error}")).with_crashed(true)
        })?;
        if whole.len() + chunk.len() > limit {
            return Err(lost(format!("the answer is larger than {limit} bytes")));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

async fn timeout<Answer>(deadline: time::Instant) -> Result<Answer, failure::CallFailure> {
    deadlines::DeadlineTimer::new(deadline).await;
    let failure = failure::CallFailure::new(types::ProblemKind::Timeout, "no answer in time");
    Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
}

/// Refuses a call whose deadline has passed before its first byte, as after a freeze.
fn check_time(deadline: time::Instant) -> Result<(), failure::CallFailure> {
    if time::Instant::now() < deadline {
        return Ok(());
    }
    let detail = "the deadline passed before the call was sent";
    Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail))
}

fn unsent(address: net::SocketAddr, reason: &str) -> failure::CallFailure {
    let detail = format!("cannot connect to {address}: {reason}");
    failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
}

fn lost(detail: String) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
}

/// Waits for `work`, or returns none once `deadline` has passed.
pub async fn before<Work>(deadline: time::Instant, work: Work) -> Option<Work::Output>
where
    Work: future::Future,
{
    deadlines::before(&mut deadlines::DeadlineTimer::new(deadline), work).await
}
