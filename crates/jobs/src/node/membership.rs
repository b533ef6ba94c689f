//! Groups of entry instances: who holds the work, and who follows an owner that has gone.
//!
//! All instances are entries. The few entries that rank highest, by the processor of their machines, hold the work; the
//! others only answer callers. A holder joins the second group once it has loaded the work, so that every member of it may
//! claim. Once the owner is no holder any more, the holder that ranks highest claims the work.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Node;
use crate::ports::{Group, Platform, Store};

/// Instances that hold the work. Each reads every payload and the state of each task; more than the availability zones
/// and machines that are lost together, so that one is left in all but the largest failures.
const HOLDERS: usize = 6;
/// Time for which too few entries must rank higher before an instance loads the work. After an outage of the store the
/// entries return one by one within this time.
const SETTLE: Duration = Duration::from_millis(1_200);
/// Time after the start of a process for which the members of before are looked at. Above the time to live of a holder and
/// a load of the summaries.
const RETURN: Duration = Duration::from_secs(3);
/// Time between two calls to the group of entries. Below a third of the time to live of its members.
const ENTRY_GAP: Duration = Duration::from_millis(500);
/// Time for a group to note that this instance leaves.
const LEAVE: Duration = Duration::from_millis(500);
/// Time between two checks while the work is loaded.
const RETRY: Duration = Duration::from_millis(50);
/// Time in which a new owner appears in the group. Parts of a member that was killed pass on only after its time to live.
const APPEARANCE: Duration = Duration::from_millis(1_500);
/// Starts within this time count as one, in milliseconds: the clocks of instances differ a little.
const START_MS: u64 = 1_000;
/// Times the owner's processor from which a member takes the work over from a living owner.
const OUTRANKS: u64 = 2;

/// Place of this instance in the succession.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// The work stays where it is, or another instance follows.
    Stays,
    /// A new owner has still to appear in the group.
    Waits,
    /// This instance is to claim the work.
    Heir,
}

impl<P: Platform> Node<P> {
    /// Stays among the entries, and holds the work if few of them rank higher.
    pub(super) async fn keep_listed(self: Rc<Self>) {
        let store = self.platform.store();
        let mut generation = 0;
        let mut since = None;
        let mut outdated = true;
        loop {
            if self.state.borrow().stopping {
                sleep(RETRY).await;
                continue;
            }
            let mut gap = self.options.join_gap;
            // The generation goes back at once: until then, the parts of this member don't pass on to others.
            if let Ok(joined) = store.join(Group::Entries, &self.options.name, generation).await {
                outdated |= joined != generation;
                generation = joined;
                if outdated || since.is_some() {
                    outdated = !self.choose_role(&mut since).await;
                }
                if !outdated && since.is_none() {
                    gap = ENTRY_GAP;
                }
            }
            sleep(gap).await;
        }
    }

    /// Begins to load the work, or ceases to, by the rank of this instance. False if the lists of members couldn't be read.
    ///
    /// `since` is the time since which too few others rank higher.
    async fn choose_role(&self, since: &mut Option<Instant>) -> bool {
        let store = self.platform.store();
        let name = &self.options.name;
        let (holder, loaded) = {
            let state = self.state.borrow();
            (state.holder, state.table().is_some())
        };
        if loaded {
            *since = None;
            return true;
        }
        let Ok(entries) = store.members(Group::Entries).await else { return false };
        // A list without this instance is not complete yet.
        let eligible = entries.contains(name) && better(&entries, name) < HOLDERS;
        let young = self.start.elapsed() < RETURN;
        if !eligible && !holder && !young {
            *since = None;
            return true;
        }
        let Ok(holders) = store.members(Group::Holders).await else { return false };
        // An instance that held the work before its restart is among the first that are to hold it again. It may not be listed
        // before the group forgets the former processes.
        let returns = young
            && (holders.iter().any(|former| replaces(name, former))
                || replaces(name, &self.state.borrow().summaries.owner.name));
        let wanted = returns || eligible && better(&holders, name) < HOLDERS;
        if holder {
            *since = None;
            if better(&entries, name) >= HOLDERS && better(&holders, name) >= HOLDERS {
                self.cease_to_hold(holders.len());
            }
            return true;
        }
        if !wanted {
            *since = None;
            return true;
        }
        if returns || since.get_or_insert_with(Instant::now).elapsed() >= SETTLE {
            *since = None;
            self.state.borrow_mut().holder = true;
            log::info!(entries = entries.len(), holders = holders.len(); "this instance loads the work");
            self.holder.notify_one();
        }
        true
    }

    fn cease_to_hold(&self, members: usize) {
        let mut state = self.state.borrow_mut();
        state.holder = false;
        state.drop_work();
        log::info!(members = members; "this instance drops the work, as enough others rank higher");
    }

