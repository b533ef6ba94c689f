//! Claim of the work and its loss.
//!
//! Once the owner is no member of the group any more, the member that started last claims the work. Membership is only
//! a hint: the proof is a record appended under a higher
//! epoch, on the condition that the topic ends where this instance has read to. From then on the store refuses the
//! former owner's writes, and its state is complete here.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::state::Role;
use super::{Node, unix_ms};
use crate::dispatch::Dispatcher;
use crate::ports::{Fence, Platform, Store, StoreError, Topic};
use crate::record::{self, Owner};

/// Tries to claim the work before the group is asked again.
const TRIES: u32 = 6;
/// Time between two tries.
const RETRY: Duration = Duration::from_millis(50);
/// Time in which a new owner appears in the group. Parts of a member that was killed pass on only after its time to live.
const APPEARANCE: Duration = Duration::from_millis(1_500);
/// Starts within this time count as one, in milliseconds: the clocks of instances differ a little.
const START_MS: u64 = 1_000;
/// Times the owner's processor from which a member takes the work over from a living owner.
const OUTRANKS: u64 = 2;
/// First sequence numbers are random below this, so that two claims of one epoch never look like one append.
const FIRST_SEQUENCE: u64 = 1 << 31;

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

/// What became of a try to claim the work.
enum Claim {
    /// This instance owns the work.
    Taken,
    /// Records were written that this instance has not read.
    Behind,
    /// Another instance claimed the work before.
    Late,
}

impl<P: Platform> Node<P> {
    /// Stays in the group, and claims the work when its owner has left.
    pub(super) async fn keep_share(self: Rc<Self>) {
        let mut generation = 0;
        let mut claim = Standing::Stays;
        let mut loaded_before = 0;
        let mut gap = Duration::ZERO;
        loop {
            let (loaded, stopping) = {
                let state = self.state.borrow();
                (state.loaded(), state.stopping)
            };
            if !loaded || stopping {
                sleep(RETRY).await;
                continue;
            }
            sleep(std::mem::replace(&mut gap, self.options.join_gap)).await;
            let asked = self.now();
            let Ok(joined) = self.platform.store().join(&self.options.name, generation).await else {
                continue;
            };
            if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
                if joined == generation {
                    dispatcher.contacted(asked);
                } else {
                    generation = joined;
                    dispatcher.prove_ownership();
                }
                continue;
            }
            // The jobs may have been loaded anew meanwhile, with another owner or with none yet.
            let (loaded, loads) = {
                let state = self.state.borrow();
                (state.loaded(), state.loads)
            };
            if !loaded {
                continue;
            }
            if joined != generation || loads != loaded_before || claim != Standing::Stays {
                match self.platform.store().members().await {
                    Ok(members) => {
                        generation = joined;
                        loaded_before = loads;
                        claim = self.standing(&members);
                    }
                    Err(_) => continue,
                }
            }
            if claim == Standing::Heir && !self.state.borrow().stopping {
                self.claim_work().await;
            }
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
            (state.table().owner.name.clone(), state.claim_seen)
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

    async fn claim_work(&self) {
        let sequence = rand::random::<u64>() % FIRST_SEQUENCE;
        let former = self.state.borrow().table().owner.clone();
        for _ in 0..TRIES {
            match self.try_claim(sequence, &former).await {
                Ok(Claim::Taken) => return,
                Ok(Claim::Late) => {
                    log::info!(epoch = former.epoch; "another instance has claimed the work");
                    return;
                }
                Ok(Claim::Behind) => {}
                Err(error) => {
                    log::info!(error:% = error; "the work could not be claimed");
                    sleep(RETRY).await;
                }
            }
        }
    }

    /// Appends the claim at the end of what was read.
    ///
    /// The claim is against `former` alone: whether a later owner has left the group was not asked.
    async fn try_claim(&self, sequence: u64, former: &Owner) -> Result<Claim, StoreError> {
        let (intake, from) = {
            let state = self.state.borrow();
            match (state.intake.next, state.progress.next) {
                (Some(intake), Some(progress)) => (intake, progress),
                _ => return Err(StoreError::Unknown),
            }
        };
        self.read_intake_from(intake, Duration::ZERO).await?;
        self.read_progress_from(from, Duration::ZERO).await?;
        if self.state.borrow().table().owner != *former {
            return Ok(Claim::Late);
        }
        let (end, owner) = {
            let state = self.state.borrow();
            let epoch = state.table().owner.epoch + 1;
            (state.progress.next, Owner { epoch, name: self.options.name.clone() })
        };
        if self.state.borrow().table().owner.name == owner.name {
            // An earlier claim of this process was stored although its answer was lost; nothing follows it but
            // what this process wrote, so a further claim under the next epoch is safe.
            log::info!(epoch = owner.epoch; "claiming the work again");
        }
        let fence = Fence { epoch: owner.epoch, sequence };
        let entries = [record::owner(&owner)];
        let appended = self.platform.store().append(Topic::Progress, &entries, Some(fence), end).await;
        match appended {
            Ok(end) => {
                let sightings = self.read_directory().await.unwrap_or_default();
                self.become_owner(owner, end, sequence, sightings);
                Ok(Claim::Taken)
            }
            Err(StoreError::Moved(_)) => Ok(Claim::Behind),
            Err(error) => Err(error),
        }
    }

    fn become_owner(
        &self,
        owner: Owner,
        end: u64,
        sequence: u64,
        sightings: Vec<crate::dispatch::event::Sighting>,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(catalog) = state.catalog.clone() else { return };
        let Role::Follower(mut table) = std::mem::take(&mut state.role) else { return };
        let epoch = owner.epoch;
        table.owner = owner;
        let options = self.dispatch.borrow().clone();
        let mut dispatcher = Dispatcher::new(options, epoch, *table, catalog, now, unix_ms());
        dispatcher.set_evacuated(state.evacuated.clone());
        for sighting in sightings {
            dispatcher.sighted(now, sighting);
        }
        for wave in state.waves.values() {
            dispatcher.plan_wave(now, wave.clone());
        }
        state.role = Role::Owner(Box::new(dispatcher));
        self.handle.meters.owned("claimed");
        state.progress.next = Some(end);
        state.sequence = sequence + 1;
        self.work.notify_one();
    }

    /// Gives up the work. What was decided and not stored is dropped, so the jobs are loaded anew.
    pub(super) fn step_down(&self, why: &'static str) {
        let mut state = self.state.borrow_mut();
        if let Role::Owner(dispatcher) = &state.role {
            log::info!(epoch = dispatcher.epoch(), why = why; "this instance no longer owns the work");
            self.handle.meters.owned(why);
            state.loads += 1;
            state.intake.next = None;
            state.role = Role::default();
        }
    }
}

/// True if a process is a later one of the same instance.
fn replaces(name: &str, former: &str) -> bool {
    let instance = |name: &str| name.rsplit_once('-').map(|(instance, _)| instance.to_owned());
    instance(former).is_some() && instance(name) == instance(former) && born(name) > born(former)
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
