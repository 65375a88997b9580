//! Where a node takes the rows of a table from: the platform's store, a node that reads the store
//! for the availability zone, or any other node.
//!
//! Two nodes of each zone may read the store: the first reader always does, the second while the
//! first is silent or has no fresh copy. The others poll the first reader that has a fresh copy.
//! Only while both fail does another node read the store itself, and after a failed attempt not
//! again for a while, so that an outage of the store does not make every node of a large fleet call
//! it several times a second. In the meantime it asks other nodes.
//!
//! ```
//! use comfreyspread_policy::table_source;
//! use std::time;
//!
//! let choice = table_source::SourceChoice::default();
//! let source = choice.next_source(&[], &"node-1".into(), time::Instant::now());
//! assert_eq!(source, table_source::TableSource::Store);
//! ```

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{net, time};

/// Readers of a zone.
pub const READERS_PER_ZONE: usize = 2;
/// How long a reader that did not reply is not asked.
const SILENT_EJECTION: time::Duration = time::Duration::from_secs(3);
/// How long a reader without a fresh copy is not asked.
const STALE_EJECTION: time::Duration = time::Duration::from_millis(1000);
/// Time after a failed read of the store until a node that is not a reader reads it again.
const DIRECT_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(2500);

/// Source of the rows of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// The platform's store.
    Store,
    /// The node that reads the store for the zone.
    Reader {
        /// Name of the node.
        node: ids::NodeId,
        /// Peer address of the node.
        address: net::SocketAddr,
    },
    /// Any other node, while neither the readers nor the store respond.
    AnyPeer,
}

/// State of the sources of one table.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    ejected_until: IndexMap<ids::NodeId, time::Instant>,
    direct_after: Option<time::Instant>,
}

impl SourceChoice {
    /// Returns the next source; `readers` are the readers of the zone, the first first.
    pub fn next_source(
        &self,
        readers: &[&types::MemberRecord],
        own: &ids::NodeId,
        now: time::Instant,
    ) -> TableSource {
        for reader in readers {
            if reader.node == *own {
                return TableSource::Store;
            }
            if !self.is_ejected(&reader.node, now) {
                return TableSource::Reader { node: reader.node.clone(), address: reader.address };
            }
        }
        if self.direct_after.is_some_and(|after| after > now) {
            return TableSource::AnyPeer;
        }
        TableSource::Store
    }

    /// Records that a reader did not reply.
    pub fn record_silent_reader(&mut self, node: &ids::NodeId, now: time::Instant) {
        self.eject(node, now + SILENT_EJECTION, now);
    }

    /// Records that a reader has no fresh copy.
    pub fn record_stale_reader(&mut self, node: &ids::NodeId, now: time::Instant) {
        self.eject(node, now + STALE_EJECTION, now);
    }

    /// Records whether the store replied to this node.
    pub fn record_store_read(&mut self, replied: bool, now: time::Instant) {
        self.direct_after = (!replied).then(|| now + DIRECT_RETRY_INTERVAL);
    }

    fn eject(&mut self, node: &ids::NodeId, until: time::Instant, now: time::Instant) {
        self.ejected_until.retain(|_, until| *until > now);
        self.ejected_until.insert(node.clone(), until);
    }

    fn is_ejected(&self, node: &ids::NodeId, now: time::Instant) -> bool {
        self.ejected_until.get(node).is_some_and(|until| *until > now)
    }
}
