//! VMs that are leaving, according to the platform's list of VMs.
//!
//! The list lags behind reality, and a read may return an older copy than the read before. So a VM
//! listed as leaving once counts as leaving until [`LIVE_CONFIRMATION_TIME`] has passed in which
//! every read that contained it showed it live. A VM missing from the list changes nothing: failed
//! connections reveal endpoints on a VM that is gone. An endpoint's own report that its VM is
//! leaving counts like an entry in the list.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time for which a leaving VM must be listed only as live before it counts as live again.
pub const LIVE_CONFIRMATION_TIME: time::Duration = time::Duration::from_secs(30);

/// A VM that counts as leaving.
#[derive(Clone, Copy, Debug, Default)]
struct LeavingVm {
    live_since: Option<time::Instant>,
}

/// VMs that count as leaving.
#[derive(Debug, Default)]
pub struct LeavingVmTable {
    leaving: IndexMap<ids::VmId, LeavingVm>,
}

impl LeavingVmTable {
    /// Creates a table in which no VM is leaving.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a VM counts as leaving.
    pub fn is_leaving(&self, vm: &ids::VmId) -> bool {
        self.leaving.contains_key(vm)
    }

    /// Marks a VM as leaving; returns whether it did not count as leaving before.
    pub fn record_leaving(&mut self, vm: &ids::VmId) -> bool {
        self.leaving.insert(vm.clone(), LeavingVm::default()).is_none()
    }

    /// Merges a list read at `now`; returns whether the set of leaving VMs changed.
    pub fn merge(&mut self, list: &types::VmList, now: time::Instant) -> bool {
        let mut changed = false;
        for record in &list.vms {
            changed |= match record.state {
                types::VmState::Leaving => self.record_leaving(&record.vm),
                types::VmState::Live => self.record_live(&record.vm, now),
            };
        }
        changed
    }

    fn record_live(&mut self, vm: &ids::VmId, now: time::Instant) -> bool {
        let Some(entry) = self.leaving.get_mut(vm) else { return false };
        let live_since = *entry.live_since.get_or_insert(now);
        if now.saturating_duration_since(live_since) < LIVE_CONFIRMATION_TIME {
            return false;
        }
        self.leaving.swap_remove(vm);
        true
    }
}
