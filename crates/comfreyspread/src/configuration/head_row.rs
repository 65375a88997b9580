//! Storage of the configuration in the platform's table service.
//!
//! One row, the head, holds the revision in force, the zones and VMs that operators took out of
//! service, and the latest changes. Small declarations are stored in the row; large ones are stored
//! as an object named by its digest, so that a poll without changes reads only a short row.

use crate::{
    runtime::{context, platform_client},
    transport::failure,
};
use comfreyspread_policy::change;
use comfreyspread_schema::{ids, types};
use sha2::Digest as _;

/// Table that holds the configuration.
pub const CONFIGURATION_TABLE: &str = "configuration";
/// Key of the row that holds the configuration in force.
pub const HEAD_KEY: &str = "head";
/// Maximum size of declarations stored in the row, in bytes of JSON.
pub const MAX_INLINE_BYTES: usize = 4096;

const OBJECT_PREFIX: &str = "declarations-";

/// The head as compared with a known revision.
#[derive(Clone, Debug, PartialEq)]
pub enum HeadComparison {
    /// The head has a higher revision; contains its document.
    Newer(Box<types::ConfigurationDocument>),
    /// The head has the known revision.
    Known,
    /// The head has a lower revision, or there is none.
    Older,
}

/// Reads the head and compares its revision with `known`; reads the document if it is higher.
///
/// # Errors
///
/// Fails if the platform does not answer in time or holds invalid data.
pub async fn compare(
    platform: &platform_client::PlatformClient,
    known: ids::RevisionNumber,
) -> Result<HeadComparison, failure::CallFailure> {
    let row = platform.read_row(CONFIGURATION_TABLE, HEAD_KEY).await?;
    let decoded = row.map(|row| decode::<types::ConfigurationHead>(row.value.as_bytes()));
    let head = decoded.transpose()?;
    let stored = head.as_ref().map_or(0, |head| head.revision);
    match head {
        Some(head) if stored > known => {
            let document = document(platform, head).await?;
            Ok(HeadComparison::Newer(Box::new(document)))
        }
        _ if stored == known => Ok(HeadComparison::Known),
        _ => Ok(HeadComparison::Older),
    }
}

/// Reads the head with its declarations.
///
/// # Errors
///
/// Fails if the platform does not answer in time or holds invalid data.
pub async fn read(
    platform: &platform_client::PlatformClient,
) -> Result<change::StoredHead, failure::CallFailure> {
    let row = platform.read_row(CONFIGURATION_TABLE, HEAD_KEY).await?;
    let Some(row) = row else { return Ok(change::StoredHead::new()) };
    let mut head: types::ConfigurationHead = decode(row.value.as_bytes())?;
    let recent_changes = std::mem::take(&mut head.recent_changes);
    let document = Some(document(platform, head).await?);
    Ok(change::StoredHead { version: row.version, recent_changes, document })
}

/// Writes a planned change on condition that the head is unchanged; returns whether the store
/// committed it.
///
/// # Errors
///
/// Fails with `not-run` if nothing was sent, and with `may-have-run` if the change may have taken
/// effect.
pub async fn write(
    context: &context::NodeContext,
    planned: &change::ConfigurationChange<change::PlannedState>,
) -> Result<bool, failure::CallFailure> {
    let document = planned.document();
    let declarations = encode(&document.declarations)?;
    let mut head = types::ConfigurationHead {
        author: document.author.clone(),
        change_id: document.change_id.clone(),
        declarations: Some(document.declarations.clone()),
        object: None,
        recent_changes: planned.recent_changes().to_vec(),
        revision: document.revision,
        vms_out: document.vms_out.clone(),
        zones_out: document.zones_out.clone(),
    };
    if declarations.len() > MAX_INLINE_BYTES {
        let name = format!("{OBJECT_PREFIX}{:x}", sha2::Sha256::digest(&declarations));
        let stored = context.platform.write_object(&name, declarations.into()).await;
        stored.map_err(|failure| failure.with_verdict(types::CallVerdict::NotRun))?;
        head.declarations = None;
        head.object = Some(name.into());
    }
    let condition = match planned.version() {
        0 => types::RowPrecondition::Absent,
        version => types::RowPrecondition::Version(version),
    };
    let write = types::RowWrite {
        condition,
        key: HEAD_KEY.into(),
        table: CONFIGURATION_TABLE.into(),
        value: Some(text(encode(&head)?)),
    };
    let request = types::TransactionRequest { writes: vec![write] };
    Ok(context.platform.transact(&request).await?.committed)
}

async fn document(
    platform: &platform_client::PlatformClient,
    head: types::ConfigurationHead,
) -> Result<types::ConfigurationDocument, failure::CallFailure> {
    let declarations = match (head.declarations, head.object) {
        (Some(declarations), _) => declarations,
        (None, Some(object)) => read_declarations(platform, &object).await?,
        (None, None) => return Err(invalid("the head holds no declarations")),
    };
    Ok(types::ConfigurationDocument {
        author: head.author,
        change_id: head.change_id,
        declarations,
        revision: head.revision,
        vms_out: head.vms_out,
        zones_out: head.zones_out,
    })
}

async fn read_declarations(
    platform: &platform_client::PlatformClient,
    object: &str,
) -> Result<types::Declarations, failure::CallFailure> {
    let body = platform.read_object(object).await?;
    let body = body.ok_or_else(|| invalid(&format!("the object {object} is missing")))?;
    let digest = format!("{OBJECT_PREFIX}{:x}", sha2::Sha256::digest(&body));
    if digest != object {
        return Err(invalid(&format!("the object {object} has another digest")));
    }
    decode(&body)
}

fn decode<Message>(body: &[u8]) -> Result<Message, failure::CallFailure>
where
    Message: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| invalid(&error.to_string()))
}

fn encode<Message>(message: &Message) -> Result<Vec<u8>, failure::CallFailure>
where
    Message: serde::Serialize,
{
    serde_json::to_vec(message)
        .map_err(|error| failure::CallFailure::new(types::ProblemKind::Internal, error.to_string()))
}

fn text(body: Vec<u8>) -> ids::Text {
    String::from_utf8_lossy(&body).into()
}

fn invalid(detail: &str) -> failure::CallFailure {
    let detail = format!("the stored configuration is not valid: {detail}");
    failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
}
