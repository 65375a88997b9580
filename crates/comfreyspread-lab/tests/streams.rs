//! Streamed responses from an engine to a caller.

mod common;

use comfreyspread::transport::{header, http_client};
use comfreyspread_lab::{caller, deployment, types};
use std::time;

const TOKENS: usize = 40;

async fn read_stream(deployment: &deployment::TestDeployment, node: usize) -> String {
    let address = deployment.nodes[node].caller_address;
    let mut request = caller::http_request(address, &common::pipeline_call());
    request.insert_header("accept", header::EVENT_STREAM);
    let client = http_client::HttpClient::new(1 << 20);
    let deadline = time::Instant::now() + time::Duration::from_secs(30);
    let fresh = http_client::ConnectionUse::Fresh;
    let response =
        client.call(address, request, fresh, deadline).await.expect("a complete response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.header("content-type"), Some(header::EVENT_STREAM));
    String::from_utf8(response.body().to_vec()).expect("text")
}

/// Checks that a stream contains every token once and in order, and an end event.
fn check_complete(text: &str) {
    let offsets: Vec<_> = (0..TOKENS).map(|offset| text.find(&format!("\"t{offset} \""))).collect();
    assert!(offsets.iter().all(Option::is_some), "{text}");
    assert!(offsets.is_sorted(), "{text}");
    assert_eq!(text.matches("event:token").count(), TOKENS);
    assert!(text.contains("event:end"), "{text}");
}

#[test]
fn complete_stream() {
    common::run(async {
        let deployment = common::sample_deployment(2).await;
        let text = read_stream(&deployment, 0).await;
        check_complete(&text);
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn error_after_stages() {
    common::run(async {
        let mut declarations = common::sample_declarations();
        declarations.endpoints.retain(|endpoint| &*endpoint.pool != "appraise");
        let deployment = common::start_deployment(declarations, 1, &[]).await;
        let address = deployment.nodes[0].caller_address;
        let mut request = caller::http_request(address, &common::pipeline_call());
        request.insert_header("accept", header::EVENT_STREAM);
        let client = http_client::HttpClient::new(1 << 20);
        let deadline = time::Instant::now() + time::Duration::from_secs(30);
        let fresh = http_client::ConnectionUse::Fresh;
        let response = client.call(address, request, fresh, deadline).await.expect("a response");
        assert_ne!(response.status(), 200);
        let records = deployment.records().await.expect("records").records;
        assert!(!records.is_empty(), "the stages before the stream ran");
        assert_eq!(response.header(header::VERDICT), Some("may-have-run"));
    });
}

#[test]
fn stream_resumed() {
    common::run(async {
        let deployment = common::sample_deployment(2).await;
        for endpoint in &deployment.declarations.endpoints {
            let faults =
                types::EndpointFaults { cut_before_token: 15, ..common::no_faults(&endpoint.name) };
            deployment.set_endpoint_faults(&faults).await.expect("the stand-in responds");
        }
        let text = read_stream(&deployment, 0).await;
        check_complete(&text);
        let records = deployment.records().await.expect("records").records;
        let streams = records.iter().filter(|record| record.endpoint.starts_with("appraise"));
        assert_eq!(streams.count(), 2, "the stream was cut once and resumed once");
    });
}
