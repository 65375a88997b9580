//! Life cycle of a caller's request whose body has been read: received, its response begun, ended.
//!
//! Each ending is counted. A request that is dropped in one of the first two states, as by a task
//! that was cancelled or panicked, ends too, and is logged unless its caller has left. Ending a
//! request consumes it, so that it can't end twice.

use crate::{
    runtime::ending_metrics,
    transport::{connection_monitor, failure, http_body, http_message},
};
use comfreyspread_schema::{ids, types};
use futures_lite::io;
use std::{marker, pin, task, thread};

/// State of a request that is still open.
pub trait OpenState: Send + 'static {
    /// How a request ends that is dropped in this state while its caller is connected.
    const DROPPED: types::RequestEnding;
    /// How a request ends whose handling panics in this state.
    const PANICKED: types::RequestEnding;
}

/// State of a request without a response.
#[derive(Debug)]
pub struct ReceivedState;

/// State of a request whose response has begun.
#[derive(Debug)]
pub struct RespondingState;

impl OpenState for ReceivedState {
    const DROPPED: types::RequestEnding = types::RequestEnding::Unanswered;
    /// The server responds in place of the handler.
    const PANICKED: types::RequestEnding = types::RequestEnding::Failed;
}

impl OpenState for RespondingState {
    const DROPPED: types::RequestEnding = types::RequestEnding::Cut;
    const PANICKED: types::RequestEnding = types::RequestEnding::Cut;
}

/// A caller's request in the state `State`.
#[derive(Debug)]
pub struct CallerRequest<State>
where
    State: OpenState,
{
    /// None once the request has ended or gone on to another state.
    open: Option<OpenRequest>,
    state: marker::PhantomData<State>,
}

#[derive(Debug)]
struct OpenRequest {
    metrics: ending_metrics::EndingMetrics,
    connection: connection_monitor::ConnectionMonitor,
    request: ids::RequestId,
}

impl OpenRequest {
    fn end(self, ending: types::RequestEnding) {
        self.metrics.count(ending);
    }

    /// Ends the request without the answer that it should have had.
    fn close(self, ending: types::RequestEnding, reason: &str) {
        if self.connection.is_closed() {
            return self.end(types::RequestEnding::CallerGone);
        }
        log::warn!(request = self.request.as_ref(), ending = ending.to_string().as_str();
            "entry: ended without its answer. reason={reason}");
        self.end(ending);
    }
}

impl<State> CallerRequest<State>
where
    State: OpenState,
{
    fn with_open(open: Option<OpenRequest>) -> Self {
        Self { open, state: marker::PhantomData }
    }

    fn end(mut self, ending: types::RequestEnding) {
        if let Some(open) = self.open.take() {
            open.end(ending);
        }
    }
}

impl CallerRequest<ReceivedState> {
    /// Creates a request that has just been read; it has no id until one is set.
    pub fn new(
        metrics: ending_metrics::EndingMetrics,
        connection: connection_monitor::ConnectionMonitor,
    ) -> Self {
        Self::with_open(Some(OpenRequest { metrics, connection, request: "unknown".into() }))
    }

    /// Sets the id that is logged.
    pub fn set_id(&mut self, request: &ids::RequestId) {
        if let Some(open) = &mut self.open {
            open.request = request.clone();
        }
    }

    /// Ends the request with a response, or at the end of the body if that is not complete yet.
    pub fn respond(self, ending: types::RequestEnding, response: &mut http_message::Response) {
        if response.len().is_some() {
            return self.end(ending);
        }
        let body = response.take_body();
        response.set_body(CountedBody::body(body, self.begin_response()));
    }

    fn begin_response(mut self) -> CallerRequest<RespondingState> {
        CallerRequest::with_open(self.open.take())
    }
}

impl CallerRequest<RespondingState> {
    /// Ends the request whose response is complete.
    pub fn complete(self) {
        self.end(types::RequestEnding::Answered);
    }

    /// Ends the request whose response could not be completed.
    pub fn cut(mut self, error: &io::Error) {
        if let Some(open) = self.open.take() {
            open.close(types::RequestEnding::Cut, &error.to_string());
        }
    }
}

impl<State> Drop for CallerRequest<State>
where
    State: OpenState,
{
    fn drop(&mut self) {
        let Some(open) = self.open.take() else { return };
        if thread::panicking() {
            open.close(State::PANICKED, "its task panicked");
        } else {
            open.close(State::DROPPED, "its task was dropped");
        }
    }
}

/// Returns how a request ends whose caller is told of a failure.
pub fn failed_ending(failure: &failure::CallFailure) -> types::RequestEnding {
    match failure.verdict() {
        types::CallVerdict::NotRun => types::RequestEnding::Rejected,
        types::CallVerdict::MayHaveRun | types::CallVerdict::Ran => types::RequestEnding::Failed,
    }
}

/// Body of a response that ends its request.
struct CountedBody {
    body: http_body::MessageBody,
    request: Option<CallerRequest<RespondingState>>,
}

impl CountedBody {
    fn body(
        body: http_body::MessageBody,
        request: CallerRequest<RespondingState>,
    ) -> http_body::MessageBody {
        let length = body.known_length();
        http_body::MessageBody::from_source(Self { body, request: Some(request) }, length)
    }
}

impl http_body::ChunkSource for CountedBody {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        let chunk = futures_lite::ready!(pin::Pin::new(&mut self.body).poll_chunk(cx));
        let request = match chunk {
            Some(Ok(_)) => None,
            Some(Err(_)) | None => self.request.take(),
        };
        if let Some(request) = request {
            match &chunk {
                Some(Err(error)) => request.cut(error),
                _ => request.complete(),
            }
        }
        task::Poll::Ready(chunk)
    }
}
