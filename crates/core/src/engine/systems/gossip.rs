//! Gossip: sends digests to the peers and stores theirs.

use super::super::command::Command;
use super::super::event::Digest;
use super::super::{Engine, Millis};
use crate::fleet::{MemberState, ZoneState};
use crate::ids::{KeyId, MemberId, TeamId, WorkerId, ZoneId};

/// Maximum withdrawn keys in a digest, newest first. Older withdrawals are in every replica.
const WITHDRAWN_KEYS: usize = 64;
/// Digests sent per expiry time ([`digest_ttl_ms`](super::super::Options::digest_ttl_ms)) when nothing changes, so that
/// two of three may be lost.
const KEEP_ALIVES: u64 = 3;

impl Engine {
    pub(in crate::engine) fn run_gossip(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        if now.since(self.last_gossip) < self.options.gossip_ms {
            return;
        }
        self.last_gossip = now;
        let digest = self.make_digest(me);
        if !self.is_due(now, &digest) {
            return;
        }
        self.digest_count += 1;
        self.sent_loads.clone_from(&digest.loads);
        self.sent_digest = Some((now, digest.clone()));
        self.emit(Command::Gossip(digest));
    }

    /// True if a digest differs from the last one sent, or if the last one would soon expire at the peers.
    fn is_due(&self, now: Millis, digest: &Digest) -> bool {
        let Some((sent, last)) = &self.sent_digest else {
            return true;
        };
        let repeat = Digest { number: last.number, applied: last.applied, ..digest.clone() };
        repeat != *last || now.since(*sent) >= self.options.digest_ttl_ms / KEEP_ALIVES
    }

    fn make_digest(&self, me: MemberId) -> Digest {
        Digest {
            member: me,
            number: self.digest_count + 1,
            applied: self.fleet.applied,
            loads: self.own_loads(),
            wanted: self.wanted(me),
            suspects: self.suspects(),
            withdrawn: self.withdrawn(),
            removed: self.removed(),
        }
    }

    fn wanted(&self, me: MemberId) -> Vec<(TeamId, u32)> {
        self.missing_slots(me).collect()
    }

    fn suspects(&self) -> Vec<WorkerId> {
        let suspect = self.upstreams.rows.iter().filter(|(_, row)| row.leaving || row.failures > 2);
        let mut suspects: Vec<WorkerId> = suspect.map(|(id, _)| *id).chain(self.ejected()).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    fn withdrawn(&self) -> Vec<KeyId> {
        let keys = self.fleet.keys.iter().rev().filter(|(_, key)| key.withdrawn).map(|(id, _)| *id);
        keys.take(WITHDRAWN_KEYS).collect()
    }

    fn removed(&self) -> Vec<(ZoneId, u64)> {
        let removed = self.fleet.zones.iter().filter(|(_, zone)| zone.state == ZoneState::Removed);
        removed.map(|(id, zone)| (*id, zone.version)).collect()
    }

    pub(in crate::engine) fn receive_digest(&mut self, now: Millis, digest: Digest) {
        let ended = self.fleet.members.get(&digest.member).is_some_and(|m| m.state != MemberState::Live);
        if !ended {
            self.peers.learn(now, digest);
        }
    }
}
