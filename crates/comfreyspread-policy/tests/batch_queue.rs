//! Batching of pieces of several requests into shared calls.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::{batch_call, batch_outcome, batch_queue, batch_worker, piece_group};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const RESULT_BYTES: u64 = 10;

fn ms(length: u64) -> time::Duration {
    time::Duration::from_millis(length)
}

fn capacity() -> types::StageCapacity {
    types::StageCapacity {
        max_batch_size: 8,
        call_time_us: 200_000,
        piece_time_us: 10_000,
        max_queued_calls: 2,
        result_ttl: ms(4000),
        storage_bytes: 12 * RESULT_BYTES,
        slots: 1,
    }
}

fn location(name: &str, port: u16, zone: &str) -> batch_worker::WorkerLocation {
    batch_worker::WorkerLocation {
        endpoint: name.into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: zone.into(),
        paused_until: None,
        is_held: false,
    }
}

fn queue(workers: u16, now: time::Instant) -> batch_queue::BatchQueue {
    let mut queue = batch_queue::BatchQueue::new(capacity());
    let locations = (0..workers).map(|number| location(&format!("w{number}"), number, "a"));
    queue.set_workers(locations, now);
    queue
}

fn group(request: &str, pieces: u32, priority: u32, now: time::Instant) -> piece_group::PieceGroup {
    let task = |piece| types::PieceTask {
        inputs: Vec::new(),
        key: None,
        time_left: time::Duration::ZERO,
        piece,
        request: request.into(),
        stage: 0,
    };
    piece_group::PieceGroup {
        result_bytes: RESULT_BYTES,
        deadline: now + ms(5000),
        inputs_expire_at: None,
        tasks: (0..pieces).map(task).collect(),
        priority,
        target: now + ms(1000),
        zone: None,
    }
}

/// Returns the outcome of a call whose pieces are all completed.
fn completed(call: &batch_call::PlannedCall) -> batch_outcome::BatchOutcome {
    let handle = |task: &types::PieceTask| {
        let handle = format!("{}/{}-{}", call.address, task.request, task.piece);
        types::PieceOutcome::Made(handle.into())
    };
    batch_outcome::BatchOutcome::Answered(call.tasks.iter().map(handle).collect())
}

/// Returns the result handles of a call.
fn handles(outcome: &batch_outcome::BatchOutcome) -> Vec<ids::ResultHandle> {
    let batch_outcome::BatchOutcome::Answered(outcomes) = outcome else { panic!("an answer") };
    let handle = |outcome: &types::PieceOutcome| match outcome {
        types::PieceOutcome::Made(handle) => Some(handle.clone()),
        types::PieceOutcome::Failed(_) => None,
    };
    outcomes.iter().filter_map(handle).collect()
}

fn requests(call: &batch_call::PlannedCall) -> Vec<&str> {
    call.tasks.iter().map(|task| &*task.request).collect()
}

/// Runs two full calls: one on `w0` takes `first` milliseconds, one on another endpoint `other`.
fn run_calls(queue: &mut batch_queue::BatchQueue, start: time::Instant, first: u64, other: u64) {
    queue.push(group("x", 8, 0, start));
    queue.push(group("y", 8, 0, start));
    for call in queue.plan(start) {
        let took = if &*call.endpoint == "w0" { first } else { other };
        let outcome = completed(&call);
        queue.finish_call(call.number, &outcome, start + ms(took));
        queue.take_completed(start + ms(took));
        queue.remove_results(&handles(&outcome));
    }
}

#[test]
fn calls_shared() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    let numbers = ["a", "b", "c"].map(|request| queue.push(group(request, 2, 0, now)));
    let calls = queue.plan(now);
    assert_eq!(calls.len(), 1);
    assert_eq!(requests(&calls[0]), ["a", "a", "b", "b", "c", "c"]);
    assert!(queue.plan(now).is_empty(), "an endpoint runs one call at a time");
    queue.finish_call(calls[0].number, &completed(&calls[0]), now + ms(260));
    let completed = queue.take_completed(now + ms(260));
    assert_eq!(completed.iter().map(|group| group.number).collect::<Vec<_>>(), numbers);
}

