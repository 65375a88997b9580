//! The node process: settings, worker threads, shared tables behind ranked locks, logging and
//! metrics.

pub mod caller_request;
pub mod connection_metrics;
pub mod context;
pub mod crash_metrics;
pub mod drain_limit;
pub mod ending_metrics;
pub mod lock_rank;
pub mod log_writer;
pub mod logging;
pub mod memory_plan;
pub mod metrics;
pub mod node;
pub mod placement_metrics;
pub mod platform_client;
pub mod pool_metrics;
pub mod response_metrics;
pub mod rollout_metrics;
pub mod settings;
pub mod settings_metrics;
pub mod stage_metrics;
pub mod store_metrics;
pub mod supervisor;
pub mod tables;
pub mod worker;
