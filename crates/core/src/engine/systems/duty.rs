//! Duties: actions that any member may perform and that one of them should.
//!
//! There is no leader. For each duty the live members are ranked by rendezvous hashing, and a member acts once the
//! duty has been due for its rank times [`TURN_MS`]. A dead or partitioned member therefore only delays a duty. If two
//! members act at the same time, they write the same record and the second one is void.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::super::{Engine, Millis};
use crate::ids::{MemberId, PoolId, WorkerId};

/// Time after which the next member in the ranking acts too, in milliseconds.
const TURN_MS: u64 = 1_000;

/// Action that one of the members should perform.
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
    /// True if it is this member's turn. The first call records that the duty became due.
    pub(super) fn is_turn(&mut self, now: Millis, duty: Duty) -> bool {
        let Some(me) = self.member() else {
            return false;
        };
        let due = *self.duties.entry(duty).or_insert(now);
        now.since(due) >= self.rank(me, duty) * TURN_MS
    }

    /// Clears the time at which a duty became due: it was performed or is no longer due.
    pub(super) fn clear_duty(&mut self, duty: Duty) {
        self.duties.remove(&duty);
    }

    /// Number of live members that come before `me` for a duty.
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
