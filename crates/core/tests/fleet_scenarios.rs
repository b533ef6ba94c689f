//! Scenario tests of the replicated state: `tests/scenarios/*.txt`.
//!
//! A line of a `run` block is one append, `AUTHOR: RECORD; RECORD ...`, or one of the commands `join`, `repeat`,
//! `dump`, `restore` and `replay`. The expected result of each line follows below `----`. `REWRITE=1` rewrites the
//! expected results; review the difference.

#[path = "fleet/support.rs"]
mod support;

use std::fmt::Write;

use rattanfall_core::declaration::{Declaration, Pool, Team};
use rattanfall_core::fleet::{Applied, Effect, Fleet, Task, Worker};
use rattanfall_core::ids::{KeyId, MemberId, Offset, TaskId, WorkerId};
use rattanfall_core::record::{Record, StopProof, TaskAccepted, TaskOutcome, WorkerSeen};
use rstest::rstest;

use support::{Log, join_batch, non_idempotent_task, worker_seen};

/// Guards against violations of the fleet's invariants; there is one script per invariant.
#[rstest]
fn scenarios_match_the_expected_results() {
    datadriven::walk("tests/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| {
            assert_eq!(case.directive, "run", "unknown directive");
            case.input.lines().fold(String::new(), |mut output, line| {
                let result = script.line(line);
                writeln!(output, "{result}").expect("writing to a string succeeds");
                output
            })
        });
    });
}

#[derive(Default)]
struct Script {
    log: Log,
}

impl Script {
    fn line(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["join", rest @ ..] => self.join(rest),
            ["repeat"] => {
                let (_, batch) = self.log.entries.last().expect("an entry to repeat").clone();
                let applied = self.log.append(batch);
                self.show(&applied)
            }
            ["dump", table] => self.dump(table),
            ["restore"] => {
                let fleet = Fleet::restore(&self.log.fleet.snapshot()).expect("the snapshot is complete");
                self.log.fleet = fleet;
                format!("restored at {}", self.log.next_offset() - 1)
            }
            ["replay"] => {
                assert_eq!(self.log.replay(), self.log.fleet, "a replayed replica differs");
                "equal".to_owned()
            }
            _ => self.batch(line),
        }
    }

    /// `join NAME ZONE [nonce=N] [ends=MEMBER]`
    fn join(&mut self, words: &[&str]) -> String {
        let option = |name: &str| words.iter().find_map(|word| word.strip_prefix(name));
        let nonce = option("nonce=").map_or(1_000 + self.log.next_offset(), number);
        let ends: Vec<MemberId> = option("ends=").map(member).into_iter().collect();
        let applied = self.log.append(join_batch(words[0], words[1], nonce, &ends));
        self.show(&applied)
    }

    /// `AUTHOR: RECORD; RECORD ...`
    fn batch(&mut self, line: &str) -> String {
        let (author, records) = line.split_once(": ").expect("AUTHOR: RECORD");
        let last = Offset(self.log.next_offset().saturating_sub(1));
        let parse = |text: &str| {
            let words: Vec<&str> = text.split_whitespace().collect();
            parse_record(&self.log.fleet, last, &words).unwrap_or_else(|| panic!("unknown record {text}"))
        };
        let records = records.split(';').map(parse).collect();
        let batch = self.log.next_batch(member(author), records);
        let applied = self.log.append(batch);
        self.show(&applied)
    }

    fn show(&self, applied: &Applied) -> String {
        let results: Vec<String> = applied
            .results
            .iter()
            .map(|result| match result {
                Ok(Effect::Joined(id)) => format!("joined {id}"),
                Ok(Effect::Configured(version)) => format!("version {version}"),
                Ok(Effect::Key(id)) => id.to_string(),
                Ok(Effect::Zone(version)) => format!("zone version {version}"),
                Ok(Effect::Granted(_, slots)) => format!("granted {slots}"),
                Ok(Effect::Task(id)) => id.to_string(),
                Ok(Effect::Worker(_) | Effect::Done) => "ok".to_owned(),
                Err(reason) => format!("void: {reason}"),
            })
            .collect();
        let text = if applied.duplicate { "duplicate".to_owned() } else { results.join("; ") };
        format!("{}: {text}", self.log.next_offset() - 1)
    }

    fn dump(&self, table: &str) -> String {
        let fleet = &self.log.fleet;
        let lines: Vec<String> = match table {
            "members" => {
                fleet.members.iter().map(|(id, m)| format!("  {id} {} {:?}", m.name, m.state)).collect()
            }
            "teams" => fleet.teams.keys().map(|id| self.team_line(*id)).collect(),
            "zones" => {
                let line = |z: &rattanfall_core::fleet::Zone| {
                    format!("  {} {:?} version {}", z.name, z.state, z.version)
                };
                fleet.zones.values().map(line).collect()
            }
            "keys" => fleet
                .keys
                .iter()
                .map(|(id, k)| {
                    let state = if k.withdrawn { "withdrawn" } else { "valid" };
                    format!("  {id} {} {state}", fleet.teams[&k.team].name)
                })
                .collect(),
            "workers" => fleet.workers.values().map(|w| worker_line(fleet, w)).collect(),
            "tasks" => fleet.tasks.iter().map(|(id, t)| task_line(fleet, *id, t)).collect(),
            "config" => vec![format!("  version {}: {}", fleet.version, config_line(&fleet.declaration))],
            _ => panic!("unknown table {table}"),
        };
        format!("{table}:\n{}", lines.join("\n"))
    }

    fn team_line(&self, id: rattanfall_core::ids::TeamId) -> String {
        let fleet = &self.log.fleet;
        let holds = fleet.holds.iter().filter(|((team, _), _)| *team == id);
        let holds: Vec<String> = holds.map(|((_, member), slots)| format!("{member}={slots}")).collect();
        let team = &fleet.teams[&id];
        format!("  {} limit {} held {} [{}]", team.name, team.limit, fleet.held(id), holds.join(" "))
    }
}

