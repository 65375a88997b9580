//! Nodes that were heard of lately, and nodes that did not answer and are passed over for a while.
//!
//! ```
//! use comfreyspread_policy::peer_health;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut sight = peer_health::PeerHealth::default();
//! sight.eject(&"node-1".into(), now);
//! assert!(sight.is_ejected("node-1", now));
//! sight.record_reply(&"node-1".into(), now);
//! assert!(!sight.is_ejected("node-1", now));
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

/// How long a node that did not answer is passed over.
const SHUN_TIME: time::Duration = time::Duration::from_secs(3);
/// Time without a word after which a node is asked whether it is there.
pub const PROBE_DELAY: time::Duration = time::Duration::from_millis(350);

#[derive(Clone, Copy, Debug, Default)]
struct SightEntry {
    heard: Option<time::Instant>,
    shunned_until: Option<time::Instant>,
}

/// What was seen of other nodes.
#[derive(Debug, Default)]
pub struct PeerHealth {
    nodes: IndexMap<ids::NodeId, SightEntry>,
}

impl PeerHealth {
    /// Takes note of an answer of a node.
    pub fn record_reply(&mut self, node: &ids::NodeId, now: time::Instant) {
        let entry = SightEntry { heard: Some(now), shunned_until: None };
        self.nodes.insert(node.clone(), entry);
    }

    /// Passes over a node that did not answer, for a while.
    pub fn eject(&mut self, node: &ids::NodeId, now: time::Instant) {
        self.nodes.entry(node.clone()).or_default().shunned_until = Some(now + SHUN_TIME);
    }

    /// Whether a node is passed over.
    pub fn is_ejected(&self, node: &str, now: time::Instant) -> bool {
        let until = self.nodes.get(node).and_then(|entry| entry.shunned_until);
        until.is_some_and(|until| until > now)
    }

    /// Whether nothing was heard of a node lately.
    pub fn needs_probe(&self, node: &str, now: time::Instant) -> bool {
        let heard = self.nodes.get(node).and_then(|entry| entry.heard);
        heard.is_none_or(|heard| now.saturating_duration_since(heard) >= PROBE_DELAY)
    }
}
