//! Endpoint ownership across node processes: acquisition, takeover after a failure, and handover.

mod common;

use comfreyspread_lab::deployment;
use comfreyspread_schema::{ids, types as wire};
use indexmap::IndexMap;
use rustix::process::Signal;
use std::time;

const OWNERSHIP_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const FAILURE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
const TIMING_ARGUMENTS: [&str; 6] =
    ["--heartbeat-ms", "250", "--suspect-ms", "750", "--lapse-ms", "1500"];

/// Owners of each endpoint according to the dumps of some nodes.
type OwnerMap = IndexMap<ids::EndpointId, Vec<(ids::NodeId, ids::FencingToken)>>;

async fn dump(deployment: &deployment::TestDeployment, index: usize) -> wire::NodeDump {
    let address = deployment.nodes[index].caller_address;
    let response = deployment.caller.get(address, "/operator/dump").await.expect("a dump");
    serde_json::from_slice(response.body()).expect("a valid dump")
}

async fn owners(deployment: &deployment::TestDeployment, nodes: &[usize]) -> OwnerMap {
    let mut owners = OwnerMap::new();
    for index in nodes {
        let dump = dump(deployment, *index).await;
        let owned = dump.endpoints.iter();
        for state in owned.filter(|state| state.ownership == wire::OwnershipPhase::Owned) {
            let list = owners.entry(state.endpoint.clone()).or_default();
            list.push((dump.node.clone(), state.fence));
        }
    }
    owners
}

/// Waits until every endpoint has exactly one owner among these nodes.
async fn wait_for_owners(deployment: &deployment::TestDeployment, nodes: &[usize]) -> OwnerMap {
    let deadline = time::Instant::now() + OWNERSHIP_TIMEOUT;
    loop {
        let owners = owners(deployment, nodes).await;
        let all_owned = owners.len() == deployment.declarations.endpoints.len();
        if all_owned && owners.values().all(|list| list.len() == 1) {
            return owners;
        }
        assert!(time::Instant::now() < deadline, "owners did not settle: {owners:?}");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

fn owned_by<'map>(owners: &'map OwnerMap, node: &str) -> Vec<&'map ids::EndpointId> {
    let list = owners.iter().filter(|(_, list)| list.iter().any(|(name, _)| &**name == node));
    list.map(|(endpoint, _)| endpoint).collect()
}

fn token_increased(before: &OwnerMap, after: &OwnerMap, endpoint: &ids::EndpointId) -> bool {
    after[endpoint][0].1 > before[endpoint][0].1
}

#[test]
fn owner_killed() {
    common::run(async {
        let mut deployment =
            common::start_deployment(common::sample_declarations(), 3, &TIMING_ARGUMENTS).await;
        let before = wait_for_owners(&deployment, &[0, 1, 2]).await;
        deployment.nodes[0].process.kill();
        let killed = time::Instant::now();
        let after = wait_for_owners(&deployment, &[1, 2]).await;
        let elapsed = killed.elapsed();
        println!("taken over after {elapsed:?}");
        assert!(elapsed >= FAILURE_TIMEOUT, "taken over before the failure timeout");
        let moved = owned_by(&before, "entry-1");
        assert!(!moved.is_empty(), "the killed node owned nothing");
        let call = common::pipeline_call();
        for index in [1, 2] {
            let node = deployment.nodes[index].caller_address;
            let response = deployment.caller.call(node, &call).await.expect("a complete response");
            assert_eq!(response.status(), 200);
        }
        assert!(after.values().all(|list| list[0].1 > 0));
    });
}

#[test]
fn graceful_leave() {
    common::run(async {
        let mut deployment =
            common::start_deployment(common::sample_declarations(), 3, &TIMING_ARGUMENTS).await;
        let before = wait_for_owners(&deployment, &[0, 1, 2]).await;
        deployment.nodes[0].process.signal(Signal::TERM);
        let signalled = time::Instant::now();
        let after = wait_for_owners(&deployment, &[1, 2]).await;
        let elapsed = signalled.elapsed();
        println!("handed over after {elapsed:?}");
        assert!(elapsed < FAILURE_TIMEOUT, "handed over only after {elapsed:?}");
        for endpoint in owned_by(&before, "entry-1") {
            assert!(
                token_increased(&before, &after, endpoint),
                "{endpoint} kept its fencing token"
            );
        }
        let code = deployment.nodes[0].process.wait(OWNERSHIP_TIMEOUT).await;
        assert_eq!(code, Some(0));
    });
}

#[test]
fn node_restarted() {
    common::run(async {
        let mut deployment =
            common::start_deployment(common::sample_declarations(), 3, &TIMING_ARGUMENTS).await;
        wait_for_owners(&deployment, &[0, 1, 2]).await;
        let first_start = dump(&deployment, 0).await.start_id;
        deployment.nodes[0].process.kill();
        deployment.restart_node(0).expect("the process starts");
        let address = deployment.nodes[0].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("the node becomes ready");
        wait_for_owners(&deployment, &[0, 1, 2]).await;
        let second_start = dump(&deployment, 0).await.start_id;
        assert_ne!(first_start, second_start);
        let members = dump(&deployment, 1).await.members;
        let restarted = members.iter().find(|member| &*member.record.node == "entry-1");
        assert_eq!(restarted.expect("a record").record.start_id, second_start);
    });
}

#[test]
fn owner_stalled() {
    common::run(async {
        let deployment =
            common::start_deployment(common::sample_declarations(), 3, &TIMING_ARGUMENTS).await;
        let before = wait_for_owners(&deployment, &[0, 1, 2]).await;
        let stalled = owned_by(&before, "entry-1");
        assert!(!stalled.is_empty(), "the stalled node owned nothing");
        deployment.nodes[0].process.signal(Signal::STOP);
        let during = wait_for_owners(&deployment, &[1, 2]).await;
        deployment.nodes[0].process.signal(Signal::CONT);
        for endpoint in &stalled {
            assert!(
                token_increased(&before, &during, endpoint),
                "{endpoint} kept its fencing token"
            );
        }
        let deadline = time::Instant::now() + OWNERSHIP_TIMEOUT;
        let mut after = wait_for_owners(&deployment, &[0, 1, 2]).await;
        while owned_by(&after, "entry-1").len() != stalled.len() {
            assert!(
                time::Instant::now() < deadline,
                "the resumed node did not regain its endpoints"
            );
            async_io::Timer::after(POLL_INTERVAL).await;
            after = wait_for_owners(&deployment, &[0, 1, 2]).await;
        }
        for endpoint in &stalled {
            assert!(
                token_increased(&during, &after, endpoint),
                "{endpoint} was used without a new fencing token"
            );
        }
    });
}
