//! Messages, declarations and settings of comfreyspread.
//!
//! Everything under `generated` comes from the files in `schema/`; change those and run the
//! generator. Each type carries its own encoding for `serde`, so the same types serve JSON towards
//! callers and MessagePack between nodes.

#[rustfmt::skip]
#[path = "generated/ids.rs"]
pub mod ids;
pub mod millis;
pub mod setting;
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/types.rs"]
pub mod types;
