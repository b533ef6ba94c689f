//! Compares the operators' page and the sample settings with the programs.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

use std::collections::BTreeSet;

use clap::{Arg, ArgAction, Command};
use rattanctl::{ErrorKind, args};
use rstest::rstest;

const PAGE: &str = include_str!("../../../docs/operators.md");
const COMMANDS: &str = include_str!("../../core/src/engine/command/mod.rs");
const VIEW: &str = include_str!("../../core/src/engine/view/mod.rs");
const CALLER_ERRORS: &str = include_str!("../../entry/src/callers/error.rs");
const METRICS: &str = include_str!("../../entry/src/metrics/mod.rs");
const EDGE_METRICS: &str = include_str!("../../entry/src/metrics/edge.rs");

/// Guards against a page that omits a flag, lists a removed one, or states a wrong variable or default.
#[rstest]
#[case::ctl("### rattanctl", &args::command())]
#[case::entry("### rattanfall-entry", &rattanfall_entry::options::command())]
#[case::standin("### rattanfall-standin", &rattanfall_standin::options::command())]
#[case::load("### rattanfall-load", &rattanfall_load::options::command())]
fn page_lists_the_flags(#[case] heading: &str, #[case] command: &Command) {
    let rows: BTreeSet<String> = section(heading).lines().filter_map(setting).collect();
    assert_eq!(rows, arguments(command).into_iter().filter_map(flag).collect());
}

/// Flag, variable and default from a row of a settings table.
fn setting(line: &str) -> Option<String> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let flag = cells.get(1).filter(|cell| cell.starts_with("`--"))?;
    Some(format!("{flag} {} {}", cells[2], cells[3]))
}

fn arguments(command: &Command) -> Vec<&Arg> {
    let mut found: Vec<&Arg> = command.get_subcommands().flat_map(arguments).collect();
    let shown = |arg: &&Arg| !matches!(arg.get_action(), ArgAction::Help | ArgAction::Version);
    found.extend(command.get_arguments().filter(shown));
    found
}

fn flag(arg: &Arg) -> Option<String> {
    let quoted = |text: &std::ffi::OsStr| format!("`{}`", text.to_string_lossy());
    let env = arg.get_env().map_or_else(String::new, quoted);
    let takes_value = arg.get_action().takes_values();
    let default = arg.get_default_values().first().filter(|text| takes_value && !text.is_empty());
    let default = default.map_or_else(String::new, |text| quoted(text));
    Some(format!("`--{}` {env} {default}", arg.get_long()?))
}

/// Guards against sample settings that a program does not read, missing settings, and wrong defaults in comments.
#[rstest]
#[case::ctl(include_str!("../../../examples/ctl.env"), &args::command())]
#[case::entry(include_str!("../../../examples/entry.env"), &rattanfall_entry::options::command())]
#[case::standin(include_str!("../../../examples/standin.env"), &rattanfall_standin::options::command())]
fn sample_settings_are_known(#[case] sample: &str, #[case] command: &Command) {
    let lines = sample.lines().filter(|line| !line.starts_with("# ") && *line != "#");
    let lines = lines.filter_map(|line| line.trim_start_matches('#').split_once('='));
    let assigned: BTreeSet<&str> = lines.map(|(name, _)| name).collect();
    let known = arguments(command).into_iter().filter_map(|arg| arg.get_env()?.to_str());
    assert_eq!(assigned, known.collect());
    for line in sample.lines().filter_map(|line| line.strip_prefix('#')).filter(|line| !line.starts_with(' '))
    {
        let (name, text) = line.split_once('=').unwrap();
        let all = arguments(command);
        let arg = all.iter().find(|arg| arg.get_env().is_some_and(|env| env == name)).unwrap();
        let default = arg.get_default_values().first().map_or("", |default| default.to_str().unwrap());
        assert_eq!(text, default, "{name}");
    }
}

