//! Placement of requests on model engines by one node of a region, which sees each engine's whole
//! load.
//!
//! [`placement_client`] asks that node for each attempt and tells it how requests go on;
//! [`placement_board`] answers there; [`placement_news`] keeps what is to be told.

pub mod placement_board;
pub mod placement_client;
pub mod placement_news;
