//! Stand-ins for the systems around comfreyspread, test deployments and benchmarks; never shipped.
//!
//! The stand-ins for the platform and the endpoints record the requests they receive. Tests verify
//! behaviour from these records, not from what a node reports of itself.

pub mod bench;
pub mod bench_report;
pub mod call_log;
pub mod caller;
pub mod claim_bench;
pub mod configuration_report;
pub mod deployment;
pub mod deployment_store;
pub mod endpoint_stand_in;
pub mod endpoints;
pub mod fault;
pub mod fleet;
pub mod fleet_bench;
mod fleet_endpoint;
pub mod fleet_faults;
pub mod fleet_log;
pub mod fleet_quickstart;
pub mod fleet_request;
pub mod fleet_store;
pub mod load_generator;
pub mod platform;
pub mod process;
pub mod process_usage;
pub mod quickstart;
pub mod relay;
pub mod relay_process;
pub mod replay;
pub mod replay_analysis;
pub mod replay_plot;
pub mod replay_report;
pub mod scaling_bench;
pub mod stand_in_server;
pub mod trace;
#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/types.rs"]
pub mod types;
