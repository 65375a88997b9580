//! Endpoints that a request was sent to, and which of them it may be sent to again.
//!
//! An exchange that fails on a kept connection says little about the endpoint: bytes that follow an
//! earlier response, or a close, may have crossed the request. The endpoint may be tried once more,
//! on a new connection. Among the endpoints that may have run the request it counts once.

use comfreyspread_schema::{ids, types};

/// A failed attempt, as far as it matters for the next one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: types::CallVerdict,
    /// Whether the exchange failed on a connection that had served an earlier request.
    pub on_kept_connection: bool,
}

/// An endpoint that may be tried once more, on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SecondTry<'query> {
    /// The endpoint.
    pub endpoint: &'query ids::EndpointId,
    /// Whether no other endpoint may run the request.
    pub excludes_others: bool,
}

/// Endpoints that one request was sent to.
#[derive(Clone, Debug, Default)]
pub struct TriedEndpoints {
    excluded: Vec<ids::EndpointId>,
    ran: Vec<ids::EndpointId>,
    abandoned: u32,
    second_try: Option<ids::EndpointId>,
}

impl TriedEndpoints {
    /// Creates the record of a request without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the endpoints that do not get the request again.
    pub fn excluded(&self) -> &[ids::EndpointId] {
        &self.excluded
    }

    /// Returns the number of the next attempt, from zero.
    pub fn next_number(&self) -> ids::AttemptId {
        let attempts = self.excluded.len() + usize::from(self.second_try.is_some());
        u64::try_from(attempts).unwrap_or(u64::MAX)
    }

    /// Returns how many endpoints may have run the request.
    pub fn runs(&self) -> u32 {
        u32::try_from(self.ran.len()).unwrap_or(u32::MAX).saturating_add(self.abandoned)
    }

    /// Returns the endpoint that may be tried once more, if there is one.
    pub fn second_try(&self, max_attempts: u32) -> Option<SecondTry<'_>> {
        let endpoint = self.second_try.as_ref();
        let endpoint = endpoint.filter(|endpoint| !self.excluded.contains(endpoint))?;
        Some(SecondTry { endpoint, excludes_others: self.runs() >= max_attempts })
    }

    /// Returns whether the request may be sent again when at most `max_attempts` endpoints may run
    /// it.
    pub fn allows_another(&self, max_attempts: u32) -> bool {
        self.runs() < max_attempts || self.second_try(max_attempts).is_some()
    }

    /// Records an attempt that received a response head.
    pub fn record_response(&mut self, endpoint: &ids::EndpointId) {
        insert(&mut self.excluded, endpoint);
        insert(&mut self.ran, endpoint);
    }

    /// Records an attempt that was given up before its endpoint answered, and may have run.
    pub fn record_abandoned(&mut self) {
        self.abandoned += 1;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, endpoint: &ids::EndpointId, failure: AttemptFailure) {
        if failure.verdict != types::CallVerdict::NotRun {
            insert(&mut self.ran, endpoint);
        }
        if failure.on_kept_connection && self.second_try.is_none() {
            self.second_try = Some(endpoint.clone());
        } else {
            insert(&mut self.excluded, endpoint);
        }
    }
}

fn insert(endpoints: &mut Vec<ids::EndpointId>, endpoint: &ids::EndpointId) {
    if !endpoints.contains(endpoint) {
        endpoints.push(endpoint.clone());
    }
}
