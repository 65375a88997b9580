//! Contact of a node with its peers, which its ownerships depend on.
//!
//! Other nodes take over from a node once they have concluded that it failed, which they do a
//! lapse after they lost contact. So a node may use its ownerships only for a hold, shorter than
//! the lapse, after it sent the last message that a peer answered. A node that never had a peer, or
//! whose peers have all left or refuse connections, needs no answer.

use crate::membership;
use std::time;

/// Share of the lapse for which an answered message permits work: two thirds.
const LEASE_NUMERATOR: u32 = 2;
const LEASE_DENOMINATOR: u32 = 3;
/// Lapses after which an isolated node takes its silent peers for failed.
const ISOLATION_FACTOR: u32 = 4;

/// Questions for an endpoint within one hold.
const REQUESTS_PER_LEASE: u32 = 4;

/// Times that govern ownerships.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimeouts {
    /// Time after an answered message was sent for which this node may use its ownerships.
    pub lease: time::Duration,
    /// Time from a suspicion to the conclusion that a member failed.
    pub failure: time::Duration,
    /// Time after which an isolated node takes its silent peers for failed.
    pub isolation: time::Duration,
}

impl OwnershipTimeouts {
    /// Derives the times from the lapse.
    pub fn new(failure: time::Duration) -> Self {
        let lease = failure * LEASE_NUMERATOR / LEASE_DENOMINATOR;
        Self { lease, failure, isolation: failure * ISOLATION_FACTOR }
    }

    /// Returns the time between two questions for the same endpoint.
    pub fn retry_interval(self) -> time::Duration {
        self.lease / REQUESTS_PER_LEASE
    }
}

/// What the seeds have told a node that starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SeedStatus {
    /// Some seed has neither answered nor refused a connection.
    #[default]
    Silent,
    /// Each seed has answered or refused a connection.
    Refused,
    /// Each seed has told its members and knows this node.
    Answered,
}

impl SeedStatus {
    /// Time after its start for which the node owns nothing.
    pub fn wait(self, contact: PeerConnectivity, timeouts: OwnershipTimeouts) -> time::Duration {
        match (self, contact) {
            (Self::Answered, _) => time::Duration::ZERO,
            (Self::Refused, _) | (Self::Silent, PeerConnectivity::Connected(_)) => timeouts.failure,
            (Self::Silent, _) => timeouts.isolation,
        }
    }
}

/// Contact of this node with its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerConnectivity {
    /// There is no peer that could take over.
    Alone,
    /// A peer answered a message sent at the moment given.
    Connected(time::Instant),
    /// No peer has answered a message sent after the moment given.
    Isolated(time::Instant),
}

impl PeerConnectivity {
    /// Returns the contact at `now`, given what is known of the members.
    pub fn advance(
        self,
        members: &membership::MemberTable,
        timeouts: OwnershipTimeouts,
        now: time::Instant,
    ) -> Self {
        let deserted = !members.has_peers();
        let certain = deserted && !members.has_silent_failures();
        match self {
            Self::Alone => Self::Alone,
            Self::Connected(_) if certain => Self::Alone,
            Self::Connected(sent) if now >= sent + timeouts.lease => Self::Isolated(sent),
            Self::Connected(sent) => Self::Connected(sent),
            Self::Isolated(_) if certain => Self::Alone,
            Self::Isolated(since) if deserted && now >= since + timeouts.isolation => Self::Alone,
            Self::Isolated(since) => Self::Isolated(since),
        }
    }

    /// Returns the contact after a peer answered a message sent at `sent`.
    pub fn confirm(self, sent: time::Instant) -> Self {
        match self {
            Self::Connected(earlier) => Self::Connected(earlier.max(sent)),
            Self::Alone | Self::Isolated(_) => Self::Connected(sent),
        }
    }

    /// Returns the contact after a peer answered that holds this node suspect or failed.
    pub fn doubt(self, now: time::Instant) -> Self {
        match self {
            Self::Alone => Self::Isolated(now),
            other => other,
        }
    }

    /// Whether work is permitted at `now`.
    pub fn permits(self, timeouts: OwnershipTimeouts, now: time::Instant) -> bool {
        match self {
            Self::Alone => true,
            Self::Connected(sent) => now < sent + timeouts.lease,
            Self::Isolated(_) => false,
        }
    }
}
