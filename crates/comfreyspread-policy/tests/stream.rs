//! Position within a streamed answer.

use bolero::check;
use comfreyspread_policy::stream;
use comfreyspread_schema::types;

fn chunk(offset: u64, count: u32) -> types::TokenChunk {
    types::TokenChunk { count, offset, text: "t".into() }
}

#[test]
fn whole_stream() {
    let mut cursor = stream::StreamCursor::new();
    for offset in 0..10 {
        assert_eq!(cursor.accept(&chunk(offset, 1)), Ok(stream::ChunkAction::Deliver));
    }
    assert_eq!(cursor.finish(&types::StreamEnd { tokens: 10 }), Ok(()));
    let short = types::StreamEnd { tokens: 11 };
    assert!(matches!(cursor.finish(&short), Err(stream::StreamError::CutShort { .. })));
}

#[test]
fn gaps_and_overlaps() {
    let mut cursor = stream::StreamCursor::new();
    assert_eq!(cursor.accept(&chunk(0, 4)), Ok(stream::ChunkAction::Deliver));
    assert!(matches!(cursor.accept(&chunk(5, 1)), Err(stream::StreamError::Gap { .. })));
    assert_eq!(cursor.accept(&chunk(2, 2)), Ok(stream::ChunkAction::Drop));
    assert!(matches!(cursor.accept(&chunk(3, 2)), Err(stream::StreamError::Overlap { .. })));
    assert_eq!(cursor.offset(), 4);
}

#[test]
fn any_order() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|chunks| {
        let mut cursor = stream::StreamCursor::new();
        let mut delivered = Vec::new();
        for (offset, count) in chunks {
            let chunk = chunk((*offset % 16).into(), (*count % 4).into());
            if cursor.accept(&chunk) == Ok(stream::ChunkAction::Deliver) {
                delivered.extend(chunk.offset..chunk.offset + u64::from(chunk.count));
            }
        }
        let expected: Vec<_> = (0..cursor.offset()).collect();
        assert_eq!(delivered, expected);
    });
}
