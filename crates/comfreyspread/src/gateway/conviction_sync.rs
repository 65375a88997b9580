//! Keeps the convictions of prompt parts in the platform's store, and takes them over at the start.

use super::{state, store_client};
use crate::{membership::crash_notice, transport::failure};
use comfreyspread_platform::store;
use comfreyspread_policy::{conviction_store, rendezvous};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::{sync, time};

/// Time between two looks at the convictions of this node.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Delay before the rows are read again at the start.
const READ_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Rows of the table by part.
type ConvictionRows = IndexMap<ids::PartHash, conviction_store::ConvictionRow>;

/// Takes over the convictions that are stored, then keeps their rows until the process ends.
pub async fn run(state: sync::Arc<state::GatewayState>) {
    let mut convictions = conviction_store::ConvictionStore::new(time::Instant::now());
    adopt_rows(&state, &mut convictions).await;
    loop {
        async_io::Timer::after(CHECK_INTERVAL).await;
        let now = time::Instant::now();
        convictions.update(state.context.tables.part_suspects.lock().convictions(now), now);
        let is_own = |part| is_own(&state, part);
        if convictions.is_due(is_own, now) {
            let outcome = run_round(&state, &convictions).await;
            convictions.finish_round(outcome, is_own, time::Instant::now());
        }
    }
}

/// Reads the rows, again and again until the store responds, and merges their records.
async fn adopt_rows(
    state: &state::GatewayState,
    convictions: &mut conviction_store::ConvictionStore,
) {
    let rows = loop {
        match read_rows(&state.store).await {
            Ok((rows, _)) => break rows,
            Err(failure) => {
                state.context.metrics.stages.count_store_failure();
                log::warn!("convictions: not read. error={failure}");
                async_io::Timer::after(READ_RETRY_DELAY).await;
            }
        }
    };
    let now = time::Instant::now();
    if !rows.is_empty() {
        log::info!(count = rows.len(); "convictions: read");
    }
    for (part, row) in rows {
        convictions.track(part, now);
        crash_notice::update_parts(&state.context.tables, |table| table.merge(&row.record, now));
    }
}

/// Returns whether this node is in charge of the row of a part.
fn is_own(state: &state::GatewayState, part: ids::PartHash) -> bool {
    let role = crash_notice::format_part(part).into();
    let members = state.context.tables.members.lock();
    let best = rendezvous::best_member(members.live(), &role);
    best.is_none_or(|member| member.node == state.context.settings.node)
}

/// Compares the rows with the convictions once and changes those that differ.
async fn run_round(
    state: &state::GatewayState,
    convictions: &conviction_store::ConvictionStore,
) -> conviction_store::RoundOutcome {
    try_round(state, convictions).await.unwrap_or_else(|failure| {
        state.context.metrics.stages.count_store_failure();
        log::warn!("convictions: rows not kept. error={failure}");
        conviction_store::RoundOutcome::Failed
    })
}

async fn try_round(
    state: &state::GatewayState,
    convictions: &conviction_store::ConvictionStore,
) -> Result<conviction_store::RoundOutcome, failure::CallFailure> {
    let (rows, read_at) = read_rows(&state.store).await?;
    let changes = convictions.changes(&rows, |part| is_own(state, part));
    if changes.is_empty() {
        return Ok(conviction_store::RoundOutcome::Settled);
    }
    let encoded: Result<Vec<_>, _> =
        changes.iter().map(|change| encode_change(change, read_at)).collect();
    let encoded = encoded.map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
    })?;
    let made = state.store.change_rows(&encoded).await?;
    for change in &changes {
        log::info!(part = crash_notice::format_part(change.part).as_str(), made = made,
            written = change.record.is_some(); "convictions: row changed");
    }
    let outcome = conviction_store::changed_outcome(changes.len());
    Ok(if made { outcome } else { conviction_store::RoundOutcome::Open })
}

/// Reads the rows and the time of the store. Rows that cannot be decoded are left alone.
async fn read_rows(
    store: &store_client::StoreClient,
) -> Result<(ConvictionRows, time::Duration), failure::CallFailure> {
    let (page, now) = store.read_timed(store::CONVICTION_TABLE).await?;
    let mut rows = IndexMap::new();
    for row in page.rows {
        match row.value.as_deref().map(serde_json::from_slice::<types::StoredConviction>) {
            Some(Ok(stored)) => {
                let record = aged_record(stored, now);
                let version = row.version;
                rows.insert(record.part, conviction_store::ConvictionRow { version, record });
            }
            Some(Err(error)) => {
                log::warn!(key = row.key.as_ref(); "convictions: row not valid. error={error}");
            }
            None => {}
        }
    }
    Ok((rows, now))
}

/// Returns the record of a row with its ages at `now` on the store's clock.
fn aged_record(stored: types::StoredConviction, now: time::Duration) -> types::PartSuspect {
    let elapsed = now.saturating_sub(stored.written_at);
    let mut record = stored.record;
    record.proof_age = record.proof_age.saturating_add(elapsed);
    if let Some(proof) = &mut record.ran {
        proof.age = proof.age.saturating_add(elapsed);
    }
    for crash in &mut record.crashes {
        crash.age = crash.age.saturating_add(elapsed);
    }
    record
}

fn encode_change(
    change: &conviction_store::ConvictionChange,
    written_at: time::Duration,
) -> Result<types::RowChange, serde_json::Error> {
    let encode = |record: &types::PartSuspect| {
        let stored = types::StoredConviction { record: record.clone(), written_at };
        serde_json::to_vec(&stored).map(ids::Payload::from)
    };
    let value = change.record.as_ref().map(encode).transpose()?;
    let key = crash_notice::format_part(change.part).into();
    let table = store::CONVICTION_TABLE.into();
    Ok(types::RowChange { key, table, value, version: Some(change.version) })
}
