//! Claims of requests that may run at most once.

pub mod claim_failure;
pub mod claim_guard;
pub mod claim_row;
pub mod claim_runner;
pub mod claim_table;
pub mod claim_task;
pub mod claim_write_queue;
