//! Whole events of a stream, out of bytes that arrive in any pieces.
//!
//! Bytes are kept as they are: only where an event ends and what its id is matters here.
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

const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const ID_FIELD: &[u8] = b"id:";

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvent {
    /// Number of the event, if it states one.
    pub id: Option<u64>,
    /// Its bytes, the empty line at its end included.
    pub bytes: Box<[u8]>,
}

/// Bytes of a stream that do not make a whole event yet.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: Vec<u8>,
    searched: usize,
}

impl EventBuffer {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes out the whole events.
    pub fn take_events(&mut self) -> Vec<CompleteEvent> {
        std::iter::from_fn(|| self.take_event()).collect()
    }

    /// Whether there is nothing left of an event that has begun.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    fn take_event(&mut self) -> Option<CompleteEvent> {
        let longest = ENDS.iter().map(|end| end.len()).max().unwrap_or(0);
        let from = self.searched.saturating_sub(longest);
        let found = ENDS.iter().filter_map(|end| {
            let place = self.bytes[from..].windows(end.len()).position(|window| window == *end)?;
            Some(from + place + end.len())
        });
        let Some(end) = found.min() else {
            self.searched = self.bytes.len();
            return None;
        };
        let bytes: Box<[u8]> = self.bytes.drain(..end).collect();
        self.searched = 0;
        Some(CompleteEvent { id: event_id(&bytes), bytes })
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(ID_FIELD)).next()?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
