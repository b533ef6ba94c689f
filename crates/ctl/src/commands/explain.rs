//! `rattanctl explain`.

use clap::ArgMatches;
use rattanfall_core::ids::TaskId;
use rattanfall_wire::operator::Explanation;

use super::Context;
use crate::args;
use crate::client::Client;
use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;

/// Prints the reasons why a task waits or why it ended.
pub(super) fn run(matches: &ArgMatches, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let text = args::text(matches, "task");
    let task: TaskId = text.parse().map_err(|error| {
        CtlError::new(ErrorKind::UnknownEntity, format!("{text} is not a task id: {error}"))
    })?;
    let client = Client::new(matches)?;
    let explanation: Explanation = client.get(&format!("/v1/explain/tasks/{task}"))?;
    if context.json {
        context.console.json(&explanation)?;
        return Ok(Exit::Ok);
    }
    let Explanation { id, state, owner, reasons } = explanation;
    context.console.line(&format!("task {id}: {state}, owned by member {owner}"))?;
    for reason in reasons {
        context.console.line(&format!("- {reason}"))?;
    }
    Ok(Exit::Ok)
}
