//! Fake platform with a log, a list of instances, reboots and outages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use rattanfall_core::record::{Batch, Record, decode};
use rattanfall_wire::platform::{
    Append, Appended, FIRST_OFFSET, Instance, InstanceList, LogGone, LogPage, Reboot,
};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::http::{Action, Incoming, serve};

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) entries: Vec<Vec<u8>>,
    pub(crate) earliest: u64,
    pub(crate) instances: Vec<Instance>,
    pub(crate) reboots: Vec<(String, String)>,
    /// Number of further appends that take effect but get no response.
    pub(crate) lose_responses: u32,
}

/// Running fake platform.
#[derive(Clone, Debug)]
pub(crate) struct FakePlatform {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    down: Arc<AtomicBool>,
}

impl FakePlatform {
    pub(crate) async fn start() -> Self {
        Self::serve(Arc::default(), Arc::default()).await
    }

    /// Starts another listener of the same platform, whose outages are separate.
    pub(crate) async fn other_address(&self) -> Self {
        Self::serve(Arc::clone(&self.state), Arc::clone(&self.changed)).await
    }

    async fn serve(state: Arc<Mutex<State>>, changed: Arc<Notify>) -> Self {
        let down = Arc::new(AtomicBool::new(false));
        let (shared, signal, listener_down) = (Arc::clone(&state), Arc::clone(&changed), Arc::clone(&down));
        let address = serve(move |request| {
            let (state, changed, down) =
                (Arc::clone(&shared), Arc::clone(&signal), Arc::clone(&listener_down));
            async move {
                let action = if down.load(Ordering::SeqCst) {
                    Action::Close
                } else {
                    handle(&state, &changed, request).await
                };
                if down.load(Ordering::SeqCst) { Action::Close } else { action }
            }
        });
        Self { address: address.await, state, changed, down }
    }

    /// Starts or ends an outage of this address, during which every connection is closed without a response.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Batches of all log entries that can be decoded.
    pub(crate) fn batches(&self) -> Vec<Batch> {
        self.state.lock().entries.iter().filter_map(|entry| decode(entry).ok()).collect()
    }

    /// Number of records in the log for which `select` holds.
    pub(crate) fn count(&self, select: impl Fn(&Record) -> bool) -> usize {
        self.batches().iter().flat_map(|batch| &batch.records).filter(|record| select(record)).count()
    }

    /// Appends an entry to the log.
    pub(crate) fn put(&self, entry: Vec<u8>) {
        self.state.lock().entries.push(entry);
        self.changed.notify_waiters();
    }
}

async fn handle(state: &Mutex<State>, changed: &Notify, request: Incoming) -> Action {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    match (request.method.as_str(), path) {
        ("POST", "/log/append") => append(state, changed, &request),
        ("GET", "/log/read") => read(state, changed, query).await,
        ("GET", "/instances") => {
            let instances = state.lock().instances.clone();
            Action::json(200, &InstanceList { version: 1, instances })
        }
        ("POST", _) => {
            let body: Reboot = serde_json::from_slice(&request.body).expect("reboot");
            let name = path.split('/').nth(2).unwrap_or_default().to_owned();
            state.lock().reboots.push((name, body.pool));
            Action::json(202, &())
        }
        _ => Action::json(404, &()),
    }
}

fn append(state: &Mutex<State>, changed: &Notify, request: &Incoming) -> Action {
    let body: Append = serde_json::from_slice(&request.body).expect("append");
    let mut state = state.lock();
    let first = end(&state);
    let entries = body.entries.iter().map(|text| STANDARD.decode(text).expect("base64"));
    state.entries.extend(entries);
    changed.notify_waiters();
    if state.lose_responses > 0 {
        state.lose_responses -= 1;
        return Action::Close;
    }
    Action::json(200, &Appended { first })
}

/// Offset after the last log entry.
fn end(state: &State) -> u64 {
    FIRST_OFFSET + state.entries.len() as u64
}

async fn read(state: &Mutex<State>, changed: &Notify, query: &str) -> Action {
    let field = |name: &str| {
        let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        pair.map_or(0, |(_, value)| value.parse::<u64>().expect("number"))
    };
    let (from, max) = (field("from"), field("max"));
    let notified = changed.notified();
    tokio::pin!(notified);
    notified.as_mut().enable();
    if end(&state.lock()) <= from {
        let _ = timeout(Duration::from_millis(field("wait_ms")), notified).await;
    }
    let state = state.lock();
    let earliest = state.earliest.max(FIRST_OFFSET);
    if from < earliest {
        return Action::json(410, &LogGone { earliest });
    }
    let skip = usize::try_from(from - FIRST_OFFSET).expect("offset");
    let entries = state.entries.iter().skip(skip).take(usize::try_from(max).expect("max"));
    let entries = entries.map(|entry| STANDARD.encode(entry)).collect();
    let end = end(&state);
    Action::json(200, &LogPage { earliest, end, first: from, entries })
}
