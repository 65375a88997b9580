//! Configuration: storage, distribution to the nodes and confirmation of changes.

pub mod declaration_files;
pub mod distribution;
pub mod head_row;
pub mod rollout;
