//! Detection of callers that disconnect, while their request runs and while its response is sent.

use crate::transport::http_body;
use async_net::TcpStream;
use futures_lite::{FutureExt as _, future, io};
use rustix::net;
use std::{pin, task};

/// Detects when the peer closes a connection.
#[derive(Clone, Debug)]
pub struct ConnectionMonitor {
    stream: TcpStream,
}

impl ConnectionMonitor {
    /// Creates a monitor of the connection of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Returns whether the peer has closed the connection, or it has failed.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let flags = net::RecvFlags::PEEK | net::RecvFlags::DONTWAIT;
        match net::recv(&self.stream, &mut byte, flags) {
            Ok((_, count)) => count == 0,
            Err(error) => error != rustix::io::Errno::AGAIN && error != rustix::io::Errno::INTR,
        }
    }

    /// Waits until the peer has closed the connection.
    async fn closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }

    /// Runs `work`, which only the peer needs; drops it and returns none if the peer closes the
    /// connection first.
    pub async fn run_while_connected<Work>(&self, work: Work) -> Option<Work::Output>
    where
        Work: Future,
    {
        let completed = async { Some(work.await) };
        let disconnected = async {
            self.closed().await;
            None
        };
        completed.or(disconnected).await
    }
}

/// Body of a streamed response, which fails once the caller has disconnected.
pub struct MonitoredBody {
    body: http_body::MessageBody,
    closed: sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl MonitoredBody {
    /// Returns a body of the same chunks.
    pub fn body(
        body: http_body::MessageBody,
        monitor: ConnectionMonitor,
    ) -> http_body::MessageBody {
        let closed: pin::Pin<Box<dyn Future<Output = ()> + Send>> =
            Box::pin(async move { monitor.closed().await });
        let closed = sync_wrapper::SyncFuture::new(closed);
        http_body::MessageBody::from_source(Self { body, closed }, None)
    }
}

impl http_body::ChunkSource for MonitoredBody {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        if pin::Pin::new(&mut self.closed).poll(cx).is_ready() {
            let disconnected = io::Error::from(io::ErrorKind::ConnectionAborted);
            return task::Poll::Ready(Some(Err(disconnected)));
        }
        pin::Pin::new(&mut self.body).poll_chunk(cx)
    }
}
