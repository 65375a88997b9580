//! Answers that look whole and are not, and heads that are no answer: the client takes none of them.

use async_net::{TcpListener, TcpStream};
use comfreyspread::transport::{failure, http_client, http_message};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _, future};
use std::{net, time};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// More than is written until the endpoint resets the connection.
const UPLOAD_BYTES: usize = 128 * 1024 * 1024;
/// Time in which the client has read the answer and still writes.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(8);
const REPEATS: usize = 20;

/// How an endpoint ends a connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionEnd {
    /// In order, once the request has been read.
    Closed,
    /// With a reset, while the request may still be written.
    Reset,
}

async fn answer(mut stream: TcpStream, bytes: &[u8], end: ConnectionEnd) {
    let mut buffer = vec![0; 4096];
    stream.read(&mut buffer).await.expect("a head");
    stream.write_all(bytes).await.expect("the answer is taken");
    if end == ConnectionEnd::Reset {
        let read_upload = async {
            let mut buffer = vec![0; 64 * 1024];
            while stream.clone().read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        };
        let timer = async {
            async_io::Timer::after(ANSWER_TIME).await;
        };
        read_upload.or(timer).await;
        let linger = Some(time::Duration::ZERO);
        rustix::net::sockopt::set_socket_linger(&stream, linger).expect("an option");
        return;
    }
    stream.shutdown(net::Shutdown::Write).expect("the end is sent");
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Sends a request with a body to an endpoint that answers so, and returns what the client got.
fn call_endpoint(
    body_bytes: usize,
    bytes: &[u8],
    end: ConnectionEnd,
) -> Result<http_client::ClientResponse, failure::CallFailure> {
    async_io::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serve = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer(stream, bytes, end).await;
        };
        let client = http_client::HttpClient::new(1 << 20);
        let url = format!("http://{address}/");
        let mut request = http_message::Request::new(http::Method::POST, &url);
        request.set_body(vec![b'u'; body_bytes]);
        let deadline = time::Instant::now() + TIMEOUT;
        let framing = http_client::BodyFraming::Any;
        let connection = http_client::ConnectionUse::Fresh;
        let call = client.call_held(address, request, connection, framing, deadline);
        future::zip(serve, call).await.1.map(http_client::HeldResponse::release)
    })
}

/// An endpoint answers a long upload at once, without a length, sends a part of its body and resets
/// the connection while the upload is still being written. The write takes the reset, and the read
/// then ends as if the body were whole.
#[test]
fn reset_during_upload() {
    for _ in 0..REPEATS {
        let answer = b"HTTP/1.1 200 OK\r\nresponse-stamp: s\r\n\r\nonly a part";
        let result = call_endpoint(UPLOAD_BYTES, answer, ConnectionEnd::Reset);
        assert!(result.is_err(), "taken as whole: {result:?}");
    }
}

/// The same after the request was written, where the read takes the reset.
#[test]
fn reset_after_request() {
    let answer = b"HTTP/1.1 200 OK\r\nresponse-stamp: s\r\n\r\nonly a part";
    let result = call_endpoint(16, answer, ConnectionEnd::Reset);
    assert!(result.is_err(), "taken as whole: {result:?}");
}

/// An answer without a length that ends with its connection in order is whole.
#[test]
fn closed_in_order() {
    for body_bytes in [16, UPLOAD_BYTES] {
        let answer = b"HTTP/1.1 200 OK\r\nresponse-stamp: s\r\n\r\nall of it";
        let result = call_endpoint(body_bytes, answer, ConnectionEnd::Closed);
        assert_eq!(&**result.expect("a whole answer").body(), b"all of it");
    }
}

/// Statuses that are none were passed on to callers: 000, those below 100 and above 599, and words.
#[test]
fn invalid_statuses() {
    for status in ["000", "099", "600", "999", "20", "2000", "abc", "", "-20", "1e2"] {
        let answer = format!("HTTP/1.1 {status} OK\r\ncontent-length: 2\r\n\r\nok");
        let result = call_endpoint(16, answer.as_bytes(), ConnectionEnd::Closed);
        assert!(result.is_err(), "status {status}: {result:?}");
    }
}

/// Only an informational status is no answer, and one before the answer is passed over.
#[test]
fn informational_statuses() {
    let only = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    assert!(call_endpoint(16, only, ConnectionEnd::Closed).is_err());
    let followed =
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let result = call_endpoint(16, followed, ConnectionEnd::Closed);
    assert_eq!(&**result.expect("an answer").body(), b"ok");
    let switched = b"HTTP/1.1 101 Switching Protocols\r\n\r\nok";
    assert!(call_endpoint(16, switched, ConnectionEnd::Closed).is_err());
}

/// A reason may be missing. A length that is not reached, two lengths that differ and a last chunk
/// that does not come are no whole answer.
#[test]
fn lengths_and_chunks() {
    let whole = b"HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok";
    assert!(call_endpoint(16, whole, ConnectionEnd::Closed).is_ok());
    let broken: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    ];
    for bytes in broken {
        let result = call_endpoint(16, bytes, ConnectionEnd::Closed);
        assert!(result.is_err(), "{:?}: {result:?}", String::from_utf8_lossy(bytes));
    }
}

/// 204 and 304 have no body, whatever follows their head.
#[test]
fn statuses_without_body() {
    for status in ["204 No Content", "304 Not Modified"] {
        let answer = format!("HTTP/1.1 {status}\r\n\r\nno body");
        let result = call_endpoint(16, answer.as_bytes(), ConnectionEnd::Closed);
        let is_empty = result.as_ref().map_or(true, |response| response.body().is_empty());
        assert!(is_empty, "{status}: {result:?}");
    }
}
