//! Help texts and the consistency of the command line definition.

mod support;

use insta::assert_snapshot;
use rattanctl::{Exit, args};
use rstest::rstest;
use support::run;

/// Guards against unnoticed changes of the command line that scripts and operators depend on.
#[rstest]
#[case::root("help", &["--help"])]
#[case::validate("help_validate", &["validate", "--help"])]
#[case::apply("help_apply", &["apply", "--help"])]
#[case::keys("help_keys", &["keys", "--help"])]
#[case::zones("help_zones", &["zones", "remove", "--help"])]
#[case::workers("help_workers", &["workers", "move", "--help"])]
fn help(#[case] name: &str, #[case] args: &[&str]) {
    let output = run(args, "");
    assert_eq!(output.exit, Exit::Ok);
    assert_snapshot!(name, output.out);
}

/// Guards against inconsistent arguments, which clap otherwise reports only when the command is used.
#[test]
fn arguments_are_consistent() {
    args::command().debug_assert();
}
