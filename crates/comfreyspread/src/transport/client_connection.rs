//! One connection of the HTTP client.
//!
//! The task that waits for an exchange also polls `hyper`'s connection, so an idle connection needs
//! no task, and dropping an exchange closes its connection.

use crate::transport::{head_limit, http_body, http_message, response_memory};
use async_net::TcpStream;
use hyper::client::conn::http1;
use rustix::net::sockopt;
use std::{fmt, future, io, net, pin, task, time};

type HyperStream = smol_hyper::rt::FuturesIo<head_limit::LimitedStream<TcpStream>>;
type HyperConnection = http1::Connection<HyperStream, http_body::MessageBody>;

/// Maximum size of the read buffer of a connection, which holds an unfinished head, in bytes: as on the
/// side of the callers.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;
/// Idle time after which TCP keepalive probes are sent.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(2);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 2;

/// An open connection.
pub struct ClientConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<http_body::MessageBody>,
    driver: sync_wrapper::SyncWrapper<Option<HyperConnection>>,
    head_limit: head_limit::HeadLimit,
    idle_since: time::Instant,
    kept: bool,
}

/// Why an exchange yielded no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was written.
    Unsent,
    /// The request was written, but the connection ended before the head of a response.
    Lost(hyper::Error),
    /// The request was written, and its response had to give way before its head had arrived.
    Revoked(response_memory::MemoryRevoked),
}

impl ClientConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened; nothing was sent then.
    pub async fn new(address: net::SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        detect_dead_peer(&stream)?;
        let head_limit = head_limit::HeadLimit::new();
        let stream = head_limit::LimitedStream::new(stream, head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(smol_hyper::rt::FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = sync_wrapper::SyncWrapper::new(Some(driver));
        Ok(Self {
            address,
            sender,
            driver,
            head_limit,
            idle_since: time::Instant::now(),
            kept: false,
        })
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns when the last exchange ended.
    pub fn idle_since(&self) -> time::Instant {
        self.idle_since
    }

    /// Returns whether the connection has served an earlier exchange. What follows the response to
    /// that one may cross the next request.
    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// Records the end of an exchange.
    pub fn mark_idle(&mut self) {
        self.kept = true;
        self.idle_since = time::Instant::now();
    }

    /// Processes what arrived while the connection was idle and returns whether it can be reused.
    pub async fn is_usable(&mut self) -> bool {
        let ready = future::poll_fn(|cx| {
            // The first poll lets the connection signal that it accepts a request.
            self.poll_driver(cx);
            let first = self.sender.poll_ready(cx);
            self.poll_driver(cx);
            task::Poll::Ready(first.is_ready() || self.sender.poll_ready(cx).is_ready())
        });
        ready.await && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its response, what has arrived of which is charged to
    /// `holder`.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or sends too much first, or the response has to give way; the error
    /// says whether anything was written.
    pub async fn exchange(
        &mut self,
        request: http_message::Request,
        holder: &response_memory::ResponseHolder,
    ) -> Result<http::Response<hyper::body::Incoming>, ExchangeError> {
        if self.drive(|sender, cx| sender.poll_ready(cx)).await.is_err() {
            return Err(ExchangeError::Unsent);
        }
        self.head_limit.start();
        let mut response = Box::pin(self.sender.try_send_request(request.into_http()));
        let head_limit = self.head_limit.clone();
        let response = self.drive(|_, cx| {
            if let Err(revoked) = charge_head(&head_limit, holder, cx) {
                return task::Poll::Ready(Err(ExchangeError::Revoked(revoked)));
            }
            response.as_mut().poll(cx).map_err(|mut error| match error.take_message() {
                Some(_) => ExchangeError::Unsent,
                None => ExchangeError::Lost(error.into_error()),
            })
        });
        let response = response.await;
        self.head_limit.stop();
        response
    }

    /// Polls the connection, then `poll`, until the latter is ready.
    async fn drive<Output>(
        &mut self,
        mut poll: impl FnMut(
            &mut http1::SendRequest<http_body::MessageBody>,
            &mut task::Context<'_>,
        ) -> task::Poll<Output>,
    ) -> Output {
        future::poll_fn(|cx| {
            self.poll_driver(cx);
            poll(&mut self.sender, cx)
        })
        .await
    }

    /// Polls the connection's reads and writes.
    pub fn poll_driver(&mut self, cx: &mut task::Context<'_>) {
        let driver = self.driver.get_mut();
        if let Some(connection) = driver
            && let task::Poll::Ready(result) = pin::Pin::new(connection).poll(cx)
        {
            if let Err(error) = result {
                log::debug!("http: client connection ended. error={error}");
            }
            *driver = None;
        }
    }

    /// Whether another request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Charges what has arrived of a head to `holder`.
fn charge_head(
    head_limit: &head_limit::HeadLimit,
    holder: &response_memory::ResponseHolder,
    cx: &task::Context<'_>,
) -> Result<(), response_memory::MemoryRevoked> {
    holder.resize(head_limit.read().min(MAX_READ_BUFFER_BYTES))?;
    if holder.poll_revoked(cx) { Err(response_memory::MemoryRevoked) } else { Ok(()) }
}

/// Lets the kernel close the connection if the peer stops responding, as in a network partition.
fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MAX_KEEPALIVE_PROBES)?;
    Ok(())
}

impl fmt::Debug for ClientConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ClientConnection").field("address", &self.address).finish()
    }
}
