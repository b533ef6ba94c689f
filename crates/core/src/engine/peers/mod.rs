//! Table of peers' digests.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use super::event::{Digest, Load};
use crate::ids::{KeyId, MemberId, TeamId, WorkerId, ZoneId};

/// Last digest of each peer, and the facts that only grow.
#[derive(Debug, Default)]
pub(super) struct Peers {
    rows: BTreeMap<MemberId, (Millis, Digest)>,
    /// Workers that some peer suspects. Each placement asks about all workers of a pool.
    suspected: BTreeSet<WorkerId>,
    /// Withdrawn keys that some member knows.
    pub(super) withdrawn: BTreeSet<KeyId>,
    /// Highest removal per zone that some member knows, by the zone's version.
    pub(super) removed: BTreeMap<ZoneId, u64>,
}

impl Peers {
    /// Keeps a digest if it is newer than the last one of its author.
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

    /// Members that were heard lately.
    pub(super) fn recent_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.rows.keys().copied()
    }

    /// Loads of all peers.
    pub(super) fn loads(&self) -> impl Iterator<Item = (MemberId, &Load)> + '_ {
        self.rows.iter().flat_map(|(id, (_, digest))| digest.loads.iter().map(move |load| (*id, load)))
    }

    /// Slots of a team that peers lack.
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
