//! Bodies of HTTP messages: whole, produced while they are read, or on their way.

use bytes::Buf as _;
use futures_lite::{AsyncBufRead, AsyncRead, io, ready};
use hyper::body::Body as _;
use std::{fmt, pin, task};

const READ_BUFFER_BYTES: usize = 16 * 1024;

type FrameResult = Option<io::Result<hyper::body::Frame<bytes::Bytes>>>;
type BoxedSource = sync_wrapper::SyncWrapper<pin::Pin<Box<dyn ChunkSource + Send>>>;

/// Yields the chunks of a body.
pub trait ChunkSource {
    /// Returns the next chunk; none after the last.
    fn poll_chunk(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>>;
}

/// Body of a message; it can be read, or handed to the library.
pub struct MessageBody {
    ready: bytes::Bytes,
    source: Option<BoxedSource>,
    length: Option<u64>,
}

impl MessageBody {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self { ready: bytes::Bytes::new(), source: None, length: Some(0) }
    }

    /// Creates a body of chunks, of `length` bytes if that is known.
    pub fn from_source<Source>(source: Source, length: Option<u64>) -> Self
    where
        Source: ChunkSource + Send + 'static,
    {
        let source: pin::Pin<Box<dyn ChunkSource + Send>> = Box::pin(source);
        let source = Some(sync_wrapper::SyncWrapper::new(source));
        Self { ready: bytes::Bytes::new(), source, length }
    }

    /// Creates a body out of what `reader` yields, of `length` bytes if that is known.
    pub fn from_reader<Reader>(reader: Reader, length: Option<u64>) -> Self
    where
        Reader: AsyncRead + Send + Unpin + 'static,
    {
        let buffer = vec![0; READ_BUFFER_BYTES].into();
        Self::from_source(ReaderSource { reader, buffer }, length)
    }

    /// Returns the length in bytes, if it is known.
    pub fn stated_length(&self) -> Option<u64> {
        self.length
    }

    /// Reads the next chunk; none after the last.
    ///
    /// # Errors
    ///
    /// Fails if the body was cut.
    pub async fn next_chunk(&mut self) -> Option<io::Result<bytes::Bytes>> {
        std::future::poll_fn(|cx| self.next_ready(cx)).await
    }

    fn next_ready(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<bytes::Bytes>>> {
        if !self.ready.is_empty() {
            let chunk = self.ready.split_off(0);
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

macro_rules! whole_bodies {
    ($($name:ty),*) => {
        $(impl From<$name> for MessageBody {
            fn from(whole: $name) -> Self {
                let ready = bytes::Bytes::from(whole);
                let length = u64::try_from(ready.len()).ok();
                Self { ready, source: None, length }
            }
        })*
    };
}

whole_bodies! { bytes::Bytes, Vec<u8>, String, &'static str }

impl hyper::body::Body for MessageBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<FrameResult> {
        self.next_ready(cx).map(|chunk| chunk.map(|chunk| chunk.map(hyper::body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.ready.is_empty() && self.source.is_none()
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
        while body.ready.is_empty() {
            match ready!(body.next_ready(cx)) {
                Some(chunk) => body.ready = chunk?,
                None => break,
            }
        }
        task::Poll::Ready(Ok(&body.ready))
    }

    fn consume(mut self: pin::Pin<&mut Self>, count: usize) {
        self.ready.advance(count);
    }
}

impl AsyncRead for MessageBody {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let ready = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = ready.len().min(buffer.len());
        buffer[..count].copy_from_slice(&ready[..count]);
        self.consume(count);
        task::Poll::Ready(Ok(count))
    }
}

/// Chunks of what a reader yields.
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
        self.next_ready(cx)
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
