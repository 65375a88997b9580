//! Single steps of a claim: what each event means.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::{claim, row_finalizer};
use comfreyspread_schema::types;
use std::time;

const ASK_LIMIT: time::Duration = time::Duration::from_secs(3);
const DEADLINE: time::Duration = time::Duration::from_secs(6);

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
        start: 1,
        status: None,
        token: token.into(),
        verdict: None,
        workspace: "workspace".into(),
    }
}

fn asked(now: time::Instant) -> claim::RequestClaim<claim::AcquiringState> {
    let own = row("own", "body", types::ClaimPhase::Held);
    claim::RequestClaim::new(own, now + ASK_LIMIT, now + DEADLINE)
}

fn held(now: time::Instant) -> claim::RequestClaim<claim::HeldState> {
    match asked(now).advance(claim::StoreEvent::Committed(4), now) {
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
        ("other", "body", Held, "open"),
        ("other", "body", Closed, "ended"),
        ("other", "body", Abandoned, "write"),
        ("other", "changed", Held, "refuse"),
        ("other", "changed", Closed, "refuse"),
        ("other", "changed", Abandoned, "write"),
    ];
    for (token, digest, phase, expected) in cases {
        let stored = claim::StoredClaim { row: row(token, digest, phase), version: 4 };
        let step = asked(now).advance(claim::StoreEvent::Read(Some(stored)), now);
        let name = match step {
            claim::AcquireStep::Held(_) => "held",
            claim::AcquireStep::Unresolved(_) => "open",
            claim::AcquireStep::Completed(_) => "ended",
            claim::AcquireStep::Write(_, types::RowCondition::Version(4)) => "write",
            claim::AcquireStep::Refuse(claim::ClaimRefusal::Conflict) => "refuse",
            other => panic!("{token} {digest} {phase}: {other:?}"),
        };
        assert_eq!(name, expected, "{token} {digest} {phase}");
    }
}

#[test]
fn outage_end() {
    let now = time::Instant::now();
    let late = now + ASK_LIMIT;
    let unsent = asked(now).advance(claim::StoreEvent::Unsent, late);
    assert!(matches!(unsent, claim::AcquireStep::Refuse(claim::ClaimRefusal::StoreUnavailable)));
    let unknown = asked(now).advance(claim::StoreEvent::Unknown, late);
    assert!(matches!(unknown, claim::AcquireStep::Abandon(..)));
    let waiting = asked(now).advance(claim::StoreEvent::Unsent, now);
    assert!(matches!(waiting, claim::AcquireStep::Wait(_)));
}

#[test]
fn late_send() {
    let now = time::Instant::now();
    assert!(held(now).send(now + DEADLINE - time::Duration::from_millis(1)).is_ok());
    let settlement = held(now).send(now + DEADLINE).expect_err("it is too late to send");
    assert_eq!(settlement.row().phase, types::ClaimPhase::Abandoned);
    let write = row_finalizer::FinalizeStep::Write(types::RowCondition::Version(4));
    assert_eq!(settlement.begin(), write);
}

#[test]
fn release_row() {
    let now = time::Instant::now();
    let sent = held(now).send(now).expect("it is in time");
    assert_eq!(sent.release().row().phase, types::ClaimPhase::Abandoned);
}
