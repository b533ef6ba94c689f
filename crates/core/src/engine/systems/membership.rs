//! Membership: joins this member, and ends members that the platform's list no longer shows.

use super::super::command::Command;
use super::super::{Engine, Millis, Phase};
use super::duty::Duty;
use crate::fleet::MemberState;
use crate::ids::MemberId;
use crate::record::{Batch, Join, Origin, Record};

/// Time after which a join that was not read back is appended again, in milliseconds.
const JOIN_RETRY_MS: u64 = 1_000;

impl Engine {
    pub(in crate::engine) fn run_membership(&mut self, now: Millis) {
        match self.phase {
            Phase::Starting if self.has_state() && !self.stopping => self.join(now),
            Phase::Joining(again) if again <= now => self.join(now),
            Phase::Member(_) => self.end_absent_members(now),
            _ => {}
        }
    }

    fn join(&mut self, now: Millis) {
        if let Some(id) = self.find_self() {
            self.phase = Phase::Member(id);
            return;
        }
        self.phase = Phase::Joining(now.plus(JOIN_RETRY_MS));
        let join = Join {
            name: self.options.name.clone(),
            nonce: self.options.nonce,
            zone: self.options.zone.clone(),
            address: self.options.address.clone(),
            ends: self.predecessors(),
        };
        let origin = Origin::Joining(self.options.nonce);
        self.emit(Command::Append(Batch { origin, sequence: 1, records: vec![Record::Join(join)] }));
    }

    /// Live members of the same name, which this process replaces.
    fn predecessors(&self) -> Vec<MemberId> {
        let members = self.fleet.members.iter();
        let same = members.filter(|(_, m)| m.name == self.options.name && m.state == MemberState::Live);
        same.map(|(id, _)| *id).collect()
    }

    /// Declares members gone that are missing from a list that was read later than its maximum lag after their join.
    fn end_absent_members(&mut self, now: Millis) {
        for member in self.absent_members() {
            if self.is_turn(now, Duty::EndMember(member)) {
                self.append_once(now, Record::Gone { member });
            }
        }
    }

    fn absent_members(&self) -> Vec<MemberId> {
        let Some((read, list)) = &self.list else {
            return Vec::new();
        };
        let listed = |nonce: u64| list.entries.iter().any(|entry| entry.nonce == nonce);
        let settled = |id: &MemberId| {
            self.first_seen.get(id).is_some_and(|seen| read.since(*seen) >= self.options.list_lag_ms)
        };
        let live = self.fleet.members.iter().filter(|(_, m)| m.state == MemberState::Live);
        live.filter(|(id, m)| settled(id) && !listed(m.nonce)).map(|(id, _)| *id).collect()
    }
}
