//! Claim of the work and its loss.
//!
//! Membership of the group is only a hint of who is to own the work: the proof is a record appended under a higher
//! epoch, on the condition that the topic ends where this instance has read to. From then on the store refuses the
//! former owner's writes, and its state is complete here.

use std::time::Duration;

use tokio::time::sleep;

use super::state::Role;
use super::summaries::note_unpublished;
use super::{Node, unix_ms};
use crate::dispatch::Dispatcher;
use crate::ports::{Fence, Platform, Store, StoreError, Topic};
use crate::record::{self, Owner};

/// Tries to claim the work before the group is asked again.
const TRIES: u32 = 6;
/// Time between two tries.
const RETRY: Duration = Duration::from_millis(50);
/// First sequence numbers are random below this, so that two claims of one epoch never look like one append.
const FIRST_SEQUENCE: u64 = 1 << 31;

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
    pub(super) async fn claim_work(&self) {
        let sequence = rand::random::<u64>() % FIRST_SEQUENCE;
        let Some(former) = self.known_owner() else { return };
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
        self.catch_up_progress().await?;
        let end = self.state.borrow().progress.next;
        // After the progress: whatever it names was accepted before, so the intake has it by now.
        self.catch_up_intake().await?;
        let Some(known) = self.known_owner() else { return Err(StoreError::Unknown) };
        if known != *former {
            return Ok(Claim::Late);
        }
        let owner = Owner { epoch: known.epoch + 1, name: self.options.name.clone() };
        if known.name == owner.name {
            // An earlier claim of this process was stored although its answer was lost; nothing follows it but
            // what this process wrote, so a further claim under the next epoch is safe.
            log::info!(epoch = owner.epoch; "claiming the work again");
        }
        let fence = Fence { epoch: owner.epoch, sequence };
        let entries = [record::owner(&owner)];
        let asked = self.now();
        let appended = self.platform.store().append(Topic::Progress, &entries, Some(fence), end).await;
        match appended {
            Ok(end) => {
                let records = match self.read_directory().await {
                    Ok(records) => records,
                    Err(error) => {
                        log::warn!(error:% = error; "the directory of workers is not read yet");
                        Vec::new()
                    }
                };
                self.become_owner(owner, asked, end, sequence, records);
                Ok(Claim::Taken)
            }
            Err(StoreError::OffsetMismatch(_)) => Ok(Claim::Behind),
            Err(error) => Err(error),
        }
    }

    fn become_owner(
        &self,
        owner: Owner,
        asked: u64,
        end: u64,
        sequence: u64,
        records: Vec<crate::dispatch::event::WorkerRecord>,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(catalog) = state.catalog.clone() else { return };
        if !state.stands_by() {
            return;
        }
        let Role::Standby(mut table) = std::mem::take(&mut state.role) else { return };
        let epoch = owner.epoch;
        table.owner = owner;
        let options = self.dispatch.borrow().clone();
        let mut dispatcher =
            Dispatcher::new(options, epoch, *table, catalog, now, unix_ms()).with_contact(asked);
        dispatcher.set_evacuated(state.evacuated.clone());
        for record in records {
            dispatcher.update_worker(now, record);
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
            note_unpublished(&mut state);
            state.drop_work();
            self.holder.notify_one();
        }
    }

    /// Owner that the progress names, if this node holds the work.
    fn known_owner(&self) -> Option<Owner> {
        self.state.borrow().table().map(|table| table.owner.clone())
    }
}
