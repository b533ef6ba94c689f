//! JSON bodies of the platform's HTTP API: the append-only log and the list of instances.

use rattanfall_core::engine::event::{List, ListedEntry};
use rattanfall_core::record::WorkerSeen;
use serde::{Deserialize, Serialize};

/// Offset of the first entry ever appended to a log.
pub const FIRST_OFFSET: u64 = 1;

/// Body of `POST /log/append`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Entries, each encoded in base64.
    pub entries: Vec<String>,
}

/// Response to `POST /log/append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended entry; the others follow without gaps.
    pub first: u64,
}

/// Response to `GET /log/read?from=&max=&wait_ms=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Lowest offset still retained.
    pub earliest: u64,
    /// Offset after the last entry of the log.
    pub end: u64,
    /// Offset of the first entry of this page.
    pub first: u64,
    /// Entries in offset order, each encoded in base64.
    pub entries: Vec<String>,
}

/// Response body with status 410: the entry at `from` is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogGone {
    /// Lowest offset still retained.
    pub earliest: u64,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Accepts callers' requests and schedules them.
    Entry,
    /// Upstream worker, which runs requests and tasks.
    Worker,
}

/// State of a listed instance. An instance leaves the list only after its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running.
    Live,
    /// Running, and about to be stopped by the platform.
    Leaving,
    /// Not reachable from the platform; its process may still run.
    Unreachable,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, which a replacement process keeps.
    pub name: String,
    /// Random number that tells a process from earlier ones of the same name.
    pub nonce: u64,
    /// Role of the instance.
    pub kind: Kind,
    /// Address, `ip:port`: the peer listener of an entry instance, the HTTP listener of a worker.
    pub address: String,
    /// Availability zone that hosts the instance.
    pub zone: String,
    /// Rack; empty for an entry instance.
    #[serde(default)]
    pub rack: String,
    /// Pool that the worker serves; empty for an entry instance.
    #[serde(default)]
    pub pool: String,
    /// Units of work that the worker runs at once; 0 for an entry instance.
    #[serde(default)]
    pub slots: u32,
    /// State as last observed by the platform.
    pub state: State,
}

/// Response to `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Increases with each change of the list.
    pub version: u64,
    /// Entry instances and workers whose processes have not ended.
    pub instances: Vec<Instance>,
}

/// Body of `POST /workers/{name}/reboot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reboot {
    /// Pool that the worker serves after the reboot.
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
