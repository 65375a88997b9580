//! HTTP requests and responses, independent of client and server.
//!
//! ```
//! use comfreyspread::transport::http_message;
//!
//! let mut request = http_message::Request::new(http::Method::GET, "http://127.0.0.1:80/a?b=c");
//! request.insert_header("accept", "text/plain");
//! assert_eq!(request.path(), "/a");
//! assert_eq!(request.header("host"), Some("127.0.0.1:80"));
//! ```

use crate::transport::http_body;
use http::{Method, StatusCode, header};
use std::mem;

/// A request and its body.
#[derive(Debug)]
pub struct Request {
    head: http::request::Parts,
    body: http_body::MessageBody,
}

/// A response and its body.
#[derive(Debug)]
pub struct Response {
    head: http::response::Parts,
    body: http_body::MessageBody,
}

impl Request {
    /// Creates a request without a body; its `host` header is taken from `url`.
    pub fn new(method: Method, url: &str) -> Self {
        let (mut head, ()) = http::Request::new(()).into_parts();
        head.method = method;
        match url.parse::<http::Uri>() {
            Ok(url) => {
                if let Some(host) = url.authority().and_then(|host| host.as_str().parse().ok()) {
                    head.headers.insert(header::HOST, host);
                }
                let target = url.path_and_query().map_or("/", |target| target.as_str());
                head.uri = target.parse().unwrap_or_default();
            }
            Err(error) => log::error!("http: invalid request URL. error={error}"),
        }
        Self { head, body: http_body::MessageBody::empty() }
    }

    /// Creates a request from its parts.
    pub fn from_parts(head: http::request::Parts, body: http_body::MessageBody) -> Self {
        Self { head, body }
    }

    /// Sets a header, replacing its previous values.
    pub fn insert_header(&mut self, name: &str, value: impl AsRef<str>) {
        insert(&mut self.head.headers, name, value.as_ref());
    }

    /// Sets the body.
    pub fn set_body(&mut self, body: impl Into<http_body::MessageBody>) {
        self.body = body.into();
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.head.headers, name)
    }

    /// Converts to the request type of the `http` crate.
    pub fn into_http(self) -> http::Request<http_body::MessageBody> {
        http::Request::from_parts(self.head, self.body)
    }
}

impl Response {
    /// Creates a response without a body.
    pub fn new(status: StatusCode) -> Self {
        let (mut head, ()) = http::Response::new(()).into_parts();
        head.status = status;
        Self { head, body: http_body::MessageBody::empty() }
    }

    /// Creates a response from its parts.
    pub fn from_parts(head: http::response::Parts, body: http_body::MessageBody) -> Self {
        Self { head, body }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Sets the status.
    pub fn set_status(&mut self, status: StatusCode) {
        self.head.status = status;
    }

    /// Returns the head.
    pub fn head(&self) -> &http::response::Parts {
        &self.head
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.head.headers, name)
    }

    /// Sets a header, replacing its previous values.
    pub fn insert_header(&mut self, name: &str, value: impl AsRef<str>) {
        insert(&mut self.head.headers, name, value.as_ref());
    }

    /// Returns the headers for modification.
    pub fn headers_mut(&mut self) -> &mut http::HeaderMap {
        &mut self.head.headers
    }

    /// Sets the body.
    pub fn set_body(&mut self, body: impl Into<http_body::MessageBody>) {
        self.body = body.into();
    }

    /// Returns the length of the body in bytes if it is known in advance.
    pub fn len(&self) -> Option<u64> {
        self.body.known_length()
    }

    /// Whether the body is known to be empty.
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// Removes and returns the body.
    pub fn take_body(&mut self) -> http_body::MessageBody {
        mem::replace(&mut self.body, http_body::MessageBody::empty())
    }

    /// Converts to the response type of the `http` crate.
    pub fn into_http(self) -> http::Response<http_body::MessageBody> {
        http::Response::from_parts(self.head, self.body)
    }
}

/// Returns the first value of a header, if it is text.
pub fn header_text<'headers>(
    headers: &'headers http::HeaderMap,
    name: &str,
) -> Option<&'headers str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn insert(headers: &mut http::HeaderMap, name: &str, value: &str) {
    let parsed = (http::HeaderName::try_from(name), http::HeaderValue::try_from(value));
    let (Ok(parsed_name), Ok(parsed_value)) = parsed else {
        log::error!("http: header skipped, invalid name or value. name={name}");
        return;
    };
    headers.insert(parsed_name, parsed_value);
}
