//! Byte stream of a server connection.
//!
//! `hyper` answers a head that it cannot parse with a bare status. The stream discards that answer,
//! so that the server can send a problem body instead. It also limits the wait for a peer that
//! accepts no data.

use crate::transport::{deadline, head_reading, open_connections};
use async_net::TcpStream;
use comfreyspread_policy::connection_displacement;
use futures_lite::{AsyncRead, AsyncWrite, io, ready};
use std::{pin, sync, sync::atomic, task, time};

/// Maximum bytes of one read. `hyper` doubles the read buffer of a connection after each read that fills
/// its first 8 KiB, and keeps it as long as the connection lasts.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;
const SUBSTITUTE_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";

/// Whether a request has been passed to the handler.
#[derive(Clone, Debug, Default)]
pub struct HandledFlag {
    is_handled: sync::Arc<atomic::AtomicBool>,
}

impl HandledFlag {
    /// Records that a request was passed to the handler.
    pub fn set(&self) {
        self.is_handled.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether a request was passed to the handler.
    pub fn is_set(&self) -> bool {
        self.is_handled.load(atomic::Ordering::Relaxed)
    }
}

/// Byte stream of a caller's connection.
#[derive(Debug)]
pub struct ServerStream {
    stream: TcpStream,
    head: Option<head_reading::HeadReading>,
    phase: Option<open_connections::PhaseSetter>,
    handled: HandledFlag,
    write_timeout: time::Duration,
    write_timer: Option<deadline::DeadlineTimer>,
    substitute: Option<&'static [u8]>,
}

impl ServerStream {
    /// Creates a stream whose writes fail if the peer accepts no data for `write_timeout`.
    pub fn new(stream: TcpStream, handled: HandledFlag, write_timeout: time::Duration) -> Self {
        let (write_timer, substitute) = (None, None);
        let (head, phase) = (None, None);
        Self { stream, head, phase, handled, write_timeout, write_timer, substitute }
    }

    /// Limits what is read before a request is complete, and records what the connection waits for.
    pub fn with_head(
        self,
        head: head_reading::HeadReading,
        phase: open_connections::PhaseSetter,
    ) -> Self {
        Self { head: Some(head), phase: Some(phase), ..self }
    }

    /// Creates a stream that yields a substitute request and writes the response to `stream`, so
    /// that `hyper` encodes the response to a request that it could not parse.
    pub fn for_error_response(stream: TcpStream, write_timeout: time::Duration) -> Self {
        let handled = HandledFlag::default();
        handled.set();
        Self { substitute: Some(SUBSTITUTE_REQUEST), ..Self::new(stream, handled, write_timeout) }
    }

    fn poll_limited_read(
        &mut self,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        if let Some(head) = &mut self.head {
            head.check_time(cx)?;
        }
        let length = buffer.len().min(MAX_READ_BYTES);
        let buffer = &mut buffer[..length];
        let read = pin::Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.record_wait();
        }
        let count = ready!(read)?;
        if let Some(head) = &mut self.head {
            head.count(count)?;
            // The timer of the first bytes has to wake the next read.
            head.check_time(cx)?;
        }
        task::Poll::Ready(Ok(count))
    }

    /// Records what the connection waits for, once `hyper` reads the next head. It does not read while a
    /// response is sent, but the peer may not have accepted all of one.
    fn record_wait(&mut self) {
        let (Some(head), Some(setter)) = (&mut self.head, &self.phase) else { return };
        setter.set(if self.write_timer.is_some() {
            connection_displacement::ConnectionPhase::Active
        } else {
            head.waits_for()
        });
    }

    /// Fails a write that has been pending for the timeout.
    fn limit_write<Output>(
        &mut self,
        cx: &mut task::Context<'_>,
        written: task::Poll<io::Result<Output>>,
    ) -> task::Poll<io::Result<Output>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        if let Some(setter) = &self.phase {
            setter.set(connection_displacement::ConnectionPhase::Active);
        }
        let write_timeout = self.write_timeout;
        let write_timer =
            self.write_timer.get_or_insert_with(|| deadline::DeadlineTimer::after(write_timeout));
        match pin::Pin::new(write_timer).poll(cx) {
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
        match &mut self.substitute {
            Some(substitute) => pin::Pin::new(substitute).poll_read(cx, buffer),
            None => self.poll_limited_read(cx, buffer),
        }
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if !self.handled.is_set() {
            return task::Poll::Ready(Ok(bytes.len()));
        }
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.limit_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        if !self.handled.is_set() {
            return task::Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.limit_write(cx, written)
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
        if !self.handled.is_set() {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}
