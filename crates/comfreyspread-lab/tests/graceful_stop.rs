//! A node that receives SIGTERM finishes its open streams before it exits.

mod common;

use comfreyspread::transport::{header, http_client};
use comfreyspread_lab::{caller, deployment, types};
use futures_util::future;
use rustix::process::Signal;
use std::time;

const STREAMS: usize = 100;
const ENGINE_DELAY: time::Duration = time::Duration::from_millis(1500);
const STOP_DELAY: time::Duration = time::Duration::from_millis(700);
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const EXIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

async fn slow_engines() -> deployment::TestDeployment {
    let mut declarations = common::sample_declarations();
    for pool in &mut declarations.pools {
        pool.cold_limit = 50;
        pool.warm_limit = 50;
    }
    for profile in &mut declarations.profiles {
        profile.deadline = RESPONSE_TIMEOUT;
    }
    let deployment = common::start_deployment(declarations, 2, &[]).await;
    let engines = deployment.declarations.endpoints.iter();
    for engine in engines.filter(|endpoint| &*endpoint.pool == "appraise") {
        let faults =
            types::EndpointFaults { delay: ENGINE_DELAY, ..common::no_faults(&engine.name) };
        deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
    }
    deployment
}

async fn read_stream(client: &http_client::HttpClient, node: std::net::SocketAddr) -> String {
    let mut request = caller::http_request(node, &common::pipeline_call());
    request.insert_header("accept", header::EVENT_STREAM);
    let deadline = time::Instant::now() + RESPONSE_TIMEOUT;
    let fresh = http_client::ConnectionUse::Fresh;
    let response = client.call(node, request, fresh, deadline).await.expect("a complete response");
    assert_eq!(response.status(), 200);
    String::from_utf8(response.body().to_vec()).expect("text")
}

#[test]
fn open_streams() {
    common::run(async {
        let mut deployment = slow_engines().await;
        let node = deployment.nodes[0].caller_address;
        let client = http_client::HttpClient::new(1 << 20);
        let streams = future::join_all((0..STREAMS).map(|_| read_stream(&client, node)));
        let process = &deployment.nodes[0].process;
        let stop = async {
            async_io::Timer::after(STOP_DELAY).await;
            process.signal(Signal::TERM);
        };
        let (texts, ()) = future::join(streams, stop).await;
        let complete = texts.iter().filter(|text| text.contains("event:end")).count();
        assert_eq!(complete, STREAMS);
        assert_eq!(deployment.nodes[0].process.wait(EXIT_TIMEOUT).await, Some(0));
    });
}
