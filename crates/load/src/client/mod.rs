//! HTTP/1.1 client: a pool of connections for each address, one request on a connection at a time.

mod call;
mod pool;

pub use call::get_json;
pub use pool::{Client, Failure, Reply};

/// Why a single call has no usable answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum CallError {
    /// No whole answer.
    #[error("{address}{path}: {failure}")]
    Failed {
        /// Address, `ip:port`.
        address: String,
        /// Path.
        path: String,
        /// Cause.
        failure: Failure,
    },
    /// Another status than 200.
    #[error("{address}{path} answered {status}")]
    Status {
        /// Address, `ip:port`.
        address: String,
        /// Path.
        path: String,
        /// Status.
        status: http::StatusCode,
    },
    /// A body of another shape.
    #[error("{address}{path}: {source}")]
    Body {
        /// Address, `ip:port`.
        address: String,
        /// Path.
        path: String,
        /// Cause.
        source: serde_json::Error,
    },
}
