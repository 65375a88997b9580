//! Reading the platform's list of VMs.
//!
//! The time between two reads grows with the list, so that its bytes stay within a part of what a
//! node may spend on control.

use crate::runtime::context;
use comfreyspread_schema::types;
use std::{sync, time};

const LIST_BYTES_PER_SECOND: usize = 2500;
const RECORD_BYTES: usize = 100;

/// Reads the list until the process ends.
pub async fn run(context: sync::Arc<context::NodeContext>) {
    loop {
        let listed = match context.platform.list_vms().await {
            Ok(list) => {
                note(&context, &list);
                list.vms.len()
            }
            Err(failure) => {
                log::debug!("vms: list not read. error={failure}");
                0
            }
        };
        async_io::Timer::after(context.settings.vm_poll.max(list_time(listed))).await;
    }
}

fn note(context: &context::NodeContext, list: &types::VmList) {
    let changed = context.tables.vms.lock().merge(list, time::Instant::now());
    if changed {
        log::info!("vms: the VMs that leave have changed");
        context.tables.changed.notify(usize::MAX);
    }
}

/// Returns the time over which a list of `records` is spread.
fn list_time(records: usize) -> time::Duration {
    let bytes = u64::try_from(records * RECORD_BYTES).unwrap_or(u64::MAX);
    time::Duration::from_millis(bytes * 1000 / LIST_BYTES_PER_SECOND as u64)
}
