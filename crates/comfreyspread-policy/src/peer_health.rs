//! Health of other nodes: when each last replied, and which are ejected after missing a reply.
//!
//! ```
//! use comfreyspread_policy::peer_health;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut health = peer_health::PeerHealth::default();
//! health.eject(&"node-1".into(), now);
//! assert!(health.is_ejected("node-1", now));
//! health.record_reply(&"node-1".into(), now);
//! assert!(!health.is_ejected("node-1", now));
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

/// How long a node that did not reply is ejected.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(3);
/// Time since the last reply of a node after which it is probed.
pub const PROBE_DELAY: time::Duration = time::Duration::from_millis(350);

#[derive(Clone, Copy, Debug, Default)]
struct HealthEntry {
    last_reply: Option<time::Instant>,
    ejected_until: Option<time::Instant>,
}

/// Health of other nodes by name.
#[derive(Debug, Default)]
pub struct PeerHealth {
    nodes: IndexMap<ids::NodeId, HealthEntry>,
}

impl PeerHealth {
    /// Records a reply of a node, which ends its ejection.
    pub fn record_reply(&mut self, node: &ids::NodeId, now: time::Instant) {
        let entry = HealthEntry { last_reply: Some(now), ejected_until: None };
        self.nodes.insert(node.clone(), entry);
    }

    /// Ejects a node that did not reply, for a fixed time.
    pub fn eject(&mut self, node: &ids::NodeId, now: time::Instant) {
        self.nodes.entry(node.clone()).or_default().ejected_until = Some(now + EJECTION_TIME);
    }

    /// Whether a node is ejected.
    pub fn is_ejected(&self, node: &str, now: time::Instant) -> bool {
        let until = self.nodes.get(node).and_then(|entry| entry.ejected_until);
        until.is_some_and(|until| until > now)
    }

    /// Whether a node has not replied within [`PROBE_DELAY`].
    pub fn needs_probe(&self, node: &str, now: time::Instant) -> bool {
        let replied = self.nodes.get(node).and_then(|entry| entry.last_reply);
        replied.is_none_or(|replied| now.saturating_duration_since(replied) >= PROBE_DELAY)
    }
}
