//! HTTP/1.1 server on one address.
//!
//! `hyper` decodes and encodes the messages. This module adds limits on time and size, responses to
//! malformed requests, and detection of callers that disconnect.

use crate::{
    runtime::{supervisor, worker},
    transport::{
        activity_counter, body, connection_monitor, deadline, head_reading, http_body,
        http_message, open_connections, server_stream, unfinished_requests,
    },
};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt as _, FutureExt as _, future, io};
use hyper::{server::conn::http1, service};
use std::{convert, net, pin, sync, time};

const BUSY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncomfreyspread-verdict: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Rounds in which a server that closes accepts the connections that arrived.
const LAST_ACCEPTS: u32 = 20;
/// Maximum wait for the server's own connection in such a round.
const LAST_ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Maximum wait for the first request of a connection once the server closes.
const FIRST_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A request whose body has been read.
#[derive(Debug)]
pub struct ServerRequest {
    head: http::request::Parts,
    body: bytes::Bytes,
    connection: connection_monitor::ConnectionMonitor,
    _reservation: body::BodyReservation,
}

impl ServerRequest {
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
        let connection = ServerConnection {
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

struct ServerConnection<Handler> {
    handler: sync::Arc<Handler>,
    limits: ServerLimits,
    budget: sync::Arc<body::BodyBudget>,
    head_budget: sync::Arc<body::BodyBudget>,
    open: open_connections::OpenConnection,
    unfinished: sync::Arc<unfinished_requests::UnfinishedRequests>,
    stream: TcpStream,
    shutdown_receiver: async_channel::Receiver<()>,
    _guard: activity_counter::ActivityGuard,
}

impl<Handler> ServerConnection<Handler>
where
    Handler: RequestHandler,
{
    async fn reject_busy(mut self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.write_all(BUSY_RESPONSE).await {
            log::debug!("http: busy response not sent. error={error}");
        }
        Ok(())
    }

    async fn run(self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("http: TCP_NODELAY not set. error={error}");
        }
        let handled = server_stream::HandledFlag::default();
        let write_timeout = self.limits.body_timeout;
        let phase = head_reading::ConnectionPhase::default();
        let rules = head_reading::HeadRules {
            limit: self.limits.head_limit,
            timeout: self.limits.head_timeout,
            budget: self.head_budget.clone(),
        };
        let head = head_reading::HeadReading::new(rules, phase.clone());
        let stream =
            server_stream::ServerStream::new(self.stream.clone(), handled.clone(), write_timeout)
                .with_head(head, self.open.phase_setter());
        let served = async { Some(self.serve(stream, &handled, &phase).await) };
        let displaced = async {
            self.open.closed().await;
            None
        };
        let Some(served) = served.or(displaced).await else { return Ok(()) };
        if served.as_ref().is_err_and(is_head_error) {
            self.handler.record_closed(CloseCause::Head);
        }
        if handled.is_set() {
            return served;
        }
        match served {
            Err(error) if error.is_timeout() || is_slow_head(&error) => {
                self.send_error(RequestError::Slow).await
            }
            Err(error) if error.is_parse() => self.send_error(RequestError::Malformed).await,
            result => result,
        }
    }

    async fn serve(
        &self,
        stream: server_stream::ServerStream,
        handled: &server_stream::HandledFlag,
        phase: &head_reading::ConnectionPhase,
    ) -> Result<(), hyper::Error> {
        let service = service::service_fn(|request| async {
            handled.set();
            phase.start_request();
            let response = self.respond(request).await;
            phase.end_request();
            Ok::<_, convert::Infallible>(response.into_http())
        });
        let connection = http1::Builder::new()
            .half_close(true)
            .preserve_header_case(true)
            .max_buf_size(self.limits.head_limit)
            .timer(ServerTimer)
            .header_read_timeout(self.limits.header_timeout)
            .serve_connection(smol_hyper::rt::FuturesIo::new(stream), service);
        let mut connection = pin::pin!(connection);
        let closed = async {
            self.shutdown_receiver.recv().await.ok();
            None
        };
        let result = async { Some(connection.as_mut().await) };
        if let Some(result) = result.or(closed).await {
            return result;
        }
        // The first request of a new connection may be on its way.
        if !handled.is_set() {
            let mut timer = deadline::DeadlineTimer::after(FIRST_REQUEST_TIMEOUT);
            if let Some(result) = deadline::with_timer(&mut timer, connection.as_mut()).await {
                return result;
            }
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }

    /// Reads the body of one request and passes the request to the handler.
    async fn respond(
        &self,
        request: http::Request<hyper::body::Incoming>,
    ) -> http_message::Response {
        let (head, incoming) = request.into_parts();
        let mut reservation = body::BodyReservation::new(self.budget.clone());
        let monitor = connection_monitor::ConnectionMonitor::new(self.stream.clone());
        let mut response = match self.read_body(incoming, &mut reservation).await {
            Ok(body) => {
                if !self.open.phase_setter().start_request() {
                    return closing(self.handler.refuse(RequestError::Busy));
                }
                let connection = monitor.clone();
                let request = ServerRequest { head, body, connection, _reservation: reservation };
                let handled = supervisor::run_caught(self.handler.handle(request)).await;
                handled.unwrap_or_else(|| closing(self.handler.panicked()))
            }
            Err(error) => closing(self.handler.refuse(error)),
        };
        if response.len().is_none() {
            let body = response.take_body();
            response.set_body(connection_monitor::MonitoredBody::body(body, monitor));
        }
        response
    }

    async fn read_body(
        &self,
        incoming: hyper::body::Incoming,
        reservation: &mut body::BodyReservation,
    ) -> Result<bytes::Bytes, RequestError> {
        if self.budget.is_short() && self.unfinished.end_oldest() {
            self.handler.record_closed(CloseCause::Displaced);
        }
        let unfinished = self.unfinished.add();
        let length = hyper::body::Body::size_hint(&incoming).exact();
        let mut body = http_body::MessageBody::from_source(incoming, length);
        let read = async {
            let bytes = body::read_to_end(&mut body, self.limits.body_limit, reservation).await;
            bytes.map_err(RequestError::from)
        };
        let timed_out = async {
            deadline::DeadlineTimer::after(self.limits.body_timeout).await;
            Err(RequestError::Slow)
        };
        let displaced = async {
            unfinished.ended().await;
            Err(RequestError::Busy)
        };
        read.or(timed_out).or(displaced).await
    }

    /// Sends the response to a request whose head could not be read.
    async fn send_error(self, error: RequestError) -> Result<(), hyper::Error> {
        let write_timeout = self.limits.body_timeout;
        let stream =
            server_stream::ServerStream::for_error_response(self.stream.clone(), write_timeout);
        let service = service::service_fn(|_| async {
            Ok::<_, convert::Infallible>(closing(self.handler.refuse(error)).into_http())
        });
        let stream = smol_hyper::rt::FuturesIo::new(stream);
        http1::Builder::new().half_close(true).serve_connection(stream, service).await
    }
}

/// Whether a connection ended for the limits on its head.
fn is_head_error(error: &hyper::Error) -> bool {
    let is_limit =
        matches!(error_kind(error), Some(io::ErrorKind::InvalidData | io::ErrorKind::OutOfMemory));
    error.is_parse_too_large() || error.is_timeout() || is_limit || is_slow_head(error)
}

/// Whether a head took too long. Before the first request nothing else times out.
fn is_slow_head(error: &hyper::Error) -> bool {
    error_kind(error) == Some(io::ErrorKind::TimedOut)
}

fn error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let source = std::error::Error::source(error)?;
    source.downcast_ref::<io::Error>().map(io::Error::kind)
}

/// Returns a response after which the connection is closed.
fn closing(mut response: http_message::Response) -> http_message::Response {
    response.insert_header("connection", "close");
    response
}

/// Timer for `hyper`, based on the deadline queue of the process.
#[derive(Clone, Copy, Debug)]
struct ServerTimer;

impl hyper::rt::Timer for ServerTimer {
    fn sleep(&self, length: time::Duration) -> pin::Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(deadline::DeadlineTimer::after(length))
    }

    fn sleep_until(&self, deadline: time::Instant) -> pin::Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(deadline::DeadlineTimer::new(deadline))
    }
}

impl hyper::rt::Sleep for deadline::DeadlineTimer {}