/// Guards against a command without an example on the page.
#[test]
fn page_shows_every_command() {
    for command in args::command().get_subcommands() {
        let name = command.get_name();
        let verbs: Vec<&str> = command.get_subcommands().map(Command::get_name).collect();
        let lines: Vec<String> = match verbs.as_slice() {
            [] => vec![format!("rattanctl {name}")],
            verbs => verbs.iter().map(|verb| format!("rattanctl {name} {verb}")).collect(),
        };
        for line in lines {
            assert!(PAGE.contains(&line), "the page has no example of `{line}`");
        }
    }
}

/// Guards against refusals and errors that the page does not list.
#[test]
fn page_explains_every_refusal() {
    assert_eq!(first_column(section("### Refusals of work")), names_in(COMMANDS));
    let edge = CALLER_ERRORS.lines().filter(|line| line.contains("(StatusCode::"));
    let edge: BTreeSet<&str> = edge.filter_map(|line| line.split('"').nth(1)).collect();
    assert_eq!(first_column(section("### Refusals at the edge")), edge);
    assert_eq!(
        first_column(section("### Errors of rattanctl")),
        ErrorKind::ALL.map(ErrorKind::name).into_iter().collect()
    );
}

/// Guards against metrics and retry reasons that the page does not list, and counters without a metric.
#[test]
fn page_lists_the_counters() {
    let metrics = format!("{METRICS}{EDGE_METRICS}");
    let names = |call: &str, end: &str| -> Vec<String> {
        let calls = metrics.split(call).skip(1).filter_map(|rest| rest.split_once('"'));
        calls.map(|(name, _)| format!("{name}{end}")).collect()
    };
    let counters = ["total(\"", "reasons(\"", "_counter(\""].map(|call| names(call, "_total"));
    let expected: BTreeSet<String> = counters.concat().into_iter().chain(names("gauge(\"", "")).collect();
    let listed: BTreeSet<String> =
        first_column(section("### Counters")).into_iter().map(Into::into).collect();
    assert_eq!(listed, expected);
    let (_, fields) = VIEW.split_once("pub struct Counters {").unwrap();
    let fields = fields.split_once('}').unwrap().0.lines();
    for (field, _) in fields.filter_map(|line| line.trim().strip_prefix("pub ")?.split_once(':')) {
        assert!(METRICS.contains(&format!("c.{field}")), "counter {field} has no metric");
    }
    assert_eq!(first_column(section("### Retry reasons")), names_in(VIEW));
}

/// Names in the match arms of the `name` functions of a source file. Read from the source so that new variants are
/// included.
fn names_in(source: &'static str) -> BTreeSet<&'static str> {
    let arms = source.lines().filter_map(|line| line.trim().strip_prefix("Self::")?.split_once(" => \""));
    arms.filter_map(|(_, name)| name.strip_suffix("\",")).collect()
}

/// Guards against exit codes on the page that differ from those of the program.
#[test]
fn page_lists_the_exit_codes() {
    let codes = first_column(section("### Exit codes"));
    let expected = ErrorKind::ALL.map(|kind| kind.exit().code().to_string());
    let expected: BTreeSet<&str> = expected.iter().map(String::as_str).chain(["0"]).collect();
    assert_eq!(codes, expected);
    for kind in ErrorKind::ALL {
        let row = format!("| {} |", kind.exit().code());
        let rows = section("### Errors of rattanctl");
        let line = rows.lines().find(|line| line.starts_with(&format!("| `{}` |", kind.name()))).unwrap();
        assert!(line.contains(&row), "{line}: expected {row}");
    }
}

/// Text of the page between a heading and the next one.
fn section(heading: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("\n{heading}\n")).unwrap_or_else(|| panic!("no {heading}"));
    rest.split_once("\n#").map_or(rest, |(text, _)| text)
}

fn first_column(table: &str) -> BTreeSet<&str> {
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`').map(|(cell, _)| cell)).collect()
}
