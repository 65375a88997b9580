//! Which nodes have to confirm a change before it is accepted.
//!
//! A node has to confirm while it may be serving. An unresponsive node may be, since a region that
//! is cut off continues to serve. A node is excluded once it has announced that it leaves, or once
//! it has failed and either its address refuses connections or the platform no longer lists its VM.

use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;

/// Observed state of a node whose confirmation may be required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeObservation {
    /// Phase of the node in the member table.
    pub phase: types::MemberPhase,
    /// Whether its address refuses connections.
    pub refused: bool,
    /// Whether the platform lists its VM; `None` if the list is not available.
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

/// Returns the listed VMs of neither members nor endpoints. Each of them may run a node that is not
/// a known member.
pub fn unknown_vms<'list>(
    listed: &'list types::VmList,
    members: &IndexSet<ids::VmId>,
    endpoints: &IndexSet<ids::VmId>,
) -> Vec<&'list types::VmRecord> {
    let vms = listed.vms.iter();
    vms.filter(|record| !members.contains(&record.vm) && !endpoints.contains(&record.vm)).collect()
}
