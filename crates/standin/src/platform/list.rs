//! List of instances with a lag: changes apply at once to the current state and later to the state that readers see.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rattanfall_wire::platform::{Instance, InstanceList, State};

/// New state of an instance; `None` removes it.
type Change = Option<Instance>;

/// Registered instances, by name.
#[derive(Debug, Default)]
pub struct List {
    /// State without the lag.
    current: BTreeMap<String, Instance>,
    /// State that readers see.
    visible: BTreeMap<String, Instance>,
    /// Changes that readers don't see yet, by the time of the change and a sequence number that keeps equal times apart.
    pending: BTreeMap<(Instant, u64), (String, Change)>,
    sequence: u64,
    /// Number of changes applied to `visible`.
    version: u64,
}

impl List {
    /// Returns the current state of an instance, without the lag.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.current.get(name)
    }

    /// Registers or replaces an instance.
    pub fn put(&mut self, now: Instant, name: String, mut instance: Instance) {
        instance.name.clone_from(&name);
        self.cancel_scheduled(now, &name);
        self.current.insert(name.clone(), instance.clone());
        self.schedule(now, name, Some(instance));
    }

    /// Removes an instance; returns whether it existed.
    pub fn remove(&mut self, now: Instant, name: &str) -> bool {
        self.cancel_scheduled(now, name);
        let known = self.current.remove(name).is_some();
        if known {
            self.schedule(now, name.to_owned(), None);
        }
        known
    }

    /// Marks a worker as unreachable for the duration of a reboot, then as live. `after` holds its new nonce and pool.
    pub fn reboot(&mut self, now: Instant, mut after: Instance, duration: Duration) {
        let name = after.name.clone();
        let mut during = after.clone();
        during.state = State::Unreachable;
        self.put(now, name.clone(), during);
        after.state = State::Live;
        self.current.insert(name.clone(), after.clone());
        self.schedule(now + duration, name, Some(after));
    }

    /// Applies the changes that are at least `lag` old, unless `frozen`, and returns the list that readers see.
    pub fn read(&mut self, now: Instant, lag: Duration, frozen: bool) -> InstanceList {
        while !frozen && let Some(change) = self.pending.first_entry() {
            if change.key().0 + lag > now {
                break;
            }
            self.version += 1;
            match change.remove() {
                (name, Some(instance)) => self.visible.insert(name, instance),
                (name, None) => self.visible.remove(&name),
            };
        }
        InstanceList { version: self.version, instances: self.visible.values().cloned().collect() }
    }

    fn schedule(&mut self, at: Instant, name: String, change: Change) {
        self.sequence += 1;
        self.pending.insert((at, self.sequence), (name, change));
    }

    // Cancels the queued end of a reboot: a registration or removal during the reboot replaces it.
    fn cancel_scheduled(&mut self, now: Instant, name: &str) {
        self.pending.retain(|(at, _), (changed, _)| *at <= now || changed != name);
    }
}