#[test]
fn urgent_first() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    queue.push(group("low", 2, 2, now));
    queue.push(group("high", 6, 0, now));
    let mut late = group("late", 2, 0, now);
    late.target = now;
    queue.push(late);
    let call = queue.plan(now).remove(0);
    assert_eq!(requests(&call)[..6], ["high"; 6]);
    assert_eq!(requests(&call)[6..], ["low"; 2]);
}

/// A group is not split while storage is scarce: the results of a split group occupy storage until
/// its last piece is done.
#[test]
fn groups_unsplit() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    queue.push(group("a", 6, 0, now));
    let call = queue.plan(now).remove(0);
    queue.finish_call(call.number, &completed(&call), now + ms(260));
    queue.take_completed(now + ms(260));
    queue.push(group("b", 4, 0, now));
    queue.push(group("c", 4, 0, now));
    let call = queue.plan(now + ms(260)).remove(0);
    assert_eq!(requests(&call), ["b"; 4]);
}

#[test]
fn started_first() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    queue.push(group("a", 10, 2, now));
    let call = queue.plan(now).remove(0);
    assert_eq!(call.tasks.len(), 8);
    queue.finish_call(call.number, &completed(&call), now + ms(280));
    queue.push(group("b", 2, 0, now));
    let call = queue.plan(now + ms(280)).remove(0);
    assert_eq!(requests(&call), ["a", "a", "b", "b"]);
}

#[test]
fn storage_limited() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    queue.push(group("a", 8, 0, now));
    let first = queue.plan(now).remove(0);
    let outcome = completed(&first);
    queue.finish_call(first.number, &outcome, now + ms(280));
    queue.take_completed(now + ms(280));
    queue.push(group("b", 8, 0, now));
    let second = queue.plan(now + ms(280)).remove(0);
    assert_eq!(second.tasks.len(), 4, "twelve results fit, eight are stored");
    queue.finish_call(second.number, &completed(&second), now + ms(520));
    assert!(queue.plan(now + ms(520)).is_empty(), "the storage is full");
    queue.remove_results(&handles(&outcome));
    assert_eq!(queue.plan(now + ms(520)).remove(0).tasks.len(), 4);
}

/// Storage that an endpoint reports as full, beyond the results tracked here, counts as taken for a
/// while.
#[test]
fn untracked_results() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    queue.push(group("a", 2, 0, now));
    let call = queue.plan(now).remove(0);
    let no_room = types::PieceOutcome::Failed(types::PieceError::NoRoom);
    let outcome = batch_outcome::BatchOutcome::Answered(vec![no_room; 2]);
    queue.finish_call(call.number, &outcome, now + ms(10));
    assert!(queue.plan(now + ms(11)).is_empty(), "the endpoint is not called again at once");
    assert!(queue.next_wakeup(now + ms(11)).is_some());
    assert_eq!(queue.plan(now + ms(800)).len(), 1);
}

#[test]
fn slow_avoided() {
    let now = time::Instant::now();
    let mut queue = queue(2, now);
    for round in 0..6 {
        let at = now + ms(round * 2000);
        queue.push(group("x", 1, 0, at));
        queue.push(group("y", 8, 0, at));
        for call in queue.plan(at) {
            let took = if &*call.endpoint == "w0" { 1500 } else { 260 };
            queue.finish_call(call.number, &completed(&call), at + ms(took));
            queue.take_completed(at + ms(took));
        }
    }
    let at = now + ms(11_600);
    queue.push(group("z", 1, 0, at));
    assert_eq!(&*queue.plan(at).remove(0).endpoint, "w1");
}

/// An endpoint that is faster than expected does not make the others count as slow.
#[test]
fn fast_endpoint() {
    let now = time::Instant::now();
    let mut queue = queue(2, now);
    for round in 0..4 {
        let at = now + ms(round * 2000);
        run_calls(&mut queue, at, 100, 290);
    }
    let at = now + ms(9000);
    let late = |request| {
        let target = at + ms(50);
        piece_group::PieceGroup { target, ..group(request, 8, 0, at) }
    };
    queue.push(late("a"));
    queue.push(late("b"));
    assert_eq!(queue.plan(at).len(), 2, "both endpoints work");
}

