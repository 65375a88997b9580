//! Configuration changes on running nodes while the store or nodes fail.

mod common;
#[path = "common/operator.rs"]
mod operator;

use comfreyspread::transport::http_message;
use comfreyspread_lab::{deployment, types};
use comfreyspread_schema::{ids, types as wire};
use rustix::process::Signal;
use std::time;

/// Maximum time until a configuration change is in force at all nodes.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Returns the current declarations with one added workspace.
fn with_workspace(deployment: &deployment::TestDeployment, name: &str) -> wire::Declarations {
    let mut declarations = deployment.declarations.clone();
    let workspace = wire::WorkspaceDeclaration { name: name.into(), weight: 1 };
    declarations.workspaces.push(workspace);
    declarations
}

/// Applies the current declarations with one added workspace through a node.
fn apply_workspace(
    deployment: &deployment::TestDeployment,
    node: usize,
    name: &str,
    extra: &[&str],
) -> (i32, String) {
    let label = format!("{}-{name}", deployment.platform_address.port());
    let file = operator::DeclarationFile::new(&label, &with_workspace(deployment, name));
    operator::run_command(deployment, node, &[&["apply", file.path()], extra].concat())
}

/// Calls a node on behalf of a workspace and returns the status.
async fn call_status(deployment: &deployment::TestDeployment, node: usize, workspace: &str) -> u16 {
    let mut call = common::pipeline_call();
    call.workspace = workspace.into();
    let address = deployment.nodes[node].caller_address;
    deployment.caller.call(address, &call).await.map_or(0, |response| response.status())
}

/// Waits until a node serves a workspace.
async fn wait_until_served(deployment: &deployment::TestDeployment, node: usize, workspace: &str) {
    let deadline = time::Instant::now() + APPLY_LIMIT;
    while call_status(deployment, node, workspace).await != 200 {
        assert!(time::Instant::now() < deadline, "node {node} does not know {workspace}");
        async_io::Timer::after(time::Duration::from_millis(50)).await;
    }
}

/// Returns the configuration head in the store.
async fn stored_head(deployment: &deployment::TestDeployment) -> wire::ConfigurationHead {
    let path = "/v1/tables/configuration/rows/head";
    let response = deployment.caller.get(deployment.platform_address, path).await.expect("a row");
    let row: wire::TableRow = serde_json::from_slice(response.body()).expect("a row");
    serde_json::from_str(&row.value).expect("a head")
}

