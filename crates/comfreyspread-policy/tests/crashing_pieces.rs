//! Pieces that crash every endpoint that runs them, batched with pieces of other requests.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::{batch_call, batch_outcome, batch_queue, batch_worker, piece_group};
use comfreyspread_schema::types;
use std::time;

const RESULT_BYTES: u64 = 10;
const STEP: time::Duration = time::Duration::from_millis(300);
const SOUND_REQUESTS: usize = 4;
const GUILTY: &str = "guilty";

fn queue(now: time::Instant) -> batch_queue::BatchQueue {
    let mut queue = batch_queue::BatchQueue::new(types::StageCapacity {
        max_batch_size: 8,
        call_time_us: 100_000,
        piece_time_us: 5000,
        max_queued_calls: 2,
        result_ttl: time::Duration::from_secs(4),
        storage_bytes: 100 * RESULT_BYTES,
        slots: 1,
    });
    let workers = (0..3).map(|number| batch_worker::WorkerLocation {
        endpoint: format!("w{number}").into(),
        address: ([10, 0, 0, 1], number).into(),
        zone: "a".into(),
        paused_until: None,
        is_held: false,
    });
    queue.set_workers(workers, now);
    queue
}

fn group(request: &str, now: time::Instant) -> piece_group::PieceGroup {
    let task = types::PieceTask {
        inputs: Vec::new(),
        key: None,
        time_left: time::Duration::ZERO,
        piece: 0,
        request: request.into(),
        stage: 0,
    };
    piece_group::PieceGroup {
        tasks: vec![task],
        priority: 0,
        result_bytes: RESULT_BYTES,
        target: now + time::Duration::from_secs(20),
        deadline: now + time::Duration::from_secs(30),
        inputs_expire_at: None,
        zone: None,
    }
}

/// Returns the outcome of a call at an endpoint that crashes on the guilty piece.
fn outcome(call: &batch_call::PlannedCall) -> batch_outcome::BatchOutcome {
    if call.tasks.iter().any(|task| &*task.request == GUILTY) {
        return batch_outcome::BatchOutcome::Failed;
    }
    let handle = |task: &types::PieceTask| {
        types::PieceOutcome::Made(format!("{}/{}", call.address, task.request).into())
    };
    batch_outcome::BatchOutcome::Answered(call.tasks.iter().map(handle).collect())
}

/// Guards against sound pieces that fail because each retry puts them into one call with the piece
/// that crashes its endpoint.
#[test]
fn sound_pieces_made() {
    let start = time::Instant::now();
    let mut queue = queue(start);
    let guilty = queue.push(group(GUILTY, start));
    for number in 0..SOUND_REQUESTS {
        queue.push(group(&format!("sound {number}"), start));
    }
    let (mut made, mut crashes) = (0, 0);
    for step in 0..40 {
        let now = start + STEP * step;
        for call in queue.plan(now) {
            let outcome = outcome(&call);
            crashes += usize::from(outcome.completed().is_none());
            queue.finish_call(call.number, &outcome, now);
        }
        for group in queue.take_completed(now) {
            let is_made = matches!(group.outcomes[..], [types::PieceOutcome::Made(_)]);
            assert_eq!(is_made, group.number != guilty);
            made += usize::from(is_made);
        }
    }
    assert_eq!(made, SOUND_REQUESTS);
    assert!(crashes <= 4, "{crashes} crashes");
}
