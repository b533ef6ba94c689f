//! Stand-in for the workers and the machine API. All workers share one lock; a thread advances their runs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quote};
use crate::store::Store;

/// Interval at which runs are advanced.
const TICK: Duration = Duration::from_millis(5);
/// Largest number of ends in an answer, as the workers' interface states.
const LISTED_ENDS: usize = 500;
/// Longest lease, time that a stop takes, time for which a gang's member waits for the others, interval of checkpoints, time to
/// resume from one: `hold_max_ms`, `stop_timeout_ms`, `gang_timeout_ms`, `checkpoint_s` and `restore_ms` of the settings.
const MAX_LEASE_MS: u64 = 10_000;
const STOP_MS: u64 = 50;
const GANG_TIMEOUT_MS: u64 = 3_000;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 100;
/// Interval between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);

/// Step of a job, as the client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub count: usize,
    pub gang: bool,
    pub checkpointing: bool,
}

#[derive(Clone, Debug)]
struct Run {
    arrived: Instant,
    /// Start of the work; none while a gang's member waits for the others.
    begun: Option<Instant>,
    /// Work that was done before, and in all.
    base_ms: u64,
    total_ms: u64,
    fails: bool,
    checkpoint: String,
    stopped: Option<Instant>,
}

#[derive(Clone, Debug)]
pub struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    checkpoint: String,
}

struct Worker {
    id: String,
    zone: String,
    rack: String,
    server: Option<Server>,
    up: bool,
    /// True if it answers starts with 503.
    unhealthy: bool,
    /// True if it answers no call. It still sends pings.
    hangs: bool,
    started: Instant,
    born_ms: u64,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<(String, u32), Run>,
    ends: VecDeque<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u32>,
    sequence: u64,
}