fn worker_line(fleet: &Fleet, worker: &Worker) -> String {
    let (pool, zone) = (&fleet.pools[&worker.pool].name, &fleet.zones[&worker.zone].name);
    let takes = if fleet.takes_work(worker) { "takes work" } else { "takes no work" };
    format!("  {} {pool} zone {zone} {:?}, {takes}", worker.name, worker.state)
}

fn task_line(fleet: &Fleet, id: TaskId, task: &Task) -> String {
    let (team, pool) = (&fleet.teams[&task.team].name, &fleet.pools[&task.pool].name);
    format!("  {id} {team} {pool} owner {} {:?}", task.owner, task.state)
}

fn config_line(declaration: &Declaration) -> String {
    let pools = declaration.pools.iter().map(|(name, pool)| format!("{name}={}", pool.min_serving));
    let teams = declaration.teams.iter().map(|(name, t)| format!("{name}={}/{}", t.share, t.limit));
    pools.chain(teams).collect::<Vec<_>>().join(" ")
}

fn parse_record(fleet: &Fleet, last: Offset, words: &[&str]) -> Option<Record> {
    membership_record(last, words)
        .or_else(|| operator_record(words))
        .or_else(|| worker_record(fleet, words))
        .or_else(|| task_record(fleet, words))
}

fn membership_record(last: Offset, words: &[&str]) -> Option<Record> {
    Some(match *words {
        ["leave"] => Record::Leave,
        ["gone", id] => Record::Gone { member: member(id) },
        ["progress"] => Record::Progress { applied: last },
        ["progress", offset] => Record::Progress { applied: Offset(number(offset)) },
        ["claim", team, slots] => Record::HoldClaim { team: team.into(), slots: number(slots) },
        ["give", team, to, slots] => {
            Record::HoldGive { team: team.into(), to: member(to), slots: number(slots) }
        }
        ["release", team, slots] => Record::HoldRelease { team: team.into(), slots: number(slots) },
        ["reclaim", id] => Record::HoldReclaim { member: member(id) },
        _ => return None,
    })
}

fn operator_record(words: &[&str]) -> Option<Record> {
    Some(match *words {
        ["config", base, ref entries @ ..] => {
            Record::ConfigChanged { base: number(base), declaration: parse_config(entries) }
        }
        ["grant", team, byte] => Record::KeyGranted { team: team.into(), hash: [number(byte); 32] },
        ["withdraw", key] => Record::KeyWithdrawn { key: KeyId(number(strip(key, "key-"))) },
        ["remove", zone, base] => Record::ZoneRemoved { zone: zone.into(), base: number(base) },
        ["restore", zone, base] => Record::ZoneRestored { zone: zone.into(), base: number(base) },
        ["wave", pool] => Record::WaveStarted { pool: pool.into() },
        _ => return None,
    })
}

