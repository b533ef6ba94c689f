//! HTTP client of the operator interface.
//!
//! Reads are tried at each address in order. A change is tried at the next address only if the one before certainly
//! did not make it: nothing was sent, or the instance reported that nothing was changed. Otherwise its result is
//! unknown.

mod exchange;

use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http::{Method, StatusCode};
use rattanfall_wire::operator::{Accepted, ErrorBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::{Builder, Runtime};

use crate::args;
use crate::error::{CtlError, ErrorKind};
use exchange::{Call, Failure};

/// Blocking client that tries the operator addresses of several entry instances in order.
pub struct Client {
    runtime: Runtime,
    addresses: Vec<String>,
    credential: String,
    timeout: Duration,
}

/// Result of a call to one address.
enum Attempt<T> {
    Done(T),
    /// The call had no effect here, so the next address may be tried. Holds the reason.
    TryNext(String),
    Failed(CtlError),
}

impl Client {
    /// Creates a client from the connection options.
    ///
    /// # Errors
    ///
    /// Fails if no address or no credential is given.
    pub fn new(matches: &ArgMatches) -> Result<Self, CtlError> {
        let client = Self::without_credential(matches)?;
        if client.credential.is_empty() {
            let message = "no credential: set RATTANFALL_CREDENTIAL or --credential";
            return Err(CtlError::new(ErrorKind::Usage, message));
        }
        Ok(client)
    }

    /// Creates a client for the read-only paths that need no credential.
    ///
    /// # Errors
    ///
    /// Fails if no address is given.
    pub fn without_credential(matches: &ArgMatches) -> Result<Self, CtlError> {
        let addresses: Vec<String> = matches
            .get_many::<String>(args::OPERATOR)
            .ok_or_else(|| {
                CtlError::new(ErrorKind::Usage, "no address: set --operator or RATTANFALL_OPERATOR")
            })?
            .map(|address| address.trim().trim_start_matches("http://").trim_end_matches('/').to_owned())
            .collect();
        let credential = args::text(matches, args::CREDENTIAL).to_owned();
        let timeout = matches.get_one::<u64>(args::TIMEOUT).copied().unwrap_or_default();
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| CtlError::new(ErrorKind::Unavailable, error.to_string()))?;
        Ok(Self { runtime, addresses, credential, timeout: Duration::from_millis(timeout) })
    }

    /// Sends a `GET` and decodes the JSON of the first instance that responds.
    ///
    /// # Errors
    ///
    /// Fails if no instance responds or if one refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let call = self.call(Method::GET, path, Bytes::new());
        self.try_each_address(|address| match self.send(address, &call) {
            Ok((status, body)) => read_response(status, &body),
            Err(Failure::Unsent(reason) | Failure::Unanswered(reason)) => Attempt::TryNext(reason),
        })
    }

    /// Sends a change that takes effect at most once.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused, if no instance could make it, or if its result is unknown.
    pub fn change(&self, method: Method, path: &str, body: &impl Serialize) -> Result<Accepted, CtlError> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| CtlError::new(ErrorKind::Invalid, error.to_string()))?;
        let call = self.call(method, path, body.into());
        self.try_each_address(|address| match self.send(address, &call) {
            Ok((status, body)) => change_response(address, status, &body),
            Err(Failure::Unsent(reason)) => Attempt::TryNext(reason),
            Err(Failure::Unanswered(reason)) => Attempt::Failed(unknown_result(address, &reason)),
        })
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Call {
        Call { method, path: path.into(), body, credential: self.credential.clone() }
    }

    fn send(&self, address: &str, call: &Call) -> Result<(StatusCode, Bytes), Failure> {
        self.runtime.block_on(exchange::exchange(address, call, self.timeout))
    }

    fn try_each_address<T>(&self, mut attempt: impl FnMut(&str) -> Attempt<T>) -> Result<T, CtlError> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            match attempt(address) {
                Attempt::Done(value) => return Ok(value),
                Attempt::Failed(error) => return Err(error),
                Attempt::TryNext(reason) => reasons.push(format!("{address}: {reason}")),
            }
        }
        Err(CtlError::new(ErrorKind::Unavailable, reasons.join("; ")))
    }
}

fn read_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Attempt<T> {
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(value) => Attempt::Done(value),
            Err(error) => Attempt::TryNext(format!("the answer cannot be read: {error}")),
        };
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) if is_temporary(&body) => Attempt::TryNext(body.message),
        Ok(body) => Attempt::Failed(body.into()),
        Err(_) => bodiless_error(status, |reason| Attempt::TryNext(reason.into())),
    }
}

/// True for errors after which a read is tried at the next instance. Reads have no effect, so this includes `unknown`.
fn is_temporary(body: &ErrorBody) -> bool {
    matches!(body.error.as_str(), "unavailable" | "unknown")
}

fn change_response(address: &str, status: StatusCode, body: &[u8]) -> Attempt<Accepted> {
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(accepted) => Attempt::Done(accepted),
            Err(error) => {
                Attempt::Failed(unknown_result(address, &format!("the answer cannot be read: {error}")))
            }
        };
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) if body.error == ErrorKind::Unavailable.name() => Attempt::TryNext(body.message),
        Ok(body) => Attempt::Failed(body.into()),
        Err(_) => bodiless_error(status, |reason| Attempt::Failed(unknown_result(address, reason))),
    }
}

/// Maps an error status whose body is not an `ErrorBody`, such as one sent by a proxy.
fn bodiless_error<T>(status: StatusCode, server_error: impl FnOnce(&str) -> Attempt<T>) -> Attempt<T> {
    if status == StatusCode::UNAUTHORIZED || status == StatusCode::FORBIDDEN {
        return Attempt::Failed(CtlError::new(ErrorKind::Credential, "the operator credential was refused"));
    }
    let reason = format!("the instance answered with status {}", status.as_u16());
    if status.is_client_error() {
        return Attempt::Failed(CtlError::new(ErrorKind::Malformed, reason));
    }
    server_error(&reason)
}

fn unknown_result(address: &str, reason: &str) -> CtlError {
    CtlError::new(ErrorKind::Unknown, format!("the change was sent to {address}, but {reason}"))
}
