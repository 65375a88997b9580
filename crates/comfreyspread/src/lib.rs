//! The node of comfreyspread: everything that touches sockets, clocks and messages.
//!
//! Decisions are made in `comfreyspread-policy`; this crate carries them out. A request comes in at
//! [`front`], is run stage by stage by [`pipeline`], and each stage's call is sent by [`dispatch`]
//! through the client of [`endpoint`].

pub mod command;
pub mod configuration;
pub mod context;
pub mod dispatch;
pub mod dump;
pub mod endpoint;
pub mod failure;
pub mod front;
pub mod header;
pub mod http_client;
pub mod http_server;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod pipeline;
pub mod platform;
pub mod problem;
pub mod rank;
pub mod settings;
pub mod tables;
pub mod worker;
