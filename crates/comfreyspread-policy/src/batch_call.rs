//! Calls of a batching queue to the endpoints of its stage service.

use crate::piece_group;
use comfreyspread_schema::{ids, types};
use std::{net, time};

/// Number of a call within its queue.
pub type CallNumber = u64;

/// A call that has been sent and has not ended.
#[derive(Debug)]
pub struct RunningCall {
    /// Endpoint that was called.
    pub endpoint: ids::EndpointId,
    /// When the call was sent.
    pub started: time::Instant,
    /// Expected time of the call.
    pub expected: time::Duration,
    /// Pieces in the call: the group, and the piece's index in it.
    pub pieces: Vec<(piece_group::GroupNumber, usize)>,
    /// Size of the call's results, in bytes.
    pub bytes: u64,
}

impl RunningCall {
    /// Returns the mean size of the call's results in bytes.
    pub fn piece_bytes(&self) -> u64 {
        self.bytes / u64::try_from(self.pieces.len()).unwrap_or(1).max(1)
    }
}

/// A call to be sent now.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Number within the queue.
    pub number: CallNumber,
    /// Endpoint to call.
    pub endpoint: ids::EndpointId,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Pieces in the call.
    pub tasks: Vec<types::PieceTask>,
    /// Time after which the call fails.
    pub timeout: time::Duration,
}

/// Returns the expected time of a call with `pieces` pieces at an endpoint with `capacity`.
pub fn call_time(capacity: &types::StageCapacity, pieces: u32) -> time::Duration {
    time::Duration::from_micros(capacity.call_time_us)
        + time::Duration::from_micros(capacity.piece_time_us) * pieces
}
