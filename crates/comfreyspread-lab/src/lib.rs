//! Stand-ins for what surrounds comfreyspread, and the programs that drive it; never shipped.
//!
//! The platform and the endpoints are stand-ins that record what they really received. Proofs read
//! those records, never a node's own word.

pub mod caller;
pub mod deployment;
pub mod endpoints;
pub mod network;
pub mod platform;
pub mod process;
pub mod quickstart;
pub mod relay;
pub mod serving;
pub mod socket;
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/types.rs"]
pub mod types;
