//! HTTP/1.1 server on one address.
//!
//! Decoding and encoding are `hyper`'s. This module adds what the library leaves to its user:
//! limits on time and size, an answer to malformed requests, and a way to notice that the caller
//! went away.

use crate::{
    runtime::worker,
    transport::{activity_counter, body, deadline, http_body, http_message, server_stream},
};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt as _, FutureExt as _, io};
use hyper::{server::conn::http1, service};
use std::{convert, future, net, pin, sync, task, time};

const BUSY_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncomfreyspread-verdict: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A request whose body has been read whole.
#[derive(Debug)]
pub struct ServerRequest {
    head: http::request::Parts,
    body: bytes::Bytes,
    connection: ConnectionMonitor,
    _share: body::BodyShare,
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

    /// Returns the head as it came.
    pub fn head(&self) -> &http::request::Parts {
        &self.head
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http_message::text(&self.head.headers, name)
    }

    /// Returns all values of a header.
    pub fn headers(&self, name: &str) -> http::header::GetAll<'_, http::HeaderValue> {
        self.head.headers.get_all(name)
    }

    /// Returns the body.
    pub fn body(&self) -> &bytes::Bytes {
        &self.body
    }

    /// Returns a watch over the caller's connection.
    pub fn connection(&self) -> &ConnectionMonitor {
        &self.connection
    }
}

/// Tells when the other side of a connection goes away.
#[derive(Clone, Debug)]
pub struct ConnectionMonitor {
    stream: TcpStream,
}

impl ConnectionMonitor {
    /// Waits until the other side has closed the connection.
    async fn closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }

    /// Does work that only the other side wants; returns none, and drops the work, if it closes the
    /// connection before.
    pub async fn run_while_connected<Work>(&self, work: Work) -> Option<Work::Output>
    where
        Work: Future,
    {
        let done = async { Some(work.await) };
        let gone = async {
            self.closed().await;
            None
        };
        done.or(gone).await
    }
}

