//! Every request whose body was read is counted by how it ended, also one whose task ends early.

use async_net::{TcpListener, TcpStream};
use comfreyspread::{
    runtime::{caller_request, ending_metrics},
    transport::{connection_monitor, http_body, http_message},
};
use comfreyspread_schema::types;
use futures_lite::{AsyncWriteExt as _, io};
use http::StatusCode;
use prometheus_client::{encoding::text, registry};
use std::{panic, pin, task, time};

/// A received request, its caller, and what counts it.
struct TestRequest {
    received: caller_request::CallerRequest<caller_request::ReceivedState>,
    caller: TcpStream,
    registry: registry::Registry,
}

impl TestRequest {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let caller = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut registry = registry::Registry::default();
        let metrics = ending_metrics::EndingMetrics::new(&mut registry);
        let connection = connection_monitor::ConnectionMonitor::new(stream);
        Self { received: caller_request::CallerRequest::new(metrics, connection), caller, registry }
    }
}

/// Returns the endings counted, each with its number.
fn endings(registry: &registry::Registry) -> Vec<String> {
    let mut out = String::new();
    text::encode(&mut out, registry).expect("a string takes all");
    let counted = out.lines().filter(|line| line.starts_with("requests_ended_total"));
    counted.filter(|line| !line.ends_with(" 0")).map(str::to_owned).collect()
}

fn count_of(ending: types::RequestEnding) -> Vec<String> {
    vec![format!("requests_ended_total{{ending=\"{ending}\"}} 1")]
}

/// Ends a request by `end` and checks how it is counted.
fn check_ending<End>(end: End, expected: types::RequestEnding)
where
    End: FnOnce(caller_request::CallerRequest<caller_request::ReceivedState>),
{
    async_io::block_on(async {
        let TestRequest { received, caller, registry } = TestRequest::new().await;
        end(received);
        assert_eq!(endings(&registry), count_of(expected));
        drop(caller);
    });
}

/// Yields one chunk and then what it was created with.
struct ShortSource {
    chunks: Vec<Option<io::Result<bytes::Bytes>>>,
}

impl http_body::ChunkSource for ShortSource {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        self.chunks.pop().map_or(task::Poll::Pending, task::Poll::Ready)
    }
}

/// Returns a response whose body is one chunk, followed by `last`; it does not end without.
fn streamed(last: Option<Option<io::Result<bytes::Bytes>>>) -> http_message::Response {
    let first = Some(Ok(bytes::Bytes::from_static(b"event")));
    let chunks = last.into_iter().chain([first]).collect();
    let mut response = http_message::Response::new(StatusCode::OK);
    response.set_body(http_body::MessageBody::from_source(ShortSource { chunks }, None));
    response
}

#[test]
fn whole_responses() {
    let answered = types::RequestEnding::Answered;
    let mut response = http_message::Response::new(StatusCode::OK);
    check_ending(|received| received.respond(answered, &mut response), answered);
    let rejected = types::RequestEnding::Rejected;
    check_ending(|received| received.respond(rejected, &mut response), rejected);
}

/// A request whose task was cancelled or panicked left no trace. To one that panicked, the server
/// responds.
#[test]
fn dropped_unanswered() {
    check_ending(drop, types::RequestEnding::Unanswered);
    let panicked = |received| {
        let task = panic::AssertUnwindSafe(|| {
            let _received: caller_request::CallerRequest<caller_request::ReceivedState> = received;
            panic!("told to");
        });
        panic::catch_unwind(task).expect_err("a panic");
    };
    check_ending(panicked, types::RequestEnding::Failed);
}

/// A streamed response counted as answered once it had begun, however it ended.
#[test]
fn streams_cut() {
    async_io::block_on(async {
        let broken = Some(Some(Err(io::ErrorKind::TimedOut.into())));
        for (last, expected) in [
            (Some(None), types::RequestEnding::Answered),
            (broken, types::RequestEnding::Cut),
            (None, types::RequestEnding::Cut),
        ] {
            let TestRequest { received, caller, registry } = TestRequest::new().await;
            let mut response = streamed(last);
            received.respond(types::RequestEnding::Answered, &mut response);
            let mut body = response.take_body();
            body.next_chunk().await.expect("a chunk").expect("bytes");
            assert_eq!(endings(&registry), Vec::<String>::new(), "it has not ended");
            futures_lite::future::poll_once(body.next_chunk()).await;
            drop(body);
            assert_eq!(endings(&registry), count_of(expected));
            drop(caller);
        }
    });
}

#[test]
fn caller_gone() {
    async_io::block_on(async {
        let TestRequest { received, mut caller, registry } = TestRequest::new().await;
        caller.close().await.expect("an open connection");
        drop(caller);
        async_io::Timer::after(time::Duration::from_millis(50)).await;
        drop(received);
        assert_eq!(endings(&registry), count_of(types::RequestEnding::CallerGone));
    });
}
