//! Validation of declarations.

use rattanfall_core::declaration::Declaration;
use rstest::rstest;

const BASE: &str = "
    [pools.sales]
    min_serving = 2
    [pools.quotes]
    min_serving = 1
    open = true
    open_team = 'ash'
    [teams.ash]
    share = 2
    limit = 4
    [teams.birch]
    share = 1
    limit = 2
";

fn parse(text: &str) -> Declaration {
    toml::from_str(text).expect("the text parses")
}

fn exception(lines: &str) -> String {
    format!("{BASE}\n[[exceptions]]\n{lines}\n")
}

fn paths(text: &str) -> Vec<String> {
    parse(text).validate().into_iter().map(|p| p.path).collect()
}

/// Guards against false problems for a valid declaration.
#[rstest]
#[case(BASE.to_owned())]
#[case(exception("pool = 'sales'\nteam = 'ash'\nfield = 'queue_length'\nvalue = 5\nreason = 'phone hours'"))]
#[case(exception("pool = 'sales'\nfield = 'drains'\nvalue = 0\nreason = 'harvest week'"))]
fn valid_declarations_have_no_problems(#[case] text: String) {
    assert_eq!(paths(&text), Vec::<String>::new());
}

/// Guards against accepting a declaration that breaks a rule or contains an entry without effect.
#[rstest]
#[case(BASE.replace("share = 1", "share = 0"), "teams.birch.share")]
// The share, 1, is above this limit.
#[case(BASE.replace("limit = 2", "limit = 0"), "teams.birch.share")]
#[case(BASE.replace("[teams.birch]", "[teams.'bi rch']"), "teams.bi rch")]
#[case(BASE.replace("open_team = 'ash'", "open_team = 'oak'"), "pools.quotes.open_team")]
#[case(BASE.replace("open = true", "open = false"), "pools.quotes.open_team")]
#[case(format!("{BASE}[defaults]\ndrains = 0"), "defaults.drains")]
#[case(format!("{BASE}[defaults]\nended_tasks = 0"), "defaults.ended_tasks")]
#[case(format!("{BASE}[defaults]\ndeadline_cap_ms = 5"), "defaults.deadline_cap_ms")]
#[case(exception("field = 'queue_length'\nvalue = 5\nreason = ' '"), "exceptions[0].reason")]
#[case(exception("field = 'speed'\nvalue = 5\nreason = 'r'"), "exceptions[0].field")]
#[case(exception("field = 'ended_tasks'\nvalue = 5\nreason = 'r'"), "exceptions[0].field")]
#[case(exception("field = 'task_attempts'\nvalue = 0\nreason = 'r'"), "exceptions[0].value")]
#[case(exception("field = 'drains'\nteam = 'ash'\nvalue = 2\nreason = 'r'"), "exceptions[0].team")]
#[case(exception("field = 'drains'\npool = 'oak'\nvalue = 2\nreason = 'r'"), "exceptions[0].pool")]
fn problems_name_their_entry(#[case] text: String, #[case] path: &str) {
    assert_eq!(paths(&text), [path]);
}

/// Guards against two exceptions for the same scope, of which one would have no effect.
#[rstest]
fn repeated_exception_is_a_problem() {
    let entry = "[[exceptions]]\npool = 'sales'\nfield = 'drains'\nvalue = 2\nreason = 'r'\n";
    assert_eq!(paths(&format!("{BASE}\n{entry}{entry}")), ["exceptions[1]"]);
}

/// Guards against choosing the wrong value when several exceptions match.
#[rstest]
#[case("sales", "ash", Some(4))]
#[case("quotes", "ash", Some(3))]
#[case("sales", "birch", Some(2))]
#[case("quotes", "birch", Some(1))]
fn most_specific_exception_counts(#[case] pool: &str, #[case] team: &str, #[case] expected: Option<u64>) {
    let entry = |scope: &str, value: u64| {
        format!("[[exceptions]]\n{scope}\nfield = 'queue_length'\nvalue = {value}\nreason = 'r'\n")
    };
    let scopes = [("", 1), ("pool = 'sales'", 2), ("team = 'ash'", 3), ("pool = 'sales'\nteam = 'ash'", 4)];
    let entries: String = scopes.iter().map(|(scope, value)| entry(scope, *value)).collect();
    let declared = parse(&format!("{BASE}\n{entries}"));
    assert_eq!(declared.exception("queue_length", pool, team), expected);
    assert_eq!(declared.exception("body_bytes", pool, team), None);
}

/// Guards against silently ignoring misspelled fields.
#[rstest]
#[case("[pools.sales]\nmin_serving = 1\nminimum = 2")]
#[case("[defaults]\nqueue = 2")]
#[case("[teams.ash]\nshare = 1\nlimit = 1\nweight = 2")]
fn unknown_fields_do_not_parse(#[case] text: &str) {
    assert!(toml::from_str::<Declaration>(text).is_err());
}
