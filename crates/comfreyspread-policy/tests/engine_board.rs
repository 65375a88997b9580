//! Placement of requests on engines, under the loads that it answers, and when what the board knows
//! ends.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

mod engine_load;

use comfreyspread_policy::engine_board;
use comfreyspread_schema::types;
use engine_load::{Chooser, EngineLoad, LoadResult};
use std::time;

fn compare(load: &EngineLoad) -> (LoadResult, LoadResult) {
    let now = time::Instant::now();
    let (alone, board) = (load.play(Chooser::EachNode, now), load.play(Chooser::Board, now));
    eprintln!(
        "p50 {} to {} ms, p95 {} to {} ms, read again {} to {}",
        alone.quantile(0.5),
        board.quantile(0.5),
        alone.quantile(0.95),
        board.quantile(0.95),
        alone.read_again,
        board.read_again
    );
    (alone, board)
}

/// Pattern: steady load. Nodes that see a part of an engine's load each sent long prompts to engines
/// that already had several.
#[test]
fn steady_load() {
    let (alone, board) = compare(&EngineLoad::default());
    assert!(board.quantile(0.95) * 4 < alone.quantile(0.95) * 3);
}

/// Pattern: two speeds. Engines 2.4 times as slow as others got as many prompts.
#[test]
fn two_speeds() {
    let factors = (0..12).map(|index| if index % 3 == 0 { 2.4 } else { 1.0 }).collect();
    let (alone, board) = compare(&EngineLoad { factors, ..EngineLoad::default() });
    assert!(board.quantile(0.95) * 2 < alone.quantile(0.95));
}

/// Pattern: hot prompt part. A prompt that much of the traffic has stayed at one engine; it spreads to
/// others when that has more to read than the reading of the prompt takes.
#[test]
fn hot_prompt() {
    let load = EngineLoad { hot_part: 0.6, arrivals_per_second: 260, ..EngineLoad::default() };
    let (alone, board) = compare(&load);
    assert!(board.quantile(0.95) * 2 < alone.quantile(0.95));
    assert!(board.hot_engines > 1);
    let calm = EngineLoad { hot_part: 0.6, arrivals_per_second: 6, ..EngineLoad::default() };
    let (_, board) = compare(&calm);
    assert!(board.hot_engines <= 2, "{} engines", board.hot_engines);
}

/// Pattern: momentary slowness. Engines that stand still for a moment got prompts until their first
/// answers were late; what is overdue there shows it.
#[test]
fn momentary_slowness() {
    let load = EngineLoad {
        arrivals_per_second: 120,
        paused: 2,
        pause: time::Duration::from_millis(1500),
        duration: time::Duration::from_secs(4),
        ..EngineLoad::default()
    };
    let (alone, board) = compare(&load);
    assert!(board.quantile(0.95) * 2 < alone.quantile(0.95));
}

fn place(
    board: &mut engine_board::EngineBoard,
    node: &str,
    number: u64,
    now: time::Instant,
) -> engine_board::EngineChoice {
    let demand = engine_load::demand(number, 0, 4000);
    let key = (node.into(), number);
    board.place(&engine_load::candidates(4), key, &demand, now).expect("an engine")
}

/// Requests with the same prompt stay where it is held, unless others wait there.
#[test]
fn holder_kept() {
    let now = time::Instant::now();
    let mut board = engine_board::EngineBoard::new(engine_load::capacity(), now);
    let first = place(&mut board, "a", 1, now);
    board.record_end(&("a".into(), 1), None, now);
    let second = place(&mut board, "b", 2, now);
    assert_eq!((&second.endpoint, second.cached_tokens), (&first.endpoint, 4000));
    let number =
        (3..40).find(|number| place(&mut board, "b", *number, now).endpoint != first.endpoint);
    assert!(number.is_some(), "it spreads once the holder is busy");
}

/// An engine that restarts under its name has nothing in its memory and no requests.
#[test]
fn restarted_engine() {
    let now = time::Instant::now();
    let mut board = engine_board::EngineBoard::new(engine_load::capacity(), now);
    let first = place(&mut board, "a", 1, now);
    let mut candidates = engine_load::candidates(4);
    for candidate in &mut candidates {
        candidate.started_at_ms = 2;
    }
    let demand = engine_load::demand(2, 0, 4000);
    let choice = board.place(&candidates, ("a".into(), 2), &demand, now).expect("an engine");
    assert_eq!(choice.cached_tokens, 0);
    let load = board.loads().into_iter().find(|load| load.endpoint == choice.endpoint);
    assert_eq!(load.expect("a load").running, 1);
    assert_eq!(first.endpoint, choice.endpoint, "the prompt still prefers the same engine");
}

