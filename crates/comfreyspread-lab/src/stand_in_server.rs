//! HTTP server of a stand-in process, and helpers for its responses.

use comfreyspread::{
    ingress::front,
    runtime::worker,
    transport::{http_body, http_message, http_server},
};
use futures_lite::StreamExt as _;
use http::StatusCode;
use miette::{Context as _, IntoDiagnostic as _};
use std::{net, sync, time};

const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const CONNECTION_LIMIT: usize = 20_000;
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Starts a server for `handler` on `address`, or on a free port if its port is 0; returns the bound
/// address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start<Handler>(
    address: net::SocketAddr,
    handler: sync::Arc<Handler>,
    spawner: &worker::TaskSpawner,
) -> miette::Result<net::SocketAddr>
where
    Handler: http_server::RequestHandler,
{
    let limits = http_server::ServerLimits {
        head_limit: 64 * 1024,
        head_budget: 8 * 1024 * 1024,
        head_timeout: time::Duration::from_secs(10),
        body_limit: BODY_LIMIT_BYTES,
        body_budget: usize::MAX,
        body_timeout: READ_TIMEOUT,
        connection_limit: CONNECTION_LIMIT,
        header_timeout: READ_TIMEOUT,
    };
    let server = http_server::HttpServer::new(address, handler, limits, spawner.clone())
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot serve on {address}"))?;
    let bound_address = server.address().into_diagnostic()?;
    spawner.detach(async move { server.serve().await });
    Ok(bound_address)
}

/// Waits until the process receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub async fn wait_for_stop() -> miette::Result<()> {
    let signals = [async_signal::Signal::Int, async_signal::Signal::Term];
    let mut signals = async_signal::Signals::new(signals).into_diagnostic()?;
    signals.next().await;
    Ok(())
}

/// Returns the response to a request that could not be parsed.
pub fn bad_request() -> http_message::Response {
    http_message::Response::new(StatusCode::BAD_REQUEST)
}

/// Parses the JSON body of a request and passes it to `respond`; returns status 400 if it is
/// invalid.
pub fn with_json<Message>(
    request: &http_server::ServerRequest,
    respond: impl FnOnce(Message) -> http_message::Response,
) -> http_message::Response
where
    Message: serde::de::DeserializeOwned,
{
    match serde_json::from_slice(request.body()) {
        Ok(message) => respond(message),
        Err(error) => {
            let mut response = http_message::Response::new(StatusCode::BAD_REQUEST);
            response.set_body(error.to_string());
            response
        }
    }
}

/// Returns a JSON response with status 200.
pub fn json_response<Message>(message: &Message) -> http_message::Response
where
    Message: serde::Serialize,
{
    front::json(StatusCode::OK, message)
}

/// Returns a response whose body ends early, so that the connection closes before the response is
/// complete.
pub fn truncated_response() -> http_message::Response {
    let mut response = http_message::Response::new(StatusCode::OK);
    response.set_body(http_body::MessageBody::from_reader(futures_lite::io::empty(), Some(1)));
    response.insert_header("connection", "close");
    response
}
