//! Names and values of HTTP headers exchanged with callers and endpoints.

/// Idempotency key of a caller's request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Workspace of a request.
pub const WORKSPACE: &str = "comfreyspread-workspace";
/// Profile of a request.
pub const PROFILE: &str = "comfreyspread-profile";
/// Whether a request may have run.
pub const VERDICT: &str = "comfreyspread-verdict";
/// Identifier of a request; endpoints echo it.
pub const REQUEST: &str = "comfreyspread-request";
/// Number of an attempt; endpoints echo it.
pub const ATTEMPT: &str = "comfreyspread-attempt";
/// Fencing token of the sender's ownership.
pub const FENCING_TOKEN: &str = "comfreyspread-fence";
/// Time left for a call, in milliseconds.
pub const BUDGET_MS: &str = "comfreyspread-budget-ms";
/// Priority of a call.
pub const PRIORITY: &str = "comfreyspread-priority";
/// Number of tokens of a resumed stream that were already received.
pub const OFFSET: &str = "comfreyspread-offset";
/// Hash of a prompt prefix.
pub const PREFIX: &str = "comfreyspread-prefix";
/// Process start id of an endpoint; it changes when the endpoint restarts or loses its caches.
pub const ENGINE_START: &str = "comfreyspread-engine-start";
/// Whether an endpoint reports itself in cold start.
pub const ENGINE_COLD: &str = "comfreyspread-engine-cold";
/// Whether an endpoint reports that it is leaving.
pub const ENGINE_LEAVING: &str = "comfreyspread-engine-leaving";
/// Era of the platform's table service, in its answers.
pub const TABLE_ERA: &str = "comfreyspread-table-era";
/// Media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Media type of JSON.
pub const JSON: &str = "application/json";
/// Name of the sender of a request.
pub const USER_AGENT: &str = "user-agent";
/// Prefix of the node's name in the `user-agent` header.
pub const USER_AGENT_PREFIX: &str = "comfreyspread/";