/// A node that asks and dies, a caller that leaves without a word, and a node that is told of
/// placements twice left engines with requests that had ended.
#[test]
fn ended_placements() {
    let now = time::Instant::now();
    let mut board = engine_board::EngineBoard::new(engine_load::capacity(), now);
    let running = |board: &engine_board::EngineBoard| {
        board.loads().iter().map(|load| load.running).sum::<u32>()
    };
    for number in 0..4 {
        place(&mut board, "a", number, now);
        place(&mut board, "b", number, now);
    }
    assert_eq!(running(&board), 8);
    board.remove_node(&"a".into());
    assert_eq!(running(&board), 4);
    board.record_end(&("b".into(), 0), None, now);
    board.record_end(&("b".into(), 0), None, now);
    assert_eq!(running(&board), 3);
    let later = now + time::Duration::from_secs(11);
    place(&mut board, "c", 1, later);
    assert_eq!(running(&board), 1, "the others have expired");
}

/// A node that begins to place requests is told of those that run, and counts each once.
#[test]
fn restored_placements() {
    let now = time::Instant::now();
    let mut board = engine_board::EngineBoard::new(engine_load::capacity(), now);
    let candidate = &engine_load::candidates(4)[0];
    let active = types::ActivePlacement {
        began: false,
        demand: engine_load::demand(1, 0, 4000),
        endpoint: candidate.endpoint.clone(),
    };
    for _ in 0..2 {
        board.restore(candidate, ("a".into(), 1), &active, now);
    }
    let load = &board.loads()[0];
    assert_eq!((load.running, load.unread_tokens), (1, 5000));
}

/// Parts that were used longest ago yield when the memory is full.
#[test]
fn full_memory() {
    let now = time::Instant::now();
    let capacity = types::EngineCapacity { memory_tokens: 12_000, ..engine_load::capacity() };
    let mut board = engine_board::EngineBoard::new(capacity, now);
    let candidates = &engine_load::candidates(1);
    for (number, prompt) in [(1, 1), (2, 2), (3, 3)] {
        let demand = engine_load::demand(number, prompt, 4000);
        board.place(candidates, ("a".into(), number), &demand, now);
        board.record_end(&("a".into(), number), None, now);
    }
    let mut cached = |number, prompt| {
        let demand = engine_load::demand(number, prompt, 4000);
        let choice = board.place(candidates, ("a".into(), number), &demand, now);
        board.record_end(&("a".into(), number), None, now);
        choice.expect("an engine").cached_tokens
    };
    assert_eq!((cached(4, 3), cached(5, 1)), (4000, 0));
}

/// What is explained is what is decided: over drawn states, the engine with the least cost is the one
/// where the request is placed.
#[test]
fn costs_explain_choice() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().for_each(|steps| {
        let now = time::Instant::now();
        let mut board = engine_board::EngineBoard::new(engine_load::capacity(), now);
        let candidates = engine_load::candidates(5);
        for (number, (prompt, kind, delay)) in steps.iter().take(40).enumerate() {
            let number = number as u64;
            let at = now + time::Duration::from_millis(u64::from(*delay));
            let demand = engine_load::demand(number, usize::from(*prompt % 8), 3000);
            match kind % 4 {
                0 => board.record_end(&("a".into(), number / 2), None, at),
                1 => {
                    let took = time::Duration::from_millis(u64::from(*delay) + 1);
                    board.record_first_event(&("a".into(), number / 2), Some(took));
                }
                _ => {
                    board.remove_expired(at);
                    let costs = board.costs(&candidates, &demand, at);
                    let least = (0..costs.len())
                        .min_by(|one, other| costs[*one].total().total_cmp(&costs[*other].total()));
                    let choice = board.place(&candidates, ("a".into(), number), &demand, at);
                    let expected = least.map(|index| candidates[index].endpoint.clone());
                    assert_eq!(choice.map(|choice| choice.endpoint), expected);
                }
            }
        }
    });
}
