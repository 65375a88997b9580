//! Doubt of a node that probes others in its own connection.
//!
//! A node that is slow, overloaded or cut off misses replies of members that are well. While
//! nothing answers it, neither the member nor the members asked to probe it, the node has no
//! evidence that the fault is the member's. It doubts itself first: each such probe raises its
//! doubt, only a node with the highest doubt suspects without evidence, and the doubt lengthens its
//! timeouts. Each answer lowers it.
//!
//! ```
//! use comfreyspread_policy::prober_health;
//!
//! let mut health = prober_health::ProberHealth::default();
//! assert!(health.record(prober_health::ProbeOutcome::Unreachable));
//! assert!(!health.record(prober_health::ProbeOutcome::Silence));
//! assert_eq!(health.timeout_factor(), 2);
//! ```

/// Highest doubt, at which a node suspects members without evidence.
const MAX_DOUBT: u32 = 4;

/// How a probe of a member ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The member answered.
    Answered,
    /// Only another member reached it.
    ReachedIndirectly,
    /// The member did not answer, and another node did: a member that could not reach it either,
    /// or its VM, which refused the connection.
    Unreachable,
    /// No node answered.
    Silence,
}

/// Doubt of one node in itself.
#[derive(Debug, Default)]
pub struct ProberHealth {
    doubt: u32,
}

impl ProberHealth {
    /// Records how a probe ended; returns whether to suspect the member.
    pub fn record(&mut self, outcome: ProbeOutcome) -> bool {
        match outcome {
            ProbeOutcome::Answered => {
                self.doubt = self.doubt.saturating_sub(1);
                false
            }
            ProbeOutcome::ReachedIndirectly => {
                self.raise_doubt();
                false
            }
            ProbeOutcome::Unreachable => true,
            ProbeOutcome::Silence => {
                let certain = self.doubt == MAX_DOUBT;
                self.raise_doubt();
                certain
            }
        }
    }

    /// Returns the factor on the timeouts of probes.
    pub fn timeout_factor(&self) -> u32 {
        self.doubt + 1
    }

    fn raise_doubt(&mut self) {
        self.doubt = (self.doubt + 1).min(MAX_DOUBT);
    }
}
