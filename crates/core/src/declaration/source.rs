//! Parses declarations from TOML files and records the location of every entry.
//!
//! Parsing does not stop at the first problem. An entry with a problem gets a value that is valid by itself, so that
//! validation does not report consequential errors.

use std::collections::BTreeMap;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::reader::TableReader;
use super::{Declaration, Exception, Pool, Problem, Team};

/// Message of the TOML parser for a repeated name. Unlike other syntax errors, it leaves the rest of the file usable.
const DUPLICATE: &str = "duplicate key";

/// One file of a declaration. A declaration may be split into several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// File name, for messages.
    pub name: String,
    /// Contents, in TOML.
    pub text: String,
}

/// Location of an entry in the source files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Index of the file in the list that was parsed.
    pub file: usize,
    /// Byte range of the entry in the file.
    pub span: Range<usize>,
}

/// A problem and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedProblem {
    /// What is wrong, and the path of the entry.
    pub problem: Problem,
    /// Location of the closest entry that the files contain; none if there is none.
    pub location: Option<Location>,
}

/// Result of parsing: the declaration merged from all files, and its problems.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parsed {
    /// Merged declaration; usable only if there are no problems.
    pub declaration: Declaration,
    /// All problems, ordered by file and position.
    pub problems: Vec<LocatedProblem>,
    locations: BTreeMap<String, Location>,
}

impl Parsed {
    /// Location of an entry, or of the closest enclosing entry.
    #[must_use]
    pub fn location(&self, path: &str) -> Option<Location> {
        let mut path = path;
        loop {
            if let Some(location) = self.locations.get(path) {
                return Some(location.clone());
            }
            path = path.rsplit_once('.')?.0;
        }
    }

    /// Adds a problem found by a caller, such as a budget above the number of workers.
    pub fn add(&mut self, problem: Problem) {
        let location = self.location(&problem.path);
        self.problems.push(LocatedProblem { problem, location });
        self.sort();
    }

    pub(super) fn report(&mut self, path: String, message: impl Into<String>, location: Location) {
        let problem = Problem { path, message: message.into() };
        self.problems.push(LocatedProblem { problem, location: Some(location) });
    }

    /// Records the location of an entry. Reports a problem and returns false if the entry is already declared.
    pub(super) fn record_location(&mut self, path: &str, location: Location) -> bool {
        if self.locations.contains_key(path) {
            self.report(path.into(), "is declared twice", location);
            return false;
        }
        self.locations.insert(path.into(), location);
        true
    }

    fn sort(&mut self) {
        let key = |location: &Option<Location>| location.as_ref().map(|p| (p.file, p.span.start));
        self.problems.sort_by_key(|located| key(&located.location));
    }
}

/// Parses and merges files, and validates the merged declaration unless a file has syntax errors.
#[must_use]
pub fn parse(sources: &[SourceFile]) -> Parsed {
    let mut parsed = Parsed::default();
    let mut complete = true;
    for (file, source) in sources.iter().enumerate() {
        complete &= read_file(file, &source.text, &mut parsed);
    }
    if complete {
        check_declaration(&mut parsed);
    }
    parsed.sort();
    parsed
}

/// Validates the merged declaration. Entries that already have a problem are not reported again.
fn check_declaration(parsed: &mut Parsed) {
    for problem in parsed.declaration.validate() {
        if parsed.problems.iter().all(|known| known.problem.path != problem.path) {
            let location = parsed.location(&problem.path);
            parsed.problems.push(LocatedProblem { problem, location });
        }
    }
}

/// Reads one file. Returns false if it has syntax errors, in which case its entries are not read.
fn read_file(file: usize, text: &str, parsed: &mut Parsed) -> bool {
    let (root, errors) = DeTable::parse_recoverable(text);
    let (duplicates, broken): (Vec<_>, Vec<_>) =
        errors.into_iter().partition(|error| error.message() == DUPLICATE);
    for error in &broken {
        let location = Location { file, span: error.span().unwrap_or(0..0) };
        parsed.report("syntax".into(), error.message(), location);
    }
    report_duplicates(file, text, duplicates.iter().filter_map(toml::de::Error::span), parsed);
    if broken.is_empty() {
        read_root(file, root.get_ref(), parsed);
    }
    broken.is_empty()
}

/// Reports repeated names. The parser also reports each field of a repeated table; those are left out.
fn report_duplicates(
    file: usize,
    text: &str,
    spans: impl Iterator<Item = Range<usize>>,
    parsed: &mut Parsed,
) {
    let mut reported = None;
    for span in spans {
        let header = text[..span.start].rfind("\n[").map_or(0, |newline| newline + 1);
        if reported == Some(header) {
            continue;
        }
        let line = text[header..].lines().next().unwrap_or_default();
        let table = line.trim_matches(['[', ']', ' ']);
        let on_header = span.start < header + line.len();
        let path = if on_header { table.to_owned() } else { format!("{table}.{}", &text[span.clone()]) };
        if on_header {
            reported = Some(header);
        }
        parsed.report(path, "is declared twice", Location { file, span });
    }
}

