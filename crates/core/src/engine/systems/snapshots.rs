//! Snapshots: one member appends the fleet state to the log before old records expire.

use super::super::{Engine, Millis};
use super::duty::Duty;
use crate::fleet::split_snapshot;
use crate::ids::Offset;
use crate::record::{Batch, Record};

impl Engine {
    pub(in crate::engine) fn run_snapshots(&mut self, now: Millis) {
        let applied = self.fleet.applied.map_or(0, |offset| offset.0);
        let covered = self.last_snapshot.map_or(0, |offset| offset.0);
        if applied.saturating_sub(covered) < self.options.snapshot_batches {
            self.clear_duty(Duty::Snapshot);
            return;
        }
        let under_way = self.appends.contains(|r| matches!(r, Record::SnapshotPart(_)));
        if under_way || !self.is_turn(now, Duty::Snapshot) {
            return;
        }
        let id = rand::RngExt::random(&mut self.rng);
        for part in split_snapshot(&self.fleet, id) {
            self.append_record(now, Record::SnapshotPart(part));
        }
    }

    /// Updates the offset that the newest complete snapshot covers.
    pub(super) fn collect_snapshots(&mut self, batch: &Batch) {
        for record in &batch.records {
            if let Record::SnapshotPart(part) = record
                && let Ok(Some(_)) = self.collector.add(part)
            {
                let covers: Option<Offset> = Some(part.covers);
                self.last_snapshot = self.last_snapshot.max(covers);
            }
        }
    }
}
