//! Fake worker with selectable faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use rattanfall_wire::platform::{Instance, Kind, State as Listed};
use rattanfall_wire::worker::{Lease, RunState, StartTask, TaskStatus, WorkerStatus};
use tokio::sync::watch;

use super::http::{Action, Incoming, serve};

/// Reaction of the worker to a request.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Runs it and responds with the request's body.
    Echo,
    /// Runs it and responds with this many bytes.
    Big(usize),
    /// Runs it and responds with the id of another request.
    Crossed,
    /// Runs it and announces a response of the first size in bytes, of which only the second is sent.
    Truncated(usize, usize),
    /// Refuses it with this reason.
    Refuse(&'static str),
    /// Runs it and closes the connection without a response.
    Close,
    /// Runs it and never responds.
    Silent,
    /// Runs it and responds once `release` is called.
    Held,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    /// Modes of the next requests, in order; later requests have `Echo`.
    pub(crate) modes: VecDeque<Mode>,
    /// Requests that ran, in order.
    pub(crate) ran: Vec<Incoming>,
    /// Number of refused requests.
    pub(crate) refused: u32,
    pub(crate) pool: String,
    pub(crate) nonce: u64,
    pub(crate) task: Option<TaskStatus>,
    pub(crate) starts: Vec<StartTask>,
}

/// Running fake worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
    hold: watch::Sender<bool>,
}

impl FakeWorker {
    pub(crate) async fn start(name: &str, pool: &str) -> Self {
        let state = State { pool: pool.into(), nonce: 7, ..State::default() };
        let state = Arc::new(Mutex::new(state));
        let hold = watch::Sender::new(false);
        let (shared, released) = (Arc::clone(&state), hold.clone());
        let address = serve(move |request| {
            let (state, mut released) = (Arc::clone(&shared), released.subscribe());
            async move {
                let (action, held) = handle(&state, request);
                if held {
                    let _ = released.wait_for(|released| *released).await;
                }
                action
            }
        });
        Self { name: name.into(), address: address.await, state, hold }
    }

    /// Sets the modes of the next requests.
    pub(crate) fn next(&self, modes: impl IntoIterator<Item = Mode>) {
        self.state.lock().modes.extend(modes);
    }

    /// Lets held requests respond.
    pub(crate) fn release(&self) {
        self.hold.send_replace(true);
    }

    /// Number of requests that ran.
    pub(crate) fn ran(&self) -> usize {
        self.state.lock().ran.len()
    }

    /// Entry for the platform's instance list.
    pub(crate) fn listed(&self, zone: &str) -> Instance {
        let state = self.state.lock();
        Instance {
            name: self.name.clone(),
            nonce: state.nonce,
            kind: Kind::Worker,
            address: self.address.to_string(),
            zone: zone.into(),
            rack: "rack".into(),
            pool: state.pool.clone(),
            slots: 8,
            state: Listed::Live,
        }
    }
}

fn handle(state: &Mutex<State>, request: Incoming) -> (Action, bool) {
    if request.path.starts_with("/worker/") {
        return (control_call(state, &request), false);
    }
    let id = request.headers.get("x-request-id").cloned().unwrap_or_default();
    let echo = vec![("x-request-id".to_owned(), id)];
    let mut state = state.lock();
    let mode = state.modes.pop_front().unwrap_or(Mode::Echo);
    if let Mode::Refuse(reason) = mode {
        state.refused += 1;
        let headers = [echo, vec![("x-refused".to_owned(), reason.to_owned())]].concat();
        return (Action::Respond { status: 503, headers, body: Vec::new() }, false);
    }
    let body = request.body.clone();
    state.ran.push(request);
    let held = matches!(mode, Mode::Held);
    let action = match mode {
        Mode::Echo | Mode::Held | Mode::Refuse(_) => Action::Respond { status: 200, headers: echo, body },
        Mode::Big(size) => Action::Respond { status: 200, headers: echo, body: vec![b'b'; size] },
        Mode::Crossed => {
            let headers = vec![("x-request-id".to_owned(), "another".to_owned())];
            Action::Respond { status: 200, headers, body: b"another caller's answer".to_vec() }
        }
        Mode::Truncated(size, written) => Action::Truncate { headers: echo, body: vec![b't'; size], written },
        Mode::Close => Action::Close,
        Mode::Silent => Action::NeverRespond,
    };
    (action, held)
}

fn control_call(state: &Mutex<State>, request: &Incoming) -> Action {
    let mut state = state.lock();
    let nonce = state.nonce;
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/worker/status") => {
            let pool = state.pool.clone();
            let status = WorkerStatus { name: "w".into(), nonce, pool, slots: 8, running: 0, leaving: false };
            Action::json(200, &status)
        }
        ("POST", "/worker/tasks") => {
            let start: StartTask = serde_json::from_slice(&request.body).expect("start");
            let result = Some(STANDARD.encode(b"result of the task"));
            let (state_done, attempt) = (RunState::Done, start.attempt);
            state.starts.push(start);
            state.task = Some(TaskStatus {
                state: state_done,
                attempt,
                nonce,
                result,
                reason: None,
                checkpoint: None,
            });
            Action::json(202, &())
        }
        ("POST", _) => Action::json(200, &Lease { lease: 3, ttl_ms: 5_000, nonce }),
        _ => {
            let never = RunState::Never;
            let none =
                TaskStatus { state: never, attempt: 0, nonce, result: None, reason: None, checkpoint: None };
            Action::json(200, &state.task.clone().unwrap_or(none))
        }
    }
}
