//! Help texts, and the operators' page checked against the program.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

mod support;

use std::collections::BTreeSet;

use clap::{ArgAction, Command};
use insta::assert_snapshot;
use rattanctl::{Exit, Kind, args};
use rstest::rstest;
use support::run;

const PAGE: &str = include_str!("../../../docs/operators.md");
const COMMANDS: &str = include_str!("../../core/src/engine/command/mod.rs");
const VIEW: &str = include_str!("../../core/src/engine/view/mod.rs");

/// Guards against unnoticed changes of the interface that scripts and people depend on.
#[rstest]
#[case::root("help", &["--help"])]
#[case::validate("help_validate", &["validate", "--help"])]
#[case::apply("help_apply", &["apply", "--help"])]
#[case::keys("help_keys", &["keys", "--help"])]
#[case::zones("help_zones", &["zones", "remove", "--help"])]
#[case::workers("help_workers", &["workers", "move", "--help"])]
fn help(#[case] name: &str, #[case] args: &[&str]) {
    let ran = run(args, "");
    assert_eq!(ran.exit, Exit::Ok);
    assert_snapshot!(name, ran.out);
}

/// Guards against a declaration of arguments that clap finds inconsistent only when a command is used.
#[test]
fn arguments_are_consistent() {
    args::command().debug_assert();
}

/// Guards against a page that misses a flag, names a dropped one, or states another variable or default.
#[test]
fn page_lists_the_flags() {
    let rows: BTreeSet<String> = section("### rattanctl").lines().filter_map(setting).collect();
    assert_eq!(rows, flags(&args::command()));
}

/// Row of a settings table: flag, variable, default.
fn setting(line: &str) -> Option<String> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let flag = cells.get(1).filter(|cell| cell.starts_with("`--"))?;
    Some(format!("{flag} {} {}", cells[2], cells[3]))
}

fn flags(command: &Command) -> BTreeSet<String> {
    let mut found: BTreeSet<String> = command.get_subcommands().flat_map(flags).collect();
    for arg in command
        .get_arguments()
        .filter(|arg| !matches!(arg.get_action(), ArgAction::Help | ArgAction::Version))
    {
        let Some(long) = arg.get_long() else { continue };
        let quoted = |text: &std::ffi::OsStr| format!("`{}`", text.to_string_lossy());
        let env = arg.get_env().map_or_else(String::new, quoted);
        let takes_value = arg.get_action().takes_values();
        let default = arg.get_default_values().first().filter(|_| takes_value);
        found.insert(format!("`--{long}` {env} {}", default.map_or_else(String::new, |text| quoted(text))));
    }
    found
}

/// Guards against sample settings that the program does not read.
#[test]
fn sample_settings_are_known() {
    let sample = include_str!("../../../examples/ctl.env");
    let assigned =
        sample.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.split_once('='));
    let known = args::command();
    let known = known.get_arguments().filter_map(|arg| arg.get_env()?.to_str().map(str::to_owned));
    let assigned: BTreeSet<String> = assigned.map(|(name, _)| name.to_owned()).collect();
    assert_eq!(assigned, known.collect());
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

/// Guards against a refusal or an error that operators meet and cannot look up.
#[test]
fn page_explains_every_refusal() {
    assert_eq!(first_cells(section("### Refusals of work")), names_in(COMMANDS));
    assert_eq!(
        first_cells(section("### Errors of rattanctl")),
        Kind::ALL.map(Kind::name).into_iter().collect()
    );
}

/// Guards against a counter or a retry reason that operators cannot look up.
#[test]
fn page_lists_the_counters() {
    let (_, fields) = VIEW.split_once("pub struct Counters {").unwrap();
    let fields = fields.split_once('}').unwrap().0.lines();
    let fields = fields.filter_map(|line| line.trim().strip_prefix("pub ")?.split_once(':'));
    assert_eq!(first_cells(section("### Counters")), fields.map(|(name, _)| name).collect());
    assert_eq!(first_cells(section("### Retry reasons")), names_in(VIEW));
}

/// Names in the arms of the `name` functions of a source file; so a new variant is missed by no list.
fn names_in(source: &'static str) -> BTreeSet<&'static str> {
    let arms = source.lines().filter_map(|line| line.trim().strip_prefix("Self::")?.split_once(" => \""));
    arms.filter_map(|(_, name)| name.strip_suffix("\",")).collect()
}

/// Guards against exit codes on the page that differ from those of the program.
#[test]
fn page_lists_the_exit_codes() {
    let codes = first_cells(section("### Exit codes"));
    let expected = Kind::ALL.map(|kind| kind.exit().code().to_string());
    let expected: BTreeSet<&str> = expected.iter().map(String::as_str).chain(["0"]).collect();
    assert_eq!(codes, expected);
    for kind in Kind::ALL {
        let row = format!("| {} |", kind.exit().code());
        let rows = section("### Errors of rattanctl");
        let line = rows.lines().find(|line| line.starts_with(&format!("| `{}` |", kind.name()))).unwrap();
        assert!(line.contains(&row), "{line}: expected {row}");
    }
}

/// Text between a heading and the next one.
fn section(heading: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("\n{heading}\n")).unwrap_or_else(|| panic!("no {heading}"));
    rest.split_once("\n#").map_or(rest, |(text, _)| text)
}

fn first_cells(table: &str) -> BTreeSet<&str> {
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once('`').map(|(cell, _)| cell)).collect()
}
