//! Commands that change zones, workers and pools: `zones`, `workers` and `pools`.

use clap::ArgMatches;
use http::Method;
use rattanfall_wire::operator::{Accepted, ChangeZone, MoveWorker};

use super::Context;
use crate::args;
use crate::client::Client;
use crate::error::CtlError;
use crate::exit::Exit;

/// Removes or restores an availability zone; `verb` is the last part of the request path.
pub(super) fn zone(
    verb: &str,
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let name = args::text(matches, "name");
    let body = ChangeZone { version: matches.get_one::<u64>("base").copied() };
    let accepted = client.change(Method::POST, &format!("/v1/zones/{name}/{verb}"), &body)?;
    let past = if verb == "remove" { "removed" } else { "restored" };
    show(&format!("{past} zone {name}"), &accepted, context)
}

/// Starts to drain a worker.
pub(super) fn drain(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let name = args::text(matches, "name");
    let accepted =
        client.change(Method::POST, &format!("/v1/workers/{name}/drain"), &serde_json::json!({}))?;
    show(&format!("started to drain worker {name}"), &accepted, context)
}

/// Starts to move a worker to another pool.
pub(super) fn move_worker(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let name = args::text(matches, "name");
    let pool = args::text(matches, "pool");
    let body = MoveWorker { pool: pool.into() };
    let accepted = client.change(Method::POST, &format!("/v1/workers/{name}/move"), &body)?;
    show(&format!("started to move worker {name} to pool {pool}"), &accepted, context)
}

/// Starts maintenance of every worker of a pool.
pub(super) fn maintain(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let name = args::text(matches, "name");
    let path = format!("/v1/pools/{name}/maintenance");
    let accepted = client.change(Method::POST, &path, &serde_json::json!({}))?;
    show(&format!("started maintenance of pool {name}"), &accepted, context)
}

/// Prints an accepted change with its offset in the log.
pub(super) fn show(text: &str, accepted: &Accepted, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    if context.json {
        context.console.json(accepted)?;
    } else {
        context.console.line(&format!("{text} at offset {}", accepted.offset))?;
    }
    Ok(Exit::Ok)
}
