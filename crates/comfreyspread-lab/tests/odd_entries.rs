//! Entries of another writer among the registrations: a node leaves them out and follows the others.

mod common;

use comfreyspread_lab::fleet;
use comfreyspread_schema::types;
use common::gateway;
use std::{env, fs, path, process, time};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time in which a node applies a change of the endpoints.
const APPLY_LIMIT: time::Duration = time::Duration::from_millis(2500);
/// Several waits for changes long.
const LOG_TIME: time::Duration = time::Duration::from_secs(5);
const DEPTH: usize = 100_000;

/// Sound fields but for those that `field` replaces.
fn entry(field: &str, value: &str) -> String {
    let mut fields = [
        ("service", r#""ledger""#),
        ("address", r#""127.0.0.1:9""#),
        ("zone", r#""a""#),
        ("slots", "4"),
        ("state", r#""ready""#),
        ("cold_left_ms", "0"),
        ("born", "1"),
    ];
    for known in &mut fields {
        if known.0 == field {
            known.1 = value;
        }
    }
    let fields = fields.map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.join(","))
}

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// Returns values of registrations that name no endpoint.
fn odd_values() -> Vec<String> {
    let nested = nested();
    let mut values = vec![nested.clone(), String::new()];
    values.extend(["65536", "99999", "-1", "0"].map(|port| {
        let address = format!("\"127.0.0.1:{port}\"");
        entry("address", &address)
    }));
    for field in ["slots", "cold_left_ms", "born"] {
        values.extend(["1e400", "18446744073709551616"].map(|number| entry(field, number)));
        values.push(entry(field, &nested));
    }
    values
}

/// Returns rows that are odd as sent by the store.
fn odd_rows(key: &str) -> Vec<String> {
    let nested = nested();
    let fields = [
        ("ver", "18446744073709551616"),
        ("ver", "1e400"),
        ("ver", "-1"),
        ("value", &nested),
        ("value", "7"),
        ("removed", &nested),
    ];
    fields.map(|(field, value)| format!(r#"{{"key":"{key}","{field}":{value}}}"#)).into()
}

async fn endpoints(node: &fleet::FleetNode) -> Vec<String> {
    let (_, dump) = gateway::get(node.admin_address, "/dump").await;
    let dump: types::GatewayDump = serde_json::from_str(&dump).expect("a dump");
    dump.endpoints.iter().map(|view| view.endpoint.to_string()).collect()
}

/// Waits until an endpoint is known, or no longer.
async fn wait_until_known(node: &fleet::FleetNode, name: &str, known: bool) {
    let started = time::Instant::now();
    while endpoints(node).await.iter().any(|endpoint| endpoint == name) != known {
        assert!(started.elapsed() < APPLY_LIMIT, "{name}: not followed");
        async_io::Timer::after(POLL_INTERVAL).await;
    }
}

/// Sets a sound registration of a new endpoint, waits for it, and removes it again.
async fn check_followed(fleet: &fleet::FleetStandIn, node: &fleet::FleetNode) {
    fleet.set_row("servers", "sound", Some(&entry("", "")));
    wait_until_known(node, "sound", true).await;
    fleet.set_row("servers", "sound", None);
    wait_until_known(node, "sound", false).await;
}

/// Guards against a registration of another writer that made the node end or stop following the
/// others.
#[test]
fn odd_registrations() {
    gateway::with_node(async |fleet, node| {
        for value in odd_values() {
            fleet.set_row("servers", "odd", Some(&value));
            check_followed(&fleet, &node).await;
            assert!(!endpoints(&node).await.contains(&"odd".to_owned()));
        }
        fleet.set_row("servers", "odd", Some(&entry("", "")));
        wait_until_known(&node, "odd", true).await;
    });
}

/// Guards against a row that no decoder takes and that made every reply with it unreadable, for nodes
/// that follow the table and for those that start.
#[test]
fn odd_store_rows() {
    gateway::with_fleet(async |fleet| {
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for row in odd_rows("odd") {
            fleet.set_raw_row("servers", "odd", &row);
            check_followed(&fleet, &node).await;
        }
        let started = fleet.start_node(&gateway::program(), "node-2", &[]).await.expect("a node");
        check_followed(&fleet, &started).await;
        fleet.set_row("servers", "odd", Some(&entry("", "")));
        wait_until_known(&started, "odd", true).await;
    });
}

/// Guards against a table read only in part because the last row of a page was odd: with its key, the
/// read goes on after it; without, from the row before it.
#[test]
fn last_of_page() {
    gateway::with_fleet(async |fleet| {
        fleet.set_page_rows(2);
        let nested = nested();
        for number in 0..6 {
            fleet.set_row("servers", &format!("a-{number}"), Some(&entry("", "")));
            fleet.set_raw_row(
                "servers",
                &format!("a-{number}-odd"),
                &[
                    format!(r#"{{"key":"a-{number}-odd","value":{nested}}}"#),
                    format!(r#"{{"key":{nested}}}"#),
                ][number % 2],
            );
        }
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        for number in 0..6 {
            wait_until_known(&node, &format!("a-{number}"), true).await;
        }
        wait_until_known(&node, "worker-2", true).await;
    });
}

/// A table is not taken as read if a page has no key to go on from; it is read in full later.
#[test]
fn page_without_keys() {
    gateway::with_fleet(async |fleet| {
        fleet.set_page_rows(2);
        for key in ["a", "b"] {
            fleet.set_raw_row("servers", key, "7");
        }
        let node = fleet::FleetNode::start(&fleet, &gateway::program(), "node-1", &[], "");
        let node = node.expect("a node");
        async_io::Timer::after(APPLY_LIMIT).await;
        assert_eq!(gateway::get(node.admin_address, "/v1/ready").await.0, 503);
        fleet.set_row("servers", "a", None);
        node.wait_until_ready().await.expect("the table is read");
        wait_until_known(&node, "worker-2", true).await;
    });
}

/// An endpoint whose entry was overwritten is used no longer, and again once it has registered.
#[test]
fn overwritten_entry() {
    gateway::with_node(async |fleet, node| {
        for row in odd_rows("known") {
            fleet.set_row("servers", "known", Some(&entry("", "")));
            wait_until_known(&node, "known", true).await;
            fleet.set_raw_row("servers", "known", &row);
            wait_until_known(&node, "known", false).await;
        }
        fleet.set_row("servers", "known", Some(&entry("", "")));
        wait_until_known(&node, "known", true).await;
        fleet.set_row("servers", "known", Some(&entry("address", "\"127.0.0.1:99999\"")));
        wait_until_known(&node, "known", false).await;
    });
}

/// A zone is out of service as long as its row is there, whatever its value; a route document that
/// cannot be read leaves the active one in force.
#[test]
fn operator_rows() {
    gateway::with_node(async |fleet, node| {
        fleet.set_raw_row("op", "config", &format!(r#"{{"key":"config","value":{}}}"#, nested()));
        fleet.set_raw_row("op", "evacuate/b", r#"{"key":"evacuate/b","value":7}"#);
        check_followed(&fleet, &node).await;
        let request = gateway::request(node.caller_address, "/read/", "r-1");
        assert_eq!(gateway::send(node.caller_address, request).await.0, 200);
        fleet.set_route_document(&gateway::route_document(5));
        let started = time::Instant::now();
        loop {
            let (_, dump) = gateway::get(node.admin_address, "/dump").await;
            let dump: types::GatewayDump = serde_json::from_str(&dump).expect("a dump");
            if dump.routes_version == 5 {
                break;
            }
            assert!(started.elapsed() < APPLY_LIMIT, "not followed: {}", dump.routes_version);
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    });
}

/// One line in the log for each change of an odd entry, and none for each poll.
#[test]
fn logged_once() {
    gateway::with_fleet(async |mut fleet| {
        let folder = env::temp_dir().join(format!("comfreyspread-odd-entries-{}", process::id()));
        fs::create_dir_all(&folder).expect("a folder for the log");
        fleet.set_log_folder(folder.clone());
        let node = gateway::start_nodes(&fleet, 1).await.remove(0);
        fleet.set_raw_row("servers", "odd", &odd_rows("odd")[0]);
        check_followed(&fleet, &node).await;
        async_io::Timer::after(LOG_TIME).await;
        let log = fs::read_to_string(log_path(&folder)).expect("a log");
        fs::remove_dir_all(&folder).ok();
        let lines = log.lines().filter(|line| line.contains("odd") && line.contains("not valid"));
        assert_eq!(lines.count(), 1, "{log}");
    });
}

fn log_path(folder: &path::Path) -> path::PathBuf {
    folder.join("node-1.log")
}
