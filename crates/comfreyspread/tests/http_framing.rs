//! Handling of raw HTTP bytes: paths are kept, truncated responses are failures, and bytes of one
//! exchange never reach another.

use async_net::{TcpListener, TcpStream};
use comfreyspread::{
    runtime::worker,
    transport::{failure, http_client, http_message, http_server},
};
use comfreyspread_schema::types;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use std::{net, sync, time};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const LIMIT_BYTES: usize = 1 << 20;

/// Responds with the request's target and body.
struct EchoHandler;

impl http_server::RequestHandler for EchoHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let target = request.head().uri.path_and_query().map_or("", |target| target.as_str());
        let mut response = http_message::Response::new(http::StatusCode::OK);
        response.set_body(format!("{target} {}", String::from_utf8_lossy(request.body())));
        response
    }

    fn refuse(&self, _error: http_server::RequestError) -> http_message::Response {
        http_message::Response::new(http::StatusCode::BAD_REQUEST)
    }
}

async fn serve(pool: &worker::WorkerPool) -> net::SocketAddr {
    let limits = http_server::ServerLimits {
        head_limit: 64 * 1024,
        head_budget: 8 * 1024 * 1024,
        head_timeout: time::Duration::from_secs(10),
        body_limit: LIMIT_BYTES,
        body_budget: LIMIT_BYTES,
        body_timeout: TIMEOUT,
        connection_limit: 64,
        header_timeout: TIMEOUT,
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let handler = sync::Arc::new(EchoHandler);
    let server = http_server::HttpServer::new(address, handler, limits, pool.spawner()).await;
    let server = server.expect("a free port");
    let address = server.address().expect("an address");
    pool.spawner().detach(async move { server.serve().await });
    address
}

/// Sends raw bytes and returns the whole response.
async fn send_raw(address: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("the bytes are taken");
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.expect("the answer is read");
    String::from_utf8_lossy(&text).into_owned()
}

/// Calls a server that answers each connection with `answer` and then closes it.
async fn call_raw(
    answer: &'static [u8],
) -> Result<http_client::ClientResponse, failure::CallFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        stream.read(&mut head).await.expect("a request");
        stream.write_all(answer).await.expect("the answer is taken");
    };
    let client = http_client::HttpClient::new(LIMIT_BYTES);
    let request = http_message::Request::new(http::Method::GET, &format!("http://{address}/a"));
    let connection = http_client::ConnectionUse::Pooled;
    let call = client.call(address, request, connection, time::Instant::now() + TIMEOUT);
    future::zip(serve, call).await.1
}

#[test]
fn paths_kept() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    future::block_on(async {
        let address = serve(&pool).await;
        for path in ["/a/../b//c", "/%7Bx%7D", "/a%2Fb/./", "/x;y=1?q=%20&&"] {
            let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            let answer = send_raw(address, head.as_bytes()).await;
            assert!(answer.ends_with(&format!("\r\n\r\n{path} ")), "{answer}");
        }
    });
    pool.stop();
}

#[test]
fn conflicting_lengths() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    future::block_on(async {
        let address = serve(&pool).await;
        let lengths = "content-length: 2\r\ncontent-length: 4\r\n";
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{lengths}\r\nabcd");
        let answer = send_raw(address, text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    });
    pool.stop();
}

#[test]
fn smuggled_request() {
    let pool = worker::WorkerPool::new(1).expect("threads");
    future::block_on(async {
        let address = serve(&pool).await;
        let both = "content-length: 4\r\ntransfer-encoding: chunked\r\nconnection: close\r\n";
        let inner = "GET /inner HTTP/1.1\r\nhost: a\r\n\r\n";
        let text = format!("POST /outer HTTP/1.1\r\nhost: a\r\n{both}\r\n0\r\n\r\n{inner}");
        let answer = send_raw(address, text.as_bytes()).await;
        assert!(!answer.contains("/inner"), "{answer}");
    });
    pool.stop();
}

#[test]
fn truncated_body() {
    future::block_on(async {
        let failure = call_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").await;
        let failure = failure.expect_err("a cut answer");
        assert_eq!(failure.verdict(), types::CallVerdict::MayHaveRun);
        let chunked =
            call_raw(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
        let failure = chunked.await.expect_err("a cut answer");
        assert_eq!(failure.verdict(), types::CallVerdict::MayHaveRun);
    });
}

#[test]
fn missing_response() {
    future::block_on(async {
        for answer in [&b"not an answer\r\n\r\n"[..], b"", b"HTTP/1.1 200"] {
            let failure = call_raw(answer).await.expect_err("no answer");
            assert_eq!(failure.verdict(), types::CallVerdict::MayHaveRun);
        }
    });
}

/// A connection with extra bytes after a response is not reused: they would be read as the next
/// response.
#[test]
fn extra_bytes() {
    future::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let answers: [&[u8]; 2] = [
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\noneHTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo",
        ];
        let serve = async {
            let mut streams = Vec::new();
            for answer in answers {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut head = [0; 1024];
                stream.read(&mut head).await.expect("a request");
                stream.write_all(answer).await.expect("the answer is taken");
                streams.push(stream);
            }
            streams
        };
        let client = http_client::HttpClient::new(LIMIT_BYTES);
        let calls = async {
            let mut bodies = Vec::new();
            for _ in 0..2 {
                let url = format!("http://{address}/");
                let request = http_message::Request::new(http::Method::GET, &url);
                let connection = http_client::ConnectionUse::Pooled;
                let deadline = time::Instant::now() + TIMEOUT;
                let answer = client.call(address, request, connection, deadline).await;
                bodies.push(answer.expect("a whole answer").body().clone());
            }
            bodies
        };
        let (_streams, bodies) = future::zip(serve, calls).await;
        assert_eq!(bodies, ["one", "two"]);
    });
}
