//! Names of the HTTP headers towards callers and endpoints.

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
/// Fencing number of the sender's ownership.
pub const FENCING_TOKEN: &str = "comfreyspread-fence";
/// Time left for a call, in milliseconds.
pub const BUDGET_MS: &str = "comfreyspread-budget-ms";
/// Priority of a call.
pub const PRIORITY: &str = "comfreyspread-priority";
/// Tokens already received of a resumed stream.
pub const OFFSET: &str = "comfreyspread-offset";
/// Hash of a prompt prefix.
pub const PREFIX: &str = "comfreyspread-prefix";
/// Start id of an endpoint; it changes when the endpoint restarts or loses its caches.
pub const ENGINE_START: &str = "comfreyspread-engine-start";
/// Whether an endpoint reports itself in cold start.
pub const ENGINE_COLD: &str = "comfreyspread-engine-cold";
/// Whether an endpoint reports that it is leaving.
pub const ENGINE_LEAVING: &str = "comfreyspread-engine-leaving";
/// Media type of a streamed answer.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Media type of JSON.
pub const JSON: &str = "application/json";
/// Name of the sender of a request.
pub const USER_AGENT: &str = "user-agent";
/// What stands before the name of a node in the name of a sender.
pub const USER_AGENT_PREFIX: &str = "comfreyspread/";
