//! Tells other nodes of crashes at once, ahead of the heartbeats.
//!
//! A node that learns of a crash that speaks against a prompt part sends a heartbeat to a few random
//! members, which do the same. All nodes know of it after a few messages in a row. The time between
//! notices bounds what they send however many endpoints crash.

use crate::{
    membership::probe,
    runtime::{context, tables},
};
use comfreyspread_policy::part_suspect;
use comfreyspread_schema::ids;
use futures_util::future;
use std::{sync, time};

/// Members told at once.
const NOTIFIED_PEERS: usize = 3;
/// Minimum time between two notices.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Sends notices until the process ends.
pub async fn run(context: sync::Arc<context::NodeContext>) {
    let mut known = context.tables.crash_known.listen();
    loop {
        known.await;
        known = context.tables.crash_known.listen();
        notify_peers(&context).await;
        async_io::Timer::after(NOTICE_INTERVAL).await;
    }
}

/// Updates the table of prompt parts and requests and logs what that convicts or clears. If `update` returns that
/// it added a crash, other nodes hear of it at once.
pub fn update_parts<Update>(tables: &tables::SharedTables, update: Update)
where
    Update: FnOnce(&mut part_suspect::PartTable) -> bool,
{
    let mut table = tables.part_suspects.lock();
    let has_news = update(&mut table);
    let changes = table.take_changes();
    drop(table);
    log_changes(&changes);
    if has_news {
        tables.crash_known.notify(usize::MAX);
    }
}

/// Writes a line for each conviction of a prompt part or a request, and for its end.
fn log_changes(changes: &[part_suspect::PartChange]) {
    for change in changes {
        let part = format_part(change.part);
        if change.convicted {
            log::warn!(part = part.as_str(), whole = change.whole, crashes = change.crashes,
                requests = change.requests; "parts: convicted of crashing endpoints");
        } else {
            log::info!(part = part.as_str(), whole = change.whole, crashes = change.crashes,
                requests = change.requests; "parts: no longer convicted");
        }
    }
}

/// Returns the text that stands for a prompt part, or a request as a whole, in logs.
pub fn format_part(part: ids::PartHash) -> String {
    format!("{part:016x}")
}

async fn notify_peers(context: &context::NodeContext) {
    let peers = {
        let members = context.tables.members.lock();
        members.random_peers(&context.settings.node, NOTIFIED_PEERS, &mut rand::rng())
    };
    future::join_all(peers.iter().map(|peer| probe::announce(context, peer.address))).await;
}
