//! Splits the bytes of a stream of server-sent events into complete events.
//!
//! The bytes of an event are kept unchanged; only its end and its id are parsed.
//!
//! ```
//! use comfreyspread_policy::event_buffer;
//!
//! let mut buffer = event_buffer::EventBuffer::default();
//! buffer.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! let events = buffer.take_events();
//! assert_eq!(events.len(), 1);
//! assert_eq!(events[0].id, Some(1));
//! assert!(!buffer.is_empty());
//! ```

/// Ends of lines; an event ends with two that are the same.
const LINE_ENDS: [&[u8]; 2] = [b"\n", b"\r\n"];
/// Size of the longest end of an event, in bytes.
const MAX_END_BYTES: usize = 4;
/// Size of the blocks of an unfinished event, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data";
/// Start of the head of a response, which no line of an event has.
const HEAD_START: &[u8] = b"HTTP/1.";

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvent {
    /// Numeric id of the event, if it has one.
    pub id: Option<u64>,
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Box<[u8]>,
}

impl CompleteEvent {
    /// Whether the event carries data; one without, such as a comment, is only a sign of life.
    pub fn has_data(&self) -> bool {
        self.bytes.split(|byte| *byte == b'\n').any(|line| line.starts_with(DATA_FIELD))
    }

    /// Whether a line is the start of a response: an endpoint in trouble may write another one in
    /// the middle of its stream.
    pub fn has_response_head(&self) -> bool {
        self.bytes.split(|byte| *byte == b'\n').any(|line| line.starts_with(HEAD_START))
    }
}

/// How far one attempt at a stream has come.
///
/// ```
/// use comfreyspread_policy::event_buffer;
///
/// let mut buffer = event_buffer::EventBuffer::default();
/// let mut progress = event_buffer::EventProgress::default();
/// buffer.push(b"id: 1\ndata: a\n\n");
/// assert!(progress.record(&mut buffer.take_events()));
/// buffer.push(b": comment\n\nid: 1\ndata: a\n\n");
/// let mut events = buffer.take_events();
/// assert!(!progress.record(&mut events));
/// assert_eq!(events.len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct EventProgress {
    last: Option<u64>,
}

impl EventProgress {
    /// Records events, removes those whose number is not above all before it, which nobody needs, and
    /// returns whether the stream has advanced: by an event with a higher number, or while none is
    /// numbered, by one with data.
    pub fn record(&mut self, events: &mut Vec<CompleteEvent>) -> bool {
        let mut advanced = false;
        events.retain(|event| {
            if event.id.is_none() {
                advanced |= self.last.is_none() && event.has_data();
                return true;
            }
            let is_new = event.id > self.last;
            self.last = self.last.max(event.id);
            advanced |= is_new;
            is_new
        });
        advanced
    }
}

/// Bytes of a stream from which complete events are taken.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Beginning of an unfinished event, in blocks of one size. A buffer that doubles leaves gaps of all
    /// sizes that it had in the heap, and many of them took up twice their memory.
    blocks: Vec<Box<[u8]>>,
    bytes: Vec<u8>,
    searched: usize,
}

impl EventBuffer {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the complete events.
    pub fn take_events(&mut self) -> Vec<CompleteEvent> {
        let mut events = Vec::new();
        let mut taken = 0;
        while let Some(end) = self.event_end(taken) {
            let bytes = self.take_event(taken, end);
            events.push(CompleteEvent { id: event_id(&bytes), bytes });
            taken = end;
        }
        self.bytes.drain(..taken);
        self.move_to_blocks();
        self.searched = self.bytes.len();
        events
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.blocks.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.blocks.len() * BLOCK_BYTES + self.bytes.len()
    }

    /// Returns the number of bytes that the buffer takes up.
    pub fn capacity(&self) -> usize {
        self.blocks.len() * BLOCK_BYTES + self.bytes.capacity()
    }

    /// Returns the bytes of an event whose rest is in the buffer, and forgets its blocks.
    fn take_event(&mut self, from: usize, end: usize) -> Box<[u8]> {
        let rest = &self.bytes[from..end];
        if self.blocks.is_empty() {
            return rest.into();
        }
        let mut bytes = self.blocks.concat();
        self.blocks.clear();
        bytes.extend_from_slice(rest);
        bytes.into()
    }

    /// Moves whole blocks of the unfinished event out of the buffer that is searched. Enough is left
    /// behind for an end of the event of which a part has arrived.
    fn move_to_blocks(&mut self) {
        let movable = self.bytes.len().saturating_sub(MAX_END_BYTES) / BLOCK_BYTES * BLOCK_BYTES;
        self.blocks.extend(self.bytes[..movable].chunks(BLOCK_BYTES).map(Into::into));
        self.bytes.drain(..movable);
    }

    /// Returns the end of the event that starts at `from`.
    fn event_end(&self, from: usize) -> Option<usize> {
        let start = from.max(self.searched.saturating_sub(MAX_END_BYTES));
        let unsearched = self.bytes[start..].iter().enumerate();
        let line_feeds = unsearched.filter(|(_, byte)| **byte == b'\n');
        line_feeds.map(|(offset, _)| start + offset + 1).find_map(|next_line| {
            let (before, after) = (&self.bytes[from..next_line], &self.bytes[next_line..]);
            let mut ends = LINE_ENDS.into_iter();
            let end = ends.find(|end| before.ends_with(end) && after.starts_with(end))?;
            Some(next_line + end.len())
        })
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next()?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
