//! `rattanctl status`.

use rattanfall_wire::operator::{MemberRow, PoolRow, Status, TeamRow, WorkerRow, ZoneRow};

use super::Context;
use crate::client::Client;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::table;

/// Age of an instance's view above which `status` warns that the tables may be out of date, in milliseconds. It is also
/// the default age from which instances count starts of work as made on a stale view.
const STALE_MS: u64 = 5_000;

/// Prints the state of the fleet according to one instance, and warnings about its age and about budgets.
pub(super) fn run(client: &Client, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let status: Status = client.get("/v1/status")?;
    if context.json {
        context.console.json(&status)?;
        return Ok(Exit::Ok);
    }
    for section in sections(&status) {
        context.console.line(&section)?;
    }
    for warning in warnings(&status) {
        context.console.note(&format!("warning: {warning}"));
    }
    Ok(Exit::Ok)
}

fn sections(status: &Status) -> Vec<String> {
    vec![
        format!("{}\n", summary(status)),
        section("MEMBERS", &["id", "name", "zone", "state"], &status.members, member),
        section("POOLS", &["pool", "serving", "budget", "slots", "running", "waiting"], &status.pools, pool),
        section("TEAMS", &["team", "share", "limit", "held", "running", "waiting"], &status.teams, team),
        section("ZONES", &["zone", "state", "version"], &status.zones, zone),
        section(
            "WORKERS",
            &["worker", "pool", "zone", "rack", "state", "slots", "running", "ejected"],
            &status.workers,
            worker,
        ),
    ]
}

fn summary(status: &Status) -> String {
    let number = |value: Option<u64>| value.map_or_else(|| "none".to_owned(), |value| value.to_string());
    let age = status.view_age_ms.map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago"));
    format!(
        "instance {}, member {}, configuration version {}, log offset {}, log end reached {age}",
        status.instance,
        number(status.member),
        status.version,
        number(status.applied)
    )
}

fn section<T>(title: &str, header: &[&str], rows: &[T], row: fn(&T) -> Vec<String>) -> String {
    if rows.is_empty() {
        return format!("{title}\n none\n");
    }
    format!("{title}\n{}\n", table::render(header, rows.iter().map(row).collect()))
}

fn warnings(status: &Status) -> Vec<String> {
    let mut warnings = Vec::new();
    if status.view_age_ms.is_none_or(|age| age > STALE_MS) {
        let stale = "this instance does not reach the end of the log; what it shows may be out of date";
        warnings.push(stale.to_owned());
    }
    for pool in status.pools.iter().filter(|pool| pool.serving < pool.min_serving) {
        let PoolRow { name, serving, min_serving, .. } = pool;
        warnings.push(format!("pool {name} has {serving} workers serving, its budget is {min_serving}"));
    }
    warnings
}

fn member(row: &MemberRow) -> Vec<String> {
    vec![row.id.to_string(), row.name.clone(), row.zone.clone(), row.state.clone()]
}

fn pool(row: &PoolRow) -> Vec<String> {
    let counts = [row.serving, row.min_serving, row.slots, row.running, row.waiting];
    row_with_counts(&row.name, &counts)
}

fn team(row: &TeamRow) -> Vec<String> {
    let counts = [row.share, row.limit, row.held, row.running, row.waiting];
    row_with_counts(&row.name, &counts)
}

fn row_with_counts(name: &str, counts: &[u32]) -> Vec<String> {
    let mut cells = vec![name.to_owned()];
    cells.extend(counts.iter().map(u32::to_string));
    cells
}

fn zone(row: &ZoneRow) -> Vec<String> {
    vec![row.name.clone(), row.state.clone(), row.version.to_string()]
}

fn worker(row: &WorkerRow) -> Vec<String> {
    let ejected = if row.ejected { "yes" } else { "" };
    let names = [&row.name, &row.pool, &row.zone, &row.rack, &row.state];
    let mut cells: Vec<String> = names.into_iter().cloned().collect();
    cells.extend([row.slots.to_string(), row.running.to_string(), ejected.into()]);
    cells
}
