//! HTTP/1.1 server on one address.
//!
//! `hyper` decodes and encodes the messages. This module adds limits on time and size, responses to
//! malformed requests, and detection of callers that disconnect.

use super::server_connection;
use crate::{
    runtime::worker,
    transport::{
        activity_counter, body, connection_monitor, deadline, http_message, open_connections,
        unfinished_requests,
    },
};
use async_net::TcpStream;
use futures_lite::{FutureExt as _, future, io};
use std::{net, sync, time};

/// Rounds in which a server that closes accepts the connections that arrived.
const LAST_ACCEPTS: u32 = 20;
/// Maximum wait for the server's own connection in such a round.
const LAST_ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);

/// A request whose body has been read.
#[derive(Debug)]
pub struct ServerRequest {
    head: http::request::Parts,
    body: bytes::Bytes,
    connection: connection_monitor::ConnectionMonitor,
    _reservation: body::BodyReservation,
}

impl ServerRequest {
    /// Creates a request from what was read; the reservation is given back with it.
    pub(super) fn new(
        head: http::request::Parts,
        body: bytes::Bytes,
        connection: connection_monitor::ConnectionMonitor,
        reservation: body::BodyReservation,
    ) -> Self {
        Self { head, body, connection, _reservation: reservation }
    }

    /// Returns the method.
    pub fn method(&self) -> &http::Method {
        &self.head.method
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the query, if any.
    pub fn query(&self) -> Option<&str> {
        self.head.uri.query()
    }

    /// Returns the head as received.
    pub fn head(&self) -> &http::request::Parts {
        &self.head
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http_message::header_text(&self.head.headers, name)
    }

    /// Returns all values of a header.
    pub fn headers(&self, name: &str) -> http::header::GetAll<'_, http::HeaderValue> {
        self.head.headers.get_all(name)
    }

    /// Returns the body.
    pub fn body(&self) -> &bytes::Bytes {
        &self.body
    }

    /// Returns a monitor of the caller's connection.
    pub fn connection_monitor(&self) -> &connection_monitor::ConnectionMonitor {
        &self.connection
    }
}

