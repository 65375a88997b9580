//! Operators: commands, and what a node answers to them.

pub mod command;
pub mod declaration_verbs;
pub mod dump;
pub mod operator_api;
pub mod operator_client;
pub mod operator_error;
pub mod service_verbs;
pub mod state_verbs;
