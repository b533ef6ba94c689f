//! Ends of attempts: what becomes of their records.

use tokio::time::Instant;

use super::super::super::state::Stored;
use super::{
    AVOID_PERIOD, AttemptKey, MAX_OUTAGE, MAX_OWNER_OUTAGE, Origin, Outcome, Phase, Queue, RETRY_DELAY,
    Ready, RecordKey, Route,
};

impl Queue {
    /// Ends an append, which has one outcome for all records.
    pub(in super::super) fn end_append(&mut self, key: AttemptKey, outcome: Outcome, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        if outcome == Outcome::Unknown && self.pace.is_moving(now) {
            attempt.phase = Phase::Unanswered;
            for record in attempt.records.iter() {
                match self.records.get_mut(record) {
                    Some(record) => record.unsure = true,
                    None => self.unsure.end(*record, true),
                }
            }
            return;
        }
        let Some(attempt) = self.attempts.remove(&key) else { return };
        if outcome == Outcome::Stored {
            self.settle(attempt.records, now);
            self.give_up_before(attempt.begun);
            return;
        }
        let may_wait = self.pace.takes_long(now) && self.pace.is_moving(now);
        let stands = outcome == Outcome::Refused && !may_wait;
        for key in attempt.records {
            self.end_record(key, outcome, Some(stands), now);
        }
    }

    /// Ends a call that forwarded records, with an outcome for each.
    pub(in super::super) fn end_forward(&mut self, key: AttemptKey, outcomes: &[Outcome], now: Instant) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let answers = |outcome: &Outcome| matches!(outcome, Outcome::Stored | Outcome::Declined { .. });
        let refuses = |outcome: &Outcome| matches!(outcome, Outcome::Refused | Outcome::Unreachable);
        if outcomes.iter().any(answers) {
            self.heard = Some(now);
        }
        if let Route::Peer(name) = attempt.route
            && outcomes.iter().any(refuses)
            && !outcomes.contains(&Outcome::Stored)
        {
            self.avoided = Some((name, now + AVOID_PERIOD));
        }
        let (mut stored, mut others) = (Vec::new(), Vec::new());
        for (index, key) in attempt.records.into_iter().enumerate() {
            match outcomes.get(index).copied().unwrap_or(Outcome::Unknown) {
                Outcome::Stored => stored.push(key),
                outcome => others.push((key, outcome)),
            }
        }
        self.settle(stored, now);
        for (key, outcome) in others {
            self.end_record(key, outcome, None, now);
        }
    }

    /// Ends an attempt to store a record that did not store it for certain. `stands` tells of an append whether the store
    /// would refuse the next one too; none for a forwarded record.
    fn end_record(&mut self, key: RecordKey, outcome: Outcome, stands: Option<bool>, now: Instant) {
        let outage = self.pace.outage(now);
        let Some(record) = self.records.get_mut(&key) else {
            self.unsure.end(key, outcome == Outcome::Unknown);
            return;
        };
        record.open -= 1;
        record.unsure |= outcome == Outcome::Unknown;
        if let Outcome::Declined { reason, retry_ms } = outcome {
            record.declined = Some(Stored::Declined { reason, retry_ms });
        }
        if record.open > 0 {
            return;
        }
        let most = match record.origin {
            Origin::Caller => MAX_OUTAGE,
            Origin::Instance => MAX_OWNER_OUTAGE,
        };
        let forwarded = stands.is_none();
        if let Some(declined) = record.declined.filter(|_| record.is_absent()) {
            self.finish(key, declined, now);
        } else if stands == Some(true) && outage >= most && !record.unsure {
            self.finish(key, Stored::No, now);
        } else {
            // The owner would decline the record again.
            let append = forwarded || record.declined.is_some();
            record.ready = if append { Ready::Store } else { Ready::Any };
            record.resume = if forwarded { now } else { now + RETRY_DELAY };
        }
    }

    /// Ends an attempt that failed in this process. The callers are told that the outcome is unknown.
    pub(in super::super) fn abandon(&mut self, key: AttemptKey, now: Instant) {
        if self.attempts.get(&key).is_none_or(|attempt| attempt.phase == Phase::Unanswered) {
            return;
        }
        let records = self.attempts.remove(&key).map(|attempt| attempt.records).unwrap_or_default();
        records.into_iter().for_each(|key| self.finish(key, Stored::Unknown, now));
    }
}