/// Answers requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: ServerRequest)
    -> impl Future<Output = http_message::Response> + Send;

    /// Answers a request that could not be read, with the reason.
    fn refuse(&self, fault: RequestError) -> http_message::Response;
}

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestError {
    /// The server holds as many bytes of bodies as it may.
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
    fn from(fault: body::BodyError) -> Self {
        match fault {
            body::BodyError::Busy => Self::Busy,
            body::BodyError::CutShort => Self::CutShort,
            body::BodyError::TooLarge => Self::TooLarge,
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest body in bytes.
    pub body: usize,
    /// Most bytes of bodies held at once.
    pub body_budget: usize,
    /// Longest wait for a body, and for a reader that takes nothing.
    pub body_timeout: time::Duration,
    /// Most connections held at once.
    pub connections: usize,
    /// Longest wait for a header, and for the next request.
    pub header_timeout: time::Duration,
}

/// A listening HTTP server.
pub struct HttpServer<Handler> {
    handler: sync::Arc<Handler>,
    limits: ServerLimits,
    budget: sync::Arc<body::BodyBudget>,
    listener: async_net::TcpListener,
    spawner: worker::TaskSpawner,
    connections: sync::Arc<activity_counter::ActivityCounter>,
    closing: async_channel::Receiver<()>,
    closer: async_channel::Sender<()>,
}

/// Handle that closes a server's idle connections and stops it from accepting.
#[derive(Clone, Debug)]
pub struct ServerCloser {
    closer: async_channel::Sender<()>,
    connections: sync::Arc<activity_counter::ActivityCounter>,
}

impl ServerCloser {
    /// Stops accepting and closes each connection once it is idle.
    pub fn close(&self) {
        self.closer.close();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Waits until no connection is open.
    pub async fn wait_idle(&self) {
        self.connections.wait_idle().await;
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
        let (closer, closing) = async_channel::bounded(1);
        let connections = sync::Arc::new(activity_counter::ActivityCounter::new());
        let budget = sync::Arc::new(body::BodyBudget::new(limits.body_budget));
        Ok(Self { handler, limits, budget, listener, spawner, connections, closing, closer })
    }

    /// Returns the address bound.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot tell.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that closes the server.
    pub fn closer(&self) -> ServerCloser {
        ServerCloser { closer: self.closer.clone(), connections: self.connections.clone() }
    }

    /// Serves connections until closed.
    pub async fn serve(self) {
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let closed = async {
                self.closing.recv().await.ok();
                None
            };
            match accepted.or(closed).await {
                Some(Ok((stream, _))) => self.start(stream),
                Some(Err(error)) => {
                    log::warn!("http: accept failed. error={error}");
                    deadline::DeadlineTimer::after(time::Duration::from_millis(10)).await;
                }
                None => return,
            }
        }
    }

    fn start(&self, stream: TcpStream) {
        let held = self.connections.count();
        let connection = ServerConnection {
            handler: self.handler.clone(),
            limits: self.limits,
            budget: self.budget.clone(),
            stream,
            closing: self.closing.clone(),
            _counted: self.connections.track(),
        };
        let busy = held >= self.limits.connections;
        self.spawner.detach(async move {
            let ended = if busy { connection.turn_away().await } else { connection.run().await };
            if let Err(error) = ended {
                log::debug!("http: connection ended. error={error}");
            }
        });
    }
}

struct ServerConnection<Handler> {
    handler: sync::Arc<Handler>,
    limits: ServerLimits,
    budget: sync::Arc<body::BodyBudget>,
    stream: TcpStream,
    closing: async_channel::Receiver<()>,
    _counted: activity_counter::ActivityGuard,
}

impl<Handler> ServerConnection<Handler>
where
    Handler: RequestHandler,
{
    async fn turn_away(mut self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.write_all(BUSY_ANSWER).await {
            log::debug!("http: caller not turned away. error={error}");
        }
        Ok(())
    }

    async fn run(self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("http: delay of small writes not switched off. error={error}");
        }
        let mark = server_stream::ServedMark::default();
        let patience = self.limits.body_timeout;
        let stream = server_stream::ServerStream::new(self.stream.clone(), mark.clone(), patience);
        let served = self.serve(stream, &mark).await;
        if mark.is_set() {
            return served;
        }
        match served {
            Err(error) if error.is_timeout() => self.refuse(RequestError::Slow).await,
            Err(error) if error.is_parse() => self.refuse(RequestError::Malformed).await,
            ended => ended,
        }
    }

    async fn serve(
        &self,
        stream: server_stream::ServerStream,
        mark: &server_stream::ServedMark,
    ) -> Result<(), hyper::Error> {
        let answer = service::service_fn(|request| async {
            mark.set();
            let response = self.answer(request).await;
            Ok::<_, convert::Infallible>(response.into_http())
        });
        let connection = http1::Builder::new()
            .half_close(true)
            .preserve_header_case(true)
            .timer(ServerTimer)
            .header_read_timeout(self.limits.header_timeout)
            .serve_connection(smol_hyper::rt::FuturesIo::new(stream), answer);
        let mut connection = pin::pin!(connection);
        let closed = async {
            self.closing.recv().await.ok();
            None
        };
        let ended = async { Some(connection.as_mut().await) };
        if let Some(ended) = ended.or(closed).await {
            return ended;
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }

    /// Answers one request.
    async fn answer(
        &self,
        request: http::Request<hyper::body::Incoming>,
    ) -> http_message::Response {
        let (head, incoming) = request.into_parts();
        let mut share = body::BodyShare::new(self.budget.clone());
        let watch = ConnectionMonitor { stream: self.stream.clone() };
        let mut response = match self.read_body(incoming, &mut share).await {
            Ok(body) => {
                let connection = watch.clone();
                let request = ServerRequest { head, body, connection, _share: share };
                self.handler.handle(request).await
            }
            Err(fault) => {
                let mut response = self.handler.refuse(fault);
                response.insert_header("connection", "close");
                response
            }
        };
        if response.len().is_none() {
            let body = response.take_body();
            response.set_body(WatchedBody::body(body, watch));
        }
        response
    }

    async fn read_body(
        &self,
        incoming: hyper::body::Incoming,
        share: &mut body::BodyShare,
    ) -> Result<bytes::Bytes, RequestError> {
        let length = hyper::body::Body::size_hint(&incoming).exact();
        let mut body = http_body::MessageBody::from_source(incoming, length);
        let read = async {
            let read = body::read_to_end(&mut body, self.limits.body, share).await;
            read.map_err(RequestError::from)
        };
        let late = async {
            deadline::DeadlineTimer::after(self.limits.body_timeout).await;
            Err(RequestError::Slow)
        };
        read.or(late).await
    }

    /// Tells a caller whose head could not be read why.
    async fn refuse(self, fault: RequestError) -> Result<(), hyper::Error> {
        let patience = self.limits.body_timeout;
        let stream = server_stream::ServerStream::for_refusal(self.stream.clone(), patience);
        let answer = service::service_fn(|_| async {
            let mut response = self.handler.refuse(fault);
            response.insert_header("connection", "close");
            Ok::<_, convert::Infallible>(response.into_http())
        });
        let stream = smol_hyper::rt::FuturesIo::new(stream);
        http1::Builder::new().half_close(true).serve_connection(stream, answer).await
    }
}

/// Body of a streamed answer, which fails once the caller has gone away.
struct WatchedBody {
    body: http_body::MessageBody,
    closed: sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl WatchedBody {
    fn body(body: http_body::MessageBody, watch: ConnectionMonitor) -> http_body::MessageBody {
        let closed: pin::Pin<Box<dyn Future<Output = ()> + Send>> =
            Box::pin(async move { watch.closed().await });
        let closed = sync_wrapper::SyncFuture::new(closed);
        http_body::MessageBody::from_source(Self { body, closed }, None)
    }
}

impl http_body::ChunkSource for WatchedBody {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        if pin::Pin::new(&mut self.closed).poll(cx).is_ready() {
            let gone = io::Error::from(io::ErrorKind::ConnectionAborted);
            return task::Poll::Ready(Some(Err(gone)));
        }
        pin::Pin::new(&mut self.body).poll_chunk(cx)
    }
}

/// Timer of the library, over the deadlines of the process.
#[derive(Clone, Copy, Debug)]
struct ServerTimer;

impl hyper::rt::Timer for ServerTimer {
    fn sleep(&self, length: time::Duration) -> pin::Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(deadline::DeadlineTimer::after(length))
    }

    fn sleep_until(&self, moment: time::Instant) -> pin::Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(deadline::DeadlineTimer::new(moment))
    }
}

impl hyper::rt::Sleep for deadline::DeadlineTimer {}
