//! Configuration: reading and writing it, bringing it into force, waiting for all nodes.

pub mod acceptance;
pub mod configuration;
pub mod declarations;
pub mod head;
