//! HTTP client of the operator interface.
//!
//! Reads are tried at each address in order. A change is tried at the next address only if the one before certainly
//! did not make it: nothing was sent, or the instance said so. Otherwise its result is unknown.

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
use crate::error::{CtlError, Kind};
use exchange::{Call, Failure};

/// Client of the operator interface.
pub struct Client {
    runtime: Runtime,
    addresses: Vec<String>,
    credential: String,
    timeout: Duration,
}

/// What one address said.
enum Answer<T> {
    Done(T),
    /// The instance certainly did nothing; another one may do it.
    Next(String),
    Failed(CtlError),
}

impl Client {
    /// Creates a client from the connection flags.
    ///
    /// # Errors
    ///
    /// Fails if no address or no credential is given.
    pub fn new(matches: &ArgMatches) -> Result<Self, CtlError> {
        let client = Self::reader(matches)?;
        if client.credential.is_empty() {
            let message = "no credential: set RATTANFALL_CREDENTIAL or --credential";
            return Err(CtlError::new(Kind::Usage, message));
        }
        Ok(client)
    }

    /// Creates a client for interfaces that only read and need no credential.
    ///
    /// # Errors
    ///
    /// Fails if no address is given.
    pub fn reader(matches: &ArgMatches) -> Result<Self, CtlError> {
        let addresses: Vec<String> = matches
            .get_many::<String>(args::OPERATOR)
            .ok_or_else(|| CtlError::new(Kind::Usage, "no address: set --operator or RATTANFALL_OPERATOR"))?
            .map(|address| address.trim().trim_start_matches("http://").trim_end_matches('/').to_owned())
            .collect();
        let credential = args::text(matches, args::CREDENTIAL).to_owned();
        let timeout = matches.get_one::<u64>(args::TIMEOUT).copied().unwrap_or_default();
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| CtlError::new(Kind::Unavailable, error.to_string()))?;
        Ok(Self { runtime, addresses, credential, timeout: Duration::from_millis(timeout) })
    }

    /// Reads from the first instance that answers.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers or if one refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let call = self.call(Method::GET, path, Bytes::new());
        self.in_order(|address| match self.send(address, &call) {
            Ok((status, body)) => read_answer(status, &body),
            Err(Failure::Unsent(reason) | Failure::Lost(reason)) => Answer::Next(reason),
        })
    }

    /// Makes a change at most once.
    ///
    /// # Errors
    ///
    /// Fails if the change is refused, if no instance could make it, or if its result is unknown.
    pub fn change(&self, method: Method, path: &str, body: &impl Serialize) -> Result<Accepted, CtlError> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| CtlError::new(Kind::Invalid, error.to_string()))?;
        let call = self.call(method, path, body.into());
        self.in_order(|address| match self.send(address, &call) {
            Ok((status, body)) => change_answer(address, status, &body),
            Err(Failure::Unsent(reason)) => Answer::Next(reason),
            Err(Failure::Lost(reason)) => Answer::Failed(unknown(address, &reason)),
        })
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Call {
        Call { method, path: path.into(), body, credential: self.credential.clone() }
    }

    fn send(&self, address: &str, call: &Call) -> Result<(StatusCode, Bytes), Failure> {
        self.runtime.block_on(exchange::exchange(address, call, self.timeout))
    }

    fn in_order<T>(&self, mut ask: impl FnMut(&str) -> Answer<T>) -> Result<T, CtlError> {
        let mut reasons = Vec::new();
        for address in &self.addresses {
            match ask(address) {
                Answer::Done(value) => return Ok(value),
                Answer::Failed(error) => return Err(error),
                Answer::Next(reason) => reasons.push(format!("{address}: {reason}")),
            }
        }
        Err(CtlError::new(Kind::Unavailable, reasons.join("; ")))
    }
}

fn read_answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Answer<T> {
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(value) => Answer::Done(value),
            Err(error) => Answer::Next(format!("the answer cannot be read: {error}")),
        };
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) if is_temporary(&body) => Answer::Next(body.message),
        Ok(body) => Answer::Failed(body.into()),
        Err(_) => without_body(status, |reason| Answer::Next(reason.into())),
    }
}

/// A read changes nothing, so a read that an instance cannot answer now may be asked elsewhere.
fn is_temporary(body: &ErrorBody) -> bool {
    matches!(body.error.as_str(), "unavailable" | "unknown")
}

fn change_answer(address: &str, status: StatusCode, body: &[u8]) -> Answer<Accepted> {
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(accepted) => Answer::Done(accepted),
            Err(error) => Answer::Failed(unknown(address, &format!("the answer cannot be read: {error}"))),
        };
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) if body.error == Kind::Unavailable.name() => Answer::Next(body.message),
        Ok(body) => Answer::Failed(body.into()),
        Err(_) => without_body(status, |reason| Answer::Failed(unknown(address, reason))),
    }
}

/// Maps an error status whose body is no error of the operator interface.
fn without_body<T>(status: StatusCode, server_error: impl FnOnce(&str) -> Answer<T>) -> Answer<T> {
    if status == StatusCode::UNAUTHORIZED || status == StatusCode::FORBIDDEN {
        return Answer::Failed(CtlError::new(Kind::Credential, "the operator credential was refused"));
    }
    let reason = format!("the instance answered with status {}", status.as_u16());
    if status.is_client_error() {
        return Answer::Failed(CtlError::new(Kind::Malformed, reason));
    }
    server_error(&reason)
}

fn unknown(address: &str, reason: &str) -> CtlError {
    CtlError::new(Kind::Unknown, format!("the change was sent to {address}, but {reason}"))
}
