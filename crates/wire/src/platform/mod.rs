//! Interface to the platform: the log service and the list of instances.

use rattanfall_core::engine::event::{List, ListedEntry};
use rattanfall_core::record::WorkerSeen;
use serde::{Deserialize, Serialize};

/// Offset of the first entry that a log ever takes.
pub const FIRST_OFFSET: u64 = 1;

/// Body of `POST /log/append`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Entries in base64.
    pub entries: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first entry.
    pub first: u64,
}

/// Answer to `GET /log/read?from=&max=&wait_ms=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Lowest offset that is still kept.
    pub earliest: u64,
    /// Offset after the last entry of the log.
    pub end: u64,
    /// Offset of the first entry of this page.
    pub first: u64,
    /// Entries in base64, in offset order.
    pub entries: Vec<String>,
}

/// Body of an answer with status 410: `from` is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogGone {
    /// Lowest offset that is still kept.
    pub earliest: u64,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Entry instance.
    Entry,
    /// Upstream worker.
    Worker,
}

/// State of a listed instance. An instance leaves the list only after its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Runs.
    Live,
    /// Will be stopped soon.
    Leaving,
    /// Cannot be reached by the platform; its process may still run.
    Unreachable,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name; a replacement keeps it.
    pub name: String,
    /// Random number of the process.
    pub nonce: u64,
    /// Kind.
    pub kind: Kind,
    /// Address, `ip:port`: the peer listener of an entry instance, the HTTP listener of a worker.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack; empty for an entry instance.
    #[serde(default)]
    pub rack: String,
    /// Pool; empty for an entry instance.
    #[serde(default)]
    pub pool: String,
    /// Slots; 0 for an entry instance.
    #[serde(default)]
    pub slots: u32,
    /// State.
    pub state: State,
}

/// Answer to `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version; grows with each change.
    pub version: u64,
    /// Instances.
    pub instances: Vec<Instance>,
}

/// Body of `POST /workers/{name}/reboot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reboot {
    /// Pool that the worker serves afterwards.
    pub pool: String,
}

impl From<InstanceList> for List {
    fn from(list: InstanceList) -> Self {
        let mut entries = Vec::new();
        let mut workers = Vec::new();
        for instance in list.instances {
            let leaving = instance.state == State::Leaving;
            match instance.kind {
                Kind::Entry => {
                    entries.push(ListedEntry { name: instance.name, nonce: instance.nonce, leaving });
                }
                Kind::Worker => {
                    workers.push(WorkerSeen::from(instance));
                }
            }
        }
        Self { version: list.version, entries, workers }
    }
}

impl From<Instance> for WorkerSeen {
    fn from(instance: Instance) -> Self {
        Self {
            leaving: instance.state == State::Leaving,
            name: instance.name,
            nonce: instance.nonce,
            address: instance.address,
            zone: instance.zone,
            rack: instance.rack,
            pool: instance.pool,
            slots: instance.slots,
        }
    }
}
