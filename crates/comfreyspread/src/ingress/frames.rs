//! Encoding of streamed answers from an endpoint to a caller.
//!
//! Between nodes a stream is the body of an HTTP response: MessagePack frames, each preceded by its
//! length. Within a node it is a bounded channel, so a slow reader slows the endpoint down instead
//! of filling memory. The last frame is always [`types::StageFrame::Finished`]; a stream that ends
//! without it is incomplete.

use crate::{
    ingress::frame_source,
    transport::{deadline as deadlines, failure, header, http_body, http_message, produced_body},
};
use comfreyspread_policy::stream;
use comfreyspread_schema::types;
use futures_lite::{AsyncBufRead, AsyncReadExt as _, FutureExt as _, StreamExt as _, io};
use http::StatusCode;
use std::time;

/// Frames buffered between two tasks of a node.
pub const CHANNEL_CAPACITY: usize = 64;
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
    /// Consecutive tokens.
    Tokens(types::TokenChunk),
    /// The end of a complete stream.
    End(types::StreamEnd),
}

/// Decodes the events of an endpoint's stream.
pub struct EndpointEventDecoder {
    decoder: async_sse::Decoder<http_body::MessageBody>,
}

impl EndpointEventDecoder {
    /// Creates a decoder of the body of `response`.
    pub fn new(response: &mut http_message::Response) -> Self {
        Self { decoder: async_sse::decode(response.take_body()) }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut short or an event is not valid; tokens before that remain valid.
    pub async fn next(&mut self) -> Result<EndpointEvent, failure::CallFailure> {
        loop {
            let event = self.decoder.next().await;
            let event = event.ok_or_else(|| endpoint_failed("the stream ended without its end"))?;
            let event = event.map_err(|error| endpoint_failed(&error.to_string()))?;
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
        name => return Err(endpoint_failed(&format!("the endpoint sent an event {name:?}"))),
    };
    decoded.map_err(|error| endpoint_failed(&error.to_string()))
}

fn endpoint_failed(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
        .with_crashed(true)
}

/// Returns the response to another node, with the frames of `source` as its body.
pub fn peer_response(source: frame_source::FrameSource) -> http_message::Response {
    let chunks = futures_lite::stream::unfold(source, |mut source| async move {
        let first = source.next().await?;
        Some((encode_buffered(&first, &mut source), source))
    });
    let chunks = sync_wrapper::SyncStream::new(Box::pin(chunks));
    let reader = futures_util::TryStreamExt::into_async_read(chunks);
    let mut response = http_message::Response::new(StatusCode::OK);
    response.set_body(http_body::MessageBody::from_reader(reader, None));
    response
}

/// Encodes a frame and those buffered behind it, so that they are sent in one chunk.
fn encode_buffered(
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
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    rmp_serde::encode::write_named(bytes, frame).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - start - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Reads one frame from another node's stream.
///
/// # Errors
///
/// Fails if the stream was cut short or the frame cannot be decoded.
pub async fn read_frame<Reader>(
    reader: &mut Reader,
) -> Result<types::StageFrame, failure::CallFailure>
where
    Reader: AsyncBufRead + Unpin,
{
    let mut length = [0; LENGTH_BYTES];
    reader.read_exact(&mut length).await.map_err(|error| peer_failed(&error.to_string()))?;
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if length > FRAME_LIMIT_BYTES {
        return Err(peer_failed("a frame is too large"));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.map_err(|error| peer_failed(&error.to_string()))?;
    rmp_serde::from_slice(&body).map_err(|error| peer_failed(&error.to_string()))
}

fn peer_failed(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
        .with_verdict(types::CallVerdict::MayHaveRun)
        .with_context("the stream of the other node was cut")
}

/// Sender of server-sent events to a caller.
pub struct CallerEventSender {
    sender: async_sse::Sender,
}

impl CallerEventSender {
    /// Returns the response whose body holds the events that `produce` sends.
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

    /// Sends one event and returns whether the caller is still connected.
    pub async fn send<Message>(&self, name: &str, id: &str, message: &Message) -> bool
    where
        Message: serde::Serialize,
    {
        let Ok(data) = serde_json::to_string(message) else { return false };
        self.sender.send(name, &data, Some(id)).await.is_ok()
    }
}

/// Reads the events of an endpoint until a deadline.
pub struct EndpointEventReader {
    events: EndpointEventDecoder,
    timer: deadlines::DeadlineTimer,
}

impl EndpointEventReader {
    /// Creates a reader of the body of `response`.
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
    /// Fails if the stream was cut short or the deadline has passed.
    pub async fn next(&mut self) -> Result<EndpointEvent, failure::CallFailure> {
        let timed_out = async {
            (&mut self.timer).await;
            let detail = "the stream took too long";
            Err(failure::CallFailure::new(types::ProblemKind::Timeout, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        };
        self.events.next().or(timed_out).await
    }
}

/// Returns the failure of a stream whose tokens are inconsistent.
pub fn invalid_stream(error: stream::StreamError) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::EndpointFailed, error.to_string())
        .with_verdict(types::CallVerdict::MayHaveRun)
}

/// Returns the failure of a stream whose receiver has disconnected.
pub fn receiver_closed() -> failure::CallFailure {
    failure::CallFailure::new(
        types::ProblemKind::Unavailable,
        "the receiver of the stream went away",
    )
    .with_verdict(types::CallVerdict::MayHaveRun)
}
