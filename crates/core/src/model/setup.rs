//! Configuration of one exploration: members, bounds and seeded faults.

use super::entry::{Act, Entry, Kind};
use crate::declaration::{Declaration, Pool, Team};
use crate::fleet::Fleet;
use crate::ids::{MemberId, Offset};
use crate::record::{Batch, Origin, Record};

/// Name of the one team.
pub(super) const TEAM: &str = "team";
/// Names of the two pools; workers start in the first.
pub(super) const POOLS: [&str; 2] = ["pool-1", "pool-2"];

/// What is explored.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Slots that each member holds at the start; the length is the number of members.
    pub holds: Vec<u32>,
    /// Upper limit of the team, in slots.
    pub limit: u32,
    /// Number of workers, 1 or 2.
    pub hosts: u8,
    /// Records that members may write.
    pub kinds: Vec<Kind>,
    /// True if members start requests.
    pub requests: bool,
    /// Bounds that keep the state space finite.
    pub bounds: Bounds,
    /// Names whose processes may be killed, frozen or cut off, from the first.
    pub victims: u8,
    /// Rules that are switched off.
    pub faults: Faults,
}

/// How often each event may occur in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Entries of the log after the start.
    pub entries: u8,
    /// Requests started.
    pub requests: u8,
    /// Appends repeated because no answer came.
    pub repeats: u8,
    /// Appends that the network delays.
    pub delays: u8,
    /// Processes killed.
    pub kills: u8,
    /// Processes started again under the name of an ended one.
    pub restarts: u8,
    /// Processes frozen; each may resume.
    pub freezes: u8,
    /// Processes cut off from the log; each may be connected again.
    pub cuts: u8,
    /// Outages of the platform; each may end.
    pub outages: u8,
    /// Workers that crash and start again.
    pub crashes: u8,
}

/// Rules that a faulty implementation would miss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Holds of a gone member are reclaimed at once.
    pub no_wait: bool,
    /// Workers neither end work nor refuse starts when a lease lapses.
    pub no_lease: bool,
    /// Workers reboot before every live member has confirmed.
    pub no_barrier: bool,
    /// Members confirm a drain or a move while their work on the worker runs.
    pub early_confirmation: bool,
    /// Repeated appends take effect again.
    pub no_dedup: bool,
    /// A join ends every live member of its name at its offset.
    pub join_ends_all: bool,
    /// A task is dispatched before its start record.
    pub late_start_record: bool,
    /// A member keeps using slots that it has given away until it applies the record.
    pub late_lowering: bool,
    /// A frozen or cut-off process counts as ended.
    pub silence_is_death: bool,
    /// A restarted worker's word that it never ran a task counts.
    pub trust_restarted: bool,
}

impl Setup {
    /// Replicated state at the start and the first offset after it.
    pub(super) fn fleet(&self) -> (Fleet, Offset) {
        let mut fleet = Fleet::default();
        let mut offset = Offset(0);
        let mut append = |batch: &Batch| {
            let applied = fleet.apply(offset, batch);
            debug_assert!(applied.results.iter().all(Result::is_ok), "{applied:?}");
            offset = offset.next();
        };
        for name in (0_u8..).take(self.holds.len()) {
            let act = Act::Join { name, nonce: name + 1, ends: None };
            append(&Entry { origin: Origin::Joining(u64::from(name) + 1), sequence: 1, act }.batch());
        }
        let change = Record::ConfigChanged { base: 0, declaration: self.declaration() };
        let workers = (0..self.hosts).map(|host| Act::Seen { host, nonce: 1 }.record());
        let setup = std::iter::once(change).chain(workers).collect();
        append(&Batch { origin: Origin::Member(MemberId(0)), sequence: 1, records: setup });
        for (member, slots) in (0_u64..).zip(&self.holds).filter(|(_, slots)| **slots > 0) {
            let records = vec![Act::Claim(*slots).record()];
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
