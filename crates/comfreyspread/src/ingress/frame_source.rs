//! Frames of a streamed answer that are generated while they are read.

use crate::{ingress::frames, transport::produced_items};
use comfreyspread_schema::types;
use std::future;

/// Frames of a streamed answer.
#[derive(Debug)]
pub struct FrameSource {
    frames: produced_items::ProducedItems<types::StageFrame>,
}

impl FrameSource {
    /// Creates a source of the frames that `produce` sends.
    pub fn new<Produce, Producer>(produce: Produce) -> Self
    where
        Produce: FnOnce(frames::FrameSender) -> Producer,
        Producer: Future<Output = ()> + Send + 'static,
    {
        Self { frames: produced_items::ProducedItems::new(frames::CHANNEL_CAPACITY, produce) }
    }

    /// Returns the next frame, or none at the end.
    pub async fn next(&mut self) -> Option<types::StageFrame> {
        future::poll_fn(|cx| self.frames.poll_next(cx)).await
    }

    /// Returns the next frame if one is buffered.
    pub fn try_next(&mut self) -> Option<types::StageFrame> {
        self.frames.try_next()
    }
}
