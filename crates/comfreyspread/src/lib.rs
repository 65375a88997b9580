//! The comfreyspread node: network I/O, clocks and message encoding.
//!
//! Decisions are made in `comfreyspread-policy`; this crate executes them.
//!
//! - [`ingress`]: the native front end. [`ingress::front`] reads a request, [`ingress::plan`]
//!   resolves it, [`claims`] ensures that it runs at most once where that is required,
//!   [`ingress::pipeline`] runs its stages, [`ingress::call_run`] makes the attempts of a call and
//!   [`ingress::stream_run`] those of a streamed one, [`ingress::dispatch`] sends each to an owner.
//! - [`ownership`]: the owner's side of a call. [`ownership::owner`] serves it,
//!   [`ownership::call_slot`] waits for a slot in [`ownership::pool_table`],
//!   [`ownership::assigned_call`] sends it through [`ownership::endpoint_client`].
//! - [`gateway`]: the front end of the users' platform.
//! - [`membership`]: [`membership::peer`] exchanges messages between nodes,
//!   [`membership::heartbeat`] tracks the members, [`membership::handover`] transfers endpoints.
//! - [`configuration`]: [`configuration::head_row`] reads and writes the configuration in the store,
//!   [`configuration::distribution`] applies it, [`configuration::rollout`] waits for all nodes to
//!   confirm it.
//! - [`operations`]: the operators' commands in [`operations::command`] and the `_commands` modules,
//!   and the node's API for them in [`operations::operator_api`].
//! - [`runtime`]: the process, its threads, and its tables behind the locks of
//!   [`runtime::lock_rank`].
//! - [`transport`]: HTTP connections, streams and timers.

#[allow(clippy::all, clippy::unwrap_used, missing_docs)]
#[rustfmt::skip]
#[path = "generated/answers.rs"]
pub mod answers;
pub mod claims;
pub mod configuration;
pub mod gateway;
pub mod ingress;
pub mod membership;
pub mod operations;
pub mod ownership;
pub mod runtime;
pub mod transport;
