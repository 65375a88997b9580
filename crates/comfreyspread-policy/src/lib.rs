//! Decisions of comfreyspread: routing, limits, retries, membership, state and recovery.
//!
//! Nothing here opens a socket, encodes a message, reads a clock or starts a thread. Each decision
//! takes the present time and, where chance matters, a random source as arguments, and returns
//! what is to be done. The node crate carries it out. So another front end can use the same
//! decisions, and tests run them on injected time.
//!
//! - The ingress node: [`verdict`], [`attempt`], [`routing`], [`retry`], [`timing`], [`stream`],
//!   [`suspect`], [`part_suspect`] over [`crash_evidence`], [`conviction_store`], [`link_budget`].
//! - Requests that may run at most once: [`claim`], [`row_finalizer`], [`write_group`].
//! - On the users' platform: [`route_table`], [`endpoint_directory`] of [`directory_endpoint`]s
//!   with their [`endpoint_intake`], [`endpoint_selection`], [`stage_graph`] of a request,
//!   [`batch_queue`] of a stage service with its [`batch_call`]s over [`batch_admission`],
//!   [`piece_group`], [`worker_set`] and [`home_zones`], [`event_buffer`],
//!   [`response_budget`], [`first_event`], [`tried_endpoints`], [`service_retry_budget`],
//!   [`wait_table`], [`peer_health`]; connections of callers by [`connection_displacement`];
//!   tables of the store by [`table_mirror`] with [`table_hold`] and [`store_position`],
//!   [`table_source`], [`table_freshness`], [`full_read_pace`] and [`outage_recovery`].
//! - The owner: [`pool_scheduler`] over [`call_queue`], [`pool_endpoint`], [`endpoint_lifecycle`],
//!   [`concurrency_limit`], [`circuit_breaker`], [`outlier`], [`endpoint_selector`], [`latency`].
//! - Members and ownership: [`membership`] with [`member_dissemination`],
//!   [`member_digest`], [`probe_ring`] and [`prober_health`], [`connectivity`], [`rendezvous`],
//!   [`ownership`], [`ownership_release`], [`ownership_status`], [`leaving_vms`], [`node_lifecycle`],
//!   [`stop_window`], [`task_restart`].
//! - Placement of requests on engines: [`engine_board`] with [`part_cache`] and [`engine_speed`],
//!   [`prompt_home`].
//! - Roll-outs of endpoint software: [`service_versions`] over [`version_exposure`], [`rollout_table`] with
//!   [`version_evidence`], [`rollout_decider`] with [`rollout_judgement`] and [`rollout_state`].
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
pub mod batch_admission;
pub mod batch_call;
pub mod batch_outcome;
pub mod batch_queue;
pub mod batch_worker;
pub mod call_queue;
pub mod catalog;
pub mod change;
pub mod circuit_breaker;
pub mod claim;
pub mod comparison;
pub mod concurrency_limit;
pub mod connection_displacement;
pub mod connectivity;
pub mod conviction_store;
pub mod crash_evidence;
pub mod declared_item;
pub mod delta;
pub mod directory_endpoint;
pub mod endpoint_directory;
pub mod endpoint_intake;
pub mod endpoint_lifecycle;
pub mod endpoint_selection;
pub mod endpoint_selector;
pub mod engine_board;
pub mod engine_speed;
pub mod event_buffer;
pub mod first_event;
pub mod full_read_pace;
pub mod home_zones;
pub mod latency;
pub mod leaving_vms;
pub mod link_budget;
pub mod member;
pub mod member_digest;
pub mod member_dissemination;
pub mod membership;
pub mod node_lifecycle;
pub mod outage_recovery;
pub mod outlier;
pub mod ownership;
pub mod ownership_action;
pub mod ownership_release;
pub mod ownership_status;
pub mod part_cache;
mod part_entry;
pub mod part_suspect;
pub mod peer_health;
pub mod piece_group;
pub mod poller;
pub mod pool_endpoint;
pub mod pool_scheduler;
pub mod probe_ring;
pub mod prober_health;
pub mod prompt_home;
pub mod recent_results;
pub mod rendezvous;
pub mod response_budget;
pub mod response_progress;
pub mod result_usage;
pub mod retry;
pub mod rollout_decider;
pub mod rollout_judgement;
pub mod rollout_state;
pub mod rollout_table;
pub mod route_table;
pub mod routing;
pub mod row_finalizer;
pub mod service_retry_budget;
pub mod service_versions;
pub mod stage_graph;
pub mod stage_order;
pub mod stop_window;
pub mod store_position;
pub mod stream;
pub mod suspect;
pub mod table_freshness;
pub mod table_hold;
pub mod table_mirror;
pub mod table_source;
pub mod task_restart;
pub mod timing;
pub mod tried_endpoints;
pub mod validation;
pub mod verdict;
pub mod version_evidence;
pub mod version_exposure;
pub mod wait_table;
pub mod worker_set;
pub mod write_group;
