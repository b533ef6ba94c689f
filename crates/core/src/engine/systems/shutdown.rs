//! Graceful shutdown: waits for running requests and pending records, then leaves.
//!
//! Started tasks continue at their workers; the members that take them over renew their leases.

use super::super::command::Command;
use super::super::{Engine, Millis, Phase};
use crate::record::Record;

impl Engine {
    pub(in crate::engine) fn run_shutdown(&mut self, now: Millis) {
        if !self.stopping {
            return;
        }
        if matches!(self.phase, Phase::Starting | Phase::Joining(_)) {
            self.phase = Phase::Ended;
            self.emit(Command::Exit);
            return;
        }
        let finished = self.requests.rows.is_empty() && !self.slot_usage.has_orphaned();
        if self.member().is_some() && finished && self.appends.is_empty() {
            self.append_record(now, Record::Leave);
        }
    }
}
