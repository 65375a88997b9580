//! Telling the response to a stage call from one to an earlier call.

use comfreyspread_policy::recent_results;
use comfreyspread_schema::types;
use std::time;

fn task(request: &str, piece: u32) -> types::PieceTask {
    types::PieceTask {
        inputs: Vec::new(),
        key: None,
        time_left: time::Duration::ZERO,
        piece,
        request: request.into(),
        stage: 0,
    }
}

fn made(handle: &str) -> types::PieceOutcome {
    types::PieceOutcome::Made(handle.into())
}

/// A second copy of a response never passes for the response to another call.
#[test]
fn earlier_response() {
    let mut results = recent_results::RecentResults::default();
    let first = [made("a"), made("b")];
    assert_eq!(
        results.record(&[task("r-1", 0), task("r-1", 1)], &first),
        recent_results::ResponseOrigin::ThisCall
    );
    let second = [task("r-2", 0), task("r-2", 1)];
    assert_eq!(results.record(&second, &first), recent_results::ResponseOrigin::EarlierCall);
    assert_eq!(
        results.record(&second, &[made("c"), made("d")]),
        recent_results::ResponseOrigin::ThisCall
    );
}

/// A piece that is made again may get the handle that it had.
#[test]
fn piece_repeated() {
    let mut results = recent_results::RecentResults::default();
    results.record(&[task("r-1", 0)], &[made("a")]);
    assert_eq!(
        results.record(&[task("r-1", 0)], &[made("a")]),
        recent_results::ResponseOrigin::Unknown
    );
}

/// A response without results may be of any call.
#[test]
fn no_result() {
    let late = types::PieceOutcome::Failed(types::PieceError::Late);
    let origin = recent_results::RecentResults::default().record(&[task("r-1", 0)], &[late]);
    assert_eq!(origin, recent_results::ResponseOrigin::Unknown);
}

/// The results of a few thousand calls are remembered, not of all.
#[test]
fn bounded_memory() {
    let mut results = recent_results::RecentResults::default();
    for number in 0..5000 {
        results.record(&[task("r-1", number)], &[made(&format!("h-{number}"))]);
    }
    let mut origin =
        |number: u32| results.record(&[task("r-2", 0)], &[made(&format!("h-{number}"))]);
    assert_eq!(origin(4999 - 2000), recent_results::ResponseOrigin::EarlierCall);
    assert_eq!(origin(0), recent_results::ResponseOrigin::ThisCall);
}
