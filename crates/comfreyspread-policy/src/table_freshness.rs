//! Where a node hears of changes of a table: from the platform's store, or from the node that reads
//! it for its availability zone.
//!
//! In each zone one node reads the store and the others wait for its answers, so that calls to the
//! store grow with the zones and not with the nodes. What a node knows counts as fresh for a
//! bounded time after the store has answered, here or at the node that passed it on. A node whose
//! knowledge is not fresh reads the store itself, so it depends on nobody for longer than that.
//!
//! ```
//! use comfreyspread_policy::table_freshness;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut news = table_freshness::TableFreshness::default();
//! assert!(news.peer_poll_wait(now).is_none(), "nothing is known yet");
//! news.record_store_reply(now);
//! assert!(news.peer_poll_wait(now).is_some());
//! assert!(news.peer_poll_wait(now + table_freshness::FRESHNESS_LIFETIME).is_none());
//! ```

use crate::{outage_recovery, rendezvous};
use comfreyspread_schema::types;
use std::time;

/// How long knowledge counts as fresh after the store has answered.
pub const FRESHNESS_LIFETIME: time::Duration = time::Duration::from_millis(1600);
/// Longest time for which a question for news waits for some. A question may get lost without a
/// sign, and its sender knows of no change until it asks again.
pub const LONG_POLL_WAIT: time::Duration = time::Duration::from_millis(1000);
/// How long a node reads the store itself after another one was of no use.
const DIRECT_TIME: time::Duration = time::Duration::from_secs(3);
/// Name that the choice of the reading node is made for.
const READER_ROLE: &str = "table-reader";

/// What is known of how news of one table come.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFreshness {
    fresh_until: Option<time::Instant>,
    store_reachable: Option<bool>,
    direct_until: Option<time::Instant>,
    doubt: outage_recovery::OutageRecovery,
}

impl TableFreshness {
    /// Takes note of an answer of the store.
    pub fn record_store_reply(&mut self, now: time::Instant) {
        self.store_reachable = Some(true);
        self.fresh_until = Some(now + FRESHNESS_LIFETIME);
    }

    /// Takes note that the store did not answer.
    pub fn record_store_failure(&mut self) {
        self.store_reachable = Some(false);
    }

    /// Takes note of the answer of a node that was followed; its knowledge is fresh for `fresh`.
    /// Returns whether that is of use.
    pub fn record_peer_reply(&mut self, fresh: time::Duration, now: time::Instant) -> bool {
        if fresh.is_zero() {
            self.record_peer_failure(now);
            return false;
        }
        self.store_reachable = None;
        self.fresh_until = self.fresh_until.max(Some(now + fresh.min(FRESHNESS_LIFETIME)));
        true
    }

    /// Takes note that a node that was followed did not answer.
    pub fn record_peer_failure(&mut self, now: time::Instant) {
        self.direct_until = Some(now + DIRECT_TIME);
    }

    /// Takes note of what another node says of an outage of the store that this one has seen.
    pub fn record_outage(&mut self, answers_other: Option<bool>, now: time::Instant) {
        self.doubt.record_outage(answers_other, now);
    }

    /// Whether entries may be missing because the store was away for all nodes.
    pub fn is_recovering(&self, now: time::Instant) -> bool {
        self.doubt.is_recovering(now)
    }

    /// Whether the store answers this node; none if it does not ask the store itself.
    pub fn store_reachable(&self) -> Option<bool> {
        self.store_reachable
    }

    /// Returns for how long what is known still counts as fresh.
    pub fn remaining_freshness(&self, now: time::Instant) -> time::Duration {
        self.fresh_until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns how long another node may wait for news before it answers; none if the store itself
    /// has to be read.
    pub fn peer_poll_wait(&self, now: time::Instant) -> Option<time::Duration> {
        if self.direct_until.is_some_and(|until| until > now) {
            return None;
        }
        let fresh = self.remaining_freshness(now);
        (!fresh.is_zero()).then_some(fresh.min(LONG_POLL_WAIT))
    }
}

/// Returns the node that reads the store for a zone whose serving nodes are `members`.
pub fn zone_reader<'members, Members>(members: Members) -> Option<&'members types::MemberRecord>
where
    Members: Iterator<Item = &'members types::MemberRecord>,
{
    rendezvous::best_member(members, &READER_ROLE.into())
}
