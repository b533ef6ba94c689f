//! Node: the process of an entry instance around the scheduler.
//!
//! All tasks of a node run on one thread and share its state. Every node follows the states of jobs and serves callers.
//! A few nodes, the holders, also load the job table, and one of them is the owner, which schedules the jobs.

mod answers;
pub mod calls;
mod claim;
mod follow;
mod intake;
mod load;
mod membership;
pub mod options;
mod owner;
pub mod repeats;
mod state;
mod summaries;
pub mod supervision;
pub mod view;
mod work;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{Mutex, Notify, mpsc};
use tokio::time::{Instant, sleep};

use crate::dispatch::options::Options as DispatchOptions;
use crate::ports::{Group, Platform};
use calls::{Handle, Message};
use options::Options;
use repeats::{AnswerTimes, Limits};
use state::State;

/// Interval between two checks of readiness.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Repeats of the owner's writes.
const WRITE_REPEATS: Limits = Limits { min_delay: Duration::from_millis(60), attempts: 3 };
/// Repeats of a holder's joins. A member whose joins don't arrive is dropped soon, and the work changes its owner.
const JOIN_REPEATS: Limits = Limits { min_delay: Duration::from_millis(150), attempts: 3 };

/// Node of the fleet of entry instances.
pub struct Node<P: Platform> {
    platform: P,
    options: Options,
    handle: Handle,
    /// Settings of the scheduler, which may change while the node runs.
    dispatch: RefCell<DispatchOptions>,
    state: RefCell<State>,
    /// How long the store takes to answer the owner's writes.
    write_times: Cell<AnswerTimes>,
    /// How long the store takes to answer a holder's joins.
    join_times: Cell<AnswerTimes>,
    /// Signals that more of the owner's appends to the progress are known to be stored.
    progress_stored: Notify,
    /// Wakes the owner loop.
    owner_wakeup: Notify,
    /// Wakes the intake writer.
    intake_wakeup: Notify,
    /// Wakes the loader of the job table.
    load_wakeup: Notify,
    /// Wakes the holders' membership loop once the job table is loaded.
    loaded: Notify,
    /// Held while the rest of the intake is read for an unknown job, so that calls share a read.
    tail_lock: Mutex<()>,
    start: Instant,
}

impl<P: Platform> Node<P> {
    /// Creates a node, which other threads reach through `handle`.
    #[must_use]
    pub fn new(platform: P, options: Options, handle: Handle) -> Rc<Self> {
        Rc::new(Self {
            platform,
            dispatch: RefCell::new(options.dispatch.clone()),
            options,
            handle,
            state: RefCell::default(),
            write_times: Cell::new(AnswerTimes::new(WRITE_REPEATS)),
            join_times: Cell::new(AnswerTimes::new(JOIN_REPEATS)),
            progress_stored: Notify::new(),
            owner_wakeup: Notify::new(),
            intake_wakeup: Notify::new(),
            load_wakeup: Notify::new(),
            loaded: Notify::new(),
            tail_lock: Mutex::new(()),
            start: Instant::now(),
        })
    }

    /// Runs the node on a `LocalSet` until `stop` completes. Then it gives up ownership, finishes open calls and returns once
    /// `close`, which closes the servers, has completed.
    pub async fn run(
        self: Rc<Self>,
        calls: mpsc::Receiver<Message>,
        stop: impl Future<Output = ()>,
        close: impl Future<Output = ()>,
    ) {
        let calls = Rc::new(Mutex::new(calls));
        let tasks = [
            self.keep_running("follow_operator", Self::follow_operator),
            self.keep_running("follow_summaries", Self::follow_summaries),
            self.keep_running("follow_intake", Self::follow_intake),
            self.keep_running("follow_progress", Self::follow_progress),
            self.keep_running("follow_directory", Self::follow_directory),
            self.keep_running("follow_machines", Self::follow_machines),
            self.keep_running("join_entries", Self::join_entries),
            self.keep_running("join_holders", Self::join_holders),
            self.keep_running("run_owner", Self::run_owner),
            self.keep_running("publish_summaries", Self::publish_summaries),
            self.keep_running("write_intake", Self::write_intake),
            self.keep_running("answer_calls", move |node| node.answer_calls(Rc::clone(&calls))),
            self.keep_running("watch_ready", Self::watch_ready),
        ];
        stop.await;
        self.shut_down().await;
        close.await;
        for task in tasks {
            task.abort();
        }
    }

    /// Replaces the settings of the scheduler, from the next tick on if this node is the owner.
    pub fn set_dispatch(&self, options: DispatchOptions) {
        if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
            dispatcher.set_options(options.clone());
        }
        self.dispatch.replace(options);
        self.owner_wakeup.notify_one();
    }

    /// Current time of the steady clock in milliseconds.
    fn now(&self) -> u64 {
        self.millis(Instant::now())
    }

    /// Converts a time to milliseconds of the steady clock, which starts with the node.
    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_millis()).unwrap_or(u64::MAX)
    }

    async fn watch_ready(self: Rc<Self>) {
        loop {
            let (ready, age) = {
                let (state, now) = (self.state.borrow(), Instant::now());
                (state.ready(now, self.options.max_view_age), state.summary_age(now))
            };
            if self.handle.set_ready(ready) != ready {
                let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                log::info!(ready = ready, view_age_ms = age_ms; "readiness changed");
            }
            sleep(READY_CHECK_INTERVAL).await;
        }
    }

    /// Gives up ownership, leaves the groups and finishes open calls.
    async fn shut_down(&self) {
        {
            let mut state = self.state.borrow_mut();
            state.stopping = true;
            state.table_wanted = false;
        }
        self.handle.set_ready(false);
        self.step_down("the process stops");
        tokio::join!(self.leave(Group::Holders), self.leave(Group::Entries));
        // Callers keep their connections until the load balancer notices; they are served in the meantime.
        sleep(self.options.stop_grace).await;
    }
}

/// Wall-clock time in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
