//! Prompt parts that crash every engine that begins to answer a request with them, over processes.

mod common;

use comfreyspread_lab::fleet;
use common::{crash_test, crashing_engine, gateway};
use crash_test::CONTACT_TIME;
use futures_util::future;
use std::time;

const GUILTY: crashing_engine::CrashTrigger =
    crashing_engine::CrashTrigger { text: "bad", events: 0 };
/// Events of a complete answer.
const EVENTS: u64 = 2;
/// Crashes after which the guilty requests have to be known.
const LEARNING_CRASHES: usize = 5;
/// Time within which a conviction is stored, also once more.
const STORE_TIME: time::Duration = time::Duration::from_secs(15);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Runs a test against nodes and `count` engines that crash on the guilty part.
fn run(count: u64, test: impl AsyncFnOnce(crash_test::CrashTest)) {
    crash_test::CrashTest::run((count, EVENTS), GUILTY, test);
}

/// Guards against endpoints crashing one after the other because requests at different nodes have
/// only one part in common, and against sound requests being rejected with them.
#[test]
fn unlike_requests() {
    run(4, async |test| {
        let length = CONTACT_TIME * 3;
        let (served, sound) = future::join(test.send_guilty(length), test.send_sound(length)).await;
        assert_eq!(served, 0);
        test.check_learned(LEARNING_CRASHES);
        test.check_sound(&sound);
    });
}

/// Guards against crashes that are taken for one because endpoints come back under their names: few
/// endpoints then crash without end.
#[test]
fn same_names() {
    run(2, async |test| {
        let length = CONTACT_TIME * 3;
        future::join(test.send_guilty(length), test.send_sound(length)).await;
        test.check_learned(LEARNING_CRASHES);
    });
}

/// Guards against a node that has been restarted and crashes endpoints once more with a part that
/// the other nodes know.
#[test]
fn node_restarted() {
    run(4, async |mut test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        test.nodes.pop().expect("a node").process.kill();
        let seeds = [test.nodes[0].peer_address];
        let restarted = test.fleet.start_node(&gateway::program(), "node-3", &seeds).await;
        test.nodes = vec![restarted.expect("a node")];
        async_io::Timer::after(CONTACT_TIME).await;
        let before = test.engines.crashes().len();
        test.send_guilty(CONTACT_TIME).await;
        assert_eq!(test.engines.crashes().len(), before, "crashes after the restart");
        assert!(test.is_served(crash_test::SOUND[0]).await);
        assert_eq!(gateway::metric(&test.nodes[0], "prompt_parts_convicted").await, 1);
        assert!(gateway::metric(&test.nodes[0], "requests_rejected_crashing_total").await > 0);
    });
}

/// Waits until the store has a row of the guilty part.
async fn stored_row(fleet: &fleet::FleetStandIn) -> String {
    let deadline = time::Instant::now() + STORE_TIME;
    loop {
        let rows = fleet.rows("convictions");
        assert!(rows.len() <= 1, "{rows:?}");
        if let Some((key, _)) = rows.first() {
            return key.to_string();
        }
        assert!(time::Instant::now() < deadline, "the conviction is in no row");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Guards against a conviction that is no longer stored because the store has come back from a copy
/// that is older than its row.
#[test]
fn row_lost() {
    run(4, async |test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        let key = stored_row(&test.fleet).await;
        test.fleet.set_row("convictions", &key, None);
        assert_eq!(stored_row(&test.fleet).await, key);
    });
}

/// Guards against endpoints crashing anew with a part that was known, because all nodes have been
/// killed at once.
#[test]
fn all_killed() {
    run(4, async |mut test| {
        future::join(test.send_guilty(CONTACT_TIME), test.send_sound(CONTACT_TIME)).await;
        assert!(test.engines.crashes().len() >= 3, "the part is known");
        test.nodes.iter_mut().for_each(|node| node.process.kill());
        test.nodes = gateway::start_nodes(&test.fleet, crash_test::NODES).await;
        async_io::Timer::after(CONTACT_TIME).await;
        let restarted = time::Instant::now();
        test.send_guilty(CONTACT_TIME).await;
        let late = test.engines.guilty_arrivals_after(restarted);
        assert!(late <= crash_test::LATE_ARRIVALS, "{late} arrivals of a part that was known");
    });
}

/// Guards against endpoints crashing without end with a part that lets each write its first event:
/// that event was taken for a proof that the part is sound.
#[test]
fn first_event() {
    let trigger = crashing_engine::CrashTrigger { events: 1, ..GUILTY };
    crash_test::CrashTest::run((4, EVENTS), trigger, async |test| {
        let length = CONTACT_TIME * 5;
        let (served, sound) = future::join(test.send_guilty(length), test.send_sound(length)).await;
        assert_eq!(served, 0);
        test.check_learned(LEARNING_CRASHES);
        test.check_sound(&sound);
    });
}
