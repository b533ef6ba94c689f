//! `rattanctl diff` and `rattanctl apply`.

use clap::ArgMatches;
use http::Method;
use rattanfall_core::declaration::Change;
use rattanfall_wire::operator::Config;
use serde::Serialize;

use super::Context;
use crate::client::Client;
use crate::declare;
use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;

const PATH: &str = "/v1/config";

#[derive(Serialize)]
struct Diff {
    version: u64,
    changes: Vec<ChangeEntry>,
}

#[derive(Serialize)]
struct ChangeEntry {
    path: String,
    old: Option<String>,
    new: Option<String>,
}

#[derive(Serialize)]
struct Applied {
    applied: bool,
    version: Option<u64>,
    offset: Option<u64>,
}

impl From<Change> for ChangeEntry {
    fn from(change: Change) -> Self {
        Self { path: change.path, old: change.old, new: change.new }
    }
}

/// Prints the changes from the running declaration to the files.
pub(super) fn diff(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let declared = declare::load(matches, context.console)?;
    let running: Config = client.get(PATH)?;
    let changes = running.declaration.diff(&declared);
    if context.json {
        let changes = changes.into_iter().map(ChangeEntry::from).collect();
        context.console.json(&Diff { version: running.version, changes })?;
    } else {
        show(running.version, &changes, context)?;
    }
    Ok(Exit::Ok)
}

/// Replaces the declaration with the files, provided that its version is still the base.
pub(super) fn apply(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let confirmed = matches.get_flag("yes");
    if context.json && !confirmed {
        return Err(CtlError::new(ErrorKind::Usage, "--json asks no question; add --yes"));
    }
    let declared = declare::load(matches, context.console)?;
    let running: Config = client.get(PATH)?;
    let changes = running.declaration.diff(&declared);
    let base = matches.get_one::<u64>("base").copied().unwrap_or(running.version);
    if changes.is_empty() && base <= running.version {
        return report_unchanged(running.version, context);
    }
    check_base(base, running.version, context)?;
    if !context.json && !changes.is_empty() {
        show(running.version, &changes, context)?;
    }
    if !confirmed && !context.console.confirm(&format!("Apply against version {base}?")) {
        return Err(CtlError::new(ErrorKind::Declined, "the declaration was not applied"));
    }
    let body = Config { version: base, declaration: declared };
    let accepted = client.change(Method::PUT, PATH, &body)?;
    if context.json {
        let applied = Applied { applied: true, version: accepted.value, offset: Some(accepted.offset) };
        context.console.json(&applied)?;
    } else {
        let version = accepted.value.map_or_else(String::new, |version| format!("; version {version}"));
        context.console.line(&format!("applied at offset {}{version}", accepted.offset))?;
    }
    Ok(Exit::Ok)
}

/// Refuses a base below the running version: versions only grow, so the change would be rejected as a conflict. A base
/// above it means that the instance that responded is behind, so the change is sent and the log decides.
fn check_base(base: u64, running: u64, context: &mut Context<'_, '_>) -> Result<(), CtlError> {
    if base < running {
        let message = format!("the change was made against version {base}, the current version is {running}");
        return Err(CtlError::new(ErrorKind::Conflict, message));
    }
    if base > running && !context.json {
        let note = format!("note: the answering instance is at version {running}, behind base {base}");
        context.console.note(&note);
    }
    Ok(())
}

fn report_unchanged(version: u64, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    if context.json {
        context.console.json(&Applied { applied: false, version: Some(version), offset: None })?;
    } else {
        context.console.line(&format!("nothing to change; version {version}"))?;
    }
    Ok(Exit::Ok)
}

fn show(version: u64, changes: &[Change], context: &mut Context<'_, '_>) -> Result<(), CtlError> {
    if changes.is_empty() {
        return context.console.line(&format!("nothing to change; version {version}"));
    }
    context.console.line(&format!("changes to version {version}:"))?;
    for change in changes {
        context.console.line(&line(change))?;
    }
    Ok(())
}

fn line(change: &Change) -> String {
    let path = &change.path;
    match (&change.old, &change.new) {
        (Some(old), Some(new)) => format!("~ {path}: {old} -> {new}"),
        (Some(old), None) => format!("- {path}: {old}"),
        (None, new) => format!("+ {path}: {}", new.as_deref().unwrap_or_default()),
    }
}
