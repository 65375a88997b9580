//! The node of comfreyspread: everything that touches sockets, clocks and messages.
//!
//! Decisions are made in `comfreyspread-policy`; this crate carries them out. A request comes in at
//! [`front`] and is run stage by stage by [`pipeline`]. Each stage's call is sent by [`dispatch`],
//! through [`peer`] where another node owns the endpoint, to [`owner`], which puts it to the
//! endpoint through [`endpoint`].

pub mod body;
pub mod call_run;
pub mod caller_stream;
pub mod claim_table;
pub mod claim_writes;
pub mod claims;
pub mod command;
pub mod configuration;
pub mod context;
pub mod dispatch;
pub mod dump;
pub mod endpoint;
pub mod failure;
pub mod frames;
pub mod front;
pub mod handover;
pub mod header;
pub mod heartbeat;
pub mod http_client;
pub mod http_server;
pub mod logs;
pub mod metrics;
pub mod node;
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
pub mod rank;
pub mod settings;
pub mod slot;
pub mod stream_run;
pub mod tables;
pub mod worker;
