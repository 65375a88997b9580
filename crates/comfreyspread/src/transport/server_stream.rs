//! Stream under a server's connection, with what the library leaves to its user.
//!
//! The library answers a head that it cannot read with a bare status. The stream swallows that
//! answer, so that the server can send one that tells the caller more. It also bounds the wait for
//! a reader that takes nothing.

use crate::transport::deadline;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, io};
use std::{pin, sync, sync::atomic, task, time};

const PLAIN_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";

/// Whether a request has been handed to its handler.
#[derive(Clone, Debug, Default)]
pub struct ServedMark {
    served: sync::Arc<atomic::AtomicBool>,
}

impl ServedMark {
    /// Notes that a request was handed over.
    pub fn set(&self) {
        self.served.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether a request was handed over.
    pub fn is_set(&self) -> bool {
        self.served.load(atomic::Ordering::Relaxed)
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    mark: ServedMark,
    patience: time::Duration,
    late: Option<deadline::DeadlineTimer>,
    canned: Option<&'static [u8]>,
}

impl ServerStream {
    /// Creates a stream that waits up to `patience` for a reader that takes nothing.
    pub fn new(stream: TcpStream, mark: ServedMark, patience: time::Duration) -> Self {
        Self { stream, mark, patience, late: None, canned: None }
    }

    /// Creates a stream that yields one plain request and writes its answer to `stream`: so the
    /// library encodes the answer to a request that it could not read.
    pub fn for_refusal(stream: TcpStream, patience: time::Duration) -> Self {
        let mark = ServedMark::default();
        mark.set();
        Self { canned: Some(PLAIN_REQUEST), ..Self::new(stream, mark, patience) }
    }

    fn bound<Output>(
        &mut self,
        cx: &mut task::Context<'_>,
        written: task::Poll<io::Result<Output>>,
    ) -> task::Poll<io::Result<Output>> {
        if written.is_ready() {
            self.late = None;
            return written;
        }
        let patience = self.patience;
        let late = self.late.get_or_insert_with(|| deadline::DeadlineTimer::after(patience));
        match pin::Pin::new(late).poll(cx) {
            task::Poll::Ready(()) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            task::Poll::Pending => task::Poll::Pending,
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        match &mut self.canned {
            Some(canned) => pin::Pin::new(canned).poll_read(cx, buffer),
            None => pin::Pin::new(&mut self.stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if !self.mark.is_set() {
            return task::Poll::Ready(Ok(bytes.len()));
        }
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.bound(cx, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        if !self.mark.is_set() {
            return task::Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.bound(cx, written)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if !self.mark.is_set() {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}
