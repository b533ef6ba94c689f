//! Problem reports: source excerpts for terminals, and file, line and column for JSON.

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode};
use rattanfall_core::declaration::{LocatedProblem, Parsed, Problem, SourceFile};
use serde::Serialize;

use crate::console::Console;

/// Problem as printed with `--json`. The position is absent for a problem without a location. Lines and columns count
/// from 1, columns in characters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ProblemEntry {
    file: Option<String>,
    line: Option<usize>,
    column: Option<usize>,
    path: String,
    message: String,
}

/// Problem with the source text that its report quotes.
#[derive(Debug, thiserror::Error)]
#[error("{}", located.problem)]
struct Report {
    located: LocatedProblem,
    code: Option<NamedSource<String>>,
    severity: Severity,
}

impl Diagnostic for Report {
    fn severity(&self) -> Option<Severity> {
        Some(self.severity)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.code.as_ref().map(|code| code as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let location = self.located.location.as_ref()?;
        let label = LabeledSpan::new(None, location.span.start, location.span.len());
        Some(Box::new(std::iter::once(label)))
    }
}

/// Converts problems for `--json`.
pub(crate) fn problem_entries(sources: &[SourceFile], problems: &[LocatedProblem]) -> Vec<ProblemEntry> {
    problems.iter().map(|located| problem_entry(sources, located)).collect()
}

fn problem_entry(sources: &[SourceFile], located: &LocatedProblem) -> ProblemEntry {
    let location = located.location.as_ref();
    let source = location.and_then(|location| sources.get(location.file));
    let before = location.and_then(|location| source?.text.get(..location.span.start));
    let column = |text: &str| text.rsplit('\n').next().map_or(0, |line| line.chars().count()) + 1;
    ProblemEntry {
        file: source.map(|source| source.name.clone()),
        line: before.map(|text| text.matches('\n').count() + 1),
        column: before.map(column),
        path: located.problem.path.clone(),
        message: located.problem.message.clone(),
    }
}

/// Prints an error report for each problem.
pub(crate) fn report_problems(sources: &[SourceFile], parsed: &Parsed, console: &mut Console<'_>) {
    for located in &parsed.problems {
        report(sources, located.clone(), Severity::Error, console);
    }
}

/// Prints a report for settings that are valid but probably a mistake.
pub(crate) fn report_warnings(
    sources: &[SourceFile],
    parsed: &Parsed,
    warnings: &[Problem],
    console: &mut Console<'_>,
) {
    for problem in warnings {
        let located = LocatedProblem { problem: problem.clone(), location: parsed.location(&problem.path) };
        report(sources, located, Severity::Warning, console);
    }
}

fn report(sources: &[SourceFile], located: LocatedProblem, severity: Severity, console: &mut Console<'_>) {
    let source = located.location.as_ref().and_then(|location| sources.get(location.file));
    let code = source.map(|source| NamedSource::new(&source.name, source.text.clone()));
    console.report(&Report { located, code, severity });
}
