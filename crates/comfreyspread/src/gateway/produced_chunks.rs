//! Message body whose chunks are produced in the task that reads it.
//!
//! Dropping the body, as when the caller disconnects, cancels the producer.

use crate::transport::{http_body, produced_items};
use futures_lite::io;
use std::{pin, task};

const CHANNEL_CAPACITY: usize = 16;

/// Sender of the chunks; an error truncates the body.
pub type ChunkSender = async_channel::Sender<io::Result<bytes::Bytes>>;

/// Chunk source that runs its producer when polled.
pub struct ProducedChunks {
    chunks: Box<produced_items::ProducedItems<io::Result<bytes::Bytes>>>,
}

impl ProducedChunks {
    /// Returns a body of the chunks that `produce` sends; it is truncated if `produce` fails.
    pub fn body<Produce, Producer>(produce: Produce) -> http_body::MessageBody
    where
        Produce: FnOnce(ChunkSender) -> Producer,
        Producer: Future<Output = io::Result<()>> + Send + 'static,
    {
        let chunks = produced_items::ProducedItems::new(CHANNEL_CAPACITY, |sender: ChunkSender| {
            let producer = produce(sender.clone());
            async move {
                if let Err(error) = producer.await {
                    // Sending fails only if the body has been dropped.
                    sender.send(Err(error)).await.ok();
                }
            }
        });
        http_body::MessageBody::from_source(Self { chunks: Box::new(chunks) }, None)
    }
}

impl http_body::ChunkSource for ProducedChunks {
    fn poll_chunk(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        self.get_mut().chunks.poll_next(cx)
    }
}
