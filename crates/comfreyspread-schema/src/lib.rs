//! Messages, declarations and settings of comfreyspread.
//!
//! The modules under `generated` are generated from the files in `schema/`; to change them, edit
//! those files and run the generator. The message types implement serde's traits: they are encoded
//! as JSON for callers and as MessagePack between nodes.

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
