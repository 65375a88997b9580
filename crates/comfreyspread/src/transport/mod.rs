//! HTTP between processes: connections, messages, bodies, deadlines and failures.

pub mod activity_counter;
pub mod body;
pub mod client_connection;
pub mod connection_monitor;
pub mod deadline;
pub mod failure;
pub mod head_limit;
pub mod head_reading;
pub mod header;
pub mod http_body;
pub mod http_client;
pub mod http_message;
pub mod http_server;
mod idle_connections;
pub mod open_connections;
pub mod problem;
pub mod produced_body;
pub mod produced_items;
pub mod response_memory;
mod server_connection;
pub mod server_stream;
pub mod unfinished_requests;
