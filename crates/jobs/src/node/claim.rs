//! Claiming ownership of the jobs, and stepping down.
//!
//! Group membership is only a hint of which instance should be the owner. Ownership is established by appending a record
//! under a higher epoch, on the condition that the topic ends where this instance has read to. From then on the store
//! refuses writes of the former owner, and this instance has its complete state.

use std::time::Duration;

use tokio::time::sleep;

use super::state::Role;
use super::summaries::add_unpublished;
use super::{Node, unix_ms};
use crate::dispatch::Dispatcher;
use crate::ports::{Fence, Platform, Store, StoreError, Topic};
use crate::record::{self, Owner};

/// Maximum number of attempts to claim before the group is checked again.
const MAX_ATTEMPTS: u32 = 6;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Exclusive bound of the random first sequence number. It is random so that the store never takes two claims of one
/// epoch for a repetition of one append.
const FIRST_SEQUENCE_BOUND: u64 = 1 << 31;

/// Result of an attempt to claim ownership.
enum Claim {
    /// This instance is the owner.
    Won,
    /// The topic contains records that this instance has not read.
    Behind,
    /// Another instance has claimed ownership.
    Lost,
}

impl<P: Platform> Node<P> {
    pub(super) async fn claim_ownership(&self) {
        let sequence = rand::random::<u64>() % FIRST_SEQUENCE_BOUND;
        let Some(former) = self.known_owner() else { return };
        for _ in 0..MAX_ATTEMPTS {
            match self.try_claim(sequence, &former).await {
                Ok(Claim::Won) => return,
                Ok(Claim::Lost) => {
                    log::info!(epoch = former.epoch; "another instance has claimed ownership of the jobs");
                    return;
                }
                Ok(Claim::Behind) => {}
                Err(error) => {
                    log::info!(error:% = error; "ownership of the jobs could not be claimed");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Appends the claim, on the condition that this instance has read the whole topic.
    ///
    /// The attempt is abandoned if the owner is no longer `former`: the group was only checked for that one.
    async fn try_claim(&self, sequence: u64, former: &Owner) -> Result<Claim, StoreError> {
        self.catch_up_progress().await?;
        let end = self.state.borrow().progress.next;
        // After the progress, because every job in it was accepted earlier and so is in the intake by now.
        self.catch_up_intake().await?;
        let Some(known) = self.known_owner() else { return Err(StoreError::Unknown) };
        if known != *former {
            return Ok(Claim::Lost);
        }
        let owner = Owner { epoch: record::next_epoch(known.epoch), name: self.options.name.clone() };
        if known.name == owner.name {
            // An earlier claim of this process was stored but its answer was lost. Only this process has written
            // since then, so it is safe to claim again under the next epoch.
            log::info!(epoch = owner.epoch; "claiming ownership again under the next epoch");
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
                        log::warn!(error:% = error; "the worker directory could not be read");
                        Vec::new()
                    }
                };
                self.become_owner(owner, asked, end, sequence, records);
                Ok(Claim::Won)
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
        if !state.is_standby() {
            return;
        }
        state.keep_started();
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
        dispatcher.set_waves(now, &state.waves, state.operator.next.unwrap_or(0));
        state.role = Role::Owner(Box::new(dispatcher));
        self.handle.meters.owned("claimed");
        state.progress.next = Some(end);
        state.sequence = sequence + 1;
        state.stored_sequence = sequence;
        state.open_writes.clear();
        state.write_stored = None;
        state.write_failed = false;
        self.owner_wakeup.notify_one();
    }

    /// Gives up ownership. Decisions that are not stored are lost, so the job table is loaded again.
    pub(super) fn step_down(&self, why: &'static str) {
        let mut state = self.state.borrow_mut();
        if let Role::Owner(dispatcher) = &state.role {
            log::info!(epoch = dispatcher.epoch(), why = why; "this instance no longer owns the jobs");
            self.handle.meters.owned(why);
            add_unpublished(&mut state);
            state.unload_table();
            self.load_wakeup.notify_one();
        }
    }

    /// Owner according to the progress, if this node holds the job table.
    fn known_owner(&self) -> Option<Owner> {
        self.state.borrow().table().map(|table| table.owner.clone())
    }
}
