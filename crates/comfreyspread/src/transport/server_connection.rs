//! One connection of an HTTP server: its heads, its requests and its end.

use super::http_server;
use crate::{
    runtime::supervisor,
    transport::{
        activity_counter, body, connection_monitor, deadline, head_reading, http_body,
        http_message, open_connections, server_stream, unfinished_requests,
    },
};
use async_net::TcpStream;
use futures_lite::{AsyncWriteExt as _, FutureExt as _, future, io};
use hyper::{server::conn::http1, service};
use std::{convert, pin, sync, time};

const BUSY_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncomfreyspread-verdict: not-run\r\n\
retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Maximum wait for the first request of a connection once the server closes.
const FIRST_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// One connection and what it shares with the others of its server.
pub(super) struct ServerConnection<Handler> {
    pub(super) handler: sync::Arc<Handler>,
    pub(super) limits: http_server::ServerLimits,
    pub(super) budget: sync::Arc<body::BodyBudget>,
    pub(super) head_budget: sync::Arc<body::BodyBudget>,
    pub(super) open: open_connections::OpenConnection,
    pub(super) unfinished: sync::Arc<unfinished_requests::UnfinishedRequests>,
    pub(super) stream: TcpStream,
    pub(super) shutdown_receiver: async_channel::Receiver<()>,
    pub(super) _guard: activity_counter::ActivityGuard,
}

impl<Handler> ServerConnection<Handler>
where
    Handler: http_server::RequestHandler,
{
    /// Answers that no more connections may be open.
    ///
    /// # Errors
    ///
    /// Never fails; the type is that of [`ServerConnection::run`].
    pub(super) async fn reject_busy(mut self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.write_all(BUSY_RESPONSE).await {
            log::debug!("http: busy response not sent. error={error}");
        }
        Ok(())
    }

    /// Serves requests until the connection ends.
    ///
    /// # Errors
    ///
    /// Fails if the peer sends what is no request, or takes too long.
    pub(super) async fn run(self) -> Result<(), hyper::Error> {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("http: TCP_NODELAY not set. error={error}");
        }
        let handled = server_stream::HandledFlag::default();
        let write_timeout = self.limits.body_timeout;
        let progress = head_reading::RequestProgress::default();
        let rules = head_reading::HeadRules {
            limit: self.limits.head_limit,
            timeout: self.limits.head_timeout,
            budget: self.head_budget.clone(),
        };
        let head = head_reading::HeadReading::new(rules, progress.clone());
        let stream =
            server_stream::ServerStream::new(self.stream.clone(), handled.clone(), write_timeout)
                .with_head(head, self.open.phase().clone());
        let served = async { Some(self.serve(stream, &handled, &progress).await) };
        let displaced = async {
            self.open.closed().await;
            None
        };
        let Some(served) = served.or(displaced).await else { return Ok(()) };
        if served.as_ref().is_err_and(is_head_error) {
            self.handler.record_closed(http_server::CloseCause::Head);
        }
        if handled.is_set() {
            return served;
        }
        match served {
            Err(error) if error.is_timeout() || is_slow_head(&error) => {
                self.send_error(http_server::RequestError::Slow).await
            }
            Err(error) if error.is_parse() => {
                self.send_error(http_server::RequestError::Malformed).await
            }
            result => result,
        }
    }

    async fn serve(
        &self,
        stream: server_stream::ServerStream,
        handled: &server_stream::HandledFlag,
        progress: &head_reading::RequestProgress,
    ) -> Result<(), hyper::Error> {
        let service = service::service_fn(|request| async {
            handled.set();
            progress.start_request();
            let response = self.respond(request).await;
            progress.end_request();
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
                if !self.open.phase().start_request() {
                    return closing(self.handler.refuse(http_server::RequestError::Busy));
                }
                let request =
                    http_server::ServerRequest::new(head, body, monitor.clone(), reservation);
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
    ) -> Result<bytes::Bytes, http_server::RequestError> {
        if self.budget.is_short() && self.unfinished.end_oldest() {
            self.handler.record_closed(http_server::CloseCause::Displaced);
            // The ended request gives its memory back in its own turn; without it, this one would be
            // refused, too.
            future::yield_now().await;
        }
        let unfinished = self.unfinished.add();
        let length = hyper::body::Body::size_hint(&incoming).exact();
        let mut body = http_body::MessageBody::from_source(incoming, length);
        let read = async {
            let bytes = body::read_to_end(&mut body, self.limits.body_limit, reservation).await;
            bytes.map_err(http_server::RequestError::from)
        };
        let timed_out = async {
            deadline::DeadlineTimer::after(self.limits.body_timeout).await;
            Err(http_server::RequestError::Slow)
        };
        let displaced = async {
            unfinished.ended().await;
            Err(http_server::RequestError::Busy)
        };
        read.or(timed_out).or(displaced).await
    }

    /// Sends the response to a request whose head could not be read.
    async fn send_error(self, error: http_server::RequestError) -> Result<(), hyper::Error> {
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
