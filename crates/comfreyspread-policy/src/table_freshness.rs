//! Freshness of a node's copy of a table.
//!
//! A copy is fresh for a bounded time after the store has replied to this node or to the node that
//! forwarded the reply, which bounds how long a node depends on another one.
//!
//! ```
//! use comfreyspread_policy::table_freshness;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut freshness = table_freshness::TableFreshness::default();
//! assert_eq!(freshness.poll_wait(now), table_freshness::STALE_POLL_WAIT);
//! freshness.record_store_reply(now);
//! assert_eq!(freshness.poll_wait(now), table_freshness::LONG_POLL_WAIT);
//! ```

use crate::{outage_recovery, rendezvous, table_source};
use comfreyspread_schema::types;
use std::time;

/// How long a copy is fresh after the store has replied.
pub const FRESHNESS_LIFETIME: time::Duration = time::Duration::from_millis(1600);
/// Maximum time for which a long poll waits for changes. A request may get lost without an error,
/// and its sender then learns of no change until it polls again.
pub const LONG_POLL_WAIT: time::Duration = time::Duration::from_millis(1000);
/// Time for which a node with a stale copy waits for a peer's copy to become fresh.
pub const STALE_POLL_WAIT: time::Duration = time::Duration::from_millis(300);
/// Rendezvous key for the choice of the nodes that read the store.
const READER_ROLE: &str = "table-reader";

/// Freshness of the copy of one table, and the state of its sources.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFreshness {
    fresh_until: Option<time::Instant>,
    store_reachable: Option<bool>,
    recovery: outage_recovery::OutageRecovery,
}

impl TableFreshness {
    /// Records a reply of the store.
    pub fn record_store_reply(&mut self, now: time::Instant) {
        self.store_reachable = Some(true);
        self.fresh_until = Some(now + FRESHNESS_LIFETIME);
    }

    /// Records that the store did not reply.
    pub fn record_store_failure(&mut self) {
        self.store_reachable = Some(false);
    }

    /// Records the reply of a polled peer, whose copy remains fresh for `fresh`. Returns whether
    /// the peer's copy is fresh.
    pub fn record_peer_reply(&mut self, fresh: time::Duration, now: time::Instant) -> bool {
        if fresh.is_zero() {
            return false;
        }
        self.store_reachable = None;
        self.fresh_until = self.fresh_until.max(Some(now + fresh.min(FRESHNESS_LIFETIME)));
        true
    }

    /// Records whether the store replies to another node after it failed to reply to this one;
    /// `None` if no other node replied.
    pub fn record_outage(&mut self, reachable_by_other: Option<bool>, now: time::Instant) {
        self.recovery.record_outage(reachable_by_other, now);
    }

    /// Whether entries may be missing after an outage of the store for all nodes.
    pub fn is_recovering(&self, now: time::Instant) -> bool {
        self.recovery.is_recovering(now)
    }

    /// Whether the store replies to this node; `None` if the node does not read the store itself.
    pub fn store_reachable(&self) -> Option<bool> {
        self.store_reachable
    }

    /// Returns for how long the copy remains fresh.
    pub fn remaining_freshness(&self, now: time::Instant) -> time::Duration {
        self.fresh_until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether the copy is fresh.
    pub fn is_fresh(&self, now: time::Instant) -> bool {
        !self.remaining_freshness(now).is_zero()
    }

    /// Returns the wait of the next long poll at a peer.
    pub fn poll_wait(&self, now: time::Instant) -> time::Duration {
        let fresh = self.remaining_freshness(now);
        if fresh.is_zero() { STALE_POLL_WAIT } else { fresh.min(LONG_POLL_WAIT) }
    }

    /// Returns for how long to wait for changes at the store; a node with a stale copy wants a reply
    /// at once.
    pub fn store_wait(&self, now: time::Instant) -> time::Duration {
        if self.is_fresh(now) { LONG_POLL_WAIT } else { time::Duration::ZERO }
    }
}

/// Returns the nodes that may read the store for a zone, the first first; `members` are the nodes
/// of the zone.
pub fn zone_readers<'members, Members>(members: Members) -> Vec<&'members types::MemberRecord>
where
    Members: Iterator<Item = &'members types::MemberRecord>,
{
    rendezvous::best_members(members, &READER_ROLE.into(), table_source::READERS_PER_ZONE)
}
