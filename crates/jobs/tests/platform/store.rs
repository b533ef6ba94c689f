//! Store with fences and groups, and the calls of one node to it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::ports::{Fence, Group, Page, Store, StoreError, Topic};
use rattanfall_jobs::record::Entry;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::link::Link;
use super::workers::Worker;

/// Time of an answer of the store.
const STORE: Duration = Duration::from_millis(4);
/// Time limit of a call to the store beyond its own wait.
const LIMIT: Duration = Duration::from_millis(900);
/// Time limit of a part of the newest records.
const NEWEST_LIMIT: Duration = Duration::from_millis(1_500);
/// Most records of a part of the newest records.
const NEWEST_RECORDS: usize = 500;
/// Most bytes of a part of the newest records, and of the records of a page unless a test sets fewer.
pub(super) const PAGE_BYTES: usize = 1 << 20;
/// Bytes of an answer beside its records.
const HEAD_BYTES: usize = 200;
/// Bytes of a record beside its key and value.
const RECORD_BYTES: usize = 5;
/// As above, among the newest records.
const NEWEST_RECORD_BYTES: usize = 40;
/// Most bytes of an append.
pub(super) const APPEND_BYTES: usize = 2_000;

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses appends.
    Refuse,
    /// It carries appends out and does not answer.
    LoseAnswers,
    /// It does nothing and does not answer.
    Silent,
}

/// Records of a topic.
#[derive(Default)]
pub(super) struct Log {
    pub(super) entries: Vec<Entry>,
    /// Offset of the first record that is kept.
    pub(super) first: u64,
    pub(super) epoch: u64,
    sequence: u64,
}

/// What all nodes share.
#[derive(Default)]
pub(super) struct World {
    /// Members that a group lists at most. A new one is listed once a part is free.
    pub(super) parts: Option<usize>,
    /// Topics that a node cannot read, by the node's name.
    pub(super) blind: BTreeMap<String, BTreeSet<Topic>>,
    pub(super) fault: Fault,
    pub(super) logs: BTreeMap<Topic, Log>,
    /// Most bytes of the records of a page.
    pub(super) page_bytes: usize,
    pub(super) groups: BTreeMap<Group, Members>,
    pub(super) workers: BTreeMap<String, Worker>,
    /// Time by which each task of a step runs longer than the one before.
    pub(super) stagger: Duration,
    pub(super) starts: usize,
    pub(super) doubled: usize,
    /// Time of the last start of a task of each job.
    pub(super) started: BTreeMap<JobId, Instant>,
}

impl World {
    /// Members of a group, without those that have been silent for too long.
    fn living(&mut self, group: Group) -> &mut Members {
        let now = Instant::now();
        let parts = self.parts.unwrap_or(usize::MAX);
        let members = self.groups.entry(group).or_default();
        let count = members.seen.len();
        members.seen.retain(|_, at| *at + time_to_live(group) > now);
        members.listed.retain(|member| members.seen.contains_key(member));
        let waiting = members.seen.keys().filter(|member| !members.listed.contains(member));
        let waiting: Vec<String> =
            waiting.take(parts.saturating_sub(members.listed.len())).cloned().collect();
        members.listed.extend(waiting);
        members.generation += u64::from(members.seen.len() < count);
        members
    }
}

/// Members of a group, with the times of their last calls.
#[derive(Default)]
pub(super) struct Members {
    pub(super) seen: BTreeMap<String, Instant>,
    /// Members that hold a part, in the order in which they came.
    pub(super) listed: Vec<String>,
    pub(super) generation: u64,
}

/// Platform of one node.
pub(super) struct Memory {
    pub(super) name: String,
    pub(super) world: Rc<RefCell<World>>,
    pub(super) grown: Rc<Notify>,
    pub(super) begun: Instant,
    /// True once the node of this platform was killed: its calls go nowhere.
    pub(super) dead: Rc<Cell<bool>>,
    pub(super) link: Rc<Link>,
}

impl Log {
    /// Records from an offset on, at least one if there is one.
    fn page(&self, from: u64, bytes: usize) -> Page {
        let end = self.entries.len() as u64;
        let start = usize::try_from(from).unwrap_or(usize::MAX).min(self.entries.len());
        let mut total = 0;
        let fits = self.entries[start..].iter().enumerate().take_while(|(index, entry)| {
            total += entry.size() + RECORD_BYTES;
            *index == 0 || total <= bytes
        });
        let entries: Vec<(u64, Entry)> = (from..).zip(fits.map(|(_, entry)| entry.clone())).collect();
        Page { next: from + entries.len() as u64, end, entries }
    }

    fn newest(&self) -> Page {
        let mut newest = BTreeMap::new();
        for (offset, entry) in (0..).zip(&self.entries) {
            newest.insert(&entry.key, (offset, entry));
        }
        let end = self.entries.len() as u64;
        let entries = newest.into_values().map(|(offset, entry)| (offset, entry.clone())).collect();
        Page { entries, next: end, end }
    }

    fn append(
        &mut self,
        entries: &[Entry],
        fence: Option<Fence>,
        at: Option<u64>,
    ) -> Result<u64, StoreError> {
        if let Some(Fence { epoch, sequence }) = fence {
            if epoch < self.epoch {
                return Err(StoreError::Fenced);
            }
            if epoch == self.epoch && sequence == self.sequence {
                return Ok(self.entries.len() as u64);
            }
            if epoch == self.epoch && sequence != self.sequence + 1 {
                return Err(StoreError::SequenceMismatch(self.sequence + 1));
            }
        }
        if at.is_some_and(|at| at != self.entries.len() as u64) {
            return Err(StoreError::OffsetMismatch(self.entries.len() as u64));
        }
        if let Some(Fence { epoch, sequence }) = fence {
            self.epoch = epoch;
            self.sequence = sequence;
        }
        self.entries.extend(entries.iter().cloned());
        Ok(self.entries.len() as u64)
    }
}

