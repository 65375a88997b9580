//! Response body that polls the future generating it, without a task of its own.
//!
//! The connection's task polls the producer whenever it needs more bytes, and takes all that are
//! available at once. Dropping the body, as when the peer disconnects, cancels the producer.

use futures_lite::{AsyncRead, io};
use std::{pin, task};

type ProducerFuture = sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>;

/// Reader of a body that is generated while it is read.
pub struct ProducedBody<Reader> {
    producer: Option<ProducerFuture>,
    reader: Reader,
}

impl<Reader> ProducedBody<Reader> {
    /// Creates a body of the bytes that `reader` yields while `producer` runs.
    pub fn new<Producer>(producer: Producer, reader: Reader) -> Self
    where
        Producer: Future<Output = ()> + Send + 'static,
    {
        Self { producer: Some(sync_wrapper::SyncFuture::new(Box::pin(producer))), reader }
    }

    /// Polls the producer and returns whether it may have made progress.
    fn poll_producer(&mut self, cx: &mut task::Context<'_>) -> bool {
        let Some(producer) = &mut self.producer else { return false };
        if pin::Pin::new(producer).poll(cx).is_ready() {
            self.producer = None;
        }
        true
    }
}

impl<Reader> AsyncRead for ProducedBody<Reader>
where
    Reader: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut filled = 0;
        let mut polled = false;
        while filled < buffer.len() {
            match pin::Pin::new(&mut self.reader).poll_read(cx, &mut buffer[filled..]) {
                task::Poll::Ready(Ok(0)) => return task::Poll::Ready(Ok(filled)),
                task::Poll::Ready(Ok(count)) => {
                    filled += count;
                    polled = false;
                }
                task::Poll::Ready(Err(error)) => return task::Poll::Ready(Err(error)),
                task::Poll::Pending if !polled && self.poll_producer(cx) => polled = true,
                task::Poll::Pending if filled > 0 => break,
                task::Poll::Pending => return task::Poll::Pending,
            }
        }
        task::Poll::Ready(Ok(filled))
    }
}
