//! Configuration: reading and writing it, bringing it into force, waiting for all nodes.

pub mod declaration_files;
pub mod distribution;
pub mod head_row;
pub mod rollout;
