//! Checked settings. All problems are reported at once, each with its flag and variable.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use miette::Diagnostic;
use rattanfall_core::engine::Options;
use thiserror::Error;

use crate::options::{SETTINGS, Texts};

/// Shortest operators' credential, in bytes. Keeps guesses over the network out of reach.
const CREDENTIAL_BYTES: usize = 16;
/// Longest time that a setting may name, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;

/// Settings of one entry process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address that peers connect to; the bound one if absent.
    pub advertise: Option<SocketAddr>,
    /// Operators' credential.
    pub credential: Credential,
    /// Threads that serve callers.
    pub threads: usize,
    /// Platform.
    pub platform: PlatformConfig,
    /// Connections to workers.
    pub upstreams: UpstreamConfig,
    /// Largest answer that is passed on, in bytes.
    pub answer_bytes: u64,
    /// Longest graceful shutdown.
    pub stop: Duration,
    /// Log filter.
    pub log: String,
    /// Settings of the engine. The address is filled in after the peer listener is bound.
    pub engine: Options,
}

/// Settings of the platform client.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address, `ip:port`.
    pub address: String,
    /// Time limit of one append.
    pub append: Duration,
    /// Longest wait of a log read.
    pub read_wait: Duration,
    /// Interval of list reads.
    pub list: Duration,
}

/// Settings of connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamConfig {
    /// Connections to one worker for requests.
    pub connections: usize,
    /// Time limit of a connect.
    pub connect: Duration,
    /// Age at which an idle connection is closed.
    pub idle: Duration,
}

/// Secret that its debug form hides.
#[derive(Clone)]
pub struct Credential(pub String);

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credential(hidden)")
    }
}

/// One problem of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("--{flag} ({variable}): {message}")]
pub struct Problem {
    /// Flag without its dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// What is wrong.
    pub message: String,
}

/// All problems of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{} of the settings cannot be used", problems.len())]
#[diagnostic(help("run with --help to see every setting"))]
pub struct ConfigError {
    /// Problems in the order of the help.
    #[related]
    pub problems: Vec<Problem>,
}

impl Config {
    /// Checks all texts.
    ///
    /// # Errors
    ///
    /// Fails with every problem found.
    pub fn check(texts: &Texts) -> Result<Self, ConfigError> {
        let mut check = Checker { texts, problems: Vec::new() };
        let engine = check.engine();
        let config = Self {
            callers: check.address("callers"),
            operators: check.address("operators"),
            peers: check.address("peers"),
            advertise: check.optional("advertise", "must be ip:port"),
            credential: check.credential(),
            threads: check.size("threads", 1, 64),
            platform: check.platform(),
            upstreams: check.upstreams(),
            answer_bytes: check.number("answer-bytes", 1, u64::MAX),
            stop: check.time("stop-ms"),
            log: check.text("log"),
            engine,
        };
        if check.problems.is_empty() { Ok(config) } else { Err(ConfigError { problems: check.problems }) }
    }
}

struct Checker<'a> {
    texts: &'a Texts,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(&mut self, flag: &'static str, message: impl Into<String>) {
        let variable = SETTINGS.iter().find(|s| s.flag == flag).map_or("", |s| s.variable);
        self.problems.push(Problem { flag, variable, message: message.into() });
    }

    fn text(&mut self, flag: &'static str) -> String {
        let text = self.texts.get(flag).cloned().unwrap_or_default();
        if text.is_empty() {
            self.report(flag, "is required");
        }
        text
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str, rule: &str) -> Option<T> {
        let text = self.texts.get(flag).filter(|text| !text.is_empty())?;
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

    fn number(&mut self, flag: &'static str, least: u64, most: u64) -> u64 {
        let text = self.text(flag);
        match text.parse() {
            Ok(number) if (least..=most).contains(&number) => number,
            _ if text.is_empty() => least,
            _ => {
                self.report(flag, format!("{text:?} is not a number from {least} to {most}"));
                least
            }
        }
    }

    fn size(&mut self, flag: &'static str, least: u64, most: u64) -> usize {
        usize::try_from(self.number(flag, least, most)).unwrap_or(usize::MAX)
    }

    fn small(&mut self, flag: &'static str, least: u64, most: u32) -> u32 {
        u32::try_from(self.number(flag, least, most.into())).unwrap_or(most)
    }

    fn time(&mut self, flag: &'static str) -> Duration {
        Duration::from_millis(self.number(flag, 1, LONGEST_MS))
    }

    fn credential(&mut self) -> Credential {
        let text = self.text("credential");
        if !text.is_empty() && text.len() < CREDENTIAL_BYTES {
            self.report("credential", format!("must have at least {CREDENTIAL_BYTES} bytes"));
        }
        Credential(text)
    }

    fn platform(&mut self) -> PlatformConfig {
        PlatformConfig {
            address: self.address("platform").to_string(),
            append: self.time("append-ms"),
            read_wait: self.time("read-wait-ms"),
            list: self.time("list-ms"),
        }
    }

    fn upstreams(&mut self) -> UpstreamConfig {
        UpstreamConfig {
            connections: self.size("connections", 1, 1_000),
            connect: self.time("connect-ms"),
            idle: self.time("idle-ms"),
        }
    }

    fn engine(&mut self) -> Options {
        let nonce = self.optional("nonce", "must be a number");
        Options {
            name: self.text("name"),
            zone: self.text("zone"),
            address: String::new(),
            nonce: nonce.unwrap_or_else(rand::random),
            commit_ms: self.number("commit-ms", 1, LONGEST_MS),
            gossip_ms: self.number("gossip-ms", 1, LONGEST_MS),
            digest_ttl_ms: self.number("digest-ttl-ms", 1, LONGEST_MS),
            lease_cap_ms: self.number("lease-cap-ms", 1, LONGEST_MS),
            drift_ppm: self.number("drift-ppm", 0, 100_000),
            list_lag_ms: self.number("list-lag-ms", 1, LONGEST_MS),
            stale_ms: self.number("stale-ms", 1, LONGEST_MS),
            connections: self.small("connections", 1, 1_000),
            retry_percent: self.small("retry-percent", 0, 100),
            eject_percent: self.small("eject-percent", 0, 100),
            snapshot_batches: self.number("snapshot-batches", 1, u64::MAX),
        }
    }
}
