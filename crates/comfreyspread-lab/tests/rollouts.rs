//! Roll-outs of a service to a version: order, evidence, verdict and the state that operators read.

mod common;

use comfreyspread_lab::fleet;
use common::gateway;
use std::{
    process,
    sync::{self, atomic, atomic::Ordering},
    time,
};

/// Requests a second of the load.
const RATE: u64 = 150;
/// Time within which a change of the store is known on all nodes.
const CHANGE_TIME: time::Duration = time::Duration::from_secs(2);
const DURATION: time::Duration = time::Duration::from_secs(10);
/// Share and allowance of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_ALLOWANCE: f64 = 50.0;

/// Sends requests to the nodes in turn until it is stopped.
struct Load {
    stopped: sync::Arc<atomic::AtomicBool>,
}

impl Load {
    fn start(nodes: &[fleet::FleetNode]) -> Self {
        let stopped = sync::Arc::<atomic::AtomicBool>::default();
        let addresses: Vec<_> = nodes.iter().map(|node| node.caller_address).collect();
        let flag = stopped.clone();
        let send_all = async move {
            let mut number = 0_u64;
            let executor = async_executor::Executor::new();
            let sender = async {
                while !flag.load(Ordering::Relaxed) {
                    let address = addresses[number as usize % addresses.len()];
                    let request = gateway::request(address, "/read/", &format!("load-{number}"));
                    executor
                        .spawn(async move { gateway::try_send(address, request).await })
                        .detach();
                    number += 1;
                    async_io::Timer::after(time::Duration::from_millis(1000 / RATE)).await;
                }
            };
            executor.run(sender).await;
        };
        std::thread::spawn(move || async_io::block_on(send_all));
        Self { stopped }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

async fn add_new_version(fleet: &mut fleet::FleetStandIn) {
    for name in ["new-1", "new-2"] {
        fleet.add_version(name, "ledger", "v2").await.expect("an endpoint");
    }
}

fn order(fleet: &fleet::FleetStandIn) {
    let order = serde_json::json!({
        "service": "ledger", "to": "v2", "duration_s": DURATION.as_secs(),
    });
    fleet.set_row("op", "rollout/ledger", Some(&order.to_string()));
}

/// Returns the state that operators read; empty if there is none.
fn state(fleet: &fleet::FleetStandIn) -> String {
    let rows = fleet.rows("status");
    let Some((key, row)) = rows.first() else { return String::new() };
    assert_eq!(&**key, "rollout/ledger");
    let row: serde_json::Value = serde_json::from_str(row).expect("JSON");
    assert_eq!(row["to"], "v2");
    row["state"].as_str().expect("a state").to_owned()
}

async fn wait_for_state(fleet: &fleet::FleetStandIn, expected: &str, most: time::Duration) {
    let deadline = time::Instant::now() + most;
    while state(fleet) != expected {
        assert!(time::Instant::now() < deadline, "state {:?}, not {expected}", state(fleet));
        async_io::Timer::after(time::Duration::from_millis(50)).await;
    }
}

/// Returns how many requests reached endpoints whose names begin so.
fn arrivals(fleet: &fleet::FleetStandIn, prefix: &str) -> usize {
    fleet.records().iter().filter(|record| record.endpoint.starts_with(prefix)).count()
}

fn fail_new_version(fleet: &fleet::FleetStandIn) {
    for name in ["new-1", "new-2"] {
        fleet.faults(name).status.store(500, Ordering::Relaxed);
    }
}

/// Returns the roll-outs as the command shows them.
fn shown(node: &fleet::FleetNode) -> serde_json::Value {
    let address = node.admin_address.to_string();
    let output = process::Command::new(gateway::program())
        .args(["product", "rollouts", "--json", "--node", &address])
        .output()
        .expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Without an order a version gets nothing; a good one takes the place of the old one, whose
/// endpoints are idle by then. A node that starts later takes the state up from the store.
#[test]
fn good_version() {
    gateway::with_fleet(async |mut fleet| {
        let nodes = gateway::start_nodes(&fleet, 2).await;
        let load = Load::start(&nodes);
        add_new_version(&mut fleet).await;
        async_io::Timer::after(CHANGE_TIME).await;
        assert_eq!(arrivals(&fleet, "new"), 0, "not ordered yet");
        order(&fleet);
        wait_for_state(&fleet, "running", CHANGE_TIME).await;
        wait_for_state(&fleet, "done", DURATION).await;
        let old = arrivals(&fleet, "ledger");
        async_io::Timer::after(CHANGE_TIME).await;
        assert_eq!(arrivals(&fleet, "ledger"), old, "the old endpoints are idle");
        let late = fleet.start_node(&gateway::program(), "node-3", &[nodes[0].peer_address]).await;
        let late = late.expect("a node");
        async_io::Timer::after(CHANGE_TIME).await;
        for number in 0..20 {
            let request =
                gateway::request(late.caller_address, "/read/", &format!("late-{number}"));
            assert_eq!(gateway::send(late.caller_address, request).await.0, 200);
        }
        assert_eq!(arrivals(&fleet, "ledger"), old, "the new node knows the state");
        let view = &shown(&late)["rollouts"][0];
        assert_eq!(
            (&view["record"]["phase"], &view["order"]["to"]),
            (&"done".into(), &"v2".into())
        );
        drop(load);
    });
}

/// A version that fails its requests was kept in use. It gets no more than its share before it is
/// rolled back, and nothing after.
#[test]
fn bad_version() {
    gateway::with_fleet(async |mut fleet| {
        let nodes = gateway::start_nodes(&fleet, 2).await;
        let load = Load::start(&nodes);
        add_new_version(&mut fleet).await;
        fail_new_version(&fleet);
        let before = arrivals(&fleet, "");
        order(&fleet);
        wait_for_state(&fleet, "rolled_back", DURATION).await;
        async_io::Timer::after(CHANGE_TIME).await;
        let new = arrivals(&fleet, "new");
        let all = arrivals(&fleet, "") - before;
        let allowed = all as f64 * EXPOSURE_SHARE + EXPOSURE_ALLOWANCE;
        assert!(new > 0 && new as f64 <= allowed, "{new} of {all}");
        async_io::Timer::after(CHANGE_TIME).await;
        assert_eq!(arrivals(&fleet, "new"), new, "nothing more is sent there");
        drop(load);
    });
}

/// The node that decides is killed between the evidence and the write of its verdict. The next one
/// has the evidence of the others and writes it; the version gets nothing meanwhile.
#[test]
fn decider_killed() {
    gateway::with_fleet(async |mut fleet| {
        let mut nodes = gateway::start_nodes(&fleet, 3).await;
        let load = Load::start(&nodes);
        add_new_version(&mut fleet).await;
        order(&fleet);
        wait_for_state(&fleet, "running", CHANGE_TIME).await;
        fleet.set_store_down(true);
        fail_new_version(&fleet);
        async_io::Timer::after(CHANGE_TIME * 2).await;
        let stopped_at = arrivals(&fleet, "new");
        let view = shown(&nodes[0]);
        let decider = view["rollouts"][0]["decider"].as_str().expect("a node").to_owned();
        let index =
            nodes.iter().enumerate().find(|(index, _)| decider == format!("node-{}", index + 1));
        let index = index.expect("one of the nodes").0;
        nodes.remove(index).process.kill();
        assert_eq!(state(&fleet), "running");
        fleet.set_store_down(false);
        wait_for_state(&fleet, "rolled_back", DURATION).await;
        let new = arrivals(&fleet, "new");
        assert!(new - stopped_at < 50, "{new} after {stopped_at}");
        async_io::Timer::after(CHANGE_TIME).await;
        assert_eq!(arrivals(&fleet, "new"), new, "nothing more is sent there");
        drop(load);
    });
}
