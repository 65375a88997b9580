//! One connection of the HTTP client.
//!
//! The library's connection is polled by whoever waits for the exchange on it, so an idle
//! connection costs no task, and dropping an exchange closes its connection.

use crate::transport::{http_body, http_message};
use async_net::TcpStream;
use hyper::client::conn::http1;
use rustix::net::sockopt;
use std::{fmt, future, io, net, pin, task, time};

type LibraryConnection =
    http1::Connection<smol_hyper::rt::FuturesIo<TcpStream>, http_body::MessageBody>;

/// Time after which bytes that the other side has not confirmed end a connection.
const UNCONFIRMED_LIMIT_MS: u32 = 2000;
/// Silence after which the other side's system is asked whether the connection still is.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(2);
/// Time between such questions.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Questions without an answer that end a connection.
const MOST_PROBES: u32 = 2;

/// An open connection.
pub struct ClientConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<http_body::MessageBody>,
    driver: sync_wrapper::SyncWrapper<Option<LibraryConnection>>,
    idle_since: time::Instant,
}

/// Why an exchange gave no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was written.
    Unsent,
    /// The request was written, and the connection ended before the head of an answer.
    Lost(hyper::Error),
}

impl ClientConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection; nothing was sent then.
    pub async fn new(address: net::SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        watch_for_silence(&stream)?;
        let (sender, driver) = http1::Builder::new()
            .preserve_header_case(true)
            .handshake(smol_hyper::rt::FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = sync_wrapper::SyncWrapper::new(Some(driver));
        Ok(Self { address, sender, driver, idle_since: time::Instant::now() })
    }

    /// Returns the address of the other side.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns when the last exchange ended.
    pub fn idle_since(&self) -> time::Instant {
        self.idle_since
    }

    /// Notes that an exchange has ended.
    pub fn rest(&mut self) {
        self.idle_since = time::Instant::now();
    }

    /// Reads what has come while the connection was idle, and returns whether it can be used.
    pub async fn is_usable(&mut self) -> bool {
        let ready = future::poll_fn(|cx| {
            // The first poll lets the connection say that it wants a request.
            self.poll_driver(cx);
            let first = self.sender.poll_ready(cx);
            self.poll_driver(cx);
            task::Poll::Ready(first.is_ready() || self.sender.poll_ready(cx).is_ready())
        });
        ready.await && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first; the fault says whether anything was written.
    pub async fn exchange(
        &mut self,
        request: http_message::Request,
    ) -> Result<http::Response<hyper::body::Incoming>, ExchangeError> {
        if self.drive(|sender, cx| sender.poll_ready(cx)).await.is_err() {
            return Err(ExchangeError::Unsent);
        }
        let mut answer = Box::pin(self.sender.try_send_request(request.into_http()));
        let answer = self.drive(|_, cx| answer.as_mut().poll(cx)).await;
        answer.map_err(|mut fault| match fault.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::Lost(fault.into_error()),
        })
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

    /// Lets the connection read and write.
    pub fn poll_driver(&mut self, cx: &mut task::Context<'_>) {
        let driver = self.driver.get_mut();
        if let Some(connection) = driver
            && let task::Poll::Ready(ended) = pin::Pin::new(connection).poll(cx)
        {
            if let Err(error) = ended {
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

/// Has the system end the connection if the other side goes silent, as behind a cut.
fn watch_for_silence(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, UNCONFIRMED_LIMIT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MOST_PROBES)?;
    Ok(())
}

impl fmt::Debug for ClientConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ClientConnection").field("address", &self.address).finish()
    }
}
