//! Messages between nodes: HTTP with MessagePack bodies.
//!
//! Every message has a header with its sender, the protocol version and the revision of the
//! configuration in force at the sender. A message of another version, or one that cannot be
//! decoded, is refused without any effect, so the sender may count the call as not run.

use crate::{
    configuration::distribution,
    ingress::frames,
    membership::{handover, heartbeat, probe},
    operations::dump,
    ownership::owner,
    runtime::context,
    transport::{failure, header, http_client, http_message, http_server, problem},
};
use comfreyspread_schema::types;
use http::{Method, StatusCode};
use std::{net, pin, sync, time};

/// Media type of messages between nodes.
pub const PEER_MEDIA_TYPE: &str = "application/vnd.msgpack";
/// Path of a call whose response is streamed as [`types::StageFrame`]s.
pub const STREAM_PATH: &str = "/peer/stream";
/// Path of a call for a stage or service, answered by a [`types::StageReply`].
pub const CALL_PATH: &str = "/peer/call";
/// Path of a configuration request, answered by a [`types::ConfigurationReply`].
pub const CONFIGURATION_PATH: &str = "/peer/configuration";
/// Path of a revision notice, answered by a [`types::RevisionReply`].
pub const REVISION_PATH: &str = "/peer/revision";
/// Path of a status request, answered by a [`types::StatusReply`].
pub const STATUS_PATH: &str = "/peer/status";

/// A message between nodes.
pub trait PeerMessage {
    /// Returns the header of the message.
    fn header(&self) -> &types::PeerHeader;
}

macro_rules! peer_messages {
    ($($name:ident),* $(,)?) => {
        $(impl PeerMessage for types::$name {
            fn header(&self) -> &types::PeerHeader {
                &self.header
            }
        })*
    };
}

peer_messages! {
    ConfigurationReply,
    ConfigurationRequest,
    Heartbeat,
    HeartbeatReply,
    PieceReply,
    PieceRequest,
    PlacementCosts,
    PlacementNotice,
    PlacementReceipt,
    PlacementReply,
    PlacementRequest,
    ReleaseNotice,
    ReleaseRequest,
    ResultRelease,
    ResultReleaseReply,
    RevisionNotice,
    RevisionReply,
    RolloutReply,
    RolloutReport,
    StageCall,
    StageReply,
    StatusReply,
    StatusRequest,
    TableReply,
    TableRequest,
    WaitReply,
    WaitRequest,
}

/// Sends `message` to the node at `address` and waits for its reply.
///
/// # Errors
///
/// Fails with `not-run` if the message had no effect at the other node, and with `may-have-run`
/// if it may have had one.
pub async fn exchange<Message, Reply>(
    context: &context::NodeContext,
    address: net::SocketAddr,
    path: &str,
    message: &Message,
    connection: http_client::ConnectionUse,
    deadline: time::Instant,
) -> Result<Reply, failure::CallFailure>
where
    Message: serde::Serialize,
    Reply: PeerMessage + serde::de::DeserializeOwned,
{
    let request = encode_request(address, path, message)?;
    let sent = context.client.call(address, request, connection, deadline).await;
    let response = sent.map_err(|failure| failure.with_crashed(false))?;
    if response.status() != u16::from(StatusCode::OK) {
        return Err(refusal_failure(response.status(), response.header(header::VERDICT)));
    }
    let reply: Reply = rmp_serde::from_slice(response.body()).map_err(|error| {
        let detail = format!("the reply of {address} cannot be decoded: {error}");
        failure::CallFailure::new(types::ProblemKind::Internal, detail)
            .with_verdict(types::CallVerdict::MayHaveRun)
    })?;
    record_revision(context, reply.header());
    Ok(reply)
}

