//! Endpoints that a request may be sent to again after a failed attempt.

use comfreyspread_policy::tried_endpoints;
use comfreyspread_schema::types;

const MAX_ATTEMPTS: u32 = 2;
const KEPT: tried_endpoints::AttemptFailure = tried_endpoints::AttemptFailure {
    verdict: types::CallVerdict::MayHaveRun,
    on_kept_connection: true,
};
const NEW: tried_endpoints::AttemptFailure =
    tried_endpoints::AttemptFailure { on_kept_connection: false, ..KEPT };

fn second_try(tried: &tried_endpoints::TriedEndpoints) -> Option<(&str, bool)> {
    tried.second_try(MAX_ATTEMPTS).map(|one| (&**one.endpoint, one.excludes_others))
}

/// A request whose exchange fails on a kept connection has its endpoint left, once.
#[test]
fn one_second() {
    let mut tried = tried_endpoints::TriedEndpoints::new();
    tried.record_failure(&"one".into(), KEPT);
    assert_eq!((second_try(&tried), tried.runs()), (Some(("one", false)), 1));
    assert!(tried.excluded().is_empty());
    tried.record_failure(&"one".into(), KEPT);
    assert_eq!((second_try(&tried), tried.runs(), tried.next_number()), (None, 1, 2));
    assert_eq!(tried.excluded(), ["one".into()]);
    tried.record_failure(&"two".into(), KEPT);
    assert_eq!((second_try(&tried), tried.runs(), tried.next_number()), (None, 2, 3));
    assert!(!tried.allows_another(MAX_ATTEMPTS));
}

/// A failure on a new connection excludes its endpoint.
#[test]
fn new_connection() {
    let mut tried = tried_endpoints::TriedEndpoints::new();
    tried.record_failure(&"one".into(), NEW);
    assert_eq!((second_try(&tried), tried.runs()), (None, 1));
    assert!(!tried.allows_another(1), "a second endpoint would run it");
}

/// Once as many endpoints as the route allows may have run the request, none but the one with a
/// second try is left, whatever that one does with it.
#[test]
fn replicas_counted() {
    for verdict in [types::CallVerdict::MayHaveRun, types::CallVerdict::NotRun] {
        let mut tried = tried_endpoints::TriedEndpoints::new();
        tried.record_failure(&"one".into(), KEPT);
        tried.record_response(&"two".into());
        assert_eq!((second_try(&tried), tried.runs()), (Some(("one", true)), MAX_ATTEMPTS));
        assert!(tried.allows_another(MAX_ATTEMPTS));
        let last = tried_endpoints::AttemptFailure { verdict, ..NEW };
        tried.record_failure(&"one".into(), last);
        assert_eq!((second_try(&tried), tried.runs()), (None, MAX_ATTEMPTS));
        assert!(!tried.allows_another(MAX_ATTEMPTS));
    }
}
