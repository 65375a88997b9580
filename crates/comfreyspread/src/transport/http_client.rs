//! HTTP/1.1 client whose failures state whether the call may have run.
//!
//! A connection is reused only after its response was read to the end, and a [`HeldResponse`] was
//! found to answer its call. A call that must not be
//! retried uses a new connection: if a reused one turned out to be closed, it would be unknown
//! whether the call ran.

use crate::transport::{
    body, client_connection, deadline as deadlines, failure, header, http_body, http_message,
    idle_connections, response_memory,
};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use std::{future, io, net, ops, pin, sync, task, time};

const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
const NO_CONTENT_STATUS: u16 = 204;
const FINAL_STATUSES: ops::Range<u16> = 200..600;
/// Bodies of the largest size that are read at once, unless the memory for them is set.
const LARGE_BODIES_AT_ONCE: usize = 2;
/// Chunks of a body that are read in a row before other tasks, and the timer of the call, have their
/// turn.
const CHUNKS_IN_A_ROW: u32 = 4;

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// A new connection.
    Fresh,
    /// An idle connection if there is one.
    Pooled,
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct ClientResponse {
    head: http::response::Parts,
    body: bytes::Bytes,
}

impl ClientResponse {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http_message::header_text(&self.head.headers, name)
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

/// How the end of a response's body may be marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By a length or by chunks.
    Explicit,
    /// Also by the end of the connection.
    Any,
}

/// A response whose body has been read, with its connection, which is closed on drop.
///
/// A faulty endpoint may write an earlier response once more. Whoever can tell it from the response
/// to this call releases the connection only after that check: the next call on it would otherwise
/// get the response to this one.
#[derive(Debug)]
pub struct HeldResponse {
    response: ClientResponse,
    connection: Option<client_connection::ClientConnection>,
    idle: sync::Arc<idle_connections::IdleConnections>,
}

impl HeldResponse {
    /// Returns the response.
    pub fn response(&self) -> &ClientResponse {
        &self.response
    }

    /// Makes the connection available to other calls and returns the response.
    pub fn release(self) -> ClientResponse {
        if let Some(connection) = self.connection {
            self.idle.release(connection);
        }
        self.response
    }
}

/// Client that keeps idle connections per address.
#[derive(Debug)]
pub struct HttpClient {
    idle: sync::Arc<idle_connections::IdleConnections>,
    body_limit: usize,
    memory: sync::Arc<response_memory::ResponseMemory>,
    user_agent: Option<ids::Text>,
}

