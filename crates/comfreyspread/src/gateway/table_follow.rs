//! Following one table of the store: reading it once, then waiting for its changes.

use super::{state, store_client};
use crate::failure;
use comfreyspread_schema::types;
use rand::Rng as _;
use std::{sync, time};

/// Pause after a change, so that those right behind it come with one answer.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(80);
/// Shortest and longest pause after the store did not answer.
const FAILURE_PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(150), time::Duration::from_millis(450));

/// What is done with the rows of a table.
pub trait TableFollower {
    /// Name of the table.
    const TABLE: &'static str;

    /// Takes in all rows.
    fn replace(&self, state: &state::GatewayState, rows: Vec<types::StoreRow>);

    /// Takes in rows that have changed.
    fn change(&self, state: &state::GatewayState, rows: Vec<types::StoreRow>);
}

/// Follows a table until the process ends.
pub async fn follow<Follower>(state: sync::Arc<state::GatewayState>, follower: Follower)
where
    Follower: TableFollower,
{
    let table = Follower::TABLE;
    let mut version = None;
    let mut answering = true;
    loop {
        let step = step(&state, &follower, &mut version).await;
        match step {
            Ok(changed) => {
                if !answering {
                    log::info!("store: answers again. table={table}");
                }
                answering = true;
                if changed {
                    async_io::Timer::after(CHANGE_PAUSE).await;
                }
            }
            Err(failure) => {
                if answering {
                    log::warn!("store: table not read. table={table} error={failure}");
                }
                answering = false;
                let (least, most) = FAILURE_PAUSES;
                let pause = rand::rng().random_range(least..most);
                async_io::Timer::after(pause).await;
            }
        }
    }
}

/// Reads the table or its changes once; returns whether anything came.
async fn step<Follower>(
    state: &state::GatewayState,
    follower: &Follower,
    version: &mut Option<u64>,
) -> Result<bool, failure::CallFailure>
where
    Follower: TableFollower,
{
    let Some(known) = *version else {
        let page = state.store.read_table(Follower::TABLE).await?;
        *version = Some(page.version);
        follower.replace(state, page.rows);
        return Ok(false);
    };
    match state.store.feed(Follower::TABLE, known).await? {
        store_client::StoreFeed::HistoryGone => {
            log::info!("store: history gone, reading anew. table={}", Follower::TABLE);
            *version = None;
            Ok(false)
        }
        store_client::StoreFeed::Changes(page) => {
            *version = Some(page.version.max(known));
            let changed = !page.rows.is_empty();
            if changed {
                follower.change(state, page.rows);
            }
            Ok(changed)
        }
    }
}
