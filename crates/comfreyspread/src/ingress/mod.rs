//! Requests of the native API: parsing them, running their stages, sending calls to owners.

pub mod call_run;
pub mod caller_stream;
pub mod dispatch;
pub mod frame_source;
pub mod frames;
pub mod front;
pub mod pipeline;
pub mod plan;
pub mod stream_run;
