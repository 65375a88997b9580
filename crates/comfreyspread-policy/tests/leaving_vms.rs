//! VMs that leave and return according to the platform's list.
#![allow(clippy::disallowed_methods)]

use comfreyspread_policy::leaving_vms;
use comfreyspread_schema::types;
use std::time;

fn list(state: types::VmState) -> types::VmList {
    let address = ([127, 0, 0, 1], 1).into();
    types::VmList {
        vms: vec![types::VmRecord { address, state, vm: "vm".into(), zone: "zone".into() }],
    }
}

#[test]
fn leave_return() {
    let now = time::Instant::now();
    let half = leaving_vms::LIVE_CONFIRMATION_TIME / 2;
    let (live, leaving) = (types::VmState::Live, types::VmState::Leaving);
    let missing = types::VmList { vms: Vec::new() };
    let mut table = leaving_vms::LeavingVmTable::new();
    let steps = [
        (0, list(live), false, false),
        (1, list(leaving), true, true),
        // Neither a read of an older copy nor a list without the VM makes it live again.
        (2, list(live), false, true),
        (3, list(leaving), false, true),
        (4, missing, false, true),
        (5, list(live), false, true),
        (6, list(live), false, true),
        (7, list(live), true, false),
    ];
    for (step, list, changed, leaving) in steps {
        assert_eq!(table.merge(&list, now + half * step), changed, "step {step}");
        assert_eq!(table.is_leaving(&"vm".into()), leaving, "step {step}");
    }
}
