//! Which VMs are leaving, by the platform's list.
//!
//! The list lags behind reality, and a read may come from a copy that is older than the one before.
//! So a VM seen as leaving counts as leaving until reads have shown it live, and nothing else, for
//! a stated time. A VM that is missing from the list says nothing: an endpoint on a VM that is gone
//! is found by its connections. An endpoint's own word that it is leaving counts like the list's.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time for which a VM must be listed as live, and never as leaving, until it counts as live again.
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

    /// Takes in an endpoint's own word that its VM is leaving, and returns whether that is new.
    pub fn note_leaving(&mut self, vm: &ids::VmId) -> bool {
        self.leaving.insert(vm.clone(), LeavingVm::default()).is_none()
    }

    /// Takes in a list read at `now` and returns whether the VMs that count as leaving changed.
    pub fn observe(&mut self, list: &types::VmList, now: time::Instant) -> bool {
        let mut changed = false;
        for record in &list.vms {
            changed |= match record.state {
                types::VmState::Leaving => self.note_leaving(&record.vm),
                types::VmState::Live => self.note_live(&record.vm, now),
            };
        }
        changed
    }

    fn note_live(&mut self, vm: &ids::VmId, now: time::Instant) -> bool {
        let Some(entry) = self.leaving.get_mut(vm) else { return false };
        let since = *entry.live_since.get_or_insert(now);
        if now.saturating_duration_since(since) < LIVE_CONFIRMATION_TIME {
            return false;
        }
        self.leaving.swap_remove(vm);
        true
    }
}
