//! Parts of a VM's memory that a gateway node gives to what its peers send.
//!
//! What is not given away is for the program, its tables, the log and the buffers of connections.
//!
//! ```
//! use comfreyspread::runtime::memory_plan;
//!
//! let plan = memory_plan::MemoryPlan::new(260_000_000);
//! assert_eq!(plan.endpoint_responses, 32_500_000);
//! assert!(plan.total() < 260_000_000);
//! ```

/// Largest body of a request that a caller may send, and a margin, in bytes.
const LARGE_REQUEST_BYTES: u64 = 4 * 1024 * 1024 + 64 * 1024;
/// Largest response that is buffered, and a margin, in bytes.
const LARGE_RESPONSE_BYTES: u64 = 16 * 1024 * 1024 + 64 * 1024;
/// Bytes of bodies, and of unfinished heads, on an address for readiness checks, metrics and operators.
pub const ADMIN_BYTES: u64 = 1024 * 1024;
/// Bytes of responses of other nodes: two of the largest body.
const PEER_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// Addresses for callers and for other nodes.
const BODY_ADDRESSES: u64 = 2;
/// Addresses for readiness checks and for metrics.
const ADMIN_ADDRESSES: u64 = 2;

/// Memory for what peers send, in bytes. Each part holds at least one message of the largest size, so
/// that a single one is served on any VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPlan {
    /// Bodies of requests on each address.
    pub request_bodies: u64,
    /// Unfinished heads of requests on each address.
    pub request_heads: u64,
    /// Responses of endpoints: heads, bodies and events that are not passed on yet.
    pub endpoint_responses: u64,
    /// Responses of the store.
    pub store_responses: u64,
}

impl MemoryPlan {
    /// Divides the memory of a VM, in bytes.
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            request_bodies: (memory_bytes / 8).max(LARGE_REQUEST_BYTES),
            request_heads: (memory_bytes / 32).max(LARGE_REQUEST_BYTES),
            endpoint_responses: (memory_bytes / 8).max(LARGE_RESPONSE_BYTES),
            store_responses: (memory_bytes / 8).max(LARGE_RESPONSE_BYTES),
        }
    }

    /// Returns the sum of all parts, that of responses of other nodes and the addresses for readiness
    /// checks and metrics included, and the copy of one response while its blocks are joined.
    pub fn total(&self) -> u64 {
        let requests = BODY_ADDRESSES * (self.request_bodies + self.request_heads);
        let responses = self.endpoint_responses + self.store_responses + PEER_RESPONSE_BYTES;
        requests + responses + LARGE_RESPONSE_BYTES + 2 * ADMIN_ADDRESSES * ADMIN_BYTES
    }
}
