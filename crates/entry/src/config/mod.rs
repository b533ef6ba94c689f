//! Validated settings. All problems are reported together, each with its flag and environment variable.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use miette::Diagnostic;
use rattanfall_core::engine::Options;
use thiserror::Error;

use crate::options::{RawSettings, SETTINGS};
use crate::server::RequestLimits;

/// Shortest credential of operators, in bytes. Long enough to prevent guessing over the network.
const MIN_CREDENTIAL_BYTES: usize = 16;
/// Smallest budget of unfinished requests, in bytes. A few heads of the largest size fit.
const MIN_REQUEST_BUDGET_BYTES: u64 = 256 << 10;
/// Smallest memory of accepted tasks, in bytes. Several payloads of the default limit fit.
const MIN_ACCEPTED_BYTES: u64 = 1 << 20;
/// Largest value of a duration setting, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Settings of one entry process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for peers.
    pub peers: SocketAddr,
    /// Address that peers connect to; the bound peer address if `None`.
    pub advertise: Option<SocketAddr>,
    /// Bearer credential of operators.
    pub credential: Credential,
    /// Threads that serve callers.
    pub threads: usize,
    /// Client of the platform.
    pub platform: PlatformConfig,
    /// Connections to workers.
    pub upstreams: UpstreamConfig,
    /// Largest response of a worker that is passed on, in bytes.
    pub answer_bytes: u64,
    /// Limits of requests and connections.
    pub requests: RequestLimits,
    /// Time limit of a graceful shutdown.
    pub stop_timeout: Duration,
    /// Log filter in the syntax of `env_logger`.
    pub log: String,
    /// Settings of the engine. The address is set once the peer listener is bound.
    pub engine: Options,
}

/// Settings of the platform client.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address of the platform, `ip:port`.
    pub address: String,
    /// Time limit of one append.
    pub append_timeout: Duration,
    /// Longest time that a log read waits for a new entry.
    pub read_wait: Duration,
    /// Interval at which the instance list is read.
    pub list_interval: Duration,
}

/// Settings of connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamConfig {
    /// Most connections to one worker for requests.
    pub connections: usize,
    /// Time limit for connecting.
    pub connect: Duration,
    /// Idle time after which a connection is closed.
    pub idle: Duration,
}

/// Secret whose `Debug` output is hidden.
#[derive(Clone)]
pub struct Credential(pub String);

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credential(hidden)")
    }
}

/// Problem of one setting.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("--{flag} ({variable}): {message}")]
pub struct Problem {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Requirement that the value does not meet.
    pub message: String,
}

/// Report of all problems of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{} invalid settings", problems.len())]
#[diagnostic(help("run with --help to list all settings"))]
pub struct ConfigError {
    /// Problems; never empty.
    #[related]
    pub problems: Vec<Problem>,
}

impl Config {
    /// Parses and validates all settings.
    ///
    /// # Errors
    ///
    /// Fails with every problem that was found.
    pub fn parse(raw: &RawSettings) -> Result<Self, ConfigError> {
        let mut parser = Parser { raw, problems: Vec::new() };
        let engine = parser.engine();
        let config = Self {
            callers: parser.address("callers"),
            operators: parser.address("operators"),
            peers: parser.address("peers"),
            advertise: parser.optional("advertise", "must be ip:port"),
            credential: parser.credential(),
            threads: parser.usize_number("threads", 1, 64),
            platform: parser.platform(),
            upstreams: parser.upstreams(),
            answer_bytes: parser.number("answer-bytes", 1, u64::MAX),
            requests: parser.requests(),
            stop_timeout: parser.duration("stop-ms"),
            log: parser.text("log"),
            engine,
        };
        if parser.problems.is_empty() { Ok(config) } else { Err(ConfigError { problems: parser.problems }) }
    }
}

struct Parser<'a> {
    raw: &'a RawSettings,
    problems: Vec<Problem>,
}

