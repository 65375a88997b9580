//! Operators' commands, and the API of a node that serves them.

pub mod command;
pub mod declaration_commands;
pub mod dump;
pub mod explain_command;
pub mod maintenance_commands;
pub mod operator_api;
pub mod operator_client;
pub mod operator_error;
pub mod rollout_command;
pub mod state_commands;
