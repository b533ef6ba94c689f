//! Process around the decisions: one node of the fleet of entry instances.
//!
//! All tasks of a node run on one thread and share its state. Every node follows the states of jobs and answers callers.
//! A few nodes hold the work as well, and one of these owns it.

mod answers;
pub mod calls;
mod claim;
mod follow;
mod intake;
mod membership;
pub mod options;
mod owner;
mod state;
mod summaries;
pub mod view;
mod work;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::{Mutex, Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::dispatch::options::Options as DispatchOptions;
use crate::ports::{Group, Platform};
use calls::{Handle, Message};
use options::Options;
use state::State;

/// Time between two checks of readiness.
const READY_GAP: Duration = Duration::from_millis(100);

/// One node.
pub struct Node<P: Platform> {
    platform: P,
    options: Options,
    handle: Handle,
    /// Settings of the decisions, which may change while the node runs.
    dispatch: RefCell<DispatchOptions>,
    state: RefCell<State>,
    /// Wakes the owner's loop.
    work: Notify,
    /// Wakes the intake's writer.
    submissions: Notify,
    /// Wakes the reader of the work once this node is to hold it.
    holder: Notify,
    /// Wakes the member of the group once the work is loaded.
    loaded: Notify,
    /// Held while the rest of the intake is read for a job that is not known.
    tail: Mutex<()>,
    start: Instant,
}

impl<P: Platform> Node<P> {
    /// Creates a node. `handle` reaches it from other threads.
    #[must_use]
    pub fn new(platform: P, options: Options, handle: Handle) -> Rc<Self> {
        Rc::new(Self {
            platform,
            dispatch: RefCell::new(options.dispatch.clone()),
            options,
            handle,
            state: RefCell::default(),
            work: Notify::new(),
            submissions: Notify::new(),
            holder: Notify::new(),
            loaded: Notify::new(),
            tail: Mutex::new(()),
            start: Instant::now(),
        })
    }

    /// Runs the node on a `LocalSet` until `stop` completes, then hands the work over and ends once `close`, which
    /// closes the servers, has completed.
    pub async fn run(
        self: Rc<Self>,
        calls: mpsc::Receiver<Message>,
        stop: impl Future<Output = ()>,
        close: impl Future<Output = ()>,
    ) {
        let tasks = [
            spawn_local(Rc::clone(&self).follow_operator()),
            spawn_local(Rc::clone(&self).follow_summaries()),
            spawn_local(Rc::clone(&self).follow_intake()),
            spawn_local(Rc::clone(&self).follow_progress()),
            spawn_local(Rc::clone(&self).follow_directory()),
            spawn_local(Rc::clone(&self).follow_machines()),
            spawn_local(Rc::clone(&self).keep_listed()),
            spawn_local(Rc::clone(&self).keep_share()),
            spawn_local(Rc::clone(&self).own_work()),
            spawn_local(Rc::clone(&self).publish_summaries()),
            spawn_local(Rc::clone(&self).write_intake()),
            spawn_local(Rc::clone(&self).answer_calls(calls)),
            spawn_local(Rc::clone(&self).watch_ready()),
        ];
        stop.await;
        self.hand_over().await;
        close.await;
        for task in tasks {
            task.abort();
        }
    }

    /// Replaces the settings of the owner's decisions.
    pub fn set_dispatch(&self, options: DispatchOptions) {
        if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
            dispatcher.set_options(options.clone());
        }
        self.dispatch.replace(options);
        self.work.notify_one();
    }

    /// Milliseconds of the steady clock.
    fn now(&self) -> u64 {
        self.millis(Instant::now())
    }

    /// Milliseconds of the steady clock at a time.
    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_millis()).unwrap_or(u64::MAX)
    }

    async fn watch_ready(self: Rc<Self>) {
        loop {
            let (ready, age) = {
                let (state, now) = (self.state.borrow(), Instant::now());
                (state.ready(now, self.options.stale), state.age(now))
            };
            if self.handle.set_ready(ready) != ready {
                let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                log::info!(ready = ready, view_age_ms = age_ms; "readiness changed");
            }
            sleep(READY_GAP).await;
        }
    }

    /// Gives up the work and finishes open calls.
    async fn hand_over(&self) {
        {
            let mut state = self.state.borrow_mut();
            state.stopping = true;
            state.holder = false;
        }
        self.handle.set_ready(false);
        self.step_down("the process stops");
        tokio::join!(self.leave(Group::Holders), self.leave(Group::Entries));
        // Callers keep their connections until the balancer has noticed; they are served meanwhile.
        sleep(self.options.stop_grace).await;
    }
}

/// Time of day in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
