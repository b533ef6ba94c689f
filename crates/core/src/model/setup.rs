//! Configuration of an exploration: members, bounds and seeded faults.

use super::entry::{Action, Entry, RecordKind};
use crate::declaration::{Declaration, Pool, Team};
use crate::fleet::Fleet;
use crate::ids::{MemberId, Offset};
use crate::record::{Batch, Origin, Record};

/// Name of the only team.
pub(super) const TEAM: &str = "team";
/// Names of the pools; all workers start in the first.
pub(super) const POOLS: [&str; 2] = ["pool-1", "pool-2"];

/// Configuration of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Slots that each member holds initially, one entry per member.
    pub holds: Vec<u32>,
    /// Upper limit of the team, in slots.
    pub limit: u32,
    /// Number of workers, at most 2.
    pub hosts: u8,
    /// Kinds of records that members may write.
    pub kinds: Vec<RecordKind>,
    /// Whether members start requests.
    pub requests: bool,
    /// Limits on events, which keep the state space finite.
    pub bounds: Bounds,
    /// Number of instance names whose processes may be killed, frozen or disconnected.
    pub failing_names: u8,
    /// Rules that are switched off, to verify that the checker finds the resulting violation.
    pub faults: Faults,
}

/// Maximum number of occurrences of each event in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Log entries after the setup.
    pub entries: u8,
    /// Requests started.
    pub requests: u8,
    /// Appends repeated for lack of an answer.
    pub repeats: u8,
    /// Appends delayed by the network.
    pub delays: u8,
    /// Kills of a process.
    pub kills: u8,
    /// Processes started as replacement of an ended one.
    pub restarts: u8,
    /// Freezes of a process; each may resume.
    pub freezes: u8,
    /// Disconnections of a process from the log; each may be reconnected.
    pub disconnects: u8,
    /// Outages of the platform; each may end again.
    pub outages: u8,
    /// Crashes of a worker, each followed by a restart.
    pub crashes: u8,
}

/// Seeded faults: each switches off a rule that an implementation must follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Holds of a gone member are reclaimed at once.
    pub no_reclaim_wait: bool,
    /// Workers neither end work nor refuse starts when a lease has expired.
    pub no_lease_expiry: bool,
    /// Workers are rebooted before they are quiescent.
    pub no_barrier: bool,
    /// Members confirm a drain or a move while their work on the worker is still running.
    pub early_confirmation: bool,
    /// Repeated appends take effect again.
    pub no_dedup: bool,
    /// A join ends every member of its name that is live at its offset, not only those seen at the start.
    pub join_ends_all: bool,
    /// A non-idempotent task is dispatched before its start record is in the log.
    pub late_start_record: bool,
    /// A member keeps using slots that it gives away or releases until it applies the record.
    pub use_given_slots: bool,
    /// A frozen or disconnected process counts as ended.
    pub silence_means_ended: bool,
    /// The report of a restarted worker that it never ran a task counts as proof.
    pub trust_restarted_worker: bool,
}

impl Setup {
    /// Replicated state after the setup, and the next offset.
    pub(super) fn fleet(&self) -> (Fleet, Offset) {
        let mut fleet = Fleet::default();
        let mut offset = Offset(0);
        let mut append = |batch: &Batch| {
            let applied = fleet.apply(offset, batch);
            debug_assert!(applied.results.iter().all(Result::is_ok), "{applied:?}");
            offset = offset.next();
        };
        for name in (0_u8..).take(self.holds.len()) {
            let action = Action::Join { name, nonce: name + 1, ends: None };
            append(&Entry { origin: Origin::Joining(u64::from(name) + 1), sequence: 1, action }.batch());
        }
        let change = Record::ConfigChanged { base: 0, declaration: self.declaration() };
        let workers = (0..self.hosts).map(|host| Action::Seen { host, nonce: 1 }.record());
        let setup = std::iter::once(change).chain(workers).collect();
        append(&Batch { origin: Origin::Member(MemberId(0)), sequence: 1, records: setup });
        for (member, slots) in (0_u64..).zip(&self.holds).filter(|(_, slots)| **slots > 0) {
            let records = vec![Action::Claim(*slots).record()];
            append(&Batch { origin: Origin::Member(MemberId(member)), sequence: 2, records });
        }
        (fleet, offset)
    }

    fn declaration(&self) -> Declaration {
        let pools = POOLS.map(|name| (name.to_owned(), Pool::default()));
        let team = Team { share: 1, limit: self.limit };
        Declaration {
            pools: pools.into_iter().collect(),
            teams: std::iter::once((TEAM.to_owned(), team)).collect(),
            ..Declaration::default()
        }
    }
}