impl Memory {
    /// Waits for ever once the node was killed.
    pub(super) async fn live(&self) {
        if self.dead.get() {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn clock(&self) -> u64 {
        1_000 + u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(0)
    }

    /// Waits until the store has taken a call; for ever if it does nothing.
    async fn reach(&self, writes: bool) -> Result<(), StoreError> {
        self.live().await;
        self.link.request().await;
        sleep(STORE).await;
        let fault = self.world.borrow().fault;
        match fault {
            Fault::Refuse if writes => Err(StoreError::Refused),
            Fault::Silent => std::future::pending().await,
            _ => Ok(()),
        }
    }

    /// Waits until an answer has arrived; for ever if the node was killed meanwhile, so that nothing of it is on the link.
    async fn answer(&self, bytes: usize) {
        self.live().await;
        self.link.answer(bytes).await;
    }

    /// Outcome of a call to the group.
    async fn group<T>(&self, act: impl FnOnce(&mut World) -> T) -> Result<T, StoreError> {
        let call = async {
            self.reach(false).await?;
            let answer = act(&mut self.world.borrow_mut());
            self.answer(HEAD_BYTES).await;
            Ok(answer)
        };
        within(LIMIT, call).await
    }

    /// Waits for a page of records. It is as of the time at which the store answers.
    async fn page(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            {
                let mut world = self.world.borrow_mut();
                let bytes = world.page_bytes;
                let log = world.logs.entry(topic).or_default();
                if from < log.first {
                    return Err(StoreError::Gone(log.first));
                }
                if from < log.entries.len() as u64 || Instant::now() >= deadline {
                    return Ok(log.page(from, bytes));
                }
            }
            // The end of the wait is noticed by the loop.
            let _ = timeout(deadline.saturating_duration_since(Instant::now()), grown).await;
        }
    }
}

/// Outcome of a call that is given up after a time limit.
async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    timeout(limit, call).await.unwrap_or(Err(StoreError::Unknown))
}

/// Numbers of records and bytes of the parts in which newest records are sent.
fn parts(entries: &[(u64, Entry)]) -> Vec<usize> {
    let mut parts = vec![(0, HEAD_BYTES)];
    for (_, entry) in entries {
        // Values are sent as base64.
        let size = entry.key.len() + entry.value.len().div_ceil(3) * 4 + NEWEST_RECORD_BYTES;
        match parts.last_mut() {
            Some((count, bytes)) if *count < NEWEST_RECORDS && *bytes + size <= PAGE_BYTES => {
                *count += 1;
                *bytes += size;
            }
            _ => parts.push((1, HEAD_BYTES + size)),
        }
    }
    parts.into_iter().map(|(_, bytes)| bytes).collect()
}

impl Store for Memory {
    async fn append(
        &self,
        topic: Topic,
        entries: &[Entry],
        fence: Option<Fence>,
        at: Option<u64>,
    ) -> Result<u64, StoreError> {
        let call = async {
            self.reach(true).await?;
            if entries.iter().map(Entry::size).sum::<usize>() > APPEND_BYTES {
                return Err(StoreError::Refused);
            }
            let appended = self.world.borrow_mut().logs.entry(topic).or_default().append(entries, fence, at);
            if appended.is_ok() {
                self.grown.notify_waiters();
                if self.world.borrow().fault == Fault::LoseAnswers {
                    std::future::pending::<()>().await;
                }
            }
            self.answer(HEAD_BYTES).await;
            appended
        };
        within(LIMIT, call).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        let call = async {
            self.reach(false).await?;
            let blind =
                self.world.borrow().blind.get(&self.name).is_some_and(|topics| topics.contains(&topic));
            if blind {
                std::future::pending::<()>().await;
            }
            let page = self.page(topic, from, wait).await?;
            let bytes: usize = page.entries.iter().map(|(_, entry)| entry.size() + RECORD_BYTES).sum();
            self.answer(HEAD_BYTES + bytes).await;
            Ok(page)
        };
        within(LIMIT + wait, call).await
    }

    async fn newest(&self, topic: Topic) -> Result<Page, StoreError> {
        let first = async {
            self.reach(false).await?;
            Ok(self.world.borrow_mut().logs.entry(topic).or_default().newest())
        };
        let page = within(NEWEST_LIMIT, first).await?;
        for (index, bytes) in parts(&page.entries).into_iter().enumerate() {
            let part = async {
                if index > 0 {
                    self.reach(false).await?;
                }
                self.answer(bytes).await;
                Ok(())
            };
            within(NEWEST_LIMIT, part).await?;
        }
        Ok(page)
    }

    async fn join(&self, group: Group, member: &str, _: u64) -> Result<u64, StoreError> {
        let join = |world: &mut World| {
            let members = world.living(group);
            if members.seen.insert(member.to_owned(), Instant::now()).is_none() {
                members.generation += 1;
            }
            members.generation
        };
        self.group(join).await
    }

    async fn members(&self, group: Group) -> Result<BTreeSet<String>, StoreError> {
        self.group(|world| world.living(group).listed.iter().cloned().collect()).await
    }

    async fn leave(&self, group: Group, member: &str) -> Result<(), StoreError> {
        let leave = |world: &mut World| {
            let members = world.groups.entry(group).or_default();
            members.seen.remove(member);
            members.generation += 1;
        };
        self.group(leave).await
    }
}

/// Time after which a silent member of a group is forgotten.
const fn time_to_live(group: Group) -> Duration {
    match group {
        Group::Entries => Duration::from_millis(1_600),
        Group::Holders => Duration::from_millis(1_100),
    }
}
