//! Streamed answers on their way from an endpoint to a caller.
//!
//! Between nodes a stream is the body of an HTTP answer: frames of MessagePack, each behind its
//! length. Within a node it is a bounded channel, so a slow reader slows the endpoint instead of
//! filling memory. The last frame is always [`types::StageFrame::Finished`]; a stream that ends
//! without it was cut.

use crate::{
    ingress::frame_source,
    transport::{deadline as deadlines, failure, header, http_body, http_message, produced_body},
};
use comfreyspread_policy::stream;
use comfreyspread_schema::types;
use futures_lite::{AsyncBufRead, AsyncReadExt as _, FutureExt as _, StreamExt as _, io};
use http::StatusCode;
use std::time;

/// Frames held between two tasks of a node.
pub const CHANNEL_FRAMES: usize = 64;
const FRAME_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
const CHUNK_BYTES: usize = 16 * 1024;

/// Sending side of a stream.
pub type FrameSender = async_channel::Sender<types::StageFrame>;
/// Receiving side of a stream.
pub type FrameReceiver = async_channel::Receiver<types::StageFrame>;

/// One event of an endpoint's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// A run of tokens.
    Tokens(types::TokenRun),
    /// The explicit end.
    End(types::StreamEnd),
}

/// Reads the events of an endpoint's stream.
pub struct EndpointEventDecoder {
    decoder: async_sse::Decoder<http_body::MessageBody>,
}

impl EndpointEventDecoder {
    /// Creates a reader of the body of `response`.
    pub fn new(response: &mut http_message::Response) -> Self {
        Self { decoder: async_sse::decode(response.take_body()) }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut or holds something else; tokens before that are good.
    pub async fn next(&mut self) -> Result<EndpointEvent, failure::CallFailure> {
        loop {
            let event = self.decoder.next().await;
            let event = event.ok_or_else(|| cut("the stream ended without its end"))?;
            let event = event.map_err(|error| cut(&error.to_string()))?;
            if let async_sse::Event::Message(message) = event {
                return decode_event(&message);
            }
        }
    }
}

fn decode_event(message: &async_sse::Message) -> Result<EndpointEvent, failure::CallFailure> {
    let decoded = match message.name().as_str() {
        "token" => serde_json::from_slice(message.data()).map(EndpointEvent::Tokens),
        "end" => serde_json::from_slice(message.data()).map(EndpointEvent::End),
        name => return Err(cut(&format!("the endpoint sent an event {name:?}"))),
    };
    decoded.map_err(|error| cut(&error.to_string()))
}

fn cut(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
        .with_crashed(true)
}

/// Returns the answer of a node whose body is the frames of `source`.
pub fn peer_response(source: frame_source::FrameSource) -> http_message::Response {
    let chunks = futures_lite::stream::unfold(source, |mut source| async move {
        let first = source.next().await?;
        Some((encode_ready(&first, &mut source), source))
    });
    let chunks = sync_wrapper::SyncStream::new(Box::pin(chunks));
    let reader = futures_util::TryStreamExt::into_async_read(chunks);
    let mut response = http_message::Response::new(StatusCode::OK);
    response.set_body(http_body::MessageBody::from_reader(reader, None));
    response
}

/// Encodes a frame and those that wait behind it, so that they travel in one chunk.
fn encode_ready(
    first: &types::StageFrame,
    source: &mut frame_source::FrameSource,
) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    encode_frame(first, &mut bytes)?;
    while bytes.len() < CHUNK_BYTES
        && let Some(frame) = source.try_next()
    {
        encode_frame(&frame, &mut bytes)?;
    }
    Ok(bytes)
}

fn encode_frame(frame: &types::StageFrame, bytes: &mut Vec<u8>) -> io::Result<()> {
    let begin = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    rmp_serde::encode::write_named(bytes, frame).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - begin - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[begin..begin + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Reads one frame of another node's stream.
///
/// # Errors
///
/// Fails if the stream was cut or the frame cannot be decoded.
pub async fn read_frame<Reader>(
    reader: &mut Reader,
) -> Result<types::StageFrame, failure::CallFailure>
where
    Reader: AsyncBufRead + Unpin,
{
    let mut length = [0; LENGTH_BYTES];
    reader.read_exact(&mut length).await.map_err(|error| lost(&error.to_string()))?;
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if length > FRAME_LIMIT_BYTES {
        return Err(lost("a frame is too large"));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.map_err(|error| lost(&error.to_string()))?;
    rmp_serde::from_slice(&body).map_err(|error| lost(&error.to_string()))
}

fn lost(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
        .with_context("the stream of the other node was cut")
}

/// Sending side of a stream of events to a caller.
pub struct CallerEvents {
    sender: async_sse::Sender,
}

impl CallerEvents {
    /// Returns the answer whose body holds the events that `produce` sends.
    pub fn response<Produce, Producer>(produce: Produce) -> http_message::Response
    where
        Produce: FnOnce(Self) -> Producer,
        Producer: Future<Output = ()> + Send + 'static,
    {
        let (sender, encoder) = async_sse::encode();
        let body = produced_body::ProducedBody::new(produce(Self { sender }), encoder);
        let mut response = http_message::Response::new(StatusCode::OK);
        response.set_body(http_body::MessageBody::from_reader(io::BufReader::new(body), None));
        response.insert_header("content-type", header::EVENT_STREAM);
        response.insert_header("cache-control", "no-store");
        response
    }

    /// Sends one event and returns whether the caller is still there.
    pub async fn send<Message>(&self, name: &str, id: &str, message: &Message) -> bool
    where
        Message: serde::Serialize,
    {
        let Ok(data) = serde_json::to_string(message) else { return false };
        self.sender.send(name, &data, Some(id)).await.is_ok()
    }
}

/// Reads the events of an endpoint before a deadline.
pub struct EndpointEventReader {
    events: EndpointEventDecoder,
    timer: deadlines::DeadlineTimer,
}

impl EndpointEventReader {
    /// Creates a source over the body of `response`.
    pub fn new(response: &mut http_message::Response, deadline: time::Instant) -> Self {
        Self {
            events: EndpointEventDecoder::new(response),
            timer: deadlines::DeadlineTimer::new(deadline),
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut or the deadline has passed.
    pub async fn next(&mut self) -> Result<EndpointEvent, failure::CallFailure> {
        let late = async {
            (&mut self.timer).await;
            let detail = "the stream took too long";
            Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        };
        self.events.next().or(late).await
    }
}

/// Returns the failure of a stream whose tokens do not fit together.
pub fn invalid_stream(fault: stream::StreamError) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, fault.to_string())
        .with_verdict(types::CallVerdict::MayHaveRun)
}

/// Returns the failure of a stream that nobody receives any more.
pub fn receiver_closed() -> failure::CallFailure {
    failure::CallFailure::new(
        types::ProblemKind::Unavailable,
        "the receiver of the stream went away",
    )
    .with_verdict(types::CallVerdict::MayHaveRun)
}
