//! Storage that results take, kept as a sum for each endpoint.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use comfreyspread_policy::result_usage;
use std::{net, time};

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn bytes_summed() {
    let now = time::Instant::now();
    let later = now + time::Duration::from_secs(1);
    let mut usage = result_usage::ResultUsage::default();
    usage.insert("a".into(), address(1), 10, now);
    usage.insert("b".into(), address(1), 20, later);
    usage.insert("c".into(), address(2), 40, later);
    assert_eq!((usage.used_bytes(address(1)), usage.used_bytes(address(2))), (30, 40));
    usage.insert("c".into(), address(1), 5, later);
    assert_eq!((usage.used_bytes(address(1)), usage.used_bytes(address(2))), (35, 0));
    usage.remove_expired(now);
    assert_eq!(usage.used_bytes(address(1)), 25);
    assert!(usage.contains(&"b".into()) && !usage.contains(&"a".into()));
    usage.remove(&["b".into(), "b".into(), "c".into()]);
    assert_eq!(usage.used_bytes(address(1)), 0);
}
