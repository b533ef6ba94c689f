//! HTTP server and client of the stand-ins. The server can truncate or withhold answers to inject faults.

mod client;
mod server;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

pub use client::{CallError, call, get};
pub use server::{Server, Service, serve};

/// Request whose body has been received completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path of the URI, without the query.
    pub path: String,
    /// Query string, without the question mark; empty if absent.
    pub query: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body; empty without one.
    pub body: Bytes,
    /// Remote address; identifies the connection while it is open.
    pub peer: SocketAddr,
}

impl Request {
    /// Splits the path into its non-empty segments.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|part| !part.is_empty()).collect()
    }

    /// Returns the value of a header; `None` if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a number from the query; `None` if it is absent or malformed.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an answer with status 400 for a malformed body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Reaction of the server to a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Sends a complete answer.
    Whole(Box<Parts>),
    /// Announces the full length, sends half of the body and closes the connection.
    Truncated(Box<Parts>),
    /// Closes the connection without an answer.
    Closed,
    /// Keeps the connection open without ever answering.
    Silent,
}

/// Status, headers and body of an answer.
#[derive(Clone, Debug)]
pub struct Parts {
    /// HTTP status code.
    pub status: StatusCode,
    /// Header fields; the server adds `content-length`.
    pub headers: HeaderMap,
    /// Full body, also of a truncated answer.
    pub body: Bytes,
}

impl Answer {
    /// Creates a complete answer with a JSON body.
    #[must_use]
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(::http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self::Whole(Box::new(Parts { status, headers, body: body.into() }))
    }

    /// Creates a complete answer with status 200 and a JSON body.
    #[must_use]
    pub fn ok<T: Serialize>(value: &T) -> Self {
        Self::json(StatusCode::OK, value)
    }

    /// Creates a complete answer with the JSON body `{"error": message}`.
    #[must_use]
    pub fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    /// Sets a header. Does nothing if no answer is sent or the value is not valid in a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        if let (Self::Whole(parts) | Self::Truncated(parts), Ok(value)) =
            (&mut self, HeaderValue::from_str(value))
        {
            parts.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}
