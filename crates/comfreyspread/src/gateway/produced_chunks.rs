//! Body whose chunks are produced while it is read, in the task that reads it.
//!
//! Dropping the body, as when the caller goes away, cancels the work that produces it.

use crate::transport::http_body;
use futures_lite::io;
use std::{pin, task};

type ProducerFuture =
    sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = io::Result<()>> + Send>>>;

const CHANNEL_CHUNKS: usize = 16;

/// Sending side of the chunks.
pub type ChunkSender = async_channel::Sender<bytes::Bytes>;

/// Chunks and the work that produces them.
pub struct ProducedChunks {
    producer: Option<ProducerFuture>,
    chunks: pin::Pin<Box<async_channel::Receiver<bytes::Bytes>>>,
    failure: Option<io::Error>,
}

impl ProducedChunks {
    /// Returns a body of the chunks that `produce` sends; it is cut if `produce` fails.
    pub fn body<Produce, Producer>(produce: Produce) -> http_body::MessageBody
    where
        Produce: FnOnce(ChunkSender) -> Producer,
        Producer: Future<Output = io::Result<()>> + Send + 'static,
    {
        let (sender, chunks) = async_channel::bounded(CHANNEL_CHUNKS);
        let producer: pin::Pin<Box<dyn Future<Output = io::Result<()>> + Send>> =
            Box::pin(produce(sender));
        let producer = Some(sync_wrapper::SyncFuture::new(producer));
        let chunks = Box::pin(chunks);
        http_body::MessageBody::from_source(Self { producer, chunks, failure: None }, None)
    }
}

impl http_body::ChunkSource for ProducedChunks {
    fn poll_chunk(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        let source = self.get_mut();
        if let Ok(chunk) = source.chunks.try_recv() {
            return task::Poll::Ready(Some(Ok(chunk)));
        }
        if let Some(producer) = &mut source.producer
            && let task::Poll::Ready(ended) = pin::Pin::new(producer).poll(cx)
        {
            source.producer = None;
            source.failure = ended.err();
        }
        if let Ok(chunk) = source.chunks.try_recv() {
            return task::Poll::Ready(Some(Ok(chunk)));
        }
        if source.producer.is_some() {
            return task::Poll::Pending;
        }
        task::Poll::Ready(source.failure.take().map(Err))
    }
}