impl HttpClient {
    /// Creates a client that accepts response bodies of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        let idle = sync::Arc::new(idle_connections::IdleConnections::new(IDLE_TIMEOUT));
        let memory = response_memory::ResponseMemory::new(body_limit * LARGE_BODIES_AT_ONCE);
        Self { idle, body_limit, memory: sync::Arc::new(memory), user_agent: None }
    }

    /// Sets the node named in the `user-agent` header of each request.
    pub fn with_user_agent(self, node: &ids::NodeId) -> Self {
        Self { user_agent: Some(format!("{}{node}", header::USER_AGENT_PREFIX).into()), ..self }
    }

    /// Sets the memory for responses.
    pub fn with_memory(self, memory: response_memory::ResponseMemory) -> Self {
        Self { memory: sync::Arc::new(memory), ..self }
    }

    /// Returns the memory for responses.
    pub fn memory(&self) -> &sync::Arc<response_memory::ResponseMemory> {
        &self.memory
    }

    /// Sets how long a connection may be idle before it is closed.
    pub fn with_idle_timeout(self, timeout: time::Duration) -> Self {
        Self { idle: sync::Arc::new(idle_connections::IdleConnections::new(timeout)), ..self }
    }

    /// Makes a call and reads its whole response.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if no connection could be opened, and with `may-have-run` if the call
    /// was sent and no complete response arrived before `deadline`.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<ClientResponse, failure::CallFailure> {
        let framing = BodyFraming::Explicit;
        let held = self.call_held(address, request, connection, framing, deadline).await?;
        Ok(held.release())
    }

    /// Makes a call like [`HttpClient::call`] and holds its connection until the response has been
    /// checked.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`].
    pub async fn call_held(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        connection: ConnectionUse,
        framing: BodyFraming,
        deadline: time::Instant,
    ) -> Result<HeldResponse, failure::CallFailure> {
        let connection = self.connect(address, connection, deadline).await?;
        self.exchange_held(connection, request, framing, deadline).await
    }

    /// Sends a request on a connection, reads its whole response, and holds the connection until the
    /// response has been checked.
    ///
    /// # Errors
    ///
    /// Fails with `may-have-run` if no complete response arrived before `deadline`.
    pub async fn exchange_held(
        &self,
        connection: client_connection::ClientConnection,
        request: http_message::Request,
        framing: BodyFraming,
        deadline: time::Instant,
    ) -> Result<HeldResponse, failure::CallFailure> {
        let exchange = async {
            let (holder, held) = async_channel::bounded(1);
            let finished = FinishedConnection::Held(holder);
            let mut response = self.exchange(connection, request, finished).await?;
            if framing == BodyFraming::Explicit {
                check_framing(&response)?;
            }
            let body = self.read_body(&mut response).await?;
            let response = ClientResponse { head: response.head().clone(), body };
            // Empty if the connection cannot be reused.
            let connection = held.try_recv().ok();
            Ok(HeldResponse { response, connection, idle: self.idle.clone() })
        };
        exchange.or(fail_at(deadline)).await
    }

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut short, larger than this client accepts, or has to give way while
    /// responses have used up their memory; the call has run then.
    pub async fn read_body(
        &self,
        response: &mut http_message::Response,
    ) -> Result<bytes::Bytes, failure::CallFailure> {
        let mut body = response.take_body();
        let mut account = ResponseAccount { holder: body.holder().cloned(), bytes: 0 };
        let read = body::read_to_end(&mut body, self.body_limit, &mut account).await;
        drop(body);
        let bytes = read.map_err(|error| body_failure(error, self.body_limit))?;
        // The source of the body, which also held it, has ended.
        let holder = account.holder.and_then(sync::Arc::into_inner);
        Ok(match holder {
            Some(holder) => holder.pin(bytes),
            None => bytes,
        })
    }

    /// Makes a call and returns once the head of its response has arrived; the caller reads the
    /// body. Dropping the response before its end closes the connection.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`].
    pub async fn call_streaming(
        &self,
        address: net::SocketAddr,
        request: http_message::Request,
        deadline: time::Instant,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let connection = self.connect(address, ConnectionUse::Fresh, deadline).await?;
        let response = self.send(connection, request, deadline).await?;
        check_framing(&response)?;
        Ok(response)
    }

    /// Sends a request on a connection and returns once the head of its response has arrived, which
    /// may also be one that is delimited by the end of its connection.
    ///
    /// # Errors
    ///
    /// Fails with `may-have-run` if the request was sent and no response began before `deadline`.
    pub async fn send(
        &self,
        connection: client_connection::ClientConnection,
        request: http_message::Request,
        deadline: time::Instant,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let finished = FinishedConnection::Idle(self.idle.clone());
        self.exchange(connection, request, finished).or(fail_at(deadline)).await
    }

    /// Sends a request and waits without a deadline for the head of its response.
    async fn exchange(
        &self,
        mut connection: client_connection::ClientConnection,
        request: http_message::Request,
        finished: FinishedConnection,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let address = connection.address();
        let holder = sync::Arc::new(self.memory.hold());
        let request = self.with_standard_headers(address, request);
        let response = connection.exchange(request, &holder).await;
        let response = response.map_err(|error| match error {
            client_connection::ExchangeError::Unsent => connection_failed(address, "it was closed"),
            client_connection::ExchangeError::Lost(error) => {
                response_failed(format!("the exchange failed: {error}")).with_crashed(true)
            }
            client_connection::ExchangeError::Revoked(error) => response_failed(error.to_string()),
        });
        let (head, incoming) = response?.into_parts();
        check_status(head.status)?;
        let length = hyper::body::Body::size_hint(&incoming).exact();
        let source = ResponseSource {
            incoming,
            connection: Some(connection),
            finished,
            chunks_in_a_row: 0,
            holder: holder.clone(),
        };
        let body = http_body::MessageBody::from_source(source, length).with_holder(holder);
        Ok(http_message::Response::from_parts(head, body))
    }

    fn with_standard_headers(
        &self,
        address: net::SocketAddr,
        mut request: http_message::Request,
    ) -> http_message::Request {
        if request.header("host").is_none() {
            request.insert_header("host", address.to_string());
        }
        if let Some(user_agent) = &self.user_agent {
            request.insert_header(header::USER_AGENT, user_agent);
        }
        request
    }

    /// Returns a connection on which a request can be sent before `deadline`. Over a link that loses
    /// packets it may open seconds later.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if no connection could be opened.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<client_connection::ClientConnection, failure::CallFailure> {
        if connection == ConnectionUse::Pooled {
            while let Some(mut connection) = self.idle.acquire(address) {
                if connection.is_usable().await {
                    return check_deadline(deadline).map(|()| connection);
                }
            }
        }
        let connection = client_connection::ClientConnection::new(address);
        let timed_out = async {
            deadlines::DeadlineTimer::new(deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connection = connection
            .or(timed_out)
            .await
            .map_err(|error| connection_failed(address, &error.to_string()))?;
        check_deadline(deadline).map(|()| connection)
    }
}

