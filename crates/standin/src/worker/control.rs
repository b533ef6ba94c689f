//! `/control/...`: lets tests read the journal, switch faults and reboot the worker.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rattanfall_wire::platform::Reboot;
use rattanfall_wire::worker::parse_refusal;

use super::{Faults, Rebooting, Worker};
use crate::http::{Answer, Request};

/// Maximum number of journal entries in one page.
const MAX_PAGE_ENTRIES: u64 = 100_000;

impl Worker {
    /// Answers a call to `/control/...`; `path` is the rest of the path.
    pub(super) fn control(&self, request: &Request, path: &[&str]) -> Result<Answer, Answer> {
        match (&request.method, path) {
            (&Method::GET, ["journal"]) => Ok(self.journal_page(request)),
            (&Method::GET, ["faults"]) => Ok(Answer::ok(&self.state.lock().faults)),
            (&Method::PUT, ["faults"]) => self.set_faults(request),
            (&Method::POST, ["reboot"]) => self.reboot(request),
            _ => Ok(Answer::error(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }

    fn journal_page(&self, request: &Request) -> Answer {
        let from = request.query_number("from").unwrap_or(0);
        let max = request.query_number("max").unwrap_or(MAX_PAGE_ENTRIES).min(MAX_PAGE_ENTRIES);
        let mut state = self.state.lock();
        state.advance(Instant::now());
        Answer::ok(&state.journal.page(&self.spec.name, from, usize::try_from(max).unwrap_or(usize::MAX)))
    }

    fn set_faults(&self, request: &Request) -> Result<Answer, Answer> {
        let faults: Faults = request.json()?;
        if faults.refuse.as_deref().is_some_and(|reason| parse_refusal(reason).is_none()) {
            return Err(Answer::error(StatusCode::BAD_REQUEST, "unknown refusal reason in `refuse`"));
        }
        let mut state = self.state.lock();
        if faults.silence_open {
            let open = std::mem::take(&mut state.connections);
            state.silenced.extend(open);
        }
        state.faults = faults.clone();
        log::info!(worker = self.spec.name, faults:? = faults; "faults changed");
        Ok(Answer::ok(&faults))
    }

    fn reboot(&self, request: &Request) -> Result<Answer, Answer> {
        let Reboot { pool } = request.json()?;
        let ready_ms = self.spec.reboot_ms;
        let mut state = self.state.lock();
        state.advance(Instant::now());
        state.reboot(Instant::now(), pool, Duration::from_millis(ready_ms));
        let nonce = state.nonce;
        drop(state);
        self.reboots.send_modify(|count| *count += 1);
        log::info!(worker = self.spec.name, ready_ms; "rebooting");
        Ok(Answer::ok(&Rebooting { nonce, ready_ms }))
    }
}
