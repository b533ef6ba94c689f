//! HTTP of the stand-ins: a server that can also truncate or withhold an answer, and a client for single calls.

mod client;
mod server;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

pub use client::{CallError, call, get};
pub use server::{Server, Service, serve};

/// Whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, without the question mark; empty if absent.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Other end of the connection; identifies the connection while it is open.
    pub peer: SocketAddr,
}

impl Request {
    /// Path segments.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|part| !part.is_empty()).collect()
    }

    /// Text of a header; `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Number in the query; `None` if it is absent or malformed.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// An answer with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Whole answer.
    Whole(Box<Parts>),
    /// Announces the whole length, sends half of the body and closes the connection.
    Truncated(Box<Parts>),
    /// Closes the connection without an answer.
    Closed,
    /// Never answers and keeps the connection open.
    Silent,
}

/// Content of an answer.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Status.
    pub status: StatusCode,
    /// Headers, without the length.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Answer with a JSON body.
    #[must_use]
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(::http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self::Whole(Box::new(Parts { status, headers, body: body.into() }))
    }

    /// Answer with status 200 and a JSON body.
    #[must_use]
    pub fn ok<T: Serialize>(value: &T) -> Self {
        Self::json(StatusCode::OK, value)
    }

    /// Answer with an error text.
    #[must_use]
    pub fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    /// Adds a header to an answer that has any; a value that no header can hold is left out.
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