/// Where a connection goes once its response was read to the end.
enum FinishedConnection {
    /// To the idle ones.
    Idle(sync::Arc<idle_connections::IdleConnections>),
    /// To the caller, who checks the response.
    Held(async_channel::Sender<client_connection::ClientConnection>),
}

/// Body of a response, with its connection.
struct ResponseSource {
    incoming: hyper::body::Incoming,
    connection: Option<client_connection::ClientConnection>,
    finished: FinishedConnection,
    chunks_in_a_row: u32,
    holder: sync::Arc<response_memory::ResponseHolder>,
}

/// Charges a body that is read to the holder of its response.
struct ResponseAccount {
    holder: Option<sync::Arc<response_memory::ResponseHolder>>,
    bytes: usize,
}

impl body::MemoryAccount for ResponseAccount {
    fn grow(&mut self, bytes: usize) -> Result<(), body::BodyError> {
        self.bytes += bytes;
        let holder = self.holder.as_ref();
        holder.map_or(Ok(()), |holder| holder.resize(self.bytes)).map_err(|_| body::BodyError::Busy)
    }
}

impl ResponseSource {
    /// Hands on the connection if it can be reused.
    fn finish(&mut self, cx: &mut task::Context<'_>) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.poll_driver(cx);
        if !connection.is_ready() {
            return;
        }
        match &self.finished {
            FinishedConnection::Idle(idle) => idle.release(connection),
            // Sending fails only if the caller has given up; the connection is closed then.
            FinishedConnection::Held(holder) => drop(holder.try_send(connection)),
        }
    }
}

impl http_body::ChunkSource for ResponseSource {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        let source = &mut *self;
        if source.holder.poll_revoked(cx) {
            source.connection = None;
            return task::Poll::Ready(Some(Err(response_memory::MemoryRevoked.into())));
        }
        // A response that gives way is freed in its own turn, which must not wait until all others have
        // read several chunks.
        let max_chunks = if source.holder.is_counted() { 1 } else { CHUNKS_IN_A_ROW };
        if source.chunks_in_a_row >= max_chunks {
            source.chunks_in_a_row = 0;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        if let Some(connection) = &mut source.connection {
            connection.poll_driver(cx);
        }
        let chunk = pin::Pin::new(&mut source.incoming).poll_chunk(cx);
        source.chunks_in_a_row = if chunk.is_ready() { source.chunks_in_a_row + 1 } else { 0 };
        if matches!(chunk, task::Poll::Ready(None)) {
            source.finish(cx);
        }
        chunk
    }
}

/// Rejects a status that no final answer has. The HTTP library accepts all numbers of three digits
/// from 100 on.
fn check_status(status: http::StatusCode) -> Result<(), failure::CallFailure> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(response_failed(format!("the answer has the status {status}, which is none of an answer")))
}

/// Rejects a response that neither states its length nor marks its end.
fn check_framing(response: &http_message::Response) -> Result<(), failure::CallFailure> {
    let chunked = response.header("transfer-encoding").is_some();
    let sized = response.header("content-length").is_some();
    let empty = response.status().as_u16() == NO_CONTENT_STATUS;
    if chunked || sized || empty {
        return Ok(());
    }
    Err(response_failed("the answer has neither a length nor chunks".to_owned()))
}

/// Maps the reason why the body of a response could not be read; the call has run then.
fn body_failure(error: body::BodyError, limit: usize) -> failure::CallFailure {
    match error {
        body::BodyError::CutShort => {
            response_failed("the answer was cut short".to_owned()).with_crashed(true)
        }
        body::BodyError::TooLarge => {
            response_failed(format!("the answer is larger than {limit} bytes"))
        }
        body::BodyError::Busy => response_failed(response_memory::MemoryRevoked.to_string()),
    }
}

/// Waits until `deadline`, then fails.
async fn fail_at<Response>(deadline: time::Instant) -> Result<Response, failure::CallFailure> {
    deadlines::DeadlineTimer::new(deadline).await;
    let failure = failure::CallFailure::new(types::ProblemKind::Timeout, "no answer in time");
    Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
}

/// Rejects a call whose deadline passed before it was sent, as after the process stalled.
fn check_deadline(deadline: time::Instant) -> Result<(), failure::CallFailure> {
    if time::Instant::now() < deadline {
        return Ok(());
    }
    let detail = "the deadline passed before the call was sent";
    Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail))
}

fn connection_failed(address: net::SocketAddr, reason: &str) -> failure::CallFailure {
    let detail = format!("cannot connect to {address}: {reason}");
    failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
}

fn response_failed(detail: String) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
}

/// Waits for `work`; returns none if `deadline` passes first.
pub async fn with_deadline<Work>(deadline: time::Instant, work: Work) -> Option<Work::Output>
where
    Work: future::Future,
{
    deadlines::with_timer(&mut deadlines::DeadlineTimer::new(deadline), work).await
}
