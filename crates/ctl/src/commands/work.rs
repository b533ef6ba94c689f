//! `rattanctl work` and `rattanctl job`.

use clap::ArgMatches;
use rattanfall_wire::work::{Count, Job, MachineOrder, Placement, Pool, Step, Wave, Work};

use super::Context;
use crate::args;
use crate::client::Client;
use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;
use crate::table;

/// Hexadecimal digits in a job id.
const ID_DIGITS: usize = 16;

/// Prints accepted work according to one instance; only the owner knows pools and moves.
pub(super) fn show(client: &Client, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let work: Work = client.get("/v1/work")?;
    if context.json {
        context.console.json(&work)?;
        return Ok(Exit::Ok);
    }
    for section in sections(&work) {
        context.console.line(&section)?;
    }
    if work.instance != work.owner {
        context.console.note(&format!("pools and moves are known to the owner, {}", work.owner));
    }
    Ok(Exit::Ok)
}

/// Prints one job: its steps, the placements of its tasks and the reasons why it waits.
pub(super) fn job(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let id = args::text(matches, "id");
    if id.len() != ID_DIGITS || !id.chars().all(|c| c.is_ascii_hexdigit()) {
        let message = format!("{id} is not a job id: it has {ID_DIGITS} hexadecimal digits");
        return Err(CtlError::new(ErrorKind::UnknownEntity, message));
    }
    let job: Job = client.get(&format!("/v1/work/jobs/{id}"))?;
    if context.json {
        context.console.json(&job)?;
        return Ok(Exit::Ok);
    }
    let team = job.team.as_deref().unwrap_or("none");
    context.console.line(&format!("job {}: {}, queue {}, team {team}\n", job.id, job.state, job.queue))?;
    let header = ["occurrence", "step", "waiting", "placed", "done", "failures"];
    context.console.line(&section("STEPS", &header, &job.steps, step))?;
    context.console.line(&section("TASKS PLACED", &["task", "run", "worker"], &job.places, placement))?;
    for reason in &job.reasons {
        context.console.line(&format!("- {reason}"))?;
    }
    Ok(Exit::Ok)
}

fn sections(work: &Work) -> Vec<String> {
    let age = work.age_ms.map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago"));
    let head = format!(
        "instance {}, configuration version {}, owner {} in epoch {}, intake read {age}\n",
        work.instance, work.version, work.owner, work.epoch
    );
    let pools = ["pool", "workers", "open", "runs", "used %", "wanted"];
    vec![
        head,
        section("JOBS", &["state", "jobs"], &work.jobs, count),
        section("WAITING", &["queue", "jobs"], &work.waiting, count),
        section("POOLS", &pools, &work.pools, pool),
        section("MACHINES UNDER ORDERS", &["machine", "pool", "goal", "stage"], &work.moves, machine_order),
        section("WAVES", &["wave", "machines", "begun"], &work.waves, wave),
    ]
}

fn section<T>(title: &str, header: &[&str], rows: &[T], row: fn(&T) -> Vec<String>) -> String {
    if rows.is_empty() {
        return format!("{title}\n none\n");
    }
    format!("{title}\n{}\n", table::render(header, rows.iter().map(row).collect()))
}

fn cells(name: &str, numbers: &[u64]) -> Vec<String> {
    std::iter::once(name.to_owned()).chain(numbers.iter().map(u64::to_string)).collect()
}

fn count(row: &Count) -> Vec<String> {
    cells(&row.name, &[row.count])
}

fn pool(row: &Pool) -> Vec<String> {
    cells(&row.name, &[row.workers, row.open, row.runs, row.used_percent, row.wanted])
}

fn machine_order(row: &MachineOrder) -> Vec<String> {
    [&row.machine, &row.pool, &row.goal, &row.stage].map(Clone::clone).to_vec()
}

fn wave(row: &Wave) -> Vec<String> {
    cells(&row.number.to_string(), &[row.machines, row.begun])
}

fn step(row: &Step) -> Vec<String> {
    let numbers = [u64::from(row.step), row.waiting, row.placed, row.done, row.failures];
    cells(&row.occurrence.to_string(), &numbers)
}

fn placement(row: &Placement) -> Vec<String> {
    vec![row.task.clone(), row.run.to_string(), row.worker.clone()]
}
