//! The node of comfreyspread: everything that touches sockets, clocks and messages.
//!
//! Decisions are made in `comfreyspread-policy`; this crate carries them out. A request comes in at
//! [`front`] and is run stage by stage by [`pipeline`]. Each stage's call is sent by [`dispatch`],
//! through [`peer`] where another node owns the endpoint, to [`owner`], which puts it to the
//! endpoint through [`endpoint`].

pub mod acceptance;
pub mod body;
pub mod call_run;
pub mod caller_stream;
pub mod claim_table;
pub mod claim_writes;
pub mod claims;
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
pub mod handover;
pub mod head;
pub mod header;
pub mod heartbeat;
pub mod http_client;
pub mod http_server;
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
pub mod service_verbs;
pub mod settings;
pub mod slot;
pub mod state_verbs;
pub mod stream_run;
pub mod tables;
pub mod tally;
pub mod vms;
pub mod worker;
