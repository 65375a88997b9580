//! Records and statistics of the stand-ins: calls over a limit, cancelled and resumed streams,
//! store operations.

mod common;

use comfreyspread::transport::{header, http_client, http_message};
use comfreyspread_lab::deployment;
use comfreyspread_schema::types as wire;
use futures_lite::AsyncReadExt as _;
use std::{net, path, time};

const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

async fn start_stand_ins(extra: &[&str]) -> deployment::TestDeployment {
    let program = path::PathBuf::from(env!("CARGO_BIN_EXE_comfreyspread-lab"));
    let options = deployment::DeploymentOptions {
        endpoint_arguments: extra.iter().map(|text| (*text).into()).collect(),
        ..deployment::DeploymentOptions::default()
    };
    let started = deployment::TestDeployment::with_options(
        program,
        common::sample_declarations(),
        &[],
        options,
    )
    .await;
    let deployment = started.expect("the processes start");
    let first = deployment.declarations.endpoints[0].address;
    deployment.wait_until_ready(first, "/records").await.expect("the endpoints listen");
    deployment
}

fn stage_request(address: net::SocketAddr, offset: u64) -> http_message::Request {
    let url = format!("http://{address}/v1/stages/generate");
    let mut request = http_message::Request::new(http::Method::POST, url.as_str());
    request.set_body(r#"{"request":{"marker":"m-1"}}"#);
    request.insert_header(header::REQUEST, "r-1");
    request.insert_header(header::OFFSET, offset.to_string());
    request.insert_header("accept", header::EVENT_STREAM);
    request
}

#[test]
fn overshoot_recorded() {
    common::run(async {
        let deployment = start_stand_ins(&["--call-ms", "300"]).await;
        let address = deployment.declarations.endpoints[0].address;
        let limit = deployment.declarations.pools[0].cold_limit;
        let call = || Box::pin(deployment.caller.post(address, "/v1/stages/encode", &"x"));
        let (first, second) = futures_lite::future::zip(call(), call()).await;
        assert!(first.is_ok() && second.is_ok());
        let within_limit = deployment.records().await.expect("records");
        assert!(
            within_limit.records.iter().all(|record| record.cold && record.calls_over_limit == 0)
        );
        let two = futures_lite::future::zip(call(), call());
        let ((first, second), third) = futures_lite::future::zip(two, call()).await;
        assert!(first.is_ok() && second.is_ok() && third.is_ok());
        let records = deployment.records().await.expect("records");
        let max_overshoot = records.records.iter().map(|record| record.calls_over_limit).max();
        assert_eq!(max_overshoot, Some(3 - limit));
        assert_eq!(records.dropped, 0);
    });
}

#[test]
fn cancellation_recorded() {
    common::run(async {
        let deployment = start_stand_ins(&["--token-ms", "20"]).await;
        let address = deployment.declarations.endpoints[0].address;
        let client = http_client::HttpClient::new(1 << 20);
        let deadline = time::Instant::now() + RESPONSE_TIMEOUT;
        let opened = client.call_streaming(address, stage_request(address, 7), deadline).await;
        let mut body = opened.expect("a stream").take_body();
        let mut start = [0; 64];
        body.read(&mut start).await.expect("the first tokens");
        drop(body);
        while time::Instant::now() < deadline {
            let records = deployment.records().await.expect("records").records;
            assert_eq!(records[0].offset, 7);
            assert!(!records[0].finished);
            if records[0].cancelled {
                return;
            }
            async_io::Timer::after(time::Duration::from_millis(20)).await;
        }
        panic!("the cancellation was not recorded");
    });
}

#[test]
fn record_limit() {
    common::run(async {
        let deployment = start_stand_ins(&["--record-limit", "2"]).await;
        let address = deployment.declarations.endpoints[0].address;
        for _ in 0..5 {
            deployment.caller.post(address, "/v1/stages/encode", &"x").await.expect("a response");
        }
        let records = deployment.records().await.expect("records");
        assert_eq!((records.records.len(), records.dropped), (2, 3));
    });
}

#[test]
fn operations_counted() {
    common::run(async {
        let deployment = start_stand_ins(&[]).await;
        let before = deployment.store_stats().await.expect("statistics");
        deployment.write_configuration(1, &[]).await.expect("a write");
        let key = "/v1/tables/configuration/rows/head";
        let row = deployment.caller.get(deployment.platform_address, key).await;
        let row: wire::TableRow = serde_json::from_slice(row.expect("a row").body()).expect("JSON");
        assert_eq!(row.version, 1);
        let after = deployment.store_stats().await.expect("statistics");
        assert_eq!((after.reads - before.reads, after.writes - before.writes), (1, 1));
    });
}
