//! Division of a VM's memory among what peers send.

use comfreyspread::runtime::memory_plan;

const MEGABYTE: u64 = 1_000_000;
/// Memory of the program, its tables and its log on a VM of a small deployment.
const PROGRAM_BYTES: u64 = 16 * MEGABYTE;

/// Each part was chosen by itself, some as a multiple of the largest message: their sum exceeded the
/// memory of a small VM.
#[test]
fn sum_fits() {
    for megabytes in [120, 160, 260] {
        let memory = megabytes * MEGABYTE;
        let total = memory_plan::MemoryPlan::new(memory).total();
        assert!(total + PROGRAM_BYTES <= memory, "{total} bytes of {megabytes} MB");
    }
}

/// A single message of the largest size is served on any VM.
#[test]
fn large_message_fits() {
    let plan = memory_plan::MemoryPlan::new(0);
    assert!(plan.request_bodies > 4 * 1024 * 1024);
    assert!(plan.request_heads > 4 * 1024 * 1024);
    assert!(plan.endpoint_responses > 16 * 1024 * 1024);
    assert!(plan.store_responses > 16 * 1024 * 1024);
}
