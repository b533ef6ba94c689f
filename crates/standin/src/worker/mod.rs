//! Stand-in for one upstream worker: requests, tasks under leases, journal, faults.

mod control;
mod faults;
mod journal;
mod payload;
mod request;
mod service;
mod state;
mod tasks;

pub use faults::Faults;
pub use journal::{Entry, Journal, JournalPage, RunEnd, Start};
pub use payload::{Checkpoint, Payload, TaskResult, decode, encode};
pub use tasks::Tasks;

use parking_lot::Mutex;
use rattanfall_wire::platform;
use serde::{Deserialize, Serialize};
use state::State;
use tokio::sync::watch;

/// Header with a token that the caller gave the work; answers echo it and the journal keeps it.
pub const TOKEN_HEADER: &str = "x-caller-token";
/// Header with the team, for the journal's peaks.
pub const TEAM_HEADER: &str = "x-team";
/// Header with the duration of the work, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";
/// Header with the size of the answer, in bytes.
pub const ANSWER_HEADER: &str = "x-answer-bytes";
/// Header of every answer with the worker's nonce.
pub const NONCE_HEADER: &str = "x-worker-nonce";
/// Header of every answer with the worker's name.
pub const NAME_HEADER: &str = "x-worker";
/// Header of an answer with the size of the request body that arrived, in bytes.
pub const RECEIVED_HEADER: &str = "x-received-bytes";

/// Settings of one worker.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name.
    pub name: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Pool.
    pub pool: String,
    /// Slots.
    pub slots: u32,
    /// Lease time, in milliseconds.
    pub lease_ms: u64,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Starts that the journal keeps.
    pub journal: usize,
}

/// Answer to `POST /control/reboot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rebooting {
    /// Nonce after the reboot.
    pub nonce: u64,
    /// Time until the worker serves again, in milliseconds.
    pub ready_ms: u64,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    spec: Spec,
    state: Mutex<State>,
    // Counts the reboots; each one ends the running requests.
    reboots: watch::Sender<u64>,
}

impl Worker {
    /// Idle worker.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let state = Mutex::new(State::new(&spec));
        Self { spec, state, reboots: watch::Sender::new(0) }
    }

    /// Worker as the platform lists it.
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
