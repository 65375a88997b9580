//! Stream of items that polls the future generating them, without a task of its own.
//!
//! The task that needs the next item polls the producer. An item therefore costs no task switch,
//! and dropping the stream cancels the producer.

use std::{fmt, pin, task};

type ProducerFuture = sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>;

/// Items that are generated while they are read.
pub struct ProducedItems<Item> {
    producer: Option<ProducerFuture>,
    items: async_channel::Receiver<Item>,
}

impl<Item> ProducedItems<Item> {
    /// Creates a stream of the items that `produce` sends; up to `capacity` are buffered.
    pub fn new<Produce, Producer>(capacity: usize, produce: Produce) -> Self
    where
        Produce: FnOnce(async_channel::Sender<Item>) -> Producer,
        Producer: Future<Output = ()> + Send + 'static,
    {
        let (sender, items) = async_channel::bounded(capacity);
        Self { producer: Some(sync_wrapper::SyncFuture::new(Box::pin(produce(sender)))), items }
    }

    /// Returns the next item if one is buffered.
    pub fn try_next(&mut self) -> Option<Item> {
        self.items.try_recv().ok()
    }

    /// Returns the next item, polling the producer if none is buffered; none after the last.
    pub fn poll_next(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Option<Item>> {
        if let Some(item) = self.try_next() {
            return task::Poll::Ready(Some(item));
        }
        if let Some(producer) = &mut self.producer
            && pin::Pin::new(producer).poll(cx).is_ready()
        {
            self.producer = None;
        }
        match self.try_next() {
            None if self.producer.is_some() => task::Poll::Pending,
            next => task::Poll::Ready(next),
        }
    }
}

impl<Item> fmt::Debug for ProducedItems<Item> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ProducedItems").field("waiting", &self.items.len()).finish()
    }
}
