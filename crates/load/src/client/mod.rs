//! HTTP/1.1 client: a pool of connections for each address, with one request at a time on each connection.

mod call;
mod pool;

pub use call::get_json;
pub use pool::{Client, Failure, Reply};

/// Why a single call has no usable response.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CallError {
    /// The response is missing or incomplete.
    #[error("{address}{path}: {failure}")]
    Failed {
        /// Address, `ip:port`.
        address: String,
        /// Path of the request.
        path: String,
        /// How far the request got.
        failure: Failure,
    },
    /// The status is not 200.
    #[error("{address}{path} answered {status}")]
    Status {
        /// Address, `ip:port`.
        address: String,
        /// Path of the request.
        path: String,
        /// Status of the response.
        status: http::StatusCode,
    },
    /// The body is not the expected JSON.
    #[error("{address}{path}: {source}")]
    Body {
        /// Address, `ip:port`.
        address: String,
        /// Path of the request.
        path: String,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}
