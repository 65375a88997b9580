//! Which nodes have to confirm a change before it counts as accepted.
//!
//! A node has to confirm while it may be serving. Silence alone proves nothing: a region that is cut
//! off goes on serving. A node stops counting when it said that it leaves, when it failed and its
//! address refuses connections, or when it failed and the platform no longer lists its VM.

use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// What is known of one node when a change waits for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeObservation {
    /// Phase of the node in the member table.
    pub phase: types::MemberPhase,
    /// Whether its address refuses connections.
    pub refused: bool,
    /// Whether the platform lists its VM; none if the list is not known.
    pub listed: Option<bool>,
}

impl NodeObservation {
    /// Whether the node may be serving.
    pub fn may_serve(self) -> bool {
        match self.phase {
            types::MemberPhase::Alive | types::MemberPhase::Suspect => true,
            types::MemberPhase::Failed => !self.refused && self.listed != Some(false),
            types::MemberPhase::Left => false,
        }
    }
}

/// Returns the listed VMs that may run a node which is not among the members: all but those of
/// members and of endpoints.
pub fn unknown_vms<'list>(
    listed: &'list types::VmList,
    members: &IndexSet<ids::VmId>,
    endpoints: &IndexSet<ids::VmId>,
) -> Vec<&'list types::VmRecord> {
    let vms = listed.vms.iter();
    vms.filter(|one| !members.contains(&one.vm) && !endpoints.contains(&one.vm)).collect()
}
