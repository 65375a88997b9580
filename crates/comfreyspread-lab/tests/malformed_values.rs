//! Header values at the limits of their types end at most their own request; the node goes on.

mod common;

use comfreyspread::transport::http_client;
use common::gateway;
use std::time;

/// Sends a request with this header value, and checks its status and that the node goes on.
fn check_status(path: &'static str, header: &'static str, value: &'static str, expected: u16) {
    gateway::with_node(async |fleet, node| {
        let mut request = gateway::request(node.caller_address, path, "r-1");
        request.insert_header(header, value);
        let client = http_client::HttpClient::new(1 << 20);
        let fresh = http_client::ConnectionUse::Fresh;
        let deadline = time::Instant::now() + gateway::RESPONSE_TIMEOUT;
        let response = client.call(node.caller_address, request, fresh, deadline).await;
        assert_eq!(response.map(|response| response.status()).ok(), Some(expected));
        let valid = gateway::request(node.caller_address, "/read/", "r-2");
        assert_eq!(gateway::send(node.caller_address, valid).await.0, 200);
        assert_eq!(gateway::runs(&fleet, "r-2").len(), 1);
    });
}

/// A request for billions of pieces made a node ask for memory for each, and took it down.
#[test]
fn billions_pieces() {
    check_status("/report/", "pieces", "4294967295,1", 400);
}

/// The bound holds for all stages together: each piece of the second names all of the first.
#[test]
fn squared_pieces() {
    check_status("/report/", "pieces", "100000,100000", 400);
}

#[test]
fn longest_deadline() {
    check_status("/read/", "deadline-ms", "18446744073709551615", 200);
}

#[test]
fn overflowing_deadline() {
    check_status("/read/", "deadline-ms", "18446744073709551616", 400);
}

#[test]
fn last_event() {
    check_status("/chat/", "last-event-id", "18446744073709551614", 200);
}
