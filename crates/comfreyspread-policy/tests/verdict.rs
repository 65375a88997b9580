//! Verdict of a request over its attempts.

use bolero::check;
use comfreyspread_policy::{attempt, verdict};
use comfreyspread_schema::types;

const ALL: [types::CallVerdict; 3] =
    [types::CallVerdict::NotRun, types::CallVerdict::MayHaveRun, types::CallVerdict::Ran];

#[test]
fn only_increases() {
    check!().with_type::<Vec<u8>>().for_each(|choices| {
        let mut tracker = verdict::VerdictTracker::new();
        let mut expected = 0;
        for choice in choices {
            let index = usize::from(*choice) % ALL.len();
            tracker = tracker.with_outcome(ALL[index]);
            expected = expected.max(index);
            assert_eq!(tracker.verdict(), ALL[expected]);
        }
    });
}

#[test]
fn retry_rules() {
    let cases = [
        (types::CallVerdict::NotRun, false, true),
        (types::CallVerdict::NotRun, true, true),
        (types::CallVerdict::MayHaveRun, false, false),
        (types::CallVerdict::MayHaveRun, true, true),
        (types::CallVerdict::Ran, false, false),
        (types::CallVerdict::Ran, true, false),
    ];
    for (outcome, idempotent, allowed) in cases {
        let tracker = verdict::VerdictTracker::new().with_outcome(outcome);
        assert_eq!(tracker.allows_retry(idempotent), allowed, "{outcome} {idempotent}");
    }
}

#[test]
fn attempt_outcomes() {
    assert_eq!(attempt::CallAttempt::new(1).cancel().verdict(), types::CallVerdict::NotRun);
    assert_eq!(attempt::CallAttempt::new(1).send().refuse().verdict(), types::CallVerdict::NotRun);
    assert_eq!(
        attempt::CallAttempt::new(1).send().end_unknown().verdict(),
        types::CallVerdict::MayHaveRun
    );
    assert_eq!(attempt::CallAttempt::new(1).send().complete().verdict(), types::CallVerdict::Ran);
}
