//! Reads the events of one attempt's response.

use crate::transport::{http_body, http_message};
use comfreyspread_policy::event_buffer;
use futures_lite::io;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Complete events that were read at once.
#[derive(Debug, Default)]
pub struct EventBatch {
    /// The events.
    pub events: Vec<event_buffer::CompleteEvent>,
    /// Whether the stream has advanced. Only new, complete events count: an endpoint in trouble may
    /// send a byte, a comment or the same event now and then for ever.
    pub advanced: bool,
    /// Whether another response follows within the stream.
    pub has_second_head: bool,
}

/// Reader of the events of one response. Each read may be cancelled without losing an event.
#[derive(Debug)]
pub struct StreamReader {
    body: http_body::MessageBody,
    buffer: event_buffer::EventBuffer,
    progress: event_buffer::EventProgress,
    /// Events without progress that were read while the reader waited for some.
    held: EventBatch,
}

impl StreamReader {
    /// Creates a reader of the body of a response, which it takes.
    pub fn new(response: &mut http_message::Response) -> Self {
        Self {
            body: response.take_body(),
            buffer: event_buffer::EventBuffer::default(),
            progress: event_buffer::EventProgress::default(),
            held: EventBatch::default(),
        }
    }

    /// Closes the response; nothing more is read.
    pub fn close(&mut self) {
        self.body = http_body::MessageBody::empty();
    }

    /// Returns the events of the next chunk, and those held before; none after the end.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks off, also within an event, or an event is too long.
    pub async fn next_batch(&mut self) -> io::Result<Option<EventBatch>> {
        if !self.read_chunk().await? {
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.held)))
    }

    /// Returns the events read until the stream has advanced; none if it ends before.
    ///
    /// # Errors
    ///
    /// Fails like [`StreamReader::next_batch`].
    pub async fn next_advance(&mut self) -> io::Result<Option<EventBatch>> {
        while !self.held.advanced && !self.held.has_second_head {
            if !self.read_chunk().await? {
                return Ok(None);
            }
        }
        Ok(Some(std::mem::take(&mut self.held)))
    }

    /// Adds the events of one chunk to those held; returns whether there was a chunk.
    async fn read_chunk(&mut self) -> io::Result<bool> {
        let Some(chunk) = self.body.next_chunk().await else {
            if self.buffer.is_empty() {
                return Ok(false);
            }
            let detail = "the stream ends within an event";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, detail));
        };
        self.buffer.push(&chunk?);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(io::Error::other("an event is too long"));
        }
        let mut events = self.buffer.take_events();
        let second_head = events.iter().position(|event| event.has_response_head());
        events.truncate(second_head.unwrap_or(events.len()));
        self.held.advanced |= self.progress.record(&events);
        self.held.has_second_head |= second_head.is_some();
        self.held.events.extend(events);
        Ok(true)
    }
}
