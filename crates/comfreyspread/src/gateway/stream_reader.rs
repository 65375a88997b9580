//! Reads the events of one attempt's response.

use crate::transport::{http_body, http_message, response_memory};
use comfreyspread_policy::event_buffer;
use futures_lite::io;
use std::{mem, sync};

/// Maximum bytes of a stream from one new event to the next, those of repeated events and of comments
/// included.
const MAX_STALLED_BYTES: usize = 4 * 1024 * 1024;

/// Memory that the allocator takes up for an event beside its bytes.
const EVENT_OVERHEAD_BYTES: usize = mem::size_of::<event_buffer::CompleteEvent>() + 16;

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
    /// Bytes read since the stream last advanced.
    stalled_bytes: usize,
    /// Events that were read and have not been returned.
    held: EventBatch,
    /// Memory that the held events take up.
    held_bytes: usize,
    holder: Option<sync::Arc<response_memory::ResponseHolder>>,
}

impl StreamReader {
    /// Creates a reader of the body of a response, which it takes.
    pub fn new(response: &mut http_message::Response) -> Self {
        let body = response.take_body();
        Self {
            holder: body.holder().cloned(),
            body,
            buffer: event_buffer::EventBuffer::default(),
            progress: event_buffer::EventProgress::default(),
            stalled_bytes: 0,
            held: EventBatch::default(),
            held_bytes: 0,
        }
    }

    /// Closes the response and frees what was read of it; nothing more is read.
    pub fn close(&mut self) {
        self.body = http_body::MessageBody::empty();
        self.buffer = event_buffer::EventBuffer::default();
        self.held = EventBatch::default();
        self.holder = None;
    }

    /// Returns the events of the next chunk, and those held before; none after the end.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks off, also within an event, too many bytes arrive without a new event,
    /// or it has to give way while responses have used up their memory.
    pub async fn next_batch(&mut self) -> io::Result<Option<EventBatch>> {
        let Some(events) = self.read_chunk().await? else { return Ok(None) };
        self.held.events.extend(events);
        Ok(Some(self.take_held()))
    }

    /// Returns the events read until the stream has advanced, without comments; none if it ends before.
    ///
    /// The wait may last for as long as the stages of another attempt. What is kept for its end is
    /// limited by [`MAX_STALLED_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails like [`StreamReader::next_batch`].
    pub async fn next_advance(&mut self) -> io::Result<Option<EventBatch>> {
        while !self.held.advanced && !self.held.has_second_head {
            let Some(mut events) = self.read_chunk().await? else { return Ok(None) };
            events.retain(event_buffer::CompleteEvent::has_data);
            let bytes = events.iter().map(|event| event.bytes.len() + EVENT_OVERHEAD_BYTES);
            self.held_bytes += bytes.sum::<usize>();
            self.held.events.extend(events);
        }
        Ok(Some(self.take_held()))
    }

    fn take_held(&mut self) -> EventBatch {
        self.held_bytes = 0;
        mem::take(&mut self.held)
    }

    /// Returns the events of one chunk that have not been read before; none after the end.
    async fn read_chunk(&mut self) -> io::Result<Option<Vec<event_buffer::CompleteEvent>>> {
        let Some(chunk) = self.body.next_chunk().await else {
            if self.buffer.is_empty() {
                return Ok(None);
            }
            let detail = "the stream ends within an event";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, detail));
        };
        let chunk = chunk?;
        self.stalled_bytes += chunk.len();
        self.buffer.push(&chunk);
        let mut events = self.buffer.take_events();
        let second_head = events.iter().position(|event| event.has_response_head());
        events.truncate(second_head.unwrap_or(events.len()));
        self.held.has_second_head |= second_head.is_some();
        if self.progress.record(&mut events) {
            self.held.advanced = true;
            self.stalled_bytes = self.buffer.len();
        }
        if self.stalled_bytes > MAX_STALLED_BYTES {
            return Err(io::Error::other("too many bytes without a new event"));
        }
        if let Some(holder) = &self.holder {
            holder.resize(self.buffer.capacity() + self.held_bytes)?;
        }
        Ok(Some(events))
    }
}
