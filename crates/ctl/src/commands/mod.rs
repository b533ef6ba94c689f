//! Implementation of the subcommands, one module for each group.

mod change;
mod config;
mod explain;
mod keys;
mod status;
mod validate;
mod work;

use clap::ArgMatches;

use crate::args;
use crate::client::Client;
use crate::console::Console;
use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;

/// Output settings that every command needs besides its own arguments.
struct Context<'c, 'a> {
    console: &'c mut Console<'a>,
    json: bool,
}

/// Runs the subcommand named on the command line.
pub(crate) fn run(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Exit, CtlError> {
    let json = matches.get_flag(args::JSON);
    let mut context = Context { console, json };
    let (name, sub) = matches.subcommand().ok_or_else(|| CtlError::new(ErrorKind::Usage, "no command"))?;
    match name {
        "validate" => validate::run(sub, &mut context),
        "diff" => config::diff(sub, &Client::new(sub)?, &mut context),
        "apply" => config::apply(sub, &Client::new(sub)?, &mut context),
        "status" => status::run(&Client::new(sub)?, &mut context),
        "explain" => explain::run(sub, &mut context),
        "work" => work::show(&Client::without_credential(sub)?, &mut context),
        "job" => work::job(sub, &Client::without_credential(sub)?, &mut context),
        group => run_group(group, sub, &mut context),
    }
}

fn run_group(group: &str, matches: &ArgMatches, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let (verb, sub) = matches.subcommand().ok_or_else(|| CtlError::new(ErrorKind::Usage, "no command"))?;
    let client = Client::new(sub)?;
    match (group, verb) {
        ("keys", "grant") => keys::grant(sub, &client, context),
        ("keys", "withdraw") => keys::withdraw(sub, &client, context),
        ("keys", "list") => keys::list(&client, context),
        ("zones", verb) => change::zone(verb, sub, &client, context),
        ("workers", "drain") => change::drain(sub, &client, context),
        ("workers", "move") => change::move_worker(sub, &client, context),
        ("pools", "maintain") => change::maintain(sub, &client, context),
        _ => Err(CtlError::new(ErrorKind::Usage, format!("no command {group} {verb}"))),
    }
}
