//! Scenario scripts for engines: each file in `tests/scenarios_engine` is a sequence of directives with their expected
//! output.
//!
//! The runner uses virtual time and fixed seeds, so a script always has the same output. `check` fails if an invariant
//! was violated. Labels such as P4 are the numbers of the guarantees, as in the file names of `tests/scenarios`.

mod cluster;

use std::fmt::Write;

use cluster::SimCluster;
use cluster::worker::RunState;
use datadriven::{TestCase, walk};
use rattanfall_core::declaration::{Declaration, Pool, Team};
use rattanfall_core::engine::command::Refusal;
use rattanfall_core::fleet::{TaskState, WorkerState};
use rattanfall_core::record::{KeyHash, Record};

/// State of a running script: the cluster and its current declaration.
struct Script {
    cluster: SimCluster,
    declaration: Declaration,
}

#[test]
fn scripts_produce_the_expected_output() {
    walk("tests/scenarios_engine", |file| {
        let mut script = Script { cluster: SimCluster::new(), declaration: Declaration::default() };
        file.run(|case| script.run(case));
    });
}

fn hash(name: &str) -> KeyHash {
    let mut hash = [0; 32];
    hash[..name.len()].copy_from_slice(name.as_bytes());
    hash
}

fn text(case: &TestCase, name: &str) -> String {
    case.args.get(name).and_then(|values| values.first()).cloned().unwrap_or_default()
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    text(case, name).parse().unwrap_or(default)
}

