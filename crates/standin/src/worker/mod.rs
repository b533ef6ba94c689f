//! Stand-in for an upstream worker. It simulates requests and leased tasks, injects faults on demand and keeps a
//! journal of everything that it started.

mod control;
mod faults;
mod journal;
mod payload;
mod request;
mod service;
mod state;
mod tasks;

pub use faults::Faults;
pub use journal::{Entry, Journal, JournalPage, RunOutcome, StartedWork};
pub use payload::{Checkpoint, Payload, TaskResult, decode, encode};
pub use tasks::Tasks;

use parking_lot::Mutex;
use rattanfall_wire::platform;
use serde::{Deserialize, Serialize};
use state::State;
use tokio::sync::watch;

/// Request header with the caller's token for the work. The answer echoes it and the journal records it.
pub const TOKEN_HEADER: &str = "x-caller-token";
/// Request header with the team that the work counts for in [`JournalPage::peaks`].
pub const TEAM_HEADER: &str = "x-team";
/// Request header with the duration of the work, in milliseconds.
pub const WORK_MS_HEADER: &str = "x-work-ms";
/// Request header with the size of the answer's body, in bytes.
pub const ANSWER_BYTES_HEADER: &str = "x-answer-bytes";
/// Answer header with the worker's nonce; on every answer.
pub const NONCE_HEADER: &str = "x-worker-nonce";
/// Answer header with the worker's name; on every answer.
pub const NAME_HEADER: &str = "x-worker";
/// Answer header with the size of the received request body, in bytes.
pub const RECEIVED_BYTES_HEADER: &str = "x-received-bytes";

/// Specification of one worker.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Unique among the platform's instances.
    pub name: String,
    /// `ip:port` that the worker listens on.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the rack that holds the worker.
    pub rack: String,
    /// Pool until the first reboot, which can change it.
    pub pool: String,
    /// Requests and tasks that the worker runs concurrently.
    pub slots: u32,
    /// Time from grant or renewal to expiry of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Maximum number of journal entries; the oldest are dropped.
    pub journal_entries: usize,
}

/// Answer to `POST /control/reboot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rebooting {
    /// Nonce after the reboot.
    pub nonce: u64,
    /// Time until the worker serves again, in milliseconds.
    pub ready_ms: u64,
}

/// Worker with its settings and state.
#[derive(Debug)]
pub struct Worker {
    spec: Spec,
    state: Mutex<State>,
    /// Number of reboots. Running requests watch it and end when it changes.
    reboots: watch::Sender<u64>,
}

impl Worker {
    /// Creates an idle worker with a random nonce.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let state = Mutex::new(State::new(&spec));
        Self { spec, state, reboots: watch::Sender::new(0) }
    }

    /// Returns the entry to register in the platform's list of instances.
    #[must_use]
    pub fn instance(&self) -> platform::Instance {
        let state = self.state.lock();
        platform::Instance {
            name: self.spec.name.clone(),
            nonce: state.nonce,
            kind: platform::Kind::Worker,
            address: self.spec.address.clone(),
            zone: self.spec.zone.clone(),
            rack: self.spec.rack.clone(),
            pool: state.pool.clone(),
            slots: self.spec.slots,
            state: platform::State::Live,
        }
    }
}
