//! Decisions of comfreyspread: routing, limits, retries, membership, state and recovery.
//!
//! Nothing here opens a socket, encodes a message, reads a clock or starts a thread. Each decision
//! takes the present moment and, where chance matters, a random source as arguments, and returns
//! what is to be done. The node crate carries it out. So another front end can use the same
//! decisions, and tests run them on injected time.
//!
//! - The ingress node: [`verdict`], [`attempt`], [`routing`], [`retry`], [`timing`], [`stream`],
//!   [`suspect`], [`link`].
//! - Requests that may run at most once: [`claim`], [`settlement`], [`write_group`].
//! - On the users' platform: [`route_table`], [`endpoint_directory`], [`stage_graph`] of a
//!   request, [`batch_queue`] of a stage service over [`piece_group`] and [`worker_set`],
//!   [`event_buffer`], [`repeat_budget`], [`wait_table`], [`peer_health`]; tables of the store by
//!   [`table_mirror`], [`table_news`] and [`outage_doubt`].
//! - The owner: [`schedule`] over [`queue`], [`replica`], [`lifecycle`], [`limit`], [`breaker`],
//!   [`outlier`], [`choice`], [`latency`].
//! - Members and ownership: [`membership`], [`contact`], [`rendezvous`], [`ownership`],
//!   [`ownership_life`], [`vm_list`], [`life`].
//! - Configuration: [`validation`], [`catalog`], [`change`], [`acceptance`], [`delta`], [`poller`].
//!
//! ```
//! use comfreyspread_policy::verdict;
//! use comfreyspread_schema::types::CallVerdict;
//!
//! let tracker = verdict::VerdictTracker::new().with_outcome(CallVerdict::MayHaveRun);
//! assert_eq!(tracker.verdict(), CallVerdict::MayHaveRun);
//! ```

pub mod acceptance;
pub mod attempt;
pub mod batch_outcome;
pub mod batch_queue;
pub mod batch_worker;
pub mod breaker;
pub mod catalog;
pub mod change;
pub mod choice;
pub mod claim;
pub mod comparison;
pub mod contact;
pub mod delta;
pub mod endpoint_directory;
pub mod event_buffer;
pub mod item;
pub mod latency;
pub mod life;
pub mod lifecycle;
pub mod limit;
pub mod link;
pub mod member;
pub mod membership;
pub mod outage_doubt;
pub mod outlier;
pub mod ownership;
pub mod ownership_action;
pub mod ownership_life;
pub mod peer_health;
pub mod piece_group;
pub mod poller;
pub mod queue;
pub mod rendezvous;
pub mod repeat_budget;
pub mod replica;
pub mod result_usage;
pub mod retry;
pub mod route_table;
pub mod routing;
pub mod schedule;
pub mod settlement;
pub mod stage_graph;
pub mod stream;
pub mod suspect;
pub mod table_mirror;
pub mod table_news;
pub mod timing;
pub mod validation;
pub mod verdict;
pub mod vm_list;
pub mod wait_table;
pub mod worker_set;
pub mod write_group;
