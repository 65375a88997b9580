//! Operators: commands, and what a node answers to them.

pub mod command;
pub mod declaration_commands;
pub mod dump;
pub mod operator_api;
pub mod operator_client;
pub mod operator_error;
pub mod service_commands;
pub mod state_commands;
