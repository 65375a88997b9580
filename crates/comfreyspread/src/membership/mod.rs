//! Cluster membership and messages between nodes.

pub mod crash_notice;
pub mod handover;
pub mod heartbeat;
pub mod heartbeat_message;
pub mod known_nodes;
pub mod peer;
pub mod probe;
pub mod seed_contact;
pub mod vm_poller;
