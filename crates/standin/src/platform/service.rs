//! HTTP routes of the platform.

use std::time::{Duration, Instant};

use ::http::{Method, StatusCode};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rattanfall_wire::platform::{Append, Appended, Instance, Kind, LogGone, LogPage, Reboot};
use tokio::time::{sleep, timeout_at};

use super::{Faults, Page, Platform};
use crate::http::{Answer, Request, Service, call};
use crate::worker::Rebooting;

/// Maximum number of log entries in one page.
const MAX_PAGE_ENTRIES: u64 = 10_000;
/// Maximum time that a read waits for an append, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

impl Service for Platform {
    async fn answer(&self, request: Request) -> Answer {
        let result = match (&request.method, request.segments().as_slice()) {
            (&Method::PUT, ["faults"]) => self.set_faults(&request),
            (&Method::GET, ["faults"]) => Ok(Answer::ok(&self.state.lock().faults)),
            (&Method::PUT, ["instances", name]) => self.put_instance(name, &request),
            (&Method::DELETE, ["instances", name]) => Ok(self.remove_instance(name)),
            (_, path) => self.answer_platform(&request, path).await,
        };
        result.unwrap_or_else(|error| error)
    }
}

impl Platform {
    // Answers the calls of the platform's own interface, to which faults apply. Fault switches and registrations
    // are controls of the stand-in and always work.
    async fn answer_platform(&self, request: &Request, path: &[&str]) -> Result<Answer, Answer> {
        let faults = self.state.lock().faults;
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Ok(Answer::error(StatusCode::SERVICE_UNAVAILABLE, "the platform is down"));
        }
        match (&request.method, path) {
            (&Method::POST, ["log", "append"]) => self.append(request),
            (&Method::GET, ["log", "read"]) => Ok(self.read(request).await),
            (&Method::GET, ["instances"]) => Ok(self.list()),
            (&Method::POST, ["workers", name, "reboot"]) => self.reboot(name, request).await,
            _ => Ok(Answer::error(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }

    fn set_faults(&self, request: &Request) -> Result<Answer, Answer> {
        let faults: Faults = request.json()?;
        let mut state = self.state.lock();
        state.faults = faults;
        state.log.trim(faults.retention.unwrap_or(self.options.retention));
        ::log::info!(faults:? = faults; "faults changed");
        Ok(Answer::ok(&faults))
    }

    fn append(&self, request: &Request) -> Result<Answer, Answer> {
        let Append { entries } = request.json()?;
        if entries.is_empty() || entries.iter().any(|entry| STANDARD.decode(entry).is_err()) {
            return Err(Answer::error(
                StatusCode::BAD_REQUEST,
                "`entries` must hold at least one entry, each in base64",
            ));
        }
        let mut state = self.state.lock();
        let rate = state.faults.append_rate.unwrap_or(self.options.append_rate);
        if !state.log.admit(Instant::now(), rate) {
            return Ok(Answer::error(
                StatusCode::TOO_MANY_REQUESTS,
                "append rate exceeded; nothing was appended",
            ));
        }
        let retention = state.faults.retention.unwrap_or(self.options.retention);
        let first = state.log.append(entries, retention);
        self.end_offset.send_replace(state.log.end());
        if state.faults.lose_appends > 0 {
            state.faults.lose_appends -= 1;
            return Ok(Answer::Closed);
        }
        Ok(Answer::ok(&Appended { first }))
    }

    async fn read(&self, request: &Request) -> Answer {
        let from = request.query_number("from").unwrap_or(1).max(1);
        let max = request.query_number("max").unwrap_or(1_000).min(MAX_PAGE_ENTRIES);
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let deadline = tokio::time::Instant::now() + wait;
        let mut end = self.end_offset.subscribe();
        loop {
            end.mark_unchanged();
            let (answer, empty) = self.page(from, usize::try_from(max).unwrap_or(usize::MAX));
            if !empty || timeout_at(deadline, end.changed()).await.is_err() {
                return answer;
            }
        }
    }

    fn page(&self, from: u64, max: usize) -> (Answer, bool) {
        let state = self.state.lock();
        let earliest = state.log.earliest();
        match state.log.read(from, max) {
            Page::Gone => (Answer::json(StatusCode::GONE, &LogGone { earliest }), false),
            Page::Entries(entries) => {
                let empty = entries.is_empty();
                (Answer::ok(&LogPage { earliest, end: state.log.end(), first: from, entries }), empty)
            }
        }
    }

    fn list(&self) -> Answer {
        let mut state = self.state.lock();
        let lag = Duration::from_millis(state.faults.list_lag_ms.unwrap_or(self.options.list_lag_ms));
        let frozen = state.faults.list_frozen;
        Answer::ok(&state.list.read(Instant::now(), lag, frozen))
    }

    fn put_instance(&self, name: &str, request: &Request) -> Result<Answer, Answer> {
        let instance: Instance = request.json()?;
        self.state.lock().list.put(Instant::now(), name.to_owned(), instance);
        Ok(Answer::ok(&serde_json::json!({})))
    }

    fn remove_instance(&self, name: &str) -> Answer {
        if self.state.lock().list.remove(Instant::now(), name) {
            return Answer::ok(&serde_json::json!({}));
        }
        Answer::error(StatusCode::NOT_FOUND, "no such instance")
    }

    async fn reboot(&self, name: &str, request: &Request) -> Result<Answer, Answer> {
        let reboot: Reboot = request.json()?;
        let worker = self.state.lock().list.instance(name).filter(|i| i.kind == Kind::Worker).cloned();
        let worker = worker.ok_or_else(|| Answer::error(StatusCode::NOT_FOUND, "no such worker"))?;
        let bad_gateway = |message: String| Answer::error(StatusCode::BAD_GATEWAY, &message);
        let answer = call(&worker.address, Method::POST, "/control/reboot", &reboot).await;
        let (status, body) = answer.map_err(|error| bad_gateway(error.to_string()))?;
        if !status.is_success() {
            return Err(bad_gateway(format!("the worker answered {status}")));
        }
        let rebooting: Rebooting = serde_json::from_slice(&body).map_err(|e| bad_gateway(e.to_string()))?;
        let duration = Duration::from_millis(rebooting.ready_ms);
        let after = Instance { nonce: rebooting.nonce, pool: reboot.pool, ..worker };
        self.state.lock().list.reboot(Instant::now(), after, duration);
        Ok(Answer::json(StatusCode::ACCEPTED, &rebooting))
    }
}
