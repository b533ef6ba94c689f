//! Replicated states, stored once.
//!
//! A world names the states by small ids, so worlds are cheap to copy and to compare. Two logs that lead to the same
//! state share its id, and so do the worlds after them.

use std::collections::HashMap;
use std::rc::Rc;

use super::entry::Entry;
use crate::fleet::{Effect, Fleet};
use crate::ids::Offset;

/// Id of a stored state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct FleetId(u32);

/// States and the transitions between them that were computed so far.
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
        let once = fleet.clone();
        fleet.apply(offset, &batch);
        let stable = fleet == once;
        let nothing = |effect: &Effect| matches!(effect, Effect::Granted(_, 0));
        let effective = applied.results.iter().any(|r| r.as_ref().is_ok_and(|effect| !nothing(effect)));
        let transition = Transition { after: self.intern(fleet), effective, stable };
        self.applied.insert((id, entry), transition);
        transition
    }

    /// True if a replica in the first state takes over the second one.
    pub(super) fn advances(&mut self, id: FleetId, other: FleetId) -> bool {
        let (mut fleet, restored) = (self.get(id), self.get(other));
        let advance = || Rc::make_mut(&mut fleet).advance(Fleet::clone(&restored));
        *self.newer.entry((id, other)).or_insert_with(advance)
    }
}

/// What an entry does to a state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transition {
    /// State after the entry.
    pub(super) after: FleetId,
    /// False if the entry is a duplicate or its record is void or grants nothing.
    pub(super) effective: bool,
    /// True if a second delivery of the entry changes nothing.
    pub(super) stable: bool,
}
