//! Problem details of failed requests (RFC 9457).

use crate::transport::failure;
use comfreyspread_schema::{ids, types};

/// Media type of problem bodies.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";
const PROBLEM_URI_PREFIX: &str = "urn:comfreyspread:problem:";

/// Returns the problem body of a failure.
pub fn body(failure: &failure::CallFailure, request: &ids::RequestId) -> types::ProblemBody {
    let kind = failure.problem();
    types::ProblemBody {
        detail: failure.detail().clone(),
        kind,
        request: request.clone(),
        status: status(kind),
        title: title(kind).into(),
        type_: format!("{PROBLEM_URI_PREFIX}{kind}").into(),
        verdict: failure.verdict(),
    }
}

/// Returns the HTTP status of a kind of problem.
pub fn status(kind: types::ProblemKind) -> u16 {
    use types::ProblemKind as Kind;
    match kind {
        Kind::BadRequest | Kind::CutShort | Kind::KeyRequired => 400,
        Kind::OverCost => 402,
        Kind::UnknownName => 404,
        Kind::InProgress | Kind::KeyConflict | Kind::OutcomeUnknown => 409,
        Kind::TooLarge => 413,
        Kind::Poisoned => 422,
        Kind::Internal => 500,
        Kind::EndpointFailed => 502,
        Kind::Draining
        | Kind::NotOwner
        | Kind::Overloaded
        | Kind::StaleFence
        | Kind::StoreUnavailable
        | Kind::Unavailable => 503,
        Kind::Deadline | Kind::Timeout => 504,
    }
}

fn title(kind: types::ProblemKind) -> &'static str {
    use types::ProblemKind as Kind;
    match kind {
        Kind::BadRequest => "The request is not valid",
        Kind::TooLarge => "The request is too large",
        Kind::UnknownName => "The request names something that is not declared",
        Kind::KeyRequired => "The call needs an idempotency key",
        Kind::KeyConflict => "The idempotency key was used with another body",
        Kind::OverCost => "The request would cost more than its profile allows",
        Kind::Deadline => "The deadline cannot be met",
        Kind::Overloaded => "There is no capacity for the request now",
        Kind::Unavailable => "No endpoint is available",
        Kind::NotOwner => "The node does not own the endpoint",
        Kind::StaleFence => "The endpoint has a newer owner",
        Kind::EndpointFailed => "The endpoint failed",
        Kind::CutShort => "The message was cut short",
        Kind::StoreUnavailable => "The platform's store does not answer",
        Kind::InProgress => "A request with this key is in progress",
        Kind::OutcomeUnknown => "Whether the request ran is not known",
        Kind::Draining => "The node is shutting down",
        Kind::Timeout => "The deadline has passed",
        Kind::Internal => "The node failed",
        Kind::Poisoned => "The request made the endpoints that ran it crash",
    }
}