#[test]
fn all_nodes_applied() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        let started = time::Instant::now();
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "{text}");
        assert!(started.elapsed() < APPLY_LIMIT, "in force after {:?}", started.elapsed());
        for node in 0..3 {
            assert_eq!(call_status(&deployment, node, "added").await, 200, "node {node}");
        }
        let (code, text) = operator::run_command(&deployment, 1, &["status"]);
        assert_eq!(code, 0, "{text}");
        assert_eq!(text.matches("revision 2").count(), 4, "{text}");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn stale_store() {
    common::run(async {
        let mut deployment = common::sample_deployment(3).await;
        let stale = types::StoreFaults { stale: true, ..types::StoreFaults::default() };
        deployment.set_store_faults(&stale).await.expect("faults");
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "{text}");
        deployment.nodes[2].process.kill();
        deployment.restart_node(2).expect("a node");
        let address = deployment.nodes[2].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("ready");
        for _ in 0..10 {
            for node in 0..3 {
                assert_eq!(call_status(&deployment, node, "added").await, 200, "node {node}");
            }
            async_io::Timer::after(time::Duration::from_millis(100)).await;
        }
        let (code, text) = operator::run_command(&deployment, 1, &["zone", "out", "antioquia-a"]);
        assert_eq!(code, 1, "a change based on a stale read: {text}");
        assert!(text.contains("nothing was changed"), "{text}");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn store_down() {
    common::run(async {
        let mut deployment = common::sample_deployment(3).await;
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "{text}");
        let down = types::StoreFaults { down: true, ..types::StoreFaults::default() };
        deployment.set_store_faults(&down).await.expect("faults");
        deployment.nodes[1].process.kill();
        deployment.restart_node(1).expect("a node");
        let address = deployment.nodes[1].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("ready from peers");
        assert_eq!(call_status(&deployment, 1, "added").await, 200);
        let (code, text) = operator::run_command(&deployment, 0, &["zone", "out", "antioquia-a"]);
        assert_eq!(code, 1, "{text}");
        deployment.set_store_faults(&types::StoreFaults::default()).await.expect("faults");
        let (code, text) = operator::run_command(&deployment, 0, &["zone", "out", "antioquia-a"]);
        assert_eq!(code, 0, "{text}");
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn lost_response() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        let lossy = types::StoreFaults { lose_answers: true, ..types::StoreFaults::default() };
        deployment.set_store_faults(&lossy).await.expect("faults");
        let (code, text) = apply_workspace(&deployment, 0, "added", &["--change", "change-a"]);
        assert_eq!(code, 0, "{text}");
        let (code, text) = apply_workspace(&deployment, 1, "added", &["--change", "change-a"]);
        assert_eq!(code, 0, "resent: {text}");
        let head = stored_head(&deployment).await;
        let recorded = head.recent_changes.iter().filter(|record| &*record.change_id == "change-a");
        assert_eq!((head.revision, recorded.count()), (2, 1));
        for node in 0..3 {
            assert_eq!(call_status(&deployment, node, "added").await, 200, "node {node}");
        }
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn racing_operators() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        let port = deployment.platform_address.port();
        for base in ["1", "2", "3"] {
            let start_apply = |node: usize, author: &'static str| {
                let name = format!("{author}-{base}");
                let declarations = with_workspace(&deployment, &name);
                let file = operator::DeclarationFile::new(&format!("{port}-{name}"), &declarations);
                let path = file.path().to_owned();
                let arguments = ["apply", &path, "--base", base, "--author", author];
                (operator::start_command(&deployment, node, &arguments), file)
            };
            let (one, _one) = start_apply(0, "ana");
            let (other, _other) = start_apply(1, "borut");
            let results = [operator::wait_for_exit(one), operator::wait_for_exit(other)];
            let mut codes = [results[0].0, results[1].0];
            let (loser, winner) = if codes[0] == 4 { (0, "borut") } else { (1, "ana") };
            codes.sort_unstable();
            assert_eq!(codes, [0, 4], "{results:?}");
            let name = format!("by {winner}");
            assert!(results[loser].1.contains(&name), "{}", results[loser].1);
            assert_eq!(&*stored_head(&deployment).await.author, winner);
        }
        deployment.stop().await.expect("a graceful stop");
    });
}

#[test]
fn stalled_node() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        deployment.nodes[2].process.signal(Signal::STOP);
        let (code, text) = apply_workspace(&deployment, 0, "added", &["--wait-ms", "2000"]);
        assert_eq!(code, 3, "{text}");
        let missing_address = deployment.nodes[2].peer_address.to_string();
        let is_named = text.contains(&missing_address) || text.contains(&*deployment.nodes[2].name);
        assert!(is_named, "the missing node is named: {text}");
        assert_eq!(call_status(&deployment, 1, "added").await, 200);
        deployment.nodes[2].process.signal(Signal::CONT);
        wait_until_served(&deployment, 2, "added").await;
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "{text}");
        deployment.stop().await.expect("a graceful stop");
    });
}

/// Time without heartbeats after which a node counts as failed with the default settings.
const FAILURE_TIMEOUT: time::Duration = time::Duration::from_secs(7);

#[test]
fn failed_node() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        deployment.nodes[2].process.signal(Signal::STOP);
        async_io::Timer::after(FAILURE_TIMEOUT).await;
        let (code, text) = apply_workspace(&deployment, 0, "added", &["--wait-ms", "1500"]);
        assert_eq!(code, 3, "a listed node may be serving though it is silent: {text}");
        let listed = deployment.nodes[..2].iter().map(|node| wire::VmRecord {
            address: node.peer_address,
            state: wire::VmState::Live,
            vm: node.name.clone(),
            zone: "antioquia-a".into(),
        });
        deployment.set_vms(listed.collect()).await.expect("a list");
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "a silent node whose VM is gone does not count: {text}");
        deployment.nodes[2].process.signal(Signal::CONT);
        wait_until_served(&deployment, 2, "added").await;
    });
}

