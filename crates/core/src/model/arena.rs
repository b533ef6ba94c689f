//! Interned replicated states.
//!
//! Model states refer to replicated states by small ids, so they are cheap to copy and compare. Two logs that lead to
//! the same replicated state give the same id, so the model states that differ only in these logs are equal.

use std::collections::HashMap;
use std::rc::Rc;

use super::entry::Entry;
use crate::fleet::{Effect, Fleet};
use crate::ids::Offset;

/// Id of an interned replicated state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct FleetId(u32);

/// Interned replicated states, and a cache of the transitions between them.
#[derive(Debug, Default)]
pub(super) struct Arena {
    fleets: Vec<Rc<Fleet>>,
    ids: HashMap<Vec<u8>, FleetId>,
    applied: HashMap<(FleetId, Entry), Transition>,
    newer: HashMap<(FleetId, FleetId), bool>,
}

impl Arena {
    pub(super) fn intern(&mut self, fleet: Fleet) -> FleetId {
        let next = FleetId(u32::try_from(self.fleets.len()).unwrap_or(u32::MAX));
        let id = *self.ids.entry(fleet.snapshot()).or_insert(next);
        if id == next {
            self.fleets.push(Rc::new(fleet));
        }
        id
    }

    pub(super) fn get(&self, id: FleetId) -> Rc<Fleet> {
        Rc::clone(&self.fleets[id.0 as usize])
    }

    pub(super) fn apply(&mut self, id: FleetId, entry: Entry) -> Transition {
        if let Some(known) = self.applied.get(&(id, entry)) {
            return *known;
        }
        let mut fleet = Fleet::clone(&self.get(id));
        let offset = fleet.applied.map_or(Offset(0), Offset::next);
        let batch = entry.batch();
        let applied = fleet.apply(offset, &batch);
        let after_first = fleet.clone();
        fleet.apply(offset, &batch);
        let idempotent = fleet == after_first;
        let no_op = |effect: &Effect| matches!(effect, Effect::Granted(_, 0));
        let effective = applied.results.iter().any(|r| r.as_ref().is_ok_and(|effect| !no_op(effect)));
        let transition = Transition { after: self.intern(fleet), effective, idempotent };
        self.applied.insert((id, entry), transition);
        transition
    }

    /// Whether a replica in state `id` would replace it by the restored state `other`.
    pub(super) fn is_newer(&mut self, id: FleetId, other: FleetId) -> bool {
        let (mut fleet, restored) = (self.get(id), self.get(other));
        let advance = || Rc::make_mut(&mut fleet).advance(Fleet::clone(&restored));
        *self.newer.entry((id, other)).or_insert_with(advance)
    }
}

/// Effect of a log entry on a replicated state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transition {
    /// Replicated state after the entry.
    pub(super) after: FleetId,
    /// False if the entry is a duplicate, or its record is void or grants 0 slots.
    pub(super) effective: bool,
    /// True if a second delivery at the same offset changes nothing.
    pub(super) idempotent: bool,
}
