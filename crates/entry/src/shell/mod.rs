//! Shared access to the engine for handlers and background tasks.
//!
//! The engine is behind one mutex, which is never held across an await. Every call collects the engine's commands
//! while it holds the mutex: decisions and resolutions go to the handlers that wait for them, all other commands to
//! the [`Outbox`] after the mutex is released.

mod outbox;
mod request;
mod tick;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use rattanfall_core::engine::command::{NotRun, ProposalError, Refusal, Send};
use rattanfall_core::engine::event::{AttemptOutcome, Submission, TaskSubmission};
use rattanfall_core::engine::{Command, Engine, Event, Millis, Options, RequestKey, Ticket};
use rattanfall_core::fleet::Effect;
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_core::record::Record;
use tokio::sync::oneshot;

pub use outbox::{Inbox, Outbox, WorkerCall, outbox};
pub use request::Request;
pub use tick::run_ticks;

/// The engine's decision about a waiting request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send the request to a worker.
    Send(Send),
    /// End the request without a worker's response.
    Refuse(Refusal),
}

/// Result of a proposal: the record's offset and effect, or why it has none.
pub type Resolution = Result<(Offset, Effect), ProposalError>;

/// Request key that is valid for one incarnation of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle {
    epoch: u64,
    key: RequestKey,
}

/// Engine with the channels of the handlers that wait for it.
#[derive(Debug)]
pub struct Shell {
    state: Mutex<State>,
    started: Instant,
    outbox: Outbox,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    /// Number of times that the engine was replaced. A request key of a replaced engine may be in use again.
    epoch: u64,
    decisions: HashMap<RequestKey, oneshot::Sender<Decision>>,
    resolutions: HashMap<Ticket, oneshot::Sender<Resolution>>,
}

impl Shell {
    /// Creates a shell with a new engine.
    #[must_use]
    pub fn new(options: Options, outbox: Outbox) -> Arc<Self> {
        let engine = Engine::new(options, rand::random());
        let state = State { engine, epoch: 0, decisions: HashMap::new(), resolutions: HashMap::new() };
        Arc::new(Self { state: Mutex::new(state), started: Instant::now(), outbox })
    }

    /// Time since this shell was created, on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Reads the engine. The closure runs under the mutex that every request needs, so it must be short.
    pub fn read<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
        read(&self.state.lock().engine)
    }

    /// Member id of this incarnation; `None` until its join is applied.
    #[must_use]
    pub fn member(&self) -> Option<MemberId> {
        self.read(|engine| {
            let nonce = engine.options().nonce;
            let members = &engine.fleet().members;
            members.iter().rev().find(|(_, m)| m.nonce == nonce).map(|(id, _)| *id)
        })
    }

    /// Passes an event to the engine.
    pub fn handle(&self, event: Event) {
        self.with_engine(|engine, now| engine.handle(now, event));
    }

    /// Runs the engine's periodic work once.
    pub fn tick(&self) {
        self.with_engine(Engine::tick);
    }

    /// Submits a task.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses the task without proposing a record.
    pub fn submit_task(&self, task: TaskSubmission) -> Result<oneshot::Receiver<Resolution>, NotRun> {
        self.with_resolution(|engine, now| engine.submit_task(now, task))
    }

    /// Proposes a record. The receiver is closed if the engine is replaced first.
    pub fn propose(&self, record: Record) -> oneshot::Receiver<Resolution> {
        let with_resolution =
            self.with_resolution(|engine, now| Ok::<_, NotRun>(engine.propose(now, record)));
        with_resolution.unwrap_or_else(|_| oneshot::channel().1)
    }

    fn with_resolution<E>(
        &self,
        propose: impl FnOnce(&mut Engine, Millis) -> Result<Ticket, E>,
    ) -> Result<oneshot::Receiver<Resolution>, E> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let ticket = propose(&mut state.engine, self.now())?;
        state.resolutions.insert(ticket, sender);
        self.deliver_commands(state);
        Ok(receiver)
    }

    fn submit(&self, submission: Submission) -> (Handle, oneshot::Receiver<Decision>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let key = state.engine.submit(self.now(), submission);
        let handle = Handle { epoch: state.epoch, key };
        state.decisions.insert(key, sender);
        self.deliver_commands(state);
        (handle, receiver)
    }

    /// Reports the end of an attempt and returns a receiver of the next decision. The receiver is closed if the engine
    /// was replaced in the meantime.
    fn attempt_ended(&self, handle: Handle, outcome: AttemptOutcome) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        if state.epoch == handle.epoch {
            state.decisions.insert(handle.key, sender);
            state.engine.handle(self.now(), Event::RequestEnded { request: handle.key, outcome });
            self.deliver_commands(state);
        }
        receiver
    }

    /// Passes an event about a request whose handler expects no further decision.
    fn close_request(&self, handle: Handle, event: Event) {
        let mut state = self.state.lock();
        if state.epoch == handle.epoch {
            state.decisions.remove(&handle.key);
            state.engine.handle(self.now(), event);
            self.deliver_commands(state);
        }
    }

    fn with_engine(&self, act: impl FnOnce(&mut Engine, Millis)) {
        let mut state = self.state.lock();
        act(&mut state.engine, self.now());
        self.deliver_commands(state);
    }

    /// Delivers decisions and resolutions, releases the mutex and passes all other commands to the outbox.
    fn deliver_commands(&self, mut state: parking_lot::MutexGuard<'_, State>) {
        let mut others = state.route();
        let rejoin = others.iter().any(|command| matches!(command, Command::Rejoin));
        if rejoin {
            state.rejoin(self.now());
            others.extend(state.route());
        }
        drop(state);
        for command in others {
            self.outbox.dispatch(self, command);
        }
    }
}

impl State {
    /// Delivers decisions and resolutions and returns all other commands.
    fn route(&mut self) -> Vec<Command> {
        let mut others = Vec::new();
        for command in self.engine.take_commands() {
            match command {
                Command::Send(send) => self.decide(send.request, Decision::Send(send)),
                Command::Refuse { request, refusal } => self.decide(request, Decision::Refuse(refusal)),
                Command::Resolve { ticket, result } => self.resolve(ticket, result),
                other => others.push(other),
            }
        }
        others
    }

    fn decide(&mut self, request: RequestKey, decision: Decision) {
        if let Some(sender) = self.decisions.remove(&request) {
            let _ = sender.send(decision);
        }
    }

    fn resolve(&mut self, ticket: Ticket, result: Resolution) {
        if let Some(sender) = self.resolutions.remove(&ticket) {
            let _ = sender.send(result);
        }
    }

    /// Replaces the engine by one with a new nonce and the same replica of the state. Waiting handlers find their
    /// channels closed.
    fn rejoin(&mut self, now: Millis) {
        let options = Options { nonce: rand::random(), ..self.engine.options().clone() };
        log::warn!("the log ended this incarnation; joining again with nonce {}", options.nonce);
        let fleet = self.engine.fleet().clone();
        let stopping = self.engine.view(now).stopping;
        self.engine = Engine::new(options, rand::random());
        if stopping {
            self.engine.handle(now, Event::Stop);
        }
        self.engine.handle(now, Event::Restored(Box::new(fleet)));
        self.epoch += 1;
        self.decisions.clear();
        self.resolutions.clear();
    }
}
