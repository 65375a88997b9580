//! Nodes that were heard of lately, and nodes that did not answer and are passed over for a while.
//!
//! ```
//! use comfreyspread_policy::peer_sight;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut sight = peer_sight::PeerSight::default();
//! sight.shun(&"node-1".into(), now);
//! assert!(sight.is_shunned("node-1", now));
//! sight.note_heard(&"node-1".into(), now);
//! assert!(!sight.is_shunned("node-1", now));
//! ```

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::time;

/// How long a node that did not answer is passed over.
const SHUN_TIME: time::Duration = time::Duration::from_secs(3);
/// Time without a word after which a node is asked whether it is there.
pub const SILENCE: time::Duration = time::Duration::from_millis(350);

#[derive(Clone, Copy, Debug, Default)]
struct SightEntry {
    heard: Option<time::Instant>,
    shunned_until: Option<time::Instant>,
}

/// What was seen of other nodes.
#[derive(Debug, Default)]
pub struct PeerSight {
    nodes: IndexMap<ids::NodeId, SightEntry>,
}

impl PeerSight {
    /// Takes note of an answer of a node.
    pub fn note_heard(&mut self, node: &ids::NodeId, now: time::Instant) {
        let entry = SightEntry { heard: Some(now), shunned_until: None };
        self.nodes.insert(node.clone(), entry);
    }

    /// Passes over a node that did not answer, for a while.
    pub fn shun(&mut self, node: &ids::NodeId, now: time::Instant) {
        self.nodes.entry(node.clone()).or_default().shunned_until = Some(now + SHUN_TIME);
    }

    /// Whether a node is passed over.
    pub fn is_shunned(&self, node: &str, now: time::Instant) -> bool {
        let until = self.nodes.get(node).and_then(|entry| entry.shunned_until);
        until.is_some_and(|until| until > now)
    }

    /// Whether nothing was heard of a node lately.
    pub fn is_silent(&self, node: &str, now: time::Instant) -> bool {
        let heard = self.nodes.get(node).and_then(|entry| entry.heard);
        heard.is_none_or(|heard| now.saturating_duration_since(heard) >= SILENCE)
    }
}
