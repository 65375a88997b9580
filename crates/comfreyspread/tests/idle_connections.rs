//! Connections that a client keeps while no exchange is in progress.

use async_net::{TcpListener, TcpStream};
use comfreyspread::transport::{http_client, http_message};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use std::{net, time};

const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Longest time until a connection that has expired is closed, while the client is in use.
const CLOSE_LIMIT: time::Duration = time::Duration::from_millis(400);
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(20);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Answers one request on a connection.
async fn answer(stream: &mut TcpStream) {
    let mut received = [0; 4096];
    let count = stream.read(&mut received).await.expect("a request");
    assert!(count > 0, "a request");
    stream.write_all(RESPONSE).await.expect("an open connection");
}

/// Answers all requests on one connection.
async fn answer_all(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    loop {
        answer(&mut stream).await;
    }
}

async fn call(client: &http_client::HttpClient, address: net::SocketAddr) {
    let request = http_message::Request::new(http::Method::GET, &format!("http://{address}/"));
    let deadline = time::Instant::now() + CALL_TIMEOUT;
    let pooled = http_client::ConnectionUse::Pooled;
    client.call(address, request, pooled, deadline).await.expect("a response");
}

async fn listen() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Guards against a node without descriptors: connections to addresses that were no longer called,
/// as those of replaced endpoints, stayed open until the process ended.
#[test]
fn replaced_address() {
    async_io::block_on(async {
        let client = http_client::HttpClient::new(1 << 16).with_idle_timeout(IDLE_TIMEOUT);
        let (replaced, replaced_address) = listen().await;
        let (current, current_address) = listen().await;
        let (mut stream, ()) = futures_util::future::join(
            async {
                let (mut stream, _) = replaced.accept().await.expect("a connection");
                answer(&mut stream).await;
                stream
            },
            call(&client, replaced_address),
        )
        .await;
        let closed = async {
            let started = time::Instant::now();
            let count = stream.read(&mut [0]).await.expect("the end of the connection");
            assert_eq!(count, 0);
            Some(started.elapsed())
        };
        let in_use = async {
            let end = time::Instant::now() + CALL_TIMEOUT;
            while time::Instant::now() < end {
                call(&client, current_address).await;
                async_io::Timer::after(CALL_INTERVAL).await;
            }
            None
        };
        let served = async {
            answer_all(current).await;
            None
        };
        let closed_after = closed.or(in_use).or(served).await;
        assert!(closed_after.is_some_and(|after| after < CLOSE_LIMIT), "{closed_after:?}");
    });
}
