//! Bodies of HTTP messages: complete, generated while they are read, or being received.

use crate::transport::response_memory;
use bytes::Buf as _;
use futures_lite::{AsyncBufRead, AsyncRead, io, ready};
use hyper::body::Body as _;
use std::{fmt, pin, sync, task};

const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of a frame passed to `hyper`, in bytes. It copies frames into the write buffer of the
/// connection, and takes the next one while that is not full.
const MAX_FRAME_BYTES: usize = 16 * 1024;

type FrameResult = Option<io::Result<hyper::body::Frame<bytes::Bytes>>>;
type BoxedSource = sync_wrapper::SyncWrapper<pin::Pin<Box<dyn ChunkSource + Send>>>;

/// Yields the chunks of a body.
pub trait ChunkSource {
    /// Returns the next chunk, or none at the end.
    fn poll_chunk(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>>;
}

/// Body of a message; it can be read, or passed to `hyper`.
pub struct MessageBody {
    buffered: bytes::Bytes,
    source: Option<BoxedSource>,
    length: Option<u64>,
    holder: Option<sync::Arc<response_memory::ResponseHolder>>,
}

impl MessageBody {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self { buffered: bytes::Bytes::new(), source: None, length: Some(0), holder: None }
    }

    /// Creates a body from chunks; `length` is its size in bytes if known.
    pub fn from_source<Source>(source: Source, length: Option<u64>) -> Self
    where
        Source: ChunkSource + Send + 'static,
    {
        let source: pin::Pin<Box<dyn ChunkSource + Send>> = Box::pin(source);
        let source = Some(sync_wrapper::SyncWrapper::new(source));
        Self { buffered: bytes::Bytes::new(), source, length, holder: None }
    }

    /// Creates a body from a reader; `length` is its size in bytes if known.
    pub fn from_reader<Reader>(reader: Reader, length: Option<u64>) -> Self
    where
        Reader: AsyncRead + Send + Unpin + 'static,
    {
        let buffer = vec![0; READ_BUFFER_BYTES].into();
        Self::from_source(ReaderSource { reader, buffer }, length)
    }

    /// Sets where a reader charges what it keeps of the body.
    pub fn with_holder(self, holder: sync::Arc<response_memory::ResponseHolder>) -> Self {
        Self { holder: Some(holder), ..self }
    }

    /// Returns where a reader charges what it keeps of the body; none if nothing counts it.
    pub fn holder(&self) -> Option<&sync::Arc<response_memory::ResponseHolder>> {
        self.holder.as_ref()
    }

    /// Returns the length in bytes if it is known in advance.
    pub fn known_length(&self) -> Option<u64> {
        self.length
    }

    /// Reads the next chunk; returns none at the end.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut short.
    pub async fn next_chunk(&mut self) -> Option<io::Result<bytes::Bytes>> {
        std::future::poll_fn(|cx| self.poll_next_chunk(cx)).await
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        if !self.buffered.is_empty() {
            let chunk = self.buffered.split_off(0);
            return task::Poll::Ready(Some(Ok(chunk)));
        }
        let Some(source) = &mut self.source else { return task::Poll::Ready(None) };
        let chunk = ready!(source.get_mut().as_mut().poll_chunk(cx));
        if chunk.is_none() {
            self.source = None;
        }
        task::Poll::Ready(chunk)
    }
}

impl fmt::Debug for MessageBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("MessageBody").field("length", &self.length).finish()
    }
}

macro_rules! buffered_bodies {
    ($($name:ty),*) => {
        $(impl From<$name> for MessageBody {
            fn from(value: $name) -> Self {
                let buffered = bytes::Bytes::from(value);
                let length = u64::try_from(buffered.len()).ok();
                Self { buffered, source: None, length, holder: None }
            }
        })*
    };
}

buffered_bodies! { bytes::Bytes, Vec<u8>, String, &'static str }

impl hyper::body::Body for MessageBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<FrameResult> {
        let chunk = ready!(self.poll_next_chunk(cx));
        task::Poll::Ready(chunk.map(|chunk| {
            let mut bytes = chunk?;
            if bytes.len() > MAX_FRAME_BYTES {
                self.buffered = bytes.split_off(MAX_FRAME_BYTES);
            }
            Ok(hyper::body::Frame::data(bytes))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.source.is_none()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.length.map_or_else(hyper::body::SizeHint::new, hyper::body::SizeHint::with_exact)
    }
}

impl AsyncBufRead for MessageBody {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        while body.buffered.is_empty() {
            match ready!(body.poll_next_chunk(cx)) {
                Some(chunk) => body.buffered = chunk?,
                None => break,
            }
        }
        task::Poll::Ready(Ok(&body.buffered))
    }

    fn consume(mut self: pin::Pin<&mut Self>, count: usize) {
        self.buffered.advance(count);
    }
}

impl AsyncRead for MessageBody {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let buffered = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = buffered.len().min(buffer.len());
        buffer[..count].copy_from_slice(&buffered[..count]);
        self.consume(count);
        task::Poll::Ready(Ok(count))
    }
}

/// Reads a reader in chunks.
struct ReaderSource<Reader> {
    reader: Reader,
    buffer: Box<[u8]>,
}

impl<Reader> ChunkSource for ReaderSource<Reader>
where
    Reader: AsyncRead + Unpin,
{
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        let source = &mut *self;
        let count = ready!(pin::Pin::new(&mut source.reader).poll_read(cx, &mut source.buffer));
        task::Poll::Ready(match count {
            Ok(0) => None,
            Ok(count) => Some(Ok(bytes::Bytes::copy_from_slice(&source.buffer[..count]))),
            Err(error) => Some(Err(error)),
        })
    }
}

impl ChunkSource for MessageBody {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        self.poll_next_chunk(cx)
    }
}

impl ChunkSource for hyper::body::Incoming {
    fn poll_chunk(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        loop {
            match ready!(self.as_mut().poll_frame(cx)) {
                None => return task::Poll::Ready(None),
                Some(Err(error)) => return task::Poll::Ready(Some(Err(io::Error::other(error)))),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return task::Poll::Ready(Some(Ok(chunk)));
                    }
                }
            }
        }
    }
}
