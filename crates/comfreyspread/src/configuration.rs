//! Bringing the configuration into force at a node.
//!
//! The node polls the platform for the head row. A document with a higher revision than the one in
//! force replaces it; any other is dropped, so a stale copy never brings an older revision back.

use crate::{context, failure};
use comfreyspread_policy::catalog;
use comfreyspread_schema::types;
use std::sync;

/// Table that holds the configuration.
pub const CONFIGURATION_TABLE: &str = "configuration";
/// Key of the row that holds the configuration in force.
pub const HEAD_KEY: &str = "head";

/// Polls the platform until the process ends.
pub async fn poll(context: sync::Arc<context::NodeContext>) {
    loop {
        if let Err(failure) = poll_once(&context).await {
            log::warn!("configuration: poll failed. error={failure}");
        }
        async_io::Timer::after(context.settings.poll).await;
    }
}

async fn poll_once(context: &context::NodeContext) -> Result<(), failure::CallFailure> {
    let row = context.platform.read_row(CONFIGURATION_TABLE, HEAD_KEY).await?;
    let Some(row) = row else { return Ok(()) };
    let document = serde_json::from_str(&row.value).map_err(|error| {
        let detail = format!("the stored configuration is not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
    })?;
    adopt(context, document);
    Ok(())
}

/// Brings a document into force if its revision is higher than the one in force.
pub fn adopt(context: &context::NodeContext, document: types::ConfigurationDocument) {
    let mut current = context.tables.catalog.lock();
    if document.revision <= current.revision() {
        return;
    }
    log::info!(revision = document.revision; "configuration: in force");
    *current = sync::Arc::new(catalog::ConfigurationCatalog::new(document));
    context.tables.changed.notify(usize::MAX);
}