fn read_root(file: usize, root: &DeTable<'_>, parsed: &mut Parsed) {
    let mut reader = TableReader::new(root, String::new(), Location { file, span: 0..0 }, parsed);
    let defaults = reader.value("defaults");
    let pools = reader.value("pools");
    let teams = reader.value("teams");
    let exceptions = reader.value("exceptions");
    reader.finish();
    if let Some(value) = defaults {
        read_defaults(file, value, parsed);
    }
    for (name, location, table) in entries(file, "pools", pools, parsed) {
        let pool = read_pool(&name, location, table, parsed);
        parsed.declaration.pools.insert(name, pool);
    }
    for (name, location, table) in entries(file, "teams", teams, parsed) {
        let team = read_team(&name, location, table, parsed);
        parsed.declaration.teams.insert(name, team);
    }
    if let Some(value) = exceptions {
        read_exceptions(file, value, parsed);
    }
}

fn read_defaults(file: usize, value: &Spanned<DeValue<'_>>, parsed: &mut Parsed) {
    let location = Location { file, span: value.span() };
    let Some(table) = value.get_ref().as_table() else {
        parsed.report("defaults".into(), "must be a table", location);
        return;
    };
    let mut defaults = parsed.declaration.defaults.clone();
    let mut reader = TableReader::new(table, "defaults".into(), location, parsed);
    reader.set("deadline_ms", &mut defaults.deadline_ms);
    reader.set("deadline_cap_ms", &mut defaults.deadline_cap_ms);
    reader.set("queue_length", &mut defaults.queue_length);
    reader.set("body_bytes", &mut defaults.body_bytes);
    reader.set("payload_bytes", &mut defaults.payload_bytes);
    reader.set("task_attempts", &mut defaults.task_attempts);
    reader.set("drains", &mut defaults.drains);
    reader.set("ended_tasks", &mut defaults.ended_tasks);
    reader.finish();
    parsed.declaration.defaults = defaults;
}

type Entry<'a, 'i> = (String, Location, Option<&'a DeTable<'i>>);

/// Named tables of a section, without those that are already declared.
fn entries<'a, 'i>(
    file: usize,
    section: &str,
    value: Option<&'a Spanned<DeValue<'i>>>,
    parsed: &mut Parsed,
) -> Vec<Entry<'a, 'i>> {
    let Some(value) = value else {
        return Vec::new();
    };
    let Some(tables) = value.get_ref().as_table() else {
        parsed.report(section.into(), "must be a table", Location { file, span: value.span() });
        return Vec::new();
    };
    let mut found = Vec::new();
    for (name, value) in tables {
        let path = format!("{section}.{}", name.get_ref());
        let location = Location { file, span: name.span() };
        if !parsed.record_location(&path, location.clone()) {
            continue;
        }
        let table = value.get_ref().as_table();
        if table.is_none() {
            parsed.report(path, "must be a table", location.clone());
        }
        found.push((name.get_ref().to_string(), location, table));
    }
    found
}

fn read_pool(name: &str, location: Location, table: Option<&DeTable<'_>>, parsed: &mut Parsed) -> Pool {
    let mut pool = Pool::default();
    let Some(table) = table else {
        return pool;
    };
    let mut reader = TableReader::new(table, format!("pools.{name}"), location, parsed);
    reader.require("min_serving", &mut pool.min_serving);
    reader.set("open", &mut pool.open);
    reader.set_optional("open_team", &mut pool.open_team);
    reader.set("spare", &mut pool.spare);
    reader.finish();
    pool
}

fn read_team(name: &str, location: Location, table: Option<&DeTable<'_>>, parsed: &mut Parsed) -> Team {
    let mut team = Team { share: 1, limit: u32::MAX };
    let Some(table) = table else {
        return team;
    };
    let mut reader = TableReader::new(table, format!("teams.{name}"), location, parsed);
    reader.require("share", &mut team.share);
    reader.require("limit", &mut team.limit);
    reader.finish();
    team
}

fn read_exceptions(file: usize, value: &Spanned<DeValue<'_>>, parsed: &mut Parsed) {
    let Some(array) = value.get_ref().as_array() else {
        let location = Location { file, span: value.span() };
        parsed.report("exceptions".into(), "must be a list of tables: [[exceptions]]", location);
        return;
    };
    for value in array {
        let path = format!("exceptions[{}]", parsed.declaration.exceptions.len());
        let location = Location { file, span: value.span() };
        let Some(table) = value.get_ref().as_table() else {
            parsed.report(path, "must be a table", location);
            continue;
        };
        parsed.record_location(&path, location.clone());
        let exception = read_exception(path, location, table, parsed);
        parsed.declaration.exceptions.push(exception);
    }
}

fn read_exception(path: String, location: Location, table: &DeTable<'_>, parsed: &mut Parsed) -> Exception {
    let mut exception =
        Exception { pool: None, team: None, field: String::new(), value: 1, reason: String::new() };
    let mut reader = TableReader::new(table, path, location, parsed);
    reader.set_optional("pool", &mut exception.pool);
    reader.set_optional("team", &mut exception.team);
    reader.require("field", &mut exception.field);
    reader.require("value", &mut exception.value);
    reader.require("reason", &mut exception.reason);
    reader.finish();
    exception
}
