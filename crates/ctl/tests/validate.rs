//! `rattanctl validate` reports every problem with its line.

#![allow(clippy::unwrap_used, reason = "a failed step of a test fails the test")]

mod support;

use insta::assert_snapshot;
use rattanctl::Exit;
use rstest::rstest;
use support::run;

/// Guards against a sample declaration that is invalid or does not fit the fleet sizes of the design page.
#[test]
fn example_is_valid() {
    let counts =
        ["orders", "quotes", "sweeps", "renders", "spare"].map(|pool| format!("--workers={pool}=10"));
    let mut args = vec!["validate", "../../examples/fleet.toml"];
    args.extend(counts.iter().map(String::as_str));
    let output = run(&args, "");
    assert_eq!(output.exit, Exit::Ok, "{}", output.err);
    assert_eq!(output.out, "valid: 5 pools, 6 teams, 2 exceptions\n");
    assert_eq!(output.err, "");
}

/// Guards against reports that stop at the first problem, point at a wrong line, or include follow-up errors.
#[rstest]
#[case::values("broken", &["tests/files/broken.toml"])]
#[case::syntax("syntax", &["tests/files/syntax.toml"])]
#[case::merged("merged", &["tests/files/pools.toml", "tests/files/teams.toml", "--workers", "orders=7"])]
#[case::budgets("budgets", &[
    "../../examples/fleet.toml", "--workers", "orders=5", "--workers", "quotes=5", "--workers", "ordres=9",
])]
fn problems(#[case] name: &str, #[case] args: &[&str]) {
    let output = run(&[&["validate"], args].concat(), "");
    assert_eq!(output.exit, Exit::Input);
    assert_snapshot!(name, format!("{}{}", output.err, output.out));
}

const VALID_DECLARATION: &str = "[pools.orders]\nmin_serving = 1\n[teams.alder]\nshare = 4\nlimit = 9\n";

/// Guards against a fault that is accepted, reported at a wrong line, or reported with follow-up errors.
#[rstest]
#[case::unknown_section("[pool.orders]", "pool", 6)]
#[case::unknown_field("[pools.a]\nmin_serving = 1\nzone = 1", "pools.a.zone", 8)]
#[case::unknown_default("[defaults]\ndrain = 1", "defaults.drain", 7)]
#[case::text_for_number("[teams.b]\nshare = \"4\"\nlimit = 9", "teams.b.share", 7)]
#[case::fraction("[teams.b]\nshare = 4.5\nlimit = 9", "teams.b.share", 7)]
#[case::negative("[teams.b]\nshare = 1\nlimit = -9", "teams.b.limit", 8)]
#[case::too_large("[teams.b]\nshare = 1\nlimit = 4294967296", "teams.b.limit", 8)]
#[case::number_for_flag("[pools.a]\nmin_serving = 1\nopen = 1", "pools.a.open", 8)]
#[case::not_a_table("[pools]\na = 1", "pools.a", 7)]
#[case::not_a_list("[exceptions]\nfield = \"drains\"", "exceptions", 6)]
#[case::missing("[teams.b]\nshare = 4", "teams.b.limit", 6)]
#[case::share_above_limit("[teams.b]\nshare = 4\nlimit = 3", "teams.b.share", 7)]
#[case::no_share("[teams.b]\nshare = 0\nlimit = 3", "teams.b.share", 7)]
#[case::open_without_team("[pools.a]\nmin_serving = 1\nopen = true", "pools.a.open_team", 6)]
#[case::open_unknown("[pools.a]\nmin_serving = 1\nopen = true\nopen_team = \"b\"", "pools.a.open_team", 9)]
#[case::deadline_cap("[defaults]\ndeadline_cap_ms = 5", "defaults.deadline_cap_ms", 7)]
#[case::team_twice("[teams.alder]\nshare = 4\nlimit = 9", "teams.alder", 6)]
#[case::access_key("[teams.b]\nshare = 1\nlimit = 3\nkey = \"k\"", "teams.b.key", 9)]
#[case::access_keys("[keys]\nalder = \"k\"", "keys", 6)]
#[case::name("[teams.\"b c\"]\nshare = 1\nlimit = 3", "teams.b c", 6)]
fn one_problem(#[case] text: &str, #[case] path: &str, #[case] line: u64) {
    assert_eq!(problems_of(text), [(path.to_owned(), line)]);
}

/// Guards against accepting exceptions with unknown fields or entities, duplicates, or no reason.
#[rstest]
#[case::no_reason("field = \"drains\"\nvalue = 2", "exceptions[0].reason", 6)]
#[case::blank_reason("field = \"drains\"\nvalue = 2\nreason = \" \"", "exceptions[0].reason", 9)]
#[case::field("field = \"drain\"\nvalue = 2\nreason = \"r\"", "exceptions[0].field", 7)]
#[case::pool("field = \"drains\"\nvalue = 2\nreason = \"r\"\npool = \"a\"", "exceptions[0].pool", 10)]
#[case::team("field = \"body_bytes\"\nvalue = 2\nreason = \"r\"\nteam = \"b\"", "exceptions[0].team", 10)]
#[case::team_field(
    "field = \"drains\"\nvalue = 2\nreason = \"r\"\nteam = \"alder\"",
    "exceptions[0].team",
    10
)]
#[case::twice(
    "field = \"drains\"\nvalue = 2\nreason = \"r\"\n[[exceptions]]\nfield = \"drains\"\nvalue = 3\nreason = \"s\"",
    "exceptions[1]",
    10
)]
fn exception_problem(#[case] text: &str, #[case] path: &str, #[case] line: u64) {
    assert_eq!(problems_of(&format!("[[exceptions]]\n{text}")), [(path.to_owned(), line)]);
}

fn problems_of(text: &str) -> Vec<(String, u64)> {
    let unique = format!("{:?}", std::thread::current().id()).replace(['(', ')'], "-");
    let file = std::env::temp_dir().join(format!("rattanctl-{}-{unique}.toml", std::process::id()));
    std::fs::write(&file, format!("{VALID_DECLARATION}{text}\n")).unwrap();
    let output = run(&["validate", "--json", file.to_str().unwrap()], "");
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.exit, Exit::Input, "{}", output.out);
    let found: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    let entry = |p: &serde_json::Value| (p["path"].as_str().unwrap().to_owned(), p["line"].as_u64().unwrap());
    found["problems"].as_array().unwrap().iter().map(entry).collect()
}

/// Guards against a missing file that is reported as an invalid declaration or causes a panic.
#[test]
fn missing_file() {
    let output = run(&["validate", "tests/files/none.toml"], "");
    assert_eq!(output.exit, Exit::Input);
    assert!(output.err.contains("cannot read tests/files/none.toml"), "{}", output.err);
}
