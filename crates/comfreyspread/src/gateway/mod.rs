//! The front end of the users' platform.
//!
//! - A request: [`entry`] reads it and answers, [`plain_run`] and [`stream_run`] make the attempts,
//!   [`attempt_send`] makes one, [`attempt_log`] says whether another follows, [`region_choice`]
//!   says where its stages are made, [`stage_run`] has them made.
//! - Stages: [`piece_send`] hands pieces to the node that batches their service, [`batcher`] makes
//!   the calls there.
//! - What is known: [`route_follow`] the routes, [`endpoint_follow`] the endpoints, both by
//!   [`table_follow`] over [`store_client`] and [`table_peer`]; all of it stands in [`state`].
//! - [`process`] starts, serves and stops.

pub mod attempt_log;
pub mod attempt_send;
pub mod batcher;
pub mod call_plan;
pub mod endpoint_follow;
pub mod entry;
pub mod piece_send;
pub mod plain_run;
pub mod process;
pub mod produced_chunks;
pub mod ready;
pub mod region_choice;
pub mod route_follow;
pub mod stage_run;
pub mod state;
pub mod store_client;
pub mod stream_run;
pub mod table_follow;
pub mod table_peer;