/// What workers have seen.
#[derive(Clone, Debug)]
pub enum Seen {
    Started { at: Instant, worker: String, task: String, run: u32, checkpoint: String },
    Ended { at: Instant, worker: String, task: String, run: u32, how: &'static str },
    /// Ends up to this number are stored, as the system says.
    Noted { worker: String, number: u64, tasks: Vec<(String, u32, &'static str)> },
}

struct State {
    workers: Vec<Worker>,
    steps: HashMap<String, Vec<Step>>,
    seen: Vec<Seen>,
    refused: u64,
}

#[derive(Clone)]
pub struct Fleet {
    state: Arc<(Mutex<State>, Condvar)>,
    service: String,
    record: Arc<Mutex<File>>,
    begun: Instant,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn millis(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Value of a checkpoint: the work that it saves, and a part of the job's id.
fn checkpoint(work_ms: u64, task: &str) -> String {
    format!("{work_ms:08x}{}", task.get(4..12).unwrap_or("00000000"))
}

fn saved_ms(checkpoint: &str) -> u64 {
    checkpoint.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0)
}

impl Run {
    fn work_ms(&self) -> u64 {
        let restore = if self.base_ms > 0 { RESTORE_MS } else { 0 };
        self.base_ms + self.begun.map_or(0, |begun| millis(begun).saturating_sub(restore))
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        millis(self.started)
    }

    fn end(&mut self, key: &(String, u32), how: &'static str, saves: bool, seen: &mut Vec<Seen>) {
        let Some(run) = self.runs.remove(key) else { return };
        let saved = if saves && how == "stopped" { checkpoint(run.work_ms(), &key.0) } else { run.checkpoint };
        self.last_end += 1;
        self.ends.push_back(End { number: self.last_end, task: key.0.clone(), run: key.1, how, checkpoint: saved });
        let highest = self.highest.entry(key.0.clone()).or_default();
        *highest = key.1.max(*highest);
        seen.push(Seen::Ended { at: Instant::now(), worker: self.id.clone(), task: key.0.clone(), run: key.1, how });
    }
}

impl State {
    fn step(&self, task: &str) -> Step {
        step_of(&self.steps, task)
    }

    fn advance(&mut self) {
        self.form_gangs();
        let mut ended = Vec::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.up) {
            let lapsed = worker.clock_ms() > worker.lease_ms;
            for (key, run) in &worker.runs {
                let how = if lapsed {
                    "lapsed"
                } else if run.stopped.is_some_and(|at| millis(at) >= STOP_MS) {
                    "stopped"
                } else if run.begun.is_some() && run.work_ms() >= run.total_ms {
                    if run.fails { "failed" } else { "done" }
                } else if run.begun.is_none() && millis(run.arrived) > GANG_TIMEOUT_MS {
                    "alone"
                } else {
                    continue;
                };
                ended.push((index, key.clone(), how));
            }
        }
        for (index, key, how) in &ended {
            let step = self.step(&key.0);
            self.workers[*index].end(key, how, step.checkpointing, &mut self.seen);
            if step.gang && *how != "alone" {
                self.end_members(key, if *how == "done" { "done" } else { "broken" });
            }
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            for (key, run) in worker.runs.iter_mut().filter(|(key, _)| step_of(&self.steps, &key.0).checkpointing) {
                let work = run.work_ms();
                if run.begun.is_some() && work >= saved_ms(&run.checkpoint) + CHECKPOINT_MS {
                    run.checkpoint = checkpoint(work / CHECKPOINT_MS * CHECKPOINT_MS, &key.0);
                }
            }
        }
    }

    /// Ends the other members of a gang that is at work.
    fn end_members(&mut self, key: &(String, u32), how: &'static str) {
        let gang = gang_of(&key.0).to_owned();
        for worker in self.workers.iter_mut().filter(|worker| worker.up) {
            let of_gang = |other: &(String, u32), run: &Run| gang_of(&other.0) == gang && other.1 == key.1 && run.begun.is_some();
            let members: Vec<(String, u32)> =
                worker.runs.iter().filter(|(other, run)| of_gang(other, run)).map(|(other, _)| other.clone()).collect();
            for member in members {
                worker.end(&member, how, false, &mut self.seen);
            }
        }
    }

    /// Lets the gangs work whose members of one run are all present, with the same checkpoint.
    fn form_gangs(&mut self) {
        let mut gangs: BTreeMap<(String, u32, String), Vec<(usize, (String, u32))>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.up) {
            for (key, run) in worker.runs.iter().filter(|(_, run)| run.begun.is_none()) {
                let gang = (gang_of(&key.0).to_owned(), key.1, run.checkpoint.clone());
                gangs.entry(gang).or_default().push((index, key.clone()));
            }
        }
        for members in gangs.into_values() {
            let Some((_, (task, _))) = members.first() else { continue };
            if members.len() < self.step(task).count {
                continue;
            }
            for (index, key) in members {
                if let Some(run) = self.workers[index].runs.get_mut(&key) {
                    run.begun = Some(Instant::now());
                }
            }
        }
    }
}

/// Step of a task, as the client sent it.
fn step_of(jobs: &HashMap<String, Vec<Step>>, task: &str) -> Step {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    let step: usize = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    let known = jobs.get(job).and_then(|steps| steps.get(step));
    *known.unwrap_or(&Step { count: 1, gang: false, checkpointing: false })
}

/// Step of a task, by which a gang is known.
fn gang_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Fleet {
    /// Starts the workers of one service and the thread that advances them.
    pub fn start(service: &str, workers: usize, store: &Store, record: File) -> std::io::Result<Self> {
        let state = State { workers: Vec::new(), steps: HashMap::new(), seen: Vec::new(), refused: 0 };
        let fleet = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            service: service.to_owned(),
            record: Arc::new(Mutex::new(record)),
            begun: Instant::now(),
        };
        for index in 0..workers {
            let shared = fleet.clone();
            let server = Server::start(move |request| shared.answer(index, &request))?;
            fleet.lock().workers.push(Worker {
                id: format!("i-{:010x}", 0x7f3a_91c2_00_u64 + index as u64),
                zone: "zone-a".into(),
                rack: format!("r1-{index}"),
                server: Some(server),
                up: true,
                unhealthy: false,
                hangs: false,
                started: Instant::now(),
                born_ms: unix_ms(),
                token: 0,
                lease_ms: 0,
                runs: BTreeMap::new(),
                ends: VecDeque::new(),
                last_end: 0,
                highest: HashMap::new(),
                sequence: 0,
            });
        }
        let advancing = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                let mut state = advancing.lock();
                let before = state.seen.len();
                state.advance();
                if state.seen.len() != before {
                    advancing.log_seen(&state.seen[before..]);
                    advancing.state.1.notify_all();
                }
            }
        });
        let pinging = fleet.clone();
        let store = store.clone();
        thread::spawn(move || {
            loop {
                pinging.ping(&store);
                thread::sleep(PING_INTERVAL);
            }
        });
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes a line to the record of the case.
    pub fn log(&self, line: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{:8} {line}", millis(self.begun));
    }

    fn log_seen(&self, seen: &[Seen]) {
        for event in seen {
            match event {
                Seen::Started { worker, task, run, checkpoint, .. } => {
                    self.log(&format!("{worker} starts {task} run {run} checkpoint {checkpoint:?}"));
                }
                Seen::Ended { worker, task, run, how, .. } => self.log(&format!("{worker} ends {task} run {run} {how}")),
                Seen::Noted { worker, number, tasks } => {
                    self.log(&format!("{worker} is told that its ends up to {number} are stored: {} new", tasks.len()));
                }
            }
        }
    }

    fn ping(&self, store: &Store) {
        let mut state = self.lock();
        for worker in state.workers.iter_mut().filter(|worker| worker.up) {
            worker.sequence += 1;
            let address = worker.server.as_ref().map(|server| server.address.to_string()).unwrap_or_default();
            let entry = format!(
                r#"{{"service":{},"address":"{address}","zone":"{}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":16000,"mem_mb":65536,"gpu":0}},"labels":["a","{}"],"clock_ms":{},"sequence":{},"born":{}}}"#,
                quote(&self.service), worker.zone, worker.rack, worker.clock_ms(), worker.sequence, worker.born_ms
            );
            store.put("keyed.servers", &worker.id, &entry);
        }
    }

    /// Makes the steps of a job known, which the workers need for gangs.
    pub fn expect(&self, job: &str, steps: Vec<Step>) {
        self.lock().steps.insert(job.to_owned(), steps);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Starts refused by unhealthy workers.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Number of runs that have not ended, on all workers.
    pub fn running(&self) -> usize {
        self.lock().workers.iter().filter(|worker| worker.up).map(|worker| worker.runs.len()).sum()
    }

    /// Number of jobs of which a task has begun, by the begin of their ids.
    pub fn begun_jobs(&self, prefix: &str) -> usize {
        let state = self.lock();
        let started = state.seen.iter().filter_map(|event| if let Seen::Started { task, .. } = event { Some(task) } else { None });
        let jobs = started.filter(|task| task.starts_with(prefix)).filter_map(|task| task.split('.').next());
        jobs.collect::<std::collections::BTreeSet<_>>().len()
    }

    /// True if nothing runs on a worker.
    pub fn is_idle(&self, index: usize) -> bool {
        self.lock().workers[index].runs.is_empty()
    }

    pub fn set_unhealthy(&self, index: usize, unhealthy: bool) {
        self.log(&format!("worker {index} is unhealthy: {unhealthy}"));
        self.lock().workers[index].unhealthy = unhealthy;
    }

    pub fn set_hanging(&self, index: usize, hangs: bool) {
        self.log(&format!("worker {index} hangs: {hangs}"));
        self.lock().workers[index].hangs = hangs;
        self.state.1.notify_all();
    }

    /// Crashes a worker: what it runs is lost, with all that it knows.
    pub fn crash(&self, index: usize) {
        self.log(&format!("worker {index} crashes"));
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.up = false;
        let lost: Vec<(String, u32)> = worker.runs.keys().cloned().collect();
        worker.runs.clear();
        if let Some(server) = &worker.server {
            server.crash();
        }
        // The others of a gang notice that a member has ended.
        for key in lost {
            if state.step(&key.0).gang {
                state.end_members(&key, "broken");
            }
        }
    }

    /// Starts a crashed worker again under its id.
    pub fn restart(&self, index: usize) {
        self.log(&format!("worker {index} is up again"));
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.up = true;
        worker.started = Instant::now();
        worker.born_ms = unix_ms();
        worker.token = 0;
        worker.lease_ms = 0;
        worker.ends.clear();
        worker.last_end = 0;
        worker.highest.clear();
        worker.sequence = 0;
        if let Some(server) = &worker.server {
            server.restart();
        }
    }

    /// Serves the machine API: each worker is one machine of the only pool.
    pub fn serve_machines(&self) -> std::io::Result<Server> {
        let fleet = self.clone();
        Server::start(move |request| {
            if request.path != "/rattanfall/machines" {
                return Some(Response::json(409, r#"{"reason":"busy"}"#.into()));
            }
            let state = fleet.lock();
            let rows = state.workers.iter().enumerate().map(|(index, worker)| {
                let (shown, id) = if worker.up { ("up", quote(&worker.id)) } else { ("down", "null".into()) };
                format!(
                    r#"{{"machine":"m-{index:05x}","pool":{},"state":"{shown}","zone":"{}","labels":["a","{}"],"capacity":{{"cpu":16000,"mem_mb":65536,"gpu":0}},"id":{id}}}"#,
                    quote(&fleet.service), worker.zone, worker.rack
                )
            });
            let rows: Vec<String> = rows.collect();
            Some(Response::json(200, format!(r#"{{"machines":[{}],"next_token":null}}"#, rows.join(","))))
        })
    }

    fn answer(&self, index: usize, request: &Request) -> Option<Response> {
        let mut state = self.lock();
        let hung = state.workers[index].hangs;
        while state.workers[index].hangs {
            state = self.state.1.wait(state).unwrap();
        }
        if hung || !state.workers[index].up {
            return None;
        }
        if request.path == "/health" {
            return Some(Response::json(200, String::new()));
        }
        let worker = &state.workers[index];
        let clock = worker.clock_ms();
        let refuse = |status, reason: &str| Some(Response::json(status, format!(r#"{{"clock_ms":{clock},"reason":"{reason}"}}"#)));
        if request.headers.get("x-rattanfall-target-instance").is_some_and(|id| *id != worker.id) {
            return refuse(421, "target");
        }
        let Some(body) = Json::parse(&request.body) else { return refuse(400, "body") };
        let token = body.num("fencing_token").unwrap_or(0);
        if token < worker.token {
            return refuse(409, "fence");
        }
        let worker = &mut state.workers[index];
        worker.token = token;
        match request.path.as_str() {
            "/rattanfall/hold" => self.hold(state, index, &body),
            "/rattanfall/run-start" => {
                let taken = self.begin_run(&mut state, index, &body);
                match taken {
                    Ok(()) => Some(Response::json(200, format!(r#"{{"clock_ms":{clock}}}"#))),
                    Err((status, reason)) => refuse(status, reason),
                }
            }
            "/rattanfall/run-stop" => {
                let (Some(task), Some(run)) = (body.text("task"), body.num("run_number")) else { return refuse(400, "body") };
                let key = (task.to_owned(), run as u32);
                if let Some(run) = worker.runs.get_mut(&key) {
                    run.stopped.get_or_insert(Instant::now());
                } else {
                    let highest = worker.highest.entry(key.0).or_default();
                    *highest = key.1.max(*highest);
                }
                Some(Response::json(200, format!(r#"{{"clock_ms":{clock}}}"#)))
            }
            "/rattanfall/pace" => Some(Response::json(200, format!(r#"{{"clock_ms":{clock}}}"#))),
            _ => refuse(404, "path"),
        }
    }

    fn begin_run(&self, state: &mut State, index: usize, body: &Json) -> Result<(), (u16, &'static str)> {
        let worker = &mut state.workers[index];
        let (Some(task), Some(number)) = (body.text("task"), body.num("run_number")) else { return Err((400, "body")) };
        let (Some(spec), Some(deadline)) = (body.text("spec"), body.num("deadline_ms")) else { return Err((400, "body")) };
        if worker.unhealthy {
            state.refused += 1;
            return Err((503, "unhealthy"));
        }
        let clock = worker.clock_ms();
        if deadline < clock {
            return Err((409, "late"));
        }
        worker.lease_ms = worker.lease_ms.max(deadline.min(clock + MAX_LEASE_MS));
        let key = (task.to_owned(), number as u32);
        if worker.runs.contains_key(&key) {
            return Ok(());
        }
        let later = worker.runs.keys().any(|(other, run)| *other == key.0 && *run > key.1);
        if later || worker.highest.get(&key.0).is_some_and(|highest| *highest >= key.1) {
            return Err((409, "old"));
        }
        let saved = body.text("checkpoint").unwrap_or_default().to_owned();
        let word = |name: &str| spec.split(' ').filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name);
        let run = Run {
            arrived: Instant::now(),
            begun: None,
            base_ms: saved_ms(&saved),
            total_ms: word("ms").and_then(|(_, ms)| ms.parse().ok()).unwrap_or(1_000),
            fails: word("fails").is_some(),
            checkpoint: saved.clone(),
            stopped: None,
        };
        let (id, at) = (worker.id.clone(), Instant::now());
        worker.runs.insert(key.clone(), run);
        let gang = state.step(&key.0).gang;
        if !gang && let Some(run) = state.workers[index].runs.get_mut(&key) {
            run.begun = Some(at);
        }
        let event = Seen::Started { at, worker: id, task: key.0, run: key.1, checkpoint: saved };
        self.log_seen(std::slice::from_ref(&event));
        state.seen.push(event);
        Ok(())
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Json) -> Option<Response> {
        let until = Instant::now() + Duration::from_millis(body.num("wait_ms").unwrap_or(0).min(2_000));
        let worker = &mut state.workers[index];
        let born = worker.born_ms;
        let last_seen = body.num("last_seen").unwrap_or(0);
        let noted: Vec<End> = worker.ends.iter().filter(|end| end.number <= last_seen).cloned().collect();
        worker.ends.retain(|end| end.number > last_seen);
        if let Some(deadline) = body.num("deadline_ms") {
            let clock = worker.clock_ms();
            worker.lease_ms = worker.lease_ms.max(deadline.min(clock + MAX_LEASE_MS));
        }
        if !noted.is_empty() {
            let tasks = noted.into_iter().map(|end| (end.task, end.run, end.how)).collect();
            let event = Seen::Noted { worker: worker.id.clone(), number: last_seen, tasks };
            self.log_seen(std::slice::from_ref(&event));
            state.seen.push(event);
        }
        loop {
            let worker = &state.workers[index];
            if !worker.up || worker.hangs || worker.born_ms != born {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !worker.ends.is_empty() || left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        let worker = &state.workers[index];
        let running = worker.runs.iter().map(|((task, number), run)| {
            let percent = (run.work_ms() * 100 / run.total_ms.max(1)).min(99);
            format!(r#"[{},{number},{},{percent},0]"#, quote(task), quote(&run.checkpoint))
        });
        let running: Vec<String> = running.collect();
        let finished = worker.ends.iter().take(LISTED_ENDS).map(|end| {
            format!(r#"[{},{},{},"{}",{}]"#, end.number, quote(&end.task), end.run, end.how, quote(&end.checkpoint))
        });
        let finished: Vec<String> = finished.collect();
        let body = format!(
            r#"{{"clock_ms":{},"born":{born},"running":[{}],"finished":[{}]}}"#,
            worker.clock_ms(), running.join(","), finished.join(",")
        );
        Some(Response::json(200, body))
    }
}
