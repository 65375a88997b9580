//! Which nodes run, and messages between them.

pub mod contact;
pub mod handover;
pub mod heartbeat;
pub mod peer;
pub mod vms;
