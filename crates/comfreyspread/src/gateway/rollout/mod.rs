//! Roll-outs of endpoint software: the nodes divide the requests, count the answers of both versions,
//! and one of them decides.
//!
//! - [`rollout_orders`] takes up the operator's orders, and [`evidence`] counts answers.
//! - [`decision_task`] reports to the node that decides, or decides, with an [`active_decider`] and
//!   through [`rollout_store`]. [`report_exchange`] has the messages.
//! - [`rollout_view`] shows the roll-outs to operators.

pub mod active_decider;
pub mod decision_task;
pub mod evidence;
pub mod report_exchange;
pub mod rollout_orders;
pub mod rollout_store;
pub mod rollout_view;
