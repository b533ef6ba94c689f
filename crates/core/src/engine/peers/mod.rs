//! Table of the digests received from peers.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use super::event::{Digest, Load};
use crate::ids::{KeyId, MemberId, TeamId, WorkerId, ZoneId};

/// Last digest of each peer, and facts from all digests that outlive them.
#[derive(Debug, Default)]
pub(super) struct Peers {
    rows: BTreeMap<MemberId, (Millis, Digest)>,
    /// Union of the peers' suspects, kept because each placement looks up all workers of a pool.
    suspected: BTreeSet<WorkerId>,
    /// Withdrawn keys that any peer has reported.
    pub(super) withdrawn: BTreeSet<KeyId>,
    /// Highest version at which each zone was removed, as reported by any peer.
    pub(super) removed: BTreeMap<ZoneId, u64>,
}

impl Peers {
    /// Stores a digest if it is newer than the last one of its sender.
    pub(super) fn learn(&mut self, now: Millis, digest: Digest) {
        self.withdrawn.extend(digest.withdrawn.iter().copied());
        for (zone, version) in &digest.removed {
            let known = self.removed.entry(*zone).or_default();
            *known = (*known).max(*version);
        }
        let newer = self.rows.get(&digest.member).is_none_or(|(_, old)| old.number < digest.number);
        if newer {
            let suspects = digest.suspects.clone();
            let old = self.rows.insert(digest.member, (now, digest));
            if old.map_or_else(Vec::new, |(_, old)| old.suspects) != suspects {
                self.collect_suspects();
            }
        }
    }

    fn collect_suspects(&mut self) {
        self.suspected = self.rows.values().flat_map(|(_, digest)| &digest.suspects).copied().collect();
    }

    /// Drops digests that are older than `ttl_ms`.
    pub(super) fn expire(&mut self, now: Millis, ttl_ms: u64) {
        let before = self.rows.len();
        self.rows.retain(|_, (received, _)| now.since(*received) <= ttl_ms);
        if self.rows.len() < before {
            self.collect_suspects();
        }
    }

    /// Peers with a digest that has not expired.
    pub(super) fn recent_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.rows.keys().copied()
    }

    /// Loads of all peers, in the order of member ids.
    pub(super) fn loads(&self) -> impl Iterator<Item = (MemberId, &Load)> + '_ {
        self.rows.iter().flat_map(|(id, (_, digest))| digest.loads.iter().map(move |load| (*id, load)))
    }

    /// Peers that lack slots of a team, and how many.
    pub(super) fn wanted(&self, team: TeamId) -> impl Iterator<Item = (MemberId, u32)> + '_ {
        let wants =
            self.rows.iter().flat_map(|(id, (_, d))| d.wanted.iter().map(move |(t, n)| (*id, *t, *n)));
        wants.filter(move |(_, t, n)| *t == team && *n > 0).map(|(id, _, n)| (id, n))
    }

    /// True if a peer suspects the worker.
    pub(super) fn suspects(&self, worker: WorkerId) -> bool {
        self.suspected.contains(&worker)
    }
}
