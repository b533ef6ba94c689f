//! Parsing, merging and diffing of declaration files.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

use proptest::prelude::*;
use rattanfall_core::declaration::{Change, Declaration, Exception, Pool, SourceFile, Team, parse};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/fleet.toml");

fn source(name: &str, text: &str) -> SourceFile {
    SourceFile { name: name.into(), text: text.into() }
}

fn example() -> Declaration {
    let parsed = parse(&[source("fleet.toml", EXAMPLE)]);
    assert!(parsed.problems.is_empty(), "{:?}", parsed.problems);
    parsed.declaration
}

/// Guards against dropping, swapping or defaulting a field while parsing.
#[test]
fn parser_agrees_with_serde() {
    let expected: Declaration = toml::from_str(EXAMPLE).unwrap();
    assert_eq!(example(), expected);
}

/// Guards against losing entries when a declaration is split into files.
#[test]
fn merges_files() {
    let (pools, teams) = EXAMPLE.split_at(EXAMPLE.find("[teams.alder]").unwrap());
    let parsed = parse(&[source("teams.toml", teams), source("pools.toml", pools)]);
    assert_eq!((parsed.declaration, parsed.problems), (example(), Vec::new()));
}

/// Guards against one file silently overriding another.
#[rstest]
#[case("[pools.orders]\nmin_serving = 1", "pools.orders")]
#[case("[teams.fern]\nshare = 1\nlimit = 1", "teams.fern")]
#[case("[defaults]\ndrains = 1", "defaults.drains")]
fn repeated_names_are_problems(#[case] text: &str, #[case] path: &str) {
    let parsed = parse(&[source("fleet.toml", EXAMPLE), source("more.toml", text)]);
    let found: Vec<_> = parsed
        .problems
        .iter()
        .map(|p| (p.problem.path.as_str(), p.location.as_ref().unwrap().file))
        .collect();
    assert_eq!(found, [(path, 1)]);
}

/// Guards against changes that the diff leaves out, so that `apply` would make them unannounced.
#[rstest]
#[case::default(|d: &mut Declaration| d.defaults.ended_tasks = 7, "defaults.ended_tasks", Some("20000"), Some("7"))]
#[case::budget(|d: &mut Declaration| budget(d, 2), "pools.orders.min_serving", Some("6"), Some("2"))]
#[case::closed(close_quotes, "pools.quotes.open_team", Some("walk-in"), None)]
#[case::spare(|d: &mut Declaration| pool(d, "orders").spare = true, "pools.orders.spare", Some("false"), Some("true"))]
#[case::team(new_team, "teams.ivy.limit", None, Some("3"))]
#[case::reason(
    |d: &mut Declaration| d.exceptions[1].reason = "r".into(),
    "exceptions.queue_length pool quotes team walk-in",
    Some("50 (A prospect who waits longer than this hangs up; more waiting work only delays the rest.)"),
    Some("50 (r)")
)]
fn diff_shows(
    #[case] edit: fn(&mut Declaration),
    #[case] path: &str,
    #[case] old: Option<&str>,
    #[case] new: Option<&str>,
) {
    let mut edited = example();
    edit(&mut edited);
    let change = Change { path: path.into(), old: old.map(Into::into), new: new.map(Into::into) };
    let changes = example().diff(&edited);
    assert!(changes.contains(&change), "{changes:?}");
}

fn pool<'a>(declaration: &'a mut Declaration, name: &str) -> &'a mut Pool {
    declaration.pools.get_mut(name).unwrap()
}

fn budget(declaration: &mut Declaration, min_serving: u32) {
    pool(declaration, "orders").min_serving = min_serving;
}

fn close_quotes(declaration: &mut Declaration) {
    let pool = pool(declaration, "quotes");
    (pool.open, pool.open_team) = (false, None);
}

fn new_team(declaration: &mut Declaration) {
    declaration.teams.insert("ivy".into(), Team { share: 1, limit: 3 });
}

/// Guards against reporting a change when only the order in a file differs.
#[test]
fn order_of_exceptions_is_not_a_change() {
    let mut reordered = example();
    reordered.exceptions.reverse();
    assert_eq!(example().diff(&reordered), []);
}

prop_compose! {
    fn any_declaration()(
        pools in prop::collection::btree_map("[a-c]", (0..5_u32, any::<bool>()), 0..3),
        teams in prop::collection::btree_map("[a-c]", (1..5_u32, 5..9_u32), 0..3),
        fields in prop::collection::btree_set(prop::sample::select(vec!["drains", "body_bytes"]), 0..3),
        value in 1..9_u64,
        drains in 1..4_u32,
    ) -> Declaration {
        let mut declaration = Declaration::default();
        declaration.defaults.drains = drains;
        let pool = |(min_serving, spare)| Pool { min_serving, spare, ..Pool::default() };
        declaration.pools = pools.into_iter().map(|(name, parts)| (name, pool(parts))).collect();
        let team = |(share, limit)| Team { share, limit };
        declaration.teams = teams.into_iter().map(|(name, parts)| (name, team(parts))).collect();
        let exception = |field: &str| {
            Exception { pool: None, team: None, field: field.into(), value, reason: "r".into() }
        };
        declaration.exceptions = fields.into_iter().map(exception).collect();
        declaration
    }
}

proptest! {
    /// Guards against a declaration that does not survive serialisation to a file, and against an incomplete diff.
    #[test]
    fn diff_is_empty_only_between_equals(old in any_declaration(), new in any_declaration()) {
        let parsed = parse(&[source("a.toml", &toml::to_string(&new).unwrap())]);
        prop_assert_eq!(&parsed.problems, &[]);
        prop_assert_eq!(&parsed.declaration, &new);
        prop_assert_eq!(old.diff(&new).is_empty(), old == new);
    }

    /// Guards against a panic, or a problem without a valid location, on files that are damaged anywhere.
    #[test]
    fn damaged_files_are_reported(start in 0..EXAMPLE.len(), length in 0..40_usize, inserted in "[\\[\\]=\"\n.é a0#]{0,4}") {
        let mut text = EXAMPLE.to_owned();
        text.replace_range(start..(start + length).min(EXAMPLE.len()), &inserted);
        let repeated = format!("{text}\n{EXAMPLE}");
        for text in [&text, &repeated] {
            for problem in parse(&[source("a.toml", text)]).problems {
                let location = problem.location.unwrap();
                prop_assert!(text.get(location.span.clone()).is_some(), "{:?} {:?}", problem.problem, location);
            }
        }
    }
}