impl Script {
    fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "fleet" => self.start_fleet(case),
            "limit" => self.change_limit(case),
            "requests" => self.submit_requests(case),
            "tasks" => self.submit_tasks(case),
            "cancel" => self.cancel_tasks(case),
            "operate" => self.operate(case),
            "fault" => self.fault(case),
            "run" => self.cluster.run(number(case, "ms", 1_000)),
            "served" => return self.served(),
            "check" => return self.check(),
            "show" => return self.show(),
            other => panic!("unknown directive {other}"),
        }
        "ok\n".into()
    }

    /// Starts three instances in three zones with workers, two teams with a key each, and a second pool.
    fn start_fleet(&mut self, case: &TestCase) {
        let limit = u32::try_from(number(case, "limit", 12)).expect("small");
        let min_serving = u32::try_from(number(case, "min", 2)).expect("small");
        for zone in 1..=3 {
            self.cluster.start(&format!("e{zone}"), &format!("z{zone}"));
        }
        for index in 0..number(case, "workers", 6) {
            let (zone, rack) = (format!("z{}", index % 3 + 1), format!("r{}", index / 2));
            let slots = u32::try_from(number(case, "slots", 4)).expect("small");
            self.cluster.add_worker(&format!("w{index}"), "orders", &zone, &rack, slots);
        }
        self.declaration.pools.insert("orders".into(), Pool { min_serving, ..Pool::default() });
        self.declaration.pools.insert("other".into(), Pool::default());
        for team in ["austin", "dallas"] {
            self.declaration.teams.insert(team.into(), Team { share: 1, limit });
        }
        self.cluster.run(500);
        self.cluster.configure("e1", &self.declaration.clone());
        self.cluster.run(300);
        for team in ["austin", "dallas"] {
            self.cluster.propose("e1", Record::KeyGranted { team: team.into(), hash: hash(team) });
        }
        self.cluster.run(3_000);
    }

    fn change_limit(&mut self, case: &TestCase) {
        let team = self.declaration.teams.get_mut(&text(case, "team")).expect("declared");
        team.limit = u32::try_from(number(case, "slots", 1)).expect("small");
        self.cluster.configure(&text(case, "at"), &self.declaration.clone());
    }

    /// Submits `count` requests at each named instance every `every` milliseconds, for `ms` milliseconds.
    fn submit_requests(&mut self, case: &TestCase) {
        self.cluster.work_ms = number(case, "work", 100);
        let (count, every) = (number(case, "count", 1), number(case, "every", 100));
        let key = hash(&text(case, "team"));
        let idempotent = text(case, "idempotent") == "true";
        for _ in 0..(number(case, "ms", every) / every).max(1) {
            for name in &case.args["at"] {
                for _ in 0..count {
                    if self.cluster.nodes[name].is_running() {
                        self.cluster.submit(
                            name,
                            key,
                            "orders",
                            idempotent,
                            number(case, "deadline", 10_000),
                        );
                    }
                }
            }
            self.cluster.run(every);
        }
    }

    fn submit_tasks(&mut self, case: &TestCase) {
        let idempotent = text(case, "idempotent") == "true";
        for name in &case.args["at"] {
            for _ in 0..number(case, "count", 1) {
                self.cluster.submit_task(
                    name,
                    hash(&text(case, "team")),
                    "orders",
                    idempotent,
                    number(case, "work", 500),
                );
            }
        }
    }

    fn cancel_tasks(&mut self, case: &TestCase) {
        let name = text(case, "at");
        for task in self.cluster.tasks(&name) {
            self.cluster.propose(&name, Record::TaskCancelled { task });
        }
    }

    fn operate(&mut self, case: &TestCase) {
        let at = text(case, "at");
        let fleet = self.cluster.fleet(&at);
        let record = if case.args.contains_key("withdraw") {
            let key = fleet.hashes[&hash(&text(case, "withdraw"))];
            Record::KeyWithdrawn { key }
        } else if case.args.contains_key("remove") {
            let zone = text(case, "remove");
            Record::ZoneRemoved { base: fleet.zones[&fleet.zone(&zone).expect("known")].version, zone }
        } else if case.args.contains_key("restore") {
            let zone = text(case, "restore");
            Record::ZoneRestored { base: fleet.zones[&fleet.zone(&zone).expect("known")].version, zone }
        } else if case.args.contains_key("move") {
            let worker = fleet.worker(&text(case, "move")).expect("known");
            Record::MoveLeft { worker, to: text(case, "to") }
        } else {
            Record::WaveStarted { pool: text(case, "wave") }
        };
        self.cluster.propose(&at, record);
    }

    fn fault(&mut self, case: &TestCase) {
        for (kind, names) in &case.args {
            for name in names {
                self.set_fault(kind, name);
            }
        }
    }

    fn set_fault(&mut self, kind: &str, name: &str) {
        match kind {
            "freeze" => self.cluster.node(name).frozen = true,
            "resume" => self.cluster.node(name).frozen = false,
            "cut" => self.cluster.node(name).cut = true,
            "heal" => self.cluster.node(name).cut = false,
            "kill" => self.cluster.kill(name),
            "replace" => {
                let zone = self.cluster.nodes[name].engine.options().zone.clone();
                self.cluster.start(name, &zone);
            }
            "stop" => self.cluster.stop(name),
            "log" => self.cluster.log_down = name == "down",
            "lose" => self.cluster.lose_answers = name.parse().expect("a number"),
            "delay" => self.cluster.delay_ms = name.parse().expect("a number"),
            "restart" => {
                let nonce = self.cluster.now.0 + 1_000;
                self.cluster.workers.get_mut(name).expect("worker exists").restart(nonce);
                self.cluster.list_version += 1;
            }
            "dead" | "fails" | "silent" | "leaving" | "well" => self.set_worker(kind, name),
            other => panic!("unknown fault {other}"),
        }
    }

    fn set_worker(&mut self, kind: &str, name: &str) {
        let worker = self.cluster.workers.get_mut(name).expect("worker exists");
        worker.dead = kind == "dead";
        worker.fails = kind == "fails";
        worker.silent = kind == "silent";
        worker.leaving = kind == "leaving";
        self.cluster.list_version += 1;
    }

    /// Prints the peak of running work by team. Panics if an invariant was violated or a task ran more often than
    /// allowed.
    fn check(&self) -> String {
        let checks = &self.cluster.checks;
        let mut out = String::new();
        for (team, peak) in &checks.peak {
            writeln!(out, "{} peak {peak}", checks.fleet.teams[team].name).expect("string");
        }
        for (id, task) in &checks.fleet.tasks {
            let starts: u32 = self.cluster.workers.values().filter_map(|w| w.starts.get(id)).sum();
            if starts > 1 && !task.idempotent {
                writeln!(out, "broken: {id} started {starts} times").expect("string");
            }
        }
        for line in &checks.violations {
            writeln!(out, "broken: {line}").expect("string");
        }
        // Rewriting the expected output must not accept a violation.
        assert!(!out.contains("broken"), "{out}");
        out
    }

    /// Prints the number of answered requests by instance.
    fn served(&self) -> String {
        let nodes = self.cluster.nodes.iter();
        nodes.map(|(name, node)| format!("{name} answered {}\n", node.answered)).collect()
    }

    /// Prints the number of members, of requests by result, and of tasks and workers by state.
    fn show(&self) -> String {
        let mut out = String::new();
        let fleet = &self.cluster.checks.fleet;
        writeln!(out, "members {}", fleet.live_members().count()).expect("string");
        let answered: u64 = self.cluster.nodes.values().map(|n| n.answered).sum();
        writeln!(out, "answered {answered}").expect("string");
        for (reason, count) in self.refusals() {
            writeln!(out, "{reason} {count}").expect("string");
        }
        for (state, count) in self.task_states() {
            writeln!(out, "tasks {state} {count}").expect("string");
        }
        for (state, count) in self.worker_states() {
            writeln!(out, "workers {state} {count}").expect("string");
        }
        out
    }

    fn refusals(&self) -> std::collections::BTreeMap<&'static str, u32> {
        let mut counts = std::collections::BTreeMap::new();
        for refusal in self.cluster.nodes.values().flat_map(|n| n.refused.values()) {
            let name = match refusal {
                Refusal::NotRun(reason) => reason.name(),
                Refusal::Unknown(reason) => reason.name(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    fn task_states(&self) -> std::collections::BTreeMap<String, u32> {
        let mut counts = std::collections::BTreeMap::new();
        for task in self.cluster.checks.fleet.tasks.values() {
            let name = match &task.state {
                TaskState::Waiting => "waiting".to_owned(),
                TaskState::Started { .. } => "started".to_owned(),
                TaskState::Ended { outcome, .. } => {
                    let text = format!("{outcome:?}");
                    text.split('(').next().unwrap_or_default().to_lowercase()
                }
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    fn worker_states(&self) -> std::collections::BTreeMap<String, u32> {
        let mut counts = std::collections::BTreeMap::new();
        for worker in self.cluster.checks.fleet.workers.values() {
            let name = match worker.state {
                WorkerState::Draining(_) => "draining".to_owned(),
                WorkerState::Moving { .. } => "moving".to_owned(),
                state => format!("{state:?}").to_lowercase(),
            };
            *counts.entry(name).or_default() += 1;
        }
        let running = self.cluster.workers.values().flat_map(|w| w.tasks.values());
        let running = running.filter(|run| run.state == RunState::Running).count();
        if running > 0 {
            counts.insert("running tasks".into(), u32::try_from(running).expect("few"));
        }
        counts
    }
}
