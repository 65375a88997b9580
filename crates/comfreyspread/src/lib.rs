//! The node of comfreyspread: everything that touches sockets, clocks and messages.
//!
//! Decisions are made in `comfreyspread-policy`; this crate carries them out.
//!
//! - [`ingress`]: a native request. [`ingress::front`] reads it, [`ingress::plan`] resolves it,
//!   [`claims`] makes sure that it runs at most once where that is asked for,
//!   [`ingress::pipeline`] runs its stages, [`ingress::call_run`] makes the attempts at one call and
//!   [`ingress::stream_run`] those at a streamed one, [`ingress::dispatch`] sends each to an owner.
//! - [`ownership`]: at the owner [`ownership::owner`] serves a call, [`ownership::call_slot`] waits
//!   for a place in [`ownership::pool_table`], [`ownership::assigned_call`] sends it through
//!   [`ownership::endpoint_client`].
//! - [`gateway`]: the front end of the users' platform.
//! - [`membership`]: [`membership::peer`] carries messages between nodes,
//!   [`membership::heartbeat`] knows the members, [`membership::handover`] moves endpoints.
//! - [`configuration`]: [`configuration::head_row`] reads and writes the configuration in the
//!   store, [`configuration::distribution`] brings it into force, [`configuration::rollout`] waits
//!   for all nodes.
//! - [`operations`]: [`operations::command`] and the `_verbs` modules, [`operations::operator`] at
//!   the node.
//! - Underneath: [`runtime`] is the process, its threads and its tables behind the locks of
//!   [`runtime::rank`]; [`transport`] is its connections and timers.

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
