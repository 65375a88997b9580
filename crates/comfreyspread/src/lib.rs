//! The node of comfreyspread: everything that touches sockets, clocks and messages.
//!
//! Decisions are made in `comfreyspread-policy`; this crate carries them out.
//!
//! - A request: [`front`] reads it, [`plan`] resolves it, [`claims`] makes sure that it runs at most
//!   once where that is asked for, [`pipeline`] runs its stages, [`call_run`] makes the attempts at one
//!   call and [`stream_run`] those at a streamed one, [`dispatch`] sends each to an owner.
//! - At the owner: [`owner`] serves a call, [`slot`] waits for a place in [`pools`], [`placement`]
//!   sends it through [`endpoint`].
//! - Between nodes: [`peer`] carries messages, [`heartbeat`] knows the members, [`handover`] moves
//!   endpoints.
//! - Configuration: [`head`] reads and writes it in the store, [`configuration`] brings it into force,
//!   [`acceptance`] waits for all nodes, [`operator`] serves operators.
//! - The front end of the users' platform: [`gateway`].
//! - Commands: [`command`] and the `_verbs` modules.
//! - Underneath: [`node`] is the process, [`worker`] its threads, [`tables`] its shared tables behind
//!   the locks of [`rank`], [`deadline`] its timers, [`http_server`], [`http_client`] and [`platform`]
//!   its connections.

pub mod acceptance;
pub mod body;
pub mod call_run;
pub mod caller_stream;
pub mod claim_table;
pub mod claim_writes;
pub mod claims;
pub mod client_connection;
pub mod command;
pub mod configuration;
pub mod contact;
pub mod context;
pub mod deadline;
pub mod declaration_verbs;
pub mod declarations;
pub mod dispatch;
pub mod dump;
pub mod endpoint;
pub mod failure;
pub mod frame_source;
pub mod frames;
pub mod front;
pub mod gateway;
pub mod handover;
pub mod head;
pub mod header;
pub mod heartbeat;
pub mod http_body;
pub mod http_client;
pub mod http_message;
pub mod http_server;
pub mod log_writer;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod operator_client;
pub mod operator_exit;
pub mod owner;
pub mod owners;
pub mod peer;
pub mod pipeline;
pub mod placement;
pub mod plan;
pub mod platform;
pub mod pool_changes;
pub mod pool_metrics;
pub mod pools;
pub mod problem;
pub mod produced_body;
pub mod rank;
pub mod server_stream;
pub mod service_verbs;
pub mod settings;
pub mod slot;
pub mod stage_metrics;
pub mod state_verbs;
pub mod stream_run;
pub mod tables;
pub mod tally;
pub mod vms;
pub mod worker;
