//! List of instances: the true one and the one that is shown, which lags behind.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rattanfall_wire::platform::{Instance, InstanceList, State};

/// Change of one instance; `None` ends it.
type Change = Option<Instance>;

/// List of instances.
#[derive(Debug, Default)]
pub struct List {
    truth: BTreeMap<String, Instance>,
    shown: BTreeMap<String, Instance>,
    waiting: BTreeMap<(Instant, u64), (String, Change)>,
    changes: u64,
    version: u64,
}

impl List {
    /// Instance as it is, without the lag.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.truth.get(name)
    }

    /// Registers or replaces an instance.
    pub fn put(&mut self, now: Instant, name: String, mut instance: Instance) {
        instance.name.clone_from(&name);
        self.forget_later(now, &name);
        self.truth.insert(name.clone(), instance.clone());
        self.push(now, name, Some(instance));
    }

    /// Ends an instance; false if there is none.
    pub fn end(&mut self, now: Instant, name: &str) -> bool {
        self.forget_later(now, name);
        let known = self.truth.remove(name).is_some();
        if known {
            self.push(now, name.to_owned(), None);
        }
        known
    }

    /// Marks a worker as unreachable while it reboots; afterwards it is live with its new nonce and pool.
    pub fn reboot(&mut self, now: Instant, mut after: Instance, duration: Duration) {
        let name = after.name.clone();
        let mut during = after.clone();
        during.state = State::Unreachable;
        self.put(now, name.clone(), during);
        after.state = State::Live;
        self.truth.insert(name.clone(), after.clone());
        self.push(now + duration, name, Some(after));
    }

    /// The list as it is shown.
    pub fn read(&mut self, now: Instant, lag: Duration, frozen: bool) -> InstanceList {
        while !frozen && let Some(change) = self.waiting.first_entry() {
            if change.key().0 + lag > now {
                break;
            }
            self.version += 1;
            match change.remove() {
                (name, Some(instance)) => self.shown.insert(name, instance),
                (name, None) => self.shown.remove(&name),
            };
        }
        InstanceList { version: self.version, instances: self.shown.values().cloned().collect() }
    }

    fn push(&mut self, at: Instant, name: String, change: Change) {
        self.changes += 1;
        self.waiting.insert((at, self.changes), (name, change));
    }

    // The end of a reboot is queued ahead of its time; a later registration or end replaces it.
    fn forget_later(&mut self, now: Instant, name: &str) {
        self.waiting.retain(|(at, _), (changed, _)| *at <= now || changed != name);
    }
}
