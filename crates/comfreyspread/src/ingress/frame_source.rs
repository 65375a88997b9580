//! Frames of a streamed answer and the work that produces them, in one task.

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
        Self { frames: produced_items::ProducedItems::new(frames::CHANNEL_FRAMES, produce) }
    }

    /// Returns the next frame; none after the last.
    pub async fn next(&mut self) -> Option<types::StageFrame> {
        future::poll_fn(|cx| self.frames.poll_next(cx)).await
    }

    /// Returns the next frame if it is there already.
    pub fn try_next(&mut self) -> Option<types::StageFrame> {
        self.frames.try_next()
    }
}