/// Returns the HTTP request that carries `message`.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
pub fn encode_request<Message>(
    address: net::SocketAddr,
    path: &str,
    message: &Message,
) -> Result<http_message::Request, failure::CallFailure>
where
    Message: serde::Serialize,
{
    let body = rmp_serde::to_vec_named(message).map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
    })?;
    let url = format!("http://{address}{path}");
    let mut request = http_message::Request::new(Method::POST, url.as_str());
    request.set_body(body);
    request.insert_header("content-type", PEER_MEDIA_TYPE);
    Ok(request)
}

/// Converts the refusal of another node to a failure.
pub fn refusal_failure(status: u16, verdict: Option<&str>) -> failure::CallFailure {
    let detail = format!("the other node refused the message with status {status}");
    let failure = failure::CallFailure::new(types::ProblemKind::Unavailable, detail);
    if verdict == Some("not-run") {
        return failure;
    }
    failure.with_verdict(types::CallVerdict::MayHaveRun)
}

/// Records the revision of the sender if it is newer than the one in force here.
pub fn record_revision(context: &context::NodeContext, header: &types::PeerHeader) {
    if header.revision > context.tables.catalog().revision() {
        let address = context.tables.members.lock().address_of(&header.node);
        distribution::notify_revision(context, header.revision, address);
    }
}

/// Future of a response to another node.
pub type ResponseFuture<'request> = pin::Pin<
    Box<
        dyn Future<Output = Result<http_message::Response, failure::CallFailure>> + Send + 'request,
    >,
>;

/// Serves peer messages of another front end.
pub trait PeerExtension: Send + Sync {
    /// Serves a message to `path`; `None` if the path is unknown.
    fn serve<'request>(
        &'request self,
        path: &str,
        request: &'request http_server::ServerRequest,
    ) -> Option<ResponseFuture<'request>>;
}

/// Serves the messages of other nodes.
pub struct PeerHandler {
    context: sync::Arc<context::NodeContext>,
    extension: Option<sync::Arc<dyn PeerExtension>>,
}

impl PeerHandler {
    /// Creates the handler.
    pub fn new(context: sync::Arc<context::NodeContext>) -> Self {
        Self { context, extension: None }
    }

    /// Sets the extension that serves messages to other paths.
    pub fn with_extension(self, extension: sync::Arc<dyn PeerExtension>) -> Self {
        Self { extension: Some(extension), ..self }
    }

    async fn serve(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        match (request.method(), request.path()) {
            (&Method::POST, CALL_PATH) => self.serve_call(request).await,
            (&Method::POST, STREAM_PATH) => self.serve_stream(request),
            (&Method::POST, probe::HEARTBEAT_PATH) => {
                let message = self.decode(request)?;
                encode_reply(&heartbeat::serve(&self.context, message).await)
            }
            (&Method::POST, handover::RELEASE_REQUEST_PATH) => {
                let message = self.decode(request)?;
                encode_reply(&handover::serve_request(&self.context, message))
            }
            (&Method::POST, handover::RELEASE_NOTICE_PATH) => {
                let message = self.decode(request)?;
                encode_reply(&handover::accept_notice(&self.context, message))
            }
            (&Method::POST, CONFIGURATION_PATH) => {
                let message: types::ConfigurationRequest = self.decode(request)?;
                encode_reply(&distribution::serve(&self.context, &message))
            }
            (&Method::POST, REVISION_PATH) => {
                let notice: types::RevisionNotice = self.decode(request)?;
                encode_reply(&distribution::confirm(&self.context, &notice).await)
            }
            (&Method::POST, STATUS_PATH) => {
                let _: types::StatusRequest = self.decode(request)?;
                let status = dump::node_status(&self.context);
                let header = self.context.peer_header();
                encode_reply(&types::StatusReply { header, status })
            }
            (_, path) => {
                let extension = self.extension.as_ref();
                if let Some(response) = extension.and_then(|other| other.serve(path, request)) {
                    return response.await;
                }
                let detail = format!("there is nothing at {path}");
                Err(failure::CallFailure::new(types::ProblemKind::UnknownName, detail))
            }
        }
    }

