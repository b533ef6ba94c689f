//! Declaration files: reading, offline checks and problem reports.

mod budget;
mod report;

use clap::ArgMatches;
use rattanfall_core::declaration::{Declaration, Parsed, SourceFile, parse};

use crate::console::Console;
use crate::error::{CtlError, ErrorKind};

pub(crate) use budget::check_budgets;
pub(crate) use report::{ProblemEntry, problem_entries, report_problems, report_warnings};

/// Reads the files named on the command line, in their order.
pub(crate) fn read_sources(matches: &ArgMatches) -> Result<Vec<SourceFile>, CtlError> {
    let files = matches.get_many::<String>("files").into_iter().flatten();
    files.map(|name| read_source(name)).collect()
}

fn read_source(name: &str) -> Result<SourceFile, CtlError> {
    let text = std::fs::read_to_string(name);
    let text =
        text.map_err(|error| CtlError::new(ErrorKind::File, format!("cannot read {name}: {error}")))?;
    Ok(SourceFile { name: name.to_owned(), text })
}

/// Reads and merges the files. Reports every problem and fails if there are any.
pub(crate) fn load(matches: &ArgMatches, console: &mut Console<'_>) -> Result<Declaration, CtlError> {
    let sources = read_sources(matches)?;
    let parsed = parse(&sources);
    if parsed.problems.is_empty() {
        return Ok(parsed.declaration);
    }
    report_problems(&sources, &parsed, console);
    Err(invalid_declaration(&parsed))
}

fn invalid_declaration(parsed: &Parsed) -> CtlError {
    let count = parsed.problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    CtlError::new(ErrorKind::Invalid, format!("the declaration has {count} {noun}"))
}
