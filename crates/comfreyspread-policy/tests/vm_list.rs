//! VMs that leave and return, by the platform's list.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::vm_list;
use comfreyspread_schema::types;
use std::time;

fn list(state: types::VmState) -> types::VmList {
    let address = ([127, 0, 0, 1], 1).into();
    types::VmList {
        vms: vec![types::VmRecord { address, state, vm: "vm".into(), zone: "zone".into() }],
    }
}

#[test]
fn leaves_returns() {
    let now = time::Instant::now();
    let half = vm_list::LIVE_CONFIRMATION_TIME / 2;
    let (live, leaving) = (types::VmState::Live, types::VmState::Leaving);
    let missing = types::VmList { vms: Vec::new() };
    let mut table = vm_list::LeavingVmTable::new();
    let steps = [
        (0, list(live), false, false),
        (1, list(leaving), true, true),
        // A read from an older copy does not bring it back, nor does a list without it.
        (2, list(live), false, true),
        (3, list(leaving), false, true),
        (4, missing, false, true),
        (5, list(live), false, true),
        (6, list(live), false, true),
        (7, list(live), true, false),
    ];
    for (step, list, changed, leaves) in steps {
        assert_eq!(table.observe(&list, now + half * step), changed, "step {step}");
        assert_eq!(table.is_leaving(&"vm".into()), leaves, "step {step}");
    }
}
