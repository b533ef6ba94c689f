//! Single JSON requests to the platform and to workers.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use super::{CallError, Client, Failure};

/// Limit for one call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a `GET` on a new connection and decodes the JSON response.
///
/// # Errors
///
/// Fails without a complete response of status 200 that decodes as `T`.
pub async fn get_json<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, CallError> {
    let address = address.trim_start_matches("http://").trim_end_matches('/');
    let (at, on) = (|| address.to_owned(), || path.to_owned());
    let failed = |failure| CallError::Failed { address: at(), path: on(), failure };
    let request = Request::get(path).header("host", address).body(Full::new(Bytes::new()));
    let request = request.map_err(|_| failed(Failure::Unsent))?;
    let reply = Client::default().send(&address.into(), request, CALL_TIMEOUT).await.map_err(failed)?;
    if reply.status != StatusCode::OK {
        return Err(CallError::Status { address: at(), path: on(), status: reply.status });
    }
    serde_json::from_slice(&reply.body).map_err(|source| CallError::Body {
        address: at(),
        path: on(),
        source,
    })
}
