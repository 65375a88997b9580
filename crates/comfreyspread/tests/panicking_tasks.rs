//! A panic ends the task or request that met it; the process, its locks and its counters go on.

use async_net::TcpStream;
use comfreyspread::{
    runtime::{lock_rank, logging, supervisor, worker},
    transport::{http_message, http_server},
};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use http::StatusCode;
use std::{sync, time};

const BODY_LIMIT: usize = 1000;
/// Pause of a task after its first panic.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Panics on the path `/panic` while it holds a lock.
struct PanickingHandler {
    served: lock_rank::RankedLock<lock_rank::PoolRank, u32>,
}

impl http_server::RequestHandler for PanickingHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let mut served = self.served.lock();
        *served += 1;
        assert_ne!(request.path(), "/panic", "asked to panic");
        http_message::Response::new(StatusCode::OK)
    }

    fn refuse(&self, _error: http_server::RequestError) -> http_message::Response {
        http_message::Response::new(StatusCode::BAD_REQUEST)
    }
}

/// Sends a request with a body as long as all bodies together may be, and returns the answer.
async fn send(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
    let body = "b".repeat(BODY_LIMIT);
    let bytes = format!("{head}content-length: {BODY_LIMIT}\r\n\r\n{body}");
    stream.write_all(bytes.as_bytes()).await.expect("an open connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok();
    answer
}

/// A request whose handling panicked got no answer: its connection was closed.
#[test]
fn handler_panics() {
    let pool = worker::WorkerPool::new(1).expect("a thread");
    async_io::block_on(async {
        let handler = sync::Arc::new(PanickingHandler { served: lock_rank::RankedLock::new(0) });
        let limits = http_server::ServerLimits {
            head_limit: 64 * 1024,
            head_budget: 8 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(10),
            body_limit: BODY_LIMIT,
            body_budget: BODY_LIMIT,
            body_timeout: TIMEOUT,
            connection_limit: 10,
            header_timeout: TIMEOUT,
        };
        let address = ([127, 0, 0, 1], 0).into();
        let server = http_server::HttpServer::new(address, handler, limits, pool.spawner());
        let server = server.await.expect("a free port");
        let address = server.address().expect("an address");
        let closer = server.shutdown_handle();
        pool.spawner().detach(async move { server.serve().await });
        for _ in 0..3 {
            let answer = send(address, "/panic").await;
            assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
            assert!(answer.contains("connection: close\r\n"), "{answer}");
            assert!(send(address, "/").await.starts_with("HTTP/1.1 200"));
        }
        closer.wait_idle().await;
        assert_eq!(closer.connections(), 0);
    });
    pool.stop();
}

/// Lines logged by this process.
static LINES: sync::Mutex<Vec<String>> = sync::Mutex::new(Vec::new());

struct LineLogger;

impl log::Log for LineLogger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().expect("no panic").push(format!("{} {}", record.level(), record.args()));
    }

    fn flush(&self) {}
}

/// A panic was printed as bare text on another stream, and the log said nothing of it.
#[test]
fn panic_logged() {
    log::set_logger(&LineLogger).expect("no other logger");
    log::set_max_level(log::LevelFilter::Error);
    logging::log_panics();
    let pool = worker::WorkerPool::new(1).expect("a thread");
    let failed = pool.spawner().spawn(async { panic!("told to") });
    let spawner = pool.spawner();
    spawner.detach(async move {
        let () = failed.await;
    });
    async_io::block_on(pool.spawner().spawn(async {}));
    pool.stop();
    let lines = LINES.lock().expect("no panic");
    let told = lines.iter().any(|line| line.contains("ERROR") && line.contains("told to"));
    assert!(told, "{lines:?}");
}

/// A panic in a task that the process needs, such as that of the heartbeats, ended it for good.
#[test]
fn task_restarted() {
    let pool = worker::WorkerPool::new(1).expect("a thread");
    let (sender, starts) = async_channel::unbounded();
    let started = time::Instant::now();
    let mut count = 0;
    supervisor::supervise(&pool.spawner(), "panicking", move || {
        count += 1;
        let (number, sender) = (count, sender.clone());
        async move {
            sender.try_send(number).expect("an open channel");
            assert!(number > 3, "told to");
        }
    });
    let restarts = async {
        [starts.recv().await, starts.recv().await, starts.recv().await, starts.recv().await]
    };
    let timed_out = async {
        async_io::Timer::after(TIMEOUT).await;
        panic!("not started again");
    };
    let numbers = async_io::block_on(restarts.or(timed_out));
    assert_eq!(numbers, [Ok(1), Ok(2), Ok(3), Ok(4)]);
    assert!(started.elapsed() > 3 * MIN_PAUSE, "started again without a pause");
    // The task has completed: it is not started once more.
    assert!(async_io::block_on(starts.recv()).is_err());
    pool.stop();
}