#[test]
fn killed_node() {
    common::run(async {
        let mut deployment = common::sample_deployment(3).await;
        deployment.nodes[2].process.kill();
        let (code, text) = apply_workspace(&deployment, 0, "added", &[]);
        assert_eq!(code, 0, "a node that refuses connections does not count: {text}");
    });
}

#[test]
fn unreachable_node() {
    common::run(async {
        let mut deployment = common::sample_deployment(1).await;
        deployment.nodes[0].process.kill();
        let (code, text) = operator::run_command(&deployment, 0, &["zone", "list"]);
        assert_eq!(code, 5, "{text}");
        assert!(text.contains(&deployment.nodes[0].caller_address.to_string()), "{text}");
    });
}

#[test]
fn invalid_messages() {
    common::run(async {
        let deployment = common::sample_deployment(2).await;
        let peer = deployment.nodes[0].peer_address;
        let header =
            wire::PeerHeader { node: "entry-9".into(), protocol: 99, revision: 1000, start_id: 1 };
        let newer = rmp_serde::to_vec_named(&wire::RevisionReply { header }).expect("a message");
        let bodies = [newer, b"garbage".to_vec(), Vec::new(), vec![0xc1; 4096]];
        for (body, expected) in bodies.iter().zip(["protocol version 99", "", "", ""]) {
            for path in ["/peer/configuration", "/peer/revision", "/peer/status"] {
                let url = format!("http://{peer}{path}");
                let mut request = http_message::Request::new(http::Method::POST, url.as_str());
                request.set_body(body.clone());
                let response = deployment.caller.send(peer, request).await.expect("a response");
                assert_eq!(response.status(), 400, "{path}");
                let text = String::from_utf8_lossy(response.body()).into_owned();
                assert!(text.contains(expected), "{text}");
            }
        }
        assert_eq!(call_status(&deployment, 0, "medellin").await, 200);
        assert_eq!(stored_head(&deployment).await.revision, 1);
        deployment.stop().await.expect("a graceful stop");
    });
}

/// Returns how many calls the endpoints of a zone have received since `after`.
async fn zone_calls(
    deployment: &deployment::TestDeployment,
    zone: &str,
    after: time::Duration,
) -> usize {
    let endpoints = deployment.declarations.endpoints.iter();
    let names: Vec<ids::EndpointId> = endpoints
        .filter(|endpoint| &*endpoint.zone == zone)
        .map(|endpoint| endpoint.name.clone())
        .collect();
    let records = deployment.records().await.expect("records").records;
    let zone_records = records.iter().filter(|record| names.contains(&record.endpoint));
    zone_records.filter(|record| record.arrived >= after).count()
}

#[test]
fn zone_out_and_in() {
    common::run(async {
        let deployment = common::sample_deployment(3).await;
        let call_all = async || {
            for node in [0, 1, 2, 0, 1, 2] {
                assert_eq!(call_status(&deployment, node, "medellin").await, 200);
            }
        };
        call_all().await;
        assert!(zone_calls(&deployment, "antioquia-a", time::Duration::ZERO).await > 0);
        let (code, text) = operator::run_command(&deployment, 2, &["zone", "out", "antioquia-a"]);
        assert_eq!(code, 0, "{text}");
        let after = deployment.records().await.expect("records").now;
        call_all().await;
        assert_eq!(zone_calls(&deployment, "antioquia-a", after).await, 0);
        let address = deployment.nodes[0].caller_address;
        let response = deployment.caller.get(address, "/readyz").await.expect("a response");
        assert_eq!(response.status(), 503, "a node of the zone is not ready");
        let (code, text) = operator::run_command(&deployment, 0, &["zone", "in", "antioquia-a"]);
        assert_eq!(code, 0, "{text}");
        deployment.wait_until_ready(address, "/readyz").await.expect("ready again");
        call_all().await;
        assert!(zone_calls(&deployment, "antioquia-a", after).await > 0);
        deployment.stop().await.expect("a graceful stop");
    });
}