/// Handles requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: ServerRequest)
    -> impl Future<Output = http_message::Response> + Send;

    /// Returns the response to a request that could not be read.
    fn refuse(&self, error: RequestError) -> http_message::Response;

    /// Records that a connection was closed for what it sent, or sent nothing of.
    fn record_closed(&self, _cause: CloseCause) {}

    /// Returns the response to a request whose handling panicked; it may have run.
    fn panicked(&self) -> http_message::Response {
        http_message::Response::new(http::StatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Why a connection was closed without an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CloseCause {
    /// Its head was too long, took too long, or found the budget for all heads used up.
    Head,
    /// No more connections may be open, or bodies have used up most of their budget, and it had no
    /// request in progress.
    Displaced,
    /// No more connections may be open, and all others have a request in progress or have just had one.
    Full,
}

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestError {
    /// The budget for all bodies is used up.
    Busy,
    /// The body is shorter than its stated length.
    CutShort,
    /// The header is not valid.
    Malformed,
    /// The header or the body did not arrive in time.
    Slow,
    /// The body is larger than allowed.
    TooLarge,
}

impl From<body::BodyError> for RequestError {
    fn from(error: body::BodyError) -> Self {
        match error {
            body::BodyError::Busy => Self::Busy,
            body::BodyError::CutShort => Self::CutShort,
            body::BodyError::TooLarge => Self::TooLarge,
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a body in bytes.
    pub body_limit: usize,
    /// Maximum size of all bodies in memory, in bytes.
    pub body_budget: usize,
    /// Maximum time to receive a body, and to wait for a peer that accepts no data.
    pub body_timeout: time::Duration,
    /// Maximum number of open connections.
    pub connection_limit: usize,
    /// Maximum size of a head in bytes.
    pub head_limit: usize,
    /// Maximum size of all unfinished heads in memory, in bytes.
    pub head_budget: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: time::Duration,
    /// Maximum time to receive a header, and to wait for the next request.
    pub header_timeout: time::Duration,
}

/// A listening HTTP server.
pub struct HttpServer<Handler> {
    handler: sync::Arc<Handler>,
    limits: ServerLimits,
    budget: sync::Arc<body::BodyBudget>,
    head_budget: sync::Arc<body::BodyBudget>,
    open: sync::Arc<open_connections::OpenConnections>,
    unfinished: sync::Arc<unfinished_requests::UnfinishedRequests>,
    listener: async_net::TcpListener,
    spawner: worker::TaskSpawner,
    /// Loops that accept connections.
    accepting: sync::Arc<activity_counter::ActivityCounter>,
    connections: sync::Arc<activity_counter::ActivityCounter>,
    shutdown_receiver: async_channel::Receiver<()>,
    shutdown_sender: async_channel::Sender<()>,
}

/// Handle that shuts a server down.
#[derive(Clone, Debug)]
pub struct ShutdownHandle {
    shutdown_sender: async_channel::Sender<()>,
    accepting: sync::Arc<activity_counter::ActivityCounter>,
    connections: sync::Arc<activity_counter::ActivityCounter>,
}

impl ShutdownHandle {
    /// Stops accepting connections and closes each open one once it is idle.
    pub fn close(&self) {
        self.shutdown_sender.close();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Waits until no connection is open.
    pub async fn wait_idle(&self) {
        self.connections.wait_idle().await;
    }

    /// Closes the server and waits until it has accepted and served the last connection.
    pub async fn drain(&self) {
        self.close();
        self.accepting.wait_idle().await;
        self.wait_idle().await;
    }
}

impl<Handler> HttpServer<Handler>
where
    Handler: RequestHandler,
{
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn new(
        address: net::SocketAddr,
        handler: sync::Arc<Handler>,
        limits: ServerLimits,
        spawner: worker::TaskSpawner,
    ) -> io::Result<Self> {
        let listener = async_net::TcpListener::bind(address).await?;
        let (shutdown_sender, shutdown_receiver) = async_channel::bounded(1);
        let connections = sync::Arc::new(activity_counter::ActivityCounter::new());
        let budget = sync::Arc::new(body::BodyBudget::new(limits.body_budget));
        let head_budget = sync::Arc::new(body::BodyBudget::new(limits.head_budget));
        Ok(Self {
            handler,
            limits,
            budget,
            head_budget,
            open: sync::Arc::default(),
            unfinished: sync::Arc::default(),
            listener,
            spawner,
            accepting: sync::Arc::default(),
            connections,
            shutdown_receiver,
            shutdown_sender,
        })
    }

    /// Returns the address bound.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report it.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that closes the server.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle {
            shutdown_sender: self.shutdown_sender.clone(),
            accepting: self.accepting.clone(),
            connections: self.connections.clone(),
        }
    }

    /// Serves connections until closed, also those that wait to be accepted by then.
    pub async fn serve(&self) {
        let _accepting = self.accepting.track();
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let closed = async {
                self.shutdown_receiver.recv().await.ok();
                None
            };
            match accepted.or(closed).await {
                Some(Ok((stream, _))) => self.start_connection(stream),
                Some(Err(error)) => {
                    log::warn!("http: accept failed. error={error}");
                    deadline::DeadlineTimer::after(time::Duration::from_millis(10)).await;
                }
                None => break,
            }
        }
        if let Err(error) = self.accept_last().await {
            log::warn!("http: last connections may be reset. error={error}");
        }
    }

    /// Accepts the connections that the kernel holds for the listener, which resets them when it
    /// closes.
    ///
    /// Others arrive until then, so the queue is limited to one connection and a connection of this
    /// server's own takes that place.
    async fn accept_last(&self) -> io::Result<()> {
        let address = self.address()?;
        rustix::net::listen(&self.listener, 0)?;
        for _ in 0..LAST_ACCEPTS {
            while let Some(accepted) = future::poll_once(self.listener.accept()).await {
                self.start_connection(accepted?.0);
            }
            let timed_out = async {
                deadline::DeadlineTimer::after(LAST_ACCEPT_PAUSE).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            if TcpStream::connect(address).or(timed_out).await.is_ok() {
                return Ok(());
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn start_connection(&self, stream: TcpStream) {
        let is_full = self.connections.count() >= self.limits.connection_limit;
        let displaced = is_full && self.open.displace(time::Instant::now());
        let connection = server_connection::ServerConnection {
            open: self.open.add(),
            unfinished: self.unfinished.clone(),
            head_budget: self.head_budget.clone(),
            handler: self.handler.clone(),
            limits: self.limits,
            budget: self.budget.clone(),
            stream,
            shutdown_receiver: self.shutdown_receiver.clone(),
            _guard: self.connections.track(),
        };
        let busy = is_full && !displaced;
        if displaced {
            self.handler.record_closed(CloseCause::Displaced);
        } else if busy {
            self.handler.record_closed(CloseCause::Full);
        }
        self.spawner.detach(async move {
            let result = if busy { connection.reject_busy().await } else { connection.run().await };
            if let Err(error) = result {
                log::debug!("http: connection ended. error={error}");
            }
        });
    }
}
