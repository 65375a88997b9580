//! Front end that serves callers on the users' platform.
//!
//! - Requests: [`caller_handler`] plans each ([`call_plan`]) and responds. [`unary_run`] and
//!   [`stream_run`] make the attempts with [`attempt_send`]; [`attempt_history`] decides on
//!   retries. [`produced_chunks`] is the body of a streamed response.
//! - Stages: [`region_selector`] selects the region, [`stage_execution`] runs the stages,
//!   [`piece_dispatch`] sends their pieces to the node that batches the service, and [`batcher`]
//!   calls the endpoints there.
//! - Endpoints: [`endpoint_notices`] records what their answers say of themselves.
//! - Tables: [`route_watcher`] and [`endpoint_watcher`] apply changes that [`table_watcher`] reads
//!   through [`store_client`] or, from other nodes, [`table_exchange`], where [`row_compression`]
//!   keeps large rows small. [`table_update`] applies what came into force. [`state`] holds the
//!   result.
//! - Placement of requests on engines: [`placement`]; [`explanation`] says where a request would go.
//! - Roll-outs of endpoint software: [`rollout`].
//! - Process: [`process`] starts, serves and stops; [`admin_handler`] serves readiness, metrics and
//!   dumps.

pub mod admin_handler;
pub mod attempt_history;
pub mod attempt_send;
pub mod batcher;
pub mod call_plan;
pub mod caller_handler;
pub mod conviction_sync;
pub mod endpoint_notices;
pub mod endpoint_watcher;
pub mod explanation;
pub mod piece_dispatch;
pub mod placement;
pub mod process;
pub mod produced_chunks;
pub mod region_selector;
pub mod rollout;
pub mod route_watcher;
pub mod row_compression;
pub mod stage_execution;
pub mod state;
pub mod store_client;
pub mod stream_reader;
pub mod stream_run;
pub mod table_exchange;
pub mod table_update;
pub mod table_watcher;
pub mod unary_run;
