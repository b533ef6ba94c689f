//! Definition of the command line: subcommands, flags and their help texts.

use clap::builder::{NonEmptyStringValueParser, TypedValueParser};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Id of the flag that switches results and errors to JSON.
pub const JSON: &str = "json";
/// Id of the option with the operator addresses of entry instances, in the order in which they are tried.
pub const OPERATOR: &str = "operator";
/// Id of the option with the operator credential; empty if it was not given.
pub const CREDENTIAL: &str = "credential";
/// Id of the option with the time limit for one instance's response, in milliseconds.
pub const TIMEOUT: &str = "timeout-ms";

const EXIT_CODES: &str = "\
Exit codes:
  0  done, or nothing to do
  1  problem in the input: a file, a name or an id
  2  wrong command line
  3  conflict: another change came first; nothing was changed
  4  refused: budget, state, credential, or declined at the question; nothing was changed
  5  unavailable: no instance could do it; nothing was changed
  6  unknown: the change may have taken effect";

/// Builds the `clap` definition of `rattanctl`.
#[must_use]
pub fn command() -> Command {
    Command::new("rattanctl")
        .about("Manages a fleet of rattanfall: its declaration, keys, zones, workers and pools")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection())
        .arg(json())
        .subcommand(validate())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(keys())
        .subcommand(zones())
        .subcommand(workers())
        .subcommand(pools())
        .subcommand(Command::new("status").about("Shows members, pools, teams, zones and workers"))
        .subcommand(explain())
        .subcommand(
            Command::new("work").about("Shows the owner of accepted work, jobs, pools, moves and waves"),
        )
        .subcommand(job())
}

fn connection() -> [Arg; 3] {
    let operator = Arg::new(OPERATOR)
        .long(OPERATOR)
        .env("RATTANFALL_OPERATOR")
        .value_name("ADDRESS")
        .help("Operator addresses of entry instances, ip:port,...; tried in order")
        .value_delimiter(',')
        .value_parser(NonEmptyStringValueParser::new());
    let credential = Arg::new(CREDENTIAL)
        .long(CREDENTIAL)
        .env("RATTANFALL_CREDENTIAL")
        .value_name("TEXT")
        .help("Operator credential; the variable hides it from the process list");
    let timeout = Arg::new(TIMEOUT)
        .long(TIMEOUT)
        .env("RATTANFALL_TIMEOUT_MS")
        .value_name("MS")
        .help("Longest wait for the answer of one instance, in milliseconds")
        .default_value("15000")
        .value_parser(value_parser!(u64).range(1..));
    [operator, credential, timeout]
        .map(|arg| arg.global(true).hide_env_values(true).help_heading("Connection"))
}

fn json() -> Arg {
    Arg::new(JSON)
        .long(JSON)
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Prints results and errors as JSON")
        .help_heading("Output")
}

fn files() -> Arg {
    Arg::new("files").value_name("FILE").required(true).num_args(1..).help("Files of the declaration; merged")
}

fn base(of: &str) -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(format!("Version of the {of} that the change is made against"))
}

fn budgets() -> Arg {
    Arg::new("workers")
        .long("workers")
        .value_name("POOL=N")
        .action(ArgAction::Append)
        .value_parser(NonEmptyStringValueParser::new().try_map(|text| worker_count(&text)))
        .help("Count of workers of a pool, to check that its budget can hold; may be repeated")
}

fn worker_count(text: &str) -> Result<(String, u32), String> {
    let (pool, count) = text.split_once('=').ok_or("expected POOL=N")?;
    let count = count.parse().map_err(|_| "expected a whole number after '='")?;
    Ok((pool.to_owned(), count))
}

fn validate() -> Command {
    Command::new("validate").about("Checks a declaration offline").arg(files()).arg(budgets())
}

fn diff() -> Command {
    Command::new("diff").about("Shows what a declaration would change").arg(files())
}

fn apply() -> Command {
    let yes = Arg::new("yes").long("yes").action(ArgAction::SetTrue).help("Applies without a question");
    Command::new("apply")
        .about("Applies a declaration, after showing what it changes")
        .arg(files())
        .arg(base("configuration"))
        .arg(yes)
}

fn keys() -> Command {
    let team = name("team", "TEAM", "Team that the key is for");
    let grant = Command::new("grant").about("Creates a key and prints it once").arg(team);
    let id = Arg::new("id").value_name("ID").required(true).value_parser(value_parser!(u32)).help("Key id");
    let withdraw = Command::new("withdraw").about("Withdraws a key for good").arg(id);
    let list = Command::new("list").about("Lists ids, teams and states; never the keys");
    group("keys", "Grants, withdraws and lists access keys").subcommands([grant, withdraw, list])
}

fn zones() -> Command {
    let change = |verb: &'static str, about: &'static str| {
        let zone = name("name", "NAME", "Availability zone");
        Command::new(verb).about(about).arg(zone).arg(base("zone"))
    };
    let remove = change("remove", "Takes an availability zone out of service");
    let restore = change("restore", "Brings an availability zone back into service");
    group("zones", "Removes and restores availability zones").subcommands([remove, restore])
}

fn workers() -> Command {
    let worker = || name("name", "NAME", "Worker");
    let pool = name("pool", "POOL", "Pool that the worker joins");
    let drain = Command::new("drain").about("Drains a worker for maintenance").arg(worker());
    let moving = Command::new("move").about("Moves a worker to another pool").arg(worker()).arg(pool);
    group("workers", "Drains and moves workers").subcommands([drain, moving])
}

fn pools() -> Command {
    let pool = name("name", "NAME", "Pool");
    let maintain = Command::new("maintain")
        .about("Starts maintenance of every worker of a pool, as its budget allows")
        .arg(pool);
    group("pools", "Maintains pools").subcommand(maintain)
}

fn explain() -> Command {
    let task = Arg::new("task").value_name("TASK").required(true).help("Task id, t-<member>-<number>");
    Command::new("explain").about("Tells what a task waits for or why it ended").arg(task)
}

fn job() -> Command {
    let id = Arg::new("id").value_name("ID").required(true).help("Job id, 16 hexadecimal digits");
    Command::new("job").about("Shows a job's steps and tells what they wait for").arg(id)
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).subcommand_required(true).arg_required_else_help(true)
}

fn name(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true).value_parser(entity_name).help(help)
}

/// Accepts only names that need no escaping in a URL path. A leading dot is refused, since `..` would change the path.
fn entity_name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.starts_with('.') || !text.chars().all(allowed) {
        return Err("a name has letters, digits, '-', '_' and '.' only".into());
    }
    Ok(text.to_owned())
}

/// Value of a text argument; empty if it is absent.
pub(crate) fn text<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    matches.get_one::<String>(id).map_or("", String::as_str)
}