impl Parser<'_> {
    fn report(&mut self, flag: &'static str, message: impl Into<String>) {
        let variable = SETTINGS.iter().find(|s| s.flag == flag).map_or("", |s| s.variable);
        self.problems.push(Problem { flag, variable, message: message.into() });
    }

    fn text(&mut self, flag: &'static str) -> String {
        let text = self.raw.get(flag).cloned().unwrap_or_default();
        if text.is_empty() {
            self.report(flag, "is required");
        }
        text
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str, rule: &str) -> Option<T> {
        let text = self.raw.get(flag).filter(|text| !text.is_empty())?;
        let value = text.parse().ok();
        if value.is_none() {
            self.report(flag, rule);
        }
        value
    }

    fn address(&mut self, flag: &'static str) -> SocketAddr {
        let text = self.text(flag);
        if let Ok(address) = text.parse() {
            return address;
        }
        if !text.is_empty() {
            self.report(flag, format!("{text:?} is not an address of the form ip:port"));
        }
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    fn number(&mut self, flag: &'static str, min: u64, max: u64) -> u64 {
        let text = self.text(flag);
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ if text.is_empty() => min,
            _ => {
                self.report(flag, format!("{text:?} is not a number from {min} to {max}"));
                min
            }
        }
    }

    fn usize_number(&mut self, flag: &'static str, min: u64, max: u64) -> usize {
        usize::try_from(self.number(flag, min, max)).unwrap_or(usize::MAX)
    }

    fn u32_number(&mut self, flag: &'static str, min: u64, max: u32) -> u32 {
        u32::try_from(self.number(flag, min, max.into())).unwrap_or(max)
    }

    fn duration(&mut self, flag: &'static str) -> Duration {
        Duration::from_millis(self.number(flag, 1, MAX_DURATION_MS))
    }

    fn credential(&mut self) -> Credential {
        let text = self.text("credential");
        if !text.is_empty() && text.len() < MIN_CREDENTIAL_BYTES {
            self.report("credential", format!("must have at least {MIN_CREDENTIAL_BYTES} bytes"));
        }
        Credential(text)
    }

    fn platform(&mut self) -> PlatformConfig {
        PlatformConfig {
            address: self.address("platform").to_string(),
            append_timeout: self.duration("append-ms"),
            read_wait: self.duration("read-wait-ms"),
            list_interval: self.duration("list-ms"),
        }
    }

    fn upstreams(&mut self) -> UpstreamConfig {
        UpstreamConfig {
            connections: self.usize_number("connections", 1, 1_000),
            connect: self.duration("connect-ms"),
            idle: self.duration("idle-ms"),
        }
    }

    fn requests(&mut self) -> RequestLimits {
        RequestLimits {
            budget_bytes: self.number("request-budget-bytes", MIN_REQUEST_BUDGET_BYTES, u64::MAX),
            body_bytes: self.number("request-body-bytes", 1, u64::MAX),
            connections: self.usize_number("request-connections", 1, 1_000_000),
            body: self.duration("request-body-ms"),
            head: self.duration("request-head-ms"),
            delivery: self.duration("request-delivery-ms"),
            idle: self.duration("request-idle-ms"),
        }
    }

    fn engine(&mut self) -> Options {
        let nonce = self.optional("nonce", "must be a number");
        Options {
            name: self.text("name"),
            zone: self.text("zone"),
            address: String::new(),
            nonce: nonce.unwrap_or_else(rand::random),
            commit_ms: self.number("commit-ms", 1, MAX_DURATION_MS),
            gossip_ms: self.number("gossip-ms", 1, MAX_DURATION_MS),
            digest_ttl_ms: self.number("digest-ttl-ms", 1, MAX_DURATION_MS),
            lease_cap_ms: self.number("lease-cap-ms", 1, MAX_DURATION_MS),
            drift_ppm: self.number("drift-ppm", 0, 100_000),
            list_lag_ms: self.number("list-lag-ms", 1, MAX_DURATION_MS),
            stale_ms: self.number("stale-ms", 1, MAX_DURATION_MS),
            connections: self.u32_number("connections", 1, 1_000),
            retry_percent: self.u32_number("retry-percent", 0, 100),
            eject_percent: self.u32_number("eject-percent", 0, 100),
            snapshot_batches: self.number("snapshot-batches", 1, u64::MAX),
            accepted_bytes: self.number("accepted-bytes", MIN_ACCEPTED_BYTES, u64::MAX),
        }
    }
}
