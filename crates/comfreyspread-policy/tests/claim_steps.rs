//! Single steps of a claim: the step that follows each event.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::types;
use std::time;

const ACQUIRE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(6);

fn row(token: &str, digest: &str, phase: types::ClaimPhase) -> types::ClaimRow {
    types::ClaimRow {
        answer: None,
        digest: digest.into(),
        key: "key".into(),
        node: "node".into(),
        object: None,
        phase,
        problem: None,
        request: "request".into(),
        start_id: 1,
        status: None,
        token: token.into(),
        verdict: None,
        workspace: "workspace".into(),
    }
}

fn acquiring(now: time::Instant) -> claim::RequestClaim<claim::AcquiringState> {
    let own = row("own", "body", types::ClaimPhase::Held);
    claim::RequestClaim::new(own, now + ACQUIRE_TIMEOUT, now + SEND_TIMEOUT)
}

fn held(now: time::Instant) -> claim::RequestClaim<claim::HeldState> {
    match acquiring(now).advance(claim::StoreEvent::Committed(4), now) {
        claim::AcquireStep::Held(claim) => claim,
        other => panic!("not held: {other:?}"),
    }
}

#[test]
fn read_back() {
    use types::ClaimPhase::{Abandoned, Closed, Held};
    let now = time::Instant::now();
    let cases = [
        ("own", "body", Held, "held"),
        ("other", "body", Held, "unresolved"),
        ("other", "body", Closed, "completed"),
        ("other", "body", Abandoned, "write"),
        ("other", "changed", Held, "refuse"),
        ("other", "changed", Closed, "refuse"),
        ("other", "changed", Abandoned, "write"),
    ];
    for (token, digest, phase, expected) in cases {
        let stored = claim::StoredClaim { row: row(token, digest, phase), version: 4 };
        let step = acquiring(now).advance(claim::StoreEvent::Read(Some(stored)), now);
        let name = match step {
            claim::AcquireStep::Held(_) => "held",
            claim::AcquireStep::Unresolved(_) => "unresolved",
            claim::AcquireStep::Completed(_) => "completed",
            claim::AcquireStep::Write(_, types::RowPrecondition::Version(4)) => "write",
            claim::AcquireStep::Refuse(claim::ClaimRefusal::Conflict) => "refuse",
            other => panic!("{token} {digest} {phase}: {other:?}"),
        };
        assert_eq!(name, expected, "{token} {digest} {phase}");
    }
}

#[test]
fn acquire_timeout() {
    let now = time::Instant::now();
    let expired = now + ACQUIRE_TIMEOUT;
    let unsent = acquiring(now).advance(claim::StoreEvent::Unsent, expired);
    assert!(matches!(unsent, claim::AcquireStep::Refuse(claim::ClaimRefusal::StoreUnavailable)));
    let unknown = acquiring(now).advance(claim::StoreEvent::Unknown, expired);
    assert!(matches!(unknown, claim::AcquireStep::Abandon(..)));
    let waiting = acquiring(now).advance(claim::StoreEvent::Unsent, now);
    assert!(matches!(waiting, claim::AcquireStep::Wait(_)));
}

#[test]
fn send_timeout() {
    let now = time::Instant::now();
    assert!(held(now).send(now + SEND_TIMEOUT - time::Duration::from_millis(1)).is_ok());
    let finalizer = held(now).send(now + SEND_TIMEOUT).expect_err("the deadline has passed");
    assert_eq!(finalizer.row().phase, types::ClaimPhase::Abandoned);
    let write = row_finalizer::FinalizeStep::Write(types::RowPrecondition::Version(4));
    assert_eq!(finalizer.begin(), write);
}

#[test]
fn release_row() {
    let now = time::Instant::now();
    let sent = held(now).send(now).expect("it is in time");
    assert_eq!(sent.release().row().phase, types::ClaimPhase::Abandoned);
}

#[test]
fn lost_history() {
    use types::ClaimPhase::{Abandoned, Closed, Held};
    let now = time::Instant::now();
    let lost = || acquiring(now).with_history(claim::ClaimHistory::Lost);
    assert!(matches!(lost().begin(), claim::AcquireStep::Read(_)));
    let absent = lost().advance(claim::StoreEvent::Read(None), now);
    assert!(matches!(absent, claim::AcquireStep::Refuse(claim::ClaimRefusal::StoreRestored)));
    let inserted = lost().advance(claim::StoreEvent::Committed(4), now);
    assert!(matches!(inserted, claim::AcquireStep::Abandon(_, claim::ClaimRefusal::StoreRestored)));
    for (phase, expected) in [(Abandoned, "refuse"), (Held, "unresolved"), (Closed, "completed")] {
        let stored = claim::StoredClaim { row: row("other", "body", phase), version: 4 };
        let name = match lost().advance(claim::StoreEvent::Read(Some(stored)), now) {
            claim::AcquireStep::Refuse(claim::ClaimRefusal::StoreRestored) => "refuse",
            claim::AcquireStep::Unresolved(_) => "unresolved",
            claim::AcquireStep::Completed(_) => "completed",
            other => panic!("{phase}: {other:?}"),
        };
        assert_eq!(name, expected, "{phase}");
    }
}
