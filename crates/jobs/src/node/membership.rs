//! Group membership: which instances hold the job table, and which one succeeds an owner that has left.
//!
//! Every instance is a member of the entries. The entries that rank highest, by the CPU of their machines, load the job
//! table and become holders; the others only serve callers. An instance joins the holders once the table is loaded, so
//! every member of that group may claim ownership. When the owner leaves the holders, the highest-ranked one claims.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Node;
use super::repeats::call_repeated;
use crate::ports::{Group, Platform, Store, StoreError};

/// Number of instances that hold the job table. Each reads every payload and the state of each task. The number exceeds
/// that of the availability zones and machines that fail together, so that one holder survives all but the largest
/// failures.
const HOLDERS: usize = 6;
/// Time for which an instance must rank among the holders before it loads the job table. After an outage of the store
/// the entries rejoin one by one within this time.
const RANK_DELAY: Duration = Duration::from_millis(1_200);
/// Time after the start of a process during which it checks whether it replaces a former holder. Longer than the time to
/// live of a holder plus a load of the summaries.
const REJOIN_WINDOW: Duration = Duration::from_secs(3);
/// Interval between two joins of the entries. Less than a third of the time to live of its members.
const ENTRY_JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of leaving a group.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks while the job table is being loaded.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a new owner is listed in the group. Parts of a killed member are reassigned only after its time to
/// live.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Resolution at which process starts are compared, in milliseconds, because the clocks of instances differ slightly.
const START_RESOLUTION_MS: u64 = 1_000;
/// Multiple of the owner's CPU from which a member takes over from a running owner.
const TAKEOVER_CPU_FACTOR: u64 = 2;

/// What this instance does about the ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Succession {
    /// Nothing: the owner stays, or another instance succeeds it.
    None,
    /// Check again: a new owner may not be listed in the group yet.
    Wait,
    /// Claim ownership.
    Claim,
}

impl<P: Platform> Node<P> {
    /// Keeps this instance in the group of entries, and loads or drops the job table by its rank.
    pub(super) async fn join_entries(self: Rc<Self>) {
        let store = self.platform.store();
        let mut generation = 0;
        let mut since = None;
        let mut outdated = true;
        loop {
            if self.state.borrow().stopping {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            let mut gap = self.options.join_interval;
            // Sends the new generation back at once: until then the store does not reassign the parts of this member.
            let begun = Instant::now();
            if let Ok(joined) = store.join(Group::Entries, &self.options.name, generation).await {
                self.add_join_time(begun.elapsed());
                outdated |= joined != generation;
                generation = joined;
                if outdated || since.is_some() {
                    outdated = !self.choose_role(&mut since).await;
                }
                if !outdated && since.is_none() {
                    gap = ENTRY_JOIN_INTERVAL;
                }
            }
            sleep(gap).await;
        }
    }

    /// Decides by the rank of this instance whether it is to hold the job table. False if the members could not be read.
    ///
    /// `since` is the time since which this instance has ranked among the holders without having loaded the table.
    async fn choose_role(&self, since: &mut Option<Instant>) -> bool {
        let store = self.platform.store();
        let name = &self.options.name;
        let (holder, loaded) = {
            let state = self.state.borrow();
            (state.table_wanted, state.table().is_some())
        };
        if loaded {
            *since = None;
            return true;
        }
        let Ok(entries) = store.members(Group::Entries).await else { return false };
        // A list without this instance is incomplete.
        let eligible = entries.contains(name) && count_higher(&entries, name) < HOLDERS;
        let young = self.start.elapsed() < REJOIN_WINDOW;
        if !eligible && !holder && !young {
            *since = None;
            return true;
        }
        let Ok(holders) = store.members(Group::Holders).await else { return false };
        // An instance that held the table before its restart loads it again at once. It may not be listed until the group
        // drops the former processes.
        let returns = young
            && (holders.iter().any(|former| replaces(name, former))
                || replaces(name, &self.state.borrow().summaries.owner.name));
        let wanted = returns || eligible && count_higher(&holders, name) < HOLDERS;
        if holder {
            *since = None;
            if count_higher(&entries, name) >= HOLDERS && count_higher(&holders, name) >= HOLDERS {
                self.stop_holding(holders.len());
            }
            return true;
        }
        if !wanted {
            *since = None;
            return true;
        }
        if returns || since.get_or_insert_with(Instant::now).elapsed() >= RANK_DELAY {
            *since = None;
            self.state.borrow_mut().table_wanted = true;
            log::info!(entries = entries.len(), holders = holders.len(); "loading the job table");
            self.load_wakeup.notify_one();
        }
        true
    }

    fn stop_holding(&self, members: usize) {
        let mut state = self.state.borrow_mut();
        state.table_wanted = false;
        state.unload_table();
        log::info!(members = members; "dropping the job table because enough instances rank higher");
    }

    /// Keeps this instance in the group of holders while it holds the job table, and claims ownership if it is to succeed
    /// the owner.
    pub(super) async fn join_holders(self: Rc<Self>) {
        let store = self.platform.store();
        let mut generation = 0;
        let mut claim = Succession::None;
        let mut loaded_before = 0;
        let mut outdated = true;
        loop {
            let (may_own, stopping) = {
                let state = self.state.borrow();
                (state.may_own(), state.stopping)
            };
            if !may_own || stopping {
                let _ = timeout(CHECK_INTERVAL, self.loaded.notified()).await;
                continue;
            }
            let asked = self.now();
            let join = async || store.join(Group::Holders, &self.options.name, generation).await;
            let joined = call_repeated(&self.join_times, join).await;
            (0..joined.repeats).for_each(|_| self.handle.meters.retried("join_answer_late"));
            let joined = match joined.result {
                Ok(joined) => joined,
                Err(error) => {
                    // An attempt without an answer has taken most of the time to live.
                    let unknown = error == StoreError::Unknown;
                    sleep(if unknown { CHECK_INTERVAL } else { self.options.join_interval }).await;
                    continue;
                }
            };
            self.state.borrow_mut().last_join = Some(Instant::now());
            let changed = joined != generation;
            generation = joined;
            if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
                if changed {
                    dispatcher.prove_ownership();
                } else {
                    dispatcher.contacted(asked);
                }
            } else {
                // The table may have been reloaded in the meantime, with another owner or with none.
                let table_generation = self.state.borrow().table_generation;
                outdated |= changed || table_generation != loaded_before || claim != Succession::None;
                if outdated && let Ok(members) = store.members(Group::Holders).await {
                    outdated = false;
                    loaded_before = table_generation;
                    claim = self.succession(&members);
                    if claim == Succession::None && count_higher(&members, &self.options.name) >= HOLDERS {
                        self.stop_holding(members.len());
                        self.leave(Group::Holders).await;
                        continue;
                    }
                }
                if claim == Succession::Claim
                    && self.state.borrow().is_standby()
                    && !self.state.borrow().stopping
                {
                    self.claim_ownership().await;
                }
            }
            sleep(self.options.join_interval).await;
        }
    }

