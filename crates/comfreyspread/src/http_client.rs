//! HTTP/1.1 client that says of each failure whether the call may have run.
//!
//! A connection is used again only after an answer was read whole. A call that may not be repeated
//! takes a fresh connection, so that a stale one cannot leave it in doubt.

use crate::{deadline as deadlines, failure, header, rank};
use async_net::TcpStream;
use comfreyspread_schema::{ids, types};
use futures_lite::{AsyncReadExt as _, FutureExt as _};
use http_types::{Request, Response, headers};
use indexmap::IndexMap;
use std::{future, io, net, time};

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
    head: Response,
    body: bytes::Bytes,
}

impl ClientAnswer {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.as_str())
    }

    /// Returns the body.
    pub fn body(&self) -> &bytes::Bytes {
        &self.body
    }
}

/// Client with idle connections to many addresses.
#[derive(Debug)]
pub struct HttpClient {
    idle: rank::RankedLock<rank::ConnectionRank, IndexMap<net::SocketAddr, Vec<IdleConnection>>>,
    body_limit: usize,
    agent: Option<ids::Text>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: time::Instant,
}

impl HttpClient {
    /// Creates a client that takes answers of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        Self { idle: rank::RankedLock::new(IndexMap::new()), body_limit, agent: None }
    }

    /// Sets the node named as the sender of each request.
    pub fn with_agent(self, node: &ids::NodeId) -> Self {
        Self { agent: Some(format!("{}{node}", header::AGENT_PREFIX).into()), ..self }
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
        request: Request,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<ClientAnswer, failure::CallFailure> {
        let stream = self.connect(address, connection, deadline).await?;
        check_time(deadline)?;
        let exchange = async {
            let mut head = exchange_head(stream.clone(), self.signed(request)).await?;
            let body = read_whole(&mut head, self.body_limit).await?;
            Ok(ClientAnswer { head, body })
        };
        let answer = exchange.or(timeout(deadline)).await?;
        if !wants_close(&answer.head) {
            self.keep(address, stream);
        }
        Ok(answer)
    }

    /// Makes a call and returns once the head of its answer has come; the body is read by the
    /// caller. The connection is closed when the answer is dropped.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`].
    pub async fn open(
        &self,
        address: net::SocketAddr,
        request: Request,
        deadline: time::Instant,
    ) -> Result<Response, failure::CallFailure> {
        let stream = self.connect(address, ConnectionUse::Fresh, deadline).await?;
        check_time(deadline)?;
        exchange_head(stream, self.signed(request)).or(timeout(deadline)).await
    }

    fn signed(&self, mut request: Request) -> Request {
        if let Some(agent) = &self.agent {
            request.insert_header(header::USER_AGENT, &**agent);
        }
        request
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        connection: ConnectionUse,
        deadline: time::Instant,
    ) -> Result<TcpStream, failure::CallFailure> {
        if connection == ConnectionUse::Shared
            && let Some(stream) = self.take_idle(address)
        {
            return Ok(stream);
        }
        let opened = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            io::Result::Ok(stream)
        };
        let late = async {
            deadlines::DeadlineTimer::new(deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        opened.or(late).await.map_err(|error| {
            let detail = format!("cannot connect to {address}: {error}");
            failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
        })
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.since.elapsed() < IDLE_LIMIT {
                return Some(connection.stream);
            }
        }
        None
    }

    fn keep(&self, address: net::SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| connection.since.elapsed() < IDLE_LIMIT);
        if connections.len() < IDLE_CONNECTIONS_PER_ADDRESS {
            connections.push(IdleConnection { stream, since: time::Instant::now() });
        }
    }
}

async fn exchange_head(
    stream: TcpStream,
    request: Request,
) -> Result<Response, failure::CallFailure> {
    let response = async_h1::connect(stream, request)
        .await
        .map_err(|error| lost(format!("the exchange failed: {error}")).with_crashed(true))?;
    let chunked = response.header(headers::TRANSFER_ENCODING).is_some();
    let sized = response.header(headers::CONTENT_LENGTH).is_some();
    let empty = u16::from(response.status()) == NO_CONTENT_STATUS;
    if !chunked && !sized && !empty {
        return Err(lost("the answer has neither a length nor chunks".to_owned()));
    }
    Ok(response)
}

async fn read_whole(
    head: &mut Response,
    limit: usize,
) -> Result<bytes::Bytes, failure::CallFailure> {
    let stated = head.len();
    let mut bytes = Vec::with_capacity(stated.unwrap_or(0).min(limit));
    let most = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let read = head.take_body().take(most).read_to_end(&mut bytes).await;
    if let Err(error) = read {
        return Err(lost(format!("the answer was cut short: {error}")).with_crashed(true));
    }
    if bytes.len() > limit {
        return Err(lost(format!("the answer is larger than {limit} bytes")));
    }
    if stated.is_some_and(|length| length != bytes.len()) {
        return Err(lost("the answer was cut short".to_owned()).with_crashed(true));
    }
    Ok(bytes.into())
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

fn lost(detail: String) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
}

fn wants_close(response: &Response) -> bool {
    let value = response.header(headers::CONNECTION);
    value.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

/// Waits for `work`, or returns none once `deadline` has passed.
pub async fn before<Work>(deadline: time::Instant, work: Work) -> Option<Work::Output>
where
    Work: future::Future,
{
    deadlines::before(&mut deadlines::DeadlineTimer::new(deadline), work).await
}