/// A call that is short because its pieces lack inputs does not make the endpoint count as fast.
#[test]
fn short_calls() {
    let now = time::Instant::now();
    let wait = |queue: &mut batch_queue::BatchQueue, at| {
        queue.push(group("b", 8, 0, at));
        queue.expected_wait(0, at)
    };
    let expected = wait(&mut queue(1, now), now);
    let mut queue = queue(1, now);
    queue.push(group("a", 8, 0, now));
    let call = queue.plan(now).remove(0);
    let gone = types::PieceOutcome::Failed(types::PieceError::InputGone);
    queue.finish_call(
        call.number,
        &batch_outcome::BatchOutcome::Answered(vec![gone; 8]),
        now + ms(200),
    );
    queue.take_completed(now + ms(200));
    assert_eq!(wait(&mut queue, now + ms(200)), expected);
}

/// An endpoint with one slow call counts as normal again after its next call at normal speed.
#[test]
fn slow_recovers() {
    let now = time::Instant::now();
    let mut queue = queue(2, now);
    for (offset, took) in [(0, 2500), (4000, 280)] {
        let at = now + ms(offset);
        run_calls(&mut queue, at, took, 280);
    }
    let at = now + ms(4500);
    let late = piece_group::PieceGroup { target: at, ..group("a", 8, 0, at) };
    queue.push(late.clone());
    queue.push(late);
    assert_eq!(queue.plan(at).len(), 2, "both endpoints work");
}

/// A slow endpoint runs pieces that the others would reach only later, and leaves them the urgent
/// ones.
#[test]
fn slow_backfill() {
    let now = time::Instant::now();
    let at = now + ms(1010);
    let names: Vec<_> = (0..12).map(|number| format!("r{number}")).collect();
    let plan = |names: &[String]| {
        let mut queue = queue(2, now);
        queue.push(group("x", 1, 0, now));
        let slow = queue.plan(now).remove(0);
        queue.finish_call(slow.number, &completed(&slow), now + ms(1000));
        queue.take_completed(now + ms(1000));
        for name in names {
            queue.push(piece_group::PieceGroup { target: at, ..group(name, 8, 0, at) });
        }
        queue.plan(at)
    };
    let calls = plan(&names);
    let first_request = |endpoint: &str| {
        let call = calls.iter().find(|call| &*call.endpoint == endpoint).expect("a call");
        requests(call)[0].to_owned()
    };
    assert_eq!(first_request("w1"), "r0");
    let number: usize = first_request("w0")[1..].parse().expect("a number");
    assert!((3..12).contains(&number), "w0 takes r{number}");
    assert_eq!(plan(&names[..2]).len(), 1, "the fast endpoint finishes both sooner");
}

#[test]
fn failed_retried() {
    let now = time::Instant::now();
    let mut queue = queue(2, now);
    queue.push(group("a", 1, 0, now));
    let first = queue.plan(now).remove(0);
    queue.finish_call(first.number, &batch_outcome::BatchOutcome::Failed, now + ms(5));
    assert!(queue.take_completed(now + ms(5)).is_empty());
    let second = queue.plan(now + ms(5)).remove(0);
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn late_dropped() {
    let now = time::Instant::now();
    let mut queue = queue(0, now);
    let number = queue.push(group("a", 2, 0, now));
    assert_eq!(queue.next_wakeup(now), Some(now + ms(5000)));
    let completed = queue.take_completed(now + ms(5000));
    let late = types::PieceOutcome::Failed(types::PieceError::Late);
    assert_eq!(completed, [piece_group::CompletedGroup { number, outcomes: vec![late; 2] }]);
}

/// Results of a cancelled group are returned, so that they can be released.
#[test]
fn unclaimed_results() {
    let now = time::Instant::now();
    let mut queue = queue(1, now);
    let number = queue.push(group("a", 2, 0, now));
    let call = queue.plan(now).remove(0);
    queue.cancel(number);
    assert_eq!(queue.finish_call(call.number, &completed(&call), now + ms(220)).len(), 2);
    assert!(queue.take_completed(now + ms(220)).is_empty());
}

#[test]
fn zones_preferred() {
    let now = time::Instant::now();
    let mut queue = batch_queue::BatchQueue::new(capacity());
    queue.set_workers([location("w0", 0, "a"), location("w1", 1, "b")].into_iter(), now);
    let mut near_b = group("x", 2, 0, now);
    near_b.zone = Some("b".into());
    queue.push(near_b);
    assert_eq!(&*queue.plan(now).remove(0).endpoint, "w1");
}

/// Whatever the outcomes of the calls, each group is completed exactly once, with one outcome per
/// piece, and no endpoint gets two calls at once or more pieces than fit in a batch.
#[test]
fn completed_once() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| run_schedule(steps));
}

