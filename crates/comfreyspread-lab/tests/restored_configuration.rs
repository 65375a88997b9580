//! Configuration changes, while the store comes back from a copy that lacks the latest ones.

mod common;
#[path = "common/operator.rs"]
mod operator;

use comfreyspread_lab::{deployment, types};
use comfreyspread_schema::types as wire;
use std::time;

/// Maximum time until the store holds the configuration in force again.
const REWRITE_LIMIT: time::Duration = time::Duration::from_secs(3);

async fn set_store_faults(deployment: &deployment::TestDeployment, faults: types::StoreFaults) {
    deployment.set_store_faults(&faults).await.expect("the platform accepts the faults");
}

/// Returns the configuration head in the store.
async fn stored_head(deployment: &deployment::TestDeployment) -> wire::ConfigurationHead {
    let path = "/v1/tables/configuration/rows/head";
    let response = deployment.caller.get(deployment.platform_address, path).await.expect("a row");
    let row: wire::TableRow = serde_json::from_slice(response.body()).expect("a row");
    serde_json::from_str(&row.value).expect("a head")
}

fn zone_command(deployment: &deployment::TestDeployment, node: usize, action: &str, zone: &str) {
    let (code, text) = operator::run_command(deployment, node, &["zone", action, zone]);
    assert_eq!(code, 0, "zone {action} {zone}: {text}");
}

/// A change that had been accepted must not be missing in the store for good, where it kept every
/// later change from being made and a node that starts from serving it.
#[test]
fn accepted_change() {
    common::run(async {
        let mut deployment = common::sample_deployment(3).await;
        let copy = types::StoreFaults { keeps_copy: true, ..types::StoreFaults::default() };
        set_store_faults(&deployment, copy).await;
        zone_command(&deployment, 0, "out", "antioquia-a");
        zone_command(&deployment, 1, "out", "antioquia-b");
        zone_command(&deployment, 2, "in", "antioquia-b");
        let before = stored_head(&deployment).await;
        let restore = types::StoreFaults { restores: true, ..types::StoreFaults::default() };
        set_store_faults(&deployment, restore).await;
        let deadline = time::Instant::now() + REWRITE_LIMIT;
        while stored_head(&deployment).await.revision < before.revision {
            assert!(time::Instant::now() < deadline, "the store still lacks the change");
            async_io::Timer::after(time::Duration::from_millis(50)).await;
        }
        let after = stored_head(&deployment).await;
        assert_eq!(after.zones_out, before.zones_out);
        assert_eq!(after.change_id, before.change_id);
        zone_command(&deployment, 1, "in", "antioquia-a");
        assert_eq!(stored_head(&deployment).await.revision, before.revision + 1);
        for node in 0..3 {
            deployment.nodes[node].process.kill();
        }
        for node in 0..3 {
            deployment.restart_node(node).expect("a node");
        }
        let address = deployment.nodes[0].caller_address;
        deployment.wait_until_ready(address, "/readyz").await.expect("ready");
        let (code, text) = operator::run_command(&deployment, 0, &["status"]);
        assert_eq!(code, 0, "{text}");
        assert!(text.contains(&format!("revision {}", before.revision + 1)), "{text}");
    });
}
