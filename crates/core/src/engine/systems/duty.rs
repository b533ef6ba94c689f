//! Shared duties: records that any member may write, and that one should.
//!
//! No member is in charge. For each duty the live members are ranked by rendezvous hashing; a member acts when the
//! duty has been due for its rank times [`TURN_MS`]. A dead or cut-off member thus only delays a duty. Two members that
//! act at once write the same record, and the second one is void.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::super::{Engine, Millis};
use crate::ids::{MemberId, PoolId, WorkerId};

/// Time that each member in the ranking is given, in milliseconds.
const TURN_MS: u64 = 1_000;

/// A record that one of the members should write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::engine) enum Duty {
    EndMember(MemberId),
    Reclaim(MemberId),
    Wave(PoolId),
    Barrier(WorkerId),
    Reboot(WorkerId),
    WorkerList,
    LoseWorker(WorkerId),
    Snapshot,
    Moves,
}

impl Engine {
    /// True if it is this member's turn. The first call notes when the duty became due.
    pub(super) fn is_turn(&mut self, now: Millis, duty: Duty) -> bool {
        let Some(me) = self.member() else {
            return false;
        };
        let due = *self.duties.entry(duty).or_insert(now);
        now.since(due) >= self.rank(me, duty) * TURN_MS
    }

    /// Forgets when a duty became due, because it was done or is not due any more.
    pub(super) fn clear_duty(&mut self, duty: Duty) {
        self.duties.remove(&duty);
    }

    pub(super) fn rank(&self, me: MemberId, duty: Duty) -> u64 {
        let own = weight(me, duty);
        let before = self.fleet.live_members().filter(|id| weight(*id, duty) > own).count();
        u64::try_from(before).unwrap_or(u64::MAX)
    }
}

fn weight(member: MemberId, duty: Duty) -> u64 {
    let mut hasher = DefaultHasher::new();
    (member, duty).hash(&mut hasher);
    hasher.finish()
}
