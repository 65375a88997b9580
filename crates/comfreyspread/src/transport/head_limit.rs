//! Limit of the bytes read before the head of a response is complete.
//!
//! `hyper` bounds one head, but skips informational heads within one poll for as long as they
//! arrive: an endpoint that sends nothing else would keep a thread from all its other work, the
//! timer of that call included.

use futures_lite::{AsyncRead, AsyncWrite, ready};
use std::{io, pin, sync, sync::atomic, task};

/// Bytes of all heads of one response; above the largest head that `hyper` accepts.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still be read from a connection, shared with its [`LimitedStream`].
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: sync::Arc<atomic::AtomicUsize>,
}

impl HeadLimit {
    /// Creates a limit that is not in force.
    pub fn new() -> Self {
        Self { left: sync::Arc::new(atomic::AtomicUsize::new(UNLIMITED)) }
    }

    /// Starts to count, when a request is sent.
    pub fn start(&self) {
        self.left.store(MAX_HEAD_BYTES, atomic::Ordering::Relaxed);
    }

    /// Returns the number of bytes read since the request was sent, until the head has arrived.
    pub fn read(&self) -> usize {
        MAX_HEAD_BYTES.saturating_sub(self.left.load(atomic::Ordering::Relaxed))
    }

    /// Stops counting, when the head of the response has arrived.
    pub fn stop(&self) {
        self.left.store(UNLIMITED, atomic::Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if they exceed the limit.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.left.load(atomic::Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let left = left.checked_sub(bytes).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the heads of the response are too long")
        })?;
        self.left.store(left, atomic::Ordering::Relaxed);
        Ok(())
    }
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self::new()
    }
}

/// A stream whose reads fail once they exceed a [`HeadLimit`].
#[derive(Debug)]
pub struct LimitedStream<Stream> {
    stream: Stream,
    limit: HeadLimit,
}

impl<Stream> LimitedStream<Stream> {
    /// Creates a stream that reads from `stream` within `limit`.
    pub fn new(stream: Stream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<Stream> AsyncRead for LimitedStream<Stream>
where
    Stream: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let count = ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        task::Poll::Ready(self.limit.count(count).map(|()| count))
    }
}

impl<Stream> AsyncWrite for LimitedStream<Stream>
where
    Stream: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
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
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}