    async fn serve_call(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let call: types::StageCall = self.decode(request)?;
        let deadline = self.context.deadline(call.time_left);
        let idempotent = call.idempotent;
        let served = Box::pin(owner::serve_call(&self.context, call, deadline));
        if !idempotent {
            return encode_reply(&served.await);
        }
        let reply = request.connection_monitor().run_while_connected(served).await;
        let disconnected = || sender_disconnected().with_verdict(types::CallVerdict::MayHaveRun);
        encode_reply(&reply.ok_or_else(disconnected)?)
    }

    fn serve_stream(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<http_message::Response, failure::CallFailure> {
        let call: types::StageCall = self.decode(request)?;
        let deadline = self.context.deadline(call.time_left);
        Ok(frames::peer_response(owner::start_stream(&self.context, call, deadline)))
    }

    fn decode<Message>(
        &self,
        request: &http_server::ServerRequest,
    ) -> Result<Message, failure::CallFailure>
    where
        Message: PeerMessage + serde::de::DeserializeOwned,
    {
        decode_message(&self.context, request)
    }
}

/// Decodes the message of a request and checks its protocol version.
///
/// # Errors
///
/// Fails without any effect if the message is of another version or cannot be decoded.
pub fn decode_message<Message>(
    context: &context::NodeContext,
    request: &http_server::ServerRequest,
) -> Result<Message, failure::CallFailure>
where
    Message: PeerMessage + serde::de::DeserializeOwned,
{
    let envelope: types::RevisionReply = decode_body(request.body())?;
    let version = envelope.header.protocol;
    if version != context::PEER_PROTOCOL_VERSION {
        let node = &envelope.header.node;
        let own = context::PEER_PROTOCOL_VERSION;
        let detail = format!("{node} speaks protocol version {version}; this node speaks {own}");
        return Err(failure::CallFailure::new(types::ProblemKind::BadRequest, detail));
    }
    let message: Message = decode_body(request.body())?;
    record_revision(context, message.header());
    Ok(message)
}

fn decode_body<Message>(body: &[u8]) -> Result<Message, failure::CallFailure>
where
    Message: serde::de::DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(|error| {
        let detail = format!("the message cannot be decoded: {error}");
        failure::CallFailure::new(types::ProblemKind::BadRequest, detail)
    })
}

impl http_server::RequestHandler for PeerHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        self.serve(&request).await.unwrap_or_else(|failure| problem_response(&failure))
    }

    fn record_closed(&self, cause: http_server::CloseCause) {
        self.context.metrics.connections.record_closed(cause);
    }

    fn refuse(&self, fault: http_server::RequestError) -> http_message::Response {
        let detail = format!("the message could not be read: {fault:?}");
        problem_response(&failure::CallFailure::new(types::ProblemKind::BadRequest, detail))
    }
}

/// Returns the failure of a message whose sender disconnected before the reply.
pub fn sender_disconnected() -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::Unavailable, "the other node went away")
}

/// Returns the HTTP response that carries `reply`.
///
/// # Errors
///
/// Fails if the reply cannot be encoded.
pub fn encode_reply<Reply>(reply: &Reply) -> Result<http_message::Response, failure::CallFailure>
where
    Reply: serde::Serialize,
{
    let body = rmp_serde::to_vec_named(reply).map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
            .with_verdict(types::CallVerdict::MayHaveRun)
    })?;
    let mut response = http_message::Response::new(StatusCode::OK);
    response.set_body(body);
    response.insert_header("content-type", PEER_MEDIA_TYPE);
    Ok(response)
}

fn problem_response(failure: &failure::CallFailure) -> http_message::Response {
    log::warn!(detail = failure.detail().as_ref(); "peer: message refused");
    let status = StatusCode::try_from(problem::status(failure.problem()));
    let mut response =
        http_message::Response::new(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.set_body(failure.to_string());
    response.insert_header(header::VERDICT, failure.verdict().to_string());
    response
}
