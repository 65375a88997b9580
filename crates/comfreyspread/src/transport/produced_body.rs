//! Body of an HTTP answer and the work that produces it, in one task.
//!
//! The connection's task runs the producer whenever it wants more bytes, and takes all that are
//! there at once. Dropping the body, as when the other side goes away, cancels the work.

use futures_lite::{AsyncRead, io};
use std::{pin, task};

type ProducerFuture = sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>;

/// Reader of a body that is produced while it is read.
pub struct ProducedBody<Reader> {
    producer: Option<ProducerFuture>,
    reader: Reader,
}

impl<Reader> ProducedBody<Reader> {
    /// Creates a body whose bytes come out of `reader` as `producer` runs.
    pub fn new<Producer>(producer: Producer, reader: Reader) -> Self
    where
        Producer: Future<Output = ()> + Send + 'static,
    {
        Self { producer: Some(sync_wrapper::SyncFuture::new(Box::pin(producer))), reader }
    }

    /// Runs the producer and returns whether it may have made progress.
    fn produce(&mut self, cx: &mut task::Context<'_>) -> bool {
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
        let mut produced = false;
        while filled < buffer.len() {
            match pin::Pin::new(&mut self.reader).poll_read(cx, &mut buffer[filled..]) {
                task::Poll::Ready(Ok(0)) => return task::Poll::Ready(Ok(filled)),
                task::Poll::Ready(Ok(count)) => {
                    filled += count;
                    produced = false;
                }
                task::Poll::Ready(Err(error)) => return task::Poll::Ready(Err(error)),
                task::Poll::Pending if !produced && self.produce(cx) => produced = true,
                task::Poll::Pending if filled > 0 => break,
                task::Poll::Pending => return task::Poll::Pending,
            }
        }
        task::Poll::Ready(Ok(filled))
    }
}
