//! Calls at the owner of an endpoint: queueing, assignment and sending.

pub mod assigned_call;
pub mod call_slot;
pub mod endpoint_client;
pub mod owner;
pub mod owner_candidates;
pub mod pool_table;
pub mod scheduler_sync;
