//! Command line options and their environment variables.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entry instances, `ip:port` of their caller listeners.
    pub entries: Vec<Arc<str>>,
    /// Platform, `ip:port`, which lists the workers; without it there is no audit.
    pub platform: Option<String>,
    /// Flows as given, parsed by `flow::parse`.
    pub flows: Vec<String>,
    /// Factor on all rates.
    pub scale: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Longest wait for tasks after the load.
    pub drain: Duration,
    /// Duration of a surge.
    pub surge: Duration,
    /// Random seed of the arrival times and the work items.
    pub seed: u64,
    /// Connections of a closed loop; 0 selects the open loop.
    pub closed: u32,
    /// Connections to keep open during the load.
    pub connections: u32,
    /// Interval of the probes on kept connections; `None` leaves them idle.
    pub refresh: Option<Duration>,
    /// True to send the same load directly to the workers first, for comparison.
    pub direct: bool,
    /// True if a truncated answer counts as unknown and not as a violation, for runs that kill entry instances.
    pub tolerate_cuts: bool,
    /// Threads of the asynchronous runtime.
    pub threads: usize,
    /// File for the JSON report; `-` prints it in place of the table.
    pub json: Option<PathBuf>,
    /// File for the rows as CSV.
    pub csv: Option<PathBuf>,
    /// File for the SVG plot.
    pub plot: Option<PathBuf>,
}

/// Parses the arguments; exits the process with a usage message if they are invalid.
#[must_use]
pub fn parse() -> Options {
    read(&command().get_matches())
}

/// Builds the `clap` definition of `rattanfall-load`.
#[must_use]
pub fn command() -> Command {
    let command = Command::new("rattanfall-load").version(env!("CARGO_PKG_VERSION")).about(
        "Open-loop load generator. Latency is measured from the intended time of sending. \
         Exit code 3 if a promise was broken.",
    );
    let command = command.args(target_args()).next_help_heading("Load").args(load_args());
    command.next_help_heading("Output").args(output_args())
}

fn target_args() -> [Arg; 3] {
    [
        Arg::new("entry")
            .long("entry")
            .env("RATTANFALL_ENTRIES")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .help("Caller listener of an entry instance, ip:port; several with commas or by repeating"),
        Arg::new("platform")
            .long("platform")
            .env("RATTANFALL_PLATFORM")
            .help("Platform, ip:port; needed for the audit and for --direct"),
        Arg::new("direct")
            .long("direct")
            .action(ArgAction::SetTrue)
            .requires("platform")
            .help("First run the same load straight to the workers; prints both latencies and their ratio"),
    ]
}

fn load_args() -> [Arg; 11] {
    [
        Arg::new("flow").long("flow").required(true).action(ArgAction::Append).help(
            "team=,pool=,rate= and any of key=,share=,class=urgent|normal|batch,pattern=steady|waves,\
             work-ms=N|exp:MEAN|LOW..HIGH,idempotent=0..1,tasks=0..1,timeout-ms=,answer-bytes=,body-bytes=; \
             pool=a+b splits the rate",
        ),
        number("scale", "RATTANFALL_LOAD_SCALE", "Factor on all rates", "1").value_parser(value_parser!(f64)),
        number("duration-s", "RATTANFALL_LOAD_DURATION_S", "Duration of the load, in seconds", "20"),
        number("drain-s", "RATTANFALL_LOAD_DRAIN_S", "Longest wait for tasks afterwards, in seconds", "30"),
        number("surge-s", "RATTANFALL_LOAD_SURGE_S", "Duration of a surge of the waves, in seconds", "4"),
        number("seed", "RATTANFALL_LOAD_SEED", "Seed of arrivals, work and kinds", "1"),
        number("closed", "RATTANFALL_LOAD_CLOSED", "Connections of a closed loop in place of the rates", "0")
            .value_parser(value_parser!(u32)),
        number("connections", "RATTANFALL_LOAD_CONNECTIONS", "Idle connections to hold", "0")
            .value_parser(value_parser!(u32)),
        number(
            "refresh-s",
            "RATTANFALL_LOAD_REFRESH_S",
            "Seconds between requests on a held connection; 0: idle",
            "0",
        ),
        number("threads", "RATTANFALL_LOAD_THREADS", "Threads that send", "2"),
        Arg::new("tolerate-cuts")
            .long("tolerate-cuts")
            .action(ArgAction::SetTrue)
            .help("Count answers that are cut off as unknown, for runs that kill entry instances"),
    ]
}

fn output_args() -> [Arg; 3] {
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    [
        path("json", "Write the report as JSON; - for the standard output in place of the table"),
        path("csv", "Write the rows as CSV"),
        path("plot", "Write the work done over time as SVG"),
    ]
}

fn number(name: &'static str, variable: &'static str, help: &'static str, default: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).env(variable).default_value(default).help(help);
    arg.value_parser(value_parser!(u64))
}

/// Converts parsed arguments.
#[must_use]
pub fn read(matches: &ArgMatches) -> Options {
    let seconds = |name| Duration::from_secs(value(matches, name));
    let path = |name| matches.get_one::<PathBuf>(name).cloned();
    let texts = |name| matches.get_many::<String>(name).into_iter().flatten();
    Options {
        entries: texts("entry").map(|entry| entry.trim_start_matches("http://").into()).collect(),
        platform: matches.get_one("platform").cloned(),
        flows: texts("flow").cloned().collect(),
        scale: value(matches, "scale"),
        duration: seconds("duration-s"),
        drain: seconds("drain-s"),
        surge: seconds("surge-s"),
        seed: value(matches, "seed"),
        closed: value(matches, "closed"),
        connections: value(matches, "connections"),
        refresh: Some(seconds("refresh-s")).filter(|time| !time.is_zero()),
        direct: matches.get_flag("direct"),
        tolerate_cuts: matches.get_flag("tolerate-cuts"),
        threads: usize::try_from(value::<u64>(matches, "threads")).unwrap_or(1).max(1),
        json: path("json"),
        csv: path("csv"),
        plot: path("plot"),
    }
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("each number has a default value")
}
