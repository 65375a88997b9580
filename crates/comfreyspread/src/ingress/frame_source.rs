//! Frames of a streamed answer and the work that produces them, in one task.
//!
//! The task that wants the next frame runs the producer until there is one. So a frame costs no
//! change of tasks, and dropping the source cancels the work.

use crate::ingress::frames;
use comfreyspread_schema::types;
use std::{fmt, future, pin, task};

type ProducerFuture = sync_wrapper::SyncFuture<pin::Pin<Box<dyn Future<Output = ()> + Send>>>;

/// Frames of a streamed answer.
pub struct FrameSource {
    producer: Option<ProducerFuture>,
    frames: frames::FrameReceiver,
}

impl FrameSource {
    /// Creates a source of the frames that `produce` sends.
    pub fn new<Produce, Producer>(produce: Produce) -> Self
    where
        Produce: FnOnce(frames::FrameSender) -> Producer,
        Producer: Future<Output = ()> + Send + 'static,
    {
        let (sender, frames) = async_channel::bounded(frames::CHANNEL_FRAMES);
        Self { producer: Some(sync_wrapper::SyncFuture::new(Box::pin(produce(sender)))), frames }
    }

    /// Returns the next frame; none after the last.
    pub async fn next(&mut self) -> Option<types::StageFrame> {
        future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Returns the next frame if it is there already.
    pub fn try_next(&mut self) -> Option<types::StageFrame> {
        self.frames.try_recv().ok()
    }

    fn poll_next(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Option<types::StageFrame>> {
        if let Some(frame) = self.try_next() {
            return task::Poll::Ready(Some(frame));
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

impl fmt::Debug for FrameSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("FrameSource").field("waiting", &self.frames.len()).finish()
    }
}
