//! Answers that an endpoint writes once more on a kept connection: no other call takes them for its
//! own, and the connection is closed.

use async_net::{TcpListener, TcpStream};
use comfreyspread::{
    ownership::endpoint_client,
    runtime::{context, settings, worker},
    transport::failure,
};
use comfreyspread_policy::attempt;
use comfreyspread_schema::{settings as schema_settings, types};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use indexmap::IndexMap;
use std::{net, sync, time};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn context(pool: &worker::WorkerPool) -> context::NodeContext {
    let pairs = [
        ("NODE", "node-1"),
        ("VM", "vm-1"),
        ("ZONE", "z"),
        ("REGION", "r"),
        ("CALLER_ADDRESS", "127.0.0.1:1"),
        ("PEER_ADDRESS", "127.0.0.1:2"),
        ("PLATFORM_ADDRESS", "127.0.0.1:3"),
    ];
    let variable = |(name, value): (&str, &str)| {
        (sync::Arc::from(format!("COMFREYSPREAD_{name}")), sync::Arc::from(value))
    };
    let variables: IndexMap<_, _> = pairs.into_iter().map(variable).collect();
    let flags = <schema_settings::NodeFlags as argh::FromArgs>::from_args(&["node"], &[]);
    let settings = settings::NodeSettings::new(&flags.expect("valid flags"), &variables);
    context::NodeContext::new(settings.expect("valid settings"), pool.spawner())
}

/// Answers each request on a connection with what the request before it got.
async fn answer_late(mut stream: TcpStream, status: &'static str) {
    let mut previous = None::<String>;
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer).await
        && count > 0
    {
        let head = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        let id = head.lines().find_map(|line| line.strip_prefix("comfreyspread-request: "));
        let echo = id.expect("an id").to_owned();
        let named = previous.replace(echo.clone()).unwrap_or(echo);
        let answer = format!(
            "HTTP/1.1 {status}\r\ncomfreyspread-request: {named}\r\ncomfreyspread-attempt: 0\r\n\
             comfreyspread-verdict: not-run\r\ncontent-length: 3\r\n\r\n{named}"
        );
        stream.write_all(answer.as_bytes()).await.expect("the answer is taken");
    }
}

async fn call(
    context: &context::NodeContext,
    address: net::SocketAddr,
    id: &str,
) -> Result<String, failure::CallFailure> {
    let call = types::StageCall {
        exclusive: false,
        attempt: 0,
        excluded_endpoints: Vec::new(),
        body: Vec::new().into(),
        time_left: TIMEOUT,
        body_digest: "".into(),
        preferred_endpoint: None,
        header: context.peer_header(),
        idempotent: true,
        idempotency_key: None,
        offset: 0,
        pool: "pool".into(),
        prefix_hash: 0,
        priority: types::PriorityLevel::High,
        request: id.into(),
        streaming: false,
        target: "stage".into(),
        workspace: "workspace".into(),
    };
    let deadline = time::Instant::now() + TIMEOUT;
    let call = sync::Arc::new(call);
    let call = endpoint_client::EndpointCall { address, fencing_token: 0, call, deadline };
    let response = call.send(context, attempt::CallAttempt::new(0)).await?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

/// Makes three calls to an endpoint that answers late and returns their outcomes.
fn late_answers(status: &'static str) -> Vec<Result<String, failure::CallFailure>> {
    let pool = worker::WorkerPool::new(1).expect("threads");
    let context = context(&pool);
    let outcomes = future::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let spawner = pool.spawner();
        pool.spawner().detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawner.detach(answer_late(stream, status));
            }
        });
        let mut outcomes = Vec::new();
        for id in ["r-1", "r-2", "r-3"] {
            outcomes.push(call(&context, address, id).await);
        }
        outcomes
    });
    pool.stop();
    outcomes
}

/// After a second copy of an answer, the connection is closed: the calls after it would each get the
/// answer to the call before.
#[test]
fn repeated_answer() {
    let outcomes = late_answers("200 OK");
    assert_eq!(outcomes[0].as_deref(), Ok("r-1"));
    let failure = outcomes[1].as_ref().expect_err("an answer to another call");
    assert_eq!(failure.verdict(), types::CallVerdict::MayHaveRun);
    assert_eq!(outcomes[2].as_deref(), Ok("r-3"));
}

/// A second copy of a refusal does not say that the call which is in progress has not run.
#[test]
fn repeated_refusal() {
    let verdicts = late_answers("503 Service Unavailable").into_iter().map(|outcome| {
        let failure = outcome.expect_err("a refusal");
        failure.verdict()
    });
    use types::CallVerdict::{MayHaveRun, NotRun};
    assert_eq!(verdicts.collect::<Vec<_>>(), [NotRun, MayHaveRun, NotRun]);
}
