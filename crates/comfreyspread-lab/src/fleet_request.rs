//! Requests of callers on the users' platform.
//!
//! ```
//! use comfreyspread_lab::fleet_request;
//!
//! let node = ([127, 0, 0, 1], 8080).into();
//! let request = fleet_request::FleetRequest::new(node, "/report/", "r-1").with_pieces("2,1");
//! assert_eq!(request.into_message().header("pieces"), Some("2,1"));
//! ```

use crate::fleet;
use comfreyspread::transport::http_message;
use http::Method;
use std::net;

/// Deadline of a request unless set otherwise, in milliseconds.
const DEFAULT_DEADLINE_MS: &str = "3000";

/// A request with all headers that the platform requires.
#[derive(Debug)]
pub struct FleetRequest {
    message: http_message::Request,
}

impl FleetRequest {
    /// Creates a request with the id `id` for `path` of the node or endpoint at `address`.
    pub fn new(address: net::SocketAddr, path: &str, id: &str) -> Self {
        let mut message =
            http_message::Request::new(Method::POST, &format!("http://{address}{path}"));
        message.insert_header("host", fleet::HOST);
        message.insert_header("request-id", id);
        message.insert_header("deadline-ms", DEFAULT_DEADLINE_MS);
        message.insert_header("x-api-key", fleet::API_KEY);
        message.set_body("body");
        Self { message }
    }

    /// Sets the number of pieces of each stage, separated by commas.
    pub fn with_pieces(mut self, pieces: &str) -> Self {
        self.message.insert_header("pieces", pieces);
        self.message.insert_header("piece-key", "k");
        self
    }

    /// Sets the parts of the prompt as `name:tokens`, separated by commas; the last is its own.
    pub fn with_prompt_parts(mut self, parts: &str) -> Self {
        self.message.insert_header("prefix-hash", parts);
        self
    }

    /// Sets the API key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.message.insert_header("x-api-key", key);
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.message.set_body(body.to_owned());
        self
    }

    /// Sets the deadline of the request, in milliseconds.
    pub fn with_deadline_ms(mut self, deadline_ms: u128) -> Self {
        self.message.insert_header("deadline-ms", deadline_ms.to_string());
        self
    }

    /// Returns the HTTP request.
    pub fn into_message(self) -> http_message::Request {
        self.message
    }
}
