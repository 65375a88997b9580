//! Polls the platform's list of VMs.
//!
//! The poll period grows with the length of the list, which bounds the control traffic of a node.

use crate::runtime::context;
use comfreyspread_schema::types;
use std::{sync, time};

const LIST_BYTES_PER_SECOND: usize = 2500;
const RECORD_BYTES: usize = 100;

/// Polls the list until the process ends.
pub async fn run(context: sync::Arc<context::NodeContext>) {
    loop {
        let records = match context.platform.list_vms().await {
            Ok(list) => {
                merge_list(&context, &list);
                list.vms.len()
            }
            Err(failure) => {
                log::debug!("vms: cannot read the list. error={failure}");
                0
            }
        };
        async_io::Timer::after(context.settings.vm_poll_interval.max(min_poll_period(records)))
            .await;
    }
}

fn merge_list(context: &context::NodeContext, list: &types::VmList) {
    let changed = context.tables.leaving_vms.lock().merge(list, time::Instant::now());
    if changed {
        log::info!("vms: set of leaving VMs changed");
        context.tables.changed.notify(usize::MAX);
    }
}

/// Returns the shortest poll period of a list of `records` VMs.
fn min_poll_period(records: usize) -> time::Duration {
    let bytes = u64::try_from(records * RECORD_BYTES).unwrap_or(u64::MAX);
    time::Duration::from_millis(bytes * 1000 / LIST_BYTES_PER_SECOND as u64)
}
