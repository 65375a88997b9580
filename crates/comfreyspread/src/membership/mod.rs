//! Which nodes run, and messages between them.

pub mod handover;
pub mod heartbeat;
pub mod known_nodes;
pub mod peer;
pub mod vm_poller;
