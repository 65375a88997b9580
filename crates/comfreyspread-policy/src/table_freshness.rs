//! Freshness of a node's copy of a table, and whether to update it from the platform's store or
//! from the node that reads the store for its availability zone.
//!
//! In each zone one node reads the store and the others long-poll that node, so the number of calls
//! to the store grows with the zones, not with the nodes. A copy is fresh for a bounded time after
//! the store has replied to this node or to the node that forwarded the reply. A node whose copy is
//! no longer fresh reads the store itself, which bounds how long it depends on another node.
//!
//! ```
//! use comfreyspread_policy::table_freshness;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut freshness = table_freshness::TableFreshness::default();
//! assert!(freshness.peer_poll_wait(now).is_none(), "the store has not replied yet");
//! freshness.record_store_reply(now);
//! assert!(freshness.peer_poll_wait(now).is_some());
//! assert!(freshness.peer_poll_wait(now + table_freshness::FRESHNESS_LIFETIME).is_none());
//! ```

use crate::{outage_recovery, rendezvous};
use comfreyspread_schema::types;
use std::time;

/// How long a copy is fresh after the store has replied.
pub const FRESHNESS_LIFETIME: time::Duration = time::Duration::from_millis(1600);
/// Maximum time for which a long poll waits for changes. A request may get lost without an error,
/// and its sender then learns of no change until it polls again.
pub const LONG_POLL_WAIT: time::Duration = time::Duration::from_millis(1000);
/// How long a node reads the store directly after a peer failed or had no fresh copy.
const DIRECT_READ_TIME: time::Duration = time::Duration::from_secs(3);
/// Rendezvous key for the choice of the node that reads the store.
const READER_ROLE: &str = "table-reader";

/// Freshness of the copy of one table, and the state of its sources.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFreshness {
    fresh_until: Option<time::Instant>,
    store_reachable: Option<bool>,
    direct_until: Option<time::Instant>,
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
            self.record_peer_failure(now);
            return false;
        }
        self.store_reachable = None;
        self.fresh_until = self.fresh_until.max(Some(now + fresh.min(FRESHNESS_LIFETIME)));
        true
    }

    /// Records that a polled peer did not reply.
    pub fn record_peer_failure(&mut self, now: time::Instant) {
        self.direct_until = Some(now + DIRECT_READ_TIME);
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

    /// Returns the wait of the next long poll at a peer; `None` if this node must read the store
    /// itself.
    pub fn peer_poll_wait(&self, now: time::Instant) -> Option<time::Duration> {
        if self.direct_until.is_some_and(|until| until > now) {
            return None;
        }
        let fresh = self.remaining_freshness(now);
        (!fresh.is_zero()).then_some(fresh.min(LONG_POLL_WAIT))
    }
}

/// Returns the node that reads the store for a zone; `members` are the serving nodes of the zone.
pub fn zone_reader<'members, Members>(members: Members) -> Option<&'members types::MemberRecord>
where
    Members: Iterator<Item = &'members types::MemberRecord>,
{
    rendezvous::best_member(members, &READER_ROLE.into())
}
