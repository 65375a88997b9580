//! Ownership of endpoints across separate node processes: taken up, taken over, handed over.

mod common;

use comfreyspread_lab::deployment;
use comfreyspread_schema::{ids, types as wire};
use indexmap::IndexMap;
use rustix::process::Signal;
use std::time;

const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(50);
const LAPSE: time::Duration = time::Duration::from_millis(1500);
const TIMES: [&str; 6] = ["--heartbeat-ms", "250", "--suspect-ms", "750", "--lapse-ms", "1500"];

/// Owners of each endpoint by the dumps of the nodes named.
type OwnerMap = IndexMap<ids::EndpointId, Vec<(ids::NodeId, ids::FencingToken)>>;

async fn dump(deployment: &deployment::TestDeployment, index: usize) -> wire::NodeDump {
    let address = deployment.nodes[index].caller_address;
    let answer = deployment.caller.get(address, "/operator/dump").await.expect("a dump");
    serde_json::from_slice(answer.body()).expect("a valid dump")
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

/// Waits until every endpoint has exactly one owner among the nodes given.
async fn settled(deployment: &deployment::TestDeployment, nodes: &[usize]) -> OwnerMap {
    let deadline = time::Instant::now() + SETTLE_LIMIT;
    loop {
        let owners = owners(deployment, nodes).await;
        let whole = owners.len() == deployment.declarations.endpoints.len();
        if whole && owners.values().all(|list| list.len() == 1) {
            return owners;
        }
        assert!(time::Instant::now() < deadline, "owners did not settle: {owners:?}");
        async_io::Timer::after(POLL).await;
    }
}

fn owned_by<'map>(owners: &'map OwnerMap, node: &str) -> Vec<&'map ids::EndpointId> {
    let list = owners.iter().filter(|(_, list)| list.iter().any(|(name, _)| &**name == node));
    list.map(|(endpoint, _)| endpoint).collect()
}

fn rises(before: &OwnerMap, after: &OwnerMap, endpoint: &ids::EndpointId) -> bool {
    after[endpoint][0].1 > before[endpoint][0].1
}

#[test]
fn owner_killed() {
    common::run(async {
        let mut deployment = common::deployment_with(common::sample(), 3, &TIMES).await;
        let before = settled(&deployment, &[0, 1, 2]).await;
        deployment.nodes[0].process.kill();
        let killed = time::Instant::now();
        let after = settled(&deployment, &[1, 2]).await;
        let took = killed.elapsed();
        println!("taken over after {took:?}");
        assert!(took >= LAPSE, "taken over before the lapse");
        let moved = owned_by(&before, "entry-1");
        assert!(!moved.is_empty(), "the node killed owned nothing");
        let call = common::pipeline_call();
        for index in [1, 2] {
            let node = deployment.nodes[index].caller_address;
            let answer = deployment.caller.call(node, &call).await.expect("a whole answer");
            assert_eq!(answer.status(), 200);
        }
        assert!(after.values().all(|list| list[0].1 > 0));
    });
}

#[test]
fn graceful_leave() {
    common::run(async {
        let mut deployment = common::deployment_with(common::sample(), 3, &TIMES).await;
        let before = settled(&deployment, &[0, 1, 2]).await;
        deployment.nodes[0].process.signal(Signal::TERM);
        let told = time::Instant::now();
        let after = settled(&deployment, &[1, 2]).await;
        let took = told.elapsed();
        println!("handed over after {took:?}");
        assert!(took < LAPSE, "handed over only after {took:?}");
        for endpoint in owned_by(&before, "entry-1") {
            assert!(rises(&before, &after, endpoint), "{endpoint} kept its fencing number");
        }
        let code = deployment.nodes[0].process.wait(SETTLE_LIMIT).await;
        assert_eq!(code, Some(0));
    });
}

#[test]
fn node_restarted() {
    common::run(async {
        let mut deployment = common::deployment_with(common::sample(), 3, &TIMES).await;
        settled(&deployment, &[0, 1, 2]).await;
        let first = dump(&deployment, 0).await.start_id;
        deployment.nodes[0].process.kill();
        deployment.restart_node(0).expect("the process starts");
        let address = deployment.nodes[0].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("the node becomes ready");
        settled(&deployment, &[0, 1, 2]).await;
        let second = dump(&deployment, 0).await.start_id;
        assert_ne!(first, second);
        let members = dump(&deployment, 1).await.members;
        let seen = members.iter().find(|member| &*member.record.node == "entry-1");
        assert_eq!(seen.expect("a record").record.start_id, second);
    });
}

#[test]
fn owner_frozen() {
    common::run(async {
        let deployment = common::deployment_with(common::sample(), 3, &TIMES).await;
        let before = settled(&deployment, &[0, 1, 2]).await;
        let frozen = owned_by(&before, "entry-1");
        assert!(!frozen.is_empty(), "the node frozen owned nothing");
        deployment.nodes[0].process.signal(Signal::STOP);
        let during = settled(&deployment, &[1, 2]).await;
        deployment.nodes[0].process.signal(Signal::CONT);
        for endpoint in &frozen {
            assert!(rises(&before, &during, endpoint), "{endpoint} kept its fencing number");
        }
        let deadline = time::Instant::now() + SETTLE_LIMIT;
        let mut after = settled(&deployment, &[0, 1, 2]).await;
        while owned_by(&after, "entry-1").len() != frozen.len() {
            assert!(time::Instant::now() < deadline, "the node woken owns nothing again");
            async_io::Timer::after(POLL).await;
            after = settled(&deployment, &[0, 1, 2]).await;
        }
        for endpoint in &frozen {
            assert!(rises(&during, &after, endpoint), "{endpoint} was used without a handover");
        }
    });
}
