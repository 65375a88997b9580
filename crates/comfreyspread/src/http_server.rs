//! HTTP/1.1 server on one address.
//!
//! Decoding and encoding are `async-h1`'s. This module adds what the library leaves to its user:
//! limits on time and size, a check that a body is whole, an answer to malformed requests, and a
//! way to notice that the caller went away.

use crate::{body, deadline, tally, worker};
use async_h1::server;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, io};
use http_types::{Method, Response, headers};
use std::{future, net, sync, time};

const COPY_BUFFER_BYTES: usize = 16 * 1024;
const BUSY_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncomfreyspread-verdict: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A request whose body has been read whole.
#[derive(Debug)]
pub struct ServerRequest {
    head: http_types::Request,
    body: bytes::Bytes,
    connection: ConnectionWatch,
    _share: body::BodyShare,
}

impl ServerRequest {
    /// Returns the method.
    pub fn method(&self) -> Method {
        self.head.method()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }

    /// Returns the query, if any.
    pub fn query(&self) -> Option<&str> {
        self.head.url().query()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.as_str())
    }

    /// Returns all values of a header.
    pub fn headers(&self, name: &str) -> Option<&headers::HeaderValues> {
        self.head.header(name)
    }

    /// Returns the body.
    pub fn body(&self) -> &bytes::Bytes {
        &self.body
    }

    /// Returns a watch over the caller's connection.
    pub fn connection(&self) -> &ConnectionWatch {
        &self.connection
    }
}

/// Tells when the other side of a connection goes away.
#[derive(Clone, Debug)]
pub struct ConnectionWatch {
    stream: TcpStream,
}

impl ConnectionWatch {
    /// Waits until the other side has closed the connection.
    pub async fn closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }
}

/// Answers requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = Response> + Send;

    /// Answers a request that could not be read, with the reason.
    fn refuse(&self, fault: RequestFault) -> Response;
}

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFault {
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

impl From<body::BodyFault> for RequestFault {
    fn from(fault: body::BodyFault) -> Self {
        match fault {
            body::BodyFault::Busy => Self::Busy,
            body::BodyFault::CutShort => Self::CutShort,
            body::BodyFault::TooLarge => Self::TooLarge,
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
    /// Longest wait for a header, also between requests.
    pub header_timeout: time::Duration,
}

/// A listening HTTP server.
pub struct HttpServer<Handler> {
    handler: sync::Arc<Handler>,
    limits: ServerLimits,
    budget: sync::Arc<body::BodyBudget>,
    listener: async_net::TcpListener,
    spawner: worker::TaskSpawner,
    connections: sync::Arc<tally::ActivityTally>,
    closing: async_channel::Receiver<()>,
    closer: async_channel::Sender<()>,
}

/// Handle that closes a server's idle connections and stops it from accepting.
#[derive(Clone, Debug)]
pub struct ServerCloser {
    closer: async_channel::Sender<()>,
    connections: sync::Arc<tally::ActivityTally>,
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
    pub async fn idle(&self) {
        self.connections.idle().await;
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
        let connections = sync::Arc::new(tally::ActivityTally::new());
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
            _counted: self.connections.begin(),
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
    _counted: tally::ActivityGuard,
}

impl<Handler> ServerConnection<Handler>
where
    Handler: RequestHandler,
{
    async fn turn_away(mut self) -> http_types::Result<()> {
        Ok(self.stream.write_all(BUSY_ANSWER).await?)
    }

    async fn run(mut self) -> http_types::Result<()> {
        self.stream.set_nodelay(true)?;
        while self.serve_one().await? {}
        Ok(())
    }

    /// Serves one request and returns whether the connection can serve another.
    async fn serve_one(&mut self) -> http_types::Result<bool> {
        if !self.wait_for_head().await {
            return Ok(false);
        }
        let mut head = match self.read_head().await {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(false),
            Err(fault) => {
                self.write(self.handler.refuse(fault), Method::Get).await?;
                return Ok(false);
            }
        };
        let method = head.method();
        let wants_close = has_close(head.header(headers::CONNECTION));
        let mut share = body::BodyShare::new(self.budget.clone());
        let (response, whole) = match self.read_body(&mut head, &mut share).await {
            Ok(body) => {
                let connection = ConnectionWatch { stream: self.stream.clone() };
                let request = ServerRequest { head, body, connection, _share: share };
                (self.handler.handle(request).await, true)
            }
            Err(fault) => (self.handler.refuse(fault), false),
        };
        let close = wants_close || !whole || has_close(response.header(headers::CONNECTION));
        self.write(response, method).await?;
        Ok(!close && !self.closing.is_closed())
    }

    /// Waits for the first byte of a request; false if none comes.
    async fn wait_for_head(&self) -> bool {
        let mut byte = [0];
        let first = async { self.stream.peek(&mut byte).await.is_ok_and(|count| count > 0) };
        let late = async {
            deadline::DeadlineTimer::after(self.limits.header_timeout).await;
            false
        };
        let closed = async {
            self.closing.recv().await.ok();
            false
        };
        first.or(late).or(closed).await
    }

    /// Reads a header; none if the other side went away in the middle of it.
    async fn read_head(&self) -> Result<Option<http_types::Request>, RequestFault> {
        let decoded = async {
            let decoded = server::decode(self.stream.clone()).await;
            decoded.map_err(|_| RequestFault::Malformed)
        };
        let late = async {
            deadline::DeadlineTimer::after(self.limits.header_timeout).await;
            Err(RequestFault::Slow)
        };
        Ok(decoded.or(late).await?.map(|(request, _)| request))
    }

    async fn read_body(
        &self,
        head: &mut http_types::Request,
        share: &mut body::BodyShare,
    ) -> Result<bytes::Bytes, RequestFault> {
        let lengths = head.header(headers::CONTENT_LENGTH);
        if lengths.is_some_and(|values| values.iter().any(|value| value != values.last())) {
            return Err(RequestFault::Malformed);
        }
        let stated = head.len();
        let read = async {
            let read = body::read_whole(head.take_body(), stated, self.limits.body, share).await;
            read.map_err(RequestFault::from)
        };
        let late = async {
            deadline::DeadlineTimer::after(self.limits.body_timeout).await;
            Err(RequestFault::Slow)
        };
        read.or(late).await
    }

    async fn write(&mut self, response: Response, method: Method) -> http_types::Result<()> {
        let mut encoder = server::Encoder::new(response, method);
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        let watch = ConnectionWatch { stream: self.stream.clone() };
        let mut closed = Box::pin(watch.closed());
        loop {
            let gone = async {
                (&mut closed).await;
                Err(io::ErrorKind::ConnectionAborted.into())
            };
            let count = encoder.read(&mut buffer).or(gone).await?;
            if count == 0 {
                return Ok(());
            }
            let limit = self.limits.body_timeout;
            let written = self.stream.write_all(&buffer[..count]);
            let late = async {
                deadline::DeadlineTimer::after(limit).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            written.or(late).await?;
        }
    }
}

fn has_close(values: Option<&headers::HeaderValues>) -> bool {
    values.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}
