//! Splitting of a byte stream into complete events.

use bolero::check;
use comfreyspread_policy::event_buffer;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nversion\nid:2\ndata: b\r\n\r\nid: x\ndata\n\n: c\n\n";

fn events(stream: &[u8], cuts: &[usize]) -> (Vec<event_buffer::CompleteEvent>, bool) {
    let mut buffer = event_buffer::EventBuffer::default();
    let mut found = Vec::new();
    let mut start = 0;
    for end in cuts.iter().copied().chain([stream.len()]) {
        let end = end.clamp(start, stream.len());
        buffer.push(&stream[start..end]);
        found.extend(buffer.take_events());
        start = end;
    }
    (found, buffer.is_empty())
}

#[test]
fn any_cut() {
    let (uncut, empty) = events(STREAM, &[]);
    assert!(empty);
    assert_eq!(
        uncut.iter().map(|event| event.id).collect::<Vec<_>>(),
        [Some(1), Some(2), None, None]
    );
    for cut in 0..STREAM.len() {
        assert_eq!(events(STREAM, &[cut]).0, uncut, "cut at {cut}");
    }
}

#[test]
fn partial_event() {
    let (found, empty) = events(b"id: 1\n\nid: 2\nda", &[]);
    assert_eq!(found.len(), 1);
    assert!(!empty);
}

#[test]
fn bytes_kept() {
    check!().with_type::<(Vec<u8>, Vec<u8>)>().for_each(|(stream, cuts)| {
        let cuts: Vec<_> = cuts.iter().map(|cut| usize::from(*cut)).collect();
        let mut sorted = cuts.clone();
        sorted.sort_unstable();
        let (found, _) = events(stream, &sorted);
        let bytes: Vec<u8> = found.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert!(stream.starts_with(&bytes));
    });
}

/// The head of another response within a stream is not an event.
#[test]
fn second_head() {
    let (found, _) = events(b"id: 1\ndata: HTTP/1.1\n\nHTTP/1.1 500 Error\r\nx: y\r\n\r\n", &[]);
    let heads: Vec<_> = found.iter().map(|event| event.has_response_head()).collect();
    assert_eq!(heads, [false, true]);
}

/// Events whose number is known were kept while a stream moved, without any bound.
#[test]
fn repeated_events_dropped() {
    let mut progress = event_buffer::EventProgress::default();
    let (mut found, _) = events(b"id: 3\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: a\n\n", &[]);
    assert!(progress.record(&mut found));
    assert_eq!(found.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(3)]);
    let (mut found, _) = events(b"id: 1\ndata: c\n\ndata: d\n\n: e\n\n", &[]);
    assert!(!progress.record(&mut found));
    assert_eq!(found.iter().map(|event| event.id).collect::<Vec<_>>(), [None, None]);
    let (mut found, _) = events(b"id: 4\ndata: f\n\n", &[]);
    assert!(progress.record(&mut found));
    assert_eq!(found.len(), 1);
}

/// An event larger than a block is the same wherever the stream is cut, also within its end.
#[test]
fn large_events() {
    const LARGE: usize = 40_000;
    for end in ["\n\n", "\r\n\r\n"] {
        let event = format!("id: 7\ndata: {}{end}", "x".repeat(LARGE));
        let stream = format!("{event}{event}id: 8{end}");
        let (uncut, empty) = events(stream.as_bytes(), &[]);
        assert!(empty);
        assert_eq!(uncut.iter().map(|event| event.id).collect::<Vec<_>>(), [7, 7, 8].map(Some));
        assert_eq!(&*uncut[1].bytes, event.as_bytes());
        let near_ends = (0..6).flat_map(|back| [event.len() - back, 2 * event.len() - back]);
        for cut in near_ends.chain((0..stream.len()).step_by(997)) {
            assert_eq!(events(stream.as_bytes(), &[cut]).0, uncut, "cut at {cut}");
        }
        let cuts: Vec<_> = (0..stream.len()).step_by(1024).collect();
        assert_eq!(events(stream.as_bytes(), &cuts).0, uncut);
    }
}

/// The beginning of an unfinished event is kept in blocks, so what it takes up is what has arrived.
#[test]
fn blocks_counted() {
    let mut buffer = event_buffer::EventBuffer::default();
    for _ in 0..100 {
        buffer.push(&[b'x'; 10_000]);
        assert!(buffer.take_events().is_empty());
    }
    assert_eq!(buffer.len(), 1_000_000);
    assert!(buffer.capacity() < 1_100_000, "{}", buffer.capacity());
}