    /// Leaves a group.
    pub(super) async fn leave(&self, group: Group) {
        let leave = self.platform.store().leave(group, &self.options.name);
        if !matches!(timeout(LEAVE_TIMEOUT, leave).await, Ok(Ok(()))) {
            log::warn!(group:? = group; "the group did not confirm that this instance leaves");
        }
    }

    /// Decides whether this instance is to claim ownership.
    ///
    /// A running owner stays, because a takeover has to poll every worker, unless this instance has a multiple of its CPU:
    /// an owner that is too slow schedules nothing in time. Among the instances with the most CPU the one that started last
    /// takes over, because in a rolling update it is not stopped next. A newer process of the owner's instance knows that the
    /// owner has ended before the group does, and claims at once; the others give a new owner time to be listed.
    fn succession(&self, members: &BTreeSet<String>) -> Succession {
        let (owner, seen) = {
            let state = self.state.borrow();
            let Some(table) = state.table() else { return Succession::None };
            (table.owner.name.clone(), state.claim_seen)
        };
        if owner == self.options.name || replaces(&self.options.name, &owner) {
            return Succession::Claim;
        }
        if owner != self.options.name && seen.is_some_and(|at| at.elapsed() < LISTING_DELAY) {
            return Succession::Wait;
        }
        let living = members.contains(&owner) && owner != self.options.name;
        let first = members.iter().max_by_key(|name| rank(name)) == Some(&self.options.name);
        if first && (!living || outranks(&self.options.name, &owner)) {
            Succession::Claim
        } else {
            Succession::None
        }
    }
}

/// Counts the instances among the members that rank higher than the one of a process, by CPU and name. The start of a
/// process does not count: after a restart of all, the group still lists the former processes of the others.
fn count_higher(members: &BTreeSet<String>, name: &str) -> usize {
    let rank_of = |name| (cpu(name), instance(name));
    let ranks: BTreeSet<(u64, &str)> = members.iter().map(|member| rank_of(member)).collect();
    ranks.into_iter().filter(|other| *other > rank_of(name)).count()
}

/// Instance that a process belongs to: its name without the start.
fn instance(name: &str) -> &str {
    name.rsplit_once('-').map_or(name, |(instance, _)| instance)
}

/// True if a process is a newer one of the same instance.
fn replaces(name: &str, former: &str) -> bool {
    !former.is_empty() && instance(name) == instance(former) && start_ms(name) > start_ms(former)
}

/// Start of a process in milliseconds since 1970, the last part of its name; 0 if it has none.
fn start_ms(name: &str) -> u64 {
    name.rsplit('-').next().and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

/// Rank in the succession: CPU, start of the process to the second, and the name as a tie-breaker.
fn rank(name: &str) -> (u64, u64, &str) {
    (cpu(name), start_ms(name) / START_RESOLUTION_MS, name)
}

/// CPU of a member's machine in thousandths of a core, the last part but one of its name; 0 if it has none.
fn cpu(name: &str) -> u64 {
    name.rsplit('-').nth(1).and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0)
}

/// True if a member has so much more CPU than the owner that a takeover is worth its cost.
fn outranks(name: &str, owner: &str) -> bool {
    cpu(owner) > 0 && cpu(name) >= TAKEOVER_CPU_FACTOR * cpu(owner)
}
