//! Requests that may run at most once.

pub mod claim_table;
pub mod claim_writes;
pub mod claims;