    /// Stays among the holders while this instance holds the work, and claims it when its owner has left.
    pub(super) async fn keep_share(self: Rc<Self>) {
        let store = self.platform.store();
        let mut generation = 0;
        let mut claim = Standing::Stays;
        let mut loaded_before = 0;
        let mut outdated = true;
        loop {
            let (holds, stopping) = {
                let state = self.state.borrow();
                (state.holds(), state.stopping)
            };
            if !holds || stopping {
                let _ = timeout(RETRY, self.loaded.notified()).await;
                continue;
            }
            let asked = self.now();
            let joined = store.join(Group::Holders, &self.options.name, generation).await;
            let Ok(joined) = joined else {
                sleep(self.options.join_gap).await;
                continue;
            };
            self.state.borrow_mut().joined = Some(Instant::now());
            let changed = joined != generation;
            generation = joined;
            if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
                if changed {
                    dispatcher.prove_ownership();
                } else {
                    dispatcher.contacted(asked);
                }
            } else {
                // The jobs may have been loaded anew meanwhile, with another owner or with none yet.
                let loads = self.state.borrow().loads;
                outdated |= changed || loads != loaded_before || claim != Standing::Stays;
                if outdated && let Ok(members) = store.members(Group::Holders).await {
                    outdated = false;
                    loaded_before = loads;
                    claim = self.standing(&members);
                    if claim == Standing::Stays && better(&members, &self.options.name) >= HOLDERS {
                        self.cease_to_hold(members.len());
                        self.leave(Group::Holders).await;
                        continue;
                    }
                }
                if claim == Standing::Heir && self.state.borrow().stands_by() && !self.state.borrow().stopping
                {
                    self.claim_work().await;
                }
            }
            sleep(self.options.join_gap).await;
        }
    }

    /// Leaves a group.
    pub(super) async fn leave(&self, group: Group) {
        let leave = self.platform.store().leave(group, &self.options.name);
        if !matches!(timeout(LEAVE, leave).await, Ok(Ok(()))) {
            log::warn!(group:? = group; "the group did not note that this instance leaves");
        }
    }

    /// Whether this instance is to own the work.
    ///
    /// The work stays with a living owner, because a takeover costs a look at every worker, unless this instance has a
    /// multiple of its processor: an owner that is too slow serves nobody. Of the instances with most processor the one
    /// that started last follows: in a roll-out it is the one that is not stopped next. A later process of the owner's own
    /// instance knows before the group does that the owner has ended, and follows it at once; the others leave a new
    /// owner the time to appear in the group.
    fn standing(&self, members: &BTreeSet<String>) -> Standing {
        let (owner, seen) = {
            let state = self.state.borrow();
            let Some(table) = state.table() else { return Standing::Stays };
            (table.owner.name.clone(), state.claim_seen)
        };
        if owner == self.options.name || replaces(&self.options.name, &owner) {
            return Standing::Heir;
        }
        if owner != self.options.name && seen.is_some_and(|at| at.elapsed() < APPEARANCE) {
            return Standing::Waits;
        }
        let living = members.contains(&owner) && owner != self.options.name;
        let first = members.iter().max_by_key(|name| rank(name)) == Some(&self.options.name);
        if first && (!living || outranks(&self.options.name, &owner)) {
            Standing::Heir
        } else {
            Standing::Stays
        }
    }
}

/// Number of instances among the members that rank higher than the one of a process, by processor and name. The start of
/// a process does not count: after a restart of all, the list shows the former processes of the others.
fn better(members: &BTreeSet<String>, name: &str) -> usize {
    let place = |name| (processor(name), instance(name));
    let places: BTreeSet<(u64, &str)> = members.iter().map(|member| place(member)).collect();
    places.into_iter().filter(|other| *other > place(name)).count()
}

/// Instance that a process belongs to.
fn instance(name: &str) -> &str {
    name.rsplit_once('-').map_or(name, |(instance, _)| instance)
}

/// True if a process is a later one of the same instance.
fn replaces(name: &str, former: &str) -> bool {
    !former.is_empty() && instance(name) == instance(former) && born(name) > born(former)
}

/// Time of day at which a process started, in milliseconds since 1970, which its name ends with.
fn born(name: &str) -> u64 {
    name.rsplit('-').next().and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

/// Order of succession: processor, start of the process to the second, and the name to tell members that started together.
fn rank(name: &str) -> (u64, u64, &str) {
    (processor(name), born(name) / START_MS, name)
}

/// Processor of a member's machine in thousandths of a core, the last part but one of its name; 0 if it has none.
fn processor(name: &str) -> u64 {
    name.rsplit('-').nth(1).and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

/// True if a member has so much more processor than the owner that a takeover pays.
fn outranks(name: &str, owner: &str) -> bool {
    processor(owner) > 0 && processor(name) >= OUTRANKS * processor(owner)
}
