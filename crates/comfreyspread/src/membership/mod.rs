//! Cluster membership and messages between nodes.

pub mod handover;
pub mod heartbeat;
pub mod known_nodes;
pub mod peer;
pub mod vm_poller;
