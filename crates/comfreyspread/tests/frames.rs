//! Frames of streamed answers between nodes.

use bolero::check;
use comfreyspread::{
    ingress::{frame_source, frames},
    transport::body,
};
use comfreyspread_schema::types;
use futures_lite::{future, io};
use std::sync;

fn token(offset: u64) -> types::StageFrame {
    let chunk = types::TokenChunk { count: 1, offset, text: format!("t{offset}").into() };
    types::StageFrame::Token { chunk }
}

fn encoded(count: u64) -> Vec<u8> {
    let source = frame_source::FrameSource::new(|sender| async move {
        for offset in 0..count {
            sender.send(token(offset)).await.expect("an open channel");
        }
    });
    let mut stream_body = frames::peer_response(source).take_body();
    let budget = sync::Arc::new(body::BodyBudget::new(usize::MAX));
    let mut reservation = body::BodyReservation::new(budget);
    let read = body::read_to_end(&mut stream_body, usize::MAX, &mut reservation);
    let whole = future::block_on(read);
    whole.expect("a whole body").to_vec()
}

#[test]
fn round_trip() {
    let bytes = encoded(100);
    let mut reader = io::Cursor::new(bytes);
    for offset in 0..100 {
        let frame = future::block_on(frames::read_frame(&mut reader)).expect("a frame");
        assert_eq!(frame, token(offset));
    }
    assert!(future::block_on(frames::read_frame(&mut reader)).is_err());
}

#[test]
fn truncated_frame() {
    let whole = encoded(1);
    for length in 0..whole.len() {
        let mut reader = io::Cursor::new(&whole[..length]);
        let failure = future::block_on(frames::read_frame(&mut reader)).expect_err("a cut");
        assert_eq!(failure.verdict(), types::CallVerdict::MayHaveRun);
    }
}

#[test]
fn arbitrary_bytes() {
    check!().for_each(|bytes| {
        let mut reader = io::Cursor::new(bytes);
        while future::block_on(frames::read_frame(&mut reader)).is_ok() {}
    });
}
