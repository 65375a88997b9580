//! Stand-ins for what surrounds comfreyspread, and the programs that drive it; never shipped.
//!
//! The platform and the endpoints are stand-ins that record what they really received. Proofs read
//! those records, never a node's own word.

pub mod bench;
pub mod bench_report;
pub mod call_log;
pub mod caller;
pub mod claim_bench;
pub mod configuration_report;
pub mod deployment;
pub mod endpoints;
pub mod fault;
pub mod fleet;
pub mod fleet_bench;
pub mod fleet_request;
pub mod fleet_store;
pub mod fleet_tour;
pub mod load_generator;
pub mod network;
pub mod platform;
pub mod plot;
pub mod process;
pub mod quickstart;
pub mod relay;
pub mod replay;
pub mod report;
pub mod serving;
pub mod slopes;
pub mod stand_in;
pub mod store_control;
pub mod tally;
pub mod trace;
pub mod usage;
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/types.rs"]
pub mod types;