fn run_schedule(steps: &[(u8, u8)]) {
    let mut now = time::Instant::now();
    let mut queue = queue(3, now);
    let mut open = IndexMap::<piece_group::GroupNumber, usize>::new();
    let mut calls = Vec::<batch_call::PlannedCall>::new();
    for (action, size) in steps {
        now += ms(u64::from(size % 50) * 20);
        match action % 8 {
            0..=2 => {
                let pieces = u32::from(size % 9) + 1;
                let number = queue.push(group(&format!("r{size}"), pieces, 0, now));
                open.insert(number, usize::try_from(pieces).expect("a small number"));
            }
            3 => {
                if let Some((number, _)) = open.pop() {
                    queue.cancel(number);
                }
            }
            kind => finish_one(&mut queue, &mut calls, kind, now),
        }
        for completed in queue.take_completed(now) {
            assert_eq!(open.swap_remove(&completed.number), Some(completed.outcomes.len()));
        }
        for call in queue.plan(now) {
            assert!(call.tasks.len() <= 8);
            assert!(!calls.iter().any(|other| other.endpoint == call.endpoint));
            calls.push(call);
        }
    }
    for call in calls.drain(..) {
        queue.finish_call(call.number, &completed(&call), now);
    }
    now += ms(20_000);
    for completed in queue.take_completed(now) {
        assert_eq!(open.swap_remove(&completed.number), Some(completed.outcomes.len()));
    }
    assert!(open.is_empty(), "a group was not completed");
}

fn finish_one(
    queue: &mut batch_queue::BatchQueue,
    calls: &mut Vec<batch_call::PlannedCall>,
    kind: u8,
    now: time::Instant,
) {
    let Some(call) = calls.pop() else { return };
    let outcome = match kind {
        4 | 5 => completed(&call),
        6 => batch_outcome::BatchOutcome::Full,
        _ => batch_outcome::BatchOutcome::Failed,
    };
    queue.finish_call(call.number, &outcome, now);
}

/// All endpoints of a stage had asked for a pause beyond the deadline, and pieces were held until
/// then.
#[test]
fn paused_endpoints() {
    let now = time::Instant::now();
    let paused =
        |until| batch_worker::WorkerLocation { paused_until: until, ..location("w0", 0, "a") };
    let mut queue = queue(0, now);
    queue.set_workers([paused(Some(now + ms(60_000)))].into_iter(), now);
    queue.push(group("long", 2, 1, now));
    let rejected = queue.take_completed(now + ms(1));
    assert_eq!(rejected.len(), 1, "the pause ends after the deadline");
    queue.push(group("next", 2, 1, now));
    assert_eq!(queue.take_completed(now + ms(2)).len(), 1, "at once, not at the next check");
    assert!(queue.expected_wait(1, now) >= ms(60_000));
    queue.set_workers([paused(Some(now + ms(1000)))].into_iter(), now);
    queue.push(group("short", 2, 1, now));
    assert!(queue.take_completed(now + ms(3)).is_empty(), "the pause ends in time");
    assert!(queue.plan(now + ms(2)).is_empty());
    assert_eq!(queue.next_wakeup(now + ms(2)), Some(now + ms(1000)));
    queue.set_workers([paused(None)].into_iter(), now + ms(1000));
    assert_eq!(queue.plan(now + ms(1000)).len(), 1);
}
