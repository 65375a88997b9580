//! Retry decisions and the retry budget.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::retry;
use comfreyspread_schema::types;
use std::time;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn context(problem: types::ProblemKind, verdict: types::CallVerdict) -> retry::RetryContext {
    retry::RetryContext {
        verdict,
        problem,
        crashed: false,
        idempotent: true,
        attempts: 1,
        remaining: SECOND,
        expected_duration: SECOND / 10,
    }
}

fn retries(context: retry::RetryContext) -> bool {
    let decision = context.decide(&mut retry::RetryBudget::new());
    matches!(decision, retry::RetryDecision::Retry { .. })
}

#[test]
fn decision_table() {
    use types::CallVerdict::{MayHaveRun, NotRun};
    use types::ProblemKind as Kind;
    let cases = [
        (Kind::EndpointFailed, MayHaveRun, true, true),
        (Kind::EndpointFailed, MayHaveRun, false, false),
        (Kind::EndpointFailed, NotRun, false, true),
        (Kind::NotOwner, NotRun, false, true),
        (Kind::Overloaded, NotRun, true, true),
        (Kind::StaleFence, NotRun, true, true),
        (Kind::Timeout, MayHaveRun, true, false),
        (Kind::Deadline, NotRun, true, false),
        (Kind::Poisoned, NotRun, true, false),
        (Kind::OverCost, NotRun, true, false),
        (Kind::BadRequest, NotRun, true, false),
    ];
    for (problem, verdict, idempotent, expected) in cases {
        let context = retry::RetryContext { idempotent, ..context(problem, verdict) };
        assert_eq!(retries(context), expected, "{problem} {verdict} {idempotent}");
    }
}

#[test]
fn time_left() {
    let context = retry::RetryContext {
        remaining: SECOND / 20,
        ..context(types::ProblemKind::EndpointFailed, types::CallVerdict::MayHaveRun)
    };
    assert!(!retries(context));
}

#[test]
fn crashed_alone() {
    let context = retry::RetryContext {
        crashed: true,
        ..context(types::ProblemKind::EndpointFailed, types::CallVerdict::MayHaveRun)
    };
    let decision = context.decide(&mut retry::RetryBudget::new());
    assert!(matches!(decision, retry::RetryDecision::Retry { exclusive: true, .. }));
}

#[test]
fn budget_share() {
    check!().with_type::<Vec<bool>>().for_each(|steps| {
        let mut budget = retry::RetryBudget::new();
        let mut successes = 0u32;
        let mut granted = 0u32;
        for success in steps {
            if *success {
                successes += 1;
                budget.deposit();
            } else if budget.withdraw() {
                granted += 1;
            }
        }
        assert!(granted <= 20 + successes / 10, "{granted} retries after {successes} successes");
    });
}
