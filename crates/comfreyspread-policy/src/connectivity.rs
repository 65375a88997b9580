//! Connectivity of a node to its peers, on which the lease of its ownerships depends.
//!
//! Other nodes take over the endpoints of a node once they declare it failed, a failure timeout
//! after they last reached it. So a node may use its ownerships only for the lease time, which is
//! shorter than the failure timeout, from the time it sent the last message that a peer answered.
//! A node that never had a peer, or whose peers have all left or refuse connections, needs no
//! lease.

use crate::membership;
use std::time;

/// Lease time as a fraction of the failure timeout: two thirds.
const LEASE_NUMERATOR: u32 = 2;
const LEASE_DENOMINATOR: u32 = 3;
/// Failure timeouts after which an isolated node considers its silent peers failed.
const ISOLATION_FACTOR: u32 = 4;

/// Release requests for an endpoint within one lease time.
const REQUESTS_PER_LEASE: u32 = 4;

/// Timeouts that govern ownerships.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimeouts {
    /// Time for which this node may use its ownerships after it sent a message that was answered.
    pub lease: time::Duration,
    /// Time from a suspicion until the member is declared failed.
    pub failure: time::Duration,
    /// Time after which an isolated node considers its silent peers failed.
    pub isolation: time::Duration,
}

impl OwnershipTimeouts {
    /// Derives the timeouts from the failure timeout.
    pub fn new(failure: time::Duration) -> Self {
        let lease = failure * LEASE_NUMERATOR / LEASE_DENOMINATOR;
        Self { lease, failure, isolation: failure * ISOLATION_FACTOR }
    }

    /// Returns the time between two requests for the same endpoint.
    pub fn retry_interval(self) -> time::Duration {
        self.lease / REQUESTS_PER_LEASE
    }
}

/// How the seeds have replied to a node that starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SeedStatus {
    /// At least one seed has neither answered nor refused a connection.
    #[default]
    Silent,
    /// Each seed has answered or refused a connection.
    Refused,
    /// Each seed has sent its members and knows this node.
    Answered,
}

impl SeedStatus {
    /// Returns how long after its start the node may own no endpoint.
    pub fn startup_wait(
        self,
        connectivity: PeerConnectivity,
        timeouts: OwnershipTimeouts,
    ) -> time::Duration {
        match (self, connectivity) {
            (Self::Answered, _) => time::Duration::ZERO,
            (Self::Refused, _) | (Self::Silent, PeerConnectivity::Connected(_)) => timeouts.failure,
            (Self::Silent, _) => timeouts.isolation,
        }
    }
}

/// Connectivity of this node to its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerConnectivity {
    /// There is no peer that could take over endpoints.
    Alone,
    /// A peer answered a message sent at this time.
    Connected(time::Instant),
    /// No peer has answered a message sent after this time.
    Isolated(time::Instant),
}

impl PeerConnectivity {
    /// Returns the connectivity at `now`, given the state of the members.
    pub fn advance(
        self,
        members: &membership::MemberTable,
        timeouts: OwnershipTimeouts,
        now: time::Instant,
    ) -> Self {
        let no_peers = !members.has_peers();
        let all_gone = no_peers && !members.has_silent_failures();
        match self {
            Self::Alone => Self::Alone,
            Self::Connected(_) if all_gone => Self::Alone,
            Self::Connected(sent) if now >= sent + timeouts.lease => Self::Isolated(sent),
            Self::Connected(sent) => Self::Connected(sent),
            Self::Isolated(_) if all_gone => Self::Alone,
            Self::Isolated(since) if no_peers && now >= since + timeouts.isolation => Self::Alone,
            Self::Isolated(since) => Self::Isolated(since),
        }
    }

    /// Returns the connectivity after a peer answered a message sent at `sent`.
    pub fn renew(self, sent: time::Instant) -> Self {
        match self {
            Self::Connected(earlier) => Self::Connected(earlier.max(sent)),
            Self::Alone | Self::Isolated(_) => Self::Connected(sent),
        }
    }

    /// Returns the connectivity after an answer from a peer that considers this node suspect or
    /// failed.
    pub fn suspected(self, now: time::Instant) -> Self {
        match self {
            Self::Alone => Self::Isolated(now),
            other => other,
        }
    }

    /// Whether this node may use its ownerships at `now`.
    pub fn allows_ownership(self, timeouts: OwnershipTimeouts, now: time::Instant) -> bool {
        match self {
            Self::Alone => true,
            Self::Connected(sent) => now < sent + timeouts.lease,
            Self::Isolated(_) => false,
        }
    }
}
