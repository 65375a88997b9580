//! Calls at the owner of their endpoint.

pub mod endpoint;
pub mod owner;
pub mod owners;
pub mod placement;
pub mod pool_changes;
pub mod pools;
pub mod slot;