fn worker_record(fleet: &Fleet, words: &[&str]) -> Option<Record> {
    let worker = |name: &str| worker(fleet, name);
    Some(match *words {
        ["seen", name, zone, pool] => Record::WorkerSeen(worker_seen(name, zone, pool)),
        ["seen", name, zone, pool, "leaving"] => {
            Record::WorkerSeen(WorkerSeen { leaving: true, ..worker_seen(name, zone, pool) })
        }
        ["seen", name, zone, pool, nonce] => {
            Record::WorkerSeen(WorkerSeen { nonce: number(nonce), ..worker_seen(name, zone, pool) })
        }
        ["lost", name] => Record::WorkerLost { worker: worker(name) },
        ["drain", name] => Record::DrainStarted { worker: worker(name) },
        ["undrain", name] => Record::DrainCancelled { worker: worker(name) },
        ["maintain", name] => Record::MaintenanceStarted { worker: worker(name) },
        ["maintained", name] => Record::MaintenanceEnded { worker: worker(name) },
        ["move", name, to] => Record::MoveLeft { worker: worker(name), to: to.into() },
        ["moved", name] => Record::MoveJoined { worker: worker(name) },
        _ => return None,
    })
}

fn task_record(fleet: &Fleet, words: &[&str]) -> Option<Record> {
    let task = |id: &str| id.parse::<TaskId>().expect("a task id");
    Some(match *words {
        ["accept", number, team, pool, ref options @ ..] => accept(number, team, pool, options),
        ["start", id, attempt, name] => {
            let worker = worker(fleet, name);
            let nonce = fleet.workers.get(&worker).map_or(0, |row| row.nonce);
            Record::TaskStarted { task: task(id), attempt: number(attempt), worker, nonce }
        }
        ["requeue", id, attempt, proof] => {
            Record::TaskRequeued { task: task(id), attempt: number(attempt), proof: parse_proof(proof) }
        }
        ["end", id, attempt, "done"] => {
            let outcome = TaskOutcome::Done(Vec::new());
            Record::TaskEnded { task: task(id), attempt: number(attempt), outcome }
        }
        ["end", id, attempt, "unknown", reason] => {
            let outcome = TaskOutcome::Unknown(reason.into());
            Record::TaskEnded { task: task(id), attempt: number(attempt), outcome }
        }
        ["cancel", id] => Record::TaskCancelled { task: task(id) },
        _ => return None,
    })
}

/// `accept NUMBER TEAM POOL [idempotent_task] [token=TEXT]`
fn accept(id: &str, team: &str, pool: &str, options: &[&str]) -> Record {
    let token = options.iter().find_map(|word| word.strip_prefix("token=")).map(str::to_owned);
    let idempotent = options.contains(&"repeatable");
    Record::TaskAccepted(TaskAccepted { token, idempotent, ..non_idempotent_task(number(id), team, pool) })
}

fn parse_proof(word: &str) -> StopProof {
    match word {
        "refused" => StopProof::Refused,
        "never-started" => StopProof::NeverStarted,
        "stopped" => StopProof::Stopped,
        "failed" => StopProof::Failed,
        "worker-lost" => StopProof::WorkerLost,
        _ => panic!("unknown proof {word}"),
    }
}

/// Parses entries `POOL=MIN_SERVING` and `TEAM=SHARE/LIMIT`.
fn parse_config(entries: &[&str]) -> Declaration {
    let mut declaration = Declaration::default();
    for entry in entries {
        let (name, value) = entry.split_once('=').expect("NAME=VALUE");
        if let Some((share, limit)) = value.split_once('/') {
            let team = Team { share: number(share), limit: number(limit) };
            declaration.teams.insert(name.into(), team);
        } else {
            let pool = Pool { min_serving: number(value), ..Pool::default() };
            declaration.pools.insert(name.into(), pool);
        }
    }
    declaration
}

fn worker(fleet: &Fleet, name: &str) -> WorkerId {
    fleet.worker(name).unwrap_or_else(|| panic!("unknown worker {name}"))
}

fn member(word: &str) -> MemberId {
    MemberId(number(strip(word, "m")))
}

fn strip<'a>(word: &'a str, prefix: &str) -> &'a str {
    word.strip_prefix(prefix).unwrap_or_else(|| panic!("{word} does not start with {prefix}"))
}

fn number<N: std::str::FromStr>(word: &str) -> N {
    word.parse().unwrap_or_else(|_| panic!("{word} is not a number"))
}
