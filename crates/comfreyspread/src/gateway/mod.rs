//! The front end of the users' platform.
//!
//! - A request: [`caller_handler`] reads it and answers, [`unary_run`] and [`stream_run`] make the attempts,
//!   [`attempt_send`] makes one, [`attempt_history`] says whether another follows, [`region_selector`]
//!   says where its stages are made, [`stage_execution`] has them made.
//! - Stages: [`piece_dispatch`] hands pieces to the node that batches their service, [`batcher`] makes
//!   the calls there.
//! - What is known: [`route_watcher`] the routes, [`endpoint_watcher`] the endpoints, both by
//!   [`table_watcher`] over [`store_client`] and [`table_exchange`]; all of it stands in [`state`].
//! - [`process`] starts, serves and stops.

pub mod admin_handler;
pub mod attempt_history;
pub mod attempt_send;
pub mod batcher;
pub mod call_plan;
pub mod caller_handler;
pub mod endpoint_watcher;
pub mod piece_dispatch;
pub mod process;
pub mod produced_chunks;
pub mod region_selector;
pub mod route_watcher;
pub mod stage_execution;
pub mod state;
pub mod store_client;
pub mod stream_run;
pub mod table_exchange;
pub mod table_watcher;
pub mod unary_run;
