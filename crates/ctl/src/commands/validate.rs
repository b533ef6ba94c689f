//! `rattanctl validate`.

use clap::ArgMatches;
use rattanfall_core::declaration::{Declaration, parse};
use serde::Serialize;

use super::Context;
use crate::declare::{self, ProblemEntry};
use crate::error::CtlError;
use crate::exit::Exit;

#[derive(Serialize)]
struct Validation {
    problems: Vec<ProblemEntry>,
}

/// Checks the files offline and reports every problem, not only the first.
pub(super) fn run(matches: &ArgMatches, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let sources = declare::read_sources(matches)?;
    let mut parsed = parse(&sources);
    let counts = matches.get_many::<(String, u32)>("workers").into_iter().flatten();
    let warnings = declare::check_budgets(&mut parsed, counts);
    let valid = parsed.problems.is_empty();
    if context.json {
        context
            .console
            .json(&Validation { problems: declare::problem_entries(&sources, &parsed.problems) })?;
    } else {
        declare::report_problems(&sources, &parsed, context.console);
        declare::report_warnings(&sources, &parsed, &warnings, context.console);
        context.console.line(&summary(&parsed.declaration, parsed.problems.len()))?;
    }
    Ok(if valid { Exit::Ok } else { Exit::Input })
}

fn summary(declaration: &Declaration, problems: usize) -> String {
    match problems {
        0 => format!(
            "valid: {} pools, {} teams, {} exceptions",
            declaration.pools.len(),
            declaration.teams.len(),
            declaration.exceptions.len()
        ),
        1 => "1 problem".into(),
        count => format!("{count} problems"),
    }
}
